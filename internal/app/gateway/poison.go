package gateway

import (
	"context"
	"io"
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

// poisonGuard refuses requests that are suspected of making their targets exit. Request goroutines
// report the outcome of attempts to it and call admit before every attempt; the control goroutine
// passes it the reports of other routers. It is safe for concurrent use.
type poisonGuard struct {
	self string
	// refusedCount is the number of suspected requests, by fingerprint, that are refused now. While
	// it is 0, admit takes no lock.
	refusedCount atomic.Int64

	mu             sync.Mutex
	detector       *poison.Detector
	aliveRouters   []string // other routers that are alive
	suspectsSynced bool     // this router has received the fleet's suspects

	probes map[uint64]*exitProbe // by target lifetime
}

func newPoisonGuard(self string, suspectsSynced bool) *poisonGuard {
	return &poisonGuard{self: self, suspectsSynced: suspectsSynced, detector: poison.NewDetector(), probes: make(map[uint64]*exitProbe)}
}

// admit decides whether a request may be sent to a target.
func (g *poisonGuard) admit(now time.Time, f poison.Fingerprint) poison.Decision {
	if g.refusedCount.Load() == 0 || ablate.IsOff(ablate.Poison) {
		return poison.Decision{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.Admit(now, f, func() bool { return f.IsHomeRouter(g.self, g.aliveRouters) })
}

// recordAnswer records that a target answered a request and went on running.
func (g *poisonGuard) recordAnswer(now time.Time, f poison.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.RecordAnswer(now, f)
	g.updateRefusedCount()
}

func (g *poisonGuard) endTrial(now time.Time, f poison.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.EndTrial(now, f)
}

// recordExit records that a target exited while it executed requests.
func (g *poisonGuard) recordExit(now time.Time, target uint64, requests []poison.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, f := range requests {
		g.detector.RecordExit(now, f, target)
	}
}

// receiveReport applies another router's poison report and reports whether entries must be
// forwarded at once.
func (g *poisonGuard) receiveReport(now time.Time, report poison.Report) (mustForward bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.ReceiveReport(now, report)
	g.updateRefusedCount()
	return g.detector.HasUrgentReport()
}

// takeReport returns the poison report for the next digest, with all suspects that this router
// holds. The caller adds the departures.
func (g *poisonGuard) takeReport(now time.Time) fleet.UrgentReports {
	g.mu.Lock()
	defer g.mu.Unlock()
	return fleet.UrgentReports{Poison: g.detector.TakeReport(now), HeldSuspects: g.detector.ListSuspects(now), SuspectsSynced: g.suspectsSynced}
}

// tick expires probes and suspects, and sets the routers that are alive.
func (g *poisonGuard) tick(now time.Time, others []string) []poison.Change {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.aliveRouters = others
	for target, p := range g.probes {
		if p.isExpired(now) {
			delete(g.probes, target)
		}
	}
	changes := g.detector.Tick(now)
	g.updateRefusedCount()
	return changes
}

// updateRefusedCount must be called with mu held, after each change of the detector.
func (g *poisonGuard) updateRefusedCount() { g.refusedCount.Store(int64(g.detector.RefusedCount())) }

// markSuspectsSynced records that this router has received the fleet's suspects.
func (g *poisonGuard) markSuspectsSynced() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspectsSynced = true
}

// exitProbe checks whether a target has exited after a connection to it was reset.
type exitProbe struct {
	requests   []poison.Fingerprint // whose attempts failed during the probe
	answeredAt time.Time            // when the probe finished; zero until then
	exited     bool
}

const (
	// exitedProbeTTL and runningProbeTTL are how long a probe's result is valid. A lifetime that
	// has ended does not return, but a running target may exit at any time.
	exitedProbeTTL  = 5 * time.Second
	runningProbeTTL = 50 * time.Millisecond
)

func (p *exitProbe) isExpired(now time.Time) bool {
	if p.answeredAt.IsZero() {
		return false
	}
	ttl := runningProbeTTL
	if p.exited {
		ttl = exitedProbeTTL
	}
	return now.Sub(p.answeredAt) >= ttl
}

// beginProbe records that a request's attempt at a target failed. probe is true if the target must
// be probed now, exited if it is known to have exited.
func (g *poisonGuard) beginProbe(now time.Time, target uint64, f poison.Fingerprint) (probe, exited bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.probes[target]
	switch {
	case !ok || p.isExpired(now):
		g.probes[target] = &exitProbe{requests: []poison.Fingerprint{f}}
		return true, false
	case p.answeredAt.IsZero():
		p.requests = append(p.requests, f)
	}
	return false, p.exited
}

// finishProbe records a probe's result and returns the requests whose attempts failed meanwhile.
func (g *poisonGuard) finishProbe(now time.Time, target uint64, exited bool) []poison.Fingerprint {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.probes[target]
	p.answeredAt, p.exited = now, exited
	requests := p.requests
	p.requests = nil
	return requests
}

// exitBlameWindow is how long after a stream's first event the request is still suspected if its
// target exits. A request that makes targets exit does so soon after it starts to execute.
const exitBlameWindow = time.Second

// checkTargetExit checks whether the target has exited after the attempt's connection failed.
// Forwarders check it for the attempts that they send.
func (t *targetAttempt) checkTargetExit(err error) {
	p := t.request.proxy
	if t.isForwarded() || (!t.firstEventAt.IsZero() && p.now().Sub(t.firstEventAt) > exitBlameWindow) {
		return
	}
	p.checkTargetExit(t.request.match.pool, t.choice.Target, t.request.fingerprint, err)
}

// checkTargetExit probes a target if the connection of a request was reset, as happens when a process
// exits. Targets also reset connections and keep running, hence the probe. A network partition or a
// lost VM causes no reset. A target that has announced its shutdown is not probed, since it exits for
// that reason.
func (p *Proxy) checkTargetExit(pool string, target placement.Target, f poison.Fingerprint, err error) {
	if !isConnectionReset(err) || p.traffic.isLeavingOrRemoved(target.UID) {
		return
	}
	probe, exited := p.traffic.poisonGuard.beginProbe(p.now(), target.UID, f)
	switch {
	case exited:
		p.handleTargetExit(target, []poison.Fingerprint{f})
	case probe:
		go p.probeTarget(pool, target)
	}
}

// checkRefusedConnection reports a target as exited if its port refused a connection. No process
// listens there any more. The exit is reported to the other routers, so that they need not find out
// with requests of their own.
func (p *Proxy) checkRefusedConnection(pool string, target placement.Target, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) || p.traffic.isLeavingOrRemoved(target.UID) {
		return
	}
	go func() {
		if p.paths.reachesAnother(pool, target.UID) {
			p.handleTargetExit(target, nil)
		}
	}()
}

func isConnectionReset(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// probeTarget probes the target's port. The port of an exited process refuses connections, and so does
// every port over a path that is cut.
func (p *Proxy) probeTarget(pool string, target placement.Target) {
	exited := errors.Is(p.upstream.Probe(context.Background(), target.Address), syscall.ECONNREFUSED) && p.paths.reachesAnother(pool, target.UID)
	if requests := p.traffic.poisonGuard.finishProbe(p.now(), target.UID, exited); exited {
		p.handleTargetExit(target, requests)
	}
}

// probeExitedTargets probes targets that are believed to have exited, shortly before they would get
// requests again. Without the probe, a request would find out that the connection is refused, and
// its caller would wait for another target.
func (c *Control) probeExitedTargets(ctx context.Context, now time.Time) {
	for _, t := range c.traffic.takeExitedTargetsToProbe(now) {
		go func() {
			err := c.upstream.Probe(ctx, t.Address)
			c.traffic.recordProbe(c.now(), t.UID, err == nil)
		}()
	}
}

// handleTargetExit records that a target exited, and the requests that it executed then. If the
// exit is new, it is reported to the other routers.
func (p *Proxy) handleTargetExit(target placement.Target, requests []poison.Fingerprint) {
	p.log.Line(eventlog.TargetExited).Str("target", target.ID).Int("requests", len(requests)).Msg("")
	p.traffic.poisonGuard.recordExit(p.now(), target.UID, requests)
	if p.traffic.markExited(p.now(), target.UID) {
		p.reportDeparture(placement.Departure{Target: target.UID, Exited: true})
	}
}

// tickPoisonGuard advances the guard's time and logs changes of suspects. It cancels the open
// attempts of new suspects and wakes maintainStoredSuspects.
func (c *Control) tickPoisonGuard(now time.Time) {
	for _, ch := range c.traffic.poisonGuard.tick(now, addressStrings(c.core.AliveAddresses(now))) {
		cancelled := 0
		if ch.Kind == poison.Suspected {
			cancelled = c.traffic.openAttempts.cancelSuspected(ch.Request)
		}
		c.log.Line(eventlog.PoisonChanged).Stringer("fingerprint", ch.Request).Str("change", string(ch.Kind)).Int("ends", ch.Exits).
			Int("level", ch.Level).Dur("wait", ch.RefusedFor).Int("attempts", cancelled).Msg("")
		select {
		case c.suspectsChanged <- struct{}{}:
		default:
		}
	}
}
