package gateway

import "time"

// Status is what a router tells of itself in its metrics.
type Status struct {
	Ready      bool
	Reading    bool // the store
	Version    uint64
	DesiredAge time.Duration // since the desired state came in force
	TargetsAge time.Duration // since the list of targets changed
	Peers      int           // other routers alive
	OpenAt     map[string]int
}

// Status returns the router's status.
func (c *Control) Status() Status {
	var s Status
	c.query(func(now time.Time) {
		s = Status{
			Ready: c.Ready(), Reading: c.core.Reading(), Version: c.version,
			DesiredAge: now.Sub(c.inForceAt), TargetsAge: now.Sub(c.targetsAt), Peers: c.core.Alive(now),
		}
	})
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	s.OpenAt = c.view.board.OpenAt()
	return s
}
