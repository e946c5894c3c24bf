package placement

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/evacuation"
)

// SetEvacuated puts the operators' orders to evacuate data centres in force, in place of those before, and returns what has changed.
func (b *Balancer) SetEvacuated(now time.Time, dataCentres []string) []evacuation.Change {
	changes := b.orders.Update(dataCentres)
	if len(changes) == 0 {
		return nil
	}
	returned := make(map[string]bool)
	for _, ch := range changes {
		returned[ch.DataCentre] = !ch.Evacuated
	}
	for _, t := range b.byUID {
		t.evacuated = b.orders.IsEvacuated(t.DataCentre)
		if returned[t.DataCentre] {
			t.cold.learn(now, t.pool.limits.ColdDuration) // it may have been switched off meanwhile, and say so too late
		}
	}
	for _, p := range b.pools {
		p.centres = centres(p.targets)
	}
	return changes
}

// IsEvacuated reports whether all targets of a pool that stay are in evacuated data centres.
func (b *Balancer) IsEvacuated(pool string) bool {
	p, ok := b.pools[pool]
	if !ok {
		return false
	}
	evacuated := false
	for _, t := range p.targets {
		if t.stays() {
			return false
		}
		evacuated = evacuated || (t.evacuated && !t.Leaving)
	}
	return evacuated
}

// stays reports whether the target may get requests at all: it does not leave, and its data centre is not evacuated.
func (t *target) stays() bool { return !t.Leaving && !t.evacuated }
