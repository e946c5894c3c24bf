package ticket

import (
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
)

const (
	// maxPlacements bounds the chats that a router remembers per pool.
	maxPlacements = 20_000
	// placementsPerExchange bounds what one exchange carries of them.
	placementsPerExchange = 500
)

type placement struct {
	target uint64
	at     time.Time
}

// placements is where this router's chats ran. The routers together know what
// their pool's owner knows: every grant went through one of them. So a new owner
// learns from its followers where the chats are, and nothing need be kept for it.
type placements struct {
	young, older map[uint64]placement
	unsent       []uint64 // chats that the present owner has still to learn
}

func newPlacements() placements {
	return placements{young: make(map[uint64]placement), older: make(map[uint64]placement)}
}

func (p *placements) put(chat, target uint64, now time.Time) {
	if len(p.young) >= maxPlacements/2 {
		p.older, p.young = p.young, make(map[uint64]placement)
	}
	p.young[chat] = placement{target: target, at: now}
}

// resend starts over for an owner that knows nothing.
func (p *placements) resend() {
	all := make(map[uint64]placement, len(p.young)+len(p.older))
	for chat, v := range p.older {
		all[chat] = v
	}
	for chat, v := range p.young {
		all[chat] = v
	}
	p.unsent = sortedKeys(all)
}

func (p *placements) pending() bool { return len(p.unsent) > 0 }

// next returns some placements that the owner has still to learn.
func (p *placements) next(now time.Time) []*peerv1.Placement {
	n := min(len(p.unsent), placementsPerExchange)
	var out []*peerv1.Placement
	for _, chat := range p.unsent[:n] {
		v, ok := p.young[chat]
		if !ok {
			v, ok = p.older[chat]
		}
		if ok {
			out = append(out, &peerv1.Placement{
				Chat: chat, Target: v.target, AgeSeconds: uint32(now.Sub(v.at).Seconds()),
			})
		}
	}
	p.unsent = p.unsent[n:]
	return out
}
