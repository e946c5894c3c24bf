package placement

import (
	"math"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/ablate"
)

// A pool's model says how long a target takes to the first event of a request: a part that every request
// has and a part for each prompt token that it has to read. Both are learned from the answers
// of all its targets by least squares over decayed sums. What one target takes beyond that is
// its pace.

const (
	// modelHalfLife is how long the model remembers, and with the outcomes the paces. Targets turn slow for
	// some seconds; a pace has to follow within two or three answers, and to be forgotten as soon.
	modelHalfLife = outcomeHalfLife
	// paceDoubt is how many answers of an average target a pace begins with: one late answer alone
	// shows nothing.
	paceDoubt = 2.0
	// waitedMost is how many times its expected time a request that waits counts at most: its answer
	// may be lost, and one lost answer of a target that is well is no reason to move its chats.
	waitedMost = 8
	// modelLeast is how many answers the model needs before it says anything.
	modelLeast = 8
)

// model is the pool's: t = base + perToken x tokens, times in seconds.
type model struct {
	at                  time.Time
	n, x, xx, y, xy     float64
	base, perToken      float64
	answersSinceRefresh int
}

// refreshEvery is how many answers are learned between two fits.
const refreshEvery = 4

func (m *model) learn(now time.Time, tokens, took, weight float64) {
	if since := now.Sub(m.at); since > 0 {
		left := halved(since, modelHalfLife)
		m.n, m.x, m.xx, m.y, m.xy = m.n*left, m.x*left, m.xx*left, m.y*left, m.xy*left
		m.at = now
	}
	m.n += weight
	m.x += weight * tokens
	m.xx += weight * tokens * tokens
	m.y += weight * took
	m.xy += weight * tokens * took
	if m.answersSinceRefresh++; m.answersSinceRefresh >= refreshEvery {
		m.answersSinceRefresh = 0
		m.fit()
	}
}

// fit solves the least squares. Neither part can be negative, and a base of nothing would make any
// answer infinitely slow.
func (m *model) fit() {
	if m.n < modelLeast {
		return
	}
	mean := m.y / m.n
	m.perToken = 0
	if spread := m.xx - m.x*m.x/m.n; spread > 1 {
		m.perToken = max((m.xy-m.x*m.y/m.n)/spread, 0)
	}
	m.base = max(mean-m.perToken*m.x/m.n, leastBaseShare*mean)
}

// leastBaseShare is the least part of the mean time that every request is taken to need.
const leastBaseShare = 0.1

func (m *model) known() bool { return m.base > 0 }

// expect returns the seconds to the first event at an average target.
func (m *model) expect(tokens float64) float64 { return m.base + m.perToken*tokens }

// halved returns what is left of a decaying sum after a time.
func halved(since, halfLife time.Duration) float64 {
	return math.Exp2(-since.Seconds() / halfLife.Seconds())
}

// waiting are the requests at a target without their first event, the oldest first.
type waiting []pending

type pending struct {
	sequence uint64
	since    time.Time
	prompt   []Prefix
	unread   float64 // tokens
}

// pace returns by how much a target is slower than the model, by what the whole fleet saw; 1 is average.
// A request that waits for longer than it should counts with the time that it has waited: the
// answers of a target that has just turned slow come late.
func (b *Balancer) pace(now time.Time, t *target) float64 {
	m := t.pool.model
	if !m.known() || ablate.Off(ablate.Pace) {
		return 1
	}
	seen := b.outcomesAt(now, t)
	doubt := paceDoubt * m.base
	took, expected := seen.took+doubt, seen.expected+doubt
	for _, w := range t.waiting {
		should := m.expect(w.unread)
		if waited := min(now.Sub(w.since).Seconds(), waitedMost*should); waited > should {
			took += waited
			expected += should
		}
	}
	return took / expected
}

// seemsSlow reports whether a target is slow by the answers that this router got.
func (b *Balancer) seemsSlow(t *target) bool {
	doubt := paceDoubt * t.pool.model.base
	return t.counts.took+doubt >= slowFactor*(t.counts.expected+doubt) && t.counts.took > 0
}

// end takes a request off and returns it; false if it is not there.
func (q *waiting) end(sequence uint64) (pending, bool) {
	for i, w := range *q {
		if w.sequence == sequence {
			*q = append((*q)[:i], (*q)[i+1:]...)
			return w, true
		}
	}
	return pending{}, false
}

// RecordFirstEvent takes note that a placed request has its first event, or, if it was not answered, that it
// will have none.
func (b *Balancer) RecordFirstEvent(now time.Time, c Choice, answered bool) {
	t, ok := b.byUID[c.Target.UID]
	if !ok {
		return
	}
	t.pause.answered(now, answered)
	w, ok := t.waiting.end(c.sequence)
	if !ok || !answered {
		return
	}
	b.held.read(now, w.prompt, t.UID)
	took := now.Sub(w.since).Seconds()
	m := t.pool.model
	// What slow targets do says little of the others.
	m.learn(now, w.unread, took, 1/max(b.pace(now, t), 1))
	if m.known() {
		t.counts.decay(now)
		t.counts.took += took
		t.counts.expected += m.expect(w.unread)
	}
}

// unread returns how many tokens of a prompt a target has to read itself. What it fetches takes a part of
// the time of reading it.
func (b *Balancer) unread(now time.Time, a Request, t *target) float64 {
	held := b.held.at(now, a.PromptPrefixes, t.UID)
	elsewhere, _ := b.deepest(now, a, t)
	fetched := max(elsewhere.Tokens-held.Tokens, 0)
	return float64(max(a.PromptTokens-held.Tokens-fetched, 0)) + fetchShare*float64(fetched)
}

// fetchShare is the part of the time of reading tokens that fetching them takes.
const fetchShare = 0.2

// expected returns the time to the first event of a request at a target.
func (b *Balancer) expected(now time.Time, a Request, t *target) time.Duration {
	m := t.pool.model
	return time.Duration(m.expect(b.unread(now, a, t)) * b.pace(now, t) * float64(time.Second))
}
