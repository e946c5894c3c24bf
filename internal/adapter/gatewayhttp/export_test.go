package gatewayhttp

import (
	"net"
	"time"
)

// TurnAway is turnAway for benchmarks.
func (g *LoadGate) TurnAway(c net.Conn) { g.turnAway(c) }

// SetWriteTimeout replaces callerWriteTimeout, so that tests need not wait for it.
func (s *Server) SetWriteTimeout(d time.Duration) { s.writeTimeout = d }
