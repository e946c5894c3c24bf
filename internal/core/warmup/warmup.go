// Package warmup bounds what a cold target gets from all routers together, although none asks another before it sends. Of the routers a
// few may send to a target while it is cold, each one request a second. Which ones follows from the routers' addresses by
// rendezvous hashing, so that all agree without a word. The bound is the number of those few: it holds whatever is lost, late or paused.
//
// Two routers that know different fleets may disagree. So the few are half of what the target bears: where a fleet has come apart into
// two that have forgotten each other, both halves together keep the bound. Members are forgotten long after they fell silent, for
// the same reason.
package warmup

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
)

const (
	// SendInterval is the time between two requests of one router to a cold target. It is longer than the second that the bound speaks
	// of by what a clock may be off and a request may take to be written.
	SendInterval = 1100 * time.Millisecond
	// StartupDelay is how long a router that has started sends nothing to cold targets. It knows too little of the fleet until then, and
	// what the process before it has sent.
	StartupDelay = 2 * time.Second
	// disagreement is by how much the routers that think they may send can outnumber those that should.
	disagreement = 2
)

// Fleet is what a router knows of the others. It is immutable.
type Fleet struct {
	self   uint64
	others []uint64
}

// NewFleet returns the fleet of a router and others, by their addresses.
func NewFleet(self string, others []string) *Fleet {
	f := &Fleet{self: rendezvous.Hash(self), others: make([]uint64, len(others))}
	for i, o := range others {
		f.others[i] = rendezvous.Hash(o)
	}
	return f
}

// MaySend reports whether this router is one of the few that may send to a cold target that bears a number of requests a second.
func (f *Fleet) MaySend(target uint64, perSecond int) bool {
	few := max(perSecond/disagreement, 1)
	own := rendezvous.Mix(f.self, target)
	for _, o := range f.others {
		if rendezvous.Mix(o, target) > own {
			if few--; few == 0 {
				return false
			}
		}
	}
	return true
}

// MaxPerSecond returns how many requests a cold target may get in any second: what it bears, as its pool says, times what operators
// let it be passed by, and their slack.
func MaxPerSecond(bears, multiple, slack float64) int {
	if bears <= 0 {
		return 0
	}
	return max(int(bears*multiple+slack), 1)
}
