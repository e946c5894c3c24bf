package admission_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/admission"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
)

// served simulates callers that arrive evenly during an outage and retry once after the time from
// retryAfterFor, with jitter. It returns the share that is served in its remaining time.
func served(outage, budget time.Duration, retryAfterFor func(remaining time.Duration) time.Duration) float64 {
	const callers = 10_000
	rnd := rand.New(rand.NewPCG(3, 4))
	n := 0
	for i := range callers {
		arrival := outage * time.Duration(i) / callers
		retryAfter := time.Duration(float64(retryAfterFor(budget)) * (0.5 + rnd.Float64()))
		// Callers accept a Retry-After of up to a third of their remaining time.
		retryAfter = min(retryAfter, budget/3)
		if arrival+retryAfter >= outage {
			n++
		}
	}
	return float64(n) / callers
}

var _ = Describe("the Retry-After of a refused caller", func() {
	// Guards against callers that get no answer during an outage of all targets although they have
	// eight seconds. If the Retry-After ignores their remaining time, they retry after half a
	// second, which is what the restart of a target takes, are refused again and give up.
	DescribeTable("lets more callers be served after an outage of all targets",
		func(outage time.Duration, least float64) {
			budget := 8 * time.Second
			fixedShare := served(outage, budget, func(time.Duration) time.Duration { return 500 * time.Millisecond })
			share := served(outage, budget, func(remaining time.Duration) time.Duration { return admission.RetryAfter(code.NoTarget, remaining) })
			fmt.Fprintf(GinkgoWriter, "outage of %s: %.2f served, %.2f with a fixed half second\n", outage, share, fixedShare)
			Expect(share).To(BeNumerically(">", least))
			Expect(share).To(BeNumerically(">", 2*fixedShare))
		},
		Entry("for two seconds", 2*time.Second, 0.8),
		Entry("for four seconds", 4*time.Second, 0.4),
		Entry("for eight seconds", 8*time.Second, 0.2),
	)

	It("is short if another router serves at once, and 0 if retrying does not help", func() {
		Expect(admission.RetryAfter(code.ShuttingDown, 8*time.Second)).To(BeNumerically("<", 50*time.Millisecond))
		Expect(admission.RetryAfter(code.NotReady, 8*time.Second)).To(BeNumerically("<", time.Second))
		Expect(admission.RetryAfter(code.NotFound, 8*time.Second)).To(BeZero())
		Expect(admission.RetryAfter(code.DeadlinePassed, 8*time.Second)).To(BeZero())
	})

	It("leaves at least half of the remaining time", func() {
		for _, remaining := range []time.Duration{0, 100 * time.Millisecond, time.Second, 10 * time.Second} {
			Expect(admission.RetryAfter(code.NoTarget, remaining)).To(BeNumerically("<=", remaining/2))
		}
	})
})
