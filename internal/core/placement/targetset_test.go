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

var _ = Describe("the target set", func() {
	list := map[string][]placement.Target{pool: targets(2)}

	// All entries expire during a store outage and are back two seconds after it. While a removal
	// applied at once, the caches of the whole pool were lost.
	It("keeps a target for a while after its removal from the list", func() {
		s := placement.NewTargetSet()
		s.Update(start, 0, list, nil)
		s.Update(start, 0, nil, nil)
		Expect(s.RemoveExpired(start.Add(time.Second), placement.Retention{AfterRemoval: 2 * time.Second})).To(BeFalse())
		Expect(s.ByPool()[pool]).To(HaveLen(2))
		s.Update(start.Add(time.Second), 0, list, nil)
		Expect(s.RemoveExpired(start.Add(time.Minute), placement.Retention{AfterRemoval: 2 * time.Second})).To(BeFalse())
		s.Update(start.Add(time.Minute), 0, nil, nil)
		Expect(s.RemoveExpired(start.Add(time.Minute+2*time.Second), placement.Retention{AfterRemoval: 2 * time.Second})).To(BeTrue())
		Expect(s.ByPool()).To(BeEmpty())
		Expect(s.HasLifetime(targets(1)[0].UID)).To(BeFalse())
	})

	lifetime := func(started int64) map[string][]placement.Target {
		t := target("0", "a")
		t.StartedAtMs, t.UID = started, placement.UID(t.ID, started, "")
		return map[string][]placement.Target{pool: {t}}
	}

	It("keeps one lifetime of a target, and returns the one that has ended", func() {
		s := placement.NewTargetSet()
		Expect(s.Update(start, 0, lifetime(1), nil).Ended).To(BeEmpty())
		Expect(s.Update(start, 0, lifetime(1), nil).Ended).To(BeEmpty())
		ended := s.Update(start, 0, lifetime(2), nil).Ended
		Expect(ended).To(HaveLen(1))
		Expect(ended[0].StartedAtMs).To(BeEquivalentTo(1))
		Expect(s.ByPool()[pool]).To(Equal(lifetime(2)[pool]))
		Expect(s.HasLifetime(ended[0].UID)).To(BeFalse(), "its connections can be closed")
	})

	// The store applies a write of a target's earlier lifetime late, so the list shows that
	// lifetime for a moment. While each change of lifetime counted as the end of the previous one,
	// answers in flight were cut off.
	It("uses the lifetime in the latest list, and does not report one as ended that began later", func() {
		s := placement.NewTargetSet()
		s.Update(start, 0, lifetime(2), nil)
		Expect(s.Update(start, 0, lifetime(1), nil).Ended).To(BeEmpty())
		Expect(s.ByPool()[pool]).To(Equal(lifetime(1)[pool]))
		Expect(s.Update(start, 0, lifetime(2), nil).Ended).To(HaveLen(1))
	})

	It("drops a target with an invalid entry at once", func() {
		s := placement.NewTargetSet()
		s.Update(start, 0, list, nil)
		s.Update(start, 0, map[string][]placement.Target{pool: list[pool][:1]}, []string{"1"})
		Expect(s.ByPool()[pool]).To(HaveLen(1))
	})
})

var _ = Describe("the lifetimes of a target", func() {
	lifetime := func(started int64) placement.Target {
		t := target("0", "a")
		t.StartedAtMs, t.UID = started, placement.UID(t.ID, started, "")
		return t
	}
	others := targets(6)[1:]
	lists := func(started int64) map[string][]placement.Target {
		return map[string][]placement.Target{pool: append([]placement.Target{lifetime(started)}, others...)}
	}

	It("share its chats but no other state", func() {
		b := newBalancer(lists(1)[pool]...)
		one := lifetime(1)
		var chat uint64
		for chat = 1; place(b, start, chat).Target.UID != one.UID; chat++ {
		}
		b.ReceiveReport(start, 7, []placement.Load{{Target: one.UID, Open: 9}}, []placement.TargetOutcomes{{Target: one.UID, Ended: 20, Failed: 20}})
		recordFailures(b, start, one.UID, 2)
		Expect(place(b, start, chat).Target.UID).NotTo(Equal(one.UID), "the first lifetime is suspended")
		later := start.Add(time.Minute)
		b.SetTargets(later, lists(2))
		got := place(b, later, chat)
		Expect(got.Target.UID).To(Equal(lifetime(2).UID))
		Expect(got.Rule).To(Equal(placement.RuleHome))
		Expect(got.Open).To(BeZero(), "requests at the earlier lifetime ended with it")
		Expect(got.CacheSource).NotTo(BeEmpty(), "the new lifetime has nothing cached")
	})

	// Digests and the target list arrive in any order. Another router may report a new lifetime
	// before the list shows it, or still report the earlier one after that. Mixing them up gives a
	// new target too many requests, or ejects it for failures of its earlier lifetime.
	It("are distinguished in digests that arrive before or after the list", func() {
		testkit.Check("100", func(t *rapid.T) {
			b := newBalancer(lists(1)[pool]...)
			early := rapid.IntRange(0, 20).Draw(t, "reported for the new one before the list")
			late := rapid.IntRange(0, 20).Draw(t, "reported for the earlier one after the list")
			failed := float64(rapid.IntRange(0, 40).Draw(t, "failures of the earlier one"))
			b.ReceiveReport(start, 1, []placement.Load{{Target: lifetime(2).UID, Open: early}}, []placement.TargetOutcomes{{Target: lifetime(2).UID, Ended: 5}})
			b.SetTargets(start, lists(2))
			b.ReceiveReport(start, 2, []placement.Load{{Target: lifetime(1).UID, Open: late}}, []placement.TargetOutcomes{{Target: lifetime(1).UID, Ended: failed, Failed: failed}})
			if got := b.OpenByTarget()["0"]; got != early {
				t.Fatalf("%d requests are open, %d were reported", got, early)
			}
		})
	})
})

var _ = Describe("departures reported by other routers", func() {
	at := time.Unix(1000, 0)

	// A router that has received a departure may then receive an older target list, or a departure
	// that an earlier state of the entry caused. If the last message counted, instead of the
	// version, it would send requests to a leaving target.
	It("count until a later list arrives, in any order of lists and reports", func() {
		testkit.Check("300", func(t *rapid.T) {
			const targets = 3
			// The history of the target list: each version sets one target to ready, leaving or
			// removed.
			type change struct {
				target int
				state  string
			}
			history := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) change {
				return change{rapid.IntRange(0, targets-1).Draw(t, "target"), rapid.SampledFrom([]string{"ready", "leaving", "removed"}).Draw(t, "state")}
			}), 1, 12).Draw(t, "history")
			targetsAt := func(version int) map[string]placement.Target {
				out := make(map[string]placement.Target)
				for i := range version {
					id := fmt.Sprint("t", history[i].target)
					out[id] = placement.Target{UID: placement.UID(id, 0, ""), ID: id, Leaving: history[i].state == "leaving"}
					if history[i].state == "removed" {
						delete(out, id)
					}
				}
				return out
			}
			update := func(s *placement.TargetSet, version int) []placement.Departure {
				list := targetsAt(version)
				pools := map[string][]placement.Target{}
				for _, target := range list {
					pools["p"] = append(pools["p"], target)
				}
				return s.Update(at, uint64(version), pools, nil).Departures
			}
			current, delayed := placement.NewTargetSet(), placement.NewTargetSet()
			update(delayed, 0)
			delayedVersion := 0
			// reportedVersion is the latest list version of the departures of each lifetime.
			reportedVersion := make(map[uint64]uint64)
			var reported []placement.Departure
			for version := range len(history) + 1 {
				reported = append(reported, update(current, version)...)
				if rapid.Bool().Draw(t, "list arrives") {
					delayedVersion = rapid.IntRange(delayedVersion, version).Draw(t, "version")
					update(delayed, delayedVersion)
				}
				if len(reported) > 0 && rapid.Bool().Draw(t, "report arrives") {
					i := rapid.IntRange(0, len(reported)-1).Draw(t, "first departure")
					delayed.ApplyDepartures(at, reported[i:])
					for _, d := range reported[i:] {
						reportedVersion[d.Target] = max(reportedVersion[d.Target], d.ListVersion)
					}
				}
				for id, target := range delayed.NonLeavingTargets() {
					entry, listed := targetsAt(delayedVersion)[id]
					if !listed || entry.Leaving || reportedVersion[target.UID] > uint64(delayedVersion) {
						t.Fatalf("%s is in NonLeavingTargets: listed %v at version %d, latest departure at version %d", id, listed, delayedVersion, reportedVersion[target.UID])
					}
				}
				for id, entry := range targetsAt(delayedVersion) {
					if _, ok := delayed.NonLeavingTargets()[id]; !ok && !entry.Leaving && reportedVersion[entry.UID] <= uint64(delayedVersion) {
						t.Fatalf("%s is not in NonLeavingTargets, but no departure was reported", id)
					}
				}
			}
			update(delayed, len(history))
			Expect(delayed.NonLeavingTargets()).To(Equal(current.NonLeavingTargets()))
		})
	})

	It("end the use of a removed target after the usual time", func() {
		s := placement.NewTargetSet()
		s.Update(at, 5, map[string][]placement.Target{"p": {{UID: 1, ID: "a"}}}, nil)
		newDepartures, ids := s.ApplyDepartures(at, []placement.Departure{{Target: 1, ListVersion: 9, Removed: true}, {Target: 2, ListVersion: 9}, {Target: 1, ListVersion: 4}})
		Expect(newDepartures).To(HaveLen(2), "the current list already covers the last one")
		Expect(ids).To(Equal([]string{"a"}), "the other target is not listed yet")
		Expect(s.ApplyDepartures(at, newDepartures)).To(BeEmpty(), "they were reported before")
		s.Update(at.Add(time.Second), 8, map[string][]placement.Target{"p": {{UID: 1, ID: "a"}}}, nil)
		Expect(s.RemoveExpired(at.Add(1900*time.Millisecond), placement.Retention{AfterRemoval: 2 * time.Second})).To(BeFalse())
		Expect(s.RemoveExpired(at.Add(2*time.Second), placement.Retention{AfterRemoval: 2 * time.Second})).To(BeTrue(), "counted from the report")
		Expect(s.ByPool()).To(BeEmpty())
	})

	// Guards against targets that are used for too long after a store outage, and against pools
	// that lose all targets in an outage.
	DescribeTable("keep a target for as long as its entry may only have expired in a store outage", func(removed, kept time.Duration) {
		outageStart := start.Add(time.Minute)
		outageEnd := outageStart.Add(10 * time.Second)
		retention := placement.Retention{AfterRemoval: 700 * time.Millisecond, AfterOutageRemoval: 2500 * time.Millisecond, OutageStart: outageStart, OutageEnd: outageEnd.Add(2500 * time.Millisecond)}
		s := placement.NewTargetSet()
		s.Update(start, 1, map[string][]placement.Target{"p": {{UID: 7, ID: "a"}}}, nil)
		s.Update(outageStart.Add(removed), 2, nil, nil)
		Expect(s.RemoveExpired(outageStart.Add(kept-time.Millisecond), retention)).To(BeFalse())
		Expect(s.RemoveExpired(outageStart.Add(kept), retention)).To(BeTrue())
	},
		Entry("removed before the outage", -time.Second, -300*time.Millisecond),
		Entry("removed during the outage", 5*time.Second, 7500*time.Millisecond),
		Entry("removed at the end of the outage", 10*time.Second, 12500*time.Millisecond),
		Entry("removed a second after the outage", 11*time.Second, 12500*time.Millisecond),
		Entry("removed when all expired entries are back", 12500*time.Millisecond, 13200*time.Millisecond),
	)
})
