package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/admission"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/evacuation"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/retry"
	"github.com/hemlockdyke/hemlockdyke/internal/core/route"
	"github.com/hemlockdyke/hemlockdyke/internal/core/warmup"
)

// trafficState is the state that request goroutines share with the control goroutine: the routing
// table, which is replaced as a whole, and the board of open requests. Placing and finishing a
// request takes 2 us with 12 targets and 8 us with 120 (BenchmarkPlace).
type trafficState struct {
	table        atomic.Pointer[route.Table]
	shuttingDown atomic.Bool
	// shutdownDeadline is the time by which all requests must end. It is set when the load balancer
	// has had time to notice the shutdown; nil before.
	shutdownDeadline atomic.Pointer[time.Time]
	// earlyRequests is the number of open requests accepted before shutdownDeadline was set.
	earlyRequests atomic.Int64
	ready         atomic.Bool
	// outdated is true if another router has a newer desired state, stale if that has lasted too
	// long.
	outdated, stale atomic.Bool

	// removedGrace is how long targets remain in use after their removal from the target list, in
	// nanoseconds. storeOutage is true if a store outage has extended it.
	removedGrace atomic.Int64
	storeOutage  atomic.Bool
	// targetsRowVersion is the row version of the applied target list.
	targetsRowVersion atomic.Uint64

	openAttempts *attemptRegistry
	poisonGuard  *poisonGuard

	mu              sync.Mutex
	board           *placement.Balancer
	gates           map[string]*admission.Gate
	retryBudgets    map[string]*retry.Window
	retryLimits     retry.Limits
	retryWindow     time.Duration
	loadsReportedAt time.Time // when another router last reported its loads
}

// place chooses a target and decides whether to send the request. A request that a target has
// already partly executed is always admitted, since rejecting it would waste that work. ok is false
// if the pool has no target.
func (v *trafficState) place(now time.Time, a placement.Request, q admission.Request, partlyExecuted bool) (c placement.Choice, verdict admission.Decision, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	gate, age := v.poolGate(a.Pool), v.maxLoadReportAge(now)
	a.LoadsOutdated = gate.HasShortWork(age)
	c, ok = v.board.Place(now, a)
	if !ok {
		return c, verdict, false
	}
	verdict = gate.Decide(now, q, admission.Load{Open: c.Open, Slots: c.Target.Slots, ReportAge: age})
	if verdict.Code != code.OK && !partlyExecuted {
		v.board.RecordFirstEvent(now, c, false)
		v.board.FinishRequest(now, c.Target.UID, placement.Neutral)
		return c, verdict, true
	}
	gate.RecordStart(q.Team)
	verdict.Code = code.OK
	return c, verdict, true
}

// recordFirstEvent records that an attempt has received its first event, or will not receive one.
func (v *trafficState) recordFirstEvent(now time.Time, c placement.Choice, answered bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.board.RecordFirstEvent(now, c, answered)
}

// maxLoadReportAge returns the age of the load reports used for admission, or 0 if there are no
// other routers. Routers report once per tick, so one tick is added for the report in transit.
func (v *trafficState) maxLoadReportAge(now time.Time) time.Duration {
	if v.loadsReportedAt.IsZero() {
		return 0
	}
	return fleet.TickInterval + now.Sub(v.loadsReportedAt)
}

// finishAttempt releases an attempt's place at its target and records the outcome. It reports
// whether the target is now suspended.
func (v *trafficState) finishAttempt(now time.Time, pool, team string, target uint64, o placement.Outcome, took time.Duration, answer admission.Outcome) (suspended bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.poolGate(pool).RecordEnd(now, team, took, answer)
	return v.board.FinishRequest(now, target, o)
}

func (v *trafficState) poolGate(pool string) *admission.Gate {
	g, ok := v.gates[pool]
	if !ok {
		g = admission.NewGate()
		v.gates[pool] = g
	}
	return g
}

// isLeavingOrRemoved reports whether a target is leaving or was removed from the target list.
func (v *trafficState) isLeavingOrRemoved(target uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.board.IsLeavingOrRemoved(target)
}

// markLeaving records that a target announced its shutdown and reports whether that is new.
func (v *trafficState) markLeaving(now time.Time, target uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.board.MarkLeaving(now, target)
}

// markExited records that a target's process has exited and reports whether that is new.
func (v *trafficState) markExited(now time.Time, target uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.board.MarkExited(now, target)
}

// exitedTargetsToProbe returns the targets that are believed to have exited and are due for a
// probe.
func (v *trafficState) exitedTargetsToProbe(now time.Time) []placement.Target {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.board.TakeExitedTargetsToProbe(now)
}

// recordProbe records whether a target believed to have exited accepts connections.
func (v *trafficState) recordProbe(now time.Time, target uint64, accepts bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.board.RecordProbe(now, target, accepts)
}

// setPause records a target's pause for this router; d is 0 if the target announced none.
func (v *trafficState) setPause(now time.Time, target uint64, d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.board.MarkPaused(now, target, d)
}

// markCold records how long a target remains cold and reports whether that is new.
func (v *trafficState) markCold(now time.Time, target uint64, d time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.board.MarkCold(now, target, d)
}

// setRouters sets the routers that share the capacity of cold targets.
func (v *trafficState) setRouters(f *warmup.Fleet) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.board.SetFleet(f)
}

// maySend reports whether a placed request may still be sent to its target.
func (v *trafficState) maySend(now time.Time, c placement.Choice) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.board.ConfirmPlacement(now, c)
}

// noTargetCode returns the result code for a request that found no target.
func (v *trafficState) noTargetCode(now time.Time, pool string) code.Code {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case v.board.IsEvacuated(pool):
		return code.Evacuated
	case v.board.PausedRetryAfter(now, pool) > 0:
		return code.TargetsPaused
	case v.board.ColdRetryAfter(now, pool) > 0:
		return code.TargetsCold
	}
	return code.NoTarget
}

// setEvacuated sets the evacuated data centres and returns the changes.
func (v *trafficState) setEvacuated(now time.Time, dataCentres []string) []evacuation.Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.board.SetEvacuated(now, dataCentres)
}

// availableAfter returns the time until the first target of a pool accepts requests, if all are
// paused or cold; 0 otherwise.
func (v *trafficState) availableAfter(now time.Time, pool string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return max(v.board.PausedRetryAfter(now, pool), v.board.ColdRetryAfter(now, pool))
}

// targetID returns the ID of a target by its lifetime's UID; empty if unknown.
func (v *trafficState) targetID(target uint64) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.board.TargetID(target)
}

// recordSilence records that a target is silent while the request still waits. It reports whether
// the target is now suspended.
func (v *trafficState) recordSilence(now time.Time, target uint64) (suspended bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.board.RecordSilence(now, target)
}

func (v *trafficState) retryBudget(now time.Time, pool string) *retry.Window {
	w, ok := v.retryBudgets[pool]
	if !ok {
		w = retry.NewWindow(now, v.retryWindow)
		v.retryBudgets[pool] = w
	}
	return w
}

func (v *trafficState) countRequest(now time.Time, pool string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.retryBudget(now, pool).RecordRequest(now)
}

// takeRetry takes one retry from the pool's budget. If ok is false, the budget is exhausted and
// full describes it.
func (v *trafficState) takeRetry(now time.Time, pool string) (room retry.Headroom, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	w := v.retryBudget(now, pool)
	if w.TryRetry(now, v.retryLimits) {
		return retry.Headroom{}, true
	}
	return w.TightestHeadroom(now, v.retryLimits), false
}

// forgetLoads drops the loads reported by the given routers, or all reports if sources is empty.
func (v *trafficState) forgetLoads(sources []uint32) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(sources) == 0 {
		v.board.ForgetAllRouters()
	}
	for _, s := range sources {
		v.board.ForgetRouter(s)
	}
}

// loadReportAge returns the time since another router last reported its loads; 0 if none has.
func (v *trafficState) loadReportAge(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.loadsReportedAt.IsZero() {
		return 0
	}
	return now.Sub(v.loadsReportedAt)
}

// maxPromptsPerDigest bounds the cached prompts reported in a digest. They take 16 bytes each and
// must fit into one packet.
const maxPromptsPerDigest = 32

// digestContent returns the router's own loads, target outcomes and cached prompts for the next
// digest.
func (v *trafficState) digestContent(now time.Time) fleet.Tick {
	v.mu.Lock()
	defer v.mu.Unlock()
	return fleet.Tick{Loads: v.board.OwnLoads(), Outcomes: v.board.OutcomesToReport(now), Prompts: v.board.TakePrefixReads(maxPromptsPerDigest)}
}
