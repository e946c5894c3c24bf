package admission

import (
	"math"
	"time"
)

// throttle limits the requests of a pool of short work by the outcomes at its targets. Load reports
// don't help there: the load has changed by the time a report arrives, and all routers that receive
// the same peak would refuse together, then send together. A target's own queue knows its load
// exactly. So requests are sent as long as targets refuse few of them. The load over the capacity
// is refused here, the less urgent first, so that the target's queue is left to the urgent
// requests.
type throttle struct {
	updatedAt time.Time
	// sent counts the requests that were sent and have ended. refused counts those of them that
	// targets refused, and late answers with lateWeight. Both decay.
	sent, refused float64
}

const (
	// throttleHalfLife is the half-life of the counts. A router sends a few requests a second to a
	// pool, so the counts cover the last few of them.
	throttleHalfLife = time.Second
	// throttlePrior is the number of assumed outcomes without a refusal at the start.
	throttlePrior = 1.0
	// toleratedRefusals is the share that targets may refuse before anything is refused here. A
	// target refuses requests that arrive together by chance although it has free slots a moment
	// later.
	toleratedRefusals = 0.05
	// lessUrgentGain multiplies the share beyond toleratedRefusals. The product is the share of the
	// less urgent requests that is refused here.
	lessUrgentGain = 4.0
	// urgentTolerance is the share that targets may refuse before the most urgent requests are
	// refused here as well.
	urgentTolerance = 0.5
	// lateWeight is the part of a refusal that a late answer counts as. Fewer answers are late if
	// fewer requests are sent, unless the target is slow for another reason.
	lateWeight = 0.1
	// maxThrottle is the largest share that is refused here. With no request sent at all, the
	// router would never learn that there are free slots again.
	maxThrottle = 0.9
)

func (t *throttle) decay(now time.Time) {
	if elapsed := now.Sub(t.updatedAt); elapsed > 0 {
		factor := math.Exp2(-elapsed.Seconds() / throttleHalfLife.Seconds())
		t.sent, t.refused, t.updatedAt = t.sent*factor, t.refused*factor, now
	}
}

// refusalShare returns the share of requests to refuse.
func (t *throttle) refusalShare(now time.Time, urgent bool) float64 {
	t.decay(now)
	refusedShare := t.refused / (t.sent + throttlePrior)
	if urgent {
		return min(max((refusedShare-urgentTolerance)/urgentTolerance, 0), maxThrottle)
	}
	return min(lessUrgentGain*max(refusedShare-toleratedRefusals, 0), maxThrottle)
}

// Outcome is how a request that was sent ended, as far as it shows the load of its target.
type Outcome int

// The outcomes.
const (
	// InTime means that the target served the request in time, or that the end shows no load.
	InTime Outcome = iota
	// Late means that the answer came after the objective.
	Late
	// RefusedByTarget means that the target had no room for the request.
	RefusedByTarget
)

// record counts the outcome of a request that was sent.
func (t *throttle) record(now time.Time, o Outcome) {
	t.decay(now)
	t.sent++
	switch o {
	case InTime:
	case Late:
		t.refused += lateWeight
	case RefusedByTarget:
		t.refused++
	}
}
