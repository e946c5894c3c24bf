package prefill

import "time"

// maxWaitShare is the share of a request's objective, and of its remaining time, that it may wait for
// another target to read its prefix.
const maxWaitShare = 4

// readyTolerance is how far beyond the limit of a wait a read may be expected to end, as a multiple. The
// routers' estimates of the same read differ, and the report of a read ends a wait early.
const readyTolerance = 1.25

// IsWorthClaiming reports whether a prefix is worth a claim: at least MinTokens of it would have to be
// read at any target. heldTokens is the longest part of it that a target holds.
func IsWorthClaiming(tokens, heldTokens int) bool { return tokens-heldTokens >= MinTokens }

// Patience is what bounds the wait of a request.
type Patience struct {
	// ReadTime is how long its own target is expected to take for the prefix. Waiting for longer costs
	// more than reading it a second time.
	ReadTime time.Duration
	// Objective is the route's objective for the time to the answer; 0 if there is none.
	Objective time.Duration
	Remaining time.Duration // time until the request's deadline
}

// limit returns the longest wait.
func (p Patience) limit() time.Duration {
	limit := min(p.ReadTime, p.Remaining/maxWaitShare)
	if p.Objective > 0 {
		limit = min(limit, p.Objective/maxWaitShare)
	}
	return limit
}

// Wait returns how long a request waits for the target that reads its prefix; 0 if it is sent at once.
// It does not wait if the read will end long after its limit: it would wait and then read the prefix a
// second time nevertheless.
func (a Answer) Wait(p Patience) time.Duration {
	limit := p.limit()
	if a.Granted || a.Target == 0 || a.Ready <= 0 || float64(a.Ready) > readyTolerance*float64(limit) {
		return 0
	}
	return min(a.Ready, limit)
}
