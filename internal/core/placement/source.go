package placement

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/ablate"
)

// youngFor is how long a target that joined is taken not to hold the chats that
// are its own by rendezvous order. Most chats return within that time.
const youngFor = 20 * time.Second

// source returns the address of a target from which t should fetch cached parts of the prompt, empty
// if it probably has them or nobody has. Fetching a part takes less time than reading it again,
// and costs less.
//
// A target that is known to have read all of the prompt comes first. If there is none, rendezvous order
// tells who had the chat, if anybody; a chat that is new fetches what others share with it.
func (b *Balancer) source(now time.Time, p *pool, a Request, t *target) string {
	if a.Chat == 0 || ablate.Off(ablate.Fetch) {
		return ""
	}
	held := b.held.at(now, a.PromptPrefixes, t.UID)
	if a.whole(held) {
		return ""
	}
	best, from := b.deepest(now, a, t)
	if a.whole(best) {
		return from.Address
	}
	if before := formerHome(now, p, a, t); before != nil {
		return before.Address
	}
	if best.Tokens > held.Tokens {
		return from.Address
	}
	return ""
}

// gives reports whether cached parts may be fetched from a target.
func (t *target) gives(now time.Time) bool { return !t.health.suspended(now) && !t.pause.holds(now) }

// deepest returns the longest beginning of the prompt that another target holds, and that target; the Part
// is empty if there is none.
func (b *Balancer) deepest(now time.Time, a Request, t *target) (Prefix, *target) {
	return b.held.deepest(now, a.PromptPrefixes, t, func(uid uint64) (*target, bool) {
		o, ok := b.byUID[uid]
		return o, ok && o.pool == t.pool && o.gives(now)
	})
}

// whole reports whether a beginning is all of the prompt that can be held.
func (a *Request) whole(p Prefix) bool {
	return len(a.PromptPrefixes) > 0 && p.Hash == a.PromptPrefixes[len(a.PromptPrefixes)-1].Hash
}

// formerHome returns the target that the chat's requests went to before they go to t: the
// first in the chat's order of those that served before t joined, if t is young, and the first of all,
// a leaving one as well, if t is not that. Targets that join together, as at the start of a fleet, have
// nothing for each other. It is nil if t is the chat's home of old.
func formerHome(now time.Time, p *pool, a Request, t *target) *target {
	young := now.Sub(t.joined) < youngFor
	var best *target
	order := p.order(a.Chat, func(*target) bool { return false })
	weight := order.weight(t)
	var bestWeight uint64
	for _, o := range p.targets {
		w := order.weight(o)
		if o == t || !o.gives(now) || (!young && w < weight) {
			continue
		}
		if young && !o.servedBefore(t.joined) || !young && now.Sub(o.joined) < youngFor {
			continue
		}
		if best == nil || w > bestWeight {
			best, bestWeight = o, w
		}
	}
	return best
}
