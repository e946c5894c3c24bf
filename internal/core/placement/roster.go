package placement

import "time"

// Roster keeps targets for a while after they left the platform's list. Entries
// expire while the platform's store is away although their targets work, and are
// back soon after its return; sending everything elsewhere meanwhile would lose the
// caches of the whole pool. A target that is gone for good names another lifetime
// or refuses connections, so a request sent there in between is not run.
type Roster struct {
	entries map[uint64]*entry
}

type entry struct {
	pool   string
	target Target
	gone   time.Time // when it left the list; zero while listed
}

// NewRoster returns an empty Roster.
func NewRoster() *Roster { return &Roster{entries: make(map[uint64]*entry)} }

// Update takes in the list.
func (r *Roster) Update(now time.Time, pools map[string][]Target) {
	listed := make(map[uint64]bool)
	for pool, targets := range pools {
		for _, t := range targets {
			listed[t.UID] = true
			r.entries[t.UID] = &entry{pool: pool, target: t}
		}
	}
	for uid, e := range r.entries {
		if !listed[uid] && e.gone.IsZero() {
			e.gone = now
		}
	}
}

// Expire drops targets that have been gone for grace and reports whether any was.
func (r *Roster) Expire(now time.Time, grace time.Duration) bool {
	dropped := false
	for uid, e := range r.entries {
		if !e.gone.IsZero() && now.Sub(e.gone) >= grace {
			delete(r.entries, uid)
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

// Has reports whether a target is still kept.
func (r *Roster) Has(uid uint64) bool {
	_, ok := r.entries[uid]
	return ok
}
