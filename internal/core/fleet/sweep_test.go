package fleet_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
)

var _ = Describe("the sweep of the store's list of routers", func() {
	recent := func(n ...int) map[fleet.Address]bool {
		out := map[fleet.Address]bool{}
		for _, i := range n {
			out[address(i)] = true
		}
		return out
	}
	listed := []fleet.Address{address(0), address(1), address(2)}

	// Guards against a list that grows without limit. VMs are lost without a shutdown, so their
	// entries are not removed.
	It("returns routers that were not heard recently at two sweeps in a row", func() {
		var s fleet.Sweep
		Expect(s.Stale(listed, recent(0, 1))).To(BeEmpty())
		Expect(s.Stale(listed, recent(0, 1))).To(Equal([]fleet.Address{address(2)}))
	})

	It("omits routers heard in between, and newly listed ones", func() {
		var s fleet.Sweep
		s.Stale(listed, recent(0, 1))
		Expect(s.Stale(append(listed, address(3)), recent(0, 1, 2))).To(BeEmpty())
		Expect(s.Stale(listed, recent(0, 1))).To(BeEmpty(), "the count restarts")
	})
})

var _ = Describe("the recently heard routers", func() {
	It("are the router itself and those heard within the last minute", func() {
		n := newNet(3)
		n.run(5e9)
		survivor := n.nodes[address(0)]
		Expect(survivor.core.RecentRouters()).To(HaveLen(3))
		n.kill(address(2))
		n.run(70e9)
		Expect(survivor.core.RecentRouters()).To(HaveLen(2))
		firstReaders := 0
		for _, x := range n.nodes {
			if x.up && x.core.IsFirstReader() {
				firstReaders++
			}
		}
		Expect(firstReaders).To(Equal(1))
	})
})
