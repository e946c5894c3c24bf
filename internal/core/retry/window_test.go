package retry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/retry"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

// count is what came and was repeated in a step.
type count struct{ requests, repeats int }

// expectKept checks each span of some steps against a ratio of 0.2 and a slack of 58.
func expectKept(t *rapid.T, steps []count, perSpan int) {
	sum := func(from, to int) (c count) {
		for _, one := range steps[max(from, 0):max(min(to, len(steps)), 0)] {
			c.requests += one.requests
			c.repeats += one.repeats
		}
		return c
	}
	for from := -perSpan; from < len(steps); from++ {
		in := sum(from, from+perSpan)
		half, before := sum(from-perSpan/2, from+perSpan/2), sum(from-perSpan, from)
		most := max(in.requests, half.requests, before.requests)
		if allowed := 0.2*float64(most) + 58; float64(in.repeats) > allowed {
			t.Fatalf("%d repeats in the span from step %d, allowed %.1f", in.repeats, from, allowed)
		}
	}
}

var _ = Describe("the fleet's budget of repeats", func() {
	// Symptom: an outage of targets multiplies the load on those that are left.
	// Sequence: many routers repeat at once, each within what it takes for its share.
	// Cause would be shares that add up to more than the budget.
	It("is kept by the sum of all routers in every window", func() {
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
				// Callers move between routers; those that serve nobody repeat all the same.
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
						c.repeats++
					}
				}
				steps = append(steps, c)
			}
			expectKept(t, steps, int(span/step))
		})
	})

	// Guards against more repeats than the budget allows while routers start again and again, or come in the place of others.
	It("is kept by the sum of all processes, one after the other", func() {
		testkit.Check("200", func(t *rapid.T) {
			const span, step = 10 * time.Second, 250 * time.Millisecond
			start := time.Unix(1000, 0)
			routers := rapid.SampledFrom([]int{1, 8, 62}).Draw(t, "routers")
			type process struct {
				window *retry.Window
				began  time.Time
				first  bool
			}
			processes := make([]process, routers)
			for i := range processes {
				processes[i] = process{window: retry.NewWindow(start, span), began: start, first: true}
			}
			var steps []count
			load := 0
			for i := range rapid.IntRange(20, 200).Draw(t, "steps") {
				now := start.Add(time.Duration(i) * step)
				if i%4 == 0 {
					for range rapid.SampledFrom([]int{0, 0, 0, 1, routers / 2, routers}).Draw(t, "ended") {
						processes[rapid.IntRange(0, routers-1).Draw(t, "which")] = process{window: retry.NewWindow(now, span), began: now}
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
					if p.first || now.Sub(p.began) >= retry.SlackDelay(span) {
						limits.Routers = routers
					}
					if p.window.TryRetry(now, limits) {
						c.repeats++
					}
				}
				steps = append(steps, c)
			}
			expectKept(t, steps, int(span/step))
		})
	})

	// Symptom: requests that one of three targets turns away are refused, though the other two
	// have room. Sequence: the load is steady, and a seventh of the requests needs a second
	// send. Cause: half of the ratio was kept back for a load that doubles within a span.
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

	// Symptom: a service gets many times the repeats that it may. Sequence: all routers
	// restart at once, and targets fail. Cause: each took itself for the only one.
	It("is kept by routers that have started at once and know of nobody", func() {
		start := time.Unix(1000, 0)
		l := retry.Limits{Ratio: 0.2, Slack: 58, Routers: 1}
		repeats := 0
		for range 8 {
			w := retry.NewWindow(start, 10*time.Second)
			for w.TryRetry(start, l) {
				repeats++
			}
		}
		Expect(repeats).To(BeNumerically("<=", 58))
	})

	It("has room again after the window", func() {
		start := time.Unix(1000, 0)
		w := retry.NewWindow(start, 10*time.Second)
		l := retry.Limits{Ratio: 0.2, Slack: 16, Routers: 9}
		Expect(w.TryRetry(start, l)).To(BeTrue())
		Expect(w.TryRetry(start, l)).To(BeFalse())
		Expect(w.TryRetry(start.Add(9*time.Second), l)).To(BeFalse())
		Expect(w.TryRetry(start.Add(11*time.Second), l)).To(BeTrue())
	})
})
