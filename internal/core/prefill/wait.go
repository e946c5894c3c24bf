package prefill

import "time"

const (
	// objectiveDivisor and remainingDivisor bound how long a request waits for its prefix to be read, as
	// parts of its objective and of its remaining time.
	objectiveDivisor = 2
	remainingDivisor = 4
)

// readyTolerance is how far beyond the limit of a wait a read may be expected to end, as a multiple. The
// routers' estimates of the same read differ, and the report of a read ends a wait early.
const readyTolerance = 1.25

// overdueFactor is by how much a read at the request's own target may exceed its expected end, as a
// multiple of the time that it takes.
const overdueFactor = 2

// IsWorthClaiming reports whether a prefix is worth a claim: at least MinTokens of it would have to be
// read at any target. heldTokens is the longest part of it that a target holds.
func IsWorthClaiming(tokens, heldTokens int) bool { return tokens-heldTokens >= MinTokens }

// Patience is what bounds the wait of a request.
type Patience struct {
	// Target is the target that was chosen for the request.
	Target uint64
	// ReadTime is how long Target is expected to take for the prefix. If another target reads the prefix
	// already, waiting for longer costs more than reading it a second time. If Target itself does, a
	// second read would end after the first one, however long that takes.
	ReadTime time.Duration
	// Objective is the route's objective for the time to the answer; 0 if there is none.
	Objective time.Duration
	Remaining time.Duration // time until the request's deadline
}

// limit returns the longest wait for a read by a target.
func (p Patience) limit(reader uint64) time.Duration {
	limit := p.Remaining / remainingDivisor
	if p.Objective > 0 {
		limit = min(limit, p.Objective/objectiveDivisor)
	}
	if reader != p.Target {
		limit = min(limit, p.ReadTime)
	}
	return limit
}

// Wait returns how long a request waits at most for the target that reads its prefix; 0 if it is sent at
// once. It does not wait if the read will end long after its limit: it would wait and then read the
// prefix a second time nevertheless.
func (a Answer) Wait(p Patience) time.Duration {
	limit := p.limit(a.Target)
	if a.Granted || a.Target == 0 || a.Ready <= 0 || float64(a.Ready) > readyTolerance*float64(limit) {
		return 0
	}
	if a.Target == p.Target {
		// The report of the read ends the wait. A read that takes much longer than expected has failed.
		return min(a.Ready+overdueFactor*p.ReadTime, limit)
	}
	return min(a.Ready, limit)
}
