package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/hemlockdyke/hemlockdyke/internal/core/admission"
	"github.com/hemlockdyke/hemlockdyke/internal/core/attempt"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/lineage"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/poison"
	"github.com/hemlockdyke/hemlockdyke/internal/core/route"
	"github.com/hemlockdyke/hemlockdyke/internal/core/workload"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
	"github.com/hemlockdyke/hemlockdyke/internal/memory"
)

// openRequest is a request that is being forwarded.
type openRequest struct {
	proxy     *Proxy
	match     *MatchedRequest
	body      []byte
	responder Responder
	// machine decides on retries. Its tickets come from the owner of a pool; the gateway has no
	// owners, so it grants them itself, after placement and admission.
	machine  *attempt.Machine
	ctx      context.Context
	deadline time.Time // start plus the timeout of the caller or the route, see Proxy.Serve

	retries     int
	retryDenied bool
	// retryAfter is when the caller should retry according to admission, before jitter; 0 if the
	// result code alone decides.
	retryAfter time.Duration
	// retryAfterSpread is true if retryAfter is already spread over the callers, so that it gets no
	// jitter.
	retryAfterSpread bool
	// minRetryAfter replaces retryAfter if a retry before that time is useless: while the request
	// is refused as a suspect, or all targets are paused or cold. It is 0 otherwise.
	minRetryAfter time.Duration
	firstByteAt   time.Time
	status        int
	// targetError is a 5xx answer from a target, sent to the caller if no other target succeeds.
	targetError  *bufferedAnswer
	stream       streamProgress
	contents     poison.Contents
	suspectTrial bool // the current attempt is a trial of the suspects that the request carries
}

// bufferedAnswer is a complete answer.
type bufferedAnswer struct {
	status int
	header http.Header
	body   [][]byte // in pieces
	memory memory.Reservation
}

// retry sends the request to another target if the retry budget allows it. While no target has got
// the request, another attempt takes nothing from the budget.
func (r *openRequest) retry() attempt.Action {
	p := r.proxy
	if !r.machine.HasArrived() {
		return r.attemptNext()
	}
	if headroom, ok := p.traffic.tryRetry(p.now(), r.match.pool); !ok {
		r.retryDenied = true
		r.logLine(eventlog.RetryDenied).Str("pool", r.match.pool).Int("repeats", headroom.Retries).Float64("allowed", headroom.Allowed).
			Float64("requests", headroom.Requests).Float64("slack", headroom.Slack).Msg("")
		return r.machine.Step(attempt.TicketRefused{Code: code.TargetRefused})
	}
	r.retries++
	return r.attemptNext()
}

// attemptNext places the request and makes one attempt.
func (r *openRequest) attemptNext() attempt.Action {
	p := r.proxy
	now := p.now()
	if r.ctx.Err() != nil || !now.Before(r.deadline) {
		return r.endEarly()
	}
	preferred := uint64(0)
	if r.machine.Attempts() == 0 {
		if preferred = r.awaitPrefixRead(now); r.ctx.Err() != nil {
			return r.endEarly()
		}
		now = p.now()
	}
	if r.stream.events > 0 && p.traffic.streams.known(r.streamID()) == lineage.Conflicting {
		r.unbindStream()
	}
	poisonDecision, confine := p.traffic.poisonGuard.admit(now, r.contents)
	if poisonDecision.Refused {
		r.logPoisonRefused(poisonDecision)
		r.minRetryAfter = poisonDecision.RetryAfter
		return r.machine.Step(attempt.TicketRefused{Code: code.Poison})
	}
	r.suspectTrial = poisonDecision.Trial
	if r.suspectTrial {
		defer func() { p.traffic.poisonGuard.endTrial(p.now(), r.contents) }()
	}
	chatHash := r.match.call.ChatHash
	if confine != 0 {
		chatHash, preferred = uint64(confine), 0
	}
	work, percentile := workload.Estimate{}, unknownPercentile
	if r.match.call.PromptTokens > 0 && r.match.route.Kind == route.Stream {
		work, percentile = p.traffic.estimateWork(r.match.pool, r.match.route.Name, r.match.workRequest())
	}
	demand := r.match.demandOf(work)
	choice, decision, shed, ok := p.traffic.placeRequest(now, placement.Request{
		Pool: r.match.pool, ChatHash: chatHash, PromptPrefixes: r.match.call.PromptPrefixes, PromptTokens: r.match.call.PromptTokens,
		Objective: r.match.route.Objective, Excluded: r.machine.Excluded(), Software: r.stream.software, PreferredTarget: preferred,
		MemoryTokens: demand.memoryTokens,
	}, admission.Request{Team: r.match.teamName(), Priority: r.match.priority(), RoutePriority: r.match.route.Priority, Remaining: r.deadline.Sub(now), Objective: r.match.route.Objective},
		sheddingRequest{route: r.match.route.Name, retry: r.machine.Attempts() > 0, slotTime: demand.slotTime, workPercentile: percentile, elapsed: now.Sub(r.match.startedAt)}, r.machine.MayHaveExecuted() || r.stream.software != 0)
	switch {
	case !ok:
		c := p.traffic.noTargetCode(now, r.match.pool, r.stream.software)
		if r.stream.software != 0 {
			r.logStreamRefused(c)
		}
		return r.machine.Step(attempt.TicketRefused{Code: c})
	case decision.Code != code.OK:
		line := r.logLine(eventlog.NotAdmitted).Str("target", choice.Target.ID).Int("open", choice.Open).
			Dur("wait", decision.Wait).Dur("left", r.deadline.Sub(now))
		if shed != nil {
			shed.logTo(line)
		} else {
			line.Int("rank", r.match.priority())
		}
		line.Msg("")
		r.retryAfter, r.retryAfterSpread = decision.RetryAfter, shed != nil
		return r.machine.Step(attempt.TicketRefused{Code: decision.Code})
	}
	action := r.machine.Step(attempt.TicketGranted{Target: choice.Target.UID})
	a := &targetAttempt{request: r, choice: choice, number: action.Attempt, startedAt: now, outcome: placement.Neutral, shed: shed, work: work}
	r.logPlaced(a, p.traffic.loadReportAge(now))
	action = a.make()
	if a.failure == failureNotExecuted {
		r.retryAfter, r.retryAfterSpread = decision.RetryAfter, shed != nil
	}
	if errors.Is(context.Cause(a.ctx), errVersionChanged) && a.events > 0 {
		r.unbindStream()
	}
	a.recordFirstEvent(false)
	a.suspectPath()
	took := p.now().Sub(now)
	if p.traffic.finishAttempt(p.now(), r.match.pool, r.match.teamName(), choice, a.placementOutcome(), took, a.admissionOutcome(took), shed) {
		r.logLine(eventlog.TargetSuspended).Str("target", choice.Target.ID).Str("why", a.failure).Msg("")
	}
	if a.failure != "" {
		p.traffic.path.logLastSeen(r.logLine(eventlog.AttemptFailed), p.now(), r.match.pool).Int("attempt", a.number).Str("target", choice.Target.ID).
			Str("why", a.failure).AnErr("error", a.err).Int("events", a.events).Strs("parts", r.match.call.PromptParts).Dur("after", took).Msg("")
	}
	return action
}

// endEarly ends a request whose caller disconnected or whose deadline passed.
func (r *openRequest) endEarly() attempt.Action {
	if errors.Is(context.Cause(r.ctx), context.Canceled) {
		return r.machine.Step(attempt.CallerDisconnected{})
	}
	return r.machine.Step(attempt.DeadlinePassed{})
}

// retryAfterDivisor bounds Retry-After as a part of the remaining time: an attempt may have taken time
// since the decision that set it.
const retryAfterDivisor = 3

// finish answers the caller with the result code c if no answer was sent, aborts a partly sent
// answer, and records the result.
func (r *openRequest) finish(c code.Code) {
	p := r.proxy
	defer r.discardTargetError()
	switch {
	case c == code.OK:
	case r.firstByteAt.IsZero() && r.targetError != nil:
		// The target's own error tells the caller more than a result code.
		r.sendAnswer(r.targetError.status, r.targetError.header, r.targetError.body...)
	case r.firstByteAt.IsZero():
		if wait := p.traffic.unavailableRetryAfter(p.now(), r.match.pool, r.stream.software); wait > 0 && r.minRetryAfter == 0 && isTargetUnavailable(c) {
			r.minRetryAfter = wait
		}
		retryAfter := r.retryAfter
		if retryAfter == 0 {
			retryAfter = admission.RetryAfter(c, r.deadline.Sub(p.now()))
		}
		switch {
		case r.minRetryAfter > 0:
			r.responder.SendError(c, addPositiveJitter(r.minRetryAfter))
		case r.retryAfter > 0 && r.retryAfterSpread && c.Lookup().Execution == code.NotExecuted:
			r.responder.SendError(c, min(retryAfter, max(r.deadline.Sub(p.now())/retryAfterDivisor, 0)))
		case r.retryAfterSpread:
			r.responder.SendError(c, addJitter(admission.RetryAfter(c, r.deadline.Sub(p.now()))))
		default:
			r.responder.SendError(c, addJitter(retryAfter))
		}
	default:
		r.responder.Abort()
	}
	now := p.now()
	res := Result{
		Route: r.match.route.Name, Pool: r.match.pool, Team: r.match.teamName(), Class: r.match.teamClass(),
		Code: c, Status: r.status, Objective: r.match.route.Objective,
		Attempts: r.machine.Attempts(), Retries: r.retries, RetryDenied: r.retryDenied, TotalTime: now.Sub(r.match.startedAt),
	}
	if !r.firstByteAt.IsZero() {
		res.FirstByteTime = r.firstByteAt.Sub(r.match.startedAt)
	}
	p.observer.RecordResult(res)
	kind := eventlog.Finished
	if c != code.OK {
		kind = eventlog.Failed
	}
	r.logLine(kind).Int("code", int(c)).Str("name", c.Lookup().Name).Str("ran", c.Lookup().Execution.String()).
		Int("status", r.status).Int("attempts", res.Attempts).Dur("first", res.FirstByteTime).Dur("total", res.TotalTime).
		Dur("budget", r.deadline.Sub(r.match.startedAt)).Msg("")
}

// sendAnswer sends a complete answer, in pieces, to the caller.
func (r *openRequest) sendAnswer(status int, header http.Header, body ...[]byte) {
	r.firstByteAt, r.status = r.proxy.now(), status
	length := 0
	for _, piece := range body {
		length += len(piece)
	}
	r.responder.SendHeader(status, header, int64(length))
	for _, piece := range body {
		if r.responder.Write(piece) != nil { // a write error also cancels the caller's context
			return
		}
	}
}

// discardTargetError releases the answer that was kept in case no target succeeds.
func (r *openRequest) discardTargetError() {
	if r.targetError != nil {
		r.targetError.memory.Release()
		r.targetError = nil
	}
}

// logLine returns a log event with the request's ID and route.
func (r *openRequest) logLine(k eventlog.Kind) *zerolog.Event {
	return r.proxy.log.Line(k).Str("request", r.match.call.ID).Str("route", r.match.route.Name)
}

// logPoisonRefused logs which suspect the request carries.
func (r *openRequest) logPoisonRefused(d poison.Decision) {
	part := ""
	if i := slices.Index(r.contents, d.Suspect); i > 0 {
		part = r.match.call.PromptParts[i-1]
	}
	r.logLine(eventlog.PoisonRefused).Stringer("fingerprint", d.Suspect).Dur("wait", d.RetryAfter).Str("part", part).Int("ends", d.Exits).Dur("age", d.Age).Msg("")
}

// logPlaced logs the target of an attempt and the reasons for the choice.
func (r *openRequest) logPlaced(a *targetAttempt, loadReportAge time.Duration) {
	c := a.choice
	line := r.logLine(eventlog.Placed)
	if removedAt := c.Target.RemovedAt; !removedAt.IsZero() {
		line.Dur("gone", a.startedAt.Sub(removedAt)).Dur("grace", time.Duration(r.proxy.traffic.retentionNanos.Load())).Bool("store_away", r.proxy.traffic.storeOutage.Load())
	}
	line.Int("attempt", a.number).Str("pool", r.match.pool).Str("team", r.match.teamName()).
		Stringer("fingerprint", r.contents[0]).Str("target", c.Target.ID).Str("rule", string(c.Rule)).Int("open", c.Open).Float64("bound", c.Bound).
		Str("source", c.CacheSource).Dur("loads_age", loadReportAge).Uint64("version", r.match.desiredVersion).
		Uint64("targets_row", r.proxy.traffic.targetsRowVersion.Load()).
		Str("software", c.Target.SoftwareVersion).Str("resume_from", r.stream.lastEventID).Str("resumes", r.match.call.ResumedID).Bool("trial", r.suspectTrial).Msg("")
}
