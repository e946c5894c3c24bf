package placement

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/lineage"
	"github.com/hemlockdyke/hemlockdyke/internal/core/warmup"
)

// coldState is what this router knows about a target's warm-up. A cold target gets few requests,
// see package warmup. Its chats keep their place in the order, which all routers must compute
// alike, and it gets only requests that would wait elsewhere.
type coldState struct {
	until time.Time
	// lastSentAt is when this router last placed a request at the cold target or sent one to it.
	// It starts with the time at which the router learned that the target is cold, because the
	// requests that it sent just before count towards the limit as well.
	lastSentAt   time.Time
	lastSequence uint64 // sequence number of the placement that set lastSentAt; 0 if none did
}

// extend records that the target is cold for d from now. Of several reports, the one that lasts
// longest counts: their order is unknown, and a shorter one may describe an earlier cold period.
func (c *coldState) extend(now time.Time, d time.Duration) {
	until := now.Add(d)
	if d <= 0 || !until.After(c.until) {
		return
	}
	if !c.until.After(now) {
		c.lastSentAt, c.lastSequence = now, 0
	}
	c.until = until
}

func (c *coldState) recordPlacement(now time.Time, sequence uint64) {
	if c.until.After(now) {
		c.lastSentAt, c.lastSequence = now, sequence
	}
}

// isCold reports whether the target is cold and its pool limits what cold targets get.
func (t *target) isCold(now time.Time) bool {
	return t.cold.until.After(now) && t.pool.maxColdPerSecond > 0
}

// maySendCold reports whether this router may send a request to a cold target now.
func (b *Balancer) maySendCold(now time.Time, t *target) bool {
	return b.fleet != nil && now.Sub(t.cold.lastSentAt) >= warmup.SendInterval && b.fleet.MaySend(t.UID, t.pool.maxColdPerSecond)
}

// SetFleet sets the fleet, from which the routers that may send to a cold target are selected.
// Until it is called, cold targets get no requests.
func (b *Balancer) SetFleet(f *warmup.Fleet) { b.fleet = f }

// MarkCold records a target's own report that it is cold for d. isNew reports whether the target
// was considered warm before and its pool limits what cold targets get.
func (b *Balancer) MarkCold(now time.Time, uid uint64, d time.Duration) (isNew bool) {
	t, ok := b.byUID[uid]
	if !ok {
		return false
	}
	wasCold := t.cold.until.After(now)
	t.cold.extend(now, d)
	return !wasCold && t.isCold(now)
}

// CountCold returns the number of cold targets in the target list.
func (b *Balancer) CountCold(now time.Time) int {
	n := 0
	for _, p := range b.pools {
		for _, t := range p.targets {
			if t.isCold(now) {
				n++
			}
		}
	}
	return n
}

// chooseCold returns the cold target for a request: the first one in the chat's order that has a
// free slot and that this router may send to; nil if there is none.
func (b *Balancer) chooseCold(now time.Time, p *pool, r Request, bound float64) *target {
	if p.maxColdPerSecond == 0 {
		return nil
	}
	var best *target
	var bestWeight uint64
	order := p.chatOrder(r.ChatHash, func(*target) bool { return false })
	for _, t := range p.targets {
		if !t.isCold(now) || t.isClosed(now) || r.excludes(t, bound) || t.health.isSuspended(now) || t.isEjected(now) || !t.hasFreeSlot() {
			continue
		}
		if w := order.weight(t); (best == nil || w > bestWeight) && b.maySendCold(now, t) {
			best, bestWeight = t, w
		}
	}
	return best
}

// maxColdRetryAfter limits the time after which callers are asked to retry because all targets are
// cold. Another router may be able to send a request sooner.
const maxColdRetryAfter = time.Second

// ColdRetryAfter returns the time after which callers should retry because all active targets of a
// pool that run a software version are cold; 0 if one is not.
func (b *Balancer) ColdRetryAfter(now time.Time, pool string, s lineage.Software) time.Duration {
	p, ok := b.pools[pool]
	if !ok {
		return 0
	}
	shortest := time.Duration(0)
	for _, t := range p.targets {
		switch {
		case !t.isActive(), !t.runs(s):
		case !t.isCold(now):
			return 0
		default:
			if remaining := t.cold.until.Sub(now); shortest == 0 || remaining < shortest {
				shortest = remaining
			}
		}
	}
	return min(shortest, maxColdRetryAfter)
}
