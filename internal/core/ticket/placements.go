package ticket

import (
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
)

const (
	// maxPlacements is the maximum number of chats whose placements a router remembers per pool.
	maxPlacements = 20_000
	// placementsPerExchange is the maximum number of placements in one exchange.
	placementsPerExchange = 500
)

// placement records that a chat ran at a target.
type placement struct {
	target   uint64
	placedAt time.Time
}

// placements records on which targets this router's chats ran. Every grant of a pool goes
// through one of the routers, so together they know all placements. A new owner learns them from
// its followers and needs no stored copy. Two generations approximate least-recently-used
// eviction.
type placements struct {
	newer, older map[uint64]placement
	unsent       []uint64 // chats whose placements the current owner has not received
}

func newPlacements() placements {
	return placements{newer: make(map[uint64]placement), older: make(map[uint64]placement)}
}

func (p *placements) record(chat, target uint64, now time.Time) {
	if len(p.newer) >= maxPlacements/2 {
		p.older, p.newer = p.newer, make(map[uint64]placement)
	}
	p.newer[chat] = placement{target: target, placedAt: now}
}

// markAllUnsent schedules all placements to be sent to a new owner.
func (p *placements) markAllUnsent() {
	all := make(map[uint64]placement, len(p.newer)+len(p.older))
	for chat, found := range p.older {
		all[chat] = found
	}
	for chat, found := range p.newer {
		all[chat] = found
	}
	p.unsent = sortedKeys(all)
}

func (p *placements) hasUnsent() bool { return len(p.unsent) > 0 }

// nextBatch returns the next unsent placements and marks them as sent.
func (p *placements) nextBatch(now time.Time) []*peerv1.Placement {
	n := min(len(p.unsent), placementsPerExchange)
	var out []*peerv1.Placement
	for _, chat := range p.unsent[:n] {
		found, ok := p.newer[chat]
		if !ok {
			found, ok = p.older[chat]
		}
		if ok {
			out = append(out, &peerv1.Placement{
				Chat: chat, Target: found.target, AgeSeconds: uint32(now.Sub(found.placedAt).Seconds()),
			})
		}
	}
	p.unsent = p.unsent[n:]
	return out
}
