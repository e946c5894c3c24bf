package placement

import (
	"slices"
	"time"
)

// Roster keeps targets for a while after they left the platform's list. Entries
// expire while the platform's store is away although their targets work, and are
// back soon after its return; sending everything elsewhere meanwhile would lose the
// caches of the whole pool. A target that is gone for good names another lifetime
// or refuses connections, so a request sent there in between is not run.
type Roster struct {
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

// NewRoster returns an empty Roster.
func NewRoster() *Roster {
	return &Roster{entries: make(map[string]*entry), departed: make(map[uint64]departed)}
}

// Update takes in the list as of a version, and the ids of entries in it that can't be trusted: those name no
// target from now on, whatever they named before. It returns the lifetimes that have ended
// because their targets have started again since, as told by the targets' own clocks.
//
// The newest list decides which lifetime a target is in, not the later start: the time of day
// of a VM may have been set back between two starts.
func (r *Roster) Update(now time.Time, version uint64, pools map[string][]Target, rejected []string) (ended []Target) {
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
			if known.target.UID != t.UID && known.target.Started < t.Started {
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
		case e.target.Gone.IsZero():
			e.target.Gone = now
		}
	}
	r.departAgain()
	r.count()
	return ended
}

// Departure is the news that a target leaves, or is gone from the list.
type Departure struct {
	Target uint64 // its lifetime
	// List is the version of the list that says so. A later list knows better.
	List uint64
	Gone bool
	// Said: the target has said so itself, in an answer. No list says it yet, and none counts against it.
	Said bool
	// Ended: the target's process has ended, as a router saw by its connections and its port.
	Ended bool
}

// departed is a departure by a later list than the one in force.
type departed struct {
	Departure
	since time.Time
}

// Staying returns the listed targets that don't leave, by id.
func (r *Roster) Staying() map[string]Target {
	out := make(map[string]Target, len(r.entries))
	for id, e := range r.entries {
		if e.target.Gone.IsZero() && !e.target.Leaving {
			out[id] = e.target
		}
	}
	return out
}

// Departures returns which of the targets that were staying leave by the list in force, or are not in it, with their
// ids. Those with an entry that can't be trusted, as listed tells, are left out: they may stay.
func (r *Roster) Departures(staying map[string]Target, listed func(id string) bool) (out []Departure, ids []string) {
	for id, t := range staying {
		e, ok := r.entries[id]
		switch {
		case ok && e.target.Leaving && e.target.UID == t.UID:
			out = append(out, Departure{Target: t.UID, List: r.version})
		case !listed(id):
			out = append(out, Departure{Target: t.UID, List: r.version, Gone: true})
		default:
			continue
		}
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return out, ids
}

// Depart takes in departures that another router tells of, and returns those that are news, with the ids of the
// targets that get no new work by them. They count until a list comes that knows of them: it may come much later.
func (r *Roster) Depart(now time.Time, told []Departure) (news []Departure, ids []string) {
	for _, d := range told {
		if d.List <= r.version || r.departed[d.Target].List >= d.List {
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
func (r *Roster) count() {
	r.gone, r.lifetimes = 0, nil
	for _, e := range r.entries {
		if !e.target.Gone.IsZero() {
			r.gone++
		}
	}
}

// depart applies a departure and reports whether the target was staying.
func (e *entry) depart(d departed) bool {
	if e.target.Leaving || !e.target.Gone.IsZero() {
		return false
	}
	if d.Gone {
		e.target.Gone = d.since
	} else {
		e.target.Leaving = true
	}
	return true
}

// departAgain forgets the departures that the list just taken in knows of, and applies the others.
func (r *Roster) departAgain() {
	for uid, d := range r.departed {
		if d.List <= r.version {
			delete(r.departed, uid)
		}
	}
	for _, e := range r.entries {
		if d, ok := r.departed[e.target.UID]; ok {
			e.depart(d)
		}
	}
}

// Keep says for how long targets are used after they left the list.
type Keep struct {
	Gone time.Duration
	// Lapsed is the same, if it is longer, for those that left it from Since on, and none is used until after Until for that: their entries
	// may have lapsed while the platform's store was away. Those that work are back in the list by Until.
	Lapsed       time.Duration
	Since, Until time.Time
}

// drops reports whether a target that left the list at a time is used no longer.
func (k Keep) drops(now, gone time.Time) bool {
	if now.Sub(gone) < k.Gone {
		return false
	}
	lapsed := k.Lapsed > 0 && !gone.Before(k.Since) && now.Before(k.Until)
	return !lapsed || now.Sub(gone) >= k.Lapsed
}

// Expire drops targets that have been gone for long enough and reports whether any was.
func (r *Roster) Expire(now time.Time, keep Keep) bool {
	if r.gone == 0 {
		return false
	}
	dropped := false
	for id, e := range r.entries {
		if !e.target.Gone.IsZero() && keep.drops(now, e.target.Gone) {
			delete(r.entries, id)
			dropped = true
		}
	}
	r.count()
	return dropped
}

// Pools returns the targets by pool.
func (r *Roster) Pools() map[string][]Target {
	out := make(map[string][]Target)
	for _, e := range r.entries {
		out[e.pool] = append(out[e.pool], e.target)
	}
	return out
}

// Has reports whether a lifetime is still kept.
func (r *Roster) Has(uid uint64) bool {
	if r.lifetimes == nil {
		r.lifetimes = make(map[uint64]bool, len(r.entries))
		for _, e := range r.entries {
			r.lifetimes[e.target.UID] = true
		}
	}
	return r.lifetimes[uid]
}
