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

// run is one request under way.
type run struct {
	relay   *Relay
	match   *Match
	body    []byte
	out     Responder
	machine *attempt.Machine
	ctx     context.Context
	ends    time.Time // when the caller gets a final answer at the latest

	repeats int
	denied  bool
	// retryAfter is when there is room again, 0 if the code alone says it.
	retryAfter time.Duration
	// notBefore is when it makes sense to come back at the earliest, 0 if nothing says so.
	notBefore time.Duration
	first     time.Time
	status    int
	// kept is a target's own failure that is passed on if no other target answers.
	kept        *kept
	stream      streamState
	fingerprint poison.Fingerprint
	trial       bool // the attempt under way is that of a suspect which is let through
}

// kept is a whole answer.
type kept struct {
	status int
	header http.Header
	body   []byte
}

// again sends the request to another target if the budget has room.
func (x *run) again() attempt.Action {
	r := x.relay
	if full, ok := r.view.allowRepeat(r.now(), x.match.pool); !ok {
		x.denied = true
		x.note(eventlog.RetryDenied).Str("pool", x.match.pool).Int("repeats", full.Retries).Float64("allowed", full.Allowed).
			Float64("requests", full.Requests).Float64("slack", full.Slack).Msg("")
		return x.machine.Step(attempt.TicketRefused{Code: code.TargetRefused})
	}
	x.repeats++
	return x.next()
}

// next places the request and makes one attempt.
func (x *run) next() attempt.Action {
	r := x.relay
	now := r.now()
	if x.ctx.Err() != nil || !now.Before(x.ends) {
		return x.gaveUp()
	}
	suspicion := r.view.guard.admit(now, x.fingerprint)
	if suspicion.Refused {
		x.note(eventlog.PoisonRefused).Stringer("fingerprint", x.fingerprint).Dur("wait", suspicion.RetryAfter).Msg("")
		x.notBefore = suspicion.RetryAfter
		return x.machine.Step(attempt.TicketRefused{Code: code.Poison})
	}
	x.trial = suspicion.Trial
	if x.trial {
		defer func() { r.view.guard.trialOver(r.now(), x.fingerprint) }()
	}
	choice, verdict, ok := r.view.place(now, placement.Request{
		Pool: x.match.pool, Chat: x.match.call.Chat, PromptPrefixes: x.match.call.Prompt, PromptTokens: x.match.call.Tokens,
		Objective: x.match.route.Objective, Excluded: x.machine.Excluded(),
	}, admission.Request{Team: x.match.teamName(), Rank: x.match.rank(), RouteRank: x.match.route.Priority, Remaining: x.ends.Sub(now), Objective: x.match.route.Objective}, x.machine.MayHaveExecuted())
	switch {
	case !ok:
		return x.machine.Step(attempt.TicketRefused{Code: r.view.noTarget(now, x.match.pool)})
	case verdict.Code != code.OK:
		x.note(eventlog.NotAdmitted).Str("target", choice.Target.ID).Int("open", choice.Open).
			Dur("wait", verdict.Wait).Dur("left", x.ends.Sub(now)).Int("rank", x.match.rank()).Msg("")
		x.retryAfter = verdict.RetryAfter
		return x.machine.Step(attempt.TicketRefused{Code: verdict.Code})
	}
	action := x.machine.Step(attempt.TicketGranted{Target: choice.Target.UID})
	a := &try{run: x, choice: choice, number: action.Attempt, began: now, outcome: placement.Neutral}
	x.notePlaced(a, r.view.loadsAge(now))
	action = a.make()
	if a.failure == failureTurnedAway {
		x.retryAfter = verdict.RetryAfter
	}
	a.firstEvent(false)
	took := r.now().Sub(now)
	if r.view.done(r.now(), x.match.pool, x.match.teamName(), choice.Target.UID, a.finalOutcome(), took, a.ofLoad(took)) {
		x.note(eventlog.TargetSuspended).Str("target", choice.Target.ID).Str("why", a.failure).Msg("")
	}
	if a.failure != "" {
		x.note(eventlog.AttemptFailed).Int("attempt", a.number).Str("target", choice.Target.ID).
			Str("why", a.failure).AnErr("error", a.err).Int("events", a.events).Dur("after", took).Msg("")
	}
	return action
}

// gaveUp ends the request because its caller left or its deadline came.
func (x *run) gaveUp() attempt.Action {
	if errors.Is(context.Cause(x.ctx), context.Canceled) {
		return x.machine.Step(attempt.CallerDisconnected{})
	}
	return x.machine.Step(attempt.DeadlinePassed{})
}

func (x *run) finish(c code.Code) {
	r := x.relay
	switch {
	case c == code.OK:
	case x.first.IsZero() && x.kept != nil:
		// A target's own failure is the better answer: it is the caller's to read.
		x.whole(x.kept.status, x.kept.header, x.kept.body)
	case x.first.IsZero():
		if wait := r.view.resumes(r.now(), x.match.pool); wait > 0 && x.notBefore == 0 && comesBack(c) {
			x.notBefore = wait
		}
		after := x.retryAfter
		if after == 0 {
			after = admission.RetryAfter(c, x.ends.Sub(r.now()))
		}
		if x.notBefore > 0 {
			x.out.Refuse(c, later(x.notBefore))
		} else {
			x.out.Refuse(c, jittered(after))
		}
	default:
		x.out.Cut()
	}
	now := r.now()
	res := Result{
		Route: x.match.route.Name, Pool: x.match.pool, Team: x.match.teamName(), Class: x.match.class(),
		Code: c, Status: x.status, Objective: x.match.route.Objective,
		Attempts: x.machine.Attempts(), Repeats: x.repeats, Denied: x.denied, Total: now.Sub(x.match.began),
	}
	if !x.first.IsZero() {
		res.First = x.first.Sub(x.match.began)
	}
	r.observer.Observe(res)
	kind := eventlog.Finished
	if c != code.OK {
		kind = eventlog.Failed
	}
	x.note(kind).Int("code", int(c)).Str("name", c.Lookup().Name).Str("ran", c.Lookup().Execution.String()).
		Int("status", x.status).Int("attempts", res.Attempts).Dur("first", res.First).Dur("total", res.Total).
		Dur("budget", x.ends.Sub(x.match.began)).Msg("")
}

// whole passes a whole answer on.
func (x *run) whole(status int, header http.Header, body []byte) {
	x.first, x.status = x.relay.now(), status
	x.out.Begin(status, header, int64(len(body)))
	_ = x.out.Write(body) // a caller that left shows in its context
}

// note begins a log line about the request.
func (x *run) note(k eventlog.Kind) *zerolog.Event {
	return x.relay.log.Line(k).Str("request", x.match.call.ID).Str("route", x.match.route.Name)
}

// notePlaced logs where an attempt goes and what decided.
func (x *run) notePlaced(a *try, loadsAge time.Duration) {
	c := a.choice
	line := x.note(eventlog.Placed)
	if gone := c.Target.RemovedAt; !gone.IsZero() {
		line.Dur("gone", a.began.Sub(gone)).Dur("grace", time.Duration(x.relay.view.goneGrace.Load())).Bool("store_away", x.relay.view.storeAway.Load())
	}
	line.Int("attempt", a.number).Str("pool", x.match.pool).Str("team", x.match.teamName()).
		Stringer("fingerprint", x.fingerprint).Str("target", c.Target.ID).Str("rule", string(c.Rule)).Int("open", c.Open).Float64("bound", c.Bound).
		Str("source", c.CacheSource).Dur("loads_age", loadsAge).Uint64("version", x.match.version).
		Uint64("targets_row", x.relay.view.targetsRow.Load()).
		Str("resume_from", x.stream.last).Bool("trial", x.trial).Msg("")
}
