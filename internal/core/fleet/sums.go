package fleet

import (
	"slices"
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
)

// handleReport processes the report in a digest. A relay counts each router of its own data centre
// separately, and each other data centre by its sum or, if it sends none, by its routers. All other
// routers count the fleet's sum from their feeder, without their own part.
func (c *Core) handleReport(now time.Time, from Address, p *peer, d *peerv1.Digest) {
	loads, outcomes, teams := decodeLoads(d.GetReport()), decodeOutcomes(d.GetReport()), decodeTeams(d.GetReport())
	report := ReportReceived{PrefixReads: decodePrefixReads(d), Departures: decodeDepartures(d), Poison: decodePoison(d), Streams: decodeStreams(d), Partial: true}
	sameCentre := p.dataCentre == c.settings.DataCentre
	if sameCentre {
		c.passStreamsOn(report.Streams)
	}
	if c.relay && d.GetScope() != peerv1.Scope_SCOPE_FLEET {
		c.followerOutbox.add(report.PrefixReads)
		if sameCentre && p.feeder == c.own.rank.hash {
			c.centreOutbox.add(report.PrefixReads)
		}
	}
	switch scope := d.GetScope(); {
	case d.GetReport() == nil: // greetings and probes, among others, have no report
	case scope == peerv1.Scope_SCOPE_FLEET && sameCentre && !c.relay:
		if from == c.feeder {
			c.fedAt = now
		}
		loads, outcomes = subtract(loads, decodeLoads(d.GetYours()), outcomes, decodeOutcomes(d.GetYours()))
		teams = subtractTeams(teams, decodeTeams(d.GetYours()))
		report.Source, report.Partial = fleetSourceID, false
	case scope == peerv1.Scope_SCOPE_DATA_CENTRE && !sameCentre && c.relay:
		if c.updateCentreSum(now, p.dataCentre, int(d.GetCounted()), loads, outcomes) {
			c.centreSums[p.dataCentre].teams = teams
			report.Source, report.Partial = centreSourceID(p.dataCentre), false
		}
	case scope == peerv1.Scope_SCOPE_ROUTER && c.relay && !c.hasCentreSum(now, p.dataCentre):
		c.reportsChanged = p.report.update(now, loads, outcomes) || c.reportsChanged
		p.report.teams = teams
		report.Source, report.Partial = RouterSourceID(from), false
	}
	if !report.Partial {
		report.Loads, report.Outcomes, report.Teams = loads, outcomes, teams
	}
	if !report.Partial || len(report.PrefixReads) > 0 || len(report.Departures) > 0 || len(report.Streams) > 0 || !report.Poison.Empty() {
		c.emit(report)
	}
}

const (
	// A data centre's sum is rejected if it covers less than minCountShare of the routers of the
	// previous sum, unless that sum is older than minCountPeriod. Otherwise the sums of a relay
	// that receives few digests, because it has just become a relay or was cut off, would alternate
	// with complete sums.
	minCountShare  = 0.9
	minCountPeriod = 500 * time.Millisecond
)

// updateCentreSum counts a data centre by its sum, and no longer by its routers' own reports. It
// returns false if the sum was rejected because another relay there covers more routers.
func (c *Core) updateCentreSum(now time.Time, dataCentre string, counted int, loads []placement.Load, outcomes []placement.TargetOutcomes) bool {
	s, ok := c.centreSums[dataCentre]
	if !ok {
		s = &sourceReport{}
		c.centreSums[dataCentre] = s
	}
	if float64(counted) < minCountShare*float64(s.countedRouters) && now.Sub(s.at) < minCountPeriod {
		return false
	}
	s.countedRouters = counted
	if !s.fresh(now) {
		var discarded []uint32
		for _, p := range c.sortedPeers() {
			if p.dataCentre == dataCentre && !p.report.at.IsZero() {
				p.report = sourceReport{}
				discarded = append(discarded, RouterSourceID(p.address))
			}
		}
		if len(discarded) > 0 {
			c.emit(ReportsDiscarded{Sources: discarded})
		}
	}
	c.reportsChanged = s.update(now, loads, outcomes) || c.reportsChanged
	return true
}

// hasCentreSum reports whether a data centre is counted by its sum.
func (c *Core) hasCentreSum(now time.Time, dataCentre string) bool {
	s := c.centreSums[dataCentre]
	return s != nil && s.fresh(now)
}

// discardReports discards all reports when this router becomes a relay or stops being one, because
// the sources of the two roles overlap.
func (c *Core) discardReports() {
	clear(c.centreSums)
	for _, p := range c.sortedPeers() {
		p.report = sourceReport{}
	}
	c.centreOutbox, c.followerOutbox = outbox{}, outbox{}
	c.fedAt = time.Time{}
	c.emit(ReportsDiscarded{})
}

// centresWithSums returns the data centres that have sent a sum, sorted by name.
func (c *Core) centresWithSums() []string {
	out := make([]string, 0, len(c.centreSums))
	for dc := range c.centreSums {
		out = append(out, dc)
	}
	slices.Sort(out)
	return out
}
