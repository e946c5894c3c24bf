package ledger

import (
	"maps"
	"slices"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fairqueue"
)

// orphan is a ticket whose router has departed: it went silent, restarted or follows another
// owner.
type orphan struct {
	router      uint32
	incarnation uint64
	target      uint64
	departedAt  time.Time
	// changedOwner is true if the router follows another owner, whose mean then includes the
	// ticket.
	changedOwner bool
	// confirmed is true if the target reported the request as still open.
	confirmed bool
}

// orphanTimeout returns how long an orphan is kept.
func (l *Ledger) orphanTimeout(o orphan) time.Duration {
	if o.changedOwner || o.confirmed {
		return l.settings.MaxOrphanTimeout
	}
	return l.settings.OrphanTimeout
}

// removeOrphans removes the orphaned tickets that match.
func (l *Ledger) removeOrphans(match func(orphan) bool) {
	kept := l.orphans[:0]
	for _, o := range l.orphans {
		if match(o) {
			l.target(o.target).orphans--
		} else {
			kept = append(kept, o)
		}
	}
	l.orphans = kept
}

// RemoveFollower removes a router that went silent or restarted or, if changedOwner is true, a
// router that follows another owner. It returns the grants that became possible.
func (l *Ledger) RemoveFollower(now time.Time, router uint32, changedOwner bool) []Delivery {
	l.orphanTickets(now, router, changedOwner)
	return l.grantWaiting(now)
}

// orphanTickets turns the tickets of a departed router into orphans. The targets may still
// process the requests. If their slots were granted again at once, the targets would be
// overloaded.
func (l *Ledger) orphanTickets(now time.Time, router uint32, changedOwner bool) {
	f, ok := l.followers[router]
	if !ok {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(f.tickets)) {
		t := f.tickets[id]
		l.close(f, id)
		l.target(t.target).orphans++
		l.orphans = append(l.orphans, orphan{
			router: router, incarnation: f.incarnation, target: t.target, departedAt: now, changedOwner: changedOwner,
		})
	}
	delete(l.followers, router)
	l.removeWaiting(func(it fairqueue.Item) bool { return it.Router == router })
}

// NeedsLoadReports reports whether the ledger needs the targets' own counts of open requests: to
// resolve orphans, or because inventories are still missing.
func (l *Ledger) NeedsLoadReports(now time.Time) bool {
	return len(l.orphans) > 0 || l.isRebuilding(now)
}

// reportLag is how long after a grant the load report of a target may not yet include the
// request.
const reportLag = 300 * time.Millisecond

// ApplyLoadReport processes a target's own count of open requests, taken at takenAt. It resolves
// the target's older orphans: the requests that the report shows in addition to the followers'
// tickets still run, so as many orphans are confirmed and count in full, and the others are
// removed. Requests granted within reportLag may not have arrived at the target. They are
// subtracted from the tickets, since otherwise each of them would take the place of an orphan
// that still runs.
func (l *Ledger) ApplyLoadReport(uid uint64, open int, takenAt time.Time) []Delivery {
	t := l.target(uid)
	recent := t.grantsSince(takenAt.Add(-reportLag))
	t.reportedOpen, t.grantsSinceReport = open, recent
	isCovered := func(o orphan) bool { return o.target == uid && !o.changedOwner && o.departedAt.Before(takenAt) }
	unaccounted := open - (t.followerTickets - recent)
	l.removeOrphans(func(o orphan) bool {
		if !isCovered(o) {
			return false
		}
		unaccounted--
		return unaccounted < 0
	})
	for i := range l.orphans {
		l.orphans[i].confirmed = l.orphans[i].confirmed || isCovered(l.orphans[i])
	}
	return l.grantWaiting(takenAt)
}
