package ledger

import (
	"math"
	"time"
)

// memory remembers the target that each chat ran on last. Two generations
// approximate least-recently-used order at the cost of two plain maps.
type memory struct {
	size         int
	young, older map[uint64]uint64
}

func newMemory(size int) memory {
	return memory{size: size, young: make(map[uint64]uint64), older: make(map[uint64]uint64)}
}

func (m *memory) get(chat uint64) (uint64, bool) {
	if uid, ok := m.young[chat]; ok {
		return uid, true
	}
	uid, ok := m.older[chat]
	return uid, ok
}

func (m *memory) put(chat, uid uint64) {
	if m.size == 0 || chat == 0 {
		return
	}
	if len(m.young) >= m.size {
		m.older, m.young = m.young, make(map[uint64]uint64)
	}
	m.young[chat] = uid
}

// rate is an exponentially weighted rate of events.
type rate struct {
	value float64 // events per second
	last  time.Time
}

// rateHorizon is the time over which events are averaged.
const rateHorizon = 5 * time.Second

func (r *rate) observe(now time.Time) {
	r.decay(now)
	r.value += 1 / rateHorizon.Seconds()
}

func (r *rate) decay(now time.Time) {
	if !r.last.IsZero() {
		r.value *= math.Exp(-now.Sub(r.last).Seconds() / rateHorizon.Seconds())
	}
	r.last = now
}

func (r *rate) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.value
}
