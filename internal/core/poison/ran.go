package poison

import "time"

// memory remembers which requests were answered lately, the younger half and the older half: what is in neither ran
// longer ago, or never.
type memory struct {
	young, old map[Fingerprint]struct{}
	began      time.Time // of the young half
}

const (
	// ranHalf is how long half of the memory collects. What was answered within it before its target
	// ended is known not to end each target; a release of targets may change that, and is noticed after two halves.
	ranHalf = 30 * time.Second
	// ranMost bounds each half: 120 requests a second in ranHalf fill a quarter of it.
	ranMost = 1 << 14
)

func (m *memory) add(now time.Time, f Fingerprint) {
	if m.young == nil || now.Sub(m.began) >= ranHalf || len(m.young) >= ranMost {
		m.old, m.young, m.began = m.young, make(map[Fingerprint]struct{}), now
	}
	m.young[f] = struct{}{}
}

func (m *memory) has(now time.Time, f Fingerprint) bool {
	age := now.Sub(m.began)
	if _, ok := m.young[f]; ok && age < 2*ranHalf {
		return true
	}
	_, ok := m.old[f]
	return ok && age < ranHalf
}
