package placement

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/ablate"
)

// exitedSuspension is how long a target gets no requests after its process exited. A lifetime does
// not come back, but an outdated target list may still contain it for a long time, so the
// suspension is renewed while the target's port refuses connections. If another process runs under
// the same UID, its new entry ends the suspension.
const exitedSuspension = 6 * time.Second

// probeExitedAfter is how long after the start of the suspension the target's port is probed: early
// enough for the result to arrive before the suspension ends.
const probeExitedAfter = exitedSuspension - time.Second

// markExited suspends the target because its process has exited.
func (h *health) markExited(now time.Time) {
	h.unreachable = true
	h.consecutiveSuspensions = max(h.consecutiveSuspensions, 1)
	if until := now.Add(exitedSuspension); until.After(h.suspendedUntil) {
		h.suspendedUntil = until
	}
}

// MarkExited records that a target's process has exited, as seen by this router or reported by
// another one. isNew reports whether that was unknown before. Without these reports, each router
// would lose a request of its own to find out.
func (b *Balancer) MarkExited(now time.Time, uid uint64) (isNew bool) {
	t, ok := b.byUID[uid]
	if !ok || ablate.IsOff(ablate.Suspension) || (!t.exitedAt.IsZero() && now.Sub(t.exitedAt) < exitedSuspension) {
		return false
	}
	t.exitedAt = now
	b.exited[uid] = t
	t.health.markExited(now)
	return true
}

// HasExited reports whether a target's process is known to have exited.
func (b *Balancer) HasExited(uid uint64) bool {
	t, ok := b.byUID[uid]
	return ok && !t.exitedAt.IsZero()
}

// TakeExitedTargetsToProbe returns the listed targets that are suspended because their processes
// exited and whose ports are due for a probe. It counts them as probed.
func (b *Balancer) TakeExitedTargetsToProbe(now time.Time) []Target {
	var out []Target
	for _, t := range b.exited {
		if now.Sub(t.exitedAt) >= probeExitedAfter && now.Sub(t.probedAt) >= probeExitedAfter && !b.IsLeavingOrRemoved(t.UID) {
			t.probedAt = now
			out = append(out, t.Target)
		}
	}
	return out
}

// RecordProbe records whether the port of a target that was marked as exited accepts connections.
// If it refuses, the suspension starts again. If it accepts, probing stops and the suspension ends
// at its time.
func (b *Balancer) RecordProbe(now time.Time, uid uint64, accepts bool) {
	t, ok := b.byUID[uid]
	switch {
	case !ok || t.exitedAt.IsZero():
	case accepts:
		t.exitedAt = time.Time{}
		delete(b.exited, uid)
	default:
		t.exitedAt = now
		t.health.markExited(now)
	}
}
