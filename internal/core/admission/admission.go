// Package admission decides whether a request that has a target is sent to it or refused. A request
// that can't be answered in its remaining time would only delay others. If it is refused at once,
// its caller can retry when the target has free slots.
package admission

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/ablate"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
)

// Load is the load, from all routers, of the target that a request would go to.
type Load struct {
	Open  int // open requests, without this one
	Slots int // requests that the target executes at once; 0 if unknown
	// ReportAge is the load report age of Open; 0 if Open is exact.
	ReportAge time.Duration
}

// Request describes a request that asks for admission.
type Request struct {
	Team     string // empty if the request has no team
	Priority int    // 0 is the most urgent; the team's priority if it has one
	// RoutePriority is the priority of the route. It decides between requests of equal Priority.
	RoutePriority int
	Remaining     time.Duration // time until the request's deadline
	// Objective is the route's objective for the time to the answer, or to the first event of a
	// stream; 0 if it has none.
	Objective time.Duration
}

// Decision is the result for one request.
type Decision struct {
	Code code.Code     // OK if the request is sent
	Wait time.Duration // estimated time until a slot is free
	// RetryAfter is when a refused caller should retry, before jitter. For a request that is sent
	// it applies if the target refuses it; 0 if the result code alone decides.
	RetryAfter time.Duration
}

const (
	// maxWaitShare is the share of its remaining time that a request of the most urgent priority
	// may wait; the rest is for its execution. The share is divided by 2 for the next priority, by
	// 3 for the one after it, and so on. So the less urgent requests are refused first under
	// overload, and the queue keeps room for urgent ones that follow.
	maxWaitShare = 0.6
	// objectiveShare is the share of its objective that a request may wait. A pool completes as
	// many requests with a short queue as with a long one, but behind a long queue all answers are
	// late.
	objectiveShare = 0.25
	// yieldShare is the share of a route's requests that are refused instead of waiting, for each
	// more urgent route with recent requests at the pool. It orders the routes without starving the
	// last one. A shorter wait per priority would starve it: one more urgent request in the queue
	// would keep out all others.
	yieldShare = 0.15
	// shortWorkRetryShare is the share of the objective after which a caller retries at a pool of
	// short work, see HasShortWork.
	shortWorkRetryShare = 0.35
	// retryShare is the share of a refused caller's remaining time after which it retries at the
	// earliest. Overload lasts for seconds, so a caller that has time should retry later.
	retryShare = 0.25
	// maxTeamMultiple is the multiple of the mean open requests per team from which a team is over
	// its share. 2 leaves room for large teams, and none for a team that sends many times its
	// usual load.
	maxTeamMultiple = 2.0
	// overShareWait is the part of the longest wait that requests of a team over its share may use.
	// The rest of that wait is left to the requests of other teams.
	overShareWait = 0.25
	// minTeamRequests is the number of open requests below which a team is never over its share:
	// with few open requests the mean says nothing.
	minTeamRequests = 4
	// demandWindow is how long a team or a route counts as active after its last request.
	demandWindow = 5 * time.Second
	// maxPriority is the last priority that is distinguished. It bounds the size of Gate.demands.
	maxPriority = 9
	// durationWeight is the weight of one request in the moving average of durations: about the
	// last thirty requests count.
	durationWeight = 0.033
	// initialDuration is the mean duration before any request has ended.
	initialDuration = 100 * time.Millisecond
)

// Gate is the admission control of one pool. It decides by this router's own measurements and by
// load reports. It is not safe for concurrent use.
type Gate struct {
	meanDuration time.Duration // mean time that a request holds a slot
	teams        map[string]*team
	total        int // open requests of all teams
	throttle     throttle
	demands      map[urgency]*demand
}

// demand is what is known of the requests of one urgency.
type demand struct {
	objective     time.Duration // of the last request; 0 if its route has none
	lastRequestAt time.Time
	yieldDebt     float64 // fraction of a request still to be refused for more urgent routes
	throttleDebt  float64 // fraction of a request still to be refused by the throttle
}

// urgency orders requests by priority, and requests of equal priority by the priorities of their
// routes.
type urgency struct{ priority, routePriority int }

func (u urgency) isMoreUrgentThan(o urgency) bool {
	return u.priority < o.priority || (u.priority == o.priority && u.routePriority < o.routePriority)
}

type team struct {
	open          int
	lastRequestAt time.Time
}

// NewGate returns a Gate without measurements.
func NewGate() *Gate {
	return &Gate{meanDuration: initialDuration, teams: make(map[string]*team), demands: make(map[urgency]*demand)}
}

// Decide admits or refuses a request. RecordStart and RecordEnd must follow if it is sent.
func (g *Gate) Decide(now time.Time, r Request, l Load) Decision {
	t := g.team(r.Team)
	t.lastRequestAt = now
	u := urgency{priority: min(max(r.Priority, 0), maxPriority), routePriority: min(max(r.RoutePriority, 0), maxPriority)}
	d := g.recordDemand(now, u, r.Objective)
	if g.HasShortWork(l.ReportAge) && !ablate.IsOff(ablate.ShortWork) {
		return g.decideByOutcomes(now, d, u, t, r)
	}
	estimatedWait := g.estimatedWait(l)
	if estimatedWait == 0 || ablate.IsOff(ablate.Admission) {
		return Decision{Code: code.OK}
	}
	decision := Decision{Code: code.OK, Wait: estimatedWait, RetryAfter: max(estimatedWait, time.Duration(retryShare*float64(r.Remaining)))}
	maxWait := g.maxWait(now, u, r.Remaining)
	switch {
	case float64(estimatedWait) > maxWait, g.mustYield(now, u):
		decision.Code = code.QueueFull
	case float64(estimatedWait) > overShareWait*maxWait && g.isOverShare(now, t):
		decision.Code = code.TeamLimit
	}
	return decision
}

// HasShortWork reports whether the pool's requests are short work: their mean duration is at most
// reportAge, the load report age. Such a report no longer describes the target's load, so the pool
// is throttled by outcomes.
func (g *Gate) HasShortWork(reportAge time.Duration) bool { return g.meanDuration <= reportAge }

// decideByOutcomes decides for short work. Each request adds the share to be refused to a sum, and
// a request is refused when the sum reaches one, so that refusals are spread evenly.
func (g *Gate) decideByOutcomes(now time.Time, d *demand, u urgency, t *team, r Request) Decision {
	decision := Decision{Code: code.OK, RetryAfter: shortWorkRetryAfter(r)}
	if ablate.IsOff(ablate.Admission) {
		return decision
	}
	d.throttleDebt += g.throttle.refusalShare(now, u == g.mostUrgent(now))
	switch {
	case d.throttleDebt >= 1:
		d.throttleDebt--
		decision.Code, decision.Wait = code.QueueFull, g.meanDuration
	case g.throttle.refusalShare(now, false) > 0 && g.isOverShare(now, t):
		decision.Code, decision.Wait = code.TeamLimit, g.meanDuration
	}
	return decision
}

// shortWorkRetryAfter returns when a caller should retry at a pool of short work that has no free
// slot. Its queues are empty again within the time of a few requests, and a caller that comes back
// within its objective still gets its answer in time.
func shortWorkRetryAfter(r Request) time.Duration {
	if r.Objective > 0 {
		return min(time.Duration(shortWorkRetryShare*float64(r.Objective)), r.Remaining)
	}
	return time.Duration(retryShare * float64(r.Remaining))
}

// mostUrgent returns the highest urgency with a recent request.
func (g *Gate) mostUrgent(now time.Time) urgency {
	highest := urgency{priority: maxPriority, routePriority: maxPriority}
	for u, d := range g.demands {
		if u.isMoreUrgentThan(highest) && now.Sub(d.lastRequestAt) <= demandWindow {
			highest = u
		}
	}
	return highest
}

func (g *Gate) recordDemand(now time.Time, u urgency, objective time.Duration) *demand {
	d, ok := g.demands[u]
	if !ok {
		d = &demand{}
		g.demands[u] = d
	}
	d.objective, d.lastRequestAt = objective, now
	return d
}

// maxWait returns the longest wait that a request may have. It is no longer than that of any more
// urgent request: otherwise requests with a long objective would fill the queue and keep out those
// with a short one.
func (g *Gate) maxWait(now time.Time, u urgency, remaining time.Duration) float64 {
	maxWait := maxWaitShare * float64(remaining)
	for o, d := range g.demands {
		if !ablate.IsOff(ablate.Objective) && d.objective > 0 && (o == u || (o.isMoreUrgentThan(u) && now.Sub(d.lastRequestAt) <= demandWindow)) {
			maxWait = min(maxWait, objectiveShare*float64(d.objective))
		}
	}
	if ablate.IsOff(ablate.Rank) {
		return maxWait
	}
	return maxWait / float64(1+u.priority)
}

// mustYield reports whether a request that would have to wait is refused in favour of more urgent
// routes of the same priority.
func (g *Gate) mustYield(now time.Time, u urgency) bool {
	moreUrgent := 0
	for o, d := range g.demands {
		if o.priority == u.priority && o.routePriority < u.routePriority && now.Sub(d.lastRequestAt) <= demandWindow {
			moreUrgent++
		}
	}
	d := g.demands[u]
	d.yieldDebt += min(yieldShare*float64(moreUrgent), 1)
	if d.yieldDebt < 1 || ablate.IsOff(ablate.RouteYield) {
		return false
	}
	d.yieldDebt--
	return true
}

func (g *Gate) team(name string) *team {
	t, ok := g.teams[name]
	if !ok {
		t = &team{}
		g.teams[name] = t
	}
	return t
}

// estimatedWait returns the time until a slot is free for a request. Each slot becomes free once in
// the mean duration.
func (g *Gate) estimatedWait(l Load) time.Duration {
	ahead := l.Open + 1 - l.Slots
	if l.Slots == 0 || ahead <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / float64(l.Slots) * float64(g.meanDuration))
}

// ExpectedWait returns the time until a slot is free for a request that waits for all others.
func (g *Gate) ExpectedWait(l Load) time.Duration { return g.estimatedWait(l) }

// isOverShare reports whether a team has more than its share of the open requests.
func (g *Gate) isOverShare(now time.Time, t *team) bool {
	if t.open < minTeamRequests || ablate.IsOff(ablate.Team) {
		return false
	}
	activeTeams := 0
	for name, other := range g.teams {
		switch {
		case other.open > 0 || now.Sub(other.lastRequestAt) <= demandWindow:
			activeTeams++
		default:
			delete(g.teams, name)
		}
	}
	return float64(t.open) >= maxTeamMultiple*float64(g.total)/float64(max(activeTeams, 1))
}

// RecordStart records that a request of a team was sent.
func (g *Gate) RecordStart(teamName string) {
	g.team(teamName).open++
	g.total++
}

// RecordEnd records that a request has ended, how long it held its slot, and its outcome.
func (g *Gate) RecordEnd(now time.Time, teamName string, elapsed time.Duration, outcome Outcome) {
	g.throttle.record(now, outcome)
	g.total--
	g.team(teamName).open--
	g.meanDuration += time.Duration(durationWeight * float64(elapsed-g.meanDuration))
}
