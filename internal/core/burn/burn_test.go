package burn_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/burn"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

var _ = Describe("the service level tracker", func() {
	key := burn.Key{Pool: "chat", Team: "t"}

	counts := func(t *burn.Tracker, now time.Time) []burn.Count {
		samples := t.Samples(now)
		if len(samples) == 0 {
			return make([]burn.Count, len(burn.Windows()))
		}
		return samples[0].Counts
	}

	It("counts the requests of each window", func() {
		start := time.Unix(1000, 0)
		t := burn.NewTracker(start, 10)
		t.RecordRequest(start, key, true, 20*time.Millisecond)
		t.RecordRequest(start, key, false, 0)
		Expect(counts(t, start)).To(Equal([]burn.Count{{Good: 1, Bad: 1}, {Good: 1, Bad: 1}}))
		later := start.Add(6 * time.Minute)
		Expect(counts(t, later)).To(Equal([]burn.Count{{}, {Good: 1, Bad: 1}}))
		Expect(counts(t, start.Add(2*time.Hour))).To(Equal([]burn.Count{{}, {}}))
	})

	It("counts from its start for any start time", func() {
		for _, start := range []time.Time{{}, time.Unix(0, 0), time.Unix(1<<33, 0)} {
			t := burn.NewTracker(start, 10)
			t.RecordRequest(start, key, true, 0)
			Expect(counts(t, start.Add(time.Second))[0]).To(Equal(burn.Count{Good: 1}))
		}
	})

	It("limits the number of series without losing requests", func() {
		start := time.Unix(1000, 0)
		t := burn.NewTracker(start, 3)
		for _, team := range []string{"a", "b", "c", "d", "e"} {
			t.RecordRequest(start, burn.Key{Pool: "chat", Team: team}, true, 0)
		}
		samples := t.Samples(start)
		Expect(samples).To(HaveLen(4))
		sum := uint64(0)
		for _, s := range samples {
			sum += s.Counts[0].Good
		}
		Expect(sum).To(Equal(uint64(5)))
	})

	It("aggregates several routers to the same result as a single one", func() {
		testkit.Check("100", func(t *rapid.T) {
			start := time.Unix(1000, 0)
			single := burn.NewTracker(start, 100)
			parts := []*burn.Tracker{burn.NewTracker(start, 100), burn.NewTracker(start, 100), burn.NewTracker(start, 100)}
			for range rapid.IntRange(0, 60).Draw(t, "requests") {
				k := burn.Key{Pool: "chat", Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team")}
				good := rapid.Bool().Draw(t, "good")
				first := time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
				single.RecordRequest(start, k, good, first)
				parts[rapid.IntRange(0, 2).Draw(t, "router")].RecordRequest(start, k, good, first)
			}
			fromOne, fromParts := burn.NewAggregate(), burn.NewAggregate()
			for _, s := range single.Samples(start) {
				fromOne.AddSample(s)
			}
			for _, part := range parts {
				for _, s := range part.Samples(start) {
					fromParts.AddSample(s)
				}
			}
			objective := func(string) float64 { return 99 }
			Expect(fromParts.Rows(objective)).To(Equal(fromOne.Rows(objective)))
		})
	})

	It("computes the burn rate and whether a request met its service level", func() {
		Expect(burn.Rate(burn.Count{Good: 99, Bad: 1}, 99)).To(BeNumerically("~", 1, 0.001))
		Expect(burn.Rate(burn.Count{Good: 90, Bad: 10}, 99)).To(BeNumerically("~", 10, 0.001))
		Expect(burn.Rate(burn.Count{}, 99)).To(BeZero())
		Expect(burn.MetServiceLevel(true, time.Second, 0)).To(BeTrue())
		Expect(burn.MetServiceLevel(true, time.Second, 999*time.Millisecond)).To(BeFalse())
		Expect(burn.MetServiceLevel(false, 0, time.Second)).To(BeFalse())
	})
})
