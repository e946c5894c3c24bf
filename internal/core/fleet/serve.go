package fleet

import "time"

const (
	// serveShare is the part of a VM's link that copies for other routers may take. The rest is for requests and
	// digests: a link that copies fill holds up both for a second and more.
	serveShare = 0.4
	// serveBurst is for how long copies may take all of the link at once: a request waits that long at the most. Most
	// copies are far smaller and always find room.
	serveBurst = 80 * time.Millisecond
	// onePacket is the size up to which a copy is always served: a few changes of the list of targets do not
	// wait for room that a large desired state took.
	onePacket = 1400
)

// CopyBudget bounds what copies take of a VM's link. When a large table changes, all routers ask the few that have
// it at the same moment. Served all at once, each copy is so slow that it is given up and asked for elsewhere, and
// the bytes of both fill the link. Those that find no room are told so at once, and ask one of the others
// that have it by then; so a change spreads like a tree, and faster. It is not safe for concurrent use.
type CopyBudget struct {
	rate   float64 // bytes a second; 0 if there is no bound
	burst  float64
	tokens float64
	at     time.Time
}

// NewCopyBudget returns the budget for a link that carries so many bytes a second, 0 if it is not known.
func NewCopyBudget(now time.Time, linkBytes int64) *CopyBudget {
	b := &CopyBudget{rate: serveShare * float64(linkBytes), burst: serveBurst.Seconds() * float64(linkBytes), at: now}
	b.tokens = b.burst
	return b
}

// Allow takes the bytes of a copy out of the budget if there is room. A copy larger than the burst finds room when
// nothing else was served for a while, and is paid for afterwards.
func (b *CopyBudget) Allow(now time.Time, bytes int) bool {
	if b.rate == 0 {
		return true
	}
	b.tokens = min(b.tokens+b.rate*now.Sub(b.at).Seconds(), b.burst)
	b.at = now
	if bytes > onePacket && b.tokens < min(float64(bytes), b.burst) {
		return false
	}
	b.tokens -= float64(bytes)
	return true
}
