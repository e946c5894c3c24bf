package placement

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/ablate"
)

// TargetOutcomes sums up the outcomes of requests at a target, as one router saw them. All sums
// decay with outcomeHalfLife.
type TargetOutcomes struct {
	Target uint64
	// Ended is the number of ended requests; Failed is the number of failed ones, weighted by their
	// kind, see failureWeight.
	Ended, Failed float64
	// FirstEventSeconds is the time that answered requests took to their first events;
	// ExpectedSeconds is what they should have taken by the pool's latency model.
	FirstEventSeconds, ExpectedSeconds float64
}

// Add adds another router's outcomes at the same target with a weight, which may be negative. The
// sums do not become negative.
func (o *TargetOutcomes) Add(other TargetOutcomes, weight float64) {
	o.Ended = max(o.Ended+weight*other.Ended, 0)
	o.Failed = max(o.Failed+weight*other.Failed, 0)
	o.FirstEventSeconds = max(o.FirstEventSeconds+weight*other.FirstEventSeconds, 0)
	o.ExpectedSeconds = max(o.ExpectedSeconds+weight*other.ExpectedSeconds, 0)
}

// DecayFactor returns the factor by which outcomes decay in the elapsed time.
func DecayFactor(elapsed time.Duration) float64 { return halfLifeDecay(elapsed, outcomeHalfLife) }

const (
	// outcomeHalfLife is long enough for a dozen requests at a target that gets ten a second from
	// the whole fleet. It is short enough to detect a target that fails a third of its requests
	// within one or two seconds, and to forget the failures as fast.
	outcomeHalfLife = 2 * time.Second
	// minEndedRequests is how many requests must have ended for a significant failure rate. With
	// fewer, a plain HTTP service that fails one in seven may fail a third of them by chance.
	minEndedRequests = 12
	// minEjectionRate is the failure rate above which a target is ejected. Plain HTTP services fail
	// up to 0.14 of some kinds of requests themselves.
	minEjectionRate = 0.3
	// outlierFactor is how many times the mean failure rate of the other targets in its pool a
	// target must exceed to be ejected. If all targets fail alike, ejecting some of them moves
	// their chats and helps nobody.
	outlierFactor = 1.5
	// lostAnswerWeight is the weight of a lost answer, relative to a failure that the target
	// reports: the caller waits for a long time, and a request that is not idempotent is lost.
	lostAnswerWeight = 2
	// minEjection and maxEjection bound how long an ejection lasts. Such failures last for seconds.
	// Each ejection that follows soon after another one is twice as long.
	minEjection = time.Second
	maxEjection = 4 * time.Second
	// ejectionResetAfter is how long after the end of an ejection the next one again lasts for
	// minEjection.
	ejectionResetAfter = 10 * time.Second
	// outlierCheckInterval is the least time between two checks of a target caused by other
	// routers' reports. A check iterates over the pool, and if all of a large pool fails, every
	// digest of every router reports all targets.
	outlierCheckInterval = 100 * time.Millisecond
	// minReportedFailures is the decayed count of failures from which a router reports a target.
	minReportedFailures = 0.5
	// negligibleCount is the decayed count below which a sum is reset to zero.
	negligibleCount = 1e-3
)

// outcomeCounts are decaying sums of outcomes. failed is weighted, see failureWeight.
type outcomeCounts struct {
	ended, failed  float64
	took, expected float64   // as FirstEventSeconds and ExpectedSeconds
	decayedAt      time.Time // the time up to which decay is applied
}

func (c *outcomeCounts) decay(now time.Time) {
	if c.isNegligible() {
		// A shortcut that applies to most targets of a large pool, most of the time.
		*c = outcomeCounts{decayedAt: now}
		return
	}
	if elapsed := now.Sub(c.decayedAt); elapsed > 0 {
		factor := halfLifeDecay(elapsed, outcomeHalfLife)
		c.ended *= factor
		c.failed *= factor
		c.took *= factor
		c.expected *= factor
		c.decayedAt = now
	}
}

func (c *outcomeCounts) isNegligible() bool {
	return c.ended < negligibleCount && c.took < negligibleCount
}

// add counts one ended request. failed is the weight of its failure; 0 if it did not fail.
func (c *outcomeCounts) add(now time.Time, failed float64) {
	c.decay(now)
	c.ended++
	c.failed += failed
}

// failureRate returns the share of failures; 0 if fewer than one request (decayed) has ended.
func (c *outcomeCounts) failureRate() float64 {
	if c.ended < 1 {
		return 0
	}
	return c.failed / c.ended
}

// failureWeight returns the weight of an outcome as a failure. ok is false if the outcome does not
// count.
func failureWeight(o Outcome) (weight float64, ok bool) {
	switch o {
	case Answered:
		return 0, true
	case Errored:
		return 1, true
	case Failed:
		return lostAnswerWeight, true
	default:
		return 0, false
	}
}

// ejection is the period in which an outlier gets no new requests.
type ejection struct {
	consecutiveEjections int // see ejectionResetAfter
	until                time.Time
	// evidence are the outcomes that led to the ejection. They do not count for the next one.
	evidence outcomeCounts
}

func (e *ejection) begin(now time.Time, evidence outcomeCounts) {
	if now.Sub(e.until) > ejectionResetAfter {
		e.consecutiveEjections = 0
	}
	e.until = now.Add(min(minEjection<<min(e.consecutiveEjections, 8), maxEjection))
	e.consecutiveEjections++
	e.evidence = evidence
}

// isEjected reports whether the target gets no new requests because the fleet saw it fail.
func (t *target) isEjected(now time.Time) bool { return t.ejection.until.After(now) }

// ejectIfOutlier ejects a target if it is an outlier by the outcomes of the whole fleet, and
// reports whether it did. A target that fails part of its requests passes its liveness checks, and
// one router sees only a small part of its requests: alone it would take most of a minute to
// notice, and for every lost answer a caller waits in vain.
func (b *Balancer) ejectIfOutlier(now time.Time, t *target) bool {
	if t.isEjected(now) || ablate.IsOff(ablate.Outliers) {
		return false
	}
	fleet := b.fleetCounts(now, t)
	t.ejection.evidence.decay(now)
	recent := outcomeCounts{ended: fleet.ended - t.ejection.evidence.ended, failed: fleet.failed - t.ejection.evidence.failed}
	rate := recent.failureRate()
	if recent.ended < minEndedRequests || rate <= minEjectionRate || rate <= outlierFactor*b.othersFailureRate(now, t) {
		return false
	}
	t.ejection.begin(now, fleet)
	return true
}

// othersFailureRate returns the mean failure rate of the other targets of the pool.
func (b *Balancer) othersFailureRate(now time.Time, t *target) float64 {
	sum, n := 0.0, 0
	for _, o := range t.pool.targets {
		if o != t {
			fleet := b.fleetCounts(now, o)
			sum += fleet.failureRate()
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// fleetCounts returns the sum of what this router and the others saw at a target.
func (b *Balancer) fleetCounts(now time.Time, t *target) outcomeCounts {
	t.counts.decay(now)
	t.peerCounts.decay(now)
	return outcomeCounts{
		ended: t.counts.ended + t.peerCounts.ended, failed: t.counts.failed + t.peerCounts.failed,
		took: t.counts.took + t.peerCounts.took, expected: t.counts.expected + t.peerCounts.expected, decayedAt: now,
	}
}

// receiveOutcomes replaces the outcomes that a source reported before, and returns the IDs of the
// targets that are ejected as a result. Each target keeps the sum over all routers, which is
// possible because all parts of the sum decay alike.
func (b *Balancer) receiveOutcomes(now time.Time, p *sourceReport, outcomes []TargetOutcomes) (ejected []string) {
	b.subtractOutcomes(now, p)
	p.outcomesReceivedAt, p.outcomes = now, outcomes
	for _, o := range outcomes {
		t, ok := b.byUID[o.Target]
		if !ok {
			continue
		}
		t.peerCounts.decay(now)
		t.peerCounts.ended += o.Ended
		t.peerCounts.failed += o.Failed
		t.peerCounts.took += o.FirstEventSeconds
		t.peerCounts.expected += o.ExpectedSeconds
		if o.Failed >= minReportedFailures {
			t.failuresReportedAt = now
		}
		if now.Sub(t.outlierCheckedAt) >= outlierCheckInterval {
			t.outlierCheckedAt = now
			if b.ejectIfOutlier(now, t) {
				ejected = append(ejected, t.ID)
			}
		}
	}
	return ejected
}

// subtractOutcomes subtracts what a source reported before from the sums.
func (b *Balancer) subtractOutcomes(now time.Time, p *sourceReport) {
	factor := halfLifeDecay(now.Sub(p.outcomesReceivedAt), outcomeHalfLife)
	for _, o := range p.outcomes {
		if t, ok := b.byUID[o.Target]; ok {
			t.peerCounts.decay(now)
			t.peerCounts.ended = max(t.peerCounts.ended-factor*o.Ended, 0)
			t.peerCounts.failed = max(t.peerCounts.failed-factor*o.Failed, 0)
			t.peerCounts.took = max(t.peerCounts.took-factor*o.FirstEventSeconds, 0)
			t.peerCounts.expected = max(t.peerCounts.expected-factor*o.ExpectedSeconds, 0)
		}
	}
	p.outcomes = nil
}

// OutcomesToReport returns the outcomes that this router reports to the others. Once one router
// reports failures of a target, all routers report that target, so that successes are counted as
// well. Slow targets are reported only by the routers that saw them slow: some target always seems
// slow to some router, and if all routers had to report it, they would all report all targets.
func (b *Balancer) OutcomesToReport(now time.Time) []TargetOutcomes {
	var out []TargetOutcomes
	for uid, t := range b.counted {
		t.counts.decay(now)
		if t.counts.isNegligible() {
			delete(b.counted, uid)
			continue
		}
		o := TargetOutcomes{Target: uid}
		reported := !t.failuresReportedAt.IsZero() && now.Sub(t.failuresReportedAt) < b.settings.LoadReportTTL
		if t.counts.failed >= minReportedFailures || (reported && t.counts.ended >= minReportedFailures) {
			o.Ended, o.Failed = t.counts.ended, t.counts.failed
		}
		if b.isSlowLocally(t) {
			o.FirstEventSeconds, o.ExpectedSeconds = t.counts.took, t.counts.expected
		}
		if o.Ended > 0 || o.FirstEventSeconds > 0 {
			out = append(out, o)
		}
	}
	return out
}
