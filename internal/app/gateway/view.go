package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/admission"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/evacuation"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/core/lineage"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/retry"
	"github.com/hemlockdyke/hemlockdyke/internal/core/route"
	"github.com/hemlockdyke/hemlockdyke/internal/core/warmup"
	"github.com/hemlockdyke/hemlockdyke/internal/core/workload"
	"github.com/hemlockdyke/hemlockdyke/internal/memory"
)

// trafficState is the state that request goroutines share with the control goroutine: the routing
// table, which is replaced as a whole, and the balancer, which counts the open requests. Placing
// and finishing a request takes 2 us with 12 targets and 8 us with 120 (see
// BenchmarkPlace of package placement).
type trafficState struct {
	// memory bounds what callers make this router hold.
	memory       *memory.Account
	table        atomic.Pointer[route.Table]
	shuttingDown atomic.Bool
	// shutdownDeadline is the time by which all requests must end. It is set when the load balancer
	// has had time to notice the shutdown; nil before.
	shutdownDeadline atomic.Pointer[time.Time]
	// serving ends when open requests must be answered, see Control.EndOpenRequests.
	serving    context.Context
	endServing context.CancelCauseFunc
	// earlyRequests is the number of open requests accepted before shutdownDeadline was set.
	earlyRequests atomic.Int64
	ready         atomic.Bool
	// behind is true if a router that this one receives digests from has a newer desired state.
	// stale is true if at least half of these routers have had one for so long that this router
	// must not serve by its own any more.
	behind, stale atomic.Bool

	// retentionNanos is how long targets remain in use after their removal from the target list, in
	// nanoseconds. storeOutage is true if a store outage has extended it.
	retentionNanos atomic.Int64
	storeOutage    atomic.Bool
	// targetsRowVersion is the row version of the applied target list.
	targetsRowVersion atomic.Uint64

	openAttempts *attemptRegistry
	path         *pathState
	poisonGuard  *poisonGuard
	streams      *streamRegistry
	prefill      *prefillState

	mu              sync.Mutex
	balancer        *placement.Balancer
	gates           map[string]*admission.Gate
	workEstimators  map[string]*workload.Estimator // of pools that are scheduled by work
	retryBudgets    map[string]*retry.Window
	retryLimits     retry.Limits
	retrySpan       time.Duration
	loadsReportedAt time.Time // when another router last reported its loads
	shedding        *sheddingState
}

// placeRequest chooses a target and decides whether to send the request there. A request that a
// target may have executed in part is always admitted, since refusing it would waste that work. ok
// is false if the pool has no target. shed is nil unless the pool is scheduled by work.
func (t *trafficState) placeRequest(now time.Time, request placement.Request, admissionRequest admission.Request, sheddingRequest sheddingRequest, mayHaveExecuted bool) (c placement.Choice, decision admission.Decision, shed *shedDecision, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	gate, age := t.poolGate(request.Pool), t.maxLoadReportAge(now)
	request.LoadsOutdated = gate.HasShortWork(age)
	c, ok = t.balancer.Place(now, request)
	if !ok {
		return c, decision, nil, false
	}
	load := admission.Load{Open: c.Open, Slots: c.Target.Slots, ReportAge: age}
	if t.isScheduledByWork(request) {
		load.Open = c.HeldOpen
		shed = t.decideByShare(now, c, request, admissionRequest, sheddingRequest, load)
		decision = admission.Decision{Code: shed.Code, Wait: shed.Wait, RetryAfter: shed.RetryAfter}
	} else {
		decision = gate.Decide(now, admissionRequest, load)
	}
	if decision.Code != code.OK && !mayHaveExecuted {
		t.balancer.RecordFirstEvent(now, c, false)
		t.balancer.FinishPlacement(now, c, placement.Neutral)
		return c, decision, shed, true
	}
	gate.RecordStart(admissionRequest.Team)
	if shed != nil {
		t.shedding.cut(request.Pool).RecordStart(now, admissionRequest.Team, shed.Work)
	}
	decision.Code = code.OK
	return c, decision, shed, true
}

// recordFirstEvent records that an attempt has received its first event, or will not receive one.
func (t *trafficState) recordFirstEvent(now time.Time, c placement.Choice, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.balancer.RecordFirstEvent(now, c, answered)
}

// maxLoadReportAge returns the load report age that admission assumes; 0 if no other router has
// reported. Routers report once per tick, so one tick is added for the report in transit.
func (t *trafficState) maxLoadReportAge(now time.Time) time.Duration {
	if t.loadsReportedAt.IsZero() {
		return 0
	}
	return fleet.TickInterval + now.Sub(t.loadsReportedAt)
}

// finishAttempt removes an attempt from the open requests of its target and records its outcome for
// placement and for admission. It reports whether the target is suspended or ejected as a result.
func (t *trafficState) finishAttempt(now time.Time, pool, team string, c placement.Choice, outcome placement.Outcome, took time.Duration, admissionOutcome admission.Outcome, shed *shedDecision) (suspended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if shed != nil {
		t.shedding.cut(pool).RecordEnd(team, shed.Work, took)
	}
	t.poolGate(pool).RecordEnd(now, team, took, admissionOutcome)
	return t.balancer.FinishPlacement(now, c, outcome)
}

// poolGate returns the admission gate of a pool, which it creates on first use.
func (t *trafficState) poolGate(pool string) *admission.Gate {
	g, ok := t.gates[pool]
	if !ok {
		g = admission.NewGate()
		t.gates[pool] = g
	}
	return g
}

// isLeavingOrRemoved reports whether a target is leaving or was removed from the target list.
func (t *trafficState) isLeavingOrRemoved(uid uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.balancer.IsLeavingOrRemoved(uid)
}

// isRunning reports whether a target is listed, is not leaving and is not known to have exited.
func (t *trafficState) isRunning(uid uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.balancer.IsLeavingOrRemoved(uid) && !t.balancer.HasExited(uid)
}

// markLeaving records that a target announced its shutdown and reports whether that is new.
func (t *trafficState) markLeaving(now time.Time, uid uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.balancer.MarkLeaving(now, uid)
}

// markExited records that a target's process has exited and reports whether that is new.
func (t *trafficState) markExited(now time.Time, uid uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.balancer.MarkExited(now, uid)
}

// takeExitedTargetsToProbe returns the targets that are believed to have exited and are due for a
// probe, and counts them as probed.
func (t *trafficState) takeExitedTargetsToProbe(now time.Time) []placement.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.balancer.TakeExitedTargetsToProbe(now)
}

// recordProbe records whether a target believed to have exited accepts connections.
func (t *trafficState) recordProbe(now time.Time, uid uint64, accepts bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.balancer.RecordProbe(now, uid, accepts)
}

// markPaused records that a target wants no requests from this router for d. It has no effect if d
// is 0.
func (t *trafficState) markPaused(now time.Time, uid uint64, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.balancer.MarkPaused(now, uid, d)
}

// markCold records how long a target remains cold and reports whether that is new.
func (t *trafficState) markCold(now time.Time, uid uint64, d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.balancer.MarkCold(now, uid, d)
}

// setFleet sets the fleet, from which the routers that may send to a cold target are selected.
func (t *trafficState) setFleet(f *warmup.Fleet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.balancer.SetFleet(f)
}

// confirmPlacement reports whether a placed request may still be sent to its target. If so and the
// target is cold, it counts the request as sent.
func (t *trafficState) confirmPlacement(now time.Time, c placement.Choice) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.balancer.ConfirmPlacement(now, c)
}

// noTargetCode returns the result code for a request that found no target. software is the only
// version that may serve it; 0 if all may.
func (t *trafficState) noTargetCode(now time.Time, pool string, software lineage.Software) code.Code {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.balancer.IsEvacuated(pool):
		return code.Evacuated
	case software != 0 && !t.balancer.ServesSoftware(pool, software):
		return code.NoSuchVersion
	case t.balancer.PausedRetryAfter(now, pool, software) > 0:
		return code.TargetsPaused
	case t.balancer.ColdRetryAfter(now, pool, software) > 0:
		return code.TargetsCold
	case t.balancer.IsBrittle(pool), software != 0:
		return code.QueueFull
	}
	return code.NoTarget
}

// setEvacuated sets the evacuated data centres and returns the changes.
func (t *trafficState) setEvacuated(now time.Time, dataCentres []string) []evacuation.Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.balancer.SetEvacuated(now, dataCentres)
}

// unavailableRetryAfter returns when callers should retry, before jitter, if all active targets of
// a pool that run a software version are paused or all are cold; 0 otherwise.
func (t *trafficState) unavailableRetryAfter(now time.Time, pool string, software lineage.Software) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.balancer.PausedRetryAfter(now, pool, software), t.balancer.ColdRetryAfter(now, pool, software))
}

// poolServing returns the pool of a route in which a software version may get requests.
func (t *trafficState) poolServing(r *route.Route, s lineage.Software) (pool string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range r.Split {
		if w.Weight > 0 && t.balancer.ServesSoftware(w.Pool, s) {
			return w.Pool, true
		}
	}
	return "", false
}

// targetID returns the ID of a target by its lifetime's UID; empty if unknown.
func (t *trafficState) targetID(uid uint64) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.balancer.TargetID(uid)
}

// recordSilence records that a target is silent while the request still waits. It reports whether
// the target is suspended or ejected as a result.
func (t *trafficState) recordSilence(now time.Time, uid uint64) (suspended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.balancer.RecordSilence(now, uid)
}

// forgetSources drops the loads that the given sources reported, or all reported loads if sources
// is empty. See fleet.ReportReceived for sources.
func (t *trafficState) forgetSources(sources []uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(sources) == 0 {
		t.balancer.ForgetAllSources()
	}
	t.shedding.forget(sources)
	for _, s := range sources {
		t.balancer.ForgetSource(s)
	}
}

// loadReportAge returns the time since another router last reported its loads; 0 if none has.
func (t *trafficState) loadReportAge(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.loadsReportedAt.IsZero() {
		return 0
	}
	return now.Sub(t.loadsReportedAt)
}

// maxOwnPrefixReadsPerDigest bounds this router's own prefix reads in a digest. They take 16 bytes
// each and must fit into one packet. Package fleet bounds those that a relay passes on.
const maxOwnPrefixReadsPerDigest = 32

// digestContent returns the router's own loads, target outcomes, prefix reads and streams for the next
// digest.
func (t *trafficState) digestContent(now time.Time) fleet.Tick {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fleet.Tick{
		Loads: t.balancer.OwnLoads(now), Outcomes: t.balancer.OutcomesToReport(now),
		Teams:       t.shedding.largestTeams(),
		PrefixReads: t.balancer.TakePrefixReads(maxOwnPrefixReadsPerDigest), Streams: t.streams.takeUnreported(),
	}
}
