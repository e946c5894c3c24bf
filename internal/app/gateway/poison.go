package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/ablate"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/core/poison"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// poisonGuard refuses requests that carry what is suspected of making targets exit. Request goroutines
// report the outcome of attempts to it and call admit before every attempt; the control goroutine
// passes it the reports of other routers. It is safe for concurrent use.
type poisonGuard struct {
	self string
	// refusedCount is the number of suspects whose requests are refused now, hasEvidence is true if exits
	// count against anything else. While there is neither, admit takes no lock.
	refusedCount atomic.Int64
	hasEvidence  atomic.Bool

	mu             sync.Mutex
	detector       *poison.Detector
	aliveRouters   []string // other routers that are alive
	suspectsSynced bool     // this router has received the fleet's suspects
	// partIDs are the IDs of the parts under which this router saw targets exit, for the log.
	partIDs map[poison.Fingerprint]string

	probes map[uint64]*exitProbe // by target lifetime
}

func newPoisonGuard(self string, suspectsSynced bool) *poisonGuard {
	return &poisonGuard{
		self: self, suspectsSynced: suspectsSynced, detector: poison.NewDetector(),
		partIDs: make(map[poison.Fingerprint]string), probes: make(map[uint64]*exitProbe),
	}
}

// admit decides whether a request may be sent to a target. confine is not 0 if all requests that carry
// that part have to go to the same target.
func (g *poisonGuard) admit(now time.Time, c poison.Contents) (decision poison.Decision, confine poison.Fingerprint) {
	if (g.refusedCount.Load() == 0 && !g.hasEvidence.Load()) || ablate.IsOff(ablate.Poison) {
		return poison.Decision{}, 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	decision = g.detector.Admit(now, c, func(f poison.Fingerprint) int { return f.Rank(g.self, g.aliveRouters) })
	return decision, g.detector.Confine(c)
}

// recordAnswer records that a target answered a request and went on running.
func (g *poisonGuard) recordAnswer(now time.Time, c poison.Contents) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.RecordAnswer(now, c)
	g.publish()
}

func (g *poisonGuard) endTrial(now time.Time, c poison.Contents) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.EndTrial(now, c)
}

// recordExit records that a target exited while it executed requests.
func (g *poisonGuard) recordExit(now time.Time, target uint64, ended []endedAttempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	requests := make([]poison.Contents, 0, len(ended))
	for _, e := range ended {
		requests = append(requests, e.contents)
		for i, id := range e.partIDs {
			g.partIDs[e.contents[1+i]] = id
		}
	}
	g.detector.RecordExit(now, target, requests)
	g.publish()
}

// partID returns the ID of a part under which this router saw targets exit; empty if it does not know it
// or if f is the fingerprint of a whole content.
func (g *poisonGuard) partID(f poison.Fingerprint) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.partIDs[f]
}

// receiveReport applies another router's poison report and reports whether entries must be
// forwarded at once.
func (g *poisonGuard) receiveReport(now time.Time, report poison.Report) (mustForward bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.ReceiveReport(now, report)
	g.publish()
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
	for f := range g.partIDs {
		if !g.detector.Knows(f) {
			delete(g.partIDs, f)
		}
	}
	g.publish()
	return changes
}

// publish must be called with mu held, after each change of the detector.
func (g *poisonGuard) publish() {
	g.refusedCount.Store(int64(g.detector.RefusedCount()))
	g.hasEvidence.Store(g.detector.HasEvidence())
}

// markSuspectsSynced records that this router has received the fleet's suspects.
func (g *poisonGuard) markSuspectsSynced() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspectsSynced = true
}

// tickPoisonGuard advances the guard's time and logs changes of suspects. It cancels the open
// attempts of new suspects and wakes maintainStoredSuspects.
func (c *Control) tickPoisonGuard(now time.Time) {
	if !c.traffic.ready.Load() {
		c.updateReady(now)
	}
	for _, ch := range c.traffic.poisonGuard.tick(now, addressStrings(c.core.AliveAddresses(now))) {
		cancelled := 0
		if ch.Kind == poison.Suspected {
			cancelled = c.traffic.openAttempts.cancelSuspected(ch.Fingerprint)
		}
		c.log.Line(eventlog.PoisonChanged).Stringer("fingerprint", ch.Fingerprint).Str("change", string(ch.Kind)).Int("ends", ch.Exits).
			Int("level", ch.Level).Dur("wait", ch.RefusedFor).Int("attempts", cancelled).Str("part", c.traffic.poisonGuard.partID(ch.Fingerprint)).Bool("joint", ch.Group != 0).Msg("")
		select {
		case c.suspectsChanged <- struct{}{}:
		default:
		}
	}
}
