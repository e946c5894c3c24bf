package fleet_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
)

var _ = Describe("what a large fleet asks of the store", func() {
	// Guards against a fleet whose every router asks a store again and again that is away for all of them: calls are paid for.
	It("asks a store that is away seldom, and hears of its return in time", func() {
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
			Expect(x.inForce[len(x.inForce)-1]).To(Equal(n.store.version))
		}
	})

	// Guards against a fleet that starts again together and reads a long list once for each of its routers.
	It("reads a long list for few, and gives all of them copies soon", func() {
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
