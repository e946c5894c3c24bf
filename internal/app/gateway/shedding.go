package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/hemlockdyke/hemlockdyke/internal/core/admission"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/route"
	"github.com/hemlockdyke/hemlockdyke/internal/core/shedding"
)

// teamReportTTL is how long a source's report of teams counts. It equals LoadReportTTL of package
// placement.
const teamReportTTL = 1500 * time.Millisecond

// sheddingState sheds the load of the pools that are scheduled by work. trafficState.mu guards it.
type sheddingState struct {
	cuts     map[string]*shedding.Cut     // by pool
	rankings map[string]*shedding.Ranking // by pool
	// ordersTargets is true if targets get the rank of a request's urgency as its priority, instead of the
	// team's or the route's. They preempt requests of less urgent routes then, which prefill their prompts a
	// second time, so the settings must ask for it.
	ordersTargets bool
	reports       map[uint32]teamReport    // by source
	sum           map[uint64]time.Duration // of the reports, by team; nil if it must be computed, see teamWork
	routers       int                      // routers that are alive, including this one
}

type teamReport struct {
	at   time.Time
	work []shedding.TeamWork
}

func newSheddingState(ordersTargets bool) *sheddingState {
	return &sheddingState{ordersTargets: ordersTargets, cuts: make(map[string]*shedding.Cut), reports: make(map[uint32]teamReport)}
}

func (s *sheddingState) cut(pool string) *shedding.Cut {
	c, ok := s.cuts[pool]
	if !ok {
		c = shedding.NewCut(pool, rand.Uint64())
		s.cuts[pool] = c
	}
	return c
}

// receive replaces what a source reported before.
func (s *sheddingState) receive(now time.Time, source uint32, work []shedding.TeamWork) {
	if _, known := s.reports[source]; known || len(work) > 0 {
		s.reports[source] = teamReport{now, work}
		s.sum = nil
	}
}

// expire drops reports that no longer count.
func (s *sheddingState) expire(now time.Time) {
	for source, r := range s.reports {
		if len(r.work) == 0 || now.Sub(r.at) > teamReportTTL {
			delete(s.reports, source)
			s.sum = nil
		}
	}
}

// forget drops the reports of the given sources, or all if there are none.
func (s *sheddingState) forget(sources []uint32) {
	if len(sources) == 0 {
		clear(s.reports)
	}
	for _, source := range sources {
		delete(s.reports, source)
	}
	s.sum = nil
}

// teamWork returns the sum of the reports. It is computed when a decision needs it: a relay of a large
// fleet receives a thousand reports a second.
func (s *sheddingState) teamWork() map[uint64]time.Duration {
	if s.sum == nil {
		s.sum = make(map[uint64]time.Duration)
		for _, r := range s.reports {
			for _, w := range r.work {
				s.sum[w.Team] += w.Work
			}
		}
	}
	return s.sum
}

// largestTeams returns the teams with the most work at this router, for its digest.
func (s *sheddingState) largestTeams() []shedding.TeamWork {
	var out []shedding.TeamWork
	for _, c := range s.cuts {
		out = c.AppendOwnWork(out)
	}
	return shedding.Largest(out)
}

// rankings returns the ranking of each pool.
func rankings(state *route.DesiredState) map[string]*shedding.Ranking {
	urgencies := make(map[string][]shedding.Urgency)
	for _, r := range state.Routes {
		for _, w := range r.Split {
			list := append(urgencies[w.Pool], shedding.Urgency{Priority: r.Priority, RoutePriority: r.Priority})
			for _, t := range state.Teams {
				if t.Priority != nil {
					list = append(list, shedding.Urgency{Priority: *t.Priority, RoutePriority: r.Priority})
				}
			}
			urgencies[w.Pool] = list
		}
	}
	out := make(map[string]*shedding.Ranking, len(urgencies))
	for pool, list := range urgencies {
		out[pool] = shedding.NewRanking(list)
	}
	return out
}

// shedDecision is the decision on a request of a pool that is scheduled by work.
type shedDecision struct {
	shedding.Decision
	Wait           time.Duration // for a free slot, if the request waits for all that are open
	Utilization    float64
	TargetPriority int
}

// sheddingRequest is what shedding has to know of a request beyond its admission request.
type sheddingRequest struct {
	route string
	retry bool // a target was already chosen for the request before
	// slotTime is how long the request will hold its slot; 0 if unknown. workPercentile is the part of the
	// route's requests with less work.
	slotTime       time.Duration
	workPercentile float64
	// elapsed is the time since the request arrived, in which it may have waited for a prefix.
	elapsed time.Duration
}

// decideByShare decides on a placed request of a pool that is scheduled by work.
func (t *trafficState) decideByShare(now time.Time, c placement.Choice, request placement.Request, a admission.Request, s sheddingRequest, load admission.Load) *shedDecision {
	wait := t.poolGate(request.Pool).ExpectedWait(load)
	utilization := t.balancer.Utilization(now, request.Pool)
	d := t.shedding.cut(request.Pool).Decide(now, shedding.Request{
		Team: a.Team, Route: s.route, Urgency: shedding.Urgency{Priority: a.Priority, RoutePriority: a.RoutePriority},
		Remaining: a.Remaining, Objective: a.Objective, ExpectedWait: wait, SlotTime: s.slotTime, WorkPercentile: s.workPercentile, Retry: s.retry, Elapsed: s.elapsed,
	}, shedding.Load{Utilization: utilization, TeamWork: t.shedding.teamWork(), Routers: t.shedding.routers, TargetsOrderByRank: t.shedding.ordersTargets})
	out := &shedDecision{Decision: d, Wait: wait, Utilization: utilization, TargetPriority: a.Priority}
	if ranking, ok := t.shedding.rankings[request.Pool]; ok && t.shedding.ordersTargets {
		out.TargetPriority = ranking.TargetPriority(&d)
	}
	return out
}

// isScheduledByWork reports whether shedding decides on a request instead of the pool's gate.
func (t *trafficState) isScheduledByWork(request placement.Request) bool {
	return request.PromptTokens > 0 && t.balancer.IsScheduledByWork(request.Pool)
}

// logTo adds the reasons of a refusal to a log line.
func (d *shedDecision) logTo(line *zerolog.Event) {
	line.Int("rank", d.Rank).Float64("utilization", d.Utilization).Float64("share", d.Share).Str("reason", string(d.Reason)).
		Bool("excess", d.Excess).Bool("returning", d.Returning)
}
