package placement

import (
	"container/list"
	"slices"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/ablate"
)

// Prefix is the beginning of a prompt, up to the end of one of its parts.
type Prefix struct {
	// Hash identifies the whole prefix, together with the model. A target that has cached a part
	// under this hash has cached all parts before it.
	Hash uint64
	// Tokens is the number of tokens in the whole prefix.
	Tokens int
}

// PrefixRead reports that a target has read a prompt prefix that it did not hold before.
type PrefixRead struct {
	Prefix uint64 // hash of the prefix
	Target uint64
}

const (
	// maxPrefixes is how many prefixes an inventory remembers, at about 150 bytes each. Fleets use
	// some hundred prefixes. The least recently used ones are dropped.
	maxPrefixes = 8192
	// maxHolders is how many holders are remembered for a prefix: the chat's home, the targets that
	// it spills to, and, for a prefix that many chats share, some targets in each data centre.
	maxHolders = 8
	// holderTTL is how long after its last use a target is assumed to hold a prefix. Targets cache
	// until their memory is full. Fetching from a target that has dropped the prefix costs the
	// request a round trip.
	holderTTL = time.Minute
	// minReportedTokens is the length of the shortest prefix that is reported to other routers. A
	// shorter one is read again within about one step of a batch.
	minReportedTokens = 256
	// maxUnreported limits the queue of unreported reads; the oldest are dropped.
	maxUnreported = 512
)

// inventory remembers which targets hold which prompt prefixes. It learns that from the answers to
// this router's requests and from the reports of other routers. A target that is still reading a
// prompt has nothing to share yet. An entry may be wrong: a target may have dropped a prefix since.
type inventory struct {
	byHash     map[uint64]*list.Element // of *prefixHolders
	recent     *list.List               // most recently used first
	unreported []PrefixRead
}

type prefixHolders struct {
	hash    uint64
	holders []holder // most recent reader first
}

type holder struct {
	target     uint64
	lastUsedAt time.Time // when the target last read or used the prefix, as far as this router knows
}

func newInventory() *inventory {
	return &inventory{byHash: make(map[uint64]*list.Element), recent: list.New()}
}

// recordRead records that a target has read the prompt of a request of this router.
func (v *inventory) recordRead(now time.Time, prefixes []Prefix, target uint64) {
	if ablate.IsOff(ablate.Inventory) {
		return
	}
	for _, p := range prefixes {
		if v.addHolder(now, p.Hash, target) && p.Tokens >= minReportedTokens {
			v.unreported = append(v.unreported, PrefixRead{Prefix: p.Hash, Target: target})
		}
	}
	if excess := len(v.unreported) - maxUnreported; excess > 0 {
		v.unreported = append(v.unreported[:0], v.unreported[excess:]...)
	}
}

// addHolder records that a target holds a prefix, and reports whether the target had no fresh entry
// for it.
func (v *inventory) addHolder(now time.Time, hash, target uint64) bool {
	e, ok := v.byHash[hash]
	if !ok {
		e = v.recent.PushFront(&prefixHolders{hash: hash})
		v.byHash[hash] = e
		if v.recent.Len() > maxPrefixes {
			delete(v.byHash, v.recent.Remove(v.recent.Back()).(*prefixHolders).hash)
		}
	}
	v.recent.MoveToFront(e)
	return e.Value.(*prefixHolders).addHolder(now, target)
}

func (h *prefixHolders) addHolder(now time.Time, target uint64) (isNew bool) {
	i := slices.IndexFunc(h.holders, func(o holder) bool { return o.target == target })
	if i < 0 || !h.holders[i].isFresh(now) {
		isNew = true
	}
	if i < 0 {
		if len(h.holders) < maxHolders {
			h.holders = append(h.holders, holder{})
		}
		i = len(h.holders) - 1
	}
	h.holders[i] = holder{target: target, lastUsedAt: now}
	for ; i > 0; i-- {
		h.holders[i], h.holders[i-1] = h.holders[i-1], h.holders[i]
	}
	return isNew
}

// takeUnreported removes at most limit reads from the queue of unreported ones and returns them.
func (v *inventory) takeUnreported(limit int) []PrefixRead {
	n := min(limit, len(v.unreported))
	out := slices.Clone(v.unreported[:n])
	v.unreported = append(v.unreported[:0], v.unreported[n:]...)
	return out
}

// holders returns the recorded holders of a prefix, the most recent reader first.
func (v *inventory) holders(hash uint64) []holder {
	if e, ok := v.byHash[hash]; ok {
		return e.Value.(*prefixHolders).holders
	}
	return nil
}

// isHeldBy reports whether a target is assumed to hold a prefix.
func (v *inventory) isHeldBy(now time.Time, hash, target uint64) bool {
	return slices.ContainsFunc(v.holders(hash), func(h holder) bool { return h.target == target && h.isFresh(now) })
}

// longestHeldBy returns the longest prefix that a target holds, the zero Prefix if none is known.
func (v *inventory) longestHeldBy(now time.Time, prefixes []Prefix, target uint64) Prefix {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if v.isHeldBy(now, prefixes[i].Hash, target) {
			return prefixes[i]
		}
	}
	return Prefix{}
}

// longestHeldElsewhere returns the longest prefix that another target than t holds, and that
// target. It prefers a target in the data centre of t, since a transfer between data centres takes
// twice as long. The Prefix is zero if there is none. usable returns the target of a UID and
// whether it may be fetched from.
func (v *inventory) longestHeldElsewhere(now time.Time, prefixes []Prefix, t *target, usable func(target uint64) (*target, bool)) (Prefix, *target) {
	for i := len(prefixes) - 1; i >= 0; i-- {
		var best *target
		for _, h := range v.holders(prefixes[i].Hash) {
			if h.target == t.UID || !h.isFresh(now) {
				continue
			}
			o, ok := usable(h.target)
			if ok && (best == nil || (best.DataCentre != t.DataCentre && o.DataCentre == t.DataCentre)) {
				best = o
			}
		}
		if best != nil {
			return prefixes[i], best
		}
	}
	return Prefix{}, nil
}

// isFresh reports whether the target has probably not dropped the prefix.
func (h *holder) isFresh(now time.Time) bool { return now.Sub(h.lastUsedAt) < holderTTL }

// TakePrefixReads removes at most limit reads from the queue of those not reported to other routers
// yet, and returns them.
func (b *Balancer) TakePrefixReads(limit int) []PrefixRead { return b.inventory.takeUnreported(limit) }

// ReceivePrefixReads records the prefix reads that another router reported.
func (b *Balancer) ReceivePrefixReads(now time.Time, reads []PrefixRead) {
	if ablate.IsOff(ablate.CacheReports) {
		return
	}
	for _, r := range reads {
		b.inventory.addHolder(now, r.Prefix, r.Target)
	}
}
