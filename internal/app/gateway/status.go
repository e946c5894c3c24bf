package gateway

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
)

// Status is what a router tells of itself in its metrics.
type Status struct {
	Ready      bool
	StoreReader    bool // the store
	DesiredVersion    uint64
	DesiredAge time.Duration // since the desired state came in force
	TargetsAge time.Duration // since the list of targets changed
	LivePeers      int           // other routers alive
	DirectPeers      int           // those of them that this router hears itself
	IsRelay      bool          // of its data centre
	Feeder     string        // the relay that feeds this router; empty if there is none
	FeedAge     time.Duration // since it did so last; 0 for relays and before the first time
	EvacuatedDataCentres  int           // data centres that are to get nothing
	ColdTargets       int           // targets that are cold
	Suspects   int           // requests that are refused because targets ended under them
	OpenRequests     map[string]int
}

// Status returns the router's status.
func (c *Control) Status() Status {
	var s Status
	c.query(func(now time.Time) {
		s = Status{
			Ready: c.Ready(), StoreReader: c.core.Reading(), DesiredVersion: c.version,
			EvacuatedDataCentres: c.evacuated, DesiredAge: now.Sub(c.inForceAt), TargetsAge: now.Sub(c.targetsAt), LivePeers: c.core.Alive(now), DirectPeers: c.core.Direct(now),
		}
		var feeder fleet.Address
		s.IsRelay, feeder = c.core.Role()
		s.Feeder = string(feeder)
		if at := c.core.FedAt(); !s.IsRelay && !at.IsZero() {
			s.FeedAge = now.Sub(at)
		}
	})
	s.Suspects = int(c.view.guard.suspects.Load())
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	s.ColdTargets = c.view.board.Cold(c.now())
	s.OpenRequests = c.view.board.OpenAt()
	return s
}
