package placement

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/prefill"
)

// UnreadPrefix is a prefix of a prompt that no known target holds.
type UnreadPrefix struct {
	Prefix Prefix
	// Target is the lifetime that placement would choose now, and ReadTime how long it is expected to take
	// for the prompt.
	Target   uint64
	ReadTime time.Duration
}

// assumedSecondsPerToken is the time to read a token before the pool's latency model is fitted: most
// prefixes are read a second time in the first seconds of a fleet.
const assumedSecondsPerToken = 30e-6

// FindUnreadPrefix returns the longest prefix of a prompt if no known target holds it and it is worth a
// claim, see prefill.IsWorthClaiming. It counts nothing. It returns false for pools that are not
// scheduled by work.
func (b *Balancer) FindUnreadPrefix(now time.Time, r Request) (UnreadPrefix, bool) {
	n := len(r.PromptPrefixes)
	if n == 0 || r.PromptTokens <= 0 || !b.IsScheduledByWork(r.Pool) {
		return UnreadPrefix{}, false
	}
	p, longest := b.pools[r.Pool], r.PromptPrefixes[n-1]
	if !prefill.IsWorthClaiming(longest.Tokens, 0) {
		return UnreadPrefix{}, false
	}
	if _, ok := b.PrefixHolder(now, r.Pool, longest.Hash); ok {
		return UnreadPrefix{}, false
	}
	t, _ := b.chooseTarget(now, p, r, b.loadBound(p))
	if t == nil {
		return UnreadPrefix{}, false
	}
	held := b.inventory.longestHeldBy(now, r.PromptPrefixes, t.UID)
	elsewhere, _ := b.longestHeldElsewhere(now, r, t)
	if !prefill.IsWorthClaiming(longest.Tokens, max(held.Tokens, elsewhere.Tokens)) {
		return UnreadPrefix{}, false
	}
	return UnreadPrefix{Prefix: longest, Target: t.UID, ReadTime: b.expectedReadTime(now, r, t)}, true
}

// expectedReadTime returns the expected time to the first event of a request at a target, also while the
// latency model is not fitted. The target first reads what the fleet has sent to it before, at the pace
// that it reports.
func (b *Balancer) expectedReadTime(now time.Time, r Request, t *target) time.Duration {
	base, perToken, slowdown := unknownFirstEventSeconds, assumedSecondsPerToken, 1.0
	if m := t.pool.model; m.isFitted() {
		base, perToken, slowdown = m.base, m.perToken, b.answeredSlowdown(now, t)
	}
	tokens := b.unreadTokens(now, r, t) + float64(t.unreadBacklog())
	return time.Duration((base + perToken*tokens) * max(slowdown, t.pace(now)) * float64(time.Second))
}

// PrefixHolder returns a target of a pool that holds a prefix and gets requests.
func (b *Balancer) PrefixHolder(now time.Time, pool string, hash uint64) (uid uint64, ok bool) {
	for _, h := range b.inventory.holders(hash) {
		t, known := b.byUID[h.target]
		if known && h.isFresh(now) && t.isListed() && t.pool == b.pools[pool] && !t.isClosed(now) && !t.health.isSuspended(now) {
			return t.UID, true
		}
	}
	return 0, false
}

// chooseTarget returns the preferred target of a request if that is usable and has room, and otherwise
// the one that the pool's rules choose; nil if there is none.
func (b *Balancer) chooseTarget(now time.Time, p *pool, r Request, bound float64) (*target, Rule) {
	if t := b.preferredTarget(now, p, r, bound); t != nil {
		return t, RuleReader
	}
	return b.chooseByVersion(now, p, r, bound)
}

// preferredTarget returns the preferred target of a request if it is usable and within the load bound.
func (b *Balancer) preferredTarget(now time.Time, p *pool, r Request, bound float64) *target {
	if r.PreferredTarget == 0 {
		return nil
	}
	t, ok := b.byUID[r.PreferredTarget]
	if !ok || !t.isListed() || t.pool != p || t.isClosed(now) || r.excludes(t, bound) || !t.hasRoom(bound) || float64(t.totalOpen()+1) > p.maxOpen {
		return nil
	}
	filter := newSkipFilter(now, p)
	filter.loadsOutdated = r.LoadsOutdated
	if filter.skips(t) {
		return nil
	}
	return t
}
