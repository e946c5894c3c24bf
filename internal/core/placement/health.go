package placement

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/ablate"
)

// Outcome is how an attempt ended, as far as its target is concerned.
type Outcome int

const (
	// Answered: the target answered, with any status.
	Answered Outcome = iota
	// Unreachable: the target accepted no connection.
	Unreachable
	// Failed: the connection failed, or the answer was corrupt or incomplete.
	Failed
	// Errored: the target reported a failure of its own.
	Errored
	// Refused: the target refused the request because it was full.
	Refused
	// Neutral: the attempt ended for a reason that says nothing about the target.
	Neutral
)

// suspendAfterFailures is the number of consecutive failures after which a target is suspended. A
// single failure may be a lost connection; a crashed target fails every request. A target that
// accepts no connection is suspended at once.
const suspendAfterFailures = 2

// minSuspension and maxSuspension bound how long a suspension lasts. Each one that follows without
// an answer in between is twice as long: a crashed target is back after seconds, a lost one never.
// After a suspension one trial request is sent, and no other before that one has ended.
const (
	minSuspension = 500 * time.Millisecond
	maxSuspension = 4 * time.Second
)

// health is what a target's recent answers to this router say about it. Liveness checks are not
// considered: a target may pass them and fail part of its requests.
type health struct {
	consecutiveFailures    int
	consecutiveSuspensions int // since the last answer
	suspendedUntil         time.Time
	trialPending           bool // the trial request after a suspension is in flight
	unreachable            bool // since the last answer
}

// isSuspended reports whether the suspension lasts, or has ended and its trial is in flight.
func (h *health) isSuspended(now time.Time) bool {
	return h.suspendedUntil.After(now) || (h.consecutiveSuspensions > 0 && h.trialPending)
}

// recordPlacement records that a request is placed; the first one after a suspension is the trial.
func (h *health) recordPlacement() { h.trialPending = h.consecutiveSuspensions > 0 }

// recordOutcome updates the health by an outcome and reports whether a suspension begins with it.
func (h *health) recordOutcome(now time.Time, o Outcome) bool {
	previousUntil := h.suspendedUntil
	switch o {
	case Answered, Errored:
		h.consecutiveFailures, h.consecutiveSuspensions = 0, 0
		h.unreachable = false
	case Failed:
		if h.consecutiveFailures++; h.consecutiveFailures >= suspendAfterFailures {
			h.suspend(now)
		}
	case Unreachable:
		h.unreachable = true
		h.suspend(now)
	case Refused, Neutral:
	}
	h.trialPending = false
	return h.suspendedUntil.After(previousUntil)
}

// suspend suspends the target unless it is suspended already: failures of requests sent before a
// suspension do not prolong it.
func (h *health) suspend(now time.Time) {
	if h.suspendedUntil.After(now) || ablate.IsOff(ablate.Suspension) {
		return
	}
	h.suspendedUntil = now.Add(min(minSuspension<<min(h.consecutiveSuspensions, 8), maxSuspension))
	h.consecutiveSuspensions++
}
