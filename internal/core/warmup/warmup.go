// Package warmup limits the request rate of a cold target over all routers, without coordination
// between them. A few of the routers may send to a cold target, each of them one request a second.
// Rendezvous hashing of the routers' addresses selects them, so all routers compute the same
// selection without messages. The number of selected routers is the limit: it holds even if
// messages are lost or delayed or a router stalls.
//
// Two routers that know different sets of members may disagree on the selection. For this reason
// only half as many routers are selected as the target can take requests a second: if a network
// partition splits the fleet in two halves that have forgotten each other, both halves together
// stay within the limit. For the same reason, members are forgotten only long after they became
// silent.
package warmup

import (
	"cmp"
	"slices"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
)

const (
	// SendInterval is the least time between two requests of one router to the same cold target. It
	// exceeds one second, the period of the limit, by the possible clock error and by the time that
	// writing a request may take.
	SendInterval = 1100 * time.Millisecond
	// StartupDelay is how long a router sends no requests to cold targets after its own start.
	// Until then it knows too few members of the fleet, and not what its previous process sent.
	StartupDelay = 2 * time.Second
	// disagreementFactor is the greatest ratio of the routers that consider themselves selected to
	// those that should be, if routers know different members.
	disagreementFactor = 2
)

// Fleet is the set of routers that this router knows. It is immutable.
type Fleet struct {
	self      uint64
	others    []uint64
	addresses []string // of the others
}

// NewFleet returns the fleet of the router with the address self and the routers with the addresses
// others.
func NewFleet(self string, others []string) *Fleet {
	f := &Fleet{self: rendezvous.Hash(self), others: make([]uint64, len(others)), addresses: others}
	for i, o := range others {
		f.others[i] = rendezvous.Hash(o)
	}
	return f
}

// Size returns the number of routers, this one included.
func (f *Fleet) Size() int { return len(f.others) + 1 }

// Quota returns how many of a target's slots are this router's own. The quotas of all routers add up
// to the slots if they know the same members.
func (f *Fleet) Quota(target uint64, slots int) int {
	quota, rest := slots/f.Size(), slots%f.Size()
	own := rendezvous.Mix(f.self, target)
	for _, o := range f.others {
		if rendezvous.Mix(o, target) > own {
			rest--
		}
	}
	if rest > 0 {
		quota++
	}
	return quota
}

// Holders returns the other routers that have a quota of a target's slots.
func (f *Fleet) Holders(target uint64, slots int) []string {
	order := make([]int, len(f.others))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(rendezvous.Mix(f.others[b], target), rendezvous.Mix(f.others[a], target))
	})
	out := make([]string, 0, min(slots, len(order)))
	for _, i := range order[:min(slots, len(order))] {
		out = append(out, f.addresses[i])
	}
	return out
}

// MaySend reports whether this router is selected to send to a cold target that may get perSecond
// requests a second.
func (f *Fleet) MaySend(target uint64, perSecond int) bool {
	selected := max(perSecond/disagreementFactor, 1)
	own := rendezvous.Mix(f.self, target)
	for _, o := range f.others {
		if rendezvous.Mix(o, target) > own {
			if selected--; selected == 0 {
				return false
			}
		}
	}
	return true
}

// MaxPerSecond returns how many requests a cold target may get in any second: the rate that its
// pool declares, times the operators' multiple, plus their slack. It returns 0 if the pool declares
// no rate.
func MaxPerSecond(declared, multiple, slack float64) int {
	if declared <= 0 {
		return 0
	}
	return max(int(declared*multiple+slack), 1)
}
