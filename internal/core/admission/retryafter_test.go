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

// served plays callers that arrive evenly during an outage, come back once after what
// they are told, with jitter, and returns the share that is served in the time it has.
func served(outage, budget time.Duration, comeBack func(left time.Duration) time.Duration) float64 {
	const callers = 10_000
	rnd := rand.New(rand.NewPCG(3, 4))
	n := 0
	for i := range callers {
		arrives := outage * time.Duration(i) / callers
		after := time.Duration(float64(comeBack(budget)) * (0.5 + rnd.Float64()))
		// Callers follow what they are told up to a third of the time they have left.
		after = min(after, budget/3)
		if arrives+after >= outage {
			n++
		}
	}
	return float64(n) / callers
}

var _ = Describe("when a refused caller comes back", func() {
	// Symptom: owners get nothing during an outage of all targets, although they would have
	// waited for eight seconds. Sequence: refused, they come back half a second later,
	// are refused again and give up. Cause: they were told the time that a restarted target
	// takes, whatever time they had.
	DescribeTable("serves more of those that meet a pool without targets",
		func(outage time.Duration, least float64) {
			budget := 8 * time.Second
			before := served(outage, budget, func(time.Duration) time.Duration { return 500 * time.Millisecond })
			now := served(outage, budget, func(left time.Duration) time.Duration { return admission.RetryAfter(code.NoTarget, left) })
			fmt.Fprintf(GinkgoWriter, "outage of %s: %.2f, at half a second %.2f\n", outage, now, before)
			Expect(now).To(BeNumerically(">", least))
			Expect(now).To(BeNumerically(">", 2*before))
		},
		Entry("for two seconds", 2*time.Second, 0.8),
		Entry("for four seconds", 4*time.Second, 0.4),
		Entry("for eight seconds", 8*time.Second, 0.2),
	)

	It("is soon if another router serves at once, and never if it would change nothing", func() {
		Expect(admission.RetryAfter(code.ShuttingDown, 8*time.Second)).To(BeNumerically("<", 50*time.Millisecond))
		Expect(admission.RetryAfter(code.NotReady, 8*time.Second)).To(BeNumerically("<", time.Second))
		Expect(admission.RetryAfter(code.NotFound, 8*time.Second)).To(BeZero())
		Expect(admission.RetryAfter(code.DeadlinePassed, 8*time.Second)).To(BeZero())
	})

	It("leaves time to be served in", func() {
		for _, left := range []time.Duration{0, 100 * time.Millisecond, time.Second, 10 * time.Second} {
			Expect(admission.RetryAfter(code.NoTarget, left)).To(BeNumerically("<=", left/2))
		}
	})
})
