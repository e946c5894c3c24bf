package admission

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
)

const (
	// stoppingRetryAfter is for callers of a router that is stopping, or has more work than its
	// processor can do or than its memory holds: they retry at once, since another router serves them.
	stoppingRetryAfter = 20 * time.Millisecond
	// startingRetryAfter is for callers of a router that has just started, lags behind or lacks their streams: other
	// routers serve at once, and this one is ready within milliseconds of the first digest from a
	// peer.
	startingRetryAfter = 250 * time.Millisecond
)

// RetryAfter returns when a caller that is refused with a code should retry, before jitter; 0 if
// retrying does not help. remaining is the time until the request's deadline.
//
// A pool without targets stays unavailable for seconds, and nobody knows for how many. Callers
// retry once or twice, so a caller that has time should retry later. Its answer misses the
// objective in either case.
func RetryAfter(c code.Code, remaining time.Duration) time.Duration {
	switch c {
	case code.ShuttingDown, code.Overloaded, code.NoMemory:
		return stoppingRetryAfter
	case code.NotReady, code.StaleConfig, code.UnknownStream:
		return startingRetryAfter
	case code.NoTarget, code.Evacuated, code.TargetRefused, code.QueueFull, code.NoSuchVersion:
		return time.Duration(retryShare * float64(remaining))
	}
	return 0
}
