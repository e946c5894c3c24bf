package fleet_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
)

var _ = Describe("the sweep of the store's list of routers", func() {
	heard := func(n ...int) map[fleet.Address]bool {
		out := map[fleet.Address]bool{}
		for _, i := range n {
			out[address(i)] = true
		}
		return out
	}
	listed := []fleet.Address{address(0), address(1), address(2)}

	// Symptom: the list grows for ever. Sequence: VMs are lost without a stop, and nobody takes
	// their entries out.
	It("finds those of which there is no sign twice", func() {
		var s fleet.Sweep
		Expect(s.Stale(listed, heard(0, 1))).To(BeEmpty())
		Expect(s.Stale(listed, heard(0, 1))).To(Equal([]fleet.Address{address(2)}))
	})

	It("keeps those that were heard in between, and those that are new", func() {
		var s fleet.Sweep
		s.Stale(listed, heard(0, 1))
		Expect(s.Stale(append(listed, address(3)), heard(0, 1, 2))).To(BeEmpty())
		Expect(s.Stale(listed, heard(0, 1))).To(BeEmpty(), "counts from anew")
	})
})

var _ = Describe("what a router has heard of", func() {
	It("is itself and those that spoke within the last minute", func() {
		n := newNet(3)
		n.run(5e9)
		one := n.nodes[address(0)]
		Expect(one.core.RecentRouters()).To(HaveLen(3))
		n.kill(address(2))
		n.run(70e9)
		Expect(one.core.RecentRouters()).To(HaveLen(2))
		firsts := 0
		for _, x := range n.nodes {
			if x.up && x.core.IsFirstReader() {
				firsts++
			}
		}
		Expect(firsts).To(Equal(1))
	})
})
