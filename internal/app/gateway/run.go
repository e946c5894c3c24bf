package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/hemlockdyke/hemlockdyke/internal/core/admission"
	"github.com/hemlockdyke/hemlockdyke/internal/core/attempt"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/poison"
	"github.com/hemlockdyke/hemlockdyke/internal/core/retry"
	"github.com/hemlockdyke/hemlockdyke/internal/core/shutdown"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
	"github.com/hemlockdyke/hemlockdyke/internal/memory"
)

// openRequest is a request that is being forwarded.
type openRequest struct {
	proxy     *Proxy
	match     *MatchedRequest
	body      [][]byte // in pieces
	responder Responder
	// machine decides on retries. Its tickets come from the owner of a pool; the gateway has no
	// owners, so it grants them itself, after placement and admission.
	machine  *attempt.Machine
	ctx      context.Context
	deadline time.Time // start plus the timeout of the caller or the route, see Proxy.Serve

	// mu guards machine and what follows while a hedge is open, as two attempts run then.
	mu       sync.Mutex
	attempts []*targetAttempt // open attempts, and abandoned ones that have not ended yet
	// attemptBuffer saves an allocation for each request without more attempts.
	attemptBuffer [2]*targetAttempt
	hedges        sync.WaitGroup
	// hedgeEnds receives the end of a hedge that was the last open attempt; nil until it is needed.
	hedgeEnds chan hedgeEnd

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
	targetError *bufferedAnswer
	stream      streamProgress
	contents    poison.Contents
}

// bodyLength returns the length of the request's body.
func (r *openRequest) bodyLength() (n int) {
	for _, piece := range r.body {
		n += len(piece)
	}
	return n
}

// bufferedAnswer is a complete answer.
type bufferedAnswer struct {
	status int
	header http.Header
	body   [][]byte // in pieces
	memory memory.Reservation
}

// step passes an event to the machine. It cancels the attempt in whose place another one goes on.
func (r *openRequest) step(ev attempt.Event) attempt.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stepLocked(ev)
}

// stepLocked is step with mu held.
func (r *openRequest) stepLocked(ev attempt.Event) attempt.Action {
	action := r.machine.Step(ev)
	if action.Abandon != 0 {
		for _, t := range r.attempts {
			if t.number == action.Abandon {
				t.cancel(errOvertaken)
			}
		}
	}
	return action
}

func (r *openRequest) addAttempt(t *targetAttempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts == nil {
		r.attempts = r.attemptBuffer[:0]
	}
	r.attempts = append(r.attempts, t)
	if !r.machine.IsOpen(t.number) { // the silent target has gone on meanwhile
		t.cancel(errOvertaken)
	}
}

func (r *openRequest) removeAttempt(t *targetAttempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = slices.DeleteFunc(r.attempts, func(other *targetAttempt) bool { return other == t })
}

// run makes attempts until the request is finished, and returns its result code. All attempts have ended
// then. cancel must end r.ctx.
func (r *openRequest) run(cancel context.CancelFunc) code.Code {
	defer r.hedges.Wait()
	defer cancel()
	action := r.attemptNext()
	for {
		switch action.Kind {
		case attempt.None: // a hedge is still open
			action = r.awaitHedge()
		case attempt.RequestTicket:
			action = r.retry()
		default:
			return action.Code
		}
	}
}

// retry sends the request to another target if the retry budget allows it. While no target has got
// the request, another attempt takes nothing from the budget.
func (r *openRequest) retry() attempt.Action {
	r.mu.Lock()
	arrived := r.machine.HasArrived()
	r.mu.Unlock()
	if !arrived {
		return r.attemptNext()
	}
	if !r.takeRetry() {
		r.retryDenied = true
		return r.step(attempt.TicketRefused{Code: code.TargetRefused})
	}
	return r.attemptNext()
}

// takeRetry takes a retry from the pool's budget. It reports whether the budget allows one.
func (r *openRequest) takeRetry() bool {
	headroom, ok := r.proxy.traffic.tryRetry(r.proxy.now(), r.match.pool)
	if !ok {
		r.logRetryDenied(headroom)
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retries++
	return true
}

func (r *openRequest) logRetryDenied(headroom retry.Headroom) {
	r.logLine(eventlog.RetryDenied).Str("pool", r.match.pool).Int("repeats", headroom.Retries).Float64("allowed", headroom.Allowed).
		Float64("requests", headroom.Requests).Float64("slack", headroom.Slack).Msg("")
}

// attemptNext places the request and makes one attempt.
func (r *openRequest) attemptNext() attempt.Action {
	p := r.proxy
	now := p.now()
	if r.ctx.Err() != nil || !now.Before(r.deadline) {
		return r.endEarly()
	}
	preferred := uint64(0)
	if r.progress().attempts == 0 {
		if preferred = r.awaitPrefixRead(now); r.ctx.Err() != nil {
			return r.endEarly()
		}
		now = p.now()
	}
	t, refused := r.place(now, preferred, nil)
	if t == nil {
		if refused.notAdmitted {
			r.setRetryAfter(refused.retryAfter, refused.retryAfterSpread)
		}
		if refused.minRetryAfter > 0 {
			r.minRetryAfter = refused.minRetryAfter
		}
		return r.step(attempt.TicketRefused{Code: refused.code})
	}
	return r.makeAttempt(t)
}

func (r *openRequest) setRetryAfter(after time.Duration, spread bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryAfter, r.retryAfterSpread = after, spread
}

// makeAttempt makes a placed attempt and records its outcome, also if it panics: its target would count it
// as open for ever.
func (r *openRequest) makeAttempt(t *targetAttempt) attempt.Action {
	defer r.recordEnd(t)
	return t.make()
}

// recordEnd records the outcome of an attempt that has ended.
func (r *openRequest) recordEnd(t *targetAttempt) {
	p := r.proxy
	if t.trial {
		defer func() { p.traffic.poisonGuard.endTrial(p.now(), r.contents) }()
	}
	if t.overlapTimer != nil {
		t.overlapTimer.Stop()
	}
	r.recordFailure(t)
	t.recordFirstEvent(false)
	t.suspectPath()
	took := p.now().Sub(t.startedAt)
	if p.traffic.finishAttempt(p.now(), r.match.pool, r.match.Team(), t.choice, t.placementOutcome(), took, t.admissionOutcome(took), t.shed) {
		r.logLine(eventlog.TargetSuspended).Str("target", t.choice.Target.ID).Str("why", t.failure).Msg("")
	}
	if t.failure != "" {
		p.traffic.path.logLastSeen(r.logLine(eventlog.AttemptFailed), p.now(), r.match.pool).Int("attempt", t.number).Str("target", t.choice.Target.ID).
			Str("why", t.failure).AnErr("error", t.err).Int("events", t.events).Strs("parts", r.match.call.PromptParts).Dur("after", took).Msg("")
	}
}

// recordFailure records what the failure of an attempt means for the request.
func (r *openRequest) recordFailure(t *targetAttempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.failure == failureNotExecuted {
		r.retryAfter, r.retryAfterSpread = t.decision.RetryAfter, t.shed != nil
	}
	if errors.Is(context.Cause(t.ctx), errVersionChanged) && t.events > 0 {
		r.unbindStream()
	}
}

// endEarly ends a request whose caller disconnected or whose deadline passed, or which this router must answer before it
// stops.
func (r *openRequest) endEarly() attempt.Action {
	switch cause := context.Cause(r.ctx); {
	case errors.Is(cause, shutdown.ErrStopping):
		return r.step(attempt.RouterStopping{})
	case errors.Is(cause, context.Canceled):
		return r.step(attempt.CallerDisconnected{})
	}
	return r.step(attempt.DeadlinePassed{})
}

// retryAfterDivisor bounds Retry-After as a part of the remaining time: an attempt may have taken time
// since the decision that set it.
const retryAfterDivisor = 3

// finish answers the caller with the result code c if no answer was sent, aborts a partly sent
// answer, and records the result.
func (r *openRequest) finish(c code.Code) {
	p := r.proxy
	defer r.setTargetError(nil)
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
		Route: r.match.route.Name, Pool: r.match.pool, Team: r.match.Team(), Class: r.match.teamClass(),
		Code: c, Status: r.status, Objective: r.match.route.Objective,
		Attempts: r.machine.Attempts(), Retries: r.retries, RetryDenied: r.retryDenied && c != code.OK, TotalTime: now.Sub(r.match.startedAt),
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

// setTargetError replaces the answer that is kept in case no target succeeds.
func (r *openRequest) setTargetError(answer *bufferedAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.discardTargetError()
	r.targetError = answer
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
	line.Int("attempt", a.number).Str("pool", r.match.pool).Str("team", r.match.Team()).
		Stringer("fingerprint", r.contents[0]).Str("target", c.Target.ID).Str("rule", string(c.Rule)).Int("open", c.Open).Float64("bound", c.Bound).
		Str("source", c.CacheSource).Dur("loads_age", loadReportAge).Uint64("version", r.match.desiredVersion).
		Uint64("targets_row", r.proxy.traffic.targetsRowVersion.Load()).
		Str("software", c.Target.SoftwareVersion).Str("resume_from", r.progress().lastEventID).Str("resumes", r.match.call.ResumedID).Bool("trial", a.trial).Bool("hedge", a.hedges).Msg("")
}
