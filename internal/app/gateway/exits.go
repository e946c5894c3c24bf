package gateway

import (
	"context"
	"io"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/poison"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// endedAttempt is an attempt whose connection has ended, as it also does when the target exits.
type endedAttempt struct {
	contents poison.Contents
	partIDs  []string // of contents[1:], for the log; empty if unknown
	// complete is true if the answer is whole unless the target has exited.
	complete bool
}

// exitProbe checks whether a target has exited after connections to it have ended.
type exitProbe struct {
	covered    []endedAttempt // ended before the probe began
	waiting    []endedAttempt // ended since; only the next probe can tell
	answeredAt time.Time      // when the last probe finished; zero while one is open or scheduled
	exited     bool
}

const (
	// exitedProbeTTL is how long the result of a probe is valid that found no process. A lifetime that
	// has ended does not return.
	exitedProbeTTL = 5 * time.Second
	// probeInterval is the shortest time between two probes of a running target.
	probeInterval = 50 * time.Millisecond
)

func (p *exitProbe) isExpired(now time.Time) bool {
	if p.answeredAt.IsZero() {
		return false
	}
	ttl := probeInterval
	if p.exited {
		ttl = exitedProbeTTL
	}
	return now.Sub(p.answeredAt) >= ttl
}

// probeNeed is what an ended attempt requires.
type probeNeed int

const (
	probeOpen   probeNeed = iota // nothing: an open or scheduled probe will tell
	probeNow                     // a probe
	probeLater                   // a probe after probeInterval
	probeExited                  // nothing: the target is known to have exited
)

// addEnded records that an attempt at a target has ended.
func (g *poisonGuard) addEnded(now time.Time, target uint64, e endedAttempt) probeNeed {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.probes[target]
	switch {
	case !ok || p.isExpired(now):
		g.probes[target] = &exitProbe{covered: []endedAttempt{e}}
		return probeNow
	case p.exited:
		return probeExited
	}
	p.waiting = append(p.waiting, e)
	if p.answeredAt.IsZero() {
		return probeOpen
	}
	p.answeredAt = time.Time{}
	return probeLater
}

// beginNextProbe makes the next probe cover the attempts that have ended so far.
func (g *poisonGuard) beginNextProbe(target uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.probes[target]
	p.covered, p.waiting = p.waiting, nil
}

// finishProbe records a probe's result and returns the attempts that it tells about. again is true if
// others have ended meanwhile.
func (g *poisonGuard) finishProbe(now time.Time, target uint64, exited bool) (covered []endedAttempt, again bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.probes[target]
	covered, p.covered = p.covered, nil
	if exited {
		covered, p.waiting = append(covered, p.waiting...), nil
	}
	if p.exited = exited; len(p.waiting) == 0 {
		p.answeredAt = now
	}
	return covered, len(p.waiting) > 0
}

// exitBlameWindow is how long after a stream's first event the request is still blamed if its target
// exits. What makes targets exit does so soon after they start to execute it. A target that has gone on
// for longer has shown that it does not.
const exitBlameWindow = time.Second

// checkTargetExit checks whether the target has exited after the attempt's connection failed.
// Forwarders check it for the attempts that they send.
func (t *targetAttempt) checkTargetExit(err error) { t.checkEnded(err, false) }

// checkEnded is checkTargetExit for an attempt whose answer may be complete.
func (t *targetAttempt) checkEnded(err error, complete bool) {
	p := t.request.proxy
	if t.isForwarded() || t.hasOutlivedBlame() {
		return
	}
	ended := endedAttempt{contents: t.request.contents, partIDs: t.request.match.call.PromptParts, complete: complete}
	p.checkTargetExit(t.request.match.pool, t.choice.Target, ended, err)
}

// hasOutlivedBlame reports whether the target has run for so long since the stream's first event that the
// request can't be what makes it exit.
func (t *targetAttempt) hasOutlivedBlame() bool {
	return !t.firstEventAt.IsZero() && t.request.proxy.now().Sub(t.firstEventAt) > exitBlameWindow
}

// checkTargetExit probes a target if the connection of an attempt has ended, as happens when a process
// exits. Targets also reset connections and keep running, hence the probe. A network partition or a
// lost VM causes no reset. A target that has announced its shutdown is not probed, since it exits for
// that reason.
func (p *Proxy) checkTargetExit(pool string, target placement.Target, ended endedAttempt, err error) {
	if !isConnectionReset(err) || p.traffic.isLeavingOrRemoved(target.UID) {
		return
	}
	switch p.traffic.poisonGuard.addEnded(p.now(), target.UID, ended) {
	case probeExited:
		p.handleTargetExit(target, []endedAttempt{ended})
	case probeNow:
		p.log.Go(whereProbe, func() { p.probeTarget(pool, target) })
	case probeLater:
		p.log.Go(whereProbe, func() { p.probeTargetLater(pool, target) })
	case probeOpen:
	}
}

// checkRefusedConnection reports a target as exited if its port refused a connection. No process
// listens there any more. The exit is reported to the other routers, so that they need not find out
// with requests of their own.
func (p *Proxy) checkRefusedConnection(pool string, target placement.Target, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) || p.traffic.isLeavingOrRemoved(target.UID) {
		return
	}
	p.log.Go(whereProbe, func() {
		if p.paths.reachesAnother(pool, target.UID) {
			p.handleTargetExit(target, nil)
		}
	})
}

func isConnectionReset(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// probeTargetLater probes a target that was found running a moment ago.
func (p *Proxy) probeTargetLater(pool string, target placement.Target) {
	time.Sleep(probeInterval)
	p.traffic.poisonGuard.beginNextProbe(target.UID)
	p.probeTarget(pool, target)
}

// probeTarget probes the target's port. The port of an exited process refuses connections, and so does
// every port over a path that is cut.
func (p *Proxy) probeTarget(pool string, target placement.Target) {
	exited := false
	p.log.Guard(whereProbe, func() { // a probe that did not end would stop all later ones of the target
		exited = errors.Is(p.upstream.Probe(context.Background(), target.Address), syscall.ECONNREFUSED) && p.paths.reachesAnother(pool, target.UID)
	})
	ended, again := p.traffic.poisonGuard.finishProbe(p.now(), target.UID, exited)
	switch {
	case exited:
		p.handleTargetExit(target, ended)
		return
	case again:
		p.log.Go(whereProbe, func() { p.probeTargetLater(pool, target) })
	}
	p.clearLater(target, ended)
}

// clearLater clears what complete answers without a length carried if the target still runs after
// exitBlameWindow.
func (p *Proxy) clearLater(target placement.Target, ended []endedAttempt) {
	complete := slices.DeleteFunc(ended, func(e endedAttempt) bool { return !e.complete })
	if len(complete) == 0 {
		return
	}
	time.AfterFunc(exitBlameWindow, func() {
		p.log.Guard(whereProbe, func() { p.clear(target, complete) })
	})
}

// clear clears what complete answers carried if the target still runs.
func (p *Proxy) clear(target placement.Target, complete []endedAttempt) {
	if !p.traffic.isRunning(target.UID) {
		return
	}
	for _, e := range complete {
		p.traffic.poisonGuard.recordAnswer(p.now(), e.contents)
	}
}

// probeExitedTargets probes targets that are believed to have exited, shortly before they would get
// requests again. Without the probe, a request would find out that the connection is refused, and
// its caller would wait for another target.
func (c *Control) probeExitedTargets(ctx context.Context, now time.Time) {
	for _, t := range c.traffic.takeExitedTargetsToProbe(now) {
		c.log.Go(whereProbe, func() {
			err := c.log.Try(whereProbe, func() error { return c.upstream.Probe(ctx, t.Address) })
			c.traffic.recordProbe(c.now(), t.UID, err == nil)
		})
	}
}

// handleTargetExit records that a target exited, and the requests that it executed then. If the
// exit is new, it is reported to the other routers.
func (p *Proxy) handleTargetExit(target placement.Target, ended []endedAttempt) {
	p.log.Line(eventlog.TargetExited).Str("target", target.ID).Int("requests", len(ended)).Msg("")
	p.traffic.poisonGuard.recordExit(p.now(), target.UID, ended)
	if p.traffic.markExited(p.now(), target.UID) {
		p.reportDeparture(placement.Departure{Target: target.UID, Exited: true})
	}
}
