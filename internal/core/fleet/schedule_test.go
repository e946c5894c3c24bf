package fleet_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
)

// addSchedule adds the figures of open requests with long prompts to a load.
func addSchedule(rnd *rand.Rand, l *placement.Load) {
	l.Unread, l.Memory = rnd.IntN(l.Open+1)*(500+rnd.IntN(11_000)), l.Open*(700+rnd.IntN(12_000))
	if rnd.IntN(3) > 0 {
		l.Pace = float64(5+rnd.IntN(30)) / 10
	}
}

// newRelay returns a router that is the only relay of data centre "a".
func newRelay() *fleet.Core {
	c := fleet.New(start, fleet.Settings{Self: address(0), Incarnation: 1, Seed: 1, DataCentre: "a", Strength: 9, MaxApplyDelay: time.Second, MaxDepartureDelay: time.Second})
	c.Step(start, fleet.Tick{})
	return c
}

// receiveReport passes a router's report to a core and returns the loads that the core emits.
func receiveReport(c *fleet.Core, now time.Time, from fleet.Address, sequence uint64, r *peerv1.Report) []placement.Load {
	for _, a := range c.Step(now, fleet.DigestReceived{From: from, Digest: &peerv1.Digest{
		Protocol: fleet.Protocol, Incarnation: 7, Sequence: sequence, DataCentre: "a", Versions: []uint64{0, 0}, Report: r,
	}}) {
		if a, ok := a.(fleet.ReportReceived); ok {
			return a.Loads
		}
	}
	return nil
}

var _ = Describe("the figures of scheduling by work in digests", func() {
	// Guards against garbage in a digest that counts as load, and against one bad value that makes a router
	// lose the open requests of others.
	It("are dropped one by one if they are invalid", func() {
		loads := receiveReport(newRelay(), start, address(1), 1, &peerv1.Report{
			LoadTarget: []uint64{1, 2, 3, 4}, LoadOpen: []uint32{1, 2, 3, 4},
			LoadUnread: []uint32{1<<20 + 1, 3, 1 << 20, 0}, LoadMemory: []uint32{5, 1 << 31, 7, 0}, LoadPace: []uint32{25, 1001, 1<<20 + 1},
		})
		Expect(loads).To(Equal([]placement.Load{
			{Target: 1, Open: 1, Memory: 5 * 4096, Pace: 2.5},
			{Target: 2, Open: 2, Unread: 3 * 512},
			{Target: 3, Open: 3, Unread: 512 << 20, Memory: 7 * 4096},
			{Target: 4, Open: 4},
		}))
	})

	// Guards against a router of an earlier release, or columns that are longer than the targets.
	It("may be absent or too many", func() {
		loads := receiveReport(newRelay(), start, address(1), 1, &peerv1.Report{LoadTarget: []uint64{1}, LoadOpen: []uint32{1}, LoadMemory: []uint32{1, 2, 3}})
		Expect(loads).To(Equal([]placement.Load{{Target: 1, Open: 1, Memory: 4096}}))
	})

	// Guards against figures that are lost, counted twice or counted as a router's own part of the fleet's sum on
	// their way through the relays. Memory and unread tokens are rounded up once, at the router that reports.
	DescribeTable("reach every router as sums of the others", func(routers int) {
		n := newNetOf(routers, 3, 3)
		const target = 5
		for i := range routers {
			n.nodes[address(i)].loads = []placement.Load{{Target: target, Open: 1, Unread: 512 * (i % 3), Memory: 4096 * (1 + i%2), Pace: float64(8+i%20) / 10}}
		}
		n.run(3 * time.Second)
		for range 8 {
			for i := range routers {
				l := &n.nodes[address(i)].loads[0]
				*l = placement.Load{Target: target, Open: 3 - l.Open, Unread: l.Unread, Memory: l.Memory, Pace: l.Pace}
			}
			n.run(fleet.TickInterval)
		}
		n.run(1500 * time.Millisecond) // the sums of data centres arrive with the heartbeats of their relays
		largest := 0.0
		for i := range routers {
			largest = max(largest, n.nodes[address(i)].loads[0].Pace)
		}
		for i := range routers {
			x := n.nodes[address(i)]
			var want, got placement.Load
			for k := range routers {
				if k != i {
					l := n.nodes[address(k)].loads[0]
					want.Open, want.Unread, want.Memory = want.Open+l.Open, want.Unread+l.Unread, want.Memory+l.Memory
				}
			}
			pace := 0.0
			for _, r := range x.reports {
				for _, l := range r.loads {
					got.Open, got.Unread, got.Memory, pace = got.Open+l.Open, got.Unread+l.Unread, got.Memory+l.Memory, max(pace, l.Pace)
				}
			}
			Expect(got).To(Equal(want), "%s", x.address)
			Expect(pace).To(BeNumerically("<=", largest))
		}
	},
		Entry("of 9 routers", 9),
		Entry("of 60 routers", 60),
	)

	// Guards against a killed router's pace that relays pass on as new for as long as its open requests count.
	It("have no pace from a router that has been silent for more than 300 ms", func() {
		n := newNetOf(12, 1, 3)
		n.run(3 * time.Second)
		var last *node
		for i := range 12 {
			if relay, _ := n.nodes[address(i)].core.Role(); !relay {
				last = n.nodes[address(i)]
			}
		}
		last.loads = []placement.Load{{Target: 5, Open: 2, Memory: 4096, Pace: 3}}
		reported := func() (paces, memory int) {
			for _, x := range n.nodes {
				for _, r := range x.reports {
					for _, l := range r.loads {
						if l.Pace > 0 {
							paces++
						}
						if l.Memory > 0 && x != last {
							memory++
						}
					}
				}
			}
			return paces, memory
		}
		n.run(300 * time.Millisecond)
		paces, memory := reported()
		Expect(paces).To(BeNumerically(">=", 11))
		Expect(memory).To(Equal(11))
		n.kill(last.address)
		n.run(900 * time.Millisecond)
		followers := 0
		for _, x := range n.nodes {
			relay, _ := x.core.Role()
			for _, r := range x.reports {
				for _, l := range r.loads {
					if !relay && x.up && l.Pace > 0 {
						followers++
					}
				}
			}
		}
		Expect(followers).To(BeZero())
		_, memory = reported()
		Expect(memory).To(Equal(11), "its memory counts as long as its open requests")
	})

	// Guards against digests that no longer fit the routers' links once a pool is scheduled by work.
	It("make the digests of a fleet larger by a third at most", func() {
		total := func(change func(*rand.Rand, *placement.Load)) (bytes, count int) {
			runWithLoads(func(d *peerv1.Digest) { bytes, count = bytes+proto.Size(d), count+1 }, change)
			return bytes, count
		}
		own := rand.New(rand.NewPCG(5, 6)) // leaves the random numbers of the loads as they are
		before, countBefore := total(func(*rand.Rand, *placement.Load) {})
		after, countAfter := total(func(_ *rand.Rand, l *placement.Load) { addSchedule(own, l) })
		GinkgoWriter.Printf("%d bytes in %d digests, with the figures %d in %d: %.3f times\n", before, countBefore, after, countAfter, float64(after)/float64(before))
		Expect(float64(after) / float64(before)).To(BeNumerically("<=", 4.0/3))
	})

	// Guards against extra digests for each change of a pace, which varies at random all the time.
	It("cause no digest if only a pace changes", func() {
		sent := func(change func(l *placement.Load, i int)) (count int) {
			n := newNetOf(9, 3, 0)
			n.run(3 * time.Second)
			n.onDigest = func(*peerv1.Digest) { count++ }
			for i := range 30 {
				for k := range 9 {
					l := placement.Load{Target: 5, Open: 1, Memory: 4096, Pace: 1}
					change(&l, i)
					n.nodes[address(k)].loads = []placement.Load{l}
				}
				n.run(fleet.TickInterval)
			}
			return count
		}
		same := sent(func(*placement.Load, int) {})
		Expect(sent(func(l *placement.Load, i int) { l.Pace = float64(10+i%7) / 10 })).To(Equal(same))
		Expect(sent(func(l *placement.Load, i int) { l.Unread = 512 * (i % 2) })).To(BeNumerically(">", same), "unread tokens cause one")
	})
})
