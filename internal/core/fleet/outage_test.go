package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
)

// routersInOutage runs the fleet for d and returns the running routers that reported a store outage
// in that time.
func (n *net) routersInOutage(d time.Duration) []fleet.Address {
	seen := make(map[fleet.Address]bool)
	for until := n.now.Add(d); n.now.Before(until); n.run(20 * time.Millisecond) {
		for a, x := range n.nodes {
			if x.up && !x.stalled && x.core.InStoreOutage(n.now) {
				seen[a] = true
			}
		}
	}
	var out []fleet.Address
	for a := range seen {
		out = append(out, a)
	}
	return out
}

// isolate cuts a router off from the store and from all other routers, or reconnects it.
func (n *net) isolate(a fleet.Address, cut bool) {
	n.store.silent[a] = cut
	for b := range n.nodes {
		n.cut[[2]fleet.Address{a, b}], n.cut[[2]fleet.Address{b, a}] = cut, cut
	}
}

// storeStaysReachable guards against exited targets that receive requests for too long because a
// router that receives no digests concludes that there is a store outage.
func storeStaysReachable(routers int) {
	var n *net

	BeforeEach(func() {
		n = newNetOf(routers, 3, 3)
		n.run(20 * time.Second)
	})

	It("routers that stalled report no outage", func() {
		stalled := append(n.readers()[:2:2], address(routers-1), address(routers-2))
		for _, a := range stalled {
			n.nodes[a].stalled = true
		}
		n.run(4 * time.Second)
		for _, a := range stalled {
			n.nodes[a].stalled = false
		}
		Expect(n.routersInOutage(4 * time.Second)).To(BeEmpty())
	})

	It("no router reports an outage after all routers stalled", func() {
		for _, x := range n.nodes {
			x.stalled = true
		}
		n.run(4 * time.Second)
		for _, x := range n.nodes {
			x.stalled = false
		}
		Expect(n.routersInOutage(4 * time.Second)).To(BeEmpty())
	})

	It("no router reports an outage when all store readers exit at once", func() {
		for _, a := range n.readers() {
			n.kill(a)
		}
		Expect(n.routersInOutage(6 * time.Second)).To(BeEmpty())
	})

	It("a reconnected router stops reporting an outage once it receives digests", func() {
		reader, other := n.readers()[0], address(routers-1)
		n.isolate(reader, true)
		n.isolate(other, true)
		n.run(5 * time.Second)
		n.isolate(reader, false)
		n.isolate(other, false)
		n.run(time.Second)
		Expect(n.routersInOutage(4 * time.Second)).To(BeEmpty())
	})
}

// storeOutage guards against pools that lose all targets when entries expire during a store outage.
func storeOutage(routers int) {
	n := newNetOf(routers, 3, 3)
	n.run(20 * time.Second)
	n.store.down = true
	n.run(6 * time.Second)
	n.store.down = false
	n.run(time.Second)
	for a, x := range n.nodes {
		Expect(x.core.InStoreOutage(n.now)).To(BeTrue(), string(a))
	}
}

var _ = Describe("without a store outage", func() { storeStaysReachable(9) })

var _ = Describe("a store outage", func() {
	It("is reported by each router until after its end", func() { storeOutage(9) })
})

var _ = Describe("a store that serves only some routers, or none", func() {
	var n *net

	BeforeEach(func() {
		n = newNet(9)
		n.run(5 * time.Second)
	})

	// Guards against a removed target that receives requests for 2.5 s more. The store refuses a
	// third of the routers, which report their failures to the others. If this counted as an
	// outage, the removal would be attributed to entries that expire although their targets work.
	It("is not reported as an outage if it refuses only some routers", func() {
		for i := range 3 {
			n.store.refused[address(i)] = true
		}
		n.run(3 * time.Second)
		for _, x := range n.nodes {
			Expect(x.core.InStoreOutage(n.now)).To(BeFalse())
		}
	})

	It("is reported as an outage while no router can read it, and for a while after", func() {
		n.store.down = true
		n.run(20 * time.Second)
		Expect(n.nodes[address(4)].core.InStoreOutage(n.now)).To(BeTrue())
		n.store.down = false
		n.run(1500 * time.Millisecond)
		Expect(n.nodes[address(4)].core.InStoreOutage(n.now)).To(BeTrue())
		n.run(5 * time.Second)
		Expect(n.nodes[address(4)].core.InStoreOutage(n.now)).To(BeFalse())
	})
})
