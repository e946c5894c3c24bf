// Package retry limits retries to a share of the requests, so that an outage of
// targets can't multiply the load on those that are left.
package retry

import "time"

// Budget is a token bucket that requests fill and retries empty. It is not safe
// for concurrent use.
type Budget struct {
	tokens float64
}

const (
	// TokensPerRequest is how many retries each request earns.
	TokensPerRequest = 0.1
	// Burst is the largest number of saved-up retries.
	Burst = 10
)

// NewBudget returns a Budget with a full bucket.
func NewBudget() *Budget { return &Budget{tokens: Burst} }

// Deposit records a first attempt.
func (b *Budget) Deposit() { b.tokens = min(b.tokens+TokensPerRequest, Burst) }

// HasTokens reports whether a retry may be spent.
func (b *Budget) HasTokens() bool { return b.tokens >= 1 }

// Withdraw takes one retry.
func (b *Budget) Withdraw() { b.tokens-- }

// Backoff returns the pause before a retry with full jitter: a share, drawn
// uniformly from [0, 1), of the base doubled for each earlier retry, at most the
// limit. Without jitter, requests that failed together would come back together.
func Backoff(share float64, earlier int, base, limit time.Duration) time.Duration {
	top := min(base<<min(earlier, 20), limit)
	return time.Duration(share * float64(top))
}
