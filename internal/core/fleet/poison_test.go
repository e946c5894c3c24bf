package fleet_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/core/poison"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

const (
	// refusedWithin is within what time of the third end no router sends such a request any more: half of what the
	// platform allows.
	refusedWithin = 1500 * time.Millisecond
	poisonous     = poison.Fingerprint(0xbad)
	harmless      = poison.Fingerprint(0x900d)
)

// sends has a router decide on a request, and reports whether it is sent.
func (n *net) sends(a fleet.Address, f poison.Fingerprint) bool {
	x := n.nodes[a]
	var others []string
	for _, o := range x.core.AliveAddresses(n.now) {
		others = append(others, string(o))
	}
	v := x.detector.Admit(n.now, f, func() bool { return f.Home(string(a), others) })
	return !v.Refused
}

// ends tells a router that a target ended under a request.
func (n *net) ends(a fleet.Address, f poison.Fingerprint, target uint64) {
	x := n.nodes[a]
	x.detector.Ended(n.now, f, target)
	if x.detector.Fresh() {
		n.step(x, fleet.ReportsPending{UrgentReports: x.news(n.now)})
	}
}

// senders returns the running routers that would send a request.
func (n *net) senders(f poison.Fingerprint) (out []fleet.Address) {
	for i := range len(n.nodes) {
		if a := address(i); n.nodes[a].up && !n.nodes[a].frozen && n.sends(a, f) {
			out = append(out, a)
		}
	}
	return out
}

// Symptom would be a request that ends three targets at each router, a thousand at 340. Sequence: its caller sends it to another
// router each time. Cause would be a count that each router keeps for itself.
func refusedEverywhere(routers int) {
	n := fleetOf(routers, 10)
	n.loss = 0.03
	n.run(3 * time.Second)
	for i, a := range []fleet.Address{address(routers - 1), address(routers / 2), address(1)} {
		n.ends(a, poisonous, uint64(100+i))
		n.ends(a, harmless, uint64(100+i))
		for k := range 16 { // others that were there, each sent once, each at another router
			n.ends(address((i+k*7)%routers), poison.Fingerprint(1000*(i+1)+k), uint64(100+i))
		}
		n.run(200 * time.Millisecond)
		// A fourth router has an answer to the other request that was there.
		n.nodes[address(routers/3)].detector.Ran(n.now, harmless)
	}
	n.run(refusedWithin - 200*time.Millisecond)
	Expect(n.senders(poisonous)).To(BeEmpty())
	Expect(n.senders(harmless)).To(HaveLen(routers))
}

var _ = Describe("a request under which targets end, seen by a router each", func() {
	DescribeTable("is refused everywhere, and one that was answered nowhere", refusedEverywhere, Entry("9", 9), Entry("24", 24))

	It("is refused by a router that starts, wakes or was cut off, soon after", func() {
		n := fleetOf(24, 10)
		n.run(3 * time.Second)
		n.nodes[address(7)].frozen = true
		n.divide("dc2", true)
		for i := range 3 {
			n.ends(address(0), poisonous, uint64(100+i))
			n.run(200 * time.Millisecond)
		}
		n.run(3 * time.Second)
		n.nodes[address(7)].frozen = false
		n.kill(address(11))
		n.run(time.Second)
		n.again(address(11))
		n.divide("dc2", false)
		n.run(3 * time.Second)
		Expect(n.senders(poisonous)).To(BeEmpty())
		Expect(n.nodes[address(11)].knowsSuspects).To(BeTrue())
	})

	// Symptom would be a target for each router when the wait is over. Cause would be that each tries for itself.
	It("is tried by one router after its wait, and by none for long after it ended a target again", func() {
		n := fleetOf(24, 10)
		n.run(3 * time.Second)
		for i := range 3 {
			n.ends(address(i), poisonous, uint64(100+i))
		}
		n.run(12 * time.Second)
		tried := n.senders(poisonous)
		Expect(tried).To(HaveLen(1))
		n.ends(tried[0], poisonous, 104)
		n.nodes[tried[0]].detector.TrialOver(n.now, poisonous)
		n.run(60 * time.Second)
		Expect(n.senders(poisonous)).To(BeEmpty())
	})

	It("is sent by all again when the one that was let through is answered", func() {
		n := fleetOf(24, 10)
		n.run(3 * time.Second)
		for i := range 3 {
			n.ends(address(i), poisonous, uint64(100+i))
		}
		n.run(12 * time.Second)
		tried := n.senders(poisonous)
		Expect(tried).To(HaveLen(1))
		n.nodes[tried[0]].detector.Ran(n.now, poisonous)
		n.run(time.Second)
		Expect(n.senders(poisonous)).To(HaveLen(24))
	})

	// Whoever tells of a suspicion that is over would have the others tell it back, for ever.
	It("is forgotten by all", func() {
		n := fleetOf(9, 10)
		n.run(3 * time.Second)
		for i := range 3 {
			n.ends(address(i), poisonous, uint64(100+i))
		}
		n.run(11 * time.Minute)
		for i := range 9 {
			Expect(n.nodes[address(i)].detector.All(n.now)).To(BeEmpty())
		}
	})

	// Symptom would be targets that end by the dozen while routers are killed, frozen and cut off. Whatever happens, a
	// request that keeps coming to all routers in touch reaches few targets from touch after its third end.
	It("reaches few targets under any faults", func() {
		testkit.Check("10", func(t *rapid.T) {
			const routers = 24
			n := fleetOf(routers, 10)
			n.run(3 * time.Second)
			target := uint64(1000)
			var third, calm time.Time // the third end; since when there is no fault
			reached := 0
			for step := range 120 {
				if step%10 == 0 && step < 60 {
					a := address(rapid.IntRange(0, routers-1).Draw(t, "router"))
					switch rapid.IntRange(0, 4).Draw(t, "what") {
					case 0:
						n.kill(a)
					case 1:
						n.nodes[a].frozen = true
					case 2:
						n.divide(fmt.Sprint("dc", rapid.IntRange(0, 4).Draw(t, "centre")), rapid.Bool().Draw(t, "cut"))
					case 3:
						n.loss = rapid.Float64Range(0, 0.2).Draw(t, "loss")
					case 4:
						n.kill(a)
						n.again(a)
					}
				}
				if step == 60 {
					n.healed()
					for i := range routers {
						if !n.nodes[address(i)].up {
							n.again(address(i))
						}
					}
					calm = n.now
				}
				a := address(rapid.IntRange(0, routers-1).Draw(t, "asked"))
				if x := n.nodes[a]; x.up && !x.frozen && !n.now.Before(x.startsAt) && n.sends(a, poisonous) {
					target++
					n.ends(a, poisonous, target)
					x.detector.TrialOver(n.now, poisonous)
					if target == 1003 {
						third = n.now
					}
					touch := 3 * time.Second
					if !third.IsZero() && n.now.Sub(third) > touch && !calm.IsZero() && n.now.Sub(calm) > touch {
						reached++
					}
				}
				n.run(150 * time.Millisecond)
			}
			if reached > 3 {
				t.Fatalf("reached %d targets more", reached)
			}
		})
	})
})
