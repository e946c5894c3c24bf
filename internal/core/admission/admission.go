// Package admission decides whether a request that found a target is sent there or
// refused. A request that can't be answered in the time it has left only delays the
// others; told so at once, its caller can come back when there is room.
package admission

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/ablate"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
)

// Load is what the fleet has open at the target that a request would go to.
type Load struct {
	Open  int // this request not counted
	Slots int // requests that it works on at once; 0 if unknown
	// ReportAge is how old Open is; 0 if it is exact.
	ReportAge time.Duration
}

// Request is one request.
type Request struct {
	Team string // empty if it has none
	Rank int    // 0 is the most urgent; the team's own if it has one
	// RouteRank is the route's. It decides between requests of equal rank.
	RouteRank int
	Remaining time.Duration // until its caller gives up
	// Objective is the time to the first byte within which the answer is in time; 0 if
	// the route names none.
	Objective time.Duration
}

// Decision is the decision with the figure that made it.
type Decision struct {
	Code code.Code // OK if the request is sent
	Wait time.Duration
	// RetryAfter is when a caller that is refused should come back, before jitter; of a request that is sent, if its target turns
	// it away, 0 if the code alone says it.
	RetryAfter time.Duration
}

const (
	// waitShare is the part of its time that a request of the most urgent rank may
	// spend waiting; the rest is for its work. A rank further down it is divided by
	// one more: under overload the less urgent are refused first, while there is
	// still room for the urgent ones that come next.
	waitShare = 0.6
	// objectiveShare is the same of its objective. A pool works off as many requests
	// behind a short queue as behind a long one, but behind a long one all are late.
	objectiveShare = 0.25
	// yieldShare is the part of the requests that would wait which a route gives up for each more
	// urgent one that is asked for at its pool. It orders the routes of a pool without starving the last: a shorter wait for
	// each rank would, as one more urgent request in the queue is enough to keep all others out.
	yieldShare = 0.15
	// soonShare is the part of its objective after which a caller comes back to a pool of short work.
	soonShare = 0.35
	// retryShare is the part of its time after which a refused caller comes back at the
	// earliest. Overload lasts for seconds; a caller that has time is better off later.
	retryShare = 0.25
	// teamShare is how many times the mean of all teams one team may hold before its
	// requests have to wait less than those of others. Twice leaves room for large
	// teams, and none for one that sends many times its usual.
	teamShare = 2.0
	// overShare is what part of the wait of others a team over its share may cause.
	// The rest is room in which the others' requests are admitted.
	overShare = 0.25
	// teamLeast is what a team may hold before it is looked at: with few requests open
	// the mean says nothing.
	teamLeast = 4
	// askLasts is how long a team or a route without requests counts among those that share.
	askLasts = 5 * time.Second
	// maxRank is the last rank that is told apart; it bounds what a gate keeps.
	maxRank = 9
	// durationWeight is the weight of one request in the moving average of durations:
	// about the last thirty count.
	durationWeight = 0.033
	// firstDuration stands for the mean before any request has ended.
	firstDuration = 100 * time.Millisecond
)

// Gate decides for one pool by what this router has seen of it. It is not safe for
// concurrent use.
type Gate struct {
	duration time.Duration // mean time that a request holds a place
	teams    map[string]*team
	total    int // open requests of all teams
	throttle throttle
	routes   map[urgency]*asking
}

// asking is what is known of the requests of one urgency.
type asking struct {
	objective time.Duration // of the last one; 0 if its route names none
	asked     time.Time     // last
	yielded   float64       // the part of a request that is due to more urgent ones
	throttled float64       // the part of a request that is due to what targets answered
}

// urgency orders requests: by rank, and by their routes' ranks among equal ones.
type urgency struct{ rank, route int }

func (u urgency) before(o urgency) bool {
	return u.rank < o.rank || (u.rank == o.rank && u.route < o.route)
}

type team struct {
	open  int
	asked time.Time // last
}

// NewGate returns a Gate that has seen nothing.
func NewGate() *Gate {
	return &Gate{duration: firstDuration, teams: make(map[string]*team), routes: make(map[urgency]*asking)}
}

// Decide admits or refuses a request.
func (g *Gate) Decide(now time.Time, a Request, l Load) Decision {
	t := g.team(a.Team)
	t.asked = now
	u := urgency{rank: min(max(a.Rank, 0), maxRank), route: min(max(a.RouteRank, 0), maxRank)}
	k := g.asked(now, u, a.Objective)
	if g.HasShortWork(l.ReportAge) && !ablate.IsOff(ablate.ShortWork) {
		return g.byAnswers(now, k, u, t, a)
	}
	wait := g.wait(l)
	if wait == 0 || ablate.IsOff(ablate.Admission) {
		return Decision{Code: code.OK}
	}
	v := Decision{Code: code.OK, Wait: wait, RetryAfter: max(wait, time.Duration(retryShare*float64(a.Remaining)))}
	allowed := g.allowed(now, u, a.Remaining)
	switch {
	case float64(wait) > allowed, g.yields(now, u):
		v.Code = code.QueueFull
	case float64(wait) > overShare*allowed && g.over(now, t):
		v.Code = code.TeamLimit
	}
	return v
}

// HasShortWork reports whether a request holds its place for less time than the news of it takes.
func (g *Gate) HasShortWork(newsAge time.Duration) bool { return g.duration <= newsAge }

// byAnswers decides where the work takes less time than the news of it. A part of a request is due with each that is admitted, so that
// the refused ones are spread evenly.
func (g *Gate) byAnswers(now time.Time, k *asking, u urgency, t *team, a Request) Decision {
	v := Decision{Code: code.OK, RetryAfter: soon(a)}
	if ablate.IsOff(ablate.Admission) {
		return v
	}
	k.throttled += g.throttle.refuses(now, u == g.mostUrgent(now))
	switch {
	case k.throttled >= 1:
		k.throttled--
		v.Code, v.Wait = code.QueueFull, g.duration
	case g.throttle.refuses(now, false) > 0 && g.over(now, t):
		v.Code, v.Wait = code.TeamLimit, g.duration
	}
	return v
}

// soon returns when a caller should come back whom a pool of short work has no room for. Its queues are empty again within some
// requests' time, and come back within the objective the answer is still in time.
func soon(a Request) time.Duration {
	if a.Objective > 0 {
		return min(time.Duration(soonShare*float64(a.Objective)), a.Remaining)
	}
	return time.Duration(retryShare * float64(a.Remaining))
}

// mostUrgent returns the most urgent of what is asked for lately.
func (g *Gate) mostUrgent(now time.Time) urgency {
	most := urgency{rank: maxRank, route: maxRank}
	for u, k := range g.routes {
		if u.before(most) && now.Sub(k.asked) <= askLasts {
			most = u
		}
	}
	return most
}

func (g *Gate) asked(now time.Time, u urgency, objective time.Duration) *asking {
	k, ok := g.routes[u]
	if !ok {
		k = &asking{}
		g.routes[u] = k
	}
	k.objective, k.asked = objective, now
	return k
}

// allowed returns the longest wait that a request may have. It is no longer than that of any
// more urgent one: a queue that the patient ones fill keeps those out that have to be quick.
func (g *Gate) allowed(now time.Time, u urgency, left time.Duration) float64 {
	allowed := waitShare * float64(left)
	for o, k := range g.routes {
		if !ablate.IsOff(ablate.Objective) && k.objective > 0 && (o == u || (o.before(u) && now.Sub(k.asked) <= askLasts)) {
			allowed = min(allowed, objectiveShare*float64(k.objective))
		}
	}
	if ablate.IsOff(ablate.Rank) {
		return allowed
	}
	return allowed / float64(1+u.rank)
}

// yields reports whether a request that would have to wait leaves its place to a more urgent
// one of a team of the same rank.
func (g *Gate) yields(now time.Time, u urgency) bool {
	above := 0
	for o, k := range g.routes {
		if o.rank == u.rank && o.route < u.route && now.Sub(k.asked) <= askLasts {
			above++
		}
	}
	k := g.routes[u]
	k.yielded += min(yieldShare*float64(above), 1)
	if k.yielded < 1 || ablate.IsOff(ablate.RouteYield) {
		return false
	}
	k.yielded--
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

// wait estimates how long a request waits for a place: each place becomes free once
// in the mean duration.
func (g *Gate) wait(l Load) time.Duration {
	ahead := l.Open + 1 - l.Slots
	if l.Slots == 0 || ahead <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / float64(l.Slots) * float64(g.duration))
}

// over reports whether a team holds more than its share of the open requests.
func (g *Gate) over(now time.Time, t *team) bool {
	if t.open < teamLeast || ablate.IsOff(ablate.Team) {
		return false
	}
	sharing := 0
	for name, other := range g.teams {
		switch {
		case other.open > 0 || now.Sub(other.asked) <= askLasts:
			sharing++
		default:
			delete(g.teams, name)
		}
	}
	return float64(t.open) >= teamShare*float64(g.total)/float64(max(sharing, 1))
}

// RecordStart counts a request that was sent.
func (g *Gate) RecordStart(name string) {
	g.team(name).open++
	g.total++
}

// RecordEnd takes a request off and learns how long it held its place, and what its target answered.
func (g *Gate) RecordEnd(now time.Time, name string, took time.Duration, answer Outcome) {
	g.throttle.answered(now, answer)
	g.total--
	g.team(name).open--
	g.duration += time.Duration(durationWeight * float64(took-g.duration))
}
