package gateway

import "slices"

// markBrittle records how many requests a second a target bears to refuse, and reports whether it or
// its pool begins or ends to be brittle.
func (t *trafficState) markBrittle(uid uint64, refusalsPerSecond int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.balancer.MarkBrittle(uid, refusalsPerSecond)
}

// acquireSend, releaseSend and quotaHolders: see placement.Balancer. quotaHolders returns nil if the
// target is not brittle.
func (t *trafficState) acquireSend(uid uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.balancer.AcquireSend(uid)
}

func (t *trafficState) releaseSend(uid uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.balancer.ReleaseSend(uid)
}

func (t *trafficState) quotaHolders(uid uint64) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.balancer.QuotaHolders(uid)
}

// hasBrittlePool reports whether the targets of any pool say that they are brittle.
func (t *trafficState) hasBrittlePool() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.balancer.PoolNames(), t.balancer.IsBrittle)
}
