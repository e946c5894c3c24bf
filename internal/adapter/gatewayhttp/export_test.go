package gatewayhttp

import "net"

// TurnAway is turnAway for benchmarks.
func (g *LoadGate) TurnAway(c net.Conn) { g.turnAway(c) }
