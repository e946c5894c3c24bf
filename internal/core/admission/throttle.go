package admission

import (
	"math"
	"time"
)

// throttle decides by what targets answered, for work that takes less time than the news of it travels: what the fleet has open
// there is another load by the time it is heard, and all routers that hear the same peak would refuse together, then send
// together. A target's own queue knows its load exactly. So requests are sent as long as few of them are turned away, and what
// is over the capacity is refused here, the less urgent first, so that the target's queue is left to the urgent.
type throttle struct {
	at time.Time
	// sent and refused are decayed counts: of the requests that targets answered, and of those of them that they turned away.
	sent, refused float64
}

const (
	// throttleHalfLife is how fast answers are forgotten. A router sends some a second to a pool.
	throttleHalfLife = time.Second
	// throttleDoubt is how many answers without a refusal a router begins with.
	throttleDoubt = 1.0
	// tolerated is the part that targets may turn away before anything is refused here: requests that come together by chance are
	// turned away by a target that has room a moment later.
	tolerated = 0.05
	// patientGain is how many times the part beyond that is refused here of what is less urgent than the most urgent.
	patientGain = 4.0
	// urgentMost is the part that targets may turn away before the most urgent are refused here as well.
	urgentMost = 0.5
	// lateCounts is what an answer beyond the objective counts as a refusal: less of them come late if fewer are sent, unless the
	// target is slow for another reason.
	lateCounts = 0.1
	// throttleMost is the largest part that is refused here, or a router would never learn that there is room again.
	throttleMost = 0.9
)

func (t *throttle) decay(now time.Time) {
	if since := now.Sub(t.at); since > 0 {
		left := math.Exp2(-since.Seconds() / throttleHalfLife.Seconds())
		t.sent, t.refused, t.at = t.sent*left, t.refused*left, now
	}
}

// refuses returns the part of requests that is to be refused.
func (t *throttle) refuses(now time.Time, urgent bool) float64 {
	t.decay(now)
	turnedAway := t.refused / (t.sent + throttleDoubt)
	if urgent {
		return min(max((turnedAway-urgentMost)/urgentMost, 0), throttleMost)
	}
	return min(patientGain*max(turnedAway-tolerated, 0), throttleMost)
}

// Outcome is how a request that was sent ended, as far as it tells of its target's load.
type Outcome int

// The answers.
const (
	// InTime: the target served it, or nothing speaks of its load.
	InTime Outcome = iota
	// Late: it was answered after its objective.
	Late
	// RefusedByTarget: the target had no place for it.
	RefusedByTarget
)

// answered counts how a request that was sent ended.
func (t *throttle) answered(now time.Time, a Outcome) {
	t.decay(now)
	t.sent++
	switch a {
	case InTime:
	case Late:
		t.refused += lateCounts
	case RefusedByTarget:
		t.refused++
	}
}
