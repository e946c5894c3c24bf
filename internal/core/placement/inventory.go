package placement

import (
	"container/list"
	"slices"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/ablate"
)

// Prefix is the beginning of a prompt up to the end of one of its parts.
type Prefix struct {
	// Hash names the part together with the model and all parts before it: a target that has
	// cached it has cached the whole beginning.
	Hash uint64
	// Tokens are those of the whole beginning.
	Tokens int
}

// PrefixRead says that a target has read a beginning of a prompt that it had not read before.
type PrefixRead struct {
	Prefix uint64 // hash of the beginning
	Target uint64
}

const (
	// maxParts is how many beginnings an inventory remembers, about 150 bytes each. The fleets of today
	// have some hundred in use; of more, those last used stay.
	maxParts = 8192
	// maxHolders is how many targets are remembered for each: the chat's home, those that it spills to,
	// and for a beginning that many chats share, some in each data centre.
	maxHolders = 8
	// heldFor is how long a target is taken to keep what nobody asked it for. Targets cache until their memory is
	// full. Asking one that has dropped a part costs its request a round trip.
	heldFor = time.Minute
	// tellTokens is the shortest beginning that others are told of: reading it takes about a step of a batch.
	tellTokens = 256
	// maxUntold bounds what waits to be told; the oldest is left out.
	maxUntold = 512
)

// inventory remembers which targets have read which beginnings of prompts: those that answered this
// router's requests, and those that the others told of. A target that is still reading has
// nothing to give. It is a router's belief; a target may have dropped a part since.
type inventory struct {
	byHash map[uint64]*list.Element // of *holding
	recent *list.List               // last used first
	untold []PrefixRead
}

type holding struct {
	hash    uint64
	holders []holder // the one that read it last first
}

type holder struct {
	target uint64
	last   time.Time // when it was asked for it last
}

func newInventory() *inventory {
	return &inventory{byHash: make(map[uint64]*list.Element), recent: list.New()}
}

// read notes that a target has read a prompt of this router.
func (v *inventory) read(now time.Time, prompt []Prefix, target uint64) {
	if ablate.Off(ablate.Inventory) {
		return
	}
	for _, p := range prompt {
		if v.note(now, p.Hash, target) && p.Tokens >= tellTokens {
			v.untold = append(v.untold, PrefixRead{Prefix: p.Hash, Target: target})
		}
	}
	if over := len(v.untold) - maxUntold; over > 0 {
		v.untold = append(v.untold[:0], v.untold[over:]...)
	}
}

// note reports whether the target is not known to hold the beginning yet.
func (v *inventory) note(now time.Time, part, target uint64) bool {
	e, ok := v.byHash[part]
	if !ok {
		e = v.recent.PushFront(&holding{hash: part})
		v.byHash[part] = e
		if v.recent.Len() > maxParts {
			delete(v.byHash, v.recent.Remove(v.recent.Back()).(*holding).hash)
		}
	}
	v.recent.MoveToFront(e)
	return e.Value.(*holding).note(now, target)
}

func (h *holding) note(now time.Time, target uint64) (news bool) {
	at := slices.IndexFunc(h.holders, func(o holder) bool { return o.target == target })
	if at < 0 || !h.holders[at].kept(now) {
		news = true
	}
	if at < 0 {
		if len(h.holders) < maxHolders {
			h.holders = append(h.holders, holder{})
		}
		at = len(h.holders) - 1
	}
	h.holders[at] = holder{target: target, last: now}
	for ; at > 0; at-- {
		h.holders[at], h.holders[at-1] = h.holders[at-1], h.holders[at]
	}
	return news
}

// take returns up to a number of what has not been told yet, and takes it for told.
func (v *inventory) take(most int) []PrefixRead {
	n := min(most, len(v.untold))
	out := slices.Clone(v.untold[:n])
	v.untold = append(v.untold[:0], v.untold[n:]...)
	return out
}

// holders returns the targets that hold a beginning, the one that read it last first.
func (v *inventory) holders(part uint64) []holder {
	if e, ok := v.byHash[part]; ok {
		return e.Value.(*holding).holders
	}
	return nil
}

// keeps reports whether a target holds a beginning.
func (v *inventory) keeps(now time.Time, part, target uint64) bool {
	return slices.ContainsFunc(v.holders(part), func(h holder) bool { return h.target == target && h.kept(now) })
}

// at returns the longest beginning that a target holds, empty if none is known.
func (v *inventory) at(now time.Time, prompt []Prefix, target uint64) Prefix {
	for i := len(prompt) - 1; i >= 0; i-- {
		if v.keeps(now, prompt[i].Hash, target) {
			return prompt[i]
		}
	}
	return Prefix{}
}

// deepest returns the longest beginning that another target than t holds, and that target: one in the
// data centre of t if there is one, since a move between data centres takes twice as long. The
// Part is empty if there is none. usable says whether a target may be asked.
func (v *inventory) deepest(now time.Time, prompt []Prefix, t *target, usable func(target uint64) (*target, bool)) (Prefix, *target) {
	for i := len(prompt) - 1; i >= 0; i-- {
		var best *target
		for _, h := range v.holders(prompt[i].Hash) {
			if h.target == t.UID || !h.kept(now) {
				continue
			}
			o, ok := usable(h.target)
			if ok && (best == nil || (best.DataCentre != t.DataCentre && o.DataCentre == t.DataCentre)) {
				best = o
			}
		}
		if best != nil {
			return prompt[i], best
		}
	}
	return Prefix{}, nil
}

// kept reports whether the target has probably not dropped the beginning.
func (h *holder) kept(now time.Time) bool { return now.Sub(h.last) < heldFor }

// TakePrefixReads returns up to a number of what the others have not been told of yet.
func (b *Balancer) TakePrefixReads(most int) []PrefixRead { return b.held.take(most) }

// ReceivePrefixReads takes in what another router saw read.
func (b *Balancer) ReceivePrefixReads(now time.Time, read []PrefixRead) {
	if ablate.Off(ablate.Told) {
		return
	}
	for _, r := range read {
		b.held.note(now, r.Prefix, r.Target)
	}
}
