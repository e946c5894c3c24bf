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
	"github.com/hemlockdyke/hemlockdyke/internal/core/shutdown"
	"github.com/hemlockdyke/hemlockdyke/internal/core/targetload"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// Observer records the results of requests and the signals of targets.
type Observer interface {
	RecordResult(r Result)
	// CountSignal counts a signal in a target's answer: one of SignalLeaving, SignalPause and
	// SignalInvalid.
	CountSignal(signal string)
	// CountResumption counts a stream that a caller takes up: one of ResumptionKnown, ResumptionAsked
	// and ResumptionUnknown.
	CountResumption(known string)
	// CountIgnoredLoad counts a load report of a target that was ignored, by reason.
	CountIgnoredLoad(reason targetload.Fault)
	// CountPrefillClaim counts a claim for the reading of a prompt prefix by its result: one of
	// ClaimGranted, ClaimHeld, ClaimUnanswered and ClaimInvalid.
	CountPrefillClaim(result string)
	// CountPrefillWait counts a request that waited for another one's prefix by what ended the wait: one
	// of WaitRead, WaitTime and WaitCaller.
	CountPrefillWait(ended string)
	// CountCutAnswer counts an answer of a target that was not read to its end, by the part that is too
	// large: one of PartHead, PartEvent, PartBody and PartMemory.
	CountCutAnswer(part string)
}

// Signals that targets send in their answers.
const (
	SignalLeaving = "leaving"
	SignalPause   = "pause"
	SignalInvalid = "bad"
)

// Result is the outcome of a request.
type Result struct {
	Route    string
	Pool     string
	Team     string // empty if the request has none
	Class    string // class of the team, see MatchedRequest.teamClass
	Code     code.Code
	Status   int // status of the answer sent to the caller; 0 if none
	Attempts int
	Retries  int
	// RetryDenied is true if the request failed because the retry budget was exhausted.
	RetryDenied   bool
	FirstByteTime time.Duration // time to the first byte of the answer; 0 if none
	TotalTime     time.Duration
	// Objective is the route's objective for the time to the answer, or to the first event of a
	// stream; 0 if none.
	Objective time.Duration
}

// Proxy forwards requests to targets. It is safe for concurrent use.
type Proxy struct {
	traffic         *trafficState
	codec           HeaderCodec
	upstream        Upstream
	peers           Peers
	paths           *pathChecker
	log             *eventlog.Log
	now             func() time.Time
	observer        Observer
	reportDeparture func(placement.Departure) // sends a departure to the other routers at once
}

// NewProxy returns a Proxy that uses the state owned by c.
func NewProxy(c *Control, codec HeaderCodec, up Upstream, observer Observer, log *eventlog.Log, now func() time.Time) *Proxy {
	return &Proxy{traffic: c.traffic, codec: codec, upstream: up, peers: c.peers, paths: c.paths, observer: observer, log: log, now: now, reportDeparture: c.reportDeparture}
}

const (
	// maxNotExecuted is the number of attempts that do not count towards a route's MaxAttempts
	// because no target executed the request. Further refusals count: in a full or changing pool
	// a third target rarely accepts the request, so its caller is soon asked to retry later.
	maxNotExecuted = 2
	// defaultTimeout applies if neither the caller nor the route sets a timeout.
	defaultTimeout = 30 * time.Second
)

// MatchedRequest is a request whose route and team are known and whose body has still to be read.
type MatchedRequest struct {
	call      *Call
	route     *route.Route
	team      *route.Team // nil if the request has none
	pool      string
	startedAt time.Time
	// desiredVersion is the version of the desired state that matched the request.
	desiredVersion uint64
	// MaxBodyBytes bounds the body; 0 means no limit.
	MaxBodyBytes int64
	// Deadline is when the request must be answered.
	Deadline time.Time
}

// Team returns the team's name, or an empty string if the request has no team.
func (m *MatchedRequest) Team() string {
	if m.team == nil {
		return ""
	}
	return m.team.Name
}

// contents returns the fingerprints of what the request carries.
func (m *MatchedRequest) contents(body [][]byte) poison.Contents {
	out := make(poison.Contents, 0, 1+len(m.call.PromptParts))
	out = append(out, poison.FingerprintOf(m.Team(), m.call.Method, m.call.Host, m.call.Path, body...))
	for _, id := range m.call.PromptParts {
		out = append(out, poison.FingerprintOfPart(m.pool, id))
	}
	return out
}

// Classes of requests that have no team, or whose team has no priority of its own.
const (
	classNoTeam  = "no_team"
	classDefault = "default"
)

// teamClass returns the class of the request's team for metrics. Teams are grouped by priority,
// because there are too many for a metric each.
func (m *MatchedRequest) teamClass() string {
	switch {
	case m.team == nil:
		return classNoTeam
	case m.team.Priority == nil:
		return classDefault
	}
	return "rank_" + strconv.Itoa(*m.team.Priority)
}

// priority returns the request's priority: the team's if it has one, else the route's. Log lines
// call it rank.
func (m *MatchedRequest) priority() int {
	if m.team != nil && m.team.Priority != nil {
		return *m.team.Priority
	}
	return m.route.Priority
}

// Match finds the route and team of a request. If the code is not code.OK, there is no match.
func (p *Proxy) Match(call *Call) (*MatchedRequest, code.Code) {
	table := p.traffic.table.Load()
	if table == nil || !p.traffic.ready.Load() {
		return nil, code.NotReady
	}
	if p.traffic.stale.Load() {
		return nil, code.StaleConfig
	}
	rt, ok := table.Match(call.Host, call.Path)
	if !ok {
		return nil, p.denialCode(code.NotFound)
	}
	m := &MatchedRequest{call: call, route: rt, startedAt: p.now(), desiredVersion: table.Version, MaxBodyBytes: table.MaxBodyBytes}
	if team, ok := table.TeamByKey(call.APIKey); ok {
		m.team = team
	} else if table.RequiresKey() && !rt.Public {
		return nil, p.denialCode(code.UnknownKey)
	}
	hash := call.ChatHash
	if hash == 0 {
		hash = rendezvous.Hash(call.ID)
	}
	m.pool = rt.ChoosePool(hash)
	m.Deadline = m.startedAt.Add(m.timeout())
	return m, code.OK
}

// denialCode returns the code for a request that the applied desired state does not allow. A denial
// is final, so if other routers have a newer state the answer asks the caller to retry instead.
func (p *Proxy) denialCode(c code.Code) code.Code {
	if p.traffic.behind.Load() {
		return code.StaleConfig
	}
	return c
}

// RetryAfter returns when a caller should retry after a request was refused with code c with the
// given time remaining. Jitter is added.
func RetryAfter(c code.Code, remaining time.Duration) time.Duration {
	return addJitter(admission.RetryAfter(c, remaining))
}

// addJitter multiplies d by a random factor between 0.5 and 1.5, so that callers refused together
// do not retry together.
func addJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + rand.Float64()))
}

// isTargetUnavailable reports whether a code means that no target accepts the request now.
func isTargetUnavailable(c code.Code) bool {
	return c == code.TargetsPaused || c == code.TargetsCold || c == code.TargetRefused || c == code.NoTarget
}

// addPositiveJitter multiplies d by a random factor between 1 and 1.5, for callers that must not
// retry before d.
func addPositiveJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + 0.5*rand.Float64()))
}

// timeout returns the timeout of the caller or the route, whichever is shorter.
func (m *MatchedRequest) timeout() time.Duration {
	timeout := m.call.Timeout
	if t := m.route.Timeout; t > 0 && (timeout == 0 || t < timeout) {
		timeout = t
	}
	if timeout == 0 {
		timeout = defaultTimeout
	}
	return timeout
}

// Serve forwards a matched request, whose body comes in pieces, and answers the caller. ctx ends when the caller
// disconnects.
func (p *Proxy) Serve(ctx context.Context, m *MatchedRequest, body [][]byte, responder Responder) {
	r := &openRequest{
		proxy: p, match: m, body: body, responder: responder, deadline: m.Deadline, contents: m.contents(body),
		machine: attempt.New(attempt.Spec{
			Idempotent: m.route.AllowsRetry(), MaxAttempts: max(m.route.MaxAttempts, 1), MaxNotExecuted: maxNotExecuted,
		}),
	}
	if shutdownDeadline := p.traffic.shutdownDeadline.Load(); shutdownDeadline != nil {
		// A request that may outlive the process would be cut off, so it is refused. The load
		// balancer still sends requests here while it has too few other routers; those that end
		// in time are served.
		if r.deadline.After(*shutdownDeadline) {
			r.finish(code.ShuttingDown)
			return
		}
	} else {
		p.traffic.earlyRequests.Add(1)
		defer p.traffic.earlyRequests.Add(-1)
	}
	r.stream.lastEventID = m.call.LastEventID
	var cancel context.CancelFunc
	r.ctx, cancel = context.WithDeadline(ctx, r.deadline.Add(shutdown.AnswerGrace))
	defer cancel()
	mayGoOn := code.OK
	if r.resumes() {
		mayGoOn = r.resume()
	}
	p.traffic.recordRequest(m.startedAt, m.pool)
	if mayGoOn != code.OK {
		r.finish(mayGoOn)
		return
	}
	r.finish(r.run(cancel))
}
