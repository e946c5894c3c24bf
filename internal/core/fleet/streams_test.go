package fleet_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/core/lineage"
	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
)

const (
	streamRetention = 30 * time.Second
	// recordDelay is the time in which the relays have learned of a stream, and one of them has passed it
	// on: two ticks, and two datagrams.
	recordDelay = 2*fleet.TickInterval + 50*time.Millisecond
)

// begin begins a stream at a node.
func (n *net) begin(x *node) lineage.Stream {
	n.begun++
	s := lineage.Stream(rendezvous.Hash(fmt.Sprint(n.begun)))
	x.streams.Begin(n.now, lineage.Record{Stream: s, Software: lineage.Software(1 + n.begun%2)}, n.begun%12)
	return s
}

// beginEverywhere begins some streams at each running node.
func (n *net) beginEverywhere(each int) (out []lineage.Stream) {
	for i := range len(n.nodes) {
		for x := n.nodes[address(i)]; x.up && len(out) < (i+1)*each; {
			out = append(out, n.begin(x))
		}
	}
	return out
}

// knownShare returns the share of streams that running routers find: each of them asks for a part.
func (n *net) knownShare(streams []lineage.Stream) float64 {
	var running []*node
	for i := range len(n.nodes) {
		if x := n.nodes[address(i)]; x.up {
			running = append(running, x)
		}
	}
	known := 0
	for i, s := range streams {
		if n.find(running[i%len(running)], s) != 0 {
			known++
		}
	}
	return float64(known) / float64(len(streams))
}

// find returns what a node knows of a stream, or else those that it asks.
func (n *net) find(x *node, s lineage.Stream) lineage.Software {
	if v := x.streams.Find(n.now, s); v != 0 {
		return v
	}
	near, far := x.core.StreamKeepers(n.now)
	for _, a := range append(near, far...) {
		if k := n.nodes[a]; k.up && !n.cut[[2]fleet.Address{x.address, a}] && !n.cut[[2]fleet.Address{a, x.address}] {
			if v := k.streams.Find(n.now, s); v != 0 {
				return v
			}
		}
	}
	return 0
}

// streamsSurvive checks that streams are known after faults that kill the routers which began them.
func streamsSurvive(routers, centres int) {
	killed := map[string]func(n *net) []fleet.Address{
		"none": func(*net) []fleet.Address { return nil },
		"two thirds of each data centre": func(n *net) (out []fleet.Address) {
			for i := range routers {
				if i/centres%3 != 1 {
					out = append(out, address(i))
				}
			}
			return out
		},
		"a data centre": func(n *net) (out []fleet.Address) {
			for i := range routers {
				if n.centreOf(address(i)) == "dc1" {
					out = append(out, address(i))
				}
			}
			return out
		},
		"the relays of a data centre": func(n *net) []fleet.Address { return n.relays("dc1") },
	}
	for what, choose := range killed {
		n := newFleetIn(centres, routers, targetCount)
		n.run(3 * time.Second)
		streams := n.beginEverywhere(4)
		n.run(recordDelay)
		for _, a := range choose(n) {
			n.kill(a)
		}
		Expect(n.knownShare(streams)).To(BeNumerically(">=", 0.99), "killed: %s", what)
		n.run(5 * time.Second)
		Expect(n.knownShare(streams)).To(BeNumerically(">=", 0.99), "5 s after the end of %s", what)
	}
}

// streamsAreToldAgain checks that streams are known after all routers have been restarted, one group
// after the other, except those whose router was restarted after all that it had told.
func streamsAreToldAgain(routers, centres int) {
	n := newFleetIn(centres, routers, targetCount)
	n.run(3 * time.Second)
	streams := n.beginEverywhere(4)
	n.run(recordDelay)
	began := streams[:4]
	for i := 1; i < routers; i++ {
		n.kill(address(i))
		n.run(200 * time.Millisecond)
		n.restart(address(i))
		n.run(800 * time.Millisecond)
	}
	Expect(n.knownShare(began)).To(Equal(1.0), "of the only router that was not restarted")
}

// streamsSurviveLoss checks that streams are known although datagrams are lost.
func streamsSurviveLoss(routers, centres int) {
	n := newFleetIn(centres, routers, targetCount)
	n.run(3 * time.Second)
	n.loss = 0.1
	streams := n.beginEverywhere(4)
	n.run(recordDelay)
	Expect(n.knownShare(streams)).To(BeNumerically(">=", 0.99))
}

var _ = Describe("the streams of routers", func() {
	// Guards against callers that are refused because the router which began their stream has exited.
	DescribeTable("are known after routers have exited", streamsSurvive, Entry("9 in three data centres", 9, 3), Entry("24 in three", 24, 3))

	// Guards against relays that have started since and are asked for streams which they were never told.
	DescribeTable("are told again to routers that have started since", streamsAreToldAgain, Entry("9 in three data centres", 9, 3), Entry("24 in three", 24, 3))

	DescribeTable("are known although datagrams are lost", streamsSurviveLoss, Entry("9 in three data centres", 9, 3), Entry("24 in three", 24, 3))
})
