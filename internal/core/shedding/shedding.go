// Package shedding decides which requests of a pool are refused when its targets are short of
// capacity. Requests are ordered by urgency, and within an urgency by the work that they need and by
// the time that is left to them. All routers know the load of the fleet from the same reports, so
// they shed the same requests without further messages.
package shedding

import (
	"math"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
)

const (
	// excessMargin is by how much the utilization counts as higher for excess, so that it is cut well before
	// other requests of its urgency.
	excessMargin = 0.1
	// maxQueuedPart is how long requests of the ranks that are cut, or will be if the utilization rises by
	// queueMargin, may wait at a target, as a part of their objective. Behind more urgent ones they would
	// wait there until their deadlines or until their callers leave.
	maxQueuedPart = 0.1
	queueMargin   = 0.1
	// unknownFirstEvent is the time from the slot to the first event that is assumed if it is unknown, as a
	// part of the objective.
	unknownFirstEvent = 0.5
	// returningAllowance is by how much lower the utilization counts for a returning caller. It bounds
	// the advantage of callers that send short time budgets. Excess has none: the repeats of a
	// team's surge would be admitted nearly in full.
	returningAllowance = 0.1
	// deadlineMargin is by how much the estimated work must exceed the remaining time for a refusal.
	// Estimates are often wrong by half, and a caller with a request of that size has nothing to gain
	// from a retry.
	deadlineMargin = 1.5
	// slotTimeWeight is the weight of one request in the mean slot time: about the last thirty count.
	slotTimeWeight = 0.033
	// initialSlotTime is the mean slot time before any request has ended.
	initialSlotTime = time.Second
)

// Request is a request that has a target.
type Request struct {
	Team    string // empty if the request has none
	Route   string
	Urgency Urgency
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Objective is the desired time to the answer, or to the first event of a stream; 0 if none.
	Objective time.Duration
	// ExpectedWait is the time until the request gets a slot of its target if it waits for all that are
	// open there. FirstEvent is the time from the slot to the first event, SlotTime the time that it holds
	// the slot. Each is 0 if unknown.
	ExpectedWait, FirstEvent, SlotTime time.Duration
	// WorkPercentile is the part of the route's requests with less work; 0.5 if unknown.
	WorkPercentile float64
	// Elapsed is the time since the request arrived at this router.
	Elapsed time.Duration
	// Retry is true if this router has admitted the same request before.
	Retry bool
}

// Load is the load of a pool as the whole fleet knows it.
type Load struct {
	Utilization float64 // open requests divided by slots; 0 if unknown
	// TeamWork is the work of the teams at the other routers, see TeamHash. Other teams are unknown.
	TeamWork map[uint64]time.Duration
	Routers  int // routers that are alive, including this one
	// TargetsOrderByRank is true if targets get the ranks of requests as their priorities, and admit the more
	// urgent ones first.
	TargetsOrderByRank bool
}

// Reason says why a request was refused.
type Reason string

// The reasons. The zero value is for requests that are admitted.
const (
	ReasonShare    Reason = "share"    // the request is not in the share of its rank
	ReasonExcess   Reason = "excess"   // and its team is over its share
	ReasonHopeless Reason = "hopeless" // it would wait at its target, probably beyond its objective
	ReasonWait     Reason = "wait"     // it would wait for longer than its caller stays away
	ReasonDeadline Reason = "deadline" // it can't be answered before its deadline
)

// Decision is the result for one request.
type Decision struct {
	Code code.Code // OK if the request is sent
	// RetryAfter is when a refused caller should retry, spread over the callers, so that no jitter is to
	// be added. For a request that is sent it applies if the target refuses it; 0 if the code decides.
	RetryAfter time.Duration
	Reason     Reason
	Rank       int     // among the ranks with recent requests
	Share      float64 // of the rank's requests that is admitted
	// Urgency is that of the request, or the one that takes its place if Excess is true.
	Urgency Urgency
	// Excess is true if the request is beyond its team's share, and Returning if its caller was refused
	// before.
	Excess, Returning bool
	// Promoted is true if the request is one of the least share of its rank and has to wait: targets must
	// admit it before others, or it would wait behind them until its deadline.
	Promoted bool
	// Work is the expected slot time, for RecordStart and RecordEnd.
	Work time.Duration
}

// Cut sheds the load of one pool. It is not safe for concurrent use.
type Cut struct {
	ranks      map[rankKey]*rank
	teams      teams
	budgets    map[string]*budget
	priorities [maxPriority + 1]float64 // recent requests by priority, decaying
	countedAt  time.Time
	decayedAt  time.Time // time up to which the offered work of the ranks has decayed
	meanSlot   time.Duration
	spread     float64 // position of the next Retry-After in its range, 0 to 1
}

// NewCut returns a Cut without measurements. The seed makes the Retry-After of different routers
// differ.
func NewCut(pool string, seed uint64) *Cut {
	return &Cut{
		ranks: make(map[rankKey]*rank), teams: teams{pool: pool, byName: make(map[string]*team)}, budgets: make(map[string]*budget),
		meanSlot: initialSlotTime, spread: float64(seed>>11) / (1 << 53),
	}
}

// IsShortage reports whether load is shed at a utilization.
func IsShortage(utilization float64) bool { return utilization > shedStart }

// Decide admits or refuses a request. RecordStart and RecordEnd must follow if it is sent.
func (c *Cut) Decide(now time.Time, r Request, l Load) Decision {
	r.clean()
	if !(l.Utilization > 0) { // also if it is not a number
		l.Utilization = 0
	}
	d := Decision{Code: code.OK, Urgency: r.Urgency, Work: r.SlotTime}
	if d.Work == 0 {
		d.Work = c.meanSlot
	}
	d.Returning = c.recordBudget(now, r) || r.Retry
	c.countPriority(now, r.Urgency.Priority)
	t := c.teams.team(now, r.Team)
	if t != nil {
		t.lastRequestAt = now
		if c.teams.isExcess(now, t, &l, l.Utilization > shedStart) {
			d.Excess = true
			d.Urgency.Priority = max(d.Urgency.Priority, c.commonPriority())
		}
	}
	k := c.rank(rankKey{d.Urgency, d.Excess})
	k.lastRequestAt = now
	k.offered += d.Work.Seconds()
	o := c.order(now, k)
	if d.Excess {
		l.Utilization += excessMargin
	}
	d.Rank, d.Share = o.position, o.share(l.Utilization)
	d.RetryAfter = c.retryAfter(&r, d.Share)
	c.admit(&d, &r, k, &o, &l)
	if t != nil && d.Excess && d.Code != code.OK {
		t.excessRefused++
	}
	return d
}

// admit sets the code and the reason of a decision.
func (c *Cut) admit(d *Decision, r *Request, k *rank, o *order, l *Load) {
	wait := o.wait(r.ExpectedWait, l)
	work := time.Duration(float64(max(r.SlotTime, r.FirstEvent)) / deadlineMargin)
	shortage := IsShortage(l.Utilization)
	switch {
	case work > r.Remaining:
		d.Code, d.Reason, d.RetryAfter = code.DeadlineTooShort, ReasonDeadline, 0
		return
	case shortage && !r.isLate(r.ExpectedWait) && k.takeFloor(d.Share, floor(l.Utilization)):
		d.Promoted = r.ExpectedWait > 0
		return
	case wait > 0 && wait+work > r.Remaining:
		d.Code, d.Reason = code.QueueFull, ReasonDeadline
		return
	case wait > d.RetryAfter:
		d.Code, d.Reason = code.QueueFull, ReasonWait
		return
	}
	late := shortage && r.isLate(wait)
	mayNotQueue := shortage && !d.Returning && r.isLong(wait) && o.share(l.Utilization+queueMargin) < 1
	returningShare := d.Share
	if !d.Excess {
		returningShare = o.share(l.Utilization - returningAllowance)
	}
	if !late && !mayNotQueue && k.take(d.Share, returningShare, r, d.Returning) {
		return
	}
	switch d.Code, d.Reason = code.QueueFull, ReasonShare; {
	case d.Excess:
		d.Code, d.Reason = code.TeamLimit, ReasonExcess
	case late || mayNotQueue:
		d.Reason = ReasonHopeless
	}
}

// isLate reports whether a request that has to wait for a slot will miss its objective.
func (r *Request) isLate(wait time.Duration) bool {
	return r.Objective > 0 && wait > 0 && r.Elapsed+wait+r.firstEvent() > r.Objective
}

// isLong reports whether a wait is long for a request of a rank that is cut.
func (r *Request) isLong(wait time.Duration) bool {
	return r.Objective > 0 && float64(wait) > maxQueuedPart*float64(r.Objective)
}

// firstEvent returns the expected time from the slot to the first event.
func (r *Request) firstEvent() time.Duration {
	if r.FirstEvent > 0 {
		return r.FirstEvent
	}
	return time.Duration(unknownFirstEvent * float64(r.Objective))
}

// retryAfter returns when a caller that is refused should retry. If its rank's share is half or more, it
// will probably be admitted then, and may still be answered within its objective.
func (c *Cut) retryAfter(r *Request, share float64) time.Duration {
	// The multiples of the golden ratio are spread evenly over the range, whatever their number.
	c.spread = math.Mod(c.spread+math.Phi, 1)
	late := float64(r.Remaining) * (1.0/4 + c.spread*(1.0/3-1.0/4))
	if share >= 0.5 && r.Objective > 0 {
		late = min(float64(r.Objective)*(1.0/4+c.spread*(1.0/2-1.0/4)), late)
	}
	return time.Duration(late)
}

// RecordStart records that a request was sent. work is that of its Decision.
func (c *Cut) RecordStart(now time.Time, teamName string, work time.Duration) {
	if t := c.teams.team(now, teamName); t != nil {
		t.lastRequestAt = now
		t.open++
		t.work += work.Seconds()
	}
}

// RecordEnd records that a request has ended, and how long it held its slot.
func (c *Cut) RecordEnd(teamName string, work, elapsed time.Duration) {
	if t, ok := c.teams.byName[teamName]; ok {
		if t.open = max(t.open-1, 0); t.open == 0 {
			t.work = 0
		} else {
			t.work = max(t.work-work.Seconds(), 0)
		}
	}
	elapsed = min(max(elapsed, 0), maxDuration)
	c.meanSlot += time.Duration(slotTimeWeight * float64(elapsed-c.meanSlot))
}

// AppendOwnWork appends the work of the teams at this router.
func (c *Cut) AppendOwnWork(out []TeamWork) []TeamWork {
	for _, t := range c.teams.byName {
		if t.open > 0 {
			out = append(out, TeamWork{Team: t.hash, Work: time.Duration(t.work * float64(time.Second))})
		}
	}
	return out
}

// clean brings all figures into their ranges.
func (r *Request) clean() {
	r.Urgency = r.Urgency.limited()
	for _, d := range []*time.Duration{&r.Remaining, &r.Objective, &r.Elapsed, &r.ExpectedWait, &r.FirstEvent, &r.SlotTime} {
		*d = min(max(*d, 0), maxDuration)
	}
	if !(r.WorkPercentile >= 0 && r.WorkPercentile <= 1) {
		r.WorkPercentile = 0.5
	}
}

// maxDuration bounds the durations of a request, so that sums can't overflow.
const maxDuration = 24 * time.Hour
