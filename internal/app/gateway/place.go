package gateway

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/admission"
	"github.com/hemlockdyke/hemlockdyke/internal/core/attempt"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/lineage"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/route"
	"github.com/hemlockdyke/hemlockdyke/internal/core/workload"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// placementRefusal is why a request can't be sent to a target now.
type placementRefusal struct {
	code             code.Code
	notAdmitted      bool // admission refused it, with the two fields that follow, see openRequest
	retryAfter       time.Duration
	retryAfterSpread bool
	minRetryAfter    time.Duration // see openRequest
}

// place chooses a target for the next attempt, and returns the attempt or why there is none. beside is the
// attempt whose target is silent if the next one is a hedge, and nil otherwise.
func (r *openRequest) place(now time.Time, preferred uint64, beside *targetAttempt) (*targetAttempt, placementRefusal) {
	p := r.proxy
	poisonDecision, confine := p.traffic.poisonGuard.admit(now, r.contents)
	if poisonDecision.Refused {
		if beside == nil {
			r.logPoisonRefused(poisonDecision)
		}
		return nil, placementRefusal{code: code.Poison, minRetryAfter: poisonDecision.RetryAfter}
	}
	endTrial := func() {
		if poisonDecision.Trial {
			p.traffic.poisonGuard.endTrial(p.now(), r.contents)
		}
	}
	chatHash := r.match.call.ChatHash
	if confine != 0 {
		chatHash, preferred = uint64(confine), 0
	}
	if beside != nil && (poisonDecision.Trial || confine != 0) {
		endTrial()
		return nil, placementRefusal{code: code.Poison} // a suspect runs at one target at a time
	}
	work, percentile := workload.Estimate{}, unknownPercentile
	if r.match.call.PromptTokens > 0 && r.match.route.Kind == route.Stream {
		work, percentile = p.traffic.estimateWork(r.match.pool, r.match.route.Name, r.match.workRequest())
	}
	demand := r.match.demandOf(work)
	progress := r.progress()
	choice, decision, shed, ok := p.traffic.placeRequest(now, placement.Request{
		Pool: r.match.pool, ChatHash: chatHash, PromptPrefixes: r.match.call.PromptPrefixes, PromptTokens: r.match.call.PromptTokens,
		Objective: r.match.route.Objective, Excluded: progress.excluded, Software: progress.software, PreferredTarget: preferred,
		MemoryTokens: demand.memoryTokens,
	}, admission.Request{Team: r.match.Team(), Priority: r.match.priority(), RoutePriority: r.match.route.Priority, Remaining: r.deadline.Sub(now), Objective: r.match.route.Objective},
		sheddingRequest{route: r.match.route.Name, retry: progress.attempts > 0, slotTime: demand.slotTime, workPercentile: percentile, elapsed: now.Sub(r.match.startedAt)}, progress.mayHaveExecuted || progress.software != 0)
	switch {
	case !ok:
		endTrial()
		c := p.traffic.noTargetCode(now, r.match.pool, progress.software)
		if progress.software != 0 && beside == nil {
			r.logStreamRefused(c)
		}
		return nil, placementRefusal{code: c}
	case decision.Code != code.OK:
		endTrial()
		if beside == nil {
			r.logNotAdmitted(now, choice, decision, shed)
		}
		return nil, placementRefusal{code: decision.Code, notAdmitted: true, retryAfter: decision.RetryAfter, retryAfterSpread: shed != nil}
	}
	t := &targetAttempt{
		request: r, choice: choice, decision: decision, startedAt: now, outcome: placement.Neutral, shed: shed, work: work,
		trial: poisonDecision.Trial, hedges: beside != nil,
	}
	if !r.dispatch(t, beside) {
		endTrial()
		t.recordFirstEvent(false)
		p.traffic.finishAttempt(p.now(), r.match.pool, r.match.Team(), choice, placement.Neutral, 0, admission.InTime, shed)
		return nil, placementRefusal{code: code.NoTarget}
	}
	r.logPlaced(t, p.traffic.loadReportAge(now))
	return t, placementRefusal{}
}

// dispatch numbers a placed attempt. It returns false if the attempt must not be made.
func (r *openRequest) dispatch(t, beside *targetAttempt) bool {
	var ev attempt.Event = attempt.TicketGranted{Target: t.choice.Target.UID}
	if beside != nil {
		if !r.takeRetry() {
			return false
		}
		ev = attempt.HedgeGranted{Attempt: beside.number, Target: t.choice.Target.UID}
	}
	action := r.step(ev)
	t.number = action.Attempt
	return action.Kind == attempt.Dispatch
}

// requestProgress is what earlier attempts of a request mean for the next one.
type requestProgress struct {
	excluded        []uint64
	software        lineage.Software
	attempts        int
	events          int // events of a stream that were sent to the caller
	lastEventID     string
	mayHaveExecuted bool
}

func (r *openRequest) progress() requestProgress {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stream.events > 0 && r.proxy.traffic.streams.known(r.streamID()) == lineage.Conflicting {
		r.unbindStream()
	}
	return requestProgress{
		excluded: r.machine.Excluded(), software: r.stream.software, attempts: r.machine.Attempts(), events: r.stream.events,
		lastEventID: r.stream.lastEventID, mayHaveExecuted: r.machine.MayHaveExecuted(),
	}
}

func (r *openRequest) logNotAdmitted(now time.Time, choice placement.Choice, decision admission.Decision, shed *shedDecision) {
	line := r.logLine(eventlog.NotAdmitted).Str("target", choice.Target.ID).Int("open", choice.Open).
		Dur("wait", decision.Wait).Dur("left", r.deadline.Sub(now))
	if shed != nil {
		shed.logTo(line)
	} else {
		line.Int("rank", r.match.priority())
	}
	line.Msg("")
}
