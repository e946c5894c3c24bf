package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/upstream"
	"github.com/hemlockdyke/hemlockdyke/internal/core/admission"
	"github.com/hemlockdyke/hemlockdyke/internal/core/attempt"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/route"
)

// try is one attempt at a target.
type try struct {
	run     *run
	choice  placement.Choice
	number  int
	began   time.Time
	outcome placement.Outcome
	failure string // why it failed, for the log; empty if it did not
	err     error
	heard   bool      // the first event came, or the attempt ended without one
	events  int       // of a stream, passed on
	firstAt time.Time // of the first of them
	// answering: part of the answer has been passed on.
	answering atomic.Bool

	ctx    context.Context
	cancel context.CancelCauseFunc
	// timer fires when the target may have been silent for too long.
	timer          *time.Timer
	mu             sync.Mutex // guards what follows
	silence        attempt.SilenceWatch
	silenceCounted bool // the target's silence has been counted
}

// errSilent ends an attempt whose target has been silent for too long.
var errSilent = errors.New("target is silent")

// finalOutcome returns what the attempt says of its target now that it has ended. Silence was
// counted when it was noticed; counted again at the deadline, seconds later, it would speak
// against a target that has recovered. A lifetime that is over needs no judgement, and one that this router left unheard gets none.
func (t *try) finalOutcome() placement.Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	if (t.silenceCounted && t.outcome == placement.Failed) || t.failure == failureRestarted || t.failure == failureSuspected {
		return placement.Neutral
	}
	return t.outcome
}

// ofLoad returns what the attempt tells of its target's load.
func (t *try) ofLoad(took time.Duration) admission.Outcome {
	objective := t.run.match.route.Objective
	switch {
	case t.failure == failureTurnedAway:
		return admission.RefusedByTarget
	case t.outcome == placement.Answered && objective > 0 && took > objective:
		return admission.Late
	}
	return admission.InTime
}

// firstEvent tells the board, once, how long the target took to its first event.
func (t *try) firstEvent(answered bool) {
	if !t.heard {
		t.heard = true
		t.run.relay.view.firstEvent(t.run.relay.now(), t.choice, answered)
	}
}

// make sends the request and passes the answer on.
func (t *try) make() attempt.Action {
	x := t.run
	t.ctx, t.cancel = context.WithCancelCause(x.ctx)
	defer t.cancel(nil)
	x.relay.view.attempts.add(t)
	defer x.relay.view.attempts.remove(t)
	t.watchFirst()
	defer func() { t.timer.Stop() }()
	answer, err := x.relay.upstream.Do(t.ctx, t.request())
	if err != nil {
		return t.sendFailed(err)
	}
	defer answer.Close()
	reply := x.relay.wire.Reply(answer.Status, answer.Header)
	x.relay.wire.ForCaller(answer.Header) // or the caller would take it for this router's word
	switch {
	case reply.Unrun:
		return t.turnedAway(reply)
	case x.match.route.Kind == route.Stream && answer.Status == http.StatusOK && reply.Sealed:
		return t.relayStream(answer)
	}
	return t.relayWhole(answer, reply)
}

func (t *try) request() upstream.Request {
	x := t.run
	call := x.match.call
	a := Attempt{
		Left: x.ends.Sub(t.began), TargetID: t.choice.Target.ID, ResumeFrom: x.stream.last,
		Source: t.choice.CacheSource, Team: x.match.teamName(), Priority: x.match.rank(),
	}
	return upstream.Request{
		TargetUID: t.choice.Target.UID, Address: t.choice.Target.Address,
		Method: call.Method, URI: call.URI, Host: call.Host, Header: x.relay.wire.Prepare(call, a), Body: x.body,
		IsAnswer:    func(h http.Header) bool { return x.relay.wire.Echoes(call, h) },
		OnHeader:    t.hear,
		ConfirmSend: t.sent,
	}
}

// fail records why the attempt failed and what that says of the target.
func (t *try) fail(why string, err error) {
	t.failure, t.err, t.outcome = why, err, placement.Failed
}

func (t *try) sendFailed(err error) attempt.Action {
	x := t.run
	if x.ctx.Err() != nil {
		return t.ended()
	}
	if errors.Is(err, upstream.ErrWithdrawn) {
		t.failure = failureWithdrawn
		return x.machine.Step(attempt.NotSent{Attempt: t.number})
	}
	if errors.Is(err, upstream.ErrNotSent) {
		t.fail("not_sent", err)
		t.outcome = placement.Unreachable
		t.refused(err)
		return x.machine.Step(attempt.NotSent{Attempt: t.number})
	}
	t.broken("broken", err)
	return x.machine.Step(attempt.ConnectionFailed{Attempt: t.number})
}

// broken records that the answer broke off, and asks whether the target has ended.
func (t *try) broken(why string, err error) {
	t.fail(t.brokenBy(why), err)
	if t.failure == why {
		t.blame(err)
	}
}

// failureWithdrawn is the failure of an attempt whose target wanted nothing more by the time it was to be sent.
const failureWithdrawn = "withdrawn"

// sent notes that the request is sent from now on, unless its target has said meanwhile that it leaves, or that it wants nothing for a
// time: a connection may take some tenths of a second to open.
func (t *try) sent() bool {
	if !t.run.relay.view.wants(t.run.relay.now(), t.choice) {
		return false
	}
	t.run.machine.Step(attempt.WriteStarted{Attempt: t.number})
	return true
}

// failureSuspected is the failure of an attempt whose request is suspected by now.
const failureSuspected = "suspected"

// failureRestarted is the failure of an attempt whose target has started again.
const failureRestarted = "restarted"

// brokenBy names the cause if this router ended the attempt.
func (t *try) brokenBy(otherwise string) string {
	cause := context.Cause(t.ctx)
	switch {
	case errors.Is(cause, errSilent):
		return "silent"
	case errors.Is(cause, errRestarted):
		return failureRestarted
	case errors.Is(cause, errSuspected):
		return failureSuspected
	}
	return otherwise
}

// ended is the end of an attempt whose caller left or whose deadline came. A
// target that let the deadline pass without a word counts as failed.
func (t *try) ended() attempt.Action {
	x := t.run
	if !errors.Is(context.Cause(x.ctx), context.Canceled) {
		t.fail("deadline", nil)
	}
	return x.gaveUp()
}

// failureTurnedAway is the failure of an attempt that its target did not run.
const failureTurnedAway = "turned_away"

func (t *try) turnedAway(reply Reply) attempt.Action {
	t.failure, t.outcome = failureTurnedAway, placement.Refused
	switch {
	case reply.WrongTarget:
		t.fail("wrong_target", nil)
	case reply.Pause > 0:
		t.outcome = placement.Neutral // it says what it wants
	}
	return t.run.machine.Step(attempt.TargetRefused{Attempt: t.number})
}
