package gateway

import (
	"github.com/hemlockdyke/hemlockdyke/internal/memory"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
)

// Status is the state that a router reports in its metrics.
type Status struct {
	Ready                bool
	StoreReader          bool // this router reads the store
	DesiredVersion       uint64
	DesiredAge           time.Duration  // time since the desired state was applied
	TargetsAge           time.Duration  // time since the target list changed
	AlivePeers           int            // other routers alive
	DirectPeers          int            // other routers that this one receives digests from
	IsRelay              bool           // this router is a relay of its data centre
	Feeder               string         // address of this router's feeder; empty if none
	FeedAge              time.Duration  // time since the feeder's last digest; 0 if none
	EvacuatedDataCentres int            // number of evacuated data centres
	ColdTargets          int            // number of cold targets
	Suspects             int            // number of suspected requests that are refused
	CutPools             int            // number of pools to whose targets this router's own path is cut
	Forwarding           int            // number of attempts that this router sends for others now
	KnownStreams         int            // number of streams whose software version this router knows
	PrefillClaims        int            // number of prefixes that targets read, as this router has registered
	PrefillWaiting       int            // number of requests that wait for a target to read their prefix
	CallerMemory         int64          // bytes that callers make this router hold, by its account
	AnswerMemory         int64          // of these, what targets' answers take
	OpenRequests         map[string]int // open requests of the fleet by target ID
	// TargetLoads are the loads of the targets that reported theirs to this router, by target ID.
	TargetLoads    map[string]placement.TargetLoad
	WorkAccuracies []WorkAccuracy // by pool and route
}

// Status returns the router's current status.
func (c *Control) Status() Status {
	var s Status
	c.submitAndWait(func(now time.Time) {
		s = Status{
			Ready: c.Ready(), StoreReader: c.core.ReadsStore(), DesiredVersion: c.desiredVersion,
			EvacuatedDataCentres: c.evacuatedCount, DesiredAge: now.Sub(c.desiredAppliedAt), TargetsAge: now.Sub(c.targetsChangedAt), AlivePeers: c.core.AliveCount(now), DirectPeers: c.core.DirectPeerCount(now),
		}
		var feeder fleet.Address
		s.IsRelay, feeder = c.core.Role()
		s.Feeder = string(feeder)
		if at := c.core.FedAt(); !s.IsRelay && !at.IsZero() {
			s.FeedAge = now.Sub(at)
		}
	})
	s.Suspects = int(c.traffic.poisonGuard.refusedCount.Load())
	s.CutPools, s.Forwarding = len(c.traffic.path.cutPools()), int(c.traffic.path.forwarding.Load())
	s.KnownStreams = c.traffic.streams.count()
	s.PrefillClaims, s.PrefillWaiting = c.traffic.prefill.count(c.now())
	s.CallerMemory, s.AnswerMemory = c.traffic.memory.Held(), c.traffic.memory.HeldBy(memory.Answer)
	c.traffic.mu.Lock()
	defer c.traffic.mu.Unlock()
	s.ColdTargets = c.traffic.balancer.CountCold(c.now())
	s.OpenRequests = c.traffic.balancer.OpenByTarget()
	s.TargetLoads = c.traffic.balancer.TargetLoads(c.now())
	s.WorkAccuracies = c.traffic.workAccuracies()
	return s
}
