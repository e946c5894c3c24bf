package placement

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/ablate"
)

// newTargetPeriod is how long after it joined a target is assumed not to hold the chats that are
// its own by rendezvous order. Most chats return within that time.
const newTargetPeriod = 20 * time.Second

// cacheSource returns the address of a target from which t should fetch cached prefixes of the
// prompt; empty if t probably has them or no other target does. Fetching a prefix is faster and
// cheaper than reading it again.
//
// A target that is known to have read the whole prompt comes first. Without one, the rendezvous
// order gives the chat's former home, if it has one. A new chat fetches the prefix that it shares
// with others.
func (b *Balancer) cacheSource(now time.Time, p *pool, r Request, t *target) string {
	if r.ChatHash == 0 || ablate.IsOff(ablate.CacheFetch) {
		return ""
	}
	held := b.inventory.longestHeldBy(now, r.PromptPrefixes, t.UID)
	if r.coversPrompt(held) {
		return ""
	}
	elsewhere, from := b.longestHeldElsewhere(now, r, t)
	if r.coversPrompt(elsewhere) {
		return from.Address
	}
	if former := formerHome(now, p, r, t); former != nil {
		return former.Address
	}
	if elsewhere.Tokens > held.Tokens {
		return from.Address
	}
	return ""
}

// sharesWith reports whether another target may fetch cached prefixes from the target. What one
// software version has cached need not fit another.
func (t *target) sharesWith(now time.Time, other *target) bool {
	return t.software == other.software && !t.health.isSuspended(now) && !t.pause.isOn(now)
}

// longestHeldElsewhere returns the longest prefix of the prompt that another target of the pool
// holds, and that target; the Prefix is zero if there is none.
func (b *Balancer) longestHeldElsewhere(now time.Time, r Request, t *target) (Prefix, *target) {
	return b.inventory.longestHeldElsewhere(now, r.PromptPrefixes, t, func(uid uint64) (*target, bool) {
		o, ok := b.byUID[uid]
		return o, ok && o.sharesWith(now, t)
	})
}

// coversPrompt reports whether p is the longest prefix of the prompt.
func (r *Request) coversPrompt(p Prefix) bool {
	return len(r.PromptPrefixes) > 0 && p.Hash == r.PromptPrefixes[len(r.PromptPrefixes)-1].Hash
}

// formerHome returns the target that probably got the chat's requests before t, leaving targets
// included. If t is new, that is the first one in the chat's order that served requests before t
// joined: targets that join together, as at the start of a fleet, have nothing to share. If t is
// not new, it is the first one before t in the order that is not new either. Targets from which
// nothing may be fetched are passed over. It returns nil if there is no such target, as when t is
// not new and is the chat's home itself.
func formerHome(now time.Time, p *pool, r Request, t *target) *target {
	isNew := now.Sub(t.joinedAt) < newTargetPeriod
	var best *target
	order := p.chatOrder(r.ChatHash, func(*target) bool { return false })
	weight := order.weight(t)
	var bestWeight uint64
	for _, o := range p.targets {
		w := order.weight(o)
		if o == t || !o.sharesWith(now, t) || (!isNew && w < weight) {
			continue
		}
		if isNew && !o.servedBefore(t.joinedAt) || !isNew && now.Sub(o.joinedAt) < newTargetPeriod {
			continue
		}
		if best == nil || w > bestWeight {
			best, bestWeight = o, w
		}
	}
	return best
}
