package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

var _ = Describe("the roster", func() {
	list := map[string][]placement.Target{pool: targets(2)}

	// Symptom: the caches of a whole pool are lost when the store returns. Sequence: all
	// entries expire while the store is away, and are back two seconds later. Cause: a
	// removal was believed at once.
	It("keeps a target for a grace after it left the list", func() {
		r := placement.NewRoster()
		r.Update(start, list, nil)
		r.Update(start, nil, nil)
		Expect(r.Expire(start.Add(time.Second), 2*time.Second)).To(BeFalse())
		Expect(r.Pools()[pool]).To(HaveLen(2))
		r.Update(start.Add(time.Second), list, nil)
		Expect(r.Expire(start.Add(time.Minute), 2*time.Second)).To(BeFalse())
		r.Update(start.Add(time.Minute), nil, nil)
		Expect(r.Expire(start.Add(time.Minute+2*time.Second), 2*time.Second)).To(BeTrue())
		Expect(r.Pools()).To(BeEmpty())
		Expect(r.Has()(targets(1)[0].UID)).To(BeFalse())
	})

	lifetime := func(started int64) map[string][]placement.Target {
		t := target("0", "a")
		t.Started, t.UID = started, placement.UID(t.ID, started)
		return map[string][]placement.Target{pool: {t}}
	}

	It("keeps one lifetime of a target, and tells which has ended", func() {
		r := placement.NewRoster()
		Expect(r.Update(start, lifetime(1), nil)).To(BeEmpty())
		Expect(r.Update(start, lifetime(1), nil)).To(BeEmpty())
		ended := r.Update(start, lifetime(2), nil)
		Expect(ended).To(HaveLen(1))
		Expect(ended[0].Started).To(BeEquivalentTo(1))
		Expect(r.Pools()[pool]).To(Equal(lifetime(2)[pool]))
		Expect(r.Has()(ended[0].UID)).To(BeFalse(), "its connections are closed")
	})

	// Symptom: answers that were on their way are cut off. Sequence: the store carries out a write of
	// a target's earlier lifetime late; the list tells of that one for a moment. Cause: each
	// change of lifetime was taken for an end of the one before.
	It("goes by the newest list, and takes no lifetime for ended that began later", func() {
		r := placement.NewRoster()
		r.Update(start, lifetime(2), nil)
		Expect(r.Update(start, lifetime(1), nil)).To(BeEmpty())
		Expect(r.Pools()[pool]).To(Equal(lifetime(1)[pool]))
		Expect(r.Update(start, lifetime(2), nil)).To(HaveLen(1))
	})

	It("drops a target at once whose entry can't be trusted", func() {
		r := placement.NewRoster()
		r.Update(start, list, nil)
		r.Update(start, map[string][]placement.Target{pool: list[pool][:1]}, []string{"1"})
		Expect(r.Pools()[pool]).To(HaveLen(1))
	})
})

var _ = Describe("the lifetimes of a target", func() {
	lifetime := func(started int64) placement.Target {
		t := target("0", "a")
		t.Started, t.UID = started, placement.UID(t.ID, started)
		return t
	}
	others := targets(6)[1:]
	lists := func(started int64) map[string][]placement.Target {
		return map[string][]placement.Target{pool: append([]placement.Target{lifetime(started)}, others...)}
	}

	It("share its chats, and nothing else that is believed of one holds for the next", func() {
		b := board(lists(1)[pool]...)
		one := lifetime(1)
		var chat uint64
		for chat = 1; place(b, start, chat).Target.UID != one.UID; chat++ {
		}
		b.Heard(start, 7, []placement.Load{{Target: one.UID, Open: 9}}, []placement.Outcomes{{Target: one.UID, Ended: 20, Failed: 20}})
		fail(b, start, one.UID, 2)
		Expect(place(b, start, chat).Target.UID).NotTo(Equal(one.UID), "it is suspended")
		later := start.Add(time.Minute)
		b.SetTargets(later, lists(2))
		got := place(b, later, chat)
		Expect(got.Target.UID).To(Equal(lifetime(2).UID))
		Expect(got.Rule).To(Equal(placement.RuleHome))
		Expect(got.Open).To(BeZero(), "what was open at the earlier lifetime ended with it")
		Expect(got.Source).NotTo(BeEmpty(), "it has nothing cached")
	})

	// Symptom: a target that has just started takes too much, or is ejected for nothing. Sequence:
	// another router hears of the start first, and tells of the new lifetime before this one has
	// the list; or it hears of it last, and goes on telling of the earlier one. Cause: digests
	// and the list come in any order.
	It("are told apart in digests, whichever comes first", func() {
		testkit.Check("100", func(t *rapid.T) {
			b := board(lists(1)[pool]...)
			early := rapid.IntRange(0, 20).Draw(t, "told of the new one before the list")
			late := rapid.IntRange(0, 20).Draw(t, "told of the earlier one after it")
			failed := float64(rapid.IntRange(0, 40).Draw(t, "failures at the earlier one"))
			b.Heard(start, 1, []placement.Load{{Target: lifetime(2).UID, Open: early}}, []placement.Outcomes{{Target: lifetime(2).UID, Ended: 5}})
			b.SetTargets(start, lists(2))
			b.Heard(start, 2, []placement.Load{{Target: lifetime(1).UID, Open: late}}, []placement.Outcomes{{Target: lifetime(1).UID, Ended: failed, Failed: failed}})
			if got := b.OpenAt()["0"]; got != early {
				t.Fatalf("%d open, %d were told", got, early)
			}
		})
	})
})
