package placement

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/ablate"
)

// TargetOutcomes is what came of the requests at a target, as one router saw it. All of it decays:
// what happened a half-life ago counts half.
type TargetOutcomes struct {
	Target        uint64
	Ended, Failed float64
	// FirstEventSeconds and ExpectedSeconds are the seconds that answered requests took to their first events, and what
	// they should have taken by the pool's model.
	FirstEventSeconds, ExpectedSeconds float64
}

// Add adds others' outcomes at the same target with a weight; sums don't become negative.
func (o *TargetOutcomes) Add(other TargetOutcomes, weight float64) {
	o.Ended = max(o.Ended+weight*other.Ended, 0)
	o.Failed = max(o.Failed+weight*other.Failed, 0)
	o.FirstEventSeconds = max(o.FirstEventSeconds+weight*other.FirstEventSeconds, 0)
	o.ExpectedSeconds = max(o.ExpectedSeconds+weight*other.ExpectedSeconds, 0)
}

// DecayFactor returns the part of outcomes that is left after a time.
func DecayFactor(since time.Duration) float64 { return halved(since, outcomeHalfLife) }

const (
	// outcomeHalfLife is long enough for a dozen requests at a target that gets ten a second
	// from the whole fleet, and short enough to find one that fails a third within a second
	// or two, and to forget it as soon.
	outcomeHalfLife = 2 * time.Second
	// minSamples is how many ends make a failure rate: of fewer, chance alone fails a third
	// of the requests to plain services that answer one in seven with a failure of their own.
	minSamples = 12
	// ejectRate is the failure rate above which a target is ejected. Plain services answer up
	// to 0.14 of some requests with a failure of their own.
	ejectRate = 0.3
	// outlierFactor is how many times the mean failure rate of the others in its pool a target
	// has to reach. If all fail alike, ejecting some moves their chats and helps nobody.
	outlierFactor = 1.5
	// lostWeight is what a lost answer counts against one failure that the target owned up
	// to: its caller waits for long, and a request that is not idempotent is lost.
	lostWeight = 2
	// ejectBase and ejectMax bound how long an ejection lasts. Trouble of this kind lasts for
	// seconds; each ejection that follows soon after another is twice as long.
	ejectBase = time.Second
	ejectMax  = 4 * time.Second
	// ejectionsForgotten is how long after an ejection the next one is short again.
	ejectionsForgotten = 10 * time.Second
	// detectEvery is how often a target is looked at when others tell of it. Looking costs a pass over
	// its pool; where all of a large pool fails, every digest of every router tells of all.
	detectEvery = 100 * time.Millisecond
	// reportMin is the decayed count of failures from which a router tells of a target.
	reportMin = 0.5
	// forgottenCount is a decayed count that says nothing any more.
	forgottenCount = 1e-3
)

// counts are outcomes that decay.
type counts struct {
	ended, failed  float64
	took, expected float64   // seconds to first events
	at             time.Time // until when they have decayed
}

func (c *counts) decay(now time.Time) {
	if c.ended < forgottenCount && c.took < forgottenCount {
		*c = counts{at: now} // most targets of a large pool, most of the time
		return
	}
	if since := now.Sub(c.at); since > 0 {
		left := halved(since, outcomeHalfLife)
		c.ended *= left
		c.failed *= left
		c.took *= left
		c.expected *= left
		c.at = now
	}
}

// add counts one end, with the weight of its failure; 0 if it was none.
func (c *counts) add(now time.Time, failed float64) {
	c.decay(now)
	c.ended++
	c.failed += failed
}

// failureRate is 0 if next to nothing has ended.
func (c *counts) failureRate() float64 {
	if c.ended < 1 {
		return 0
	}
	return c.failed / c.ended
}

// failureWeight returns what an outcome counts as a failure; false if it says nothing.
func failureWeight(o Outcome) (weight float64, ok bool) {
	switch o {
	case Answered:
		return 0, true
	case Errored:
		return 1, true
	case Failed:
		return lostWeight, true
	default:
		return 0, false
	}
}

// ejection keeps new work away from a target for a while.
type ejection struct {
	times int // lately
	until time.Time
	// by are the outcomes that led to it; they say nothing of the time after it.
	by counts
}

func (e *ejection) begin(now time.Time, by counts) {
	if now.Sub(e.until) > ejectionsForgotten {
		e.times = 0
	}
	e.until = now.Add(min(ejectBase<<min(e.times, 8), ejectMax))
	e.times++
	e.by = by
}

// ejected reports whether the fleet's outcomes keep new work away from the target.
func (t *target) ejected(now time.Time) bool { return t.ejection.until.After(now) }

// detect ejects a target if it is an outlier by the outcomes of the whole fleet, and reports
// whether it did. A target that fails part of its requests passes its liveness checks, and one
// router sees a sliver of its requests: alone it would take most of a minute to notice, and
// every lost answer is one that its caller waits for in vain.
func (b *Balancer) detect(now time.Time, t *target) bool {
	if t.ejected(now) || ablate.Off(ablate.Outliers) {
		return false
	}
	all := b.outcomesAt(now, t)
	t.ejection.by.decay(now)
	since := counts{ended: all.ended - t.ejection.by.ended, failed: all.failed - t.ejection.by.failed}
	rate := since.failureRate()
	if since.ended < minSamples || rate <= ejectRate || rate <= outlierFactor*b.othersFailureRate(now, t) {
		return false
	}
	t.ejection.begin(now, all)
	return true
}

// othersFailureRate returns the mean failure rate of the other targets of a pool.
func (b *Balancer) othersFailureRate(now time.Time, t *target) float64 {
	sum, n := 0.0, 0
	for _, o := range t.pool.targets {
		if o != t {
			all := b.outcomesAt(now, o)
			sum += all.failureRate()
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// outcomesAt adds up what this router and the others saw at a target.
func (b *Balancer) outcomesAt(now time.Time, t *target) counts {
	t.counts.decay(now)
	t.peerCounts.decay(now)
	return counts{
		ended: t.counts.ended + t.peerCounts.ended, failed: t.counts.failed + t.peerCounts.failed,
		took: t.counts.took + t.peerCounts.took, expected: t.counts.expected + t.peerCounts.expected, at: now,
	}
}

// told takes in what another router saw, in place of what it told before. The sum over all
// routers is kept for each target: all parts of it decay alike.
func (b *Balancer) told(now time.Time, p *peerView, outcomes []TargetOutcomes) (ejected []string) {
	b.takeBack(now, p)
	p.told, p.outcomes = now, outcomes
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
		if o.Failed >= reportMin {
			t.reportedAt = now
		}
		if now.Sub(t.detectedAt) >= detectEvery {
			t.detectedAt = now
			if b.detect(now, t) {
				ejected = append(ejected, t.ID)
			}
		}
	}
	return ejected
}

// takeBack takes what a router told before out of the sums.
func (b *Balancer) takeBack(now time.Time, p *peerView) {
	left := halved(now.Sub(p.told), outcomeHalfLife)
	for _, o := range p.outcomes {
		if t, ok := b.byUID[o.Target]; ok {
			t.peerCounts.decay(now)
			t.peerCounts.ended = max(t.peerCounts.ended-left*o.Ended, 0)
			t.peerCounts.failed = max(t.peerCounts.failed-left*o.Failed, 0)
			t.peerCounts.took = max(t.peerCounts.took-left*o.FirstEventSeconds, 0)
			t.peerCounts.expected = max(t.peerCounts.expected-left*o.ExpectedSeconds, 0)
		}
	}
	p.outcomes = nil
}

// OutcomesToReport returns what this router tells of the targets that it or another router has
// seen failing: once one tells of a target all do, so that the successes count as well. Of a slow
// target only those tell that saw it slow: there is always one that seems slow to somebody, and
// if all told of it, all would tell of all.
func (b *Balancer) OutcomesToReport(now time.Time) []TargetOutcomes {
	var out []TargetOutcomes
	for uid, t := range b.byUID {
		t.counts.decay(now)
		o := TargetOutcomes{Target: uid}
		reported := !t.reportedAt.IsZero() && now.Sub(t.reportedAt) < b.settings.LoadReportTTL
		if t.counts.failed >= reportMin || (reported && t.counts.ended >= reportMin) {
			o.Ended, o.Failed = t.counts.ended, t.counts.failed
		}
		if b.seemsSlow(t) {
			o.FirstEventSeconds, o.ExpectedSeconds = t.counts.took, t.counts.expected
		}
		if o.Ended > 0 || o.FirstEventSeconds > 0 {
			out = append(out, o)
		}
	}
	return out
}
