package placement

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/warmup"
)

// cold is what is known of a target's start: while it is cold it gets next to nothing, see package warmup. Its chats stay where they
// are, which all routers know alike, and it takes requests only that would wait elsewhere.
type cold struct {
	until time.Time
	// last is when this router placed or sent a request there last while it was cold, or learned that it is: what was sent before
	// that counts in the same second.
	last   time.Time
	holder uint64 // sequence of the placement that last is of
}

// learn takes in that the target is cold for a time from now on. Of two words the one that lasts longer counts: which one is the later
// can't be told, and the other may speak of the time before the target became cold again.
func (c *cold) learn(now time.Time, d time.Duration) {
	until := now.Add(d)
	if d <= 0 || !until.After(c.until) {
		return
	}
	if !c.until.After(now) {
		c.last, c.holder = now, 0
	}
	c.until = until
}

func (c *cold) placed(now time.Time, sequence uint64) {
	if c.until.After(now) {
		c.last, c.holder = now, sequence
	}
}

// isCold reports whether the target gets next to nothing because it is cold.
func (t *target) isCold(now time.Time) bool {
	return t.cold.until.After(now) && t.pool.coldPerSecond > 0
}

// bears reports whether this router may send a request to the target, which is cold.
func (b *Balancer) bears(now time.Time, t *target) bool {
	return b.fleet != nil && now.Sub(t.cold.last) >= warmup.SendInterval && b.fleet.MaySend(t.UID, t.pool.coldPerSecond)
}

// SetFleet tells which routers there are, this one included. Until it is called, cold targets get nothing.
func (b *Balancer) SetFleet(f *warmup.Fleet) { b.fleet = f }

// MarkCold takes in that a target says for how long it is cold, and reports whether it was taken for warm.
func (b *Balancer) MarkCold(now time.Time, uid uint64, d time.Duration) (news bool) {
	t, ok := b.byUID[uid]
	if !ok {
		return false
	}
	before := t.cold.until.After(now)
	t.cold.learn(now, d)
	return !before && t.isCold(now)
}

// CountCold returns how many listed targets are cold.
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

// coldWithRoom returns the cold target for an ask: the first one in the chat's order that has a place free and that this router may
// send to; nil if there is none.
func (b *Balancer) coldWithRoom(now time.Time, p *pool, a Request) *target {
	if p.coldPerSecond == 0 {
		return nil
	}
	var best *target
	var bestWeight uint64
	order := p.order(a.Chat, func(*target) bool { return false })
	for _, t := range p.targets {
		if !t.isCold(now) || t.closed(now) || a.excludes(t.UID) || t.health.suspended(now) || t.ejected(now) || !t.hasRoom() {
			continue
		}
		if w := order.weight(t); (best == nil || w > bestWeight) && b.bears(now, t) {
			best, bestWeight = t, w
		}
	}
	return best
}

// returnFromCold is the longest time that callers are told to stay away because all targets are cold: another router may send one.
const returnFromCold = time.Second

// ColdRetryAfter returns for how long callers should stay away because all targets of a pool that stay are cold; 0 if one is not.
func (b *Balancer) ColdRetryAfter(now time.Time, pool string) time.Duration {
	p, ok := b.pools[pool]
	if !ok {
		return 0
	}
	left := time.Duration(0)
	for _, t := range p.targets {
		switch {
		case !t.stays():
		case !t.isCold(now):
			return 0
		default:
			if l := t.cold.until.Sub(now); left == 0 || l < left {
				left = l
			}
		}
	}
	return min(left, returnFromCold)
}
