package gateway

import (
	"slices"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// The news of a leaving target also travels in digests. A copy of the list is a call to a router that may be busy
// with large copies, on links that may be full, and is tried again after its timeout; meanwhile this router would
// send new work to a target that leaves, and nothing at this router would show it. A digest comes from every
// router that knows, and each is enough.

const (
	// departureTold is in how many digests a router tells a departure: with three in ten lost, one of each router
	// arrives in 97 of 100 cases.
	departureTold = 3
	// departuresPerDigest bounds what one digest tells, at 19 bytes each. The rest follows with the next.
	departuresPerDigest = 24
)

// departures are those that this router has still to tell. Its zero value has none.
type departures struct {
	waiting []toldDeparture
	fresh   bool // some have never been told: they go out at once, and again with the next digests
}

type toldDeparture struct {
	placement.Departure
	left int // how many digests are still to tell it
}

func (d *departures) add(news []placement.Departure) {
	d.fresh = d.fresh || len(news) > 0
	for _, n := range news {
		d.waiting = append(d.waiting, toldDeparture{n, departureTold})
	}
}

// take returns what the next digest tells.
func (d *departures) take() []placement.Departure {
	d.fresh = false
	if len(d.waiting) == 0 {
		return nil
	}
	n := min(len(d.waiting), departuresPerDigest)
	out := make([]placement.Departure, n)
	var again []toldDeparture
	for i, t := range d.waiting[:n] {
		out[i] = t.Departure
		if t.left--; t.left > 0 {
			again = append(again, t)
		}
	}
	d.waiting = append(d.waiting[n:], again...)
	return out
}

// heardDepartures takes in what another router tells. What is news is told on: the router that told it may
// reach few others.
func (c *Control) heardDepartures(now time.Time, told []placement.Departure) {
	news, ids := c.roster.ApplyDepartures(now, slices.DeleteFunc(slices.Clone(told), func(d placement.Departure) bool { return d.Announced || d.Exited }))
	for _, d := range told {
		if (d.Announced && c.view.saysLeaving(now, d.Target)) || (d.Exited && c.view.targetEnded(now, d.Target)) {
			news = append(news, d)
			c.log.Line(eventlog.TargetDeparted).Str("target", c.view.targetID(d.Target)).Bool("said", d.Announced).Bool("ended", d.Exited).Msg("")
		}
	}
	if len(news) == 0 {
		return
	}
	c.departures.add(news)
	if len(ids) > 0 {
		c.publishTargets(now)
	}
	for _, id := range ids {
		c.log.Line(eventlog.TargetDeparted).Str("target", id).Msg("")
	}
}
