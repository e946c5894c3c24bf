package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/target"
	"github.com/hemlockdyke/hemlockdyke/internal/core/attempt"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fairqueue"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/retry"
	core "github.com/hemlockdyke/hemlockdyke/internal/core/router"
	"github.com/hemlockdyke/hemlockdyke/internal/core/routing"
	"github.com/hemlockdyke/hemlockdyke/internal/core/shutdown"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// TargetClient sends attempts to targets.
type TargetClient interface {
	// SendAttempt sends one attempt and calls emit for each event until the attempt ends or ctx is
	// cancelled.
	SendAttempt(ctx context.Context, r target.AttemptRequest, emit func(target.Answer))
	// DropIdleConnections closes all idle connections. It is called after a target has been
	// silent, as other pooled connections may be broken too.
	DropIdleConnections()
}

// Request is a caller's request.
type Request struct {
	ID         string
	Pool       *routing.Pool
	Team       string
	Chat       uint64 // hash of the team and chat, or of the request's ID if it has no chat
	Priority   fairqueue.Priority
	Deadline   time.Time
	Idempotent bool
	Stream     bool
	Method     string
	Path       string // with the query
	Header     http.Header
	Body       []byte
}

// Result is the result of a request.
type Result struct {
	Code       code.Code
	RetryAfter time.Duration
	// Target is the name of the target that was granted last.
	Target           string
	Attempts         int
	FirstPartLatency time.Duration // from the start of the request; 0 if no part was forwarded
	TotalDuration    time.Duration
	MayHaveExecuted  bool
}

// maxGrantAge is the longest time between the decision on a grant and its use. An older grant shows
// that this process has stalled. The target may have exited meanwhile.
const maxGrantAge = time.Second

// The delay before a retry is drawn uniformly from 0 to backoffBase. The upper end doubles with
// each retry, up to maxBackoff.
const (
	backoffBase = 25 * time.Millisecond
	maxBackoff  = 500 * time.Millisecond
)

// maxAttempts is the largest number of targets at which one request is tried.
const maxAttempts = 4

// Forwarder forwards requests to targets and their answers to the callers. It is safe for
// concurrent use.
type Forwarder struct {
	control        *Control
	targets        TargetClient
	log            *eventlog.Log
	now            func() time.Time
	silenceTimeout time.Duration
	lastID         atomic.Uint64
	openRequests   atomic.Int64
}

// NewForwarder returns a Forwarder. An attempt fails if its target sends nothing for
// silenceTimeout.
func NewForwarder(control *Control, targets TargetClient, log *eventlog.Log, now func() time.Time, silenceTimeout time.Duration) *Forwarder {
	return &Forwarder{control: control, targets: targets, log: log, now: now, silenceTimeout: silenceTimeout}
}

// OpenRequests returns the number of requests in progress.
func (f *Forwarder) OpenRequests() int64 { return f.openRequests.Load() }

// activeRequest is the state of a request in progress.
type activeRequest struct {
	forwarder         *Forwarder
	req               Request
	machine           *attempt.Machine
	id                uint64
	ticketRequested   bool             // a ticket is requested or granted, and not released
	retry             bool             // the next ticket request is for a retry
	backoff           <-chan time.Time // fires when a retry may request its ticket; nil if none is pending
	decisionCh        chan decision
	answers           chan target.Answer
	cancel            context.CancelFunc
	silenceTimer      *time.Timer
	startedAt         time.Time
	ticketRequestedAt time.Time // of the current ticket request
	sentAt            time.Time // of the current attempt
	failure           string    // of the current attempt, for the log; empty if there is none
	result            Result
}

// Forward forwards a request and calls forward for each part of the answer. It returns when the
// request has ended, its deadline has passed or ctx is cancelled. An error of forward counts as a
// disconnected caller.
func (f *Forwarder) Forward(ctx context.Context, req Request, forward func(target.Answer) error) Result {
	f.openRequests.Add(1)
	defer f.openRequests.Add(-1)
	r := &activeRequest{
		forwarder: f, req: req, startedAt: f.now(), cancel: func() {},
		machine:      attempt.New(attempt.Spec{Idempotent: req.Idempotent, MaxAttempts: maxAttempts}),
		silenceTimer: time.NewTimer(f.silenceTimeout),
	}
	defer r.silenceTimer.Stop()
	deadline := time.NewTimer(req.Deadline.Sub(r.startedAt))
	defer deadline.Stop()
	r.requestTicket()
	for r.machine.State() != attempt.Finished {
		r.handleNext(ctx, deadline.C, forward)
	}
	r.cancel()
	r.result.TotalDuration = f.now().Sub(r.startedAt)
	r.result.Attempts = r.machine.Attempts()
	r.result.MayHaveExecuted = r.machine.MayHaveExecuted()
	return r.result
}

// requestTicket requests a ticket. Each ticket request has an ID of its own, so a late decision on
// an earlier one is not mistaken for the decision on this one.
func (r *activeRequest) requestTicket() {
	r.id = r.forwarder.lastID.Add(1)
	r.ticketRequested, r.ticketRequestedAt = true, r.forwarder.now()
	r.decisionCh = r.forwarder.control.requestTicket(core.RequestArrived{
		ID: r.id, Pool: r.req.Pool.Name, Team: r.req.Team, Chat: r.req.Chat, Priority: r.req.Priority,
		Deadline: r.req.Deadline, Excluded: r.machine.Excluded(), Retry: r.retry,
	})
}

// handleNext waits for the next event of the request and handles it.
func (r *activeRequest) handleNext(ctx context.Context, deadline <-chan time.Time, forward func(target.Answer) error) {
	var event attempt.Event
	var answer target.Answer
	select {
	case d := <-r.decisionCh:
		event = r.onDecision(d)
	case answer = <-r.answers:
		event = answer.Event
		r.silenceTimer.Reset(r.forwarder.silenceTimeout)
	case <-r.backoff:
		r.backoff = nil
		r.requestTicket()
	case <-r.silenceTimer.C:
		r.silenceTimer.Reset(r.forwarder.silenceTimeout)
		event = r.onSilence()
	case <-deadline:
		event = attempt.DeadlinePassed{}
	case <-ctx.Done():
		event = endOfContext(ctx)
	}
	if event != nil {
		r.failure = failureReason(event, r.failure)
		r.executeAction(ctx, r.machine.Step(event), answer, forward)
	}
}

// endOfContext returns the event of a request whose context has ended: its caller disconnected, or this router stops.
func endOfContext(ctx context.Context) attempt.Event {
	if errors.Is(context.Cause(ctx), shutdown.ErrStopping) {
		return attempt.RouterStopping{}
	}
	return attempt.CallerDisconnected{}
}

// onDecision returns the event that follows from a decision. If the grant is too old, it releases
// the ticket, requests another one and returns nil.
func (r *activeRequest) onDecision(d decision) attempt.Event {
	r.decisionCh = nil
	if d.refuse != nil {
		r.ticketRequested = false
		r.result.RetryAfter = d.refuse.RetryAfter
		r.logLine(eventlog.TicketRefused).Int("code", int(d.refuse.Code)).Str("name", d.refuse.Code.Lookup().Name).
			Dur("wait", d.decidedAt.Sub(r.ticketRequestedAt)).Dur("retry_after", d.refuse.RetryAfter).Msg("")
		return attempt.TicketRefused{Code: d.refuse.Code}
	}
	if r.forwarder.now().Sub(d.decidedAt) > maxGrantAge {
		r.endAttempt(attempt.Action{Kind: attempt.RequestTicket})
		r.requestTicket()
		return nil
	}
	r.result.Target = d.grant.Target.Name
	r.req.Pool = d.grant.Pool
	return attempt.TicketGranted{Target: d.grant.Target.UID}
}

// onSilence is called when the target has sent nothing for silenceTimeout. It returns a
// ConnectionFailed event if an attempt is in progress. A device between router and target may have
// dropped the connection's state; the connection would then never report an error.
func (r *activeRequest) onSilence() attempt.Event {
	if r.machine.State() == attempt.Waiting {
		return nil
	}
	r.forwarder.targets.DropIdleConnections()
	r.failure = failureSilent
	return attempt.ConnectionFailed{Attempt: r.machine.Attempts()}
}

// executeAction executes an action of the state machine. answer is the answer whose event led to
// it.
func (r *activeRequest) executeAction(ctx context.Context, a attempt.Action, answer target.Answer, forward func(target.Answer) error) {
	switch a.Kind {
	case attempt.Dispatch:
		r.dispatch(ctx, a)
	case attempt.Forward:
		if r.result.FirstPartLatency == 0 {
			r.result.FirstPartLatency = r.forwarder.now().Sub(r.startedAt)
		}
		err := forward(answer)
		// The time in forward doesn't count as silence of the target, as nothing was read from it.
		r.silenceTimer.Reset(r.forwarder.silenceTimeout)
		if err != nil {
			r.executeAction(ctx, r.machine.Step(attempt.CallerDisconnected{}), answer, forward)
		}
	case attempt.RequestTicket:
		r.endAttempt(a)
		r.retry = true
		backoff := retry.Backoff(rand.Float64(), r.machine.Attempts()-1, backoffBase, maxBackoff)
		r.backoff = time.After(backoff)
	case attempt.Finish:
		r.result.Code = a.Code
		r.endAttempt(a)
	}
}

// endAttempt cancels the current attempt and releases the ticket. The connection of a cancelled
// attempt is closed, so no other request can receive a late answer on it.
func (r *activeRequest) endAttempt(a attempt.Action) {
	r.cancel()
	r.cancel = func() {}
	r.answers = nil
	if r.failure != "" {
		r.logLine(eventlog.AttemptFailed).Int("attempt", r.machine.Attempts()).Str("target", r.result.Target).Str("why", r.failure).
			Dur("after", r.forwarder.now().Sub(r.sentAt)).Msg("")
		r.failure = ""
	}
	if !r.ticketRequested {
		return
	}
	r.ticketRequested = false
	outcome := peerv1.Outcome_OUTCOME_DONE
	switch {
	case a.TargetFailed:
		outcome = peerv1.Outcome_OUTCOME_FAILED
	case a.Kind == attempt.RequestTicket, a.Code != code.OK:
		outcome = peerv1.Outcome_OUTCOME_UNUSED
	}
	r.forwarder.control.releaseTicket(core.RequestEnded{ID: r.id, Outcome: outcome})
}

// dispatch sends an attempt to the granted target. If the target has been removed from the pool,
// the attempt counts as not sent.
func (r *activeRequest) dispatch(ctx context.Context, a attempt.Action) {
	i, ok := r.req.Pool.TargetIndex(a.Target)
	if !ok {
		r.executeAction(ctx, r.machine.Step(attempt.NotSent{Attempt: a.Attempt}), target.Answer{}, nil)
		return
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	r.cancel = cancel
	answers := make(chan target.Answer)
	r.answers = answers
	r.silenceTimer.Reset(r.forwarder.silenceTimeout)
	r.sentAt = r.forwarder.now()
	r.logLine(eventlog.Placed).Int("attempt", a.Attempt).Str("pool", r.req.Pool.Name).Str("team", r.req.Team).
		Str("target", r.result.Target).Str("rule", string(placement.RuleTicket)).Dur("wait", r.sentAt.Sub(r.ticketRequestedAt)).
		Uint64("version", r.forwarder.control.Table().Revision).Msg("")
	attemptRequest := target.AttemptRequest{
		Address: r.req.Pool.Targets[i].Address, Method: r.req.Method, Path: r.req.Path,
		Header: r.req.Header, Body: r.req.Body, RequestID: r.req.ID, Number: a.Attempt,
		ReceivedParts: a.Offset, Stream: r.req.Stream,
		FreshConnection: !r.req.Idempotent || a.Attempt > 1,
	}
	go r.forwarder.targets.SendAttempt(attemptCtx, attemptRequest, func(answer target.Answer) {
		select {
		case answers <- answer:
		case <-attemptCtx.Done():
		}
	})
}

// The reasons for which an attempt fails, as logged in the field why.
const (
	failureSilent  = "silent"
	failureBroken  = "broken"
	failureNotSent = "not_sent"
	failureRefused = "turned_away"
)

// failureReason returns the reason for which an attempt fails with the given event. known is the
// reason that is known already, or empty. It is more precise than failureBroken and is returned
// instead. For an event that is no failure, known is returned unchanged.
func failureReason(ev attempt.Event, known string) string {
	switch ev.(type) {
	case attempt.ConnectionFailed:
		if known != "" {
			return known
		}
		return failureBroken
	case attempt.NotSent:
		return failureNotSent
	case attempt.TargetRefused:
		return failureRefused
	}
	return known
}

// logLine starts a log line with the ID and the pool of the request.
func (r *activeRequest) logLine(k eventlog.Kind) *zerolog.Event {
	return r.forwarder.log.Line(k).Str("request", r.req.ID).Str("route", r.req.Pool.Name)
}
