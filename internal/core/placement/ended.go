package placement

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/ablate"
)

// endedRest is for how long a target gets nothing whose process has ended. A lifetime does not come back, but a list that lags
// may name it for long; the rest begins again while its port refuses. Where another process is the same lifetime by name, its
// new entry ends the rest.
const endedRest = 6 * time.Second

// askEndedAfter is how long into the rest its port is asked: early enough for the answer to come before the rest ends.
const askEndedAfter = endedRest - time.Second

// ended takes in that the target's process has ended.
func (h *health) ended(now time.Time) {
	h.unreachable = true
	h.suspensions = max(h.suspensions, 1)
	if until := now.Add(endedRest); until.After(h.until) {
		h.until = until
	}
}

// MarkExited takes in that a target's process has ended, as this router saw it or another one tells, and reports whether that is
// news. Each router would learn it by a request of its own otherwise.
func (b *Balancer) MarkExited(now time.Time, uid uint64) (news bool) {
	t, ok := b.byUID[uid]
	if !ok || ablate.Off(ablate.Suspension) || (!t.ended.IsZero() && now.Sub(t.ended) < endedRest) {
		return false
	}
	t.ended = now
	t.health.ended(now)
	return true
}

// ExitedTargetsToProbe returns the listed targets that rest because their process has ended and whose port is to be asked now.
func (b *Balancer) ExitedTargetsToProbe(now time.Time) []Target {
	var out []Target
	for _, t := range b.byUID {
		if !t.ended.IsZero() && now.Sub(t.ended) >= askEndedAfter && now.Sub(t.askedEnded) >= askEndedAfter && !b.IsLeavingOrRemoved(t.UID) {
			t.askedEnded = now
			out = append(out, t.Target)
		}
	}
	return out
}

// RecordProbe takes in whether the port of a target that has ended, as far as was known, accepts connections. If it does not the rest
// begins again; if it does nothing more is asked, and the rest ends as it would have.
func (b *Balancer) RecordProbe(now time.Time, uid uint64, accepts bool) {
	t, ok := b.byUID[uid]
	switch {
	case !ok || t.ended.IsZero():
	case accepts:
		t.ended = time.Time{}
	default:
		t.ended = now
		t.health.ended(now)
	}
}
