package ledger

import (
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fairqueue"
)

// handleTicketRequest grants, refuses or queues one request for a ticket. A nil result means that
// the request is queued.
func (l *Ledger) handleTicketRequest(now time.Time, router uint32, f *follower, a *peerv1.Ask) *peerv1.Grant {
	if t, ok := f.tickets[a.GetId()]; ok {
		return &peerv1.Grant{Id: a.GetId(), Target: t.target}
	}
	weight, _ := l.teams.TeamLimits(a.GetTeam())
	it := fairqueue.Item{
		Router: router, ID: a.GetId(), Team: a.GetTeam(), Weight: weight,
		Priority: clampPriority(a.GetPriority()), Chat: a.GetChat(), Excluded: a.GetExcluded(),
		ArrivedAt: now, Deadline: now.Add(time.Duration(a.GetDeadlineMillis()) * time.Millisecond),
	}
	if l.allExcluded(now, it) {
		it.Excluded = nil
	}
	if l.queue.Contains(router, a.GetId()) || l.isWaitingForCache(router, a.GetId()) {
		return nil
	}
	if !l.mustQueue(it) {
		if l.shouldWaitForCache(now, it) {
			l.cacheWaiters = append(l.cacheWaiters, it)
			return nil
		}
		if uid, ok := l.chooseTarget(now, it); ok {
			return l.grantTicket(now, f, it, uid)
		}
	}
	if refusal := l.shedRequest(it); refusal != nil {
		return refusal
	}
	l.queue.Push(it)
	return nil
}

// allExcluded reports whether a request excludes every usable target. In a small pool each target
// may have failed the request once. The request would then wait until its deadline, so
// handleTicketRequest drops its exclusions.
func (l *Ledger) allExcluded(now time.Time, it fairqueue.Item) bool {
	if len(it.Excluded) == 0 {
		return false
	}
	for i := range l.targetsByIndex {
		if l.acceptsWork(now, i, it) {
			return false
		}
	}
	return true
}

func clampPriority(p uint32) fairqueue.Priority {
	return fairqueue.Priority(min(p, uint32(fairqueue.Urgent)))
}

// mustQueue reports whether a request has to queue behind waiting requests of its class or a
// higher one, or because its team is at its limit. Without the queue a later request would
// overtake the waiting ones when a ticket is released.
func (l *Ledger) mustQueue(it fairqueue.Item) bool {
	return l.queue.HasWaiting(it.Priority) || l.isTeamAtLimit(it.Team)
}

func (l *Ledger) isTeamAtLimit(team uint64) bool {
	_, limit := l.teams.TeamLimits(team)
	return limit > 0 && l.teamOpen[team] >= limit
}

// grantTicket grants a request the target and records the chat's placement.
func (l *Ledger) grantTicket(now time.Time, f *follower, it fairqueue.Item, uid uint64) *peerv1.Grant {
	l.open(f, it.ID, ticket{target: uid, team: it.Team})
	t := l.target(uid)
	t.grantsSinceReport++
	t.recentGrants = append(t.recentGrants[t.expiredGrants(now):], now)
	l.chatHistories.put(it.Chat, placement{target: uid, placedAt: now})
	return &peerv1.Grant{Id: it.ID, Target: uid}
}

// shedRequest returns a refusal if the queue is full or the request can't be served before its
// deadline, otherwise nil. The refusal is sent at once. Its retry time is the estimated wait.
func (l *Ledger) shedRequest(it fairqueue.Item) *peerv1.Grant {
	wait := l.expectedWait(it)
	remaining := it.Deadline.Sub(it.ArrivedAt)
	switch {
	case l.queue.Len() >= l.settings.MaxQueued:
		return l.newRefusal(it, code.QueueFull, wait)
	case wait > remaining:
		return l.newRefusal(it, code.DeadlineTooShort, wait)
	default:
		return nil
	}
}

// newRefusal returns a refusal. Its retry time is the wait, at least minRetryAfter, with random
// jitter, so that refused callers do not retry at the same time.
func (l *Ledger) newRefusal(it fairqueue.Item, c code.Code, wait time.Duration) *peerv1.Grant {
	jitter := 1 + 0.5*l.rand.Float64()
	after := time.Duration(float64(max(wait, minRetryAfter)) * jitter)
	return &peerv1.Grant{Id: it.ID, Code: uint32(c), RetryAfterMillis: uint32(after.Milliseconds())}
}

// minRetryAfter is the shortest retry time in a refusal. It keeps refused callers from retrying
// immediately.
const minRetryAfter = 500 * time.Millisecond

// expectedWait estimates from the rate of releases how long a request would wait in the queue.
func (l *Ledger) expectedWait(it fairqueue.Item) time.Duration {
	perSecond := l.releaseRate.perSecond(it.ArrivedAt)
	ahead := l.queue.CountAhead(it.Team, it.Priority)
	if perSecond <= 0 {
		return 0 // no release was observed yet: the request waits, at most until its deadline
	}
	return time.Duration(float64(ahead+1) / perSecond * float64(time.Second))
}

func (l *Ledger) isWaitingForCache(router uint32, id uint64) bool {
	for _, it := range l.cacheWaiters {
		if it.Router == router && it.ID == id {
			return true
		}
	}
	return false
}

// removeWaiting removes the requests that match from the queue and from the requests that wait for
// a cache, and returns them.
func (l *Ledger) removeWaiting(match func(fairqueue.Item) bool) []fairqueue.Item {
	removed := l.queue.Remove(match)
	kept := l.cacheWaiters[:0]
	for _, it := range l.cacheWaiters {
		if match(it) {
			removed = append(removed, it)
		} else {
			kept = append(kept, it)
		}
	}
	l.cacheWaiters = kept
	return removed
}

// grantCacheWaiters grants the requests whose cached target has room again. Requests whose wait
// is over are granted another target or moved to the queue.
func (l *Ledger) grantCacheWaiters(now time.Time) []Delivery {
	var out []Delivery
	kept := l.cacheWaiters[:0]
	for _, it := range l.cacheWaiters {
		if l.shouldWaitForCache(now, it) {
			kept = append(kept, it)
			continue
		}
		if uid, ok := l.chooseTarget(now, it); ok && !l.mustQueue(it) {
			f := l.followers[it.Router]
			out = append(out, Delivery{Router: it.Router, Incarnation: f.incarnation, Grant: l.grantTicket(now, f, it, uid)})
			continue
		}
		l.queue.Push(it)
	}
	l.cacheWaiters = kept
	return out
}

// grantWaiting grants waiting requests while targets have room.
func (l *Ledger) grantWaiting(now time.Time) []Delivery {
	out := l.grantCacheWaiters(now)
	for l.queue.Len() > 0 {
		var uid uint64
		it, ok := l.queue.PopNext(func(it fairqueue.Item) fairqueue.Decision {
			if l.isTeamAtLimit(it.Team) {
				return fairqueue.SkipTeam
			}
			var free bool
			uid, free = l.chooseTarget(now, it)
			switch {
			case free:
				return fairqueue.Accept
			case len(it.Excluded) > 0:
				return fairqueue.SkipTeam
			default:
				return fairqueue.StopClass
			}
		})
		if !ok {
			return out
		}
		f, known := l.followers[it.Router]
		if !known {
			continue
		}
		out = append(out, Delivery{Router: it.Router, Incarnation: f.incarnation, Grant: l.grantTicket(now, f, it, uid)})
	}
	return out
}
