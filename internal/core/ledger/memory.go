package ledger

import (
	"math"
	"time"
)

// visit is a chat's stay at a target.
type visit struct {
	target uint64
	at     time.Time
}

// history is where a chat ran last and before that, most recent first. The target
// before still holds all but the chat's latest turns.
type history [2]visit

// add puts a visit into its place by time.
func (h history) add(v visit) history {
	switch {
	case v.target == h[0].target:
		h[0].at = later(v.at, h[0].at)
	case v.at.After(h[0].at):
		h[1], h[0] = h[0], v
	case v.target != h[1].target && v.at.After(h[1].at):
		h[1] = v
	}
	return h
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// memory remembers where chats ran. Two generations approximate
// least-recently-used order at the cost of two plain maps.
type memory struct {
	size         int
	young, older map[uint64]history
}

func newMemory(size int) memory {
	return memory{size: size, young: make(map[uint64]history), older: make(map[uint64]history)}
}

func (m *memory) get(chat uint64) (history, bool) {
	if h, ok := m.young[chat]; ok {
		return h, true
	}
	h, ok := m.older[chat]
	return h, ok
}

func (m *memory) put(chat uint64, v visit) {
	if m.size == 0 || chat == 0 {
		return
	}
	h, _ := m.get(chat)
	if len(m.young) >= m.size {
		m.older, m.young = m.young, make(map[uint64]history)
	}
	m.young[chat] = h.add(v)
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
