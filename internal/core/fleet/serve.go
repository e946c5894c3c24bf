package fleet

import "time"

const (
	// copyLinkShare is the share of a VM's link that copies for other routers may use. The rest is
	// for requests and digests: copies that fill a link delay both by a second and more.
	copyLinkShare = 0.4
	// copyBurst is for how long copies may use the whole link. A request on the same link is
	// delayed by no more than this. Most copies are far smaller and always fit.
	copyBurst = 80 * time.Millisecond
	// alwaysServedBytes is the size up to which a copy is always served: one packet. Small changes
	// to the target list don't wait for capacity that a large desired state used.
	alwaysServedBytes = 1400
)

// CopyBudget limits how much of a VM's link copies use. When a large table changes, all routers
// request it at the same time from the few routers that have it. If all were served at once, each
// copy would be so slow that its request would time out and be sent to another router, and both
// would fill the link. A request that does not fit is refused immediately and goes to another
// router that has a copy by then, so a change spreads like a tree, and faster. A CopyBudget is not
// safe for concurrent use.
type CopyBudget struct {
	rate      float64 // bytes per second; 0 means no limit
	burst     float64 // largest number of bytes in tokens
	tokens    float64 // bytes that copies may use now; negative after a copy larger than the burst
	updatedAt time.Time
}

// NewCopyBudget returns the budget for a link of linkBytes bytes per second. A linkBytes of 0 means
// that the bandwidth is unknown and copies are not limited.
func NewCopyBudget(now time.Time, linkBytes int64) *CopyBudget {
	b := &CopyBudget{rate: copyLinkShare * float64(linkBytes), burst: copyBurst.Seconds() * float64(linkBytes), updatedAt: now}
	b.tokens = b.burst
	return b
}

// Allow reports whether a copy may be sent, and if so deducts its size. A copy larger than the
// burst is allowed once the budget is full; later copies wait until it is paid off.
func (b *CopyBudget) Allow(now time.Time, bytes int) bool {
	if b.rate == 0 {
		return true
	}
	b.tokens = min(b.tokens+b.rate*now.Sub(b.updatedAt).Seconds(), b.burst)
	b.updatedAt = now
	if bytes > alwaysServedBytes && b.tokens < min(float64(bytes), b.burst) {
		return false
	}
	b.tokens -= float64(bytes)
	return true
}
