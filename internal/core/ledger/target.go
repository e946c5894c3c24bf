package ledger

import (
	"math"
	"slices"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fairqueue"
)

// target is what the owner knows of one target.
type target struct {
	open     int // tickets of followers
	ghosts   int // tickets of departed routers
	reported int // the target's own count, lagging
	granted  int // grants that the reported count may miss

	recent []time.Time // grants of the last moments, oldest first

	failures  int // in a row
	flaps     int // suspensions since the last long run of successes
	until     time.Time
	successes int // since the last suspension or join
	ramped    bool
}

func (t *target) held() int { return t.open + t.ghosts }

// staleGrants returns how many of the recent grants are no longer recent.
func (t *target) staleGrants(now time.Time) int {
	return len(t.recent) - t.grantedSince(now.Add(-reportSettles))
}

// grantedSince counts the recent grants after a time.
func (t *target) grantedSince(since time.Time) int {
	n := 0
	for i := len(t.recent) - 1; i >= 0 && t.recent[i].After(since); i-- {
		n++
	}
	return n
}

// suspendAfter failures in a row a target gets no new work for a while.
const suspendAfter = 3

// Suspension grows with each flap: a target that comes and goes costs every
// chat that moves back to it too early.
const (
	suspendBase = time.Second
	suspendMax  = 15 * time.Second
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

// place chooses the target for an ask, always below the bound: for a returning
// chat the targets that it ran on, most recent first, and for any other the
// least loaded. Sending chats without a cache to their rendezvous target would
// gain nothing and fill it up for those that have one there.
func (l *Ledger) place(now time.Time, it fairqueue.Item) (uint64, bool) {
	limit := l.limit(now, it.Priority)
	past, returning := l.memory.get(it.Chat)
	if returning {
		for _, v := range past {
			if l.fits(now, v.target, limit, it) {
				return v.target, true
			}
		}
		return l.leastLoaded(now, limit, it)
	}
	if l.settings.ChatHistorySize > 0 {
		return l.leastLoaded(now, limit, it)
	}
	l.pool.RankTargets(it.Chat, &l.top, candidates)
	for i := range l.top.Len {
		uid := l.pool.Targets[l.top.Index[i]].UID
		if l.fits(now, uid, limit, it) {
			return uid, true
		}
	}
	return l.leastLoaded(now, limit, it)
}

// isPatient reports whether an ask should wait for a target that holds its chat's
// cache: a short wait costs less than building a long prefix again. Urgent asks
// never wait for one.
func (l *Ledger) isPatient(now time.Time, it fairqueue.Item) bool {
	if it.Priority == fairqueue.Urgent || now.Sub(it.ArrivedAt) >= l.settings.CacheWaitTimeout {
		return false
	}
	past, returning := l.memory.get(it.Chat)
	if !returning {
		return false
	}
	limit := l.limit(now, it.Priority)
	usable := false
	for _, v := range past {
		if l.fits(now, v.target, limit, it) {
			return false
		}
		usable = usable || l.usable(now, v.target, it)
	}
	return usable
}

func (l *Ledger) leastLoaded(now time.Time, limit int, it fairqueue.Item) (uint64, bool) {
	var best uint64
	lowest := math.MaxInt
	rebuilding := l.rebuilding(now)
	for i, t := range l.ordered {
		count := t.count(rebuilding)
		if count < lowest && l.takes(now, i, it) && count+1 <= t.allowance(limit) {
			best, lowest = l.pool.Targets[i].UID, count
		}
	}
	return best, lowest < math.MaxInt
}

// limit is the highest count a grant of the class may bring a target to.
func (l *Ledger) limit(now time.Time, p fairqueue.Priority) int {
	bound := l.LoadBound(now)
	limit := l.pool.Spec.MaxPerTarget
	if limit == 0 {
		return bound
	}
	share := limit * min(len(l.followers), l.settings.FleetSize) / max(l.settings.FleetSize, 1)
	return min(bound, max(1, share-reserved(share, p)))
}

// reserved is how many places of a target a class must leave to higher classes.
// It keeps room at every target for urgent requests, and during a surge of bulk
// work also for chats that return to the target with their cache.
func reserved(share int, p fairqueue.Priority) int {
	switch p {
	case fairqueue.Urgent:
		return 0
	case fairqueue.Normal:
		return int(math.Ceil(normalReserve * float64(share)))
	default:
		return int(math.Ceil(bulkReserve * float64(share)))
	}
}

// count is the upper estimate of the target's open requests. During a rebuild the
// larger of the inventories and the target's own report counts, since
// inventories of some routers are still missing.
func (t *target) count(rebuilding bool) int {
	if rebuilding {
		return max(t.held(), t.reported+t.granted)
	}
	return t.held()
}

func (l *Ledger) rebuilding(now time.Time) bool {
	return len(l.followers) < l.settings.FleetSize && now.Sub(l.created) < l.settings.RebuildTimeout
}

// fits reports whether an ask may be granted a target below the limit.
func (l *Ledger) fits(now time.Time, uid uint64, limit int, it fairqueue.Item) bool {
	i, ok := l.pool.TargetIndex(uid)
	if !ok || !l.takes(now, int(i), it) {
		return false
	}
	t := l.ordered[i]
	return t.count(l.rebuilding(now))+1 <= t.allowance(limit)
}

// usable reports whether a target takes new work of an ask.
func (l *Ledger) usable(now time.Time, uid uint64, it fairqueue.Item) bool {
	i, ok := l.pool.TargetIndex(uid)
	return ok && l.takes(now, int(i), it)
}

// takes is usable for the target at a position in the pool.
func (l *Ledger) takes(now time.Time, i int, it fairqueue.Item) bool {
	if l.pool.Targets[i].Leaving || l.ordered[i].until.After(now) {
		return false
	}
	return !slices.Contains(it.Excluded, l.pool.Targets[i].UID)
}
