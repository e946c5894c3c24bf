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
	// Share is how many retries each request earns.
	Share = 0.1
	// Burst is the largest number of saved-up retries.
	Burst = 10
)

// NewBudget returns a Budget with a full bucket.
func NewBudget() *Budget { return &Budget{tokens: Burst} }

// Earn records a first attempt.
func (b *Budget) Earn() { b.tokens = min(b.tokens+Share, Burst) }

// Available reports whether a retry may be spent.
func (b *Budget) Available() bool { return b.tokens >= 1 }

// Spend takes one retry.
func (b *Budget) Spend() { b.tokens-- }

// Backoff returns the pause before a retry with full jitter: a share, drawn
// uniformly from [0, 1), of the base doubled for each earlier retry, at most the
// limit. Without jitter, requests that failed together would come back together.
func Backoff(share float64, earlier int, base, limit time.Duration) time.Duration {
	top := min(base<<min(earlier, 20), limit)
	return time.Duration(share * float64(top))
}
