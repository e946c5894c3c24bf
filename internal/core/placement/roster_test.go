package placement_test

import (
	"fmt"
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
		r := placement.NewTargetSet()
		r.Update(start, 0, list, nil)
		r.Update(start, 0, nil, nil)
		Expect(r.Expire(start.Add(time.Second), placement.Retention{AfterRemoval: 2 * time.Second})).To(BeFalse())
		Expect(r.ByPool()[pool]).To(HaveLen(2))
		r.Update(start.Add(time.Second), 0, list, nil)
		Expect(r.Expire(start.Add(time.Minute), placement.Retention{AfterRemoval: 2 * time.Second})).To(BeFalse())
		r.Update(start.Add(time.Minute), 0, nil, nil)
		Expect(r.Expire(start.Add(time.Minute+2*time.Second), placement.Retention{AfterRemoval: 2 * time.Second})).To(BeTrue())
		Expect(r.ByPool()).To(BeEmpty())
		Expect(r.HasLifetime(targets(1)[0].UID)).To(BeFalse())
	})

	lifetime := func(started int64) map[string][]placement.Target {
		t := target("0", "a")
		t.StartedAtMs, t.UID = started, placement.UID(t.ID, started)
		return map[string][]placement.Target{pool: {t}}
	}

	It("keeps one lifetime of a target, and tells which has ended", func() {
		r := placement.NewTargetSet()
		Expect(r.Update(start, 0, lifetime(1), nil)).To(BeEmpty())
		Expect(r.Update(start, 0, lifetime(1), nil)).To(BeEmpty())
		ended := r.Update(start, 0, lifetime(2), nil)
		Expect(ended).To(HaveLen(1))
		Expect(ended[0].StartedAtMs).To(BeEquivalentTo(1))
		Expect(r.ByPool()[pool]).To(Equal(lifetime(2)[pool]))
		Expect(r.HasLifetime(ended[0].UID)).To(BeFalse(), "its connections are closed")
	})

	// Symptom: answers that were on their way are cut off. Sequence: the store carries out a write of
	// a target's earlier lifetime late; the list tells of that one for a moment. Cause: each
	// change of lifetime was taken for an end of the one before.
	It("goes by the newest list, and takes no lifetime for ended that began later", func() {
		r := placement.NewTargetSet()
		r.Update(start, 0, lifetime(2), nil)
		Expect(r.Update(start, 0, lifetime(1), nil)).To(BeEmpty())
		Expect(r.ByPool()[pool]).To(Equal(lifetime(1)[pool]))
		Expect(r.Update(start, 0, lifetime(2), nil)).To(HaveLen(1))
	})

	It("drops a target at once whose entry can't be trusted", func() {
		r := placement.NewTargetSet()
		r.Update(start, 0, list, nil)
		r.Update(start, 0, map[string][]placement.Target{pool: list[pool][:1]}, []string{"1"})
		Expect(r.ByPool()[pool]).To(HaveLen(1))
	})
})

var _ = Describe("the lifetimes of a target", func() {
	lifetime := func(started int64) placement.Target {
		t := target("0", "a")
		t.StartedAtMs, t.UID = started, placement.UID(t.ID, started)
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
		b.ReceiveReport(start, 7, []placement.Load{{Target: one.UID, Open: 9}}, []placement.TargetOutcomes{{Target: one.UID, Ended: 20, Failed: 20}})
		fail(b, start, one.UID, 2)
		Expect(place(b, start, chat).Target.UID).NotTo(Equal(one.UID), "it is suspended")
		later := start.Add(time.Minute)
		b.SetTargets(later, lists(2))
		got := place(b, later, chat)
		Expect(got.Target.UID).To(Equal(lifetime(2).UID))
		Expect(got.Rule).To(Equal(placement.RuleHome))
		Expect(got.Open).To(BeZero(), "what was open at the earlier lifetime ended with it")
		Expect(got.CacheSource).NotTo(BeEmpty(), "it has nothing cached")
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
			b.ReceiveReport(start, 1, []placement.Load{{Target: lifetime(2).UID, Open: early}}, []placement.TargetOutcomes{{Target: lifetime(2).UID, Ended: 5}})
			b.SetTargets(start, lists(2))
			b.ReceiveReport(start, 2, []placement.Load{{Target: lifetime(1).UID, Open: late}}, []placement.TargetOutcomes{{Target: lifetime(1).UID, Ended: failed, Failed: failed}})
			if got := b.OpenByTarget()["0"]; got != early {
				t.Fatalf("%d open, %d were told", got, early)
			}
		})
	})
})

var _ = Describe("departures that other routers tell of", func() {
	at := time.Unix(1000, 0)

	// Symptom: a target that said it leaves gets requests from a router that was told so. Sequence: the router
	// takes in an older list after the news, or hears the news of an earlier life of the entry. Cause would be to go by
	// whatever came last instead of by the versions of the entry.
	It("count until the list tells something newer, in whichever order they come", func() {
		testkit.Check("300", func(t *rapid.T) {
			const targets = 3
			// The history of the list: at each version one target is ready, leaving or gone.
			type change struct {
				target int
				state  string
			}
			history := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) change {
				return change{rapid.IntRange(0, targets-1).Draw(t, "target"), rapid.SampledFrom([]string{"ready", "leaving", "gone"}).Draw(t, "state")}
			}), 1, 12).Draw(t, "history")
			rows := func(version int) map[string]placement.Target {
				out := make(map[string]placement.Target)
				for i := range version {
					id := fmt.Sprint("t", history[i].target)
					out[id] = placement.Target{UID: placement.UID(id, 0), ID: id, Leaving: history[i].state == "leaving"}
					if history[i].state == "gone" {
						delete(out, id)
					}
				}
				return out
			}
			take := func(r *placement.TargetSet, version int) []placement.Departure {
				staying, list := r.ActiveTargets(), rows(version)
				pools := map[string][]placement.Target{}
				for _, target := range list {
					pools["p"] = append(pools["p"], target)
				}
				r.Update(at, uint64(version), pools, nil)
				news, _ := r.DeparturesSince(staying, func(id string) bool { _, ok := list[id]; return ok })
				return news
			}
			ahead, late := placement.NewTargetSet(), placement.NewTargetSet()
			take(late, 0)
			has := 0
			heard := make(map[uint64]uint64) // the latest list by which each lifetime departed
			var told []placement.Departure
			for version := range len(history) + 1 {
				told = append(told, take(ahead, version)...)
				if rapid.Bool().Draw(t, "list arrives") {
					has = rapid.IntRange(has, version).Draw(t, "version")
					take(late, has)
				}
				if len(told) > 0 && rapid.Bool().Draw(t, "news arrive") {
					i := rapid.IntRange(0, len(told)-1).Draw(t, "which")
					late.ApplyDepartures(at, told[i:])
					for _, d := range told[i:] {
						heard[d.Target] = max(heard[d.Target], d.ListVersion)
					}
				}
				for id, target := range late.ActiveTargets() {
					entry, listed := rows(has)[id]
					if !listed || entry.Leaving || heard[target.UID] > uint64(has) {
						t.Fatalf("%s is staying: listed %v at %d, departure %d", id, listed, has, heard[target.UID])
					}
				}
				for id, entry := range rows(has) {
					if _, ok := late.ActiveTargets()[id]; !ok && !entry.Leaving && heard[entry.UID] <= uint64(has) {
						t.Fatalf("%s does not stay, and nobody told so", id)
					}
				}
			}
			take(late, len(history))
			Expect(late.ActiveTargets()).To(Equal(ahead.ActiveTargets()))
		})
	})

	It("end the use of a gone target after the same grace", func() {
		r := placement.NewTargetSet()
		r.Update(at, 5, map[string][]placement.Target{"p": {{UID: 1, ID: "a"}}}, nil)
		news, ids := r.ApplyDepartures(at, []placement.Departure{{Target: 1, ListVersion: 9, Removed: true}, {Target: 2, ListVersion: 9}, {Target: 1, ListVersion: 4}})
		Expect(news).To(HaveLen(2), "the list in force knows of the last one")
		Expect(ids).To(Equal([]string{"a"}), "the other one is not listed yet")
		Expect(r.ApplyDepartures(at, news)).To(BeEmpty(), "told again")
		r.Update(at.Add(time.Second), 8, map[string][]placement.Target{"p": {{UID: 1, ID: "a"}}}, nil)
		Expect(r.Expire(at.Add(1900*time.Millisecond), placement.Retention{AfterRemoval: 2 * time.Second})).To(BeFalse())
		Expect(r.Expire(at.Add(2*time.Second), placement.Retention{AfterRemoval: 2 * time.Second})).To(BeTrue(), "from when it was told")
		Expect(r.ByPool()).To(BeEmpty())
	})

	// Guards against targets that are used for longer than allowed after a store's return, and against pools that lose all targets in an outage.
	DescribeTable("are used for as long as their entries may only have lapsed", func(gone, until time.Duration) {
		out := start.Add(time.Minute) // the store is away from then on
		back := out.Add(10 * time.Second)
		keep := placement.Retention{AfterRemoval: 700 * time.Millisecond, AfterOutageRemoval: 2500 * time.Millisecond, OutageStart: out, OutageEnd: back.Add(2500 * time.Millisecond)}
		r := placement.NewTargetSet()
		r.Update(start, 1, map[string][]placement.Target{"p": {{UID: 7, ID: "a"}}}, nil)
		r.Update(out.Add(gone), 2, nil, nil)
		Expect(r.Expire(out.Add(until-time.Millisecond), keep)).To(BeFalse())
		Expect(r.Expire(out.Add(until), keep)).To(BeTrue())
	},
		Entry("gone before the outage", -time.Second, -300*time.Millisecond),
		Entry("gone in the outage", 5*time.Second, 7500*time.Millisecond),
		Entry("gone at the return", 10*time.Second, 12500*time.Millisecond),
		Entry("gone a second later", 11*time.Second, 12500*time.Millisecond),
		Entry("gone when all that lapsed are back", 12500*time.Millisecond, 13200*time.Millisecond),
	)
})
