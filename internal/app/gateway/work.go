package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/workload"
)

// unknownPercentile is the work percentile of a request whose work is unknown.
const unknownPercentile = 0.5

// estimateWork returns the estimated work of a request and its work percentile within its route. If
// the request is not scheduled by work, the estimate is zero and the percentile unknownPercentile. It
// changes nothing that was learned. Unread tokens that are not known yet are passed as PromptTokens.
func (t *trafficState) estimateWork(pool, route string, r workload.Request) (workload.Estimate, float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.PromptTokens <= 0 || !t.balancer.IsScheduledByWork(pool) {
		return workload.Estimate{}, unknownPercentile
	}
	e := t.workEstimator(pool)
	estimate := e.Estimate(route, r)
	return estimate, e.Percentile(route, estimate)
}

// recordWork records the outcome of a complete answer.
func (t *trafficState) recordWork(now time.Time, pool, route string, estimate workload.Estimate, o workload.Outcome) {
	if table := t.table.Load(); table != nil {
		o.TokensPerEvent = table.Pools()[pool].TokensPerEvent
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.workEstimator(pool).Record(now, route, estimate, o)
}

// workEstimator returns the work estimator of a pool, which it creates on first use.
func (t *trafficState) workEstimator(pool string) *workload.Estimator {
	e, ok := t.workEstimators[pool]
	if !ok {
		if t.workEstimators == nil {
			t.workEstimators = make(map[string]*workload.Estimator)
		}
		e = workload.NewEstimator()
		t.workEstimators[pool] = e
	}
	return e
}

// workRequest returns the work that the request announces. No prompt token counts as cached.
func (m *MatchedRequest) workRequest() workload.Request {
	return workload.Request{
		PromptTokens: m.call.PromptTokens, UnreadTokens: m.call.PromptTokens,
		MaxOutputTokens: m.call.MaxOutputTokens, HintTokens: m.call.OutputHint,
	}
}

// demand is what a request is expected to need at a target; zero if it is unknown.
type demand struct {
	slotTime     time.Duration
	memoryTokens int
}

// demandOf returns the demand of a request with an estimate. Before the route's first answer it is
// unknown: a route whose assumed output is too high would be refused for it for ever. The prefix that
// other requests share is not counted as its memory, since targets keep it once for all of them.
func (m *MatchedRequest) demandOf(work workload.Estimate) demand {
	if !work.IsLearned {
		return demand{}
	}
	shared := 0
	if n := len(m.call.PromptPrefixes); n > 0 {
		shared = m.call.PromptPrefixes[n-1].Tokens
	}
	return demand{slotTime: work.SlotTime, memoryTokens: max(work.MemoryTokens-shared, 0)}
}

// recordWork records the work of a stream that has ended with a complete answer. An answer of which
// other attempts sent a part, or the caller had one already, does not show the work of a request.
func (t *targetAttempt) recordWork() {
	r := t.request
	if t.work == (workload.Estimate{}) || t.events == 0 || t.events != r.stream.events || r.match.call.LastEventID != "" {
		return
	}
	now := r.proxy.now()
	r.proxy.traffic.recordWork(now, r.match.pool, r.match.route.Name, t.work, workload.Outcome{
		Events: t.events, FirstEvent: t.firstEventAt.Sub(t.startedAt), Total: now.Sub(t.startedAt),
	})
}

// WorkAccuracy shows how far the estimated work of a route's requests in a pool was off.
type WorkAccuracy struct {
	Pool  string
	Route string // workload.OtherRoutes for the routes without estimates of their own
	workload.Accuracy
}

// workAccuracies returns the accuracies of all pools and routes in order. It requires t.mu.
func (t *trafficState) workAccuracies() []WorkAccuracy {
	var out []WorkAccuracy
	for _, pool := range slices.Sorted(maps.Keys(t.workEstimators)) {
		byRoute := t.workEstimators[pool].Accuracies()
		for _, name := range slices.Sorted(maps.Keys(byRoute)) {
			out = append(out, WorkAccuracy{Pool: pool, Route: name, Accuracy: byRoute[name]})
		}
	}
	return out
}
