package placement_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
)

// greyFailure simulates nine routers and twelve targets, some of which fail a share of their
// requests for ten of fifteen seconds.
type greyFailure struct {
	failingTargets int               // number of failing targets; one if 0
	failureShare   float64           // share of its requests that a failing target fails
	failAs         placement.Outcome // outcome of these failures
	errorShare     float64           // share of requests that every target fails with Errored
	isolated       bool              // routers don't report to each other
}

// run returns the number of requests that the failing targets failed, and the number of requests
// that did not go to the home of their chat.
func (g greyFailure) run() (failed, awayFromHome int) {
	const routers, perSecond = 9, 130
	rnd := rand.New(rand.NewPCG(5, 6))
	balancers := make([]*placement.Balancer, routers)
	for i := range balancers {
		balancers[i] = newBalancer(targets(12)...)
	}
	failingUIDs := map[uint64]bool{}
	for _, t := range targets(12)[:max(g.failingTargets, 1)] {
		failingUIDs[t.UID] = true
	}
	for i := range 15 * perSecond {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		if i%(perSecond/10) == 0 && !g.isolated {
			for from := range balancers {
				for to := range balancers {
					if from != to {
						balancers[to].ReceiveReport(now, uint32(from), balancers[from].OwnLoads(now), balancers[from].OutcomesToReport(now))
					}
				}
			}
		}
		b := balancers[rnd.IntN(routers)]
		chat := rnd.Uint64N(500) + 1
		c := place(b, now, chat)
		if c.Rule != placement.RuleHome {
			awayFromHome++
		}
		fails := failingUIDs[c.Target.UID] && now.Sub(start) > 2*time.Second && now.Sub(start) < 12*time.Second
		outcome := placement.Answered
		switch {
		case fails && rnd.Float64() < g.failureShare:
			outcome = g.failAs
			failed++
		case rnd.Float64() < g.errorShare:
			outcome = placement.Errored
		}
		b.FinishRequest(now, c.Target.UID, outcome)
	}
	return failed, awayFromHome
}

var _ = Describe("outlier detection by the outcomes of the whole fleet", func() {
	// A target loses a third of its answers but passes its liveness checks. Each router sees one
	// request a second go there, two in three of which succeed, so its own outcomes were not enough
	// to eject it. Callers that wrote to its chats waited for eight seconds and got nothing, and
	// such requests may not be retried.
	It("ejects a target that loses answers within seconds, although each router sees few of its requests", func() {
		isolated, _ := greyFailure{failureShare: 0.3, failAs: placement.Failed, isolated: true}.run()
		together, _ := greyFailure{failureShare: 0.3, failAs: placement.Failed}.run()
		Expect(together).To(BeNumerically("<", isolated/2), "%d requests failed with the outcomes of the fleet, %d with each router's own", together, isolated)
	})

	It("ejects a target that fails half of its requests", func() {
		isolated, _ := greyFailure{failureShare: 0.5, failAs: placement.Errored, isolated: true}.run()
		together, _ := greyFailure{failureShare: 0.5, failAs: placement.Errored}.run()
		Expect(together).To(BeNumerically("<", isolated/2), "%d requests failed with the outcomes of the fleet, %d with each router's own", together, isolated)
	})

	It("keeps chats at home while all targets fail some requests, as some services always do", func() {
		_, awayFromHome := greyFailure{errorShare: 0.14}.run()
		Expect(awayFromHome).To(BeNumerically("<", 60), "requests of 1,950 away from home")
	})

	It("keeps chats at home while all targets fail nearly half of their requests", func() {
		_, awayFromHome := greyFailure{errorShare: 0.45}.run()
		Expect(awayFromHome).To(BeNumerically("<", 120), "requests of 1,950 away from home")
	})

	It("ejects seven of twelve targets that lose answers", func() {
		isolated, _ := greyFailure{failingTargets: 7, failureShare: 0.3, failAs: placement.Failed, isolated: true}.run()
		together, _ := greyFailure{failingTargets: 7, failureShare: 0.3, failAs: placement.Failed}.run()
		Expect(together).To(BeNumerically("<", isolated*2/3), "%d requests failed with the outcomes of the fleet, %d with each router's own", together, isolated)
	})

	It("keeps chats at home while a target loses one answer in twenty", func() {
		_, awayFromHome := greyFailure{failureShare: 0.05, failAs: placement.Failed}.run()
		Expect(awayFromHome).To(BeNumerically("<", 40), "requests of 1,950 away from home")
	})

	// A target is ejected while other routers still report the failures from before. If these led
	// to another ejection, the target would stay ejected for ever.
	It("uses a target again after it has recovered", func() {
		one, other := newBalancer(targets(6)...), newBalancer(targets(6)...)
		home := place(one, start, 7).Target.UID
		for range 11 {
			other.FinishRequest(start, home, placement.Errored)
			one.FinishRequest(start, home, placement.Neutral)
		}
		one.FinishRequest(start, home, placement.Errored)
		reported := other.OutcomesToReport(start)
		Expect(reported).To(HaveLen(1))
		Expect(one.ReceiveReport(start, 2, nil, reported)).To(HaveLen(1), "ejected by the report")
		Expect(place(one, start, 7).Target.UID).NotTo(Equal(home))
		for i := range 100 {
			now := start.Add(time.Duration(i) * 100 * time.Millisecond)
			one.ReceiveReport(now, 2, nil, other.OutcomesToReport(now))
		}
		now := start.Add(10 * time.Second)
		Expect(place(one, now, 7).Target.UID).To(Equal(home))
	})

	It("doubles the time of an ejection that follows soon after another one", func() {
		b := newBalancer(targets(6)...)
		home := place(b, start, 7).Target.UID
		ejectionTime := func(now time.Time) time.Duration {
			for range 20 {
				b.FinishRequest(now, home, placement.Errored)
			}
			ejected := time.Duration(0)
			for place(b, now.Add(ejected), 7).Target.UID != home {
				ejected += 100 * time.Millisecond
			}
			return ejected
		}
		first := ejectionTime(start)
		Expect(ejectionTime(start.Add(2 * time.Second))).To(Equal(2 * first))
		Expect(ejectionTime(start.Add(time.Minute))).To(Equal(first))
	})

	It("reports no outcomes of targets without failures", func() {
		b := newBalancer(targets(6)...)
		for range 50 {
			b.FinishRequest(start, place(b, start, 7).Target.UID, placement.Answered)
		}
		Expect(b.OutcomesToReport(start)).To(BeEmpty())
	})

	// One router sees failures of a target and reports them; others see only successes. Without
	// their successes, a target that fails three in a hundred requests would be ejected.
	It("includes the successes that all routers saw at a target once one router reports a failure", func() {
		one, other := newBalancer(targets(6)...), newBalancer(targets(6)...)
		uid := targets(6)[0].UID
		one.FinishRequest(start, uid, placement.Errored)
		for range 30 {
			other.FinishRequest(start, uid, placement.Answered)
		}
		Expect(other.OutcomesToReport(start)).To(BeEmpty())
		other.ReceiveReport(start, 1, nil, one.OutcomesToReport(start))
		Expect(other.OutcomesToReport(start)).To(Equal([]placement.TargetOutcomes{{Target: uid, Ended: 30}}))
	})

	// Guards against overloading the few targets that do not fail: the ejected ones got no requests
	// although the others were at the load bound.
	DescribeTable("uses ejected targets before the others exceed the load bound", func(chat uint64) {
		list := targets(9)
		ejected, open := map[uint64]bool{}, map[uint64]int{}
		loads := make([]placement.Load, 0, len(list))
		var outcomes []placement.TargetOutcomes
		for i, t := range list {
			if ejected[t.UID] = i < 5; ejected[t.UID] {
				outcomes = append(outcomes, placement.TargetOutcomes{Target: t.UID, Ended: 40, Failed: 24})
				open[t.UID] = 2
			} else {
				open[t.UID] = 20
			}
			loads = append(loads, placement.Load{Target: t.UID, Open: open[t.UID]})
		}
		b := newBalancer(list...)
		Expect(b.ReceiveReport(start, 1, loads, outcomes)).To(HaveLen(5), "ejected")
		usedEjected := 0
		for i := range 100 { // the others are below the bound at first
			c := place(b, start, chat*uint64(i+1))
			Expect(float64(c.Open + 1)).To(BeNumerically("<=", c.Bound))
			if ejected[c.Target.UID] {
				usedEjected++
				for uid, n := range open {
					Expect(ejected[uid] || float64(n+1) > c.Bound).To(BeTrue(), "one that is not ejected has room")
				}
			}
			open[c.Target.UID]++
		}
		Expect(usedEjected).To(BeNumerically(">", 5))
	},
		Entry("for requests of chats", uint64(7919)),
		Entry("for requests without a chat", uint64(0)),
	)
})
