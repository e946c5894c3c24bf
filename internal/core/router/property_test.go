package router_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fairqueue"
	core "github.com/hemlockdyke/hemlockdyke/internal/core/router"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

const (
	fleetRouters = 5
	fleetTargets = 4
)

// shortOrphanTimeout shortens the timeout of orphaned tickets, so that its tickets expire in
// little simulated time.
func shortOrphanTimeout(s *core.Settings) { s.Ledger.MaxOrphanTimeout = 10 * time.Second }

// scheduleActions returns the random actions of a schedule: those of every test and the given
// faults.
func (f *fleet) scheduleActions(faults map[string]func(*rapid.T)) map[string]func(*rapid.T) {
	node := rapid.IntRange(0, fleetRouters-1)
	all := map[string]func(*rapid.T){
		"ask": func(t *rapid.T) {
			priority := fairqueue.Priority(rapid.IntRange(0, 2).Draw(t, "priority"))
			for range rapid.IntRange(1, 6).Draw(t, "asks") {
				f.sendRequest(node.Draw(t, "router"), priority)
			}
		},
		"finish": func(t *rapid.T) {
			for range rapid.IntRange(1, 6).Draw(t, "ends") {
				f.endRequest(rapid.IntRange(0, 99).Draw(t, "which"), peerv1.Outcome_OUTCOME_DONE)
			}
		},
		"advance": func(t *rapid.T) {
			f.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
		},
		"drain": func(t *rapid.T) { f.drainTarget(uint64(100 + rapid.IntRange(1, 2).Draw(t, "target"))) },
		"":      func(t *rapid.T) { NewWithT(t).Expect(f.violations).To(BeEmpty(), strings.Join(f.history, "\n")) },
	}
	for name, step := range faults {
		all[name] = step
	}
	return all
}

// checkSettled checks the invariants that must hold after every fault and every request has
// ended.
func (f *fleet) checkSettled(t *rapid.T) {
	g := NewWithT(t)
	history := func() string { return strings.Join(f.history, "\n") }
	f.endFaults()
	g.Expect(f.violations).To(BeEmpty(), history)
	g.Expect(f.undecided).To(BeEmpty(), func() string { return fmt.Sprintf("undecided requests: %v\n%s", f.undecided, history()) })
	for i := range f.routers {
		c := f.net.Core(i)
		g.Expect(c.OpenRequests()).To(BeZero(), history)
		g.Expect(c.Revision()).To(Equal(uint64(len(f.store.changes))), history)
		for uid, n := range c.TicketCounts(poolName) {
			g.Expect(n).To(BeZero(), func() string {
				return fmt.Sprintf("router %d still counts tickets at target %d\n%s", i+1, uid, history())
			})
		}
	}
	id := f.sendRequest(0, fairqueue.Normal)
	f.advance(time.Second)
	g.Expect(f.open).To(HaveKey(id), history)
}

var _ = Describe("a fleet of routers", func() {
	node := rapid.IntRange(0, fleetRouters-1)

	It("keeps the cap and leaks no ticket through kills, restarts and lost messages", func() {
		testkit.Check("400", func(t *rapid.T) {
			f := newFleet(fleetRouters, fleetTargets, shortOrphanTimeout)
			f.advance(2 * time.Second)
			t.Repeat(f.scheduleActions(map[string]func(*rapid.T){
				"kill":    func(t *rapid.T) { f.kill(node.Draw(t, "router")) },
				"restart": func(t *rapid.T) { f.restart(node.Draw(t, "router")) },
				"loss": func(t *rapid.T) {
					f.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
					f.recordStep("lose a fraction of %v of the messages", f.loss)
				},
				"store": func(t *rapid.T) { f.store.down = rapid.Bool().Draw(t, "down") },
			}))
			f.checkSettled(t)
		})
	})

	It("exceeds the cap by no more than the shares of the separated routers when routers are cut off or stalled", func() {
		testkit.Check("400", func(t *rapid.T) {
			f := newFleet(fleetRouters, fleetTargets, shortOrphanTimeout)
			f.allowedExcess = (fleetRouters - 1) * (maxPerTarget / fleetRouters)
			f.advance(2 * time.Second)
			t.Repeat(f.scheduleActions(map[string]func(*rapid.T){
				"cut": func(t *rapid.T) {
					from, to := node.Draw(t, "from"), node.Draw(t, "to")
					f.recordStep("cut messages from router %d to router %d", from+1, to+1)
					f.cut[[2]int{from, to}] = true
				},
				"mend":   func(*rapid.T) { clear(f.cut) },
				"pause":  func(t *rapid.T) { f.stall(node.Draw(t, "router")) },
				"resume": func(t *rapid.T) { f.resume(node.Draw(t, "router")) },
				"store":  func(t *rapid.T) { f.store.down = rapid.Bool().Draw(t, "down") },
			}))
			f.checkSettled(t)
		})
	})
})
