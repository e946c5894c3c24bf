package plannedchange_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/plannedchange"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

var drain = resource.PlannedChangeSpec{Target: "t", Action: resource.ActionDrain}

// ready is a target at which nothing stands in the way of the order.
var ready = plannedchange.Observation{Leaving: true, AppliedEverywhere: true, Reachable: true}

func shown(action, argument string) plannedchange.Observation {
	o := ready
	o.State = map[string]string{action: argument}
	return o
}

var _ = Describe("a drain", func() {
	step := func(s plannedchange.Status, o plannedchange.Observation) (plannedchange.Status, plannedchange.ActionKind) {
		return plannedchange.Step(drain, 1, s, o)
	}

	DescribeTable("does not order while something stands in the way",
		func(change func(*plannedchange.Observation), want plannedchange.ActionKind) {
			o := ready
			change(&o)
			s, action := step(plannedchange.Status{Phase: plannedchange.Draining, ObservedGeneration: 1}, o)
			Expect(action).To(Equal(want))
			Expect(s.Phase).To(Equal(plannedchange.Draining))
		},
		Entry("the mark is not accepted", func(o *plannedchange.Observation) { o.Leaving = false }, plannedchange.MarkLeaving),
		Entry("a router is behind", func(o *plannedchange.Observation) { o.AppliedEverywhere = false }, plannedchange.Wait),
		Entry("the target is silent", func(o *plannedchange.Observation) { o.Reachable = false }, plannedchange.Wait),
		Entry("requests are open", func(o *plannedchange.Observation) { o.OpenRequests = 1 }, plannedchange.Wait),
	)

	// Symptom: a drain hangs half done. Sequence: the VM that carries it out dies
	// in any phase, before or after its status is written; another one goes on.
	It("ends well from any phase on any VM, and orders only an idle target", func() {
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
						t.Fatal("ordered a target with open requests")
					}
					if rapid.Bool().Draw(t, "order arrives") {
						o.State = map[string]string{"drain": "true"}
					}
				}
				if rapid.IntRange(0, 2).Draw(t, "status written") > 0 {
					s = next
				}
				o.AppliedEverywhere = o.AppliedEverywhere || (o.Leaving && rapid.Bool().Draw(t, "in force"))
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
				t.Fatalf("phase %s", s.Phase)
			}
		})
	})
})

var _ = Describe("a load", func() {
	spec := resource.PlannedChangeSpec{Target: "t", Action: resource.ActionLoad, Argument: "v7"}

	// Symptom: the change is reported done but the target has the old version.
	// Sequence: the order is lost. Cause: nobody looks at the target afterwards.
	It("is repeated until the target shows it", func() {
		s := plannedchange.Status{Phase: plannedchange.Ordering, ObservedGeneration: 1, FencingToken: 3}
		s, action := plannedchange.Step(spec, 1, s, shown("load", "v6"))
		Expect(action).To(Equal(plannedchange.SendOrder))
		s, action = plannedchange.Step(spec, 1, s, shown("load", "v7"))
		Expect(action).To(Equal(plannedchange.Finish))
		Expect(s.Phase).To(Equal(plannedchange.Done))
	})

	It("starts over when its spec changes", func() {
		s := plannedchange.Status{Phase: plannedchange.Done, ObservedGeneration: 1}
		s, action := plannedchange.Step(spec, 2, s, shown("load", "v6"))
		Expect(action).To(Equal(plannedchange.SendOrder))
		Expect(s.ObservedGeneration).To(Equal(uint64(2)))
	})
})
