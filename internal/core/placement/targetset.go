package placement

import (
	"slices"
	"time"
)

// TargetSet keeps targets for a while after their removal from the platform's target list. During a
// store outage, entries expire although their targets work, and they are back soon after the
// outage. Sending all requests elsewhere in the meantime would lose the caches of the whole pool. A
// target that has exited refuses connections, or another lifetime answers in its place, so a
// request that is sent there is not executed.
type TargetSet struct {
	version    uint64                      // of the latest list
	entries    map[string]*entry           // by target ID
	byUID      map[uint64]*entry           // by the UID of the entry's lifetime
	removed    map[string]*entry           // entries that were removed from the list
	departures map[uint64]pendingDeparture // by lifetime
	// changed are the IDs of the entries that changed since TakeChanges, with the UID of the
	// lifetime at that time; 0 if there was none.
	changed map[string]uint64
	// incomplete: a target was dropped that the list contains, see NeedsWholeList.
	incomplete bool
}

type entry struct {
	pool   string
	row    Target // as in the list
	listed bool   // the list contains it
	// target is row with the departures that other routers reported, and RemovedAt.
	target Target
}

// isUsable reports whether a target may get new requests as far as the list and departures say.
func (e *entry) isUsable() bool { return e.target.RemovedAt.IsZero() && !e.target.Leaving }

// NewTargetSet returns an empty TargetSet.
func NewTargetSet() *TargetSet {
	return &TargetSet{
		entries: make(map[string]*entry), byUID: make(map[uint64]*entry), removed: make(map[string]*entry),
		departures: make(map[uint64]pendingDeparture), changed: make(map[string]uint64),
	}
}

// ListChanges are the entries of the target list that a version changes.
type ListChanges struct {
	Listed   map[string][]Target // valid entries that are new or changed, by pool
	Unlisted []string            // IDs of the entries that were removed
	// Rejected are the IDs of the entries that are invalid now: their targets are dropped, whatever
	// was listed before.
	Rejected []string
}

// ListUpdate is what a version of the target list has changed.
type ListUpdate struct {
	// Ended are the lifetimes that have ended because their targets started again, according to the
	// targets' own clocks or their software versions.
	Ended []EndedLifetime
	// Departures are the targets that were not leaving before and are now leaving or removed, and
	// DepartedIDs their IDs, sorted. Targets with an invalid entry are left out: they may be
	// running.
	Departures  []Departure
	DepartedIDs []string
}

// EndedLifetime is a lifetime of a target that has ended because the target started again.
type EndedLifetime struct {
	Target
	VersionChanged bool // the next lifetime runs another software version
}

// Update replaces the target list by the one of a version. rejected are the IDs of its invalid
// entries.
func (s *TargetSet) Update(now time.Time, version uint64, pools map[string][]Target, rejected []string) ListUpdate {
	s.incomplete = false
	ch := ListChanges{Listed: pools, Rejected: rejected}
	missing := make(map[string]bool, len(s.entries))
	for id, e := range s.entries {
		missing[id] = e.listed
	}
	for _, targets := range pools {
		for _, t := range targets {
			missing[t.ID] = false
		}
	}
	for _, id := range rejected {
		missing[id] = false
	}
	for id, isMissing := range missing {
		if isMissing {
			ch.Unlisted = append(ch.Unlisted, id)
		}
	}
	return s.Apply(now, version, ch)
}

// Apply applies the changes that lead to a version of the target list. Its cost depends on the
// number of changes, not on that of the targets.
//
// The latest list decides which lifetime of a target is current, not the later start: the wall
// clock of a VM may have been set back between two starts.
func (s *TargetSet) Apply(now time.Time, version uint64, ch ListChanges) ListUpdate {
	s.version = max(s.version, version)
	var u ListUpdate
	for pool, targets := range ch.Listed {
		for _, t := range targets {
			s.list(pool, t, &u)
		}
	}
	for _, id := range ch.Unlisted {
		s.unlist(now, id, &u)
	}
	for _, id := range ch.Rejected {
		s.drop(id)
	}
	s.dropCoveredDepartures()
	slices.Sort(u.DepartedIDs)
	return u
}

// list applies a new or changed entry.
func (s *TargetSet) list(pool string, t Target, u *ListUpdate) {
	id := t.ID
	e, ok := s.entries[id]
	if !ok {
		e = &entry{}
		s.entries[id] = e
	}
	before, wasUsable := e.target, ok && e.isUsable()
	s.markChanged(id)
	if ok && before.UID != t.UID {
		delete(s.byUID, before.UID)
		if versionChanged := before.SoftwareVersion != t.SoftwareVersion; versionChanged || before.StartedAtMs < t.StartedAtMs {
			u.Ended = append(u.Ended, EndedLifetime{Target: before, VersionChanged: versionChanged})
		}
	}
	e.pool, e.row, e.target, e.listed = pool, t, t, true
	s.byUID[e.target.UID] = e
	delete(s.removed, id)
	if d, ok := s.departures[e.target.UID]; ok && d.ListVersion > s.version {
		s.applyDeparture(e, d)
	}
	if wasUsable && e.row.Leaving && e.row.UID == before.UID {
		u.add(Departure{Target: e.row.UID, ListVersion: s.version}, id)
	}
}

// unlist applies the removal of an entry.
func (s *TargetSet) unlist(now time.Time, id string, u *ListUpdate) {
	e, ok := s.entries[id]
	if !ok {
		return
	}
	s.markChanged(id)
	if e.isUsable() {
		u.add(Departure{Target: e.target.UID, ListVersion: s.version, Removed: true}, id)
	}
	e.listed = false
	s.remove(e, now)
}

// remove marks an entry as removed at a time, unless it is removed already.
func (s *TargetSet) remove(e *entry, at time.Time) {
	if e.target.RemovedAt.IsZero() {
		e.target.RemovedAt = at
	}
	s.removed[e.target.ID] = e
}

// drop deletes an entry.
func (s *TargetSet) drop(id string) {
	e, ok := s.entries[id]
	if !ok {
		return
	}
	s.markChanged(id)
	delete(s.entries, id)
	delete(s.removed, id)
	delete(s.byUID, e.target.UID)
}

// markChanged must be called before an entry changes.
func (s *TargetSet) markChanged(id string) {
	if _, ok := s.changed[id]; ok {
		return
	}
	s.changed[id] = 0
	if e, ok := s.entries[id]; ok {
		s.changed[id] = e.target.UID
	}
}

func (u *ListUpdate) add(d Departure, id string) {
	u.Departures, u.DepartedIDs = append(u.Departures, d), append(u.DepartedIDs, id)
}

// TakeChanges returns the changes of the targets that may be used since the last call.
func (s *TargetSet) TakeChanges() TargetChanges {
	var out TargetChanges
	changed := s.changed
	s.changed = make(map[string]uint64) // a map that was large once takes long to visit and to clear
	for id, uid := range changed {
		e, ok := s.entries[id]
		if uid != 0 && (!ok || e.target.UID != uid) {
			out.Dropped = append(out.Dropped, uid)
		}
		if ok {
			out.Updated = append(out.Updated, PoolTarget{e.pool, e.target})
		}
	}
	return out
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
	receivedAt time.Time // when the first pending one of the lifetime was received
	leaving    bool      // it, or an earlier pending one, says that the target is leaving
}

// ApplyDepartures applies departures that another router reported. It returns those that were
// unknown before, and the IDs of the targets that get no new requests as a result. A departure
// counts until a list of its version or a later one arrives, which may take long.
func (s *TargetSet) ApplyDepartures(now time.Time, reported []Departure) (newDepartures []Departure, ids []string) {
	for _, d := range reported {
		if d.ListVersion <= s.version || s.departures[d.Target].ListVersion >= d.ListVersion {
			continue
		}
		pending := pendingDeparture{Departure: d, receivedAt: now, leaving: !d.Removed}
		if earlier, ok := s.departures[d.Target]; ok {
			pending.receivedAt, pending.leaving = earlier.receivedAt, pending.leaving || earlier.leaving
		}
		s.departures[d.Target] = pending
		newDepartures = append(newDepartures, d)
		e, ok := s.byUID[d.Target]
		if !ok {
			continue
		}
		s.markChanged(e.target.ID)
		if e.isUsable() {
			ids = append(ids, e.target.ID)
		}
		s.applyDeparture(e, pending)
	}
	return newDepartures, ids
}

// applyDeparture applies a departure to an entry. A target that was reported as leaving stays so
// until a list covers the report, whatever is reported after it.
func (s *TargetSet) applyDeparture(e *entry, d pendingDeparture) {
	e.target.Leaving = e.target.Leaving || d.leaving
	if d.Removed && !e.target.Leaving {
		s.remove(e, d.receivedAt)
	}
}

// dropCoveredDepartures drops the departures that the latest list covers. Their targets are as that
// list says.
func (s *TargetSet) dropCoveredDepartures() {
	for uid, d := range s.departures {
		if d.ListVersion > s.version {
			continue
		}
		delete(s.departures, uid)
		if e, ok := s.byUID[uid]; ok && e.listed {
			s.markChanged(e.target.ID)
			e.target = e.row
			delete(s.removed, e.target.ID)
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
	dropped := false
	for id, e := range s.removed {
		if retention.isExpired(now, e.target.RemovedAt) {
			s.incomplete = s.incomplete || e.listed
			s.drop(id)
			dropped = true
		}
	}
	return dropped
}

// NeedsWholeList reports whether the next list must be applied by Update: other routers reported
// that a target was removed, its retention has passed, and the list still contains it. If a later
// list contains it as well, its changes don't.
func (s *TargetSet) NeedsWholeList() bool { return s.incomplete }

// HasLifetime reports whether a lifetime is current or still retained.
func (s *TargetSet) HasLifetime(uid uint64) bool {
	_, ok := s.byUID[uid]
	return ok
}
