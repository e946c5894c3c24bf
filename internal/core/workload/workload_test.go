package workload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

var testStart = time.Unix(1000, 0)

// outcome returns the outcome of an answer with the given tokens at 10 ms per token.
func outcome(tokens int) Outcome {
	return Outcome{Events: tokens, FirstEvent: 100 * time.Millisecond, Total: 100*time.Millisecond + time.Duration(tokens)*10*time.Millisecond}
}

// answer estimates a request and records an answer with the given tokens.
func answer(e *Estimator, route string, r Request, tokens int) Estimate {
	estimate := e.Estimate(route, r)
	e.Record(testStart, route, estimate, outcome(tokens))
	return estimate
}

func prompt(tokens int) Request { return Request{PromptTokens: tokens, UnreadTokens: tokens} }

// logNormal draws a positive figure with the given median, whose logarithm has a standard deviation
// of sigma.
func logNormal(r *rand.Rand, median, sigma float64) int {
	return max(int(math.Round(median*math.Exp(sigma*r.NormFloat64()))), 1)
}

// errorQuantiles returns the 50th and 90th percentile of factors by which estimates are off.
func errorQuantiles(logErrors []float64) (median, high float64) {
	slices.Sort(logErrors)
	return math.Exp(logErrors[len(logErrors)/2]), math.Exp(logErrors[len(logErrors)*9/10])
}

var _ = Describe("an estimator that has seen nothing", func() {
	DescribeTable("uses the announced figures, not zero or infinity, for the first request of a route", func(r Request, output float64, memory int) {
		got := NewEstimator().Estimate("r", r)
		Expect(got.OutputTokens).To(Equal(output))
		Expect(got.MemoryTokens).To(Equal(memory))
		Expect(got.SlotTime).To(Equal(defaultFirstEvent + time.Duration(output)*defaultTokenTime))
	},
		Entry("half of the maximum", Request{PromptTokens: 1000, MaxOutputTokens: 600}, 300.0, 1300),
		Entry("nothing but a prompt", Request{PromptTokens: 1000}, 256.0, 1256),
		Entry("a maximum of one token", Request{PromptTokens: 1000, MaxOutputTokens: 1}, 1.0, 1001),
		Entry("nothing at all", Request{}, 256.0, 1280),
	)

	// Guards against requests of a new route that go first or last although nothing is known of them.
	It("places every request in the middle of its route", func() {
		e := NewEstimator()
		Expect(e.Percentile("r", e.Estimate("r", prompt(100)))).To(Equal(0.5))
		Expect(e.Percentile("r", Estimate{})).To(Equal(0.5))
	})

	// Guards against an outcome without an estimate or with impossible figures that breaks what was learned.
	It("ignores impossible outcomes", func() {
		e := NewEstimator()
		for _, o := range []Outcome{{}, {Events: -3, Total: time.Second}, {Events: 3, FirstEvent: -1, Total: 1}, {Events: 3, FirstEvent: 2, Total: 1}, {Events: 3, Total: 2 * MaxSlotTime}} {
			e.Record(testStart, "r", e.Estimate("r", prompt(100)), o)
		}
		Expect(e.Accuracies()).To(BeEmpty())
		e.Record(testStart, "r", Estimate{}, outcome(100))
		Expect(e.Estimate("r", prompt(100)).OutputTokens).To(Equal(100.0))
	})
})

var _ = Describe("the estimate of a request", func() {
	// Guards against requests without figures that count as free or as endless.
	It("is the route's mean if the request says nothing", func() {
		e := NewEstimator()
		for i := range 300 {
			answer(e, "r", prompt(2000), 100+100*(i%2)) // 150 on average
		}
		got := e.Estimate("r", Request{})
		Expect(got.OutputTokens).To(BeNumerically("~", 150, 3))
		Expect(got.MemoryTokens).To(BeNumerically("~", 2150, 3))
		Expect(got.SlotTime.Seconds()).To(BeNumerically("~", 1.6, 0.05))
	})

	// Guards against callers that get ahead of others, or stop the estimator, with false figures.
	DescribeTable("is the route's mean if the request lies", func(r Request) {
		e := NewEstimator()
		for range 200 {
			answer(e, "r", Request{PromptTokens: 2000, UnreadTokens: 2000, MaxOutputTokens: 800, HintTokens: 150}, 150)
		}
		got := e.Estimate("r", r)
		Expect(got.OutputTokens).To(BeNumerically("~", 150, 1))
		Expect(got.MemoryTokens).To(BeNumerically("~", 2150, 1))
		Expect(e.Percentile("r", got)).To(BeNumerically("~", 0.5, 0.05))
	},
		Entry("negative figures", Request{PromptTokens: -1, UnreadTokens: -1, MaxOutputTokens: -1, HintTokens: -1}),
		Entry("absurd figures", Request{PromptTokens: math.MaxInt, UnreadTokens: math.MaxInt, MaxOutputTokens: math.MaxInt, HintTokens: math.MaxInt}),
		Entry("the smallest integers", Request{PromptTokens: math.MinInt, UnreadTokens: math.MinInt, MaxOutputTokens: math.MinInt, HintTokens: math.MinInt}),
		Entry("a hint above the maximum", Request{PromptTokens: 2000, UnreadTokens: 2000, MaxOutputTokens: 800, HintTokens: 801}),
		Entry("more unread tokens than the prompt has", Request{PromptTokens: 2000, UnreadTokens: 9_000_000, MaxOutputTokens: 800, HintTokens: 150}),
	)

	// Guards against a caller that makes its large requests look free by small hints.
	It("stays between a quarter and four times the route's mean, whatever the hint", func() {
		e := NewEstimator()
		r := rand.New(rand.NewPCG(1, 1))
		for range 500 { // answers that differ much and hints that are nearly right
			tokens := logNormal(r, 200, 1.2)
			answer(e, "r", Request{PromptTokens: 100, HintTokens: logNormal(r, float64(tokens), 0.1)}, tokens)
		}
		mean := e.Estimate("r", prompt(100)).OutputTokens
		Expect(e.Estimate("r", Request{PromptTokens: 100, HintTokens: 1}).OutputTokens).To(BeNumerically("~", mean/4, 0.01))
		Expect(e.Estimate("r", Request{PromptTokens: 100, HintTokens: 1_000_000}).OutputTokens).To(BeNumerically("~", mean*4, 0.01))
		Expect(e.Estimate("r", Request{PromptTokens: 100, HintTokens: 60, MaxOutputTokens: 60}).OutputTokens).To(BeNumerically("<=", 60))
	})

	// Guards against hints that make estimates worse than the route's mean, as hints that are right at
	// the median but often far off do if they are trusted in full.
	DescribeTable("is closer with hints than by the route's mean alone", func(answerSigma, hintSigma, hintBias float64, better bool) {
		e, r := NewEstimator(), rand.New(rand.NewPCG(7, 11))
		var withHint, withoutHint, plainProduct []float64
		ratio := mean{}
		for i := range 6000 {
			tokens := logNormal(r, 250, answerSigma)
			hint := logNormal(r, float64(tokens)*hintBias, hintSigma)
			request := Request{PromptTokens: 700, UnreadTokens: 700, MaxOutputTokens: 8000, HintTokens: hint}
			routeMean := e.Estimate("r", prompt(700)).OutputTokens
			product := clamp(float64(hint)*ratio.value, routeMean/4, routeMean*4)
			estimate := answer(e, "r", request, tokens)
			if i >= 500 {
				withHint = append(withHint, math.Abs(math.Log(float64(tokens)/estimate.OutputTokens)))
				withoutHint = append(withoutHint, math.Abs(math.Log(float64(tokens)/routeMean)))
				plainProduct = append(plainProduct, math.Abs(math.Log(float64(tokens)/product)))
			}
			ratio.add(float64(tokens) / float64(hint))
		}
		median, high := errorQuantiles(withHint)
		meanMedian, meanHigh := errorQuantiles(withoutHint)
		productMedian, productHigh := errorQuantiles(plainProduct)
		fmt.Fprintf(GinkgoWriter, "off by a factor of, 50th and 90th percentile: weighed hint %.2f %.2f, route's mean %.2f %.2f, hint x mean ratio %.2f %.2f\n",
			median, high, meanMedian, meanHigh, productMedian, productHigh)
		if better {
			Expect(median).To(BeNumerically("<", meanMedian))
			Expect(high).To(BeNumerically("<", meanHigh))
		} else { // a hint that says nothing must at least not harm
			Expect(median).To(BeNumerically("<", 1.05*meanMedian))
			Expect(high).To(BeNumerically("<", 1.05*meanHigh))
		}
	},
		Entry("hints that are usually right", 0.8, 0.3, 1.0, true),
		Entry("hints that are often far off", 0.8, 0.8, 1.0, true),
		Entry("hints that are mostly far off", 0.8, 1.2, 1.0, true),
		Entry("answers of similar length", 0.4, 0.8, 1.0, true),
		Entry("hints that are always half of the answer", 0.8, 0.5, 0.5, true),
		Entry("hints that say nearly nothing", 0.4, 3.0, 1.0, false),
	)

	// Guards against estimates that stay at the old length after a route's answers have changed.
	DescribeTable("follows a route whose answers change their length", func(before, after int) {
		e := NewEstimator()
		for range 1000 {
			answer(e, "r", prompt(700), before)
		}
		for range 300 {
			answer(e, "r", prompt(700), after)
		}
		Expect(e.Estimate("r", prompt(700)).OutputTokens).To(BeNumerically("~", after, 0.06*math.Abs(float64(after-before))))
	}, Entry("longer", 50, 800), Entry("shorter", 800, 50))

	// Guards against estimates in events instead of tokens.
	It("counts the tokens of an event, up to the maximum", func() {
		e := NewEstimator()
		request := Request{PromptTokens: 700, UnreadTokens: 700, MaxOutputTokens: 100}
		e.Record(testStart, "r", e.Estimate("r", request), Outcome{Events: 7, TokensPerEvent: 16, FirstEvent: time.Second, Total: 2 * time.Second})
		e.Record(testStart, "s", e.Estimate("s", prompt(700)), Outcome{Events: 7, TokensPerEvent: 16, FirstEvent: time.Second, Total: 2 * time.Second})
		Expect(e.Estimate("r", request).OutputTokens).To(Equal(100.0))
		Expect(e.Estimate("s", prompt(700)).OutputTokens).To(Equal(112.0))
	})

	// Guards against long prompts that count as little as short ones of the same route.
	It("grows with the tokens to prefill", func() {
		e, r := NewEstimator(), rand.New(rand.NewPCG(3, 5))
		for range 400 {
			unread := 500 + r.IntN(4000)
			first := time.Duration(50+unread/10) * time.Millisecond // 0.1 ms for a token
			e.Record(testStart, "r", e.Estimate("r", prompt(unread)), Outcome{Events: 10, FirstEvent: first, Total: first + 100*time.Millisecond})
		}
		short, long := e.Estimate("r", prompt(1000)), e.Estimate("r", prompt(4000))
		Expect((long.SlotTime - short.SlotTime).Seconds()).To(BeNumerically("~", 0.3, 0.03))
	})
})

var _ = Describe("the work percentile", func() {
	fill := func() (*Estimator, *rand.Rand) {
		e, r := NewEstimator(), rand.New(rand.NewPCG(5, 9))
		for range 1000 {
			tokens := logNormal(r, 200, 0.8)
			answer(e, "r", Request{PromptTokens: 700, UnreadTokens: 700, MaxOutputTokens: 8000, HintTokens: logNormal(r, float64(tokens), 0.3)}, tokens)
		}
		return e, r
	}
	hinted := func(tokens int) Request {
		return Request{PromptTokens: 700, UnreadTokens: 700, MaxOutputTokens: 8000, HintTokens: tokens}
	}

	// Guards against load shedding that refuses the small requests of a route rather than the large.
	It("orders the requests of a route by work", func() {
		e, _ := fill()
		last := 0.0
		for _, hint := range []int{20, 100, 200, 400, 2000} {
			p := e.Percentile("r", e.Estimate("r", hinted(hint)))
			Expect(p).To(BeNumerically(">", last), "hint %d", hint)
			last = p
		}
		Expect(e.Percentile("r", e.Estimate("r", hinted(20)))).To(BeNumerically("<", 0.1))
		Expect(last).To(BeNumerically(">", 0.9))
	})

	// Guards against a pool that admits less just because its targets have become slower: all of
	// its requests then looked larger than those before.
	It("does not change when all work takes longer", func() {
		e, r := fill()
		before := e.Percentile("r", e.Estimate("r", hinted(200)))
		for range 30 {
			tokens := logNormal(r, 200, 0.8)
			slow := outcome(tokens)
			slow.FirstEvent, slow.Total = 5*slow.FirstEvent, 5*slow.Total
			e.Record(testStart, "r", e.Estimate("r", hinted(tokens)), slow)
		}
		Expect(e.Percentile("r", e.Estimate("r", hinted(200)))).To(BeNumerically("~", before, 0.15))
	})

	// Guards against requests of a route without hints that count as large or small by chance.
	It("is a half for all requests of a route that are alike", func() {
		e := NewEstimator()
		for range 500 {
			answer(e, "r", prompt(700), 200)
		}
		Expect(e.Percentile("r", e.Estimate("r", prompt(700)))).To(BeNumerically("~", 0.5, 0.01))
	})
})

var _ = Describe("an estimator of a pool with thousands of routes", func() {
	// Guards against a router whose memory grows with the routes that were ever configured.
	It("bounds its memory, keeps the routes it knows, and still estimates all", func() {
		e := NewEstimator()
		for i := range 5000 {
			answer(e, fmt.Sprint("r", i), prompt(700), 10+i%10)
		}
		Expect(e.routes).To(HaveLen(maxRoutes))
		Expect(e.Accuracies()).To(HaveLen(maxRoutes + 1))
		Expect(e.Estimate("r0", prompt(700)).OutputTokens).To(Equal(10.0))
		Expect(e.Estimate("r4999", prompt(700)).OutputTokens).To(BeNumerically("~", 15, 5), "from the shared state")
		other := e.Accuracies()[OtherRoutes]
		Expect(other.OutputTokens.Count()).To(BeEquivalentTo(5000 - maxRoutes))
	})

	// Guards against routes of an earlier desired state that keep out the present ones for ever.
	It("replaces routes that are no longer used", func() {
		e := NewEstimator()
		for i := range maxRoutes {
			answer(e, fmt.Sprint("old", i), prompt(700), 10)
		}
		answer(e, "new", prompt(700), 90)
		Expect(e.routes).NotTo(HaveKey("new"))
		later := testStart.Add(retainRoute)
		e.Record(later, "new", e.Estimate("new", prompt(700)), outcome(90))
		Expect(e.routes).To(HaveKey("new"))
		Expect(e.routes).To(HaveLen(1))
	})
})

var _ = Describe("the accuracy histogram", func() {
	// Guards against accuracies that are shown too good or at the wrong power of two.
	It("counts ratios by powers of two and gives their percentiles", func() {
		var r Ratios
		for _, x := range []float64{0, 0.01, 0.75, 1, 1.5, 2, 2, 3, 1e9, math.Inf(1)} {
			r.add(x)
		}
		Expect(r.Count()).To(BeEquivalentTo(10))
		Expect(r.Buckets).To(Equal([12]uint64{0: 2, 5: 2, 6: 3, 7: 1, 11: 2}))
		Expect(r.Bound(5)).To(Equal(1.0))
		Expect(r.Bound(6)).To(Equal(2.0))
		Expect(r.Bound(11)).To(Equal(math.Inf(1)))
		Expect(r.Quantile(0.5)).To(And(BeNumerically(">", 1), BeNumerically("<=", 2)))
		Expect(r.Quantile(0.9)).To(BeNumerically(">", 32))
		Expect(math.IsInf(r.Sum, 0)).To(BeFalse())
		Expect((&Ratios{}).Quantile(0.5)).To(BeZero())
	})
})

var _ = Describe("an estimate of any request after any answers", func() {
	// Guards against estimates that are infinite, not a number or outside their bounds: they would
	// order all requests of the pool wrongly.
	It("is finite, positive and within its bounds", func() {
		anyTokens := rapid.OneOf(rapid.Int(), rapid.IntRange(-2, 2), rapid.IntRange(1, 20000), rapid.Just(MaxTokens), rapid.Just(MaxTokens+1))
		anyDuration := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.OneOf(rapid.Int64(), rapid.Int64Range(0, int64(10*time.Second)), rapid.Just(int64(0)), rapid.Just(int64(MaxSlotTime))).Draw(t, "nanoseconds"))
		})
		testkit.Check("500", func(t *rapid.T) {
			e, now := NewEstimator(), testStart
			for range rapid.IntRange(1, 60).Draw(t, "requests") {
				route := rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "route")
				r := Request{PromptTokens: anyTokens.Draw(t, "prompt"), UnreadTokens: anyTokens.Draw(t, "unread"),
					MaxOutputTokens: anyTokens.Draw(t, "maximum"), HintTokens: anyTokens.Draw(t, "hint")}
				got := e.Estimate(route, r)
				limit := float64(MaxTokens)
				if isCount(r.MaxOutputTokens) {
					limit = float64(r.MaxOutputTokens)
				}
				mean := e.route(route).meanOutput(got.maxOutput)
				if !(got.OutputTokens >= 1 && got.OutputTokens <= limit) || got.OutputTokens > max(4*mean, 1)*1.000001 || got.OutputTokens < min(mean/4, limit)*0.999999 {
					t.Fatalf("output tokens %v of %+v, mean %v", got.OutputTokens, r, mean)
				}
				if got.SlotTime < MinSlotTime || got.SlotTime > MaxSlotTime || got.MemoryTokens < 2 || got.MemoryTokens > 2*MaxTokens {
					t.Fatalf("%+v of %+v", got, r)
				}
				if p := e.Percentile(route, got); !(p >= 0 && p <= 1) {
					t.Fatalf("percentile %v of %+v", p, r)
				}
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "step")))
				e.Record(now, route, got, Outcome{Events: anyTokens.Draw(t, "events"), TokensPerEvent: anyTokens.Draw(t, "tokens per event"),
					FirstEvent: anyDuration.Draw(t, "first event"), Total: anyDuration.Draw(t, "total")})
			}
			for name, a := range e.Accuracies() {
				for _, r := range []Ratios{a.SlotTime, a.OutputTokens} {
					if q := r.Quantile(0.9); !(q >= 0) || math.IsInf(q, 0) || math.IsNaN(r.Sum) || math.IsInf(r.Sum, 0) {
						t.Fatalf("accuracy of %q: %+v", name, r)
					}
				}
			}
		})
	})
})

// BenchmarkEstimate measures an estimate with its percentile in a pool with as many routes as have
// state of their own. It must take less than 1 us: a placement takes a few.
func BenchmarkEstimate(b *testing.B) {
	e, r := NewEstimator(), rand.New(rand.NewPCG(1, 1))
	names := make([]string, maxRoutes)
	for i := range names {
		names[i] = fmt.Sprint("route-", i)
	}
	for range 20 * maxRoutes {
		tokens := logNormal(r, 200, 0.8)
		answer(e, names[r.IntN(len(names))], Request{PromptTokens: 700, UnreadTokens: 700, MaxOutputTokens: 8000, HintTokens: logNormal(r, float64(tokens), 0.8)}, tokens)
	}
	request := Request{PromptTokens: 700, UnreadTokens: 300, MaxOutputTokens: 8000, HintTokens: 300}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		name := names[i%len(names)]
		e.Percentile(name, e.Estimate(name, request))
	}
}
