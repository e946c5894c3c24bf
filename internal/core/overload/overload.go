// Package overload decides which new connections a router closes unread because it has more work than its
// processor can do. Their callers open another connection, which the balancer hands to another router or
// to this one. Open connections are left alone. It does no I/O and reads no clock.
package overload

import "time"

// Period is the time between two observations.
const Period = 100 * time.Millisecond

const (
	// maxDelay is how long work may wait for the processor. Callers bear it; beyond it, work that is
	// accepted delays all that is open.
	maxDelay = 100 * time.Millisecond
	// toleratedExcess is the sum of the delays beyond maxDelay, in a row of periods, that has no effect: a
	// short pause of the process or a burst ends by itself.
	toleratedExcess = 800 * time.Millisecond
	// headroom is the number of connections accepted in a period with little delay, as a multiple of those
	// that a busy period serves: the capacity may have grown.
	headroom = 1.2
	// forgetting is by how much the number that a busy period serves falls in each busy one that serves less.
	forgetting = 0.03
	// calmPeriods is the number of periods in a row with few new connections that end a limit.
	calmPeriods = 10
)

// Gate accepts and closes new connections. It is not safe for concurrent use.
type Gate struct {
	limited  bool
	limit    int // connections to accept in this period, if limited
	offered  int // connections in this period
	accepted int
	served   float64 // that a busy period serves
	excess   time.Duration
	calm     int // periods in a row
}

// Accept decides on a new connection.
func (g *Gate) Accept() bool {
	g.offered++
	if g.limited && g.accepted >= g.limit {
		return false
	}
	g.accepted++
	return true
}

// Limited reports whether connections may be closed.
func (g *Gate) Limited() bool { return g.limited }

// Observe ends a Period. delay is how long work usually waited for the processor, begun the number of
// connections whose first request was begun. A router without others to take the connections closes none.
func (g *Gate) Observe(delay time.Duration, begun, others int) {
	if delay > maxDelay/2 {
		g.served = max(float64(begun), (1-forgetting)*g.served)
	}
	switch {
	case others == 0:
		*g = Gate{served: g.served}
		return
	case delay > maxDelay:
		g.excess += delay - maxDelay + g.delayToCome(begun)
		g.limited = g.limited || g.excess > toleratedExcess
		g.limit, g.calm = 1, 0
	default:
		g.excess, g.limit = 0, max(int(headroom*g.served), 1)
		if g.calm++; g.offered > g.limit {
			g.calm = 0
		}
		if g.calm >= calmPeriods {
			g.limited = false
		}
	}
	g.offered, g.accepted = 0, 0
}

// delayToCome returns by how much the delay will rise as more connections were accepted in this period than
// requests begun.
func (g *Gate) delayToCome(begun int) time.Duration {
	return max(time.Duration(float64(Period)*(float64(g.accepted)/float64(max(begun, 1))-1)), 0)
}
