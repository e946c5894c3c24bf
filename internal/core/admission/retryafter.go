package admission

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
)

const (
	// retryElsewhere is when callers come back that a stopping router sends away: at
	// once, since another router gets them.
	retryElsewhere = 20 * time.Millisecond
	// retryStarting is the same for a router that has just started: others serve at
	// once, and it is ready itself within milliseconds of its first peer's digest.
	retryStarting = 250 * time.Millisecond
)

// RetryAfter returns when a caller that is refused with a code should come back, before
// jitter. left is the time that it has. It is 0 if coming back makes no sense.
//
// A pool without targets is away for seconds, and nobody knows for how many. Callers come
// back once or twice, so one that has time is better off later; its objective has passed
// either way.
func RetryAfter(c code.Code, left time.Duration) time.Duration {
	switch c {
	case code.ShuttingDown:
		return retryElsewhere
	case code.NotReady, code.StaleConfig:
		return retryStarting
	case code.NoTarget, code.Evacuated, code.TargetRefused, code.QueueFull:
		return time.Duration(retryShare * float64(left))
	}
	return 0
}
