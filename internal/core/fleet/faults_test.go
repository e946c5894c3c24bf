package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

var _ = Describe("a fleet under any faults", func() {
	// Guards against an applied desired state that is replaced by an older one, and against one
	// that never arrives. The faults are any mixture of kills, stalls, links cut in one or both
	// directions, lost datagrams, and a store that is down, silent or refuses some routers, with
	// changes in between.
	It("never reverts to an older state within a process, and converges once the faults end", func() {
		testkit.Check("40", func(t *rapid.T) {
			n := newNet(5)
			n.run(time.Second)
			randomRouter := func() fleet.Address { return address(rapid.IntRange(0, 4).Draw(t, "router")) }
			for range rapid.IntRange(1, 25).Draw(t, "steps") {
				a := randomRouter()
				x := n.nodes[a]
				switch rapid.IntRange(0, 9).Draw(t, "fault") {
				case 0, 1:
					n.write(fleet.DesiredTable, "config", "next")
				case 2:
					n.write(fleet.TargetsTable, "t1", []string{"ready", ""}[rapid.IntRange(0, 1).Draw(t, "value")])
				case 3:
					if x.up {
						n.kill(a)
					} else {
						n.start(a)
					}
				case 4:
					x.stalled = !x.stalled
				case 5:
					n.store.silent[a] = !n.store.silent[a]
				case 6:
					n.store.refused[a] = !n.store.refused[a]
				case 7:
					n.store.down = !n.store.down
				case 8:
					key := [2]fleet.Address{a, randomRouter()}
					n.cut[key] = !n.cut[key]
				case 9:
					n.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
				}
				n.run(time.Duration(rapid.IntRange(10, 1500).Draw(t, "ms")) * time.Millisecond)
			}
			n.clearFaultsAndSettle()
			last := n.write(fleet.DesiredTable, "config", "last")
			removal := n.write(fleet.TargetsTable, "t1", "")
			n.run(3 * time.Second)
			if late := append(n.behind(fleet.DesiredTable, last), n.behind(fleet.TargetsTable, removal)...); len(late) > 0 {
				t.Fatalf("routers with old copies: %v", late)
			}
			for a, x := range n.nodes {
				for i := 1; i < len(x.appliedVersions); i++ {
					if x.appliedVersions[i] < x.appliedVersions[i-1] {
						t.Fatalf("router %s reverted to an older version: %v", a, x.appliedVersions)
					}
				}
			}
			if r := n.readers(); len(r) != 3 {
				t.Fatalf("store readers: %v, want 3", r)
			}
		})
	})
})

// clearFaultsAndSettle ends every fault and gives the fleet time to settle.
func (n *net) clearFaultsAndSettle() {
	n.clearFaults()
	n.run(20 * time.Second)
}

// clearFaults ends every fault.
func (n *net) clearFaults() {
	clear(n.cut)
	n.loss = 0
	clear(n.store.silent)
	clear(n.store.refused)
	n.store.down = false
	for _, i := range n.rand.Perm(len(n.nodes)) {
		x := n.nodes[address(i)]
		x.stalled = false
		if !x.up {
			n.start(x.address)
		}
	}
}
