package placement

import (
	"maps"
	"slices"
	"time"
)

// TargetSet keeps targets for a while after their removal from the platform's target list. During a
// store outage, entries expire although their targets work, and they are back soon after the
// outage. Sending all requests elsewhere in the meantime would lose the caches of the whole pool. A
// target that has exited refuses connections, or another lifetime answers in its place, so a
// request that is sent there is not executed.
type TargetSet struct {
	version      uint64                      // of the latest list
	entries      map[string]*entry           // by target ID
	departures   map[uint64]pendingDeparture // by lifetime
	updateCount  uint64
	byPool       PoolLists // returned by ByPool
	removedCount int       // number of entries that were removed from the list
	// lifetimes are the UIDs of all entries; nil if the entries have changed since they were
	// collected.
	lifetimes map[uint64]bool
}

type entry struct {
	pool       string
	target     Target
	lastUpdate uint64 // last update that listed the target
}

// PoolLists are targets by pool. Refilling them reuses their memory: a new list of thousands of
// targets for each change of one would keep the garbage collector busy.
type PoolLists map[string][]Target

// Refill empties the lists, calls fill to add targets, and deletes the pools that remain empty.
func (p PoolLists) Refill(fill func(add func(pool string, t Target))) {
	for pool := range p {
		p[pool] = p[pool][:0]
	}
	fill(func(pool string, t Target) { p[pool] = append(p[pool], t) })
	maps.DeleteFunc(p, func(_ string, targets []Target) bool { return len(targets) == 0 })
}

// NewTargetSet returns an empty TargetSet.
func NewTargetSet() *TargetSet {
	return &TargetSet{entries: make(map[string]*entry), departures: make(map[uint64]pendingDeparture), byPool: make(PoolLists)}
}

// Update replaces the target list by the one of a version. rejected are the IDs of its invalid
// entries: their targets are dropped, whatever was listed before. It returns the lifetimes that
// have ended because their targets started again, according to the targets' own clocks.
//
// The latest list decides which lifetime of a target is current, not the later start: the wall
// clock of a VM may have been set back between two starts.
func (s *TargetSet) Update(now time.Time, version uint64, pools map[string][]Target, rejected []string) (ended []Target) {
	s.version = max(s.version, version)
	s.updateCount++
	for pool, targets := range pools {
		for _, t := range targets {
			known, ok := s.entries[t.ID]
			if !ok {
				known = &entry{target: t}
				s.entries[t.ID] = known
			}
			if known.target.UID != t.UID && known.target.StartedAtMs < t.StartedAtMs {
				ended = append(ended, known.target)
			}
			known.pool, known.target, known.lastUpdate = pool, t, s.updateCount
		}
	}
	for id, e := range s.entries {
		switch {
		case e.lastUpdate == s.updateCount:
		case slices.Contains(rejected, id):
			delete(s.entries, id)
		case e.target.RemovedAt.IsZero():
			e.target.RemovedAt = now
		}
	}
	s.reapplyDepartures()
	s.refreshCaches()
	return ended
}

// Departure reports that a target is leaving, was removed from the target list, or has exited.
type Departure struct {
	Target uint64 // UID of its lifetime
	// ListVersion is the version of the target list that shows the departure. Later lists supersede
	// it.
	ListVersion uint64
	Removed     bool
	// Announced: the target announced its shutdown itself, in an answer. No list shows it yet, so
	// list versions do not matter.
	Announced bool
	// Exited: the target's process has exited, as a router saw by its connections and its port.
	Exited bool
}

// pendingDeparture is a departure shown by a later list than the current one.
type pendingDeparture struct {
	Departure
	receivedAt time.Time
}

// NonLeavingTargets returns the listed targets that are not leaving, by ID. Unlike the active
// targets of a Balancer, they include those in evacuated data centres.
func (s *TargetSet) NonLeavingTargets() map[string]Target {
	out := make(map[string]Target, len(s.entries))
	for id, e := range s.entries {
		if e.target.RemovedAt.IsZero() && !e.target.Leaving {
			out[id] = e.target
		}
	}
	return out
}

// DeparturesSince compares the current list with the NonLeavingTargets before it. It returns those
// that are now leaving or removed, and their IDs, sorted. Targets with an invalid entry, for which
// isListed still returns true, are left out: they may be running.
func (s *TargetSet) DeparturesSince(before map[string]Target, isListed func(id string) bool) (out []Departure, ids []string) {
	for id, t := range before {
		e, ok := s.entries[id]
		switch {
		case ok && e.target.Leaving && e.target.UID == t.UID:
			out = append(out, Departure{Target: t.UID, ListVersion: s.version})
		case !isListed(id):
			out = append(out, Departure{Target: t.UID, ListVersion: s.version, Removed: true})
		default:
			continue
		}
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return out, ids
}

// ApplyDepartures applies departures that another router reported. It returns those that were
// unknown before, and the IDs of the targets that get no new requests as a result. A departure
// counts until a list of its version or a later one arrives, which may take long.
func (s *TargetSet) ApplyDepartures(now time.Time, reported []Departure) (newDepartures []Departure, ids []string) {
	for _, d := range reported {
		if d.ListVersion <= s.version || s.departures[d.Target].ListVersion >= d.ListVersion {
			continue
		}
		pending := pendingDeparture{Departure: d, receivedAt: now}
		s.departures[d.Target] = pending
		newDepartures = append(newDepartures, d)
		for id, e := range s.entries {
			if e.target.UID == d.Target && e.applyDeparture(pending) {
				ids = append(ids, id)
			}
		}
	}
	if len(ids) > 0 {
		s.refreshCaches()
	}
	return newDepartures, ids
}

// refreshCaches must be called when entries have changed. It updates removedCount, which saves
// RemoveExpired from iterating over all entries ten times a second, and clears lifetimes.
func (s *TargetSet) refreshCaches() {
	s.removedCount, s.lifetimes = 0, nil
	for _, e := range s.entries {
		if !e.target.RemovedAt.IsZero() {
			s.removedCount++
		}
	}
}

// applyDeparture applies a departure and reports whether the target was listed and not leaving
// before.
func (e *entry) applyDeparture(d pendingDeparture) bool {
	if e.target.Leaving || !e.target.RemovedAt.IsZero() {
		return false
	}
	if d.Removed {
		e.target.RemovedAt = d.receivedAt
	} else {
		e.target.Leaving = true
	}
	return true
}

// reapplyDepartures drops the departures that the new list covers, and applies the others to it.
func (s *TargetSet) reapplyDepartures() {
	for uid, d := range s.departures {
		if d.ListVersion <= s.version {
			delete(s.departures, uid)
		}
	}
	for _, e := range s.entries {
		if d, ok := s.departures[e.target.UID]; ok {
			e.applyDeparture(d)
		}
	}
}

// Retention is how long targets are used after their removal from the target list.
type Retention struct {
	AfterRemoval time.Duration
	// AfterOutageRemoval replaces AfterRemoval, if it is longer, for targets removed from
	// OutageStart on, whose entries may only have expired during a store outage. It applies until
	// OutageEnd: by then, targets that work are back in the list.
	AfterOutageRemoval     time.Duration
	OutageStart, OutageEnd time.Time
}

// isExpired reports whether a target that was removed at a given time is no longer used.
func (r Retention) isExpired(now, removedAt time.Time) bool {
	if now.Sub(removedAt) < r.AfterRemoval {
		return false
	}
	inOutage := r.AfterOutageRemoval > 0 && !removedAt.Before(r.OutageStart) && now.Before(r.OutageEnd)
	return !inOutage || now.Sub(removedAt) >= r.AfterOutageRemoval
}

// RemoveExpired drops the targets whose retention has passed and reports whether there were any.
func (s *TargetSet) RemoveExpired(now time.Time, retention Retention) bool {
	if s.removedCount == 0 {
		return false
	}
	dropped := false
	for id, e := range s.entries {
		if !e.target.RemovedAt.IsZero() && retention.isExpired(now, e.target.RemovedAt) {
			delete(s.entries, id)
			dropped = true
		}
	}
	s.refreshCaches()
	return dropped
}

// ByPool returns the targets by pool, including removed ones that are still retained. The result is
// valid until the next call.
func (s *TargetSet) ByPool() map[string][]Target {
	s.byPool.Refill(func(add func(string, Target)) {
		for _, e := range s.entries {
			add(e.pool, e.target)
		}
	})
	return s.byPool
}

// HasLifetime reports whether a lifetime is current or still retained.
func (s *TargetSet) HasLifetime(uid uint64) bool {
	if s.lifetimes == nil {
		s.lifetimes = make(map[uint64]bool, len(s.entries))
		for _, e := range s.entries {
			s.lifetimes[e.target.UID] = true
		}
	}
	return s.lifetimes[uid]
}
