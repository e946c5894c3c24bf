package shedding

import (
	"math"
	"time"
)

const (
	// rankWindow is how long a rank is active after its last request.
	rankWindow = 5 * time.Second
	// shedStart is the utilization up to which all work is admitted. Targets preempt running requests for
	// more urgent ones when their slots are full, so shedding starts before that. Over the next shedSpan,
	// the part of the offered work that is shed rises to 1. With a shorter span, the utilization would
	// oscillate: reports are some 200 ms old.
	shedStart = 0.9
	shedSpan  = 0.4
	// maxShedPart bounds the part of the work that is shed. A peak of the utilization, which is known some
	// 200 ms late, would cut the most urgent rank otherwise.
	maxShedPart = 0.75
	// mixHalfLife is the half-life of the offered work of the ranks, from which their parts of it are
	// computed. A router sees some tens of requests in that time.
	mixHalfLife = 2 * time.Second
	// floorFactor times the square of the part of the work that is admitted is the least share of a rank, so
	// that none is starved: a ninth of its requests while half of the work is shed. A constant floor would
	// take what the most urgent rank needs when the load is several times the capacity.
	floorFactor = 0.45
	// maxAhead bounds the part of the slots that more urgent work takes, see order.wait.
	maxAhead = 0.95
	// minOffered keeps the work of a rank above zero, in seconds of one slot.
	minOffered = 1e-6
)

// order is where a rank stands among the active ones, by the work that they offer, in seconds of one
// slot.
type order struct {
	position int     // number of more urgent ranks
	own      float64 // work of the rank
	before   float64 // work of the rank and of the more urgent ones
	after    float64 // work of the less urgent ranks
	total    float64
}

// order returns where a rank with a recent request stands.
func (c *Cut) order(now time.Time, own *rank) order {
	factor := math.Exp2(-max(now.Sub(c.decayedAt).Seconds(), 0) / mixHalfLife.Seconds())
	c.decayedAt = now
	var o order
	for _, k := range c.ranks {
		if now.Sub(k.lastRequestAt) > rankWindow {
			delete(c.ranks, k.key)
			continue
		}
		k.offered *= factor
		o.total += k.offered
		switch {
		case k.key.isBefore(own.key):
			o.position++
			o.before += k.offered
		case k != own:
			o.after += k.offered
		}
	}
	o.own = max(own.offered, minOffered)
	o.before += o.own
	o.total = max(o.total, o.before)
	return o
}

// wait returns the wait for a slot that decides on a request of the rank, given the time for which it would
// wait for all requests that are open at its target. It counts the work of the rank and of more urgent
// ones, so that the less urgent are refused for their wait first. If targets admit more urgent requests first,
// those that come meanwhile prolong it: with a part p of the slots taken by them, it is 1 / (1 - p) times
// as long.
func (o *order) wait(forAll time.Duration, l *Load) time.Duration {
	counted := float64(forAll) * o.before / o.total
	if !l.TargetsOrderByRank {
		return time.Duration(counted)
	}
	ahead := min(l.Utilization, 1) * (o.before - o.own) / (o.total * (1 - shedPart(l.Utilization)))
	return min(time.Duration(counted/(1-min(ahead, maxAhead))), maxDuration)
}

// share returns the share of the rank's requests that is admitted. The part of the offered work that
// is shed is taken from the last ranks first.
func (o *order) share(utilization float64) float64 {
	return min(max(1-(shedPart(utilization)*o.total-o.after)/o.own, floor(utilization)), 1)
}

// shedPart returns the part of the offered work that is shed.
func shedPart(utilization float64) float64 {
	return min(max((utilization-shedStart)/shedSpan, 0), maxShedPart)
}

// floor returns the least share of a rank.
func floor(utilization float64) float64 {
	admitted := 1 - shedPart(utilization)
	return floorFactor * admitted * admitted
}
