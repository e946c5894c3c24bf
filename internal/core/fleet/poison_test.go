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
	// refusalTimeout is how long after the third exit every router must refuse the request: half of
	// the time that the platform allows.
	refusalTimeout = 1500 * time.Millisecond
	poisonous      = poison.Fingerprint(0xbad)
	harmless       = poison.Fingerprint(0x900d)
)

// wouldSend reports whether a router would send a request to a target.
func (n *net) wouldSend(a fleet.Address, f poison.Fingerprint) bool {
	x := n.nodes[a]
	var others []string
	for _, o := range x.core.AliveAddresses(n.now) {
		others = append(others, string(o))
	}
	v := x.detector.Admit(n.now, f, func() bool { return f.IsHomeRouter(string(a), others) })
	return !v.Refused
}

// reportExit reports to a router that a target exited during a request.
func (n *net) reportExit(a fleet.Address, f poison.Fingerprint, target uint64) {
	x := n.nodes[a]
	x.detector.RecordExit(n.now, f, target)
	if x.detector.HasUrgentReport() {
		n.step(x, fleet.UrgentReportsPending{UrgentReports: x.urgentReports(n.now)})
	}
}

// routersThatSend returns the running routers that would send a request.
func (n *net) routersThatSend(f poison.Fingerprint) (out []fleet.Address) {
	for i := range len(n.nodes) {
		if a := address(i); n.nodes[a].up && !n.nodes[a].stalled && n.wouldSend(a, f) {
			out = append(out, a)
		}
	}
	return out
}

// requestRefusedEverywhere guards against a request that makes three targets exit at each router, a
// thousand at 340 routers. Its caller sends it to another router each time, so a count at each
// router alone would not stop it.
func requestRefusedEverywhere(routers int) {
	n := newFleet(routers, 10)
	n.loss = 0.03
	n.run(3 * time.Second)
	for i, a := range []fleet.Address{address(routers - 1), address(routers / 2), address(1)} {
		n.reportExit(a, poisonous, uint64(100+i))
		n.reportExit(a, harmless, uint64(100+i))
		// Other requests were open at the target, each sent once by a different router.
		for k := range 16 {
			n.reportExit(address((i+k*7)%routers), poison.Fingerprint(1000*(i+1)+k), uint64(100+i))
		}
		n.run(200 * time.Millisecond)
		// A fourth router receives an answer to the harmless request.
		n.nodes[address(routers/3)].detector.RecordAnswer(n.now, harmless)
	}
	n.run(refusalTimeout - 200*time.Millisecond)
	Expect(n.routersThatSend(poisonous)).To(BeEmpty())
	Expect(n.routersThatSend(harmless)).To(HaveLen(routers))
}

var _ = Describe("a request that makes targets exit, each seen by another router", func() {
	DescribeTable("is refused everywhere, unlike one that was answered", requestRefusedEverywhere, Entry("9", 9), Entry("24", 24))

	It("is soon refused by a router that started, resumed or was reconnected", func() {
		n := newFleet(24, 10)
		n.run(3 * time.Second)
		n.nodes[address(7)].stalled = true
		n.partition("dc2", true)
		for i := range 3 {
			n.reportExit(address(0), poisonous, uint64(100+i))
			n.run(200 * time.Millisecond)
		}
		n.run(3 * time.Second)
		n.nodes[address(7)].stalled = false
		n.kill(address(11))
		n.run(time.Second)
		n.restart(address(11))
		n.partition("dc2", false)
		n.run(3 * time.Second)
		Expect(n.routersThatSend(poisonous)).To(BeEmpty())
		Expect(n.nodes[address(11)].suspectsSynced).To(BeTrue())
	})

	// Guards against one exited target per router after the wait. This would happen if each router
	// retried the request on its own.
	It("is tried by one router after its wait, and by none for long after another exit", func() {
		n := newFleet(24, 10)
		n.run(3 * time.Second)
		for i := range 3 {
			n.reportExit(address(i), poisonous, uint64(100+i))
		}
		n.run(12 * time.Second)
		tried := n.routersThatSend(poisonous)
		Expect(tried).To(HaveLen(1))
		n.reportExit(tried[0], poisonous, 104)
		n.nodes[tried[0]].detector.EndTrial(n.now, poisonous)
		n.run(60 * time.Second)
		Expect(n.routersThatSend(poisonous)).To(BeEmpty())
	})

	It("is sent by all routers again once its trial is answered", func() {
		n := newFleet(24, 10)
		n.run(3 * time.Second)
		for i := range 3 {
			n.reportExit(address(i), poisonous, uint64(100+i))
		}
		n.run(12 * time.Second)
		tried := n.routersThatSend(poisonous)
		Expect(tried).To(HaveLen(1))
		n.nodes[tried[0]].detector.RecordAnswer(n.now, poisonous)
		n.run(time.Second)
		Expect(n.routersThatSend(poisonous)).To(HaveLen(24))
	})

	// If routers reported expired suspicions, others would report them back and they would never
	// expire.
	It("expires at all routers", func() {
		n := newFleet(9, 10)
		n.run(3 * time.Second)
		for i := range 3 {
			n.reportExit(address(i), poisonous, uint64(100+i))
		}
		n.run(11 * time.Minute)
		for i := range 9 {
			Expect(n.nodes[address(i)].detector.ListSuspects(n.now)).To(BeEmpty())
		}
	})

	// Guards against dozens of exited targets while routers are killed, stalled and cut off. A
	// request that keeps arriving at all connected routers must reach few more targets once its
	// third exit is known.
	It("reaches few targets under any faults", func() {
		testkit.Check("10", func(t *rapid.T) {
			const routers = 24
			n := newFleet(routers, 10)
			n.run(3 * time.Second)
			target := uint64(1000)
			var thirdExitAt, faultsEndedAt time.Time
			reached := 0
			for step := range 120 {
				if step%10 == 0 && step < 60 {
					a := address(rapid.IntRange(0, routers-1).Draw(t, "router"))
					switch rapid.IntRange(0, 4).Draw(t, "fault") {
					case 0:
						n.kill(a)
					case 1:
						n.nodes[a].stalled = true
					case 2:
						n.partition(fmt.Sprint("dc", rapid.IntRange(0, 4).Draw(t, "centre")), rapid.Bool().Draw(t, "cut"))
					case 3:
						n.loss = rapid.Float64Range(0, 0.2).Draw(t, "loss")
					case 4:
						n.kill(a)
						n.restart(a)
					}
				}
				if step == 60 {
					n.clearFaults()
					for i := range routers {
						if !n.nodes[address(i)].up {
							n.restart(address(i))
						}
					}
					faultsEndedAt = n.now
				}
				a := address(rapid.IntRange(0, routers-1).Draw(t, "receiver"))
				if x := n.nodes[a]; x.up && !x.stalled && !n.now.Before(x.startsAt) && n.wouldSend(a, poisonous) {
					target++
					n.reportExit(a, poisonous, target)
					x.detector.EndTrial(n.now, poisonous)
					if target == 1003 {
						thirdExitAt = n.now
					}
					settlePeriod := 3 * time.Second
					if !thirdExitAt.IsZero() && n.now.Sub(thirdExitAt) > settlePeriod && !faultsEndedAt.IsZero() && n.now.Sub(faultsEndedAt) > settlePeriod {
						reached++
					}
				}
				n.run(150 * time.Millisecond)
			}
			if reached > 3 {
				t.Fatalf("reached %d more targets", reached)
			}
		})
	})
})
