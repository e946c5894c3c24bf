package placement

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/evacuation"
)

// SetEvacuated replaces the applied evacuation orders by those for dataCentres and returns the
// changes.
func (b *Balancer) SetEvacuated(now time.Time, dataCentres []string) []evacuation.Change {
	changes := b.evacuationOrders.Update(dataCentres)
	if len(changes) == 0 {
		return nil
	}
	returned := make(map[string]bool)
	for _, ch := range changes {
		returned[ch.DataCentre] = !ch.Evacuated
	}
	for _, t := range b.byUID {
		t.evacuated = b.evacuationOrders.IsEvacuated(t.DataCentre)
		t.pool.recount(t)
		if returned[t.DataCentre] {
			// The target may have been switched off during the evacuation, and may report too late
			// that it is cold.
			t.cold.extend(now, t.pool.limits.ColdDuration)
		}
	}
	return changes
}

// IsEvacuated reports whether a pool has targets that are not leaving, and all of them are in
// evacuated data centres.
func (b *Balancer) IsEvacuated(pool string) bool {
	p, ok := b.pools[pool]
	if !ok {
		return false
	}
	evacuated := false
	for _, t := range p.targets {
		if t.isActive() {
			return false
		}
		evacuated = evacuated || (t.evacuated && !t.Leaving)
	}
	return evacuated
}

// isActive reports whether the target may get requests at all: it is not leaving and its data
// centre is not evacuated.
func (t *target) isActive() bool { return !t.Leaving && !t.evacuated }
