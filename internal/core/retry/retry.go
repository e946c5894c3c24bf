// Package retry limits retries to a share of the requests, so that an outage of some targets does
// not multiply the load on the others.
package retry

import "time"

// Budget is a token bucket: requests add tokens and retries take them. It is not safe for
// concurrent use.
type Budget struct {
	tokens float64
}

const (
	// TokensPerRequest is the number of retries that each request adds.
	TokensPerRequest = 0.1
	// Burst is the largest number of tokens in the bucket.
	Burst = 10
)

// NewBudget returns a Budget with a full bucket.
func NewBudget() *Budget { return &Budget{tokens: Burst} }

// Deposit adds the tokens of a first attempt.
func (b *Budget) Deposit() { b.tokens = min(b.tokens+TokensPerRequest, Burst) }

// HasTokens reports whether there is a token for a retry.
func (b *Budget) HasTokens() bool { return b.tokens >= 1 }

// Withdraw takes the token of one retry.
func (b *Budget) Withdraw() { b.tokens-- }

// Backoff returns the delay before a retry, with full jitter: jitter, drawn uniformly from [0, 1),
// times the base, which is doubled for each earlier retry up to the limit. Without jitter, requests
// that failed together would be retried together.
func Backoff(jitter float64, earlierRetries int, base, limit time.Duration) time.Duration {
	longest := min(base<<min(earlierRetries, 20), limit)
	return time.Duration(jitter * float64(longest))
}
