package placement

import "time"

// SetTargets replaces the targets of all pools.
func (b *Balancer) SetTargets(now time.Time, pools map[string][]Target) {
	var changes TargetChanges
	listed := make(map[uint64]bool)
	for name, targets := range pools {
		for _, t := range targets {
			changes.Updated = append(changes.Updated, PoolTarget{name, t})
			listed[t.UID] = true
		}
	}
	for uid, t := range b.byUID {
		if t.isListed() && !listed[uid] {
			changes.Dropped = append(changes.Dropped, uid)
		}
	}
	b.UpdateTargets(now, changes)
}

// ByPool returns the targets by pool, including removed ones that are still retained.
func (s *TargetSet) ByPool() map[string][]Target {
	out := make(map[string][]Target)
	for _, e := range s.entries {
		out[e.pool] = append(out[e.pool], e.target)
	}
	return out
}

// NonLeavingTargets returns the listed targets that are not leaving, by ID.
func (s *TargetSet) NonLeavingTargets() map[string]Target {
	out := make(map[string]Target)
	for id, e := range s.entries {
		if e.isUsable() {
			out[id] = e.target
		}
	}
	return out
}
