package gateway

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
)

// Status is what a router tells of itself in its metrics.
type Status struct {
	Ready      bool
	Reading    bool // the store
	Version    uint64
	DesiredAge time.Duration // since the desired state came in force
	TargetsAge time.Duration // since the list of targets changed
	Peers      int           // other routers alive
	Heard      int           // those of them that this router hears itself
	Relay      bool          // of its data centre
	Feeder     string        // the relay that feeds this router; empty if there is none
	FedAge     time.Duration // since it did so last; 0 for relays and before the first time
	Evacuated  int           // data centres that are to get nothing
	Cold       int           // targets that are cold
	Suspects   int           // requests that are refused because targets ended under them
	OpenAt     map[string]int
}

// Status returns the router's status.
func (c *Control) Status() Status {
	var s Status
	c.query(func(now time.Time) {
		s = Status{
			Ready: c.Ready(), Reading: c.core.ReadsStore(), Version: c.version,
			Evacuated: c.evacuated, DesiredAge: now.Sub(c.inForceAt), TargetsAge: now.Sub(c.targetsAt), Peers: c.core.AliveCount(now), Heard: c.core.DirectPeerCount(now),
		}
		var feeder fleet.Address
		s.Relay, feeder = c.core.Role()
		s.Feeder = string(feeder)
		if at := c.core.FedAt(); !s.Relay && !at.IsZero() {
			s.FedAge = now.Sub(at)
		}
	})
	s.Suspects = int(c.view.guard.suspects.Load())
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	s.Cold = c.view.board.CountCold(c.now())
	s.OpenAt = c.view.board.OpenByTarget()
	return s
}
