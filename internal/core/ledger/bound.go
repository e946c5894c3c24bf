package ledger

import (
	"math"
	"time"
)

// LoadBound returns the highest count that a grant may bring a target to. It is never
// so low that no target has room for one more request: with few requests open,
// the margin alone would hold the pool at its present load for ever, and so would
// a mean over targets that are suspended.
func (l *Ledger) LoadBound(now time.Time) int {
	m := l.mean(now)
	if m.usable == 0 {
		return 0
	}
	low := max(m.open-l.margin(now), 0)
	bound := int(math.Ceil(l.pool.Spec.BoundMultiple * float64(low+1) / float64(m.targets)))
	return max(bound, (m.open+m.usable)/m.usable)
}

// margin is how many releases may be on their way.
func (l *Ledger) margin(now time.Time) int {
	waiting := l.drain.perSecond(now) * l.settings.ReleaseDelay.Seconds()
	// Twice the mean covers the spread of arrivals for all but small numbers,
	// which the fixed margin covers.
	return l.settings.MeanMargin + int(math.Ceil(2*waiting))
}

// mean is the lower estimate of a pool's mean load, as its parts.
type mean struct {
	targets int // that are not leaving
	usable  int // of these, not suspended
	open    int // requests at them
}

func (l *Ledger) mean(now time.Time) mean {
	var m mean
	for i, t := range l.ordered {
		if l.pool.Targets[i].Leaving {
			continue
		}
		m.targets++
		m.open += t.open
		if !t.until.After(now) {
			m.usable++
		}
	}
	for _, g := range l.ghosts {
		if g.confirmed {
			m.open++
		}
	}
	return m
}
