package gateway

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

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
	RecordResult(r Result)
	// CountSignal counts a target's word: that it leaves, a pause, or a time that makes no sense.
	CountSignal(what string)
}

// What targets say of themselves.
const (
	SignalLeaving = "leaving"
	SignalPause   = "pause"
	SignalInvalid     = "bad"
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
	Retries  int
	// RetryDenied: one more repeat would have been made, but the budget had no room.
	RetryDenied bool
	FirstByteTime  time.Duration // to the first byte of the answer; 0 if none
	TotalTime  time.Duration
	// Objective is the time to the first byte that the route aims at; 0 if none.
	Objective time.Duration
}

// Proxy carries requests. It is safe for concurrent use.
type Proxy struct {
	view     *view
	wire     HeaderCodec
	upstream Upstream
	log      *eventlog.Log
	now      func() time.Time
	observer Observer
	depart   func(placement.Departure) // passes it on at once
}

// NewProxy returns a Relay that goes by what a Control knows.
func NewProxy(c *Control, wire HeaderCodec, up Upstream, observer Observer, log *eventlog.Log, now func() time.Time) *Proxy {
	return &Proxy{view: c.view, wire: wire, upstream: up, observer: observer, log: log, now: now, depart: c.tellDeparture}
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

// MatchedRequest is a request whose route and team are known, so that its body is wanted.
type MatchedRequest struct {
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
func (m *MatchedRequest) teamName() string {
	if m.team == nil {
		return ""
	}
	return m.team.Name
}

// fingerprint names the request's content.
func (m *MatchedRequest) fingerprint(body []byte) poison.Fingerprint {
	return poison.FingerprintOf(m.teamName(), m.call.Method, m.call.Host, m.call.Path, body)
}

// The classes of teams that have no rank of their own.
const (
	classNoTeam  = "no_team"
	classDefault = "default"
)

// class groups teams by their own rank: there are too many to count each alone.
func (m *MatchedRequest) class() string {
	switch {
	case m.team == nil:
		return classNoTeam
	case m.team.Priority == nil:
		return classDefault
	}
	return "rank_" + strconv.Itoa(*m.team.Priority)
}

// rank returns how urgent the request is: its team's rank, or else the route's.
func (m *MatchedRequest) rank() int {
	if m.team != nil && m.team.Priority != nil {
		return *m.team.Priority
	}
	return m.route.Priority
}

// Match finds a request's route and team. The code is OK, or why there are none.
func (r *Proxy) Match(call *Call) (*MatchedRequest, code.Code) {
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
	m := &MatchedRequest{call: call, route: rt, began: r.now(), version: table.Version, MaxBodyBytes: table.MaxBodyBytes}
	if team, ok := table.TeamByKey(call.APIKey); ok {
		m.team = team
	} else if table.HasTeams() && !rt.Public {
		return nil, r.denied(code.UnknownKey)
	}
	hash := call.ChatHash
	if hash == 0 {
		hash = rendezvous.Hash(call.ID)
	}
	m.pool = rt.Choose(hash)
	return m, code.OK
}

// denied returns the code for a request that the desired state in force does not allow. While others have
// a newer one that may, its caller is told to come back instead: denials are final.
func (r *Proxy) denied(c code.Code) code.Code {
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

// Serve carries a matched request to its end. ctx ends when the caller leaves.
func (r *Proxy) Serve(ctx context.Context, m *MatchedRequest, body []byte, out Responder) {
	budget := m.call.Timeout
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
	x.stream.last = m.call.LastEventID
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
