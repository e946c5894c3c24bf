package retry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/retry"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

// count is the number of requests and retries in a step.
type count struct{ requests, retries int }

// expectWithinBudget checks every span of the steps against a ratio of 0.2 and a slack of 58.
func expectWithinBudget(t *rapid.T, steps []count, perSpan int) {
	sum := func(from, to int) (c count) {
		for _, step := range steps[max(from, 0):max(min(to, len(steps)), 0)] {
			c.requests += step.requests
			c.retries += step.retries
		}
		return c
	}
	for from := -perSpan; from < len(steps); from++ {
		in := sum(from, from+perSpan)
		half, before := sum(from-perSpan/2, from+perSpan/2), sum(from-perSpan, from)
		most := max(in.requests, half.requests, before.requests)
		if allowed := 0.2*float64(most) + 58; float64(in.retries) > allowed {
			t.Fatalf("%d retries in the span from step %d, allowed %.1f", in.retries, from, allowed)
		}
	}
}

var _ = Describe("the fleet's retry budget", func() {
	// Guards against an outage of some targets that multiplies the load on the others: many routers
	// retry at once, each within its own part, and the parts add up to more than the budget.
	It("is kept by the sum of all routers in every span", func() {
		testkit.Check("200", func(t *rapid.T) {
			const span, step = 10 * time.Second, 250 * time.Millisecond
			start := time.Unix(1000, 0)
			routers := rapid.IntRange(1, 9).Draw(t, "routers")
			limits := retry.Limits{Ratio: 0.2, Slack: 58, Routers: routers}
			windows := make([]*retry.Window, routers)
			for i := range windows {
				windows[i] = retry.NewWindow(start, span)
			}
			var steps []count
			load := 0
			for i := range rapid.IntRange(20, 160).Draw(t, "steps") {
				now := start.Add(time.Duration(i) * step)
				var c count
				// Callers move between routers. Routers without callers retry all the same.
				serving := rapid.IntRange(1, routers).Draw(t, "serving")
				if i%20 == 0 {
					load = rapid.SampledFrom([]int{0, 0, 10, 100}).Draw(t, "load")
				}
				for j := range rapid.IntRange(load/2, load).Draw(t, "requests") {
					windows[j%serving].RecordRequest(now)
					c.requests++
				}
				for j := range rapid.IntRange(0, 50).Draw(t, "wanted") {
					if windows[j%routers].TryRetry(now, limits) {
						c.retries++
					}
				}
				steps = append(steps, c)
			}
			expectWithinBudget(t, steps, int(span/step))
		})
	})

	// Guards against more retries than the budget allows while routers restart again and again, or
	// are replaced by others.
	It("is kept by the sum of all processes that run one after the other", func() {
		testkit.Check("200", func(t *rapid.T) {
			const span, step = 10 * time.Second, 250 * time.Millisecond
			start := time.Unix(1000, 0)
			routers := rapid.SampledFrom([]int{1, 8, 62}).Draw(t, "routers")
			type process struct {
				window    *retry.Window
				startedAt time.Time
				first     bool
			}
			processes := make([]process, routers)
			for i := range processes {
				processes[i] = process{window: retry.NewWindow(start, span), startedAt: start, first: true}
			}
			var steps []count
			load := 0
			for i := range rapid.IntRange(20, 200).Draw(t, "steps") {
				now := start.Add(time.Duration(i) * step)
				if i%4 == 0 {
					for range rapid.SampledFrom([]int{0, 0, 0, 1, routers / 2, routers}).Draw(t, "restarted") {
						processes[rapid.IntRange(0, routers-1).Draw(t, "process")] = process{window: retry.NewWindow(now, span), startedAt: now}
					}
				}
				if i%20 == 0 {
					load = rapid.SampledFrom([]int{0, 10, 100, 100}).Draw(t, "load")
				}
				var c count
				for j := range load {
					processes[j%routers].window.RecordRequest(now)
					c.requests++
				}
				for j := range rapid.SampledFrom([]int{0, 0, 20, 200}).Draw(t, "wanted") {
					p := processes[j%routers]
					limits := retry.Limits{Ratio: 0.2, Slack: 58}
					if p.first || now.Sub(p.startedAt) >= retry.SlackDelay(span) {
						limits.Routers = routers
					}
					if p.window.TryRetry(now, limits) {
						c.retries++
					}
				}
				steps = append(steps, c)
			}
			expectWithinBudget(t, steps, int(span/step))
		})
	})

	// Guards against refused requests although the load is steady and targets have room. One of
	// three targets refuses requests, so a seventh of them needs a second attempt. This exceeds the
	// budget if half of the ratio is reserved for a load that doubles within a span.
	It("gives a steady load nearly the whole ratio", func() {
		start := time.Unix(1000, 0)
		w := retry.NewWindow(start, 10*time.Second)
		l := retry.Limits{Ratio: 0.2, Routers: 9}
		allowed := 0
		for i := range 4000 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			w.RecordRequest(now)
			if i >= 2000 && w.TryRetry(now, l) {
				allowed++
			}
		}
		Expect(allowed).To(BeNumerically(">", 360), "of 2,000 requests")
		Expect(allowed).To(BeNumerically("<=", 400))
	})

	// Guards against many times the allowed retries after all routers have restarted at once and
	// targets fail: each router takes itself for the only one.
	It("is kept by routers that have started at once and know of no other router", func() {
		start := time.Unix(1000, 0)
		l := retry.Limits{Ratio: 0.2, Slack: 58, Routers: 1}
		retries := 0
		for range 8 {
			w := retry.NewWindow(start, 10*time.Second)
			for w.TryRetry(start, l) {
				retries++
			}
		}
		Expect(retries).To(BeNumerically("<=", 58))
	})

	It("allows retries again after the span", func() {
		start := time.Unix(1000, 0)
		w := retry.NewWindow(start, 10*time.Second)
		l := retry.Limits{Ratio: 0.2, Slack: 16, Routers: 9}
		Expect(w.TryRetry(start, l)).To(BeTrue())
		Expect(w.TryRetry(start, l)).To(BeFalse())
		Expect(w.TryRetry(start.Add(9*time.Second), l)).To(BeFalse())
		Expect(w.TryRetry(start.Add(11*time.Second), l)).To(BeTrue())
	})
})
