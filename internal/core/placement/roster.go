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
	entries map[string]*entry // by id
}

type entry struct {
	pool   string
	target Target
	gone   time.Time // when it left the list; zero while listed
}

// NewRoster returns an empty Roster.
func NewRoster() *Roster { return &Roster{entries: make(map[string]*entry)} }

// Update takes in the list, and the ids of entries in it that can't be trusted: those name no
// target from now on, whatever they named before. It returns the lifetimes that have ended
// because their targets have started again since, as told by the targets' own clocks.
//
// The newest list decides which lifetime a target is in, not the later start: the time of day
// of a VM may have been set back between two starts.
func (r *Roster) Update(now time.Time, pools map[string][]Target, rejected []string) (ended []Target) {
	listed := make(map[string]bool)
	for pool, targets := range pools {
		for _, t := range targets {
			listed[t.ID] = true
			if known, ok := r.entries[t.ID]; ok && known.target.UID != t.UID && known.target.Started < t.Started {
				ended = append(ended, known.target)
			}
			r.entries[t.ID] = &entry{pool: pool, target: t}
		}
	}
	for id, e := range r.entries {
		switch {
		case listed[id]:
		case slices.Contains(rejected, id):
			delete(r.entries, id)
		case e.gone.IsZero():
			e.gone = now
		}
	}
	return ended
}

// Staying returns the ids of the listed targets that don't leave.
func (r *Roster) Staying() []string {
	var out []string
	for id, e := range r.entries {
		if e.gone.IsZero() && !e.target.Leaving {
			out = append(out, id)
		}
	}
	return out
}

// Left returns those of some ids that are not staying any more, in order.
func (r *Roster) Left(ids []string) []string {
	var out []string
	for _, id := range ids {
		if e, ok := r.entries[id]; !ok || !e.gone.IsZero() || e.target.Leaving {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Expire drops targets that have been gone for grace and reports whether any was.
func (r *Roster) Expire(now time.Time, grace time.Duration) bool {
	dropped := false
	for id, e := range r.entries {
		if !e.gone.IsZero() && now.Sub(e.gone) >= grace {
			delete(r.entries, id)
			dropped = true
		}
	}
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

// Has returns whether a lifetime is still kept, for each of them.
func (r *Roster) Has() func(uid uint64) bool {
	kept := make(map[uint64]bool, len(r.entries))
	for _, e := range r.entries {
		kept[e.target.UID] = true
	}
	return func(uid uint64) bool { return kept[uid] }
}
