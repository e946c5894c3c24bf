package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/upstream"
	"github.com/hemlockdyke/hemlockdyke/internal/core/admission"
	"github.com/hemlockdyke/hemlockdyke/internal/core/attempt"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/route"
	"github.com/hemlockdyke/hemlockdyke/internal/core/shutdown"
	"github.com/hemlockdyke/hemlockdyke/internal/core/workload"
	"github.com/hemlockdyke/hemlockdyke/internal/memory"
)

// targetAttempt is one attempt to send a request to a target.
type targetAttempt struct {
	request            *openRequest
	choice             placement.Choice
	decision           admission.Decision
	number             int
	startedAt          time.Time
	shed               *shedDecision // nil unless the pool is scheduled by work
	outcome            placement.Outcome
	failure            string // reason for the log; empty if the attempt succeeded
	err                error
	firstEventRecorded bool      // the first event, or its absence, was recorded for placement
	acquired           bool      // it counts as sent by this router, see placement.Balancer.AcquireSend
	events             int       // events of a stream sent to the caller
	firstEventAt       time.Time // when the first event arrived; zero if none
	cleared            bool      // what the request carries was cleared of suspicion
	// work is the estimated work of the request; zero if it is not scheduled by work.
	work workload.Estimate
	// trial is true if the attempt is a trial of the suspects that the request carries.
	trial bool
	// hedges is true if the attempt was made beside one whose target was silent.
	hedges       bool
	overlapTimer *time.Timer // see startOverlap; nil before
	// answering is true once the first complete event of a stream has arrived.
	answering atomic.Bool
	// forwarder is the router that was last asked to send the request; nil if this one sends it.
	forwarder atomic.Pointer[string]

	ctx     context.Context
	cancel  context.CancelCauseFunc
	silence *silenceTimer
	memory  memory.Reservation // of the answer
}

// errOvertaken cancels an attempt in whose place another attempt of the same request goes on.
var errOvertaken = errors.New("another attempt goes on")

const (
	// failureSilent is the reason for attempts whose target was silent when another attempt went on.
	failureSilent = "silent"
	// failureOvertaken is the reason for attempts that were not needed, as the silent target went on.
	failureOvertaken = "overtaken"
)

// placementOutcome returns the attempt's outcome for placement. It is Neutral if the target's
// silence has already been recorded: recording the failure again seconds later, at the deadline,
// could suspend a target that has recovered. It is also Neutral if the lifetime has ended, or if
// this router cancelled the attempt because the request became suspected, or if its own path is cut.
func (t *targetAttempt) placementOutcome() placement.Outcome {
	pathFailed := !t.isForwarded() && (t.outcome == placement.Failed || t.outcome == placement.Unreachable) && t.request.proxy.traffic.path.isCut(t.request.match.pool)
	if pathFailed || (t.silence.hasExpired() && t.outcome == placement.Failed) || t.failure == failureRestarted || t.failure == failureSuspected || t.failure == failureOvertaken {
		return placement.Neutral
	}
	return t.outcome
}

// admissionOutcome returns the attempt's outcome for admission: what it shows about the target's
// load.
func (t *targetAttempt) admissionOutcome(took time.Duration) admission.Outcome {
	objective := t.request.match.route.Objective
	switch {
	case t.failure == failureNotExecuted:
		return admission.RefusedByTarget
	case t.outcome == placement.Answered && objective > 0 && took > objective:
		return admission.Late
	}
	return admission.InTime
}

// recordFirstEvent records the first event of the answer, or its absence, for placement. Only the
// first call has an effect.
func (t *targetAttempt) recordFirstEvent(answered bool) {
	if !t.firstEventRecorded {
		t.firstEventRecorded = true
		t.request.proxy.traffic.recordFirstEvent(t.request.proxy.now(), t.choice, answered)
		if answered {
			t.request.proxy.traffic.prefill.recordAnswer(t.request.match.call.PromptPrefixes)
		}
	}
}

// priority returns the priority to send to the target.
func (t *targetAttempt) priority() int {
	if t.shed != nil {
		return t.shed.TargetPriority
	}
	return t.request.match.priority()
}

// make makes the attempt: it sends the request and forwards the answer.
func (t *targetAttempt) make() attempt.Action {
	r := t.request
	t.ctx, t.cancel = context.WithCancelCause(r.ctx)
	defer t.cancel(nil)
	r.proxy.traffic.openAttempts.add(t)
	defer r.proxy.traffic.openAttempts.remove(t)
	t.silence = newSilenceTimer(r.proxy.now, t.onSilent)
	r.addAttempt(t)
	defer r.removeAttempt(t)
	t.startSilenceTimer()
	defer t.silence.stop()
	t.memory = r.proxy.traffic.memory.ReservePrepaid(memory.Answer, AnswerBytes)
	defer t.memory.Release()
	answer, err := t.send()
	if t.acquired {
		defer r.proxy.traffic.releaseSend(t.choice.Target.UID)
	}
	if err != nil {
		return t.handleSendError(err)
	}
	defer answer.Close()
	info := r.proxy.codec.DecodeAnswer(answer.Status, answer.Header)
	r.proxy.codec.StripRouterHeaders(answer.Header) // they would look like this router's own
	switch {
	case info.NotExecuted:
		return t.handleNotExecuted(info)
	case r.match.route.Kind == route.Stream && answer.Status == http.StatusOK && info.Sealed:
		return t.forwardStream(answer)
	}
	return t.forwardBuffered(answer, info)
}

// send sends the request over this router's own path. Another router sends it while that is cut, or
// while this router's quota of a brittle target is used up.
func (t *targetAttempt) send() (*upstream.Answer, error) {
	p := t.request.proxy
	if p.traffic.path.isCut(t.request.match.pool) {
		return t.forward()
	}
	if t.acquired = p.traffic.acquireSend(t.choice.Target.UID); !t.acquired {
		return t.forward()
	}
	return p.upstream.Do(t.ctx, t.upstreamRequest())
}

// header returns the header of the attempt if it is sent now.
func (t *targetAttempt) header() http.Header {
	r := t.request
	r.mu.Lock()
	lastEventID := r.stream.lastEventID
	r.mu.Unlock()
	return r.proxy.codec.PrepareHeader(r.match.call, Attempt{
		Remaining: r.deadline.Sub(r.proxy.now()), TargetID: t.choice.Target.ID, LastEventID: lastEventID,
		CacheSource: t.choice.CacheSource, Team: r.match.Team(), Priority: t.priority(),
	})
}

func (t *targetAttempt) upstreamRequest() upstream.Request {
	r := t.request
	call := r.match.call
	return upstream.Request{
		TargetUID: t.choice.Target.UID, Address: t.choice.Target.Address,
		Method: call.Method, URI: call.URI, Host: call.Host, Header: t.header(), Body: r.body,
		IsAnswer:  func(h http.Header) bool { return r.proxy.codec.MatchesCall(call, h) },
		OnConnect: func() { r.proxy.traffic.path.recordConnection(r.proxy.now(), r.match.pool) },
		OnHeader: func(status int, h http.Header) {
			r.proxy.traffic.path.recordBytes(r.proxy.now(), r.match.pool)
			r.proxy.applySignals(t.choice.Target, status, h)
		},
		ConfirmSend: t.confirmSend,
	}
}

// recordFailure records the reason for a failure. It counts as a failure of the target.
func (t *targetAttempt) recordFailure(reason string, err error) {
	t.failure, t.err, t.outcome = reason, err, placement.Failed
}

// handleSendError ends an attempt that got no answer.
func (t *targetAttempt) handleSendError(err error) attempt.Action {
	r := t.request
	if r.ctx.Err() != nil {
		return t.endByContext()
	}
	if errors.Is(context.Cause(t.ctx), errOvertaken) {
		return t.endOvertaken()
	}
	if t.isForwarded() {
		return t.handleForwardError(err)
	}
	if errors.Is(err, upstream.ErrWithdrawn) {
		t.failure = failureWithdrawn
		return r.step(attempt.NotSent{Attempt: t.number})
	}
	if errors.Is(err, upstream.ErrTooManyConnections) {
		t.failure, t.err, t.outcome = "no_connection_left", err, placement.Neutral
		return r.step(attempt.NotSent{Attempt: t.number})
	}
	if errors.Is(err, upstream.ErrNotSent) {
		t.recordFailure("not_sent", err)
		t.outcome = placement.Unreachable
		r.proxy.checkRefusedConnection(r.match.pool, t.choice.Target, err)
		return r.step(attempt.NotSent{Attempt: t.number})
	}
	if errors.Is(err, upstream.ErrHeadTooLarge) {
		t.recordCut(err)
		return r.step(attempt.ConnectionFailed{Attempt: t.number})
	}
	t.recordBrokenConnection("broken", err)
	return r.step(attempt.ConnectionFailed{Attempt: t.number})
}

// recordBrokenConnection records a broken connection. Unless this router cancelled the attempt
// itself, it checks whether the target has exited.
func (t *targetAttempt) recordBrokenConnection(reason string, err error) {
	if errors.Is(err, errForwarderLost) {
		t.failure, t.err = t.failureCause("forwarder_lost"), err
		return
	}
	t.recordFailure(t.failureCause(reason), err)
	if t.failure == reason {
		t.checkTargetExit(err)
	}
}

// failureWithdrawn is the reason for attempts that were not sent because the target had stopped
// accepting requests.
const failureWithdrawn = "withdrawn"

// confirmSend reports whether the request may be sent now. Opening a connection may take some
// tenths of a second; the target may have announced its shutdown or a pause meanwhile.
func (t *targetAttempt) confirmSend() bool {
	if !t.request.proxy.traffic.confirmPlacement(t.request.proxy.now(), t.choice) {
		return false
	}
	t.request.step(attempt.WriteStarted{Attempt: t.number})
	t.startOverlap()
	return true
}

// failureSuspected is the reason for attempts that were cancelled because the request became
// suspected.
const failureSuspected = "suspected"

// failureRestarted is the reason for attempts that were cancelled because the target restarted.
const failureRestarted = "restarted"

// failureCause returns the reason for which this router cancelled the attempt, or fallback if it
// did not.
func (t *targetAttempt) failureCause(fallback string) string {
	cause := context.Cause(t.ctx)
	switch {
	case errors.Is(cause, errOvertaken):
		return t.overtakenReason()
	case errors.Is(cause, errRestarted):
		return failureRestarted
	case errors.Is(cause, errSuspected):
		return failureSuspected
	}
	return fallback
}

// failureStopping is the reason for attempts that were cancelled because this router stops.
const failureStopping = "stopping"

// endByContext ends an attempt whose caller disconnected, whose deadline passed, or whose router stops. If the deadline
// passed, the target counts as failed.
func (t *targetAttempt) endByContext() attempt.Action {
	r := t.request
	switch cause := context.Cause(r.ctx); {
	case errors.Is(cause, shutdown.ErrStopping):
		t.failure, t.outcome = failureStopping, placement.Neutral
	case !errors.Is(cause, context.Canceled):
		t.recordFailure("deadline", nil)
		if t.isForwarded() {
			t.outcome = placement.Neutral // the target or the forwarder: this router can't tell
		}
	}
	return r.endEarly()
}

// failureNotExecuted is the reason for attempts that the target did not execute.
const failureNotExecuted = "turned_away"

// handleNotExecuted ends an attempt that the target guarantees not to have executed.
func (t *targetAttempt) handleNotExecuted(info AnswerInfo) attempt.Action {
	t.failure, t.outcome = failureNotExecuted, placement.Refused
	switch {
	case info.WrongTarget:
		t.recordFailure("wrong_target", nil)
	case info.PauseDuration > 0:
		t.outcome = placement.Neutral // the pause is already recorded
	}
	return t.request.step(attempt.TargetRefused{Attempt: t.number})
}
