package ledger

import (
	"math"
	"time"
)

// LoadBound returns the highest number of tickets that a grant may bring a target to. The bound
// always leaves room for one more request at some usable target. Without that minimum, the
// release margin (at low load) or a mean that includes suspended targets would keep the pool at
// its present load for ever.
func (l *Ledger) LoadBound(now time.Time) int {
	m := l.meanLoad(now)
	if m.usable == 0 {
		return 0
	}
	openLowerBound := max(m.openRequests-l.releaseMargin(now), 0)
	bound := int(math.Ceil(l.pool.Spec.BoundMultiple * float64(openLowerBound+1) / float64(m.targets)))
	return max(bound, (m.openRequests+m.usable)/m.usable)
}

// releaseMargin returns an upper estimate of the number of releases that are still on their way
// to the owner.
func (l *Ledger) releaseMargin(now time.Time) int {
	delayedReleases := l.releaseRate.perSecond(now) * l.settings.ReleaseDelay.Seconds()
	// Twice the expected number covers the variance for all but small numbers, which
	// BaseReleaseMargin covers.
	return l.settings.BaseReleaseMargin + int(math.Ceil(2*delayedReleases))
}

// meanLoad holds the numerator and the denominator of a lower estimate of the pool's mean load.
type meanLoad struct {
	targets      int // targets that are not leaving
	usable       int // of these, the targets that are not suspended
	openRequests int // tickets of followers at the targets that are not leaving, and confirmed orphans
}

func (l *Ledger) meanLoad(now time.Time) meanLoad {
	var m meanLoad
	for i, t := range l.targetsByIndex {
		if l.pool.Targets[i].Leaving {
			continue
		}
		m.targets++
		m.openRequests += t.followerTickets
		if !t.suspendedUntil.After(now) {
			m.usable++
		}
	}
	for _, o := range l.orphans {
		if o.confirmed {
			m.openRequests++
		}
	}
	return m
}
