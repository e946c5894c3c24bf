package ledger

import (
	"maps"
	"slices"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fairqueue"
)

// ghost is a ticket whose router departed.
type ghost struct {
	router      uint32
	incarnation uint64
	target      uint64
	since       time.Time
	// moved says that the router follows another owner, which counts the ticket
	// towards its own mean.
	moved bool
	// confirmed says that the target reported the request as still open.
	confirmed bool
}

func (l *Ledger) ghostLife(g ghost) time.Duration {
	if g.moved || g.confirmed {
		return l.settings.MovedOrphanTimeout
	}
	return l.settings.OrphanTimeout
}

// dropGhosts removes the ghosts for which gone is true.
func (l *Ledger) dropGhosts(gone func(ghost) bool) {
	kept := l.ghosts[:0]
	for _, g := range l.ghosts {
		if gone(g) {
			l.target(g.target).ghosts--
		} else {
			kept = append(kept, g)
		}
	}
	l.ghosts = kept
}

// RemoveFollower removes a router that went silent or restarted, or, with moved, one
// that follows another owner.
func (l *Ledger) RemoveFollower(now time.Time, router uint32, moved bool) []Delivery {
	l.depart(now, router, moved)
	return l.serve(now)
}

// depart turns the router's tickets into ghosts: the targets may still work on
// them, so granting their places at once would overrun the targets.
func (l *Ledger) depart(now time.Time, router uint32, moved bool) {
	f, ok := l.followers[router]
	if !ok {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(f.tickets)) {
		t := f.tickets[id]
		l.close(f, id)
		l.target(t.target).ghosts++
		l.ghosts = append(l.ghosts, ghost{
			router: router, incarnation: f.incarnation, target: t.target, since: now, moved: moved,
		})
	}
	delete(l.followers, router)
	l.withdraw(func(it fairqueue.Item) bool { return it.Router == router })
}

// NeedsLoadReports reports whether the targets' own counts are needed: for ghosts,
// or because inventories are still missing.
func (l *Ledger) NeedsLoadReports(now time.Time) bool {
	return len(l.ghosts) > 0 || l.rebuilding(now)
}

// reportSettles is how long after a grant a target's report may still miss it.
const reportSettles = 300 * time.Millisecond

// ApplyLoadReport takes in a target's own count of open requests, taken at a time. It
// settles the target's older ghosts: as many as the report shows beyond the
// tickets are real and count in full, the others are gone. Tickets granted a
// moment ago may not have arrived at the target; taken for counted, they would
// fill a real ghost's place, so they are left out.
func (l *Ledger) ApplyLoadReport(uid uint64, open int, taken time.Time) []Delivery {
	t := l.target(uid)
	recent := t.grantedSince(taken.Add(-reportSettles))
	t.reported, t.granted = open, recent
	settles := func(g ghost) bool { return g.target == uid && !g.moved && g.since.Before(taken) }
	extra := open - (t.open - recent)
	l.dropGhosts(func(g ghost) bool {
		if !settles(g) {
			return false
		}
		extra--
		return extra < 0
	})
	for i := range l.ghosts {
		l.ghosts[i].confirmed = l.ghosts[i].confirmed || settles(l.ghosts[i])
	}
	return l.serve(taken)
}
