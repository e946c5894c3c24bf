package gateway

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/core/ablate"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/poison"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// guard keeps requests from targets that would end under them. Traffic tells it what became of attempts and asks it
// before each send; the control goroutine tells it what others know. It is safe for concurrent use.
type guard struct {
	self string
	// suspects is how many requests are refused: with none of them traffic takes no lock to ask.
	suspects atomic.Int64

	mu       sync.Mutex
	detector *poison.Detector
	others   []string // routers that are alive
	known    bool     // this router has learned whom the others suspect

	inquiries map[uint64]*inquiry // by the lifetime of the target
}

func newGuard(self string, known bool) *guard {
	return &guard{self: self, known: known, detector: poison.NewDetector(), inquiries: make(map[uint64]*inquiry)}
}

// admit decides whether a request may be sent.
func (g *guard) admit(now time.Time, f poison.Fingerprint) poison.Decision {
	if g.suspects.Load() == 0 || ablate.IsOff(ablate.Poison) {
		return poison.Decision{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.Admit(now, f, func() bool { return f.IsHomeRouter(g.self, g.others) })
}

// ran takes in that a target answered a request.
func (g *guard) ran(now time.Time, f poison.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.RecordAnswer(now, f)
	g.count()
}

func (g *guard) trialOver(now time.Time, f poison.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.EndTrial(now, f)
}

// ended takes in that a target ended under requests.
func (g *guard) ended(now time.Time, target uint64, requests []poison.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, f := range requests {
		g.detector.RecordExit(now, f, target)
	}
}

// heard takes in what another router tells, and reports whether that is to be told on.
func (g *guard) heard(now time.Time, n poison.Report) (fresh bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.ReceiveReport(now, n)
	g.count()
	return g.detector.HasUrgentReport()
}

// news returns what is to be told now.
func (g *guard) news(now time.Time) fleet.UrgentReports {
	g.mu.Lock()
	defer g.mu.Unlock()
	return fleet.UrgentReports{Poison: g.detector.NextReport(now), HeldSuspects: g.detector.ListSuspects(now), HeldSynced: g.known}
}

// tick lets time pass, with the routers that are alive.
func (g *guard) tick(now time.Time, others []string) []poison.Change {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.others = others
	for target, i := range g.inquiries {
		if i.over(now) {
			delete(g.inquiries, target)
		}
	}
	changes := g.detector.Tick(now)
	g.count()
	return changes
}

func (g *guard) count() { g.suspects.Store(int64(g.detector.SuspectCount())) }

// learned notes that this router knows whom the others suspect.
func (g *guard) learned() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.known = true
}

// inquiry is the question whether a target has ended, after a connection to it broke.
type inquiry struct {
	requests []poison.Fingerprint // whose attempts broke meanwhile
	answered time.Time            // zero while it is asked
	ended    bool
}

const (
	// inquiryTimeout is how long a target may take to accept or refuse a connection.
	inquiryTimeout = 300 * time.Millisecond
	// endedLasts and runsLasts are for how long the answer holds: a lifetime does not come back, but a target that runs may
	// end a moment later.
	endedLasts = 5 * time.Second
	runsLasts  = 50 * time.Millisecond
)

func (i *inquiry) over(now time.Time) bool {
	if i.answered.IsZero() {
		return false
	}
	lasts := runsLasts
	if i.ended {
		lasts = endedLasts
	}
	return now.Sub(i.answered) >= lasts
}

// inquire notes that a request's attempt at a target broke. ask says that the target is to be asked now; known that it has ended.
func (g *guard) inquire(now time.Time, target uint64, f poison.Fingerprint) (ask, known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i, ok := g.inquiries[target]
	switch {
	case !ok || i.over(now):
		g.inquiries[target] = &inquiry{requests: []poison.Fingerprint{f}}
		return true, false
	case i.answered.IsZero():
		i.requests = append(i.requests, f)
	}
	return false, i.ended
}

// answered ends an inquiry and returns the requests whose attempts broke.
func (g *guard) answered(now time.Time, target uint64, ended bool) []poison.Fingerprint {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := g.inquiries[target]
	i.answered, i.ended = now, ended
	requests := i.requests
	i.requests = nil
	return requests
}

// onset is how long after its first event a stream still counts as one that may have ended its target: such a request ends
// it as it begins to run.
const onset = time.Second

// blame asks whether the target has ended, if the attempt's connection broke as connections to a process that ends do:
// other targets break some answers off and go on, and a cut or a lost VM resets nothing. A target that
// said that it leaves ends for that reason.
func (t *try) blame(err error) {
	r, f := t.run.relay, t.run.fingerprint
	now := r.now()
	if !resetByPeer(err) || (!t.firstAt.IsZero() && now.Sub(t.firstAt) > onset) || r.view.targetLeaves(t.choice.Target.UID) {
		return
	}
	ask, known := r.view.guard.inquire(now, t.choice.Target.UID, f)
	switch {
	case known:
		r.ended(t.choice.Target, []poison.Fingerprint{f})
	case ask:
		go r.inquire(t.choice.Target)
	}
}

// refused takes in that a target's port has refused a connection. No process listens there any more: all routers are told, or each
// would meet it for itself.
func (t *try) refused(err error) {
	if r := t.run.relay; errors.Is(err, syscall.ECONNREFUSED) && !r.view.targetLeaves(t.choice.Target.UID) {
		r.ended(t.choice.Target, nil)
	}
}

func resetByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// inquire opens a connection: a process that has ended refuses it.
func (r *Relay) inquire(target placement.Target) {
	ended := errors.Is(knock(context.Background(), target.Address), syscall.ECONNREFUSED)
	if requests := r.view.guard.answered(r.now(), target.UID, ended); ended {
		r.ended(target, requests)
	}
}

// knock opens a connection and closes it. No request is sent.
func knock(ctx context.Context, address string) error {
	dialer := net.Dialer{Timeout: inquiryTimeout}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return c.Close()
}

// askEnded asks targets that have ended, as far as is known, before their rest is over: a request in place of the question would
// be refused, and its caller would wait for another target.
func (c *Control) askEnded(ctx context.Context, now time.Time) {
	for _, t := range c.view.endedToAsk(now) {
		go func() {
			err := knock(ctx, t.Address)
			c.view.endedAnswer(c.now(), t.UID, err == nil)
		}()
	}
}

func (r *Relay) ended(target placement.Target, requests []poison.Fingerprint) {
	r.log.Line(eventlog.TargetExited).Str("target", target.ID).Int("requests", len(requests)).Msg("")
	r.view.guard.ended(r.now(), target.UID, requests)
	if r.view.targetEnded(r.now(), target.UID) {
		r.depart(placement.Departure{Target: target.UID, Exited: true})
	}
}

// tickGuard lets time pass for the guard, and tells an operator what changes.
func (c *Control) tickGuard(now time.Time) {
	for _, ch := range c.view.guard.tick(now, texts(c.core.AliveAddresses(now))) {
		cancelled := 0
		if ch.Kind == poison.Suspected {
			cancelled = c.view.attempts.suspected(ch.Request)
		}
		c.log.Line(eventlog.PoisonChanged).Stringer("fingerprint", ch.Request).Str("change", string(ch.Kind)).Int("ends", ch.Exits).
			Int("level", ch.Level).Dur("wait", ch.RefusedFor).Int("attempts", cancelled).Msg("")
		select {
		case c.keepWake <- struct{}{}:
		default:
		}
	}
}
