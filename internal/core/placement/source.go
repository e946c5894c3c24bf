package placement

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
)

// youngFor is how long a target that joined is taken not to hold the chats that
// are its own by rendezvous order. Most chats return within that time.
const youngFor = 20 * time.Second

// source returns the address of the target that the chat's requests went to before
// they go to t: the first in the chat's order without t, if t is young, and the
// first of all, a leaving one as well, if t is not that. Fetching a cached part
// from there takes about a quarter of the time of reading it again and a tenth
// of its price (19 ms against 71 ms for 10,000 tokens, by the figures of today's engines).
func source(now time.Time, p *pool, a Ask, t *target) string {
	if a.Chat == 0 {
		return ""
	}
	young := now.Sub(t.joined) < youngFor
	var best *target
	weight := rendezvous.Mix(a.Chat, t.seed)
	var bestWeight uint64
	for _, o := range p.targets {
		w := rendezvous.Mix(a.Chat, o.seed)
		if o == t || o.health.suspended(now) || (!young && w < weight) {
			continue
		}
		if now.Sub(o.joined) < youngFor && !young {
			continue
		}
		if best == nil || w > bestWeight {
			best, bestWeight = o, w
		}
	}
	if best == nil {
		return ""
	}
	return best.Address
}
