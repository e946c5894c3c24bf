package ledger

import (
	"math"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fairqueue"
)

// target is what the owner knows of one target.
type target struct {
	open     int // tickets of followers
	ghosts   int // tickets of departed routers
	reported int // the target's own count, lagging
	granted  int // grants by this owner since it started

	failures  int // in a row
	flaps     int // suspensions since the last long run of successes
	until     time.Time
	successes int // since the last suspension or join
	ramped    bool
}

func (t *target) held() int { return t.open + t.ghosts }

// suspendAfter failures in a row a target gets no new work for a while.
const suspendAfter = 3

// Suspension grows with each flap: a target that comes and goes costs every
// chat that moves back to it too early.
const (
	suspendBase = time.Second
	suspendMax  = time.Minute
	// forgiveAfter successes in a row the flaps are forgotten.
	forgiveAfter = 200
)

func (t *target) failed(now time.Time) {
	t.failures++
	if t.failures < suspendAfter || t.until.After(now) {
		return
	}
	t.until = now.Add(min(suspendBase<<min(t.flaps, 10), suspendMax))
	t.flaps++
	t.failures = 0
	t.successes = 0
	t.ramped = false
}

func (t *target) succeeded() {
	t.failures = 0
	t.successes++
	if t.successes >= forgiveAfter {
		t.flaps = 0
	}
}

// allowance is the highest count that a starting or recovering target may
// reach: it grows by one with every two answers until the target is up to speed.
func (t *target) allowance(bound int) int {
	if t.ramped {
		return bound
	}
	allowed := 1 + t.successes/2
	if allowed >= bound && t.successes > 0 {
		t.ramped = true
	}
	return min(allowed, bound)
}

// place chooses the target for an ask: the one that the chat ran on last, then
// rendezvous order, then the least loaded; always below the bound.
func (l *Ledger) place(now time.Time, it fairqueue.Item) (uint64, bool) {
	limit := l.limit(now, it.Priority)
	home, remembered := l.memory.get(it.Chat)
	if remembered && l.fits(now, home, limit, it) {
		return home, true
	}
	l.pool.Rank(it.Chat, &l.top, candidates)
	if !remembered && l.top.Len > 0 {
		home = l.pool.Targets[l.top.Index[0]].UID
	}
	if l.waitsForHome(now, it, home) {
		return 0, l.fits(now, home, limit, it)
	}
	for i := range l.top.Len {
		uid := l.pool.Targets[l.top.Index[i]].UID
		if l.fits(now, uid, limit, it) {
			return uid, true
		}
	}
	return l.leastLoaded(now, limit, it)
}

// waitsForHome reports whether an ask still waits for the target that has its
// chat's cache: a short wait costs less than building a long prefix again.
func (l *Ledger) waitsForHome(now time.Time, it fairqueue.Item, home uint64) bool {
	if l.settings.HomePatience == 0 || now.Sub(it.Arrived) >= l.settings.HomePatience {
		return false
	}
	return l.usable(now, home, it)
}

func (l *Ledger) leastLoaded(now time.Time, limit int, it fairqueue.Item) (uint64, bool) {
	var best uint64
	lowest := math.MaxInt
	for i := range l.pool.Targets {
		uid := l.pool.Targets[i].UID
		if held := l.count(now, uid); held < lowest && l.fits(now, uid, limit, it) {
			best, lowest = uid, held
		}
	}
	return best, lowest < math.MaxInt
}

// limit is the highest count a grant of the class may bring a target to.
func (l *Ledger) limit(now time.Time, p fairqueue.Priority) int {
	bound := l.Bound(now)
	limit := l.pool.Spec.MaxPerTarget
	if limit == 0 {
		return bound
	}
	share := limit * min(len(l.followers), l.settings.FleetSize) / max(l.settings.FleetSize, 1)
	share = max(share, 1)
	if p != fairqueue.Urgent && share > 1 {
		share -= max(1, int(urgentReserve*float64(share)))
	}
	return min(bound, share)
}

// count is the upper estimate of a target's open requests. During a rebuild the
// larger of the inventories and the target's own report counts, since
// inventories of some routers are still missing.
func (l *Ledger) count(now time.Time, uid uint64) int {
	t := l.target(uid)
	if l.rebuilding(now) {
		return max(t.held(), t.reported+t.granted)
	}
	return t.held()
}

func (l *Ledger) rebuilding(now time.Time) bool {
	return len(l.followers) < l.settings.FleetSize && now.Sub(l.created) < l.settings.RebuildFor
}

func (l *Ledger) fits(now time.Time, uid uint64, limit int, it fairqueue.Item) bool {
	return l.usable(now, uid, it) && l.count(now, uid)+1 <= l.target(uid).allowance(limit)
}

// usable reports whether a target takes new work of an ask.
func (l *Ledger) usable(now time.Time, uid uint64, it fairqueue.Item) bool {
	i, ok := l.pool.Index(uid)
	if !ok || l.pool.Targets[i].Leaving || l.target(uid).until.After(now) {
		return false
	}
	for _, x := range it.Excluded {
		if x == uid {
			return false
		}
	}
	return true
}
