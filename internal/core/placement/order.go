package placement

import (
	"math"

	"github.com/hemlockdyke/hemlockdyke/internal/core/ablate"
	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
)

// dataCentre is a data centre with targets of a pool.
type dataCentre struct {
	name         string
	seed         uint64
	relativeSize float64 // see pool.updateSizes
	activeCount  float64 // number of active targets
	listedCount  int     // number of targets
}

// maxDataCentres is how many data centres of a pool are ranked; the targets in any others rank
// last.
const maxDataCentres = 32

// relativeSizeWithout returns the data centre's relative size if some of its active targets are
// skipped, also rounded to a power of two.
func (c *dataCentre) relativeSizeWithout(skipped float64) float64 {
	switch {
	case skipped == 0:
		return c.relativeSize
	case skipped >= c.activeCount:
		return 0
	}
	return c.relativeSize * math.Exp2(math.Round(math.Log2(1-skipped/c.activeCount)))
}

// chatOrder is a chat's order of the targets of a pool: by data centre first, then by target. The
// first target is the chat's home. All routers compute the same order. Chats that spill or move
// stay in their data centre while it has room.
type chatOrder struct {
	chat uint64
	rank [maxDataCentres]uint8 // a higher rank comes earlier; 0 is the last
}

// chatOrder returns the order of a chat. A data centre of which about three in ten targets or more
// are skipped for now counts as smaller: its few remaining targets would otherwise get all of its
// chats, up to the load bound.
func (p *pool) chatOrder(chat uint64, skip func(*target) bool) chatOrder {
	o := chatOrder{chat: chat}
	var skipped [maxDataCentres]float64
	for _, t := range p.targets {
		if t.dataCentreIndex < maxDataCentres && t.isActive() && skip(t) {
			skipped[t.dataCentreIndex]++
		}
	}
	if ablate.IsOff(ablate.DataCentreOrder) {
		return o
	}
	var score [maxDataCentres]float64
	n := min(len(p.dataCentres), maxDataCentres)
	for i, c := range p.dataCentres[:n] {
		u := (float64(rendezvous.Mix(chat, c.seed)>>11) + 0.5) / (1 << 53)
		// Weighted rendezvous hashing: the share of chats is proportional to the size.
		score[i] = -c.relativeSizeWithout(skipped[i]) / math.Log(u)
	}
	for i := range n {
		for j := range n {
			if score[j] < score[i] || (score[j] == score[i] && j < i) {
				o.rank[i]++
			}
		}
	}
	return o
}

// rankBits is how many bits of a target's weight hold the rank of its data centre, see
// chatOrder.weight.
const rankBits = 8

// weight returns the rendezvous weight of a target: the target with the highest one is the first in
// the order.
func (o *chatOrder) weight(t *target) uint64 {
	rank := uint8(0)
	if t.dataCentreIndex < maxDataCentres {
		rank = o.rank[t.dataCentreIndex]
	}
	return uint64(rank)<<(64-rankBits) | rendezvous.Mix(o.chat, t.seed)>>rankBits
}
