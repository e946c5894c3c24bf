package fleet_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
)

var _ = Describe("the store calls of a large fleet", func() {
	// Guards against a fleet in which every router keeps calling the store during an outage. Calls
	// cost money.
	It("are rare during an outage, and detect its end in time", func() {
		n := newNetOf(70, 3, 2)
		n.run(4 * time.Second)
		n.store.down = true
		n.run(2 * time.Second)
		before := n.store.calls
		n.run(8 * time.Second)
		Expect(n.store.calls - before).To(BeNumerically("<", 500))
		n.store.down = false
		n.write(fleet.DesiredTable, "config", "v2")
		n.run(1500 * time.Millisecond)
		for _, x := range n.nodes {
			Expect(x.appliedVersions[len(x.appliedVersions)-1]).To(Equal(n.store.version))
		}
	})

	// Guards against a fleet that restarts at once and in which every router reads a long list from
	// the store.
	It("read a long list for few routers, and the others soon have copies", func() {
		const routers, entries = 150, 1500
		n := newNetOf(routers, 3, 2)
		for i := range entries {
			n.write(fleet.TargetsTable, fmt.Sprint("t", i), "ready")
		}
		n.run(4 * time.Second)
		for i := range routers {
			n.kill(address(i))
		}
		n.run(time.Second)
		n.store.rowsRead = 0
		for i := range routers {
			n.start(address(i))
		}
		n.run(2500 * time.Millisecond)
		for _, x := range n.nodes {
			Expect(x.core.HasTable(fleet.TargetsTable)).To(BeTrue())
		}
		Expect(n.store.rowsRead).To(BeNumerically("<", 60*entries))
	})
})
