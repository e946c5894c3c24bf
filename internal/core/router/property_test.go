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

// shortLived makes what only time removes go sooner, so that a schedule settles
// in little simulated time.
func shortLived(s *core.Settings) { s.Ledger.MovedOrphanTimeout = 10 * time.Second }

// steps returns the random steps of a schedule. Those of faults are chosen by the test.
func (f *fleet) steps(faults map[string]func(*rapid.T)) map[string]func(*rapid.T) {
	node := rapid.IntRange(0, fleetRouters-1)
	all := map[string]func(*rapid.T){
		"ask": func(t *rapid.T) {
			priority := fairqueue.Priority(rapid.IntRange(0, 2).Draw(t, "priority"))
			for range rapid.IntRange(1, 6).Draw(t, "asks") {
				f.ask(node.Draw(t, "router"), priority)
			}
		},
		"finish": func(t *rapid.T) {
			for range rapid.IntRange(1, 6).Draw(t, "ends") {
				f.finish(rapid.IntRange(0, 99).Draw(t, "which"), peerv1.Outcome_OUTCOME_DONE)
			}
		},
		"advance": func(t *rapid.T) {
			f.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
		},
		"drain": func(t *rapid.T) { f.drain(uint64(100 + rapid.IntRange(1, 2).Draw(t, "target"))) },
		"":      func(t *rapid.T) { NewWithT(t).Expect(f.faults).To(BeEmpty(), strings.Join(f.history, "\n")) },
	}
	for name, step := range faults {
		all[name] = step
	}
	return all
}

// settled checks what must hold once every fault has ended and every request too.
func (f *fleet) settled(t *rapid.T) {
	g := NewWithT(t)
	history := func() string { return strings.Join(f.history, "\n") }
	f.heal()
	g.Expect(f.faults).To(BeEmpty(), history)
	g.Expect(f.waiting).To(BeEmpty(), func() string { return fmt.Sprintf("requests without a decision: %v\n%s", f.waiting, history()) })
	for i := range f.routers {
		c := f.net.Core(i)
		g.Expect(c.OpenRequests()).To(BeZero(), history)
		g.Expect(c.Revision()).To(Equal(uint64(len(f.store.changes))), history)
		for uid, n := range c.TicketCounts(poolName) {
			g.Expect(n).To(BeZero(), func() string {
				return fmt.Sprintf("router %d still counts requests at target %d\n%s", i+1, uid, history())
			})
		}
	}
	id := f.ask(0, fairqueue.Normal)
	f.advance(time.Second)
	g.Expect(f.open).To(HaveKey(id), history)
}

var _ = Describe("a fleet of routers", func() {
	node := rapid.IntRange(0, fleetRouters-1)

	It("keeps the cap and leaks no ticket through kills, restarts and lost messages", func() {
		testkit.Check("400", func(t *rapid.T) {
			f := newFleet(fleetRouters, fleetTargets, shortLived)
			f.advance(2 * time.Second)
			t.Repeat(f.steps(map[string]func(*rapid.T){
				"kill":    func(t *rapid.T) { f.kill(node.Draw(t, "router")) },
				"restart": func(t *rapid.T) { f.restart(node.Draw(t, "router")) },
				"loss": func(t *rapid.T) {
					f.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
					f.note("lose %v of the messages", f.loss)
				},
				"store": func(t *rapid.T) { f.store.down = rapid.Bool().Draw(t, "down") },
			}))
			f.settled(t)
		})
	})

	It("passes the cap by no more than the separated routers' shares when routers are cut off or paused", func() {
		testkit.Check("400", func(t *rapid.T) {
			f := newFleet(fleetRouters, fleetTargets, shortLived)
			f.slack = (fleetRouters - 1) * (maxPerTarget / fleetRouters)
			f.advance(2 * time.Second)
			t.Repeat(f.steps(map[string]func(*rapid.T){
				"cut": func(t *rapid.T) {
					from, to := node.Draw(t, "from"), node.Draw(t, "to")
					f.note("cut messages from router %d to router %d", from+1, to+1)
					f.cut[[2]int{from, to}] = true
				},
				"mend":   func(*rapid.T) { clear(f.cut) },
				"pause":  func(t *rapid.T) { f.pause(node.Draw(t, "router")) },
				"resume": func(t *rapid.T) { f.resume(node.Draw(t, "router")) },
				"store":  func(t *rapid.T) { f.store.down = rapid.Bool().Draw(t, "down") },
			}))
			f.settled(t)
		})
	})
})
