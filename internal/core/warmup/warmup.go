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
	self   uint64
	others []uint64
}

// NewFleet returns the fleet of the router with the address self and the routers with the addresses
// others.
func NewFleet(self string, others []string) *Fleet {
	f := &Fleet{self: rendezvous.Hash(self), others: make([]uint64, len(others))}
	for i, o := range others {
		f.others[i] = rendezvous.Hash(o)
	}
	return f
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
