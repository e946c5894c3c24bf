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

// view is what traffic reads and changes: the routing table, swapped whole, and the
// board of open requests. A placement and its end take 2 us at 12 targets and 8 us at
// 120 (BenchmarkPlace).
type view struct {
	table   atomic.Pointer[route.Table]
	leaving atomic.Bool
	// finishing is set once the balancer has noticed that the router leaves: the time
	// at which it has to end, nil before.
	finishing atomic.Pointer[time.Time]
	// early are the open requests that came before finishing was set.
	early atomic.Int64
	ready atomic.Bool
	// behind: another router has a newer desired state. stale: it has had it for too long.
	behind, stale atomic.Bool

	// goneGrace is for how many nanoseconds targets are used that left the list, storeAway why it is longer than usual.
	goneGrace atomic.Int64
	storeAway atomic.Bool
	// targetsRow is the row version of the list of targets in force.
	targetsRow atomic.Uint64

	attempts *underWay
	guard    *guard

	mu      sync.Mutex
	board   *placement.Balancer
	gates   map[string]*admission.Gate
	budgets map[string]*retry.Window
	limits  retry.Limits
	span    time.Duration
	updated time.Time // when the fleet's loads were last heard of
}

// place chooses a target and decides whether the request is sent there. One that a
// target has run in part is always sent: what was done for it would be lost. ok is
// false if the pool has no target.
func (v *view) place(now time.Time, a placement.Request, q admission.Request, begun bool) (c placement.Choice, verdict admission.Decision, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	gate, age := v.gate(a.Pool), v.newsAge(now)
	a.LoadsOutdated = gate.HasShortWork(age)
	c, ok = v.board.Place(now, a)
	if !ok {
		return c, verdict, false
	}
	verdict = gate.Decide(now, q, admission.Load{Open: c.Open, Slots: c.Target.Slots, ReportAge: age})
	if verdict.Code != code.OK && !begun {
		v.board.RecordFirstEvent(now, c, false)
		v.board.FinishRequest(now, c.Target.UID, placement.Neutral)
		return c, verdict, true
	}
	gate.RecordStart(q.Team)
	verdict.Code = code.OK
	return c, verdict, true
}

// firstEvent tells the board that an attempt has its first event, or will have none.
func (v *view) firstEvent(now time.Time, c placement.Choice, answered bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.board.RecordFirstEvent(now, c, answered)
}

// newsAge returns how old what is known of the others' open requests is: they tell it once in a tick, and it takes its way. It is 0 if
// there are no others.
func (v *view) newsAge(now time.Time) time.Duration {
	if v.updated.IsZero() {
		return 0
	}
	return fleet.TickInterval + now.Sub(v.updated)
}

// done takes an attempt off its target, after it held a place there for a while.
func (v *view) done(now time.Time, pool, team string, target uint64, o placement.Outcome, took time.Duration, answer admission.Outcome) (suspended bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.gate(pool).RecordEnd(now, team, took, answer)
	return v.board.FinishRequest(now, target, o)
}

func (v *view) gate(pool string) *admission.Gate {
	g, ok := v.gates[pool]
	if !ok {
		g = admission.NewGate()
		v.gates[pool] = g
	}
	return g
}

// targetLeaves reports whether a target has said that it leaves, or is gone.
func (v *view) targetLeaves(target uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.board.IsLeavingOrRemoved(target)
}

// saysLeaving takes in that a target says that it leaves, and reports whether that is news.
func (v *view) saysLeaving(now time.Time, target uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.board.MarkLeaving(now, target)
}

// targetEnded takes in that a target's process has ended, and reports whether that is news.
func (v *view) targetEnded(now time.Time, target uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.board.MarkExited(now, target)
}

// endedToAsk returns the targets that have ended, as far as is known, and whose ports are to be asked now.
func (v *view) endedToAsk(now time.Time) []placement.Target {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.board.ExitedTargetsToProbe(now)
}

// endedAnswer takes in whether a target that has ended, as far as was known, accepts connections.
func (v *view) endedAnswer(now time.Time, target uint64, accepts bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.board.RecordProbe(now, target, accepts)
}

// saysPause takes in for how long a target wants nothing from this router.
func (v *view) saysPause(now time.Time, target uint64, d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.board.MarkPaused(now, target, d)
}

// saysCold takes in for how long a target says that it is cold, and reports whether that is news.
func (v *view) saysCold(now time.Time, target uint64, d time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.board.MarkCold(now, target, d)
}

// setFleet tells which routers there are.
func (v *view) setFleet(f *warmup.Fleet) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.board.SetFleet(f)
}

// wants reports whether a request that was placed may be sent to its target now.
func (v *view) wants(now time.Time, c placement.Choice) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.board.MaySend(now, c)
}

// noTarget returns the code for a request that found no target.
func (v *view) noTarget(now time.Time, pool string) code.Code {
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

// evacuate puts orders to evacuate data centres in force and returns what has changed.
func (v *view) evacuate(now time.Time, dataCentres []string) []evacuation.Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.board.SetEvacuated(now, dataCentres)
}

// resumes returns in what time the first target of a pool takes requests again, if none does now because they want none or are cold; 0
// otherwise.
func (v *view) resumes(now time.Time, pool string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return max(v.board.PausedRetryAfter(now, pool), v.board.ColdRetryAfter(now, pool))
}

// targetID returns the name of a target's lifetime, empty if it is not known.
func (v *view) targetID(target uint64) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.board.TargetID(target)
}

// silent tells the board of a target that leaves a request unanswered, while the
// request still waits.
func (v *view) silent(now time.Time, target uint64) (suspended bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.board.RecordSilence(now, target)
}

func (v *view) budget(now time.Time, pool string) *retry.Window {
	w, ok := v.budgets[pool]
	if !ok {
		w = retry.NewWindow(now, v.span)
		v.budgets[pool] = w
	}
	return w
}

func (v *view) countRequest(now time.Time, pool string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.budget(now, pool).RecordRequest(now)
}

// allowRepeat takes one repeat out of the budget if there is room; if not, it returns what the budget holds.
func (v *view) allowRepeat(now time.Time, pool string) (full retry.Headroom, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	w := v.budget(now, pool)
	if w.TryRetry(now, v.limits) {
		return retry.Headroom{}, true
	}
	return w.TightestHeadroom(now, v.limits), false
}

// forget drops what some sources told of their loads, or all of them if none is named.
func (v *view) forget(sources []uint32) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(sources) == 0 {
		v.board.ForgetAllRouters()
	}
	for _, s := range sources {
		v.board.ForgetRouter(s)
	}
}

// loadsAge returns how long ago another router told its loads.
func (v *view) loadsAge(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.updated.IsZero() {
		return 0
	}
	return now.Sub(v.updated)
}

// promptsPerDigest bounds what a digest tells of prompts that were read where: 16 bytes each, so that
// it stays within one packet.
const promptsPerDigest = 32

// toTell returns what this router tells the others: what it has open, what it saw of failing
// targets, and which prompts were read where.
func (v *view) toTell(now time.Time) fleet.Tick {
	v.mu.Lock()
	defer v.mu.Unlock()
	return fleet.Tick{Loads: v.board.OwnLoads(), Outcomes: v.board.OutcomesToReport(now), Prompts: v.board.TakePrefixReads(promptsPerDigest)}
}
