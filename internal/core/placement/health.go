package placement

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/ablate"
)

// Outcome is what an attempt says about its target.
type Outcome int

// The outcomes.
const (
	// Answered: the target answered, whatever the status.
	Answered Outcome = iota
	// Unreachable: the target accepted no connection.
	Unreachable
	// Failed: the connection failed, or the answer was spoiled.
	Failed
	// Errored: the target answered with a failure of its own.
	Errored
	// Refused: the target was full.
	Refused
	// Neutral: the attempt ended for a reason that is not the target's.
	Neutral
)

// suspendAfter failures in a row a target gets no new work for a while. One may
// be a lost connection; a crashed target fails every request. One that accepts no
// connection is suspended at once.
const suspendAfter = 2

// A suspension grows with each one that follows without an answer in between: a
// crashed target is back after seconds, a lost one never. After it one request is
// sent, and no other before that one has ended.
const (
	suspendBase = 500 * time.Millisecond
	suspendMax  = 4 * time.Second
)

// health is what the last answers of a target to this router say about it. Liveness checks
// don't enter: a target may pass them and fail part of its requests.
type health struct {
	failures    int // in a row
	suspensions int // since the last answer
	until       time.Time
	trial       bool // the one request after a suspension is under way
	unreachable bool // since the last answer
}

func (h *health) suspended(now time.Time) bool {
	return h.until.After(now) || (h.suspensions > 0 && h.trial)
}

// placed notes that a request is sent.
func (h *health) placed() { h.trial = h.suspensions > 0 }

// observe learns from an outcome and reports whether a suspension begins with it.
func (h *health) observe(now time.Time, o Outcome) bool {
	before := h.until
	switch o {
	case Answered, Errored:
		h.failures, h.suspensions = 0, 0
		h.unreachable = false
	case Failed:
		if h.failures++; h.failures >= suspendAfter {
			h.suspend(now)
		}
	case Unreachable:
		h.unreachable = true
		h.suspend(now)
	case Refused, Neutral:
	}
	h.trial = false
	return h.until.After(before)
}

// suspend takes the target out for a while. Requests that were sent before it began
// and fail in it say nothing new.
func (h *health) suspend(now time.Time) {
	if h.until.After(now) || ablate.IsOff(ablate.Suspension) {
		return
	}
	h.until = now.Add(min(suspendBase<<min(h.suspensions, 8), suspendMax))
	h.suspensions++
}
