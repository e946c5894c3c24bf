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
	if !c.budgetsUnused && (c.otherRouters == nil || now.Sub(c.budgetsSince) < retry.SlackDelay(c.settings.RetrySpan)) {
		return
	}
	n := max(c.maxAlive, len(c.otherRouters)+1)
	c.traffic.mu.Lock()
	defer c.traffic.mu.Unlock()
	c.traffic.retryLimits.Routers = n
}

// resetRetryBudgets begins new budgets over another span. Their slack is 0 until updateSlackSharers sets it, because what
// the earlier ones used counts in the new span too.
func (t *trafficState) resetRetryBudgets(span time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retrySpan, t.retryLimits.Routers = span, 0
	clear(t.retryBudgets)
}

// retryBudget returns the retry budget of a pool, which it creates on first use.
func (t *trafficState) retryBudget(now time.Time, pool string) *retry.Window {
	w, ok := t.retryBudgets[pool]
	if !ok {
		w = retry.NewWindow(now, t.retrySpan)
		t.retryBudgets[pool] = w
	}
	return w
}

func (t *trafficState) recordRequest(now time.Time, pool string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retryBudget(now, pool).RecordRequest(now)
}

// tryRetry counts a retry if the pool's budget allows it. If ok is false, the budget is exhausted
// and headroom shows what it allows.
func (t *trafficState) tryRetry(now time.Time, pool string) (headroom retry.Headroom, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.retryBudget(now, pool)
	if w.TryRetry(now, t.retryLimits) {
		return retry.Headroom{}, true
	}
	return w.TightestHeadroom(now, t.retryLimits), false
}

// retryHeadroom returns what the pool's budget allows now.
func (t *trafficState) retryHeadroom(now time.Time, pool string) retry.Headroom {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.retryBudget(now, pool).TightestHeadroom(now, t.retryLimits)
}
