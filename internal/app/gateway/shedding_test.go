package gateway

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/admission"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/route"
	"github.com/hemlockdyke/hemlockdyke/internal/core/shedding"
	"github.com/hemlockdyke/hemlockdyke/internal/core/workload"
)

var _ = Describe("load shedding", func() {
	newTraffic := func(scheduleByWork bool) (*Control, time.Time) {
		c, now := newControlWithTargets(4)
		s := placement.DefaultSettings("a")
		s.ScheduleByWork = scheduleByWork
		c.traffic.balancer = placement.New(s, rand.New(rand.NewPCG(1, 1)))
		var list []placement.PoolTarget
		for i := range uint64(4) {
			list = append(list, placement.PoolTarget{Pool: "p", Target: placement.Target{UID: i + 1, ID: string(rune('a' + i)), Slots: 4, DataCentre: "a"}})
		}
		c.traffic.shedding.ordersTargets = scheduleByWork
		c.traffic.balancer.UpdateTargets(now, placement.TargetChanges{Updated: list})
		zero := 0
		state := &route.DesiredState{
			Routes: []route.Route{{Name: "chat", Priority: 1, Split: []route.WeightedPool{{Pool: "p", Weight: 1}}}, {Name: "tags", Priority: 2, Split: []route.WeightedPool{{Pool: "p", Weight: 1}}}},
			Teams:  []route.Team{{Name: "a", Priority: &zero}, {Name: "b"}},
		}
		c.traffic.shedding.rankings = rankings(state)
		return c, now
	}
	place := func(c *Control, now time.Time, tokens, priority, routePriority int) (admission.Decision, *shedDecision, placement.Choice) {
		choice, d, shed, ok := c.traffic.placeRequest(now, placement.Request{Pool: "p", PromptTokens: tokens},
			admission.Request{Team: "b", Priority: priority, RoutePriority: routePriority, Remaining: 8 * time.Second, Objective: time.Second}, sheddingRequest{route: "r"}, false)
		Expect(ok).To(BeTrue())
		return d, shed, choice
	}

	// Guards against another kind of admission for pools and requests that must decide as before.
	It("decides only on requests with prompts of pools that are scheduled by work", func() {
		c, now := newTraffic(true)
		_, shed, _ := place(c, now, 100, 1, 1)
		Expect(shed).NotTo(BeNil())
		_, shed, _ = place(c, now, 0, 1, 1)
		Expect(shed).To(BeNil())
		c, now = newTraffic(false)
		_, shed, _ = place(c, now, 100, 1, 1)
		Expect(shed).To(BeNil())
		Expect(c.traffic.digestContent(now).Teams).To(BeEmpty())
	})

	// Guards against targets that order requests in another way than the routers.
	It("sends the rank of the urgency in the desired state", func() {
		c, now := newTraffic(true)
		for want, u := range []shedding.Urgency{{Priority: 0, RoutePriority: 1}, {Priority: 0, RoutePriority: 2}, {Priority: 1, RoutePriority: 1}, {Priority: 2, RoutePriority: 2}} {
			_, shed, _ := place(c, now, 100, u.Priority, u.RoutePriority)
			Expect(shed.TargetPriority).To(Equal(want))
		}
	})

	// Guards against targets that preempt requests of less urgent routes, and prefill them again, where the
	// settings don't ask for it.
	It("sends the request's own priority if only the targets' pace switched the scheduling on", func() {
		c, now := newTraffic(true)
		c.traffic.shedding.ordersTargets = false
		_, shed, _ := place(c, now, 100, 1, 2)
		Expect(shed.TargetPriority).To(Equal(1))
	})

	// Guards against a route whose requests are refused for ever since their assumed work exceeds their time:
	// no answer would ever correct the assumption.
	It("does not refuse a request for work that is only assumed", func() {
		m := &MatchedRequest{call: &Call{PromptTokens: 3000, MaxOutputTokens: 30_000, PromptPrefixes: []placement.Prefix{{Hash: 1, Tokens: 2000}}}}
		e := workload.NewEstimator()
		Expect(m.demandOf(e.Estimate("r", m.workRequest()))).To(BeZero())
		now := time.Unix(1000, 0)
		e.Record(now, "r", e.Estimate("r", m.workRequest()), workload.Outcome{Events: 100, TokensPerEvent: 1, FirstEvent: 100 * time.Millisecond, Total: time.Second})
		d := m.demandOf(e.Estimate("r", m.workRequest()))
		Expect(d.slotTime).To(BeNumerically(">", 0))
		Expect(d.memoryTokens).To(BeNumerically("~", 1100, 5), "what others share is not counted")
	})

	// Guards against refusals by the load of one target, and against counts that are not taken back.
	It("refuses by the utilization of the pool, and reports the work of its teams", func() {
		c, now := newTraffic(true)
		_, _, first := place(c, now, 100, 0, 1)
		_, _, choice := place(c, now, 100, 2, 2)
		Expect(c.traffic.digestContent(now).Teams).To(Equal([]shedding.TeamWork{{Team: shedding.TeamHash("p", "b"), Work: 2 * time.Second}}))
		c.applyReport(now, fleet.ReportReceived{Source: 7, Loads: []placement.Load{{Target: 1, Open: 12}, {Target: 2, Open: 12}}, Teams: []shedding.TeamWork{{Team: 3, Work: time.Second}}})
		Expect(c.traffic.shedding.teamWork()).To(Equal(map[uint64]time.Duration{3: time.Second}))
		now = now.Add(100 * time.Millisecond)
		refused := 0
		for range 10 {
			d, shed, _ := place(c, now, 100, 2, 2)
			if d.Code == code.QueueFull {
				refused++
				Expect(shed.Reason).To(BeElementOf(shedding.ReasonShare, shedding.ReasonHopeless))
				Expect(shed.Utilization).To(BeNumerically(">", 1))
				Expect(d.RetryAfter).To(BeNumerically("~", 8*time.Second*7/24, 8*time.Second/24))
			}
		}
		Expect(refused).To(BeNumerically(">=", 7), "three quarters of the last rank's requests are refused at least")
		for _, ended := range []placement.Choice{first, choice} {
			c.traffic.finishAttempt(now, "p", "b", ended, placement.Answered, time.Second, admission.InTime, &shedDecision{Decision: shedding.Decision{Work: time.Second}})
		}
		c.traffic.forgetSources([]uint32{7})
		Expect(c.traffic.shedding.teamWork()).To(BeEmpty())
	})
})
