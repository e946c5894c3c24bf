package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
)

var _ = Describe("a router whose own path was at fault", func() {
	// Guards against sound targets that the whole fleet ejects, since routers that have lost their links
	// report failures of all of them.
	It("takes back the failures that it has reported", func() {
		cut, other := newBalancer(targets(12)...), newBalancer(targets(12)...)
		failing := target("0", "a")
		for range 20 {
			cut.RecordSilence(start, failing.UID)
		}
		ejected := other.ReceiveReport(start, 7, nil, cut.OutcomesToReport(start))
		Expect(ejected).To(ConsistOf("0"), "until the router knows")
		cut.ForgetFailures(pool)
		now := start.Add(1100 * time.Millisecond) // the ejection is over
		reported := cut.OutcomesToReport(now)
		Expect(reported).To(BeEmpty())
		Expect(other.ReceiveReport(now, 7, nil, append([]placement.TargetOutcomes{}, reported...))).To(BeEmpty())
		for range 15 {
			other.FinishRequest(now, failing.UID, placement.Answered)
		}
		for chat := uint64(1); chat < 200; chat++ {
			for _, b := range []*placement.Balancer{cut, other} {
				c := place(b, now, chat)
				Expect(c.Rule).To(Equal(placement.RuleHome))
				b.FinishRequest(now, c.Target.UID, placement.Answered)
			}
		}
	})

	// Guards against callers refused long after the only running target of a pool has joined it.
	It("takes new targets as witnesses first, and none that is leaving or has exited", func() {
		list := targets(6)
		list[1].Leaving = true
		b := newBalancer(list...)
		b.MarkExited(start, list[2].UID)
		taken := b.TakeWitnesses(start, pool, list[0].UID, 3)
		Expect(taken).To(ConsistOf(list[3], list[4], list[5]))
		added := target("new", "a")
		b.SetTargets(start, map[string][]placement.Target{pool: append(list, added)})
		Expect(b.TakeWitnesses(start.Add(time.Second), pool, 0, 2)).To(ConsistOf(list[0], added))
	})

	// Guards against a router that has lost its links to some targets, takes its whole path for cut now
	// and then, and forgets each time which targets it does not reach.
	It("takes targets that it has suspended only after the others", func() {
		list := targets(9)
		b := newBalancer(list...)
		for _, t := range list[:6] {
			b.FinishRequest(start, t.UID, placement.Unreachable)
		}
		for i := range 20 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			Expect(b.TakeWitnesses(now, pool, 0, 3)).To(ConsistOf(list[6], list[7], list[8]))
		}
	})
})
