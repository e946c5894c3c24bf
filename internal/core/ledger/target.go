package ledger

import (
	"math"
	"slices"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fairqueue"
)

// target is the owner's state of one target.
type target struct {
	followerTickets   int // tickets of followers
	orphans           int // tickets of departed routers
	reportedOpen      int // the target's own count in its last load report
	grantsSinceReport int // grants that reportedOpen may not include

	recentGrants []time.Time // times of the grants within reportLag, oldest first

	consecutiveFailures int
	// failingRouter is the only router that has seen these failures, or those of the suspension; 0 if
	// there are several.
	failingRouter  uint32
	suspensions    int // consecutive suspensions, reset after resetSuspensionsAfter successes
	suspendedUntil time.Time
	successes      int // since the last suspension or since the target joined
	warmedUp       bool
}

func (t *target) ticketCount() int { return t.followerTickets + t.orphans }

// expiredGrants returns how many entries of recentGrants are older than reportLag.
func (t *target) expiredGrants(now time.Time) int {
	return len(t.recentGrants) - t.grantsSince(now.Add(-reportLag))
}

// grantsSince returns the number of entries of recentGrants after a time.
func (t *target) grantsSince(since time.Time) int {
	n := 0
	for i := len(t.recentGrants) - 1; i >= 0 && t.recentGrants[i].After(since); i-- {
		n++
	}
	return n
}

// suspendAfterFailures is the number of consecutive failures after which a target is suspended.
const suspendAfterFailures = 3

// The duration of a suspension doubles with each suspension: each chat that returns too early to
// a target that keeps failing loses its cache again.
const (
	minSuspension = time.Second
	maxSuspension = 15 * time.Second
	// resetSuspensionsAfter is the number of successes since the last suspension after which the
	// duration starts at minSuspension again.
	resetSuspensionsAfter = 200
)

// recordFailure counts a failed request and suspends the target after suspendAfterFailures
// consecutive failures. The target is cold after the suspension.
func (t *target) recordFailure(now time.Time, router uint32) {
	if t.consecutiveFailures == 0 && !t.suspendedUntil.After(now) {
		t.failingRouter = router
	} else if t.failingRouter != router {
		t.failingRouter = 0
	}
	t.consecutiveFailures++
	if t.consecutiveFailures < suspendAfterFailures || t.suspendedUntil.After(now) {
		return
	}
	t.suspendedUntil = now.Add(min(minSuspension<<min(t.suspensions, 10), maxSuspension))
	t.suspensions++
	t.consecutiveFailures = 0
	t.successes = 0
	t.warmedUp = false
}

// forgetFailures forgets failures that only one router has seen, and ends the suspension that they led
// to.
func (t *target) forgetFailures(router uint32) {
	if t.failingRouter != router || router == 0 {
		return
	}
	t.consecutiveFailures, t.failingRouter = 0, 0
	if !t.suspendedUntil.IsZero() {
		t.suspendedUntil, t.warmedUp = time.Time{}, true
		t.suspensions = max(t.suspensions-1, 0)
	}
}

// recordSuccess counts a successful request.
func (t *target) recordSuccess() {
	t.consecutiveFailures = 0
	t.successes++
	if t.successes >= resetSuspensionsAfter {
		t.suspensions = 0
	}
}

// warmUpLimit returns the highest number of tickets that a cold target may reach. It grows by
// one with every two successes until it reaches the bound, which ends the warm-up.
func (t *target) warmUpLimit(bound int) int {
	if t.warmedUp {
		return bound
	}
	allowed := 1 + t.successes/2
	if allowed >= bound && t.successes > 0 {
		t.warmedUp = true
	}
	return min(allowed, bound)
}

// chooseTarget chooses the target for a request, always below the load bound. For a chat with a
// history it tries the chat's last targets, the most recent first. Otherwise it chooses the
// least loaded target: sending chats without a cache to their rendezvous target would gain
// nothing and fill that target for the chats that have a cache there. Rendezvous order is used
// only if the chat history is disabled.
func (l *Ledger) chooseTarget(now time.Time, it fairqueue.Item) (uint64, bool) {
	ticketLimit := l.ticketLimit(now, it.Priority)
	placements, returning := l.chatHistories.get(it.Chat)
	if returning {
		for _, v := range placements {
			if l.hasRoom(now, v.target, ticketLimit, it) {
				return v.target, true
			}
		}
		return l.leastLoadedTarget(now, ticketLimit, it)
	}
	if l.settings.ChatHistorySize > 0 {
		return l.leastLoadedTarget(now, ticketLimit, it)
	}
	l.pool.RankTargets(it.Chat, &l.ranking, rendezvousCandidates)
	for i := range l.ranking.Len {
		uid := l.pool.Targets[l.ranking.Index[i]].UID
		if l.hasRoom(now, uid, ticketLimit, it) {
			return uid, true
		}
	}
	return l.leastLoadedTarget(now, ticketLimit, it)
}

// shouldWaitForCache reports whether a request should wait for a target that holds its chat's
// cache. A short wait costs less than computing a long prefix again. Urgent requests never wait
// for a cache.
func (l *Ledger) shouldWaitForCache(now time.Time, it fairqueue.Item) bool {
	if it.Priority == fairqueue.Urgent || now.Sub(it.ArrivedAt) >= l.settings.CacheWaitTimeout {
		return false
	}
	placements, returning := l.chatHistories.get(it.Chat)
	if !returning {
		return false
	}
	ticketLimit := l.ticketLimit(now, it.Priority)
	usable := false
	for _, v := range placements {
		if l.hasRoom(now, v.target, ticketLimit, it) {
			return false
		}
		usable = usable || l.isUsable(now, v.target, it)
	}
	return usable
}

// leastLoadedTarget returns the usable target with the lowest load estimate that would stay within
// ticketLimit.
func (l *Ledger) leastLoadedTarget(now time.Time, ticketLimit int, it fairqueue.Item) (uint64, bool) {
	var best uint64
	lowest := math.MaxInt
	rebuilding := l.isRebuilding(now)
	for i, t := range l.targetsByIndex {
		loadEstimate := t.loadEstimate(rebuilding)
		if loadEstimate < lowest && l.acceptsWork(now, i, it) && loadEstimate+1 <= t.warmUpLimit(ticketLimit) {
			best, lowest = l.pool.Targets[i].UID, loadEstimate
		}
	}
	return best, lowest < math.MaxInt
}

// ticketLimit returns the highest number of tickets to which a grant of a priority class may
// bring a target.
func (l *Ledger) ticketLimit(now time.Time, p fairqueue.Priority) int {
	bound := l.LoadBound(now)
	ticketLimit := l.pool.Spec.MaxPerTarget
	if ticketLimit == 0 {
		return bound
	}
	share := ticketLimit * min(len(l.followers), l.settings.FleetSize) / max(l.settings.FleetSize, 1)
	return min(bound, max(1, share-reservedSlots(share, p)))
}

// reservedSlots returns how many slots of a target a priority class leaves to higher classes.
// The reserve keeps room at every target for urgent requests. During a surge of bulk requests it
// also keeps room for chats that return to the target with their cache.
func reservedSlots(share int, p fairqueue.Priority) int {
	switch p {
	case fairqueue.Urgent:
		return 0
	case fairqueue.Normal:
		return int(math.Ceil(normalReserve * float64(share)))
	default:
		return int(math.Ceil(bulkReserve * float64(share)))
	}
}

// loadEstimate returns an upper estimate of the target's open requests. During a rebuild the
// inventories of some routers are missing, so the estimate is the larger of the ticket count and
// the target's own report.
func (t *target) loadEstimate(rebuilding bool) int {
	if rebuilding {
		return max(t.ticketCount(), t.reportedOpen+t.grantsSinceReport)
	}
	return t.ticketCount()
}

// isRebuilding reports whether inventories of routers are still missing, for at most RebuildTimeout
// after the ledger was created.
func (l *Ledger) isRebuilding(now time.Time) bool {
	return len(l.followers) < l.settings.FleetSize && now.Sub(l.createdAt) < l.settings.RebuildTimeout
}

// hasRoom reports whether a target accepts a request and would stay within ticketLimit, and within
// its warm-up limit if it is cold.
func (l *Ledger) hasRoom(now time.Time, uid uint64, ticketLimit int, it fairqueue.Item) bool {
	i, ok := l.pool.TargetIndex(uid)
	if !ok || !l.acceptsWork(now, int(i), it) {
		return false
	}
	t := l.targetsByIndex[i]
	return t.loadEstimate(l.isRebuilding(now))+1 <= t.warmUpLimit(ticketLimit)
}

// isUsable reports whether a target of the pool accepts a new request.
func (l *Ledger) isUsable(now time.Time, uid uint64, it fairqueue.Item) bool {
	i, ok := l.pool.TargetIndex(uid)
	return ok && l.acceptsWork(now, int(i), it)
}

// acceptsWork reports whether the target at index i of the pool accepts a new request: it is not
// leaving, not suspended and not excluded by the request.
func (l *Ledger) acceptsWork(now time.Time, i int, it fairqueue.Item) bool {
	if l.pool.Targets[i].Leaving || l.targetsByIndex[i].suspendedUntil.After(now) {
		return false
	}
	return !slices.Contains(it.Excluded, l.pool.Targets[i].UID)
}
