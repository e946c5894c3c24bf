package gateway

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/retry"
)

// initialSlackSharers returns the number of routers that share the retry slack when this router
// starts: 1 if the whole fleet starts for the first time, 0 otherwise. With 0 this router uses no
// slack, because an earlier process may have used it a moment ago. See updateSlackSharers.
func initialSlackSharers(firstStart bool) int {
	if firstStart {
		return 1
	}
	return 0
}

// updateSlackSharers sets the number of routers that share the retry slack. Known routers that are
// not heard, such as registered ones, count, since they may be running. Routers that were alive
// earlier count too, since they may be partitioned. Unless the whole fleet starts for the first
// time, the number stays 0 until the other routers are known and retry.SlackDelay is over.
func (c *Control) updateSlackSharers(now time.Time) {
	c.maxAlive = max(c.maxAlive, c.core.AliveCount(now)+1)
	if !c.settings.FirstStart && (c.otherRouters == nil || now.Sub(c.startedAt) < retry.SlackDelay(c.settings.RetrySpan)) {
		return
	}
	n := max(c.maxAlive, len(c.otherRouters)+1)
	c.traffic.mu.Lock()
	defer c.traffic.mu.Unlock()
	c.traffic.retryLimits.Routers = n
}
