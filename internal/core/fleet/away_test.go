package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
)

// taking returns which routers that run took the store for away at some moment of a time.
func (n *net) taking(d time.Duration) []fleet.Address {
	seen := make(map[fleet.Address]bool)
	for until := n.now.Add(d); n.now.Before(until); n.run(20 * time.Millisecond) {
		for a, x := range n.nodes {
			if x.up && !x.frozen && x.core.InStoreOutage(n.now) {
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

// apart cuts a router off from the store and from all others, or ends that.
func (n *net) apart(a fleet.Address, cut bool) {
	n.store.silent[a] = cut
	for b := range n.nodes {
		n.cut[[2]fleet.Address{a, b}], n.cut[[2]fleet.Address{b, a}] = cut, cut
	}
}

// storeIsThere guards against targets that are gone and get requests for longer than allowed: a router's own silence was taken for the store's.
func storeIsThere(routers int) {
	var n *net

	BeforeEach(func() {
		n = newNetOf(routers, 3, 3)
		n.run(20 * time.Second)
	})

	It("is not taken for away by routers that stood still", func() {
		frozen := append(n.readers()[:2:2], address(routers-1), address(routers-2))
		for _, a := range frozen {
			n.nodes[a].frozen = true
		}
		n.run(4 * time.Second)
		for _, a := range frozen {
			n.nodes[a].frozen = false
		}
		Expect(n.taking(4 * time.Second)).To(BeEmpty())
	})

	It("is not taken for away by any router when all stood still", func() {
		for _, x := range n.nodes {
			x.frozen = true
		}
		n.run(4 * time.Second)
		for _, x := range n.nodes {
			x.frozen = false
		}
		Expect(n.taking(4 * time.Second)).To(BeEmpty())
	})

	It("is not taken for away when all that read it end at once", func() {
		for _, a := range n.readers() {
			n.kill(a)
		}
		Expect(n.taking(6 * time.Second)).To(BeEmpty())
	})

	It("is not taken for away any more by a router that was cut off, once it hears of others", func() {
		reader, other := n.readers()[0], address(routers-1)
		n.apart(reader, true)
		n.apart(other, true)
		n.run(5 * time.Second)
		n.apart(reader, false)
		n.apart(other, false)
		n.run(time.Second)
		Expect(n.taking(4 * time.Second)).To(BeEmpty())
	})
}

// storeIsAway guards against pools that lose all targets when entries have lapsed while the store was away.
func storeIsAway(routers int) {
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

var _ = Describe("a store that is there all the while", func() { storeIsThere(9) })

var _ = Describe("a store that is away", func() {
	It("is taken for away by each router until after its return", func() { storeIsAway(9) })
})

var _ = Describe("a store that serves some routers, or none", func() {
	var n *net

	BeforeEach(func() {
		n = newNet(9)
		n.run(5 * time.Second)
	})

	// Symptom: a removed target gets requests for 2.5 s more. Sequence: the store refuses
	// a third of the routers, which tell the others of their trouble. Cause: that was
	// taken for an outage, in which entries expire although their targets work.
	It("does not take a store for away that refuses some routers only", func() {
		for i := range 3 {
			n.store.refused[address(i)] = true
		}
		n.run(3 * time.Second)
		for _, x := range n.nodes {
			Expect(x.core.InStoreOutage(n.now)).To(BeFalse())
		}
	})

	It("takes the store for away while nobody reads it, and for a while after", func() {
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
