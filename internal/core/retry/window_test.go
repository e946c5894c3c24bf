package retry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/retry"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

var _ = Describe("the fleet's budget of repeats", func() {
	// Symptom: an outage of targets multiplies the load on those that are left.
	// Sequence: many routers repeat at once, each within what it takes for its share.
	// Cause would be shares that add up to more than the budget.
	It("is kept by the sum of all routers in every window", func() {
		testkit.Check("200", func(t *rapid.T) {
			const span = 10 * time.Second
			start := time.Unix(1000, 0)
			routers := rapid.IntRange(1, 9).Draw(t, "routers")
			limits := retry.Limits{Ratio: 0.2, Slack: 58, Routers: routers}
			windows := make([]*retry.Window, routers)
			for i := range windows {
				windows[i] = retry.NewWindow(start, span)
			}
			type count struct{ requests, repeats int }
			var seconds []count
			for s := range rapid.IntRange(5, 40).Draw(t, "seconds") {
				now := start.Add(time.Duration(s) * time.Second)
				var c count
				requests := rapid.IntRange(0, 200).Draw(t, "requests")
				for i := range requests {
					windows[i%routers].Request(now)
					c.requests++
				}
				for i := range rapid.IntRange(0, 200).Draw(t, "wanted") {
					if windows[i%routers].Repeat(now, limits) {
						c.repeats++
					}
				}
				seconds = append(seconds, c)
			}
			for from := range seconds {
				// The budget goes by the requests of the window, of the one before it, or of
				// the one half a window before it, whichever has most.
				var in, half, before, repeats int
				for s, c := range seconds {
					switch {
					case s >= from && s < from+10:
						in += c.requests
						repeats += c.repeats
					case s >= from-10 && s < from:
						before += c.requests
					}
					if s >= from-5 && s < from+5 {
						half += c.requests
					}
				}
				if allowed := 0.2*float64(max(in, half, before)) + 58; float64(repeats) > allowed {
					t.Fatalf("%d repeats in the window from second %d, allowed %.1f", repeats, from, allowed)
				}
			}
		})
	})

	// Symptom: a service gets many times the repeats that it may. Sequence: all routers
	// restart at once, and targets fail. Cause: each took itself for the only one.
	It("is kept by routers that have started at once and know of nobody", func() {
		start := time.Unix(1000, 0)
		l := retry.Limits{Ratio: 0.2, Slack: 58, Routers: 1}
		repeats := 0
		for range 8 {
			w := retry.NewWindow(start, 10*time.Second)
			for w.Repeat(start, l) {
				repeats++
			}
		}
		Expect(repeats).To(BeNumerically("<=", 58))
	})

	It("has room again after the window", func() {
		start := time.Unix(1000, 0)
		w := retry.NewWindow(start, 10*time.Second)
		l := retry.Limits{Ratio: 0.2, Slack: 16, Routers: 9}
		Expect(w.Repeat(start, l)).To(BeTrue())
		Expect(w.Repeat(start, l)).To(BeFalse())
		Expect(w.Repeat(start.Add(9*time.Second), l)).To(BeFalse())
		Expect(w.Repeat(start.Add(11*time.Second), l)).To(BeTrue())
	})
})
