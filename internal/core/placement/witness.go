package placement

import (
	"maps"
	"slices"
	"time"
)

// TakeWitnesses returns up to n targets of a pool to which a connection shows whether this router
// reaches the pool at all: active ones that have not exited, except the one with the given UID. Those
// that this router has not suspended come first, since it may have lost its links to the others only;
// of these the ones that were taken longest ago, so that new ones are soon among them.
func (b *Balancer) TakeWitnesses(now time.Time, pool string, except uint64, n int) []Target {
	p, ok := b.pools[pool]
	if !ok {
		return nil
	}
	var found []*target
	first := b.rand.IntN(max(len(p.targets), 1))
	for i := range p.targets {
		t := p.targets[(first+i)%len(p.targets)]
		if t.UID != except && t.isActive() && t.exitedAt.IsZero() {
			found = append(found, t)
		}
	}
	slices.SortStableFunc(found, func(a, b *target) int {
		if s := a.health.isSuspended(now); s != b.health.isSuspended(now) {
			if s {
				return 1
			}
			return -1
		}
		return a.witnessAt.Compare(b.witnessAt)
	})
	var out []Target
	for _, t := range found[:min(n, len(found))] {
		t.witnessAt = now
		out = append(out, t.Target)
	}
	return out
}

// ForgetFailures forgets the failures at the targets of a pool that this router has seen, and those
// that it has reported: its own path was at fault. Targets that have exited stay suspended.
func (b *Balancer) ForgetFailures(pool string) {
	p, ok := b.pools[pool]
	if !ok {
		return
	}
	for _, t := range p.targets {
		t.counts = outcomeCounts{}
		t.ejection = ejection{}
		if t.exitedAt.IsZero() {
			t.health = health{}
		}
	}
}

// PoolNames returns the names of the pools with targets.
func (b *Balancer) PoolNames() []string { return slices.Collect(maps.Keys(b.pools)) }

// MayForward returns a target to which an attempt of another router may be sent now.
func (b *Balancer) MayForward(now time.Time, uid uint64) (Target, bool) {
	t, ok := b.byUID[uid]
	if !ok || b.IsLeavingOrRemoved(uid) || t.evacuated || t.pause.until.After(now) {
		return Target{}, false
	}
	return t.Target, true
}
