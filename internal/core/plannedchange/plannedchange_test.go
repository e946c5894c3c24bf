package plannedchange_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/plannedchange"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

var drainSpec = resource.PlannedChangeSpec{Target: "t", Action: resource.ActionDrain}

// idleTarget is the observation of a target that may be sent its order.
var idleTarget = plannedchange.Observation{Leaving: true, AppliedEverywhere: true, Reachable: true}

func targetState(action, argument string) plannedchange.Observation {
	o := idleTarget
	o.State = map[string]string{action: argument}
	return o
}

var _ = Describe("a drain", func() {
	step := func(s plannedchange.Status, o plannedchange.Observation) (plannedchange.Status, plannedchange.ActionKind) {
		return plannedchange.Step(drainSpec, 1, s, o)
	}

	DescribeTable("sends no order while a condition is not met",
		func(change func(*plannedchange.Observation), want plannedchange.ActionKind) {
			o := idleTarget
			change(&o)
			s, action := step(plannedchange.Status{Phase: plannedchange.Draining, ObservedGeneration: 1}, o)
			Expect(action).To(Equal(want))
			Expect(s.Phase).To(Equal(plannedchange.Draining))
		},
		Entry("the target is not marked as leaving", func(o *plannedchange.Observation) { o.Leaving = false }, plannedchange.MarkLeaving),
		Entry("a router has not applied the mark", func(o *plannedchange.Observation) { o.AppliedEverywhere = false }, plannedchange.Wait),
		Entry("the target does not answer", func(o *plannedchange.Observation) { o.Reachable = false }, plannedchange.Wait),
		Entry("requests are open", func(o *plannedchange.Observation) { o.OpenRequests = 1 }, plannedchange.Wait),
	)

	// Guards against a drain that stops half done: the VM that carries it out dies in any phase,
	// before or after its status is written, and another VM continues.
	It("completes from any phase on any VM, and sends its order only to an idle target", func() {
		testkit.Check("1000", func(t *rapid.T) {
			var s plannedchange.Status
			o := plannedchange.Observation{Reachable: true, OpenRequests: 3, State: map[string]string{}}
			for range 60 {
				next, action := step(s, o)
				switch action {
				case plannedchange.MarkLeaving:
					o.Leaving = rapid.Bool().Draw(t, "mark accepted") || o.Leaving
				case plannedchange.SendOrder:
					if o.OpenRequests > 0 || !o.AppliedEverywhere {
						t.Fatal("sent an order to a target that is not drained")
					}
					if rapid.Bool().Draw(t, "order arrives") {
						o.State = map[string]string{"drain": "true"}
					}
				}
				if rapid.IntRange(0, 2).Draw(t, "status written") > 0 {
					s = next
				}
				o.AppliedEverywhere = o.AppliedEverywhere || (o.Leaving && rapid.Bool().Draw(t, "applied"))
				if o.OpenRequests > 0 && o.AppliedEverywhere {
					o.OpenRequests--
				}
			}
			for range 10 {
				o.Leaving, o.AppliedEverywhere, o.OpenRequests = true, true, 0
				var action plannedchange.ActionKind
				if s, action = step(s, o); action == plannedchange.SendOrder {
					o.State = map[string]string{"drain": "true"}
				}
			}
			if s.Phase != plannedchange.Done {
				t.Fatalf("the drain ended in phase %s", s.Phase)
			}
		})
	})
})

var _ = Describe("a planned change that loads a model", func() {
	spec := resource.PlannedChangeSpec{Target: "t", Action: resource.ActionLoad, Argument: "v7"}

	// Guards against a change that is reported as done while the target has the old version: the
	// order was lost, and the target's state has to be checked.
	It("is repeated until the target shows it", func() {
		s := plannedchange.Status{Phase: plannedchange.SendingOrder, ObservedGeneration: 1, FencingToken: 3}
		s, action := plannedchange.Step(spec, 1, s, targetState("load", "v6"))
		Expect(action).To(Equal(plannedchange.SendOrder))
		s, action = plannedchange.Step(spec, 1, s, targetState("load", "v7"))
		Expect(action).To(Equal(plannedchange.Finish))
		Expect(s.Phase).To(Equal(plannedchange.Done))
	})

	It("starts over when its spec changes", func() {
		s := plannedchange.Status{Phase: plannedchange.Done, ObservedGeneration: 1}
		s, action := plannedchange.Step(spec, 2, s, targetState("load", "v6"))
		Expect(action).To(Equal(plannedchange.SendOrder))
		Expect(s.ObservedGeneration).To(Equal(uint64(2)))
	})
})
