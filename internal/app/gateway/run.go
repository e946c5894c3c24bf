package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/hemlockdyke/hemlockdyke/internal/core/admission"
	"github.com/hemlockdyke/hemlockdyke/internal/core/attempt"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/poison"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// openRequest is a request that is being forwarded.
type openRequest struct {
	proxy     *Proxy
	match     *MatchedRequest
	body      []byte
	responder Responder
	machine   *attempt.Machine
	ctx       context.Context
	deadline  time.Time // by which the caller gets a final answer

	retries     int
	retryDenied bool
	// retryAfter is the time until there is capacity again; 0 if the code determines it.
	retryAfter time.Duration
	// minRetryAfter is the minimum delay before the caller should retry; 0 if there is none.
	minRetryAfter time.Duration
	firstByteAt   time.Time
	status        int
	// targetError is a 5xx answer from a target, sent to the caller if no other target succeeds.
	targetError  *bufferedAnswer
	stream       streamProgress
	fingerprint  poison.Fingerprint
	suspectTrial bool // the current attempt is a trial of a suspected request
}

// bufferedAnswer is a complete answer.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// retry sends the request to another target if the retry budget allows it.
func (x *openRequest) retry() attempt.Action {
	r := x.proxy
	if budget, ok := r.traffic.takeRetry(r.now(), x.match.pool); !ok {
		x.retryDenied = true
		x.logLine(eventlog.RepeatDenied).Str("pool", x.match.pool).Int("repeats", budget.Retries).Float64("allowed", budget.Allowed).
			Float64("requests", budget.Requests).Float64("slack", budget.Slack).Msg("")
		return x.machine.Step(attempt.TicketRefused{Code: code.TargetRefused})
	}
	x.retries++
	return x.attemptNext()
}

// attemptNext places the request and makes one attempt.
func (x *openRequest) attemptNext() attempt.Action {
	r := x.proxy
	now := r.now()
	if x.ctx.Err() != nil || !now.Before(x.deadline) {
		return x.endEarly()
	}
	suspicion := r.traffic.poisonGuard.admit(now, x.fingerprint)
	if suspicion.Refused {
		x.logLine(eventlog.PoisonRefused).Stringer("fingerprint", x.fingerprint).Dur("wait", suspicion.RetryAfter).Msg("")
		x.minRetryAfter = suspicion.RetryAfter
		return x.machine.Step(attempt.TicketRefused{Code: code.Poison})
	}
	x.suspectTrial = suspicion.Trial
	if x.suspectTrial {
		defer func() { r.traffic.poisonGuard.endTrial(r.now(), x.fingerprint) }()
	}
	choice, verdict, ok := r.traffic.place(now, placement.Request{
		Pool: x.match.pool, Chat: x.match.call.ChatHash, PromptPrefixes: x.match.call.PromptParts, PromptTokens: x.match.call.PromptTokens,
		Objective: x.match.route.Objective, Excluded: x.machine.Excluded(),
	}, admission.Request{Team: x.match.teamName(), Rank: x.match.rank(), RouteRank: x.match.route.Priority, Remaining: x.deadline.Sub(now), Objective: x.match.route.Objective}, x.machine.MayHaveExecuted())
	switch {
	case !ok:
		return x.machine.Step(attempt.TicketRefused{Code: r.traffic.noTargetCode(now, x.match.pool)})
	case verdict.Code != code.OK:
		x.logLine(eventlog.NotAdmitted).Str("target", choice.Target.ID).Int("open", choice.Open).
			Dur("wait", verdict.Wait).Dur("left", x.deadline.Sub(now)).Int("rank", x.match.rank()).Msg("")
		x.retryAfter = verdict.RetryAfter
		return x.machine.Step(attempt.TicketRefused{Code: verdict.Code})
	}
	action := x.machine.Step(attempt.TicketGranted{Target: choice.Target.UID})
	a := &targetAttempt{request: x, choice: choice, number: action.Attempt, startedAt: now, outcome: placement.Neutral}
	x.logPlaced(a, r.traffic.loadReportAge(now))
	action = a.make()
	if a.failure == failureNotExecuted {
		x.retryAfter = verdict.RetryAfter
	}
	a.recordFirstEvent(false)
	took := r.now().Sub(now)
	if r.traffic.finishAttempt(r.now(), x.match.pool, x.match.teamName(), choice.Target.UID, a.finalOutcome(), took, a.loadSignal(took)) {
		x.logLine(eventlog.TargetSuspended).Str("target", choice.Target.ID).Str("why", a.failure).Msg("")
	}
	if a.failure != "" {
		x.logLine(eventlog.AttemptFailed).Int("attempt", a.number).Str("target", choice.Target.ID).
			Str("why", a.failure).AnErr("error", a.err).Int("events", a.events).Dur("after", took).Msg("")
	}
	return action
}

// endEarly ends the request because its caller disconnected or its deadline passed.
func (x *openRequest) endEarly() attempt.Action {
	if errors.Is(context.Cause(x.ctx), context.Canceled) {
		return x.machine.Step(attempt.CallerDisconnected{})
	}
	return x.machine.Step(attempt.DeadlinePassed{})
}

func (x *openRequest) finish(c code.Code) {
	r := x.proxy
	switch {
	case c == code.OK:
	case x.firstByteAt.IsZero() && x.targetError != nil:
		// The target's own error tells the caller more than a result code.
		x.sendAnswer(x.targetError.status, x.targetError.header, x.targetError.body)
	case x.firstByteAt.IsZero():
		if wait := r.traffic.availableAfter(r.now(), x.match.pool); wait > 0 && x.minRetryAfter == 0 && isWaitForTarget(c) {
			x.minRetryAfter = wait
		}
		retryAfter := x.retryAfter
		if retryAfter == 0 {
			retryAfter = admission.RetryAfter(c, x.deadline.Sub(r.now()))
		}
		if x.minRetryAfter > 0 {
			x.responder.SendError(c, addPositiveJitter(x.minRetryAfter))
		} else {
			x.responder.SendError(c, addJitter(retryAfter))
		}
	default:
		x.responder.Abort()
	}
	now := r.now()
	res := Result{
		Route: x.match.route.Name, Pool: x.match.pool, Team: x.match.teamName(), Class: x.match.teamClass(),
		Code: c, Status: x.status, Objective: x.match.route.Objective,
		Attempts: x.machine.Attempts(), Retries: x.retries, RetryDenied: x.retryDenied, TotalTime: now.Sub(x.match.startedAt),
	}
	if !x.firstByteAt.IsZero() {
		res.FirstByteTime = x.firstByteAt.Sub(x.match.startedAt)
	}
	r.observer.RecordResult(res)
	kind := eventlog.Finished
	if c != code.OK {
		kind = eventlog.Failed
	}
	x.logLine(kind).Int("code", int(c)).Str("name", c.Lookup().Name).Str("ran", c.Lookup().Execution.String()).
		Int("status", x.status).Int("attempts", res.Attempts).Dur("first", res.FirstByteTime).Dur("total", res.TotalTime).
		Dur("budget", x.deadline.Sub(x.match.startedAt)).Msg("")
}

// sendAnswer sends a complete answer to the caller.
func (x *openRequest) sendAnswer(status int, header http.Header, body []byte) {
	x.firstByteAt, x.status = x.proxy.now(), status
	x.responder.SendHeader(status, header, int64(len(body)))
	_ = x.responder.Write(body) // a write error also cancels the caller's context
}

// logLine returns a log event with the request's ID and route.
func (x *openRequest) logLine(k eventlog.Kind) *zerolog.Event {
	return x.proxy.log.Line(k).Str("request", x.match.call.ID).Str("route", x.match.route.Name)
}

// logPlaced logs the target of an attempt and the reasons for the choice.
func (x *openRequest) logPlaced(a *targetAttempt, loadReportAge time.Duration) {
	c := a.choice
	line := x.logLine(eventlog.Placed)
	if removedAt := c.Target.RemovedAt; !removedAt.IsZero() {
		line.Dur("gone", a.startedAt.Sub(removedAt)).Dur("grace", time.Duration(x.proxy.traffic.removedGrace.Load())).Bool("store_away", x.proxy.traffic.storeOutage.Load())
	}
	line.Int("attempt", a.number).Str("pool", x.match.pool).Str("team", x.match.teamName()).
		Stringer("fingerprint", x.fingerprint).Str("target", c.Target.ID).Str("rule", string(c.Rule)).Int("open", c.Open).Float64("bound", c.Bound).
		Str("source", c.CacheSource).Dur("loads_age", loadReportAge).Uint64("version", x.match.desiredVersion).
		Uint64("targets_row", x.proxy.traffic.targetsRowVersion.Load()).
		Str("resume_from", x.stream.lastEventID).Bool("trial", x.suspectTrial).Msg("")
}
