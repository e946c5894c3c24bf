package fleet

import (
	"slices"
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
)

// takeReport takes in what a digest tells of requests. A relay counts the routers of its own data centre one by one, and
// each other one by its sum; all others count what their relay tells of the fleet.
func (c *Core) takeReport(now time.Time, from Address, p *peer, d *peerv1.Digest) {
	loads, outcomes := loadsOf(d.GetReport()), outcomesOf(d.GetReport())
	h := LoadsHeard{Prompts: promptsOf(d), Departures: departuresOf(d), Poison: poisonOf(d), Partial: true}
	near := p.dataCentre == c.settings.DataCentre
	if c.relay && d.GetScope() != peerv1.Scope_SCOPE_FLEET {
		c.toFollowers.add(h.Prompts)
		if near && p.feeder == c.own.rank.hash {
			c.toCentres.add(h.Prompts)
		}
	}
	switch scope := d.GetScope(); {
	case d.GetReport() == nil: // it greets or looks for others, and says nothing of requests
	case scope == peerv1.Scope_SCOPE_FLEET && near && !c.relay:
		if from == c.feeder {
			c.fedAt = now
		}
		loads, outcomes = without(loads, loadsOf(d.GetYours()), outcomes, outcomesOf(d.GetYours()))
		h.Source, h.Partial = fleetID, false
	case scope == peerv1.Scope_SCOPE_DATA_CENTRE && !near && c.relay:
		if c.takeSum(now, p.dataCentre, int(d.GetCounted()), loads, outcomes) {
			h.Source, h.Partial = centreID(p.dataCentre), false
		}
	case scope == peerv1.Scope_SCOPE_ROUTER && c.relay && !c.summed(now, p.dataCentre):
		c.moved = p.report.take(now, loads, outcomes) || c.moved
		h.Source, h.Partial = RouterID(from), false
	}
	if !h.Partial {
		h.Loads, h.Outcomes = loads, outcomes
	}
	if !h.Partial || len(h.Prompts) > 0 || len(h.Departures) > 0 || !h.Poison.Empty() {
		c.emit(h)
	}
}

const (
	// fuller is the part of the routers that the last sum of a data centre counts which the next one has to count as well,
	// and fullerFor for how long: a relay that few of its data centre tell, because it has just become one or was cut off,
	// would otherwise take turns with those that hear all.
	fuller    = 0.9
	fullerFor = 500 * time.Millisecond
)

// takeSum counts a data centre by its sum, and its routers no longer one by one. It reports false if another relay
// there counts more of them.
func (c *Core) takeSum(now time.Time, dataCentre string, counted int, loads []placement.Load, outcomes []placement.TargetOutcomes) bool {
	s, ok := c.sums[dataCentre]
	if !ok {
		s = &reported{}
		c.sums[dataCentre] = s
	}
	if float64(counted) < fuller*float64(s.counted) && now.Sub(s.at) < fullerFor {
		return false
	}
	s.counted = counted
	if !s.fresh(now) {
		var forgotten []uint32
		for _, p := range c.all() {
			if p.dataCentre == dataCentre && !p.report.at.IsZero() {
				p.report = reported{}
				forgotten = append(forgotten, RouterID(p.address))
			}
		}
		if len(forgotten) > 0 {
			c.emit(LoadsForgotten{Sources: forgotten})
		}
	}
	c.moved = s.take(now, loads, outcomes) || c.moved
	return true
}

// summed reports whether a data centre is counted by its sum.
func (c *Core) summed(now time.Time, dataCentre string) bool {
	s := c.sums[dataCentre]
	return s != nil && s.fresh(now)
}

// forgetReports begins to count anew, as a relay or as one that is fed: the sources of both overlap.
func (c *Core) forgetReports() {
	clear(c.sums)
	for _, p := range c.all() {
		p.report = reported{}
	}
	c.toCentres, c.toFollowers = outbox{}, outbox{}
	c.fedAt = time.Time{}
	c.emit(LoadsForgotten{})
}

func (c *Core) centreNames() []string {
	out := make([]string, 0, len(c.sums))
	for dc := range c.sums {
		out = append(out, dc)
	}
	slices.Sort(out)
	return out
}
