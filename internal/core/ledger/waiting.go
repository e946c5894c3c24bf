package ledger

import (
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fairqueue"
)

// ask grants, refuses or queues one ask; nil means queued.
func (l *Ledger) ask(now time.Time, router uint32, f *follower, a *peerv1.Ask) *peerv1.Grant {
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
	if l.queue.Contains(router, a.GetId()) || l.waitsPatiently(router, a.GetId()) {
		return nil
	}
	if !l.mustWait(it) {
		if l.isPatient(now, it) {
			l.patient = append(l.patient, it)
			return nil
		}
		if uid, ok := l.place(now, it); ok {
			return l.grant(now, f, it, uid)
		}
	}
	if refusal := l.shed(it); refusal != nil {
		return refusal
	}
	l.queue.Push(it)
	return nil
}

// allExcluded reports whether an ask excludes every target that is up. In a small
// pool each may have failed the request once; to wait for another would be to
// wait until the deadline, so then any will do again.
func (l *Ledger) allExcluded(now time.Time, it fairqueue.Item) bool {
	if len(it.Excluded) == 0 {
		return false
	}
	for i := range l.ordered {
		if l.takes(now, i, it) {
			return false
		}
	}
	return true
}

func clampPriority(p uint32) fairqueue.Priority {
	return fairqueue.Priority(min(p, uint32(fairqueue.Urgent)))
}

// mustWait keeps an ask behind waiting ones of its class or a higher one;
// otherwise a later ask would overtake them when a ticket comes back.
func (l *Ledger) mustWait(it fairqueue.Item) bool {
	return l.queue.HasWaiting(it.Priority) || l.teamFull(it.Team)
}

func (l *Ledger) teamFull(team uint64) bool {
	_, limit := l.teams.TeamLimits(team)
	return limit > 0 && l.teamOpen[team] >= limit
}

func (l *Ledger) grant(now time.Time, f *follower, it fairqueue.Item, uid uint64) *peerv1.Grant {
	l.open(f, it.ID, ticket{target: uid, team: it.Team})
	t := l.target(uid)
	t.granted++
	t.recent = append(t.recent[t.staleGrants(now):], now)
	l.memory.put(it.Chat, visit{target: uid, at: now})
	return &peerv1.Grant{Id: it.ID, Target: uid}
}

// shed refuses an ask that can't be answered in time. The answer is given at
// once, with the time after which the queue will have drained.
func (l *Ledger) shed(it fairqueue.Item) *peerv1.Grant {
	wait := l.expectedWait(it)
	remaining := it.Deadline.Sub(it.ArrivedAt)
	switch {
	case l.queue.Len() >= l.settings.MaxQueued:
		return l.refuse(it, code.QueueFull, wait)
	case wait > remaining:
		return l.refuse(it, code.DeadlineTooShort, wait)
	default:
		return nil
	}
}

func (l *Ledger) refuse(it fairqueue.Item, c code.Code, wait time.Duration) *peerv1.Grant {
	jitter := 1 + 0.5*l.rand.Float64()
	after := time.Duration(float64(max(wait, minRetryAfter)) * jitter)
	return &peerv1.Grant{Id: it.ID, Code: uint32(c), RetryAfterMillis: uint32(after.Milliseconds())}
}

// minRetryAfter keeps refused callers from asking again at once.
const minRetryAfter = 500 * time.Millisecond

// expectedWait estimates how long an ask would wait from the drain rate.
func (l *Ledger) expectedWait(it fairqueue.Item) time.Duration {
	perSecond := l.drain.perSecond(it.ArrivedAt)
	ahead := l.queue.CountAhead(it.Team, it.Priority)
	if perSecond <= 0 {
		return 0 // nothing is known yet: let it wait, its deadline bounds it
	}
	return time.Duration(float64(ahead+1) / perSecond * float64(time.Second))
}

func (l *Ledger) waitsPatiently(router uint32, id uint64) bool {
	for _, it := range l.patient {
		if it.Router == router && it.ID == id {
			return true
		}
	}
	return false
}

// withdraw forgets the waiting asks for which gone is true and returns them.
func (l *Ledger) withdraw(gone func(fairqueue.Item) bool) []fairqueue.Item {
	removed := l.queue.Remove(gone)
	kept := l.patient[:0]
	for _, it := range l.patient {
		if gone(it) {
			removed = append(removed, it)
		} else {
			kept = append(kept, it)
		}
	}
	l.patient = kept
	return removed
}

// servePatient grants the asks whose target has room again, and moves those that
// have waited long enough on.
func (l *Ledger) servePatient(now time.Time) []Delivery {
	var out []Delivery
	kept := l.patient[:0]
	for _, it := range l.patient {
		if l.isPatient(now, it) {
			kept = append(kept, it)
			continue
		}
		if uid, ok := l.place(now, it); ok && !l.mustWait(it) {
			f := l.followers[it.Router]
			out = append(out, Delivery{Router: it.Router, Incarnation: f.incarnation, Grant: l.grant(now, f, it, uid)})
			continue
		}
		l.queue.Push(it)
	}
	l.patient = kept
	return out
}

// serve grants waiting asks while tickets are free.
func (l *Ledger) serve(now time.Time) []Delivery {
	out := l.servePatient(now)
	for l.queue.Len() > 0 {
		var uid uint64
		it, ok := l.queue.PopNext(func(it fairqueue.Item) fairqueue.Decision {
			if l.teamFull(it.Team) {
				return fairqueue.SkipTeam
			}
			var free bool
			uid, free = l.place(now, it)
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
		out = append(out, Delivery{Router: it.Router, Incarnation: f.incarnation, Grant: l.grant(now, f, it, uid)})
	}
	return out
}
