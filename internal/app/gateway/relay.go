package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/hemlockdyke/hemlockdyke/internal/core/admission"
	"github.com/hemlockdyke/hemlockdyke/internal/core/attempt"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/poison"
	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
	"github.com/hemlockdyke/hemlockdyke/internal/core/route"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// Observer is told how each request ended, and what targets say of themselves.
type Observer interface {
	Observe(r Result)
	// Said counts a target's word: that it leaves, a pause, or a time that makes no sense.
	Said(what string)
}

// What targets say of themselves.
const (
	SaidLeaving = "leaving"
	SaidPause   = "pause"
	SaidBad     = "bad"
)

// Result is how a request ended.
type Result struct {
	Route    string
	Pool     string
	Team     string // empty if the request has none
	Class    string // of the team, see Match.class
	Code     code.Code
	Status   int // of the answer that was passed on; 0 if none
	Attempts int
	Repeats  int
	// Denied: one more repeat would have been made, but the budget had no room.
	Denied bool
	First  time.Duration // to the first byte of the answer; 0 if none
	Total  time.Duration
	// Objective is the time to the first byte that the route aims at; 0 if none.
	Objective time.Duration
}

// Relay carries requests. It is safe for concurrent use.
type Relay struct {
	view     *view
	wire     Wire
	upstream Upstream
	log      *eventlog.Log
	now      func() time.Time
	observer Observer
	depart   func(placement.Departure) // passes it on at once
}

// NewRelay returns a Relay that goes by what a Control knows.
func NewRelay(c *Control, wire Wire, up Upstream, observer Observer, log *eventlog.Log, now func() time.Time) *Relay {
	return &Relay{view: c.view, wire: wire, upstream: up, observer: observer, log: log, now: now, depart: c.tellDeparture}
}

const (
	// maxUnrun is how many targets may turn a request away before its caller is
	// told to come back: at a full or changing pool a third one rarely takes it.
	maxUnrun = 2
	// answerAfterDeadline is how long after the deadline a target's own answer may
	// still arrive before the router gives its final one.
	answerAfterDeadline = 60 * time.Millisecond
	// defaultBudget applies to callers that do not say how long they wait, on
	// routes without a timeout.
	defaultBudget = 30 * time.Second
)

// Match is a request whose route and team are known, so that its body is wanted.
type Match struct {
	call  *Call
	route *route.Route
	team  *route.Team // nil if the request has none
	pool  string
	began time.Time
	// version is that of the desired state that matched.
	version uint64
	// MaxBodyBytes bounds the body; 0 means unset.
	MaxBodyBytes int64
}

// teamName returns the team's name, empty if the request has none.
func (m *Match) teamName() string {
	if m.team == nil {
		return ""
	}
	return m.team.Name
}

// fingerprint names the request's content.
func (m *Match) fingerprint(body []byte) poison.Fingerprint {
	return poison.FingerprintOf(m.teamName(), m.call.Method, m.call.Host, m.call.Path, body)
}

// The classes of teams that have no rank of their own.
const (
	classNoTeam  = "no_team"
	classDefault = "default"
)

// class groups teams by their own rank: there are too many to count each alone.
func (m *Match) class() string {
	switch {
	case m.team == nil:
		return classNoTeam
	case m.team.Priority == nil:
		return classDefault
	}
	return "rank_" + strconv.Itoa(*m.team.Priority)
}

// rank returns how urgent the request is: its team's rank, or else the route's.
func (m *Match) rank() int {
	if m.team != nil && m.team.Priority != nil {
		return *m.team.Priority
	}
	return m.route.Priority
}

// Match finds a request's route and team. The code is OK, or why there are none.
func (r *Relay) Match(call *Call) (*Match, code.Code) {
	table := r.view.table.Load()
	if table == nil || !r.view.ready.Load() {
		return nil, code.NotReady
	}
	if r.view.stale.Load() {
		return nil, code.StaleConfig
	}
	rt, ok := table.Match(call.Host, call.Path)
	if !ok {
		return nil, r.denied(code.NotFound)
	}
	m := &Match{call: call, route: rt, began: r.now(), version: table.Version, MaxBodyBytes: table.MaxBodyBytes}
	if team, ok := table.TeamByKey(call.Key); ok {
		m.team = team
	} else if table.HasTeams() && !rt.Public {
		return nil, r.denied(code.UnknownKey)
	}
	hash := call.Chat
	if hash == 0 {
		hash = rendezvous.Hash(call.ID)
	}
	m.pool = rt.Choose(hash)
	return m, code.OK
}

// denied returns the code for a request that the desired state in force does not allow. While others have
// a newer one that may, its caller is told to come back instead: denials are final.
func (r *Relay) denied(c code.Code) code.Code {
	if r.view.behind.Load() {
		return code.StaleConfig
	}
	return c
}

// RetryAfter returns when a caller that is refused with a code and has a time left
// should come back, with jitter.
func RetryAfter(c code.Code, left time.Duration) time.Duration {
	return jittered(admission.RetryAfter(c, left))
}

// jittered spreads a time to come back: callers refused together would return together.
func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + rand.Float64()))
}

// comesBack reports whether a code sends its caller away until some target takes requests.
func comesBack(c code.Code) bool {
	return c == code.TargetsPaused || c == code.TargetsCold || c == code.TargetRefused || c == code.NoTarget
}

// later spreads a time before which coming back makes no sense.
func later(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + 0.5*rand.Float64()))
}

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

// Serve carries a matched request to its end. ctx ends when the caller leaves.
func (r *Relay) Serve(ctx context.Context, m *Match, body []byte, out Responder) {
	budget := m.call.Budget
	if t := m.route.Timeout; t > 0 && (budget == 0 || t < budget) {
		budget = t
	}
	if budget == 0 {
		budget = defaultBudget
	}
	x := &run{
		relay: r, match: m, body: body, out: out, ends: m.began.Add(budget), fingerprint: m.fingerprint(body),
		machine: attempt.New(attempt.Spec{
			Idempotent: m.route.Repeatable(), MaxAttempts: max(m.route.MaxAttempts, 1), MaxUnrun: maxUnrun,
		}),
	}
	if by := r.view.finishing.Load(); by != nil {
		// Nothing that may outlast the process begins: it would be cut. Short requests
		// still come while the balancer has too few other routers, and are served.
		if x.ends.After(*by) {
			x.finish(code.ShuttingDown)
			return
		}
	} else {
		r.view.early.Add(1)
		defer r.view.early.Add(-1)
	}
	x.stream.last = m.call.ResumeAfter
	var cancel context.CancelFunc
	x.ctx, cancel = context.WithDeadline(ctx, x.ends.Add(answerAfterDeadline))
	defer cancel()
	r.view.countRequest(m.began, m.pool)
	action := x.next()
	for action.Kind == attempt.Ask {
		action = x.again()
	}
	x.finish(action.Code)
}

// again sends the request to another target if the budget has room.
func (x *run) again() attempt.Action {
	r := x.relay
	if full, ok := r.view.allowRepeat(r.now(), x.match.pool); !ok {
		x.denied = true
		x.note(eventlog.RepeatDenied).Str("pool", x.match.pool).Int("repeats", full.Repeats).Float64("allowed", full.Allowed).
			Float64("requests", full.Requests).Float64("slack", full.Slack).Msg("")
		return x.machine.Step(attempt.Refused{Code: code.TargetRefused})
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
		x.note(eventlog.PoisonRefused).Stringer("fingerprint", x.fingerprint).Dur("wait", suspicion.Wait).Msg("")
		x.notBefore = suspicion.Wait
		return x.machine.Step(attempt.Refused{Code: code.Poison})
	}
	x.trial = suspicion.Trial
	if x.trial {
		defer func() { r.view.guard.trialOver(r.now(), x.fingerprint) }()
	}
	choice, verdict, ok := r.view.place(now, placement.Ask{
		Pool: x.match.pool, Chat: x.match.call.Chat, Prompt: x.match.call.Prompt, Tokens: x.match.call.Tokens,
		Objective: x.match.route.Objective, Excluded: x.machine.Excluded(),
	}, admission.Ask{Team: x.match.teamName(), Rank: x.match.rank(), RouteRank: x.match.route.Priority, Left: x.ends.Sub(now), Objective: x.match.route.Objective}, x.machine.MayHaveRun())
	switch {
	case !ok:
		return x.machine.Step(attempt.Refused{Code: r.view.noTarget(now, x.match.pool)})
	case verdict.Code != code.OK:
		x.note(eventlog.NotAdmitted).Str("target", choice.Target.ID).Int("open", choice.Open).
			Dur("wait", verdict.Wait).Dur("left", x.ends.Sub(now)).Int("rank", x.match.rank()).Msg("")
		x.retryAfter = verdict.RetryAfter
		return x.machine.Step(attempt.Refused{Code: verdict.Code})
	}
	action := x.machine.Step(attempt.Granted{Target: choice.Target.UID})
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
		return x.machine.Step(attempt.CallerLeft{})
	}
	return x.machine.Step(attempt.DeadlineCame{})
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
	x.note(kind).Int("code", int(c)).Str("name", c.Lookup().Name).Str("ran", c.Lookup().Ran.String()).
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
	if gone := c.Target.Gone; !gone.IsZero() {
		line.Dur("gone", a.began.Sub(gone)).Dur("grace", time.Duration(x.relay.view.goneGrace.Load())).Bool("store_away", x.relay.view.storeAway.Load())
	}
	line.Int("attempt", a.number).Str("pool", x.match.pool).Str("team", x.match.teamName()).
		Stringer("fingerprint", x.fingerprint).Str("target", c.Target.ID).Str("rule", string(c.Rule)).Int("open", c.Open).Float64("bound", c.Bound).
		Str("source", c.Source).Dur("loads_age", loadsAge).Uint64("version", x.match.version).
		Uint64("targets_row", x.relay.view.targetsRow.Load()).
		Str("resume_from", x.stream.last).Bool("trial", x.trial).Msg("")
}
