package placement

import (
	"slices"
	"time"
)

// TargetSet keeps targets for a while after they left the platform's list. Entries
// expire while the platform's store is away although their targets work, and are
// back soon after its return; sending everything elsewhere meanwhile would lose the
// caches of the whole pool. A target that is gone for good names another lifetime
// or refuses connections, so a request sent there in between is not run.
type TargetSet struct {
	version  uint64              // of the list in force
	entries  map[string]*entry   // by id
	departed map[uint64]departed // by lifetime
	gone     int                 // entries that left the list
	// lifetimes are those of the entries, nil if they have changed since they were collected.
	lifetimes map[uint64]bool
}

type entry struct {
	pool   string
	target Target
}

// NewTargetSet returns an empty Roster.
func NewTargetSet() *TargetSet {
	return &TargetSet{entries: make(map[string]*entry), departed: make(map[uint64]departed)}
}

// Update takes in the list as of a version, and the ids of entries in it that can't be trusted: those name no
// target from now on, whatever they named before. It returns the lifetimes that have ended
// because their targets have started again since, as told by the targets' own clocks.
//
// The newest list decides which lifetime a target is in, not the later start: the time of day
// of a VM may have been set back between two starts.
func (r *TargetSet) Update(now time.Time, version uint64, pools map[string][]Target, rejected []string) (ended []Target) {
	r.version = max(r.version, version)
	listed := make(map[string]bool)
	for pool, targets := range pools {
		for _, t := range targets {
			listed[t.ID] = true
			known, ok := r.entries[t.ID]
			if !ok {
				known = &entry{target: t}
				r.entries[t.ID] = known
			}
			if known.target.UID != t.UID && known.target.StartedAtMs < t.StartedAtMs {
				ended = append(ended, known.target)
			}
			known.pool, known.target = pool, t
		}
	}
	for id, e := range r.entries {
		switch {
		case listed[id]:
		case slices.Contains(rejected, id):
			delete(r.entries, id)
		case e.target.RemovedAt.IsZero():
			e.target.RemovedAt = now
		}
	}
	r.departAgain()
	r.count()
	return ended
}

// Departure is the news that a target leaves, or is gone from the list.
type Departure struct {
	Target uint64 // its lifetime
	// ListVersion is the version of the list that says so. A later list knows better.
	ListVersion uint64
	Removed     bool
	// Announced: the target has said so itself, in an answer. No list says it yet, and none counts against it.
	Announced bool
	// Exited: the target's process has ended, as a router saw by its connections and its port.
	Exited bool
}

// departed is a departure by a later list than the one in force.
type departed struct {
	Departure
	since time.Time
}

// ActiveTargets returns the listed targets that don't leave, by id.
func (r *TargetSet) ActiveTargets() map[string]Target {
	out := make(map[string]Target, len(r.entries))
	for id, e := range r.entries {
		if e.target.RemovedAt.IsZero() && !e.target.Leaving {
			out[id] = e.target
		}
	}
	return out
}

// DeparturesSince returns which of the targets that were staying leave by the list in force, or are not in it, with their
// ids. Those with an entry that can't be trusted, as listed tells, are left out: they may stay.
func (r *TargetSet) DeparturesSince(staying map[string]Target, listed func(id string) bool) (out []Departure, ids []string) {
	for id, t := range staying {
		e, ok := r.entries[id]
		switch {
		case ok && e.target.Leaving && e.target.UID == t.UID:
			out = append(out, Departure{Target: t.UID, ListVersion: r.version})
		case !listed(id):
			out = append(out, Departure{Target: t.UID, ListVersion: r.version, Removed: true})
		default:
			continue
		}
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return out, ids
}

// ApplyDepartures takes in departures that another router tells of, and returns those that are news, with the ids of the
// targets that get no new work by them. They count until a list comes that knows of them: it may come much later.
func (r *TargetSet) ApplyDepartures(now time.Time, told []Departure) (news []Departure, ids []string) {
	for _, d := range told {
		if d.ListVersion <= r.version || r.departed[d.Target].ListVersion >= d.ListVersion {
			continue
		}
		one := departed{Departure: d, since: now}
		r.departed[d.Target] = one
		news = append(news, d)
		for id, e := range r.entries {
			if e.target.UID == d.Target && e.depart(one) {
				ids = append(ids, id)
			}
		}
	}
	r.count()
	return news, ids
}

// count notes how many entries are gone, so that nobody looks through all of them ten times a second.
func (r *TargetSet) count() {
	r.gone, r.lifetimes = 0, nil
	for _, e := range r.entries {
		if !e.target.RemovedAt.IsZero() {
			r.gone++
		}
	}
}

// depart applies a departure and reports whether the target was staying.
func (e *entry) depart(d departed) bool {
	if e.target.Leaving || !e.target.RemovedAt.IsZero() {
		return false
	}
	if d.Removed {
		e.target.RemovedAt = d.since
	} else {
		e.target.Leaving = true
	}
	return true
}

// departAgain forgets the departures that the list just taken in knows of, and applies the others.
func (r *TargetSet) departAgain() {
	for uid, d := range r.departed {
		if d.ListVersion <= r.version {
			delete(r.departed, uid)
		}
	}
	for _, e := range r.entries {
		if d, ok := r.departed[e.target.UID]; ok {
			e.depart(d)
		}
	}
}

// Retention says for how long targets are used after they left the list.
type Retention struct {
	AfterRemoval time.Duration
	// AfterOutageRemoval is the same, if it is longer, for those that left it from Since on, and none is used until after Until for that: their entries
	// may have lapsed while the platform's store was away. Those that work are back in the list by Until.
	AfterOutageRemoval     time.Duration
	OutageStart, OutageEnd time.Time
}

// drops reports whether a target that left the list at a time is used no longer.
func (k Retention) drops(now, gone time.Time) bool {
	if now.Sub(gone) < k.AfterRemoval {
		return false
	}
	lapsed := k.AfterOutageRemoval > 0 && !gone.Before(k.OutageStart) && now.Before(k.OutageEnd)
	return !lapsed || now.Sub(gone) >= k.AfterOutageRemoval
}

// Expire drops targets that have been gone for long enough and reports whether any was.
func (r *TargetSet) Expire(now time.Time, keep Retention) bool {
	if r.gone == 0 {
		return false
	}
	dropped := false
	for id, e := range r.entries {
		if !e.target.RemovedAt.IsZero() && keep.drops(now, e.target.RemovedAt) {
			delete(r.entries, id)
			dropped = true
		}
	}
	r.count()
	return dropped
}

// ByPool returns the targets by pool.
func (r *TargetSet) ByPool() map[string][]Target {
	out := make(map[string][]Target)
	for _, e := range r.entries {
		out[e.pool] = append(out[e.pool], e.target)
	}
	return out
}

// HasLifetime reports whether a lifetime is still kept.
func (r *TargetSet) HasLifetime(uid uint64) bool {
	if r.lifetimes == nil {
		r.lifetimes = make(map[uint64]bool, len(r.entries))
		for _, e := range r.entries {
			r.lifetimes[e.target.UID] = true
		}
	}
	return r.lifetimes[uid]
}
