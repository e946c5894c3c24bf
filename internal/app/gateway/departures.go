package gateway

import (
	"slices"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// Digests carry departures in addition to the target list. A copy of the list comes from a router
// that may be busy, over links that may be full, and is retried only after a timeout. Meanwhile
// this router would keep sending requests to leaving targets without noticing. Digests come from
// every router that knows of a departure, and any of them is enough.

const (
	// digestsPerDeparture is the number of consecutive digests that contain a departure. With 30%
	// packet loss, at least one of a router's three arrives in 97% of cases.
	digestsPerDeparture = 3
	// maxDeparturesPerDigest bounds the departures in one digest, at 19 bytes each. The rest
	// follows in the next digests.
	maxDeparturesPerDigest = 24
)

// departureQueue holds the departures that this router has still to send. The zero value is empty.
type departureQueue struct {
	pending   []queuedDeparture
	hasUnsent bool // some departures have never been sent and must be sent at once
}

type queuedDeparture struct {
	placement.Departure
	remainingDigests int // number of digests that must still contain the departure
}

func (q *departureQueue) add(added []placement.Departure) {
	q.hasUnsent = q.hasUnsent || len(added) > 0
	for _, d := range added {
		q.pending = append(q.pending, queuedDeparture{d, digestsPerDeparture})
	}
}

// takeBatch returns the departures for the next digest.
func (q *departureQueue) takeBatch() []placement.Departure {
	q.hasUnsent = false
	if len(q.pending) == 0 {
		return nil
	}
	n := min(len(q.pending), maxDeparturesPerDigest)
	out := make([]placement.Departure, n)
	var unfinished []queuedDeparture
	for i, d := range q.pending[:n] {
		out[i] = d.Departure
		if d.remainingDigests--; d.remainingDigests > 0 {
			unfinished = append(unfinished, d)
		}
	}
	q.pending = append(q.pending[n:], unfinished...)
	return out
}

// applyDepartures applies departures reported by another router and forwards those that are new to
// this router. The sender may reach only few other routers.
func (c *Control) applyDepartures(now time.Time, reported []placement.Departure) {
	newDepartures, departedIDs := c.targetSet.ApplyDepartures(now, slices.DeleteFunc(slices.Clone(reported), func(d placement.Departure) bool { return d.Announced || d.Exited }))
	for _, d := range reported {
		if (d.Announced && c.traffic.markLeaving(now, d.Target)) || (d.Exited && c.traffic.markExited(now, d.Target)) {
			newDepartures = append(newDepartures, d)
			c.log.Line(eventlog.TargetDeparted).Str("target", c.traffic.targetID(d.Target)).Bool("said", d.Announced).Bool("ended", d.Exited).Msg("")
		}
	}
	if len(newDepartures) == 0 {
		return
	}
	c.departures.add(newDepartures)
	if len(departedIDs) > 0 {
		c.publishTargets(now)
	}
	for _, id := range departedIDs {
		c.log.Line(eventlog.TargetDeparted).Str("target", id).Msg("")
	}
}
