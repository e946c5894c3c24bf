package ledger

import (
	"math"
	"time"
)

// placement records that a chat ran at a target.
type placement struct {
	target   uint64
	placedAt time.Time
}

// history holds the last two targets of a chat, the most recent first. The earlier target still
// caches everything except the chat's latest turns.
type history [2]placement

// withPlacement returns the history with a placement inserted by time.
func (h history) withPlacement(v placement) history {
	switch {
	case v.target == h[0].target:
		h[0].placedAt = laterOf(v.placedAt, h[0].placedAt)
	case v.placedAt.After(h[0].placedAt):
		h[1], h[0] = h[0], v
	case v.target != h[1].target && v.placedAt.After(h[1].placedAt):
		h[1] = v
	}
	return h
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// chatHistories holds the last targets of chats. Two generations approximate least-recently-used
// eviction at the cost of two plain maps.
type chatHistories struct {
	generationSize int
	newer, older   map[uint64]history
}

func newChatHistories(generationSize int) chatHistories {
	return chatHistories{generationSize: generationSize, newer: make(map[uint64]history), older: make(map[uint64]history)}
}

func (m *chatHistories) get(chat uint64) (history, bool) {
	if h, ok := m.newer[chat]; ok {
		return h, true
	}
	h, ok := m.older[chat]
	return h, ok
}

func (m *chatHistories) put(chat uint64, v placement) {
	if m.generationSize == 0 || chat == 0 {
		return
	}
	h, _ := m.get(chat)
	if len(m.newer) >= m.generationSize {
		m.older, m.newer = m.newer, make(map[uint64]history)
	}
	m.newer[chat] = h.withPlacement(v)
}

// rate is an exponentially weighted moving rate of events.
type rate struct {
	value     float64 // events per second
	updatedAt time.Time
}

// rateTimeConstant is the time constant of the exponential average.
const rateTimeConstant = 5 * time.Second

func (r *rate) observe(now time.Time) {
	r.decay(now)
	r.value += 1 / rateTimeConstant.Seconds()
}

func (r *rate) decay(now time.Time) {
	if !r.updatedAt.IsZero() {
		r.value *= math.Exp(-now.Sub(r.updatedAt).Seconds() / rateTimeConstant.Seconds())
	}
	r.updatedAt = now
}

func (r *rate) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.value
}
