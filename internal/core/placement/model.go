package placement

import (
	"math"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/ablate"
)

// The latency model of a pool predicts the time to the first event of a request: a base time for
// each request plus a time for each prompt token that the target has to read. Both are fitted to
// the answers of all targets of the pool, by least squares over decaying sums. A target's slowdown
// is the ratio of its actual times to those of the model.

const (
	// modelHalfLife is the half-life of the answers in the model and in the slowdowns. Targets
	// become slow for some seconds; a slowdown must show within two or three answers, and be
	// forgotten as fast.
	modelHalfLife = outcomeHalfLife
	// priorAnswers is how many answers at average speed a target's slowdown starts with, since a
	// single late answer is not significant.
	priorAnswers = 2.0
	// maxWaitFactor limits the time that counts for a request, as a multiple of its expected time. The
	// answer of a pending one may be lost, and one that came later was held back by a silence that has
	// ended: neither is a reason to move a healthy target's chats.
	maxWaitFactor = 8
	// minModelAnswers is how many answers, as a decayed count, the model needs before it predicts
	// anything.
	minModelAnswers = 8
)

// latencyModel is a pool's model: seconds = base + perToken * tokens. n, x, xx, y and xy are the
// decaying sums of the weights and of the products of tokens (x) and seconds (y).
type latencyModel struct {
	decayedAt       time.Time
	n, x, xx, y, xy float64
	base, perToken  float64
	answersSinceFit int
}

// answersPerFit is how many answers are added between two fits.
const answersPerFit = 4

func (m *latencyModel) addAnswer(now time.Time, tokens, took, weight float64) {
	if elapsed := now.Sub(m.decayedAt); elapsed > 0 {
		factor := halfLifeDecay(elapsed, modelHalfLife)
		m.n, m.x, m.xx, m.y, m.xy = m.n*factor, m.x*factor, m.xx*factor, m.y*factor, m.xy*factor
		m.decayedAt = now
	}
	m.n += weight
	m.x += weight * tokens
	m.xx += weight * tokens * tokens
	m.y += weight * took
	m.xy += weight * tokens * took
	if m.answersSinceFit++; m.answersSinceFit >= answersPerFit {
		m.answersSinceFit = 0
		m.fit()
	}
}

// fit solves the least squares problem. Neither coefficient can be negative, and base must not be
// zero: with an expected time of zero, any answer would count as infinitely slow.
func (m *latencyModel) fit() {
	if m.n < minModelAnswers {
		return
	}
	mean := m.y / m.n
	m.perToken = 0
	if spread := m.xx - m.x*m.x/m.n; spread > 1 {
		m.perToken = max((m.xy-m.x*m.y/m.n)/spread, 0)
	}
	m.base = max(mean-m.perToken*m.x/m.n, minBaseShare*mean)
}

// minBaseShare is the least share of the mean time that base may be.
const minBaseShare = 0.1

func (m *latencyModel) isFitted() bool { return m.base > 0 }

// firstEventSeconds returns the expected time to the first event at an average target, in seconds.
func (m *latencyModel) firstEventSeconds(tokens float64) float64 { return m.base + m.perToken*tokens }

// unknownFirstEventSeconds is the time to the first event that is expected before any answer.
const unknownFirstEventSeconds = 0.08

// roughFirstEventSeconds returns the expected time to the first event also while the model is not
// fitted, as at a router of a large fleet that gets few answers: their mean, or a usual value.
func (m *latencyModel) roughFirstEventSeconds(tokens float64) float64 {
	switch {
	case m.isFitted():
		return m.firstEventSeconds(tokens)
	case m.n > 0:
		return m.y / m.n
	}
	return unknownFirstEventSeconds
}

// halfLifeDecay returns the factor by which a decaying sum shrinks in the elapsed time.
func halfLifeDecay(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}

// pendingRequests are the requests at a target that have no first event yet, oldest first.
type pendingRequests []pendingRequest

type pendingRequest struct {
	sequence     uint64
	placedAt     time.Time
	prefixes     []Prefix
	unreadTokens float64
	silent       bool // counted in ownSilent of its target
}

// answeredSlowdown returns the ratio of the times to the first event that a target's answers took
// to those that the model predicts, by the answers that the whole fleet saw; 1 is average. The
// model must be fitted.
func (b *Balancer) answeredSlowdown(now time.Time, t *target) float64 {
	seen := b.fleetCounts(now, t)
	prior := priorAnswers * t.pool.model.base
	return (seen.took + prior) / (seen.expected + prior)
}

// slowdown returns the ratio of a target's actual times to the first event to those that the model
// predicts, by the answers that the whole fleet saw; 1 is average. A pending request that has
// waited longer than expected counts with its waiting time, because the answers of a target that
// has just become slow come late.
func (b *Balancer) slowdown(now time.Time, t *target) float64 {
	m := t.pool.model
	if !m.isFitted() || ablate.IsOff(ablate.TargetSpeed) {
		return 1
	}
	seen := b.fleetCounts(now, t)
	prior := priorAnswers * m.base
	took, expected := seen.took+prior, seen.expected+prior
	for _, r := range t.pending {
		predicted := m.firstEventSeconds(r.unreadTokens)
		if waited := min(now.Sub(r.placedAt).Seconds(), maxWaitFactor*predicted); waited > predicted {
			took += waited
			expected += predicted
		}
	}
	return took / expected
}

// isSlowLocally reports whether a target is slow by the answers that this router got.
func (b *Balancer) isSlowLocally(t *target) bool {
	prior := priorAnswers * t.pool.model.base
	return t.counts.took+prior >= slowdownThreshold*(t.counts.expected+prior) && t.counts.took > 0
}

// remove removes a request and returns it; false if it is not there.
func (q *pendingRequests) remove(sequence uint64) (pendingRequest, bool) {
	for i, r := range *q {
		if r.sequence == sequence {
			*q = append((*q)[:i], (*q)[i+1:]...)
			return r, true
		}
	}
	return pendingRequest{}, false
}

// RecordFirstEvent records that a placed request has got its first event, or, if answered is false,
// that it will get none.
func (b *Balancer) RecordFirstEvent(now time.Time, c Choice, answered bool) {
	t, ok := b.byUID[c.Target.UID]
	if !ok {
		return
	}
	t.pause.recordFirstEvent(now, answered)
	r, ok := t.removePending(c.sequence)
	if r.silent {
		t.ownSilent--
	}
	if !ok || !answered {
		return
	}
	b.inventory.recordRead(now, r.prefixes, t.UID)
	took := now.Sub(r.placedAt).Seconds()
	m := t.pool.model
	// Answers of slow targets get a low weight: they say little about the others.
	m.addAnswer(now, r.unreadTokens, took, 1/max(b.slowdown(now, t), 1))
	if m.isFitted() {
		t.counts.decay(now)
		b.counted[t.UID] = t
		predicted := m.firstEventSeconds(r.unreadTokens)
		t.counts.took += min(took, maxWaitFactor*predicted)
		t.counts.expected += predicted
	}
}

// unreadTokens returns how many tokens of a prompt a target has to read itself. Fetched tokens
// count with fetchCostFactor.
func (b *Balancer) unreadTokens(now time.Time, r Request, t *target) float64 {
	held := b.inventory.longestHeldBy(now, r.PromptPrefixes, t.UID)
	elsewhere, _ := b.longestHeldElsewhere(now, r, t)
	fetched := max(elsewhere.Tokens-held.Tokens, 0)
	return float64(max(r.PromptTokens-held.Tokens-fetched, 0)) + fetchCostFactor*float64(fetched)
}

// fetchCostFactor is the time to fetch a cached token, relative to the time to read it.
const fetchCostFactor = 0.2

// expectedFirstEvent returns the expected time to the first event of a request at a target.
func (b *Balancer) expectedFirstEvent(now time.Time, r Request, t *target) time.Duration {
	m := t.pool.model
	return time.Duration(m.firstEventSeconds(b.unreadTokens(now, r, t)) * b.slowdown(now, t) * float64(time.Second))
}
