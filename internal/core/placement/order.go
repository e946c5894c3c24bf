package placement

import (
	"math"

	"github.com/hemlockdyke/hemlockdyke/internal/core/ablate"
	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
)

// centre is a data centre with targets of a pool.
type centre struct {
	name    string
	seed    uint64
	weight  float64
	staying float64 // targets that don't leave
}

// maxCentres is how many data centres of a pool are told apart; the targets of any others rank
// last.
const maxCentres = 32

// centres returns the data centres of a pool's targets, and notes at each target which is its own.
//
// A data centre's weight is the number of its staying targets against the mean of all, rounded
// to a power of two. A weight that followed each target that comes or goes would move chats
// between data centres, where a move takes twice as long and is paid for twice; rounded, a
// target's share differs from the mean by at most the square root of two before spills even it out. A data centre of which none
// stays counts for nothing: the others' weights are the same with it and without.
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
		if t.stays() {
			out[i].weight++
			staying++
		}
	}
	used := 0
	for i := range out {
		if out[i].weight > 0 {
			used++
		}
	}
	mean := float64(staying) / float64(max(used, 1))
	for i := range out {
		out[i].staying = out[i].weight
		if out[i].weight > 0 {
			out[i].weight = math.Exp2(math.Round(math.Log2(out[i].weight / mean)))
		}
	}
	return out
}

// left returns the data centre's weight without some of its staying targets, in steps of two as well.
func (c *centre) left(without float64) float64 {
	switch {
	case without == 0:
		return c.weight
	case without >= c.staying:
		return 0
	}
	return c.weight * math.Exp2(math.Round(math.Log2(1-without/c.staying)))
}

// order is a chat's order of the targets of a pool: by data centre, and in each by target. Every
// router computes the same. What spills or moves stays in its data centre while that has room.
type order struct {
	chat uint64
	rank [maxCentres]uint8 // 0 is the last
}

// order returns a chat's order. A data centre of which more than three in ten targets are passed over for now
// has a lower weight: the few left would get all of its chats, up to the bound.
func (p *pool) order(chat uint64, skip func(*target) bool) order {
	o := order{chat: chat}
	var passedOver [maxCentres]float64
	for _, t := range p.targets {
		if t.centre < maxCentres && t.stays() && skip(t) {
			passedOver[t.centre]++
		}
	}
	if ablate.IsOff(ablate.DataCentreOrder) {
		return o
	}
	var score [maxCentres]float64
	n := min(len(p.centres), maxCentres)
	for i, c := range p.centres[:n] {
		u := (float64(rendezvous.Mix(chat, c.seed)>>11) + 0.5) / (1 << 53)
		score[i] = -c.left(passedOver[i]) / math.Log(u) // weighted rendezvous: the share is as the weight
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
