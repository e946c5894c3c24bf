package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

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
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// Targets sends attempts.
type Targets interface {
	Run(ctx context.Context, d target.AttemptRequest, emit func(target.Answer))
	Suspect()
}

// Request is one caller's request.
type Request struct {
	ID         string
	Pool       *routing.Pool
	Team       string
	Chat       uint64
	Priority   fairqueue.Priority
	Deadline   time.Time
	Idempotent bool
	Stream     bool
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
}

// Result is how a request ended.
type Result struct {
	Code       code.Code
	RetryAfter time.Duration
	// Target is the name of the target that answered last.
	Target     string
	Attempts   int
	FirstPart  time.Duration // 0 if nothing was forwarded
	Total      time.Duration
	MayHaveRun bool
}

// grantLife is how long a grant may lie between its decision and its use. An older
// one shows that this process was paused: the target may be gone since.
const grantLife = time.Second

// The pauses before retries: full jitter up to the base, doubled each time.
const (
	backoffBase  = 25 * time.Millisecond
	backoffLimit = 500 * time.Millisecond
)

// maxAttempts bounds how many targets one request is tried at.
const maxAttempts = 4

// Traffic carries requests. It is safe for concurrent use.
type Traffic struct {
	control *Control
	targets Targets
	log     *eventlog.Log
	now     func() time.Time
	silence time.Duration
	nextID  atomic.Uint64
	open    atomic.Int64
}

// NewTraffic returns a Traffic; silence is how long a target may send nothing.
func NewTraffic(control *Control, targets Targets, log *eventlog.Log, now func() time.Time, silence time.Duration) *Traffic {
	return &Traffic{control: control, targets: targets, log: log, now: now, silence: silence}
}

// Open returns the number of requests under way.
func (t *Traffic) Open() int64 { return t.open.Load() }

// run is the state of one request under way.
type run struct {
	traffic  *Traffic
	req      Request
	machine  *attempt.Machine
	id       uint64
	asked    bool
	retry    bool
	pause    <-chan time.Time // ends the pause before the next ask; nil if there is none
	decided  chan decision
	answers  chan target.Answer
	cancel   context.CancelFunc
	progress *time.Timer
	began    time.Time
	askedAt  time.Time // of the present ask
	sentAt   time.Time // of the present attempt
	why      string    // the present attempt failed, for the log; empty if it did not
	result   Result
}

// Do carries a request to its end and calls forward for each part of the answer.
func (t *Traffic) Do(ctx context.Context, req Request, forward func(target.Answer) error) Result {
	t.open.Add(1)
	defer t.open.Add(-1)
	r := &run{
		traffic: t, req: req, began: t.now(), cancel: func() {},
		machine:  attempt.New(attempt.Spec{Idempotent: req.Idempotent, MaxAttempts: maxAttempts}),
		progress: time.NewTimer(t.silence),
	}
	defer r.progress.Stop()
	deadline := time.NewTimer(req.Deadline.Sub(r.began))
	defer deadline.Stop()
	r.ask()
	for r.machine.State() != attempt.Finished {
		r.wait(ctx, deadline.C, forward)
	}
	r.cancel()
	r.result.Total = t.now().Sub(r.began)
	r.result.Attempts = r.machine.Attempts()
	r.result.MayHaveRun = r.machine.MayHaveExecuted()
	return r.result
}

// ask requests a ticket under a new id, so that a late answer to an earlier ask
// can't be taken for this one's.
func (r *run) ask() {
	r.id = r.traffic.nextID.Add(1)
	r.asked, r.askedAt = true, r.traffic.now()
	r.decided = r.traffic.control.ask(core.Arrived{
		ID: r.id, Pool: r.req.Pool.Name, Team: r.req.Team, Chat: r.req.Chat, Priority: r.req.Priority,
		Deadline: r.req.Deadline, Excluded: r.machine.Excluded(), Retry: r.retry,
	})
}

func (r *run) wait(ctx context.Context, deadline <-chan time.Time, forward func(target.Answer) error) {
	var event attempt.Event
	var answer target.Answer
	select {
	case d := <-r.decided:
		event = r.onDecision(d)
	case answer = <-r.answers:
		event = answer.Event
		r.progress.Reset(r.traffic.silence)
	case <-r.pause:
		r.pause = nil
		r.ask()
	case <-r.progress.C:
		r.progress.Reset(r.traffic.silence)
		event = r.onSilence()
	case <-deadline:
		event = attempt.DeadlinePassed{}
	case <-ctx.Done():
		event = attempt.CallerDisconnected{}
	}
	if event != nil {
		r.why = failureOf(event, r.why)
		r.act(ctx, r.machine.Step(event), answer, forward)
	}
}

func (r *run) onDecision(d decision) attempt.Event {
	r.decided = nil
	if d.refuse != nil {
		r.asked = false
		r.result.RetryAfter = d.refuse.RetryAfter
		r.note(eventlog.TicketRefused).Int("code", int(d.refuse.Code)).Str("name", d.refuse.Code.Lookup().Name).
			Dur("wait", d.at.Sub(r.askedAt)).Dur("retry_after", d.refuse.RetryAfter).Msg("")
		return attempt.TicketRefused{Code: d.refuse.Code}
	}
	if r.traffic.now().Sub(d.at) > grantLife {
		r.endAttempt(attempt.Action{Kind: attempt.RequestTicket})
		r.ask()
		return nil
	}
	r.result.Target = d.grant.Target.Name
	r.req.Pool = d.grant.Pool
	return attempt.TicketGranted{Target: d.grant.Target.UID}
}

// onSilence ends an attempt that has made no progress: its connection may have
// been forgotten by something in between, and no error would ever come.
func (r *run) onSilence() attempt.Event {
	if r.machine.State() == attempt.Waiting {
		return nil
	}
	r.traffic.targets.Suspect()
	r.why = whySilent
	return attempt.ConnectionFailed{Attempt: r.machine.Attempts()}
}

func (r *run) act(ctx context.Context, a attempt.Action, answer target.Answer, forward func(target.Answer) error) {
	switch a.Kind {
	case attempt.Dispatch:
		r.dispatch(ctx, a)
	case attempt.Forward:
		if r.result.FirstPart == 0 {
			r.result.FirstPart = r.traffic.now().Sub(r.began)
		}
		err := forward(answer)
		// The target was not listened to meanwhile: its silence counts from now.
		r.progress.Reset(r.traffic.silence)
		if err != nil {
			r.act(ctx, r.machine.Step(attempt.CallerDisconnected{}), answer, forward)
		}
	case attempt.RequestTicket:
		r.endAttempt(a)
		r.retry = true
		pause := retry.Backoff(rand.Float64(), r.machine.Attempts()-1, backoffBase, backoffLimit)
		r.pause = time.After(pause)
	case attempt.Finish:
		r.result.Code = a.Code
		r.endAttempt(a)
	}
}

// endAttempt cancels the attempt and gives the ticket back. A canceled attempt
// closes its connection, so nothing can arrive on it for another request.
func (r *run) endAttempt(a attempt.Action) {
	r.cancel()
	r.cancel = func() {}
	r.answers = nil
	if r.why != "" {
		r.note(eventlog.AttemptFailed).Int("attempt", r.machine.Attempts()).Str("target", r.result.Target).Str("why", r.why).
			Dur("after", r.traffic.now().Sub(r.sentAt)).Msg("")
		r.why = ""
	}
	if !r.asked {
		return
	}
	r.asked = false
	outcome := peerv1.Outcome_OUTCOME_DONE
	switch {
	case a.TargetFailed:
		outcome = peerv1.Outcome_OUTCOME_FAILED
	case a.Kind == attempt.RequestTicket, a.Code != code.OK:
		outcome = peerv1.Outcome_OUTCOME_UNUSED
	}
	r.traffic.control.end(core.Ended{ID: r.id, Outcome: outcome})
}

func (r *run) dispatch(ctx context.Context, a attempt.Action) {
	i, ok := r.req.Pool.TargetIndex(a.Target)
	if !ok {
		r.act(ctx, r.machine.Step(attempt.NotSent{Attempt: a.Attempt}), target.Answer{}, nil)
		return
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	r.cancel = cancel
	answers := make(chan target.Answer)
	r.answers = answers
	r.progress.Reset(r.traffic.silence)
	r.sentAt = r.traffic.now()
	r.note(eventlog.Placed).Int("attempt", a.Attempt).Str("pool", r.req.Pool.Name).Str("team", r.req.Team).
		Str("target", r.result.Target).Str("rule", string(placement.RuleTicket)).Dur("wait", r.sentAt.Sub(r.askedAt)).
		Uint64("version", r.traffic.control.Table().Revision).Msg("")
	d := target.AttemptRequest{
		Address: r.req.Pool.Targets[i].Address, Method: r.req.Method, Path: r.req.Path,
		Header: r.req.Header, Body: r.req.Body, RequestID: r.req.ID, Number: a.Attempt,
		ReceivedParts: a.Offset, Stream: r.req.Stream,
		FreshConnection: !r.req.Idempotent || a.Attempt > 1,
	}
	go r.traffic.targets.Run(attemptCtx, d, func(answer target.Answer) {
		select {
		case answers <- answer:
		case <-attemptCtx.Done():
		}
	})
}

// The reasons of failed attempts, for the log.
const (
	whySilent     = "silent"
	whyBroken     = "broken"
	whyNotSent    = "not_sent"
	whyTurnedAway = "turned_away"
)

// failureOf names the failure that an event tells of; known is a closer reason.
func failureOf(ev attempt.Event, known string) string {
	switch ev.(type) {
	case attempt.ConnectionFailed:
		if known != "" {
			return known
		}
		return whyBroken
	case attempt.NotSent:
		return whyNotSent
	case attempt.TargetRefused:
		return whyTurnedAway
	}
	return known
}

// note logs a line about the request.
func (r *run) note(k eventlog.Kind) *zerolog.Event {
	return r.traffic.log.Line(k).Str("request", r.req.ID).Str("route", r.req.Pool.Name)
}
