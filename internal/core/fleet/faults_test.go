package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

var _ = Describe("a fleet under any faults", func() {
	// Symptom: a desired state in force goes back to an older one, or never arrives.
	// Sequence: any mixture of kills, freezes, cuts between routers one way or both, lost
	// datagrams, a store that is down, silent or refuses some, and changes in between.
	It("never goes back within a process, and agrees once the faults end", func() {
		testkit.Check("40", func(t *rapid.T) {
			n := newNet(5)
			n.run(time.Second)
			pick := func() fleet.Address { return address(rapid.IntRange(0, 4).Draw(t, "router")) }
			for range rapid.IntRange(1, 25).Draw(t, "steps") {
				a := pick()
				x := n.nodes[a]
				switch rapid.IntRange(0, 9).Draw(t, "what") {
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
					x.frozen = !x.frozen
				case 5:
					n.store.silent[a] = !n.store.silent[a]
				case 6:
					n.store.refused[a] = !n.store.refused[a]
				case 7:
					n.store.down = !n.store.down
				case 8:
					key := [2]fleet.Address{a, pick()}
					n.cut[key] = !n.cut[key]
				case 9:
					n.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
				}
				n.run(time.Duration(rapid.IntRange(10, 1500).Draw(t, "ms")) * time.Millisecond)
			}
			n.heal()
			last := n.write(fleet.DesiredTable, "config", "last")
			gone := n.write(fleet.TargetsTable, "t1", "")
			n.run(3 * time.Second)
			if late := append(n.behind(fleet.DesiredTable, last), n.behind(fleet.TargetsTable, gone)...); len(late) > 0 {
				t.Fatalf("behind: %v", late)
			}
			for a, x := range n.nodes {
				for i := 1; i < len(x.inForce); i++ {
					if x.inForce[i] < x.inForce[i-1] {
						t.Fatalf("router %s went back: %v", a, x.inForce)
					}
				}
			}
			if r := n.readers(); len(r) != 3 {
				t.Fatalf("readers: %v", r)
			}
		})
	})
})

// heal ends every fault and leaves the fleet the time to settle.
func (n *net) heal() {
	n.healed()
	n.run(20 * time.Second)
}

// healed ends every fault.
func (n *net) healed() {
	clear(n.cut)
	n.loss = 0
	clear(n.store.silent)
	clear(n.store.refused)
	n.store.down = false
	for _, i := range n.rand.Perm(len(n.nodes)) {
		x := n.nodes[address(i)]
		x.frozen = false
		if !x.up {
			n.start(x.address)
		}
	}
}
