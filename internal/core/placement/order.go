package placement

import (
	"math"

	"github.com/hemlockdyke/hemlockdyke/internal/core/ablate"
	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
)

// centre is a data centre with targets of a pool.
type centre struct {
	name   string
	seed   uint64
	weight float64
}

// maxCentres is how many data centres of a pool are told apart; the targets of any others rank
// last.
const maxCentres = 32

// centres returns the data centres of a pool's targets, and notes at each target which is its own.
//
// A data centre's weight is the number of its staying targets against the mean of all, rounded
// to a power of two. A weight that followed each target that comes or goes would move chats
// between data centres, where a move takes twice as long and is paid for twice; rounded, a
// target's share differs from the mean by at most the square root of two before spills even it out.
func centres(targets []*target) []centre {
	var out []centre
	index := make(map[string]int)
	staying := 0
	for _, t := range targets {
		i, ok := index[t.DataCentre]
		if !ok {
			i = len(out)
			index[t.DataCentre] = i
			out = append(out, centre{name: t.DataCentre, seed: rendezvous.Hash(t.DataCentre)})
		}
		t.centre = i
		if !t.Leaving {
			out[i].weight++
			staying++
		}
	}
	mean := float64(staying) / float64(max(len(out), 1))
	for i := range out {
		if out[i].weight > 0 {
			out[i].weight = math.Exp2(math.Round(math.Log2(out[i].weight / mean)))
		}
	}
	return out
}

// order is a chat's order of the targets of a pool: by data centre, and in each by target. Every
// router computes the same. What spills or moves stays in its data centre while that has room.
type order struct {
	chat uint64
	rank [maxCentres]uint8 // 0 is the last
}

func (p *pool) order(chat uint64) order {
	o := order{chat: chat}
	if ablate.Off(ablate.Centres) {
		return o
	}
	var score [maxCentres]float64
	n := min(len(p.centres), maxCentres)
	for i, c := range p.centres[:n] {
		u := (float64(rendezvous.Mix(chat, c.seed)>>11) + 0.5) / (1 << 53)
		score[i] = -c.weight / math.Log(u) // weighted rendezvous: the share is as the weight
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

// rankBits is how much of a target's weight its data centre takes.
const rankBits = 8

// weight returns a target's place in the order; the highest is the first.
func (o *order) weight(t *target) uint64 {
	rank := uint8(0)
	if t.centre < maxCentres {
		rank = o.rank[t.centre]
	}
	return uint64(rank)<<(64-rankBits) | rendezvous.Mix(o.chat, t.seed)>>rankBits
}
