package shedding_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/shedding"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

// shares returns the share of each rank at a utilization, with n routes of different priority.
func shares(n int, utilization float64) []float64 {
	c := shedding.NewCut("p", 1)
	out := make([]float64, n)
	for range 200 { // until all ranks have nearly the same part of the offered work
		for i := range n {
			d := c.Decide(start, shedding.Request{Urgency: shedding.Urgency{Priority: i}, Remaining: 8 * time.Second, WorkPercentile: 0.5}, shedding.Load{Utilization: utilization, Routers: 1})
			Expect(d.Rank).To(BeNumerically("<=", i))
			out[i] = d.Share
		}
	}
	return out
}

// admitted returns how many of n equal requests are admitted.
func admitted(c *shedding.Cut, n int, r shedding.Request, l shedding.Load) (count int, last shedding.Decision) {
	for range n {
		if last = c.Decide(start, r, l); last.Code == code.OK {
			count++
		}
	}
	return count, last
}

var _ = Describe("the cut of a pool", func() {
	// Guards against ranks that are cut in another order or by another part of the work than specified.
	DescribeTable("takes the part of the work that is shed from the last ranks", func(n int, utilization float64, want ...float64) {
		got := shares(n, utilization)
		for i := range want {
			Expect(got[i]).To(BeNumerically("~", want[i], 0.02), "rank %d of %v", i, got)
		}
	},
		Entry("no load", 3, 0.0, 1.0, 1.0, 1.0), Entry("as much as is admitted in full", 3, 0.9, 1.0, 1.0, 1.0),
		Entry("an eighth is shed", 3, 0.95, 1.0, 1.0, 0.625), Entry("half is shed", 3, 1.1, 1.0, 0.5, 0.1125),
		Entry("three quarters are shed", 3, 1.2, 0.75, 0.028, 0.028), Entry("not more is shed at any utilization", 3, 5.0, 0.75, 0.028, 0.028),
		Entry("a single rank", 1, 1.1, 0.5), Entry("two ranks", 2, 1.0, 1.0, 0.5),
		Entry("garbage", 3, math.NaN(), 1.0, 1.0, 1.0), Entry("infinite", 3, math.Inf(1), 0.75, 0.028, 0.028),
	)

	// Guards against a rank of small teams that takes a position in the order, and with it room from the
	// ranks after it, although it offers hardly any work.
	It("hardly changes for the ranks after one that offers little work", func() {
		c := shedding.NewCut("p", 1)
		small := shedding.Request{Urgency: shedding.Urgency{Priority: 0, RoutePriority: 2}, Remaining: 8 * time.Second, SlotTime: 10 * time.Millisecond}
		first := shedding.Request{Urgency: shedding.Urgency{Priority: 1, RoutePriority: 0}, Remaining: 8 * time.Second, SlotTime: time.Second}
		last := first
		last.Urgency.RoutePriority = 1
		var d shedding.Decision
		for range 100 {
			c.Decide(start, small, shedding.Load{Utilization: 1.05})
			d = c.Decide(start, first, shedding.Load{Utilization: 1.05})
			c.Decide(start, last, shedding.Load{Utilization: 1.05})
		}
		Expect(d.Rank).To(Equal(1))
		Expect(d.Share).To(Equal(1.0))
	})

	second := shedding.Urgency{Priority: 1}
	newCut := func() *shedding.Cut {
		c := shedding.NewCut("p", 1)
		c.Decide(start, shedding.Request{Remaining: 8 * time.Second}, shedding.Load{})
		return c
	}

	// Guards against random draws, which at one router would refuse many requests in a row.
	It("applies a share evenly", func() {
		n, _ := admitted(newCut(), 100, shedding.Request{Urgency: second, Remaining: 8 * time.Second, WorkPercentile: 0.5}, shedding.Load{Utilization: 1.1})
		Expect(n).To(BeNumerically("~", 50, 4))
	})

	// Guards against large requests that are starved, or served as often as small ones.
	It("admits requests with much work less often, but more than half as often", func() {
		l := shedding.Load{Utilization: 1.1} // half is shed
		of := func(percentile float64) int {
			n, _ := admitted(newCut(), 200, shedding.Request{Urgency: second, Remaining: 8 * time.Second, WorkPercentile: percentile}, l)
			return n
		}
		Expect(of(1)).To(BeNumerically("~", 0.6*100, 4))
		Expect(of(0)).To(BeNumerically("~", 1.4*100, 4))
	})

	// Guards against callers that are refused twice in a row.
	It("lets a returning caller go first, within a bound", func() {
		c := newCut()
		l := shedding.Load{Utilization: 1.1} // half is shed, a quarter of what returning callers ask for
		first := shedding.Request{Route: "a", Urgency: second, Remaining: 8 * time.Second, WorkPercentile: 0.5}
		admitted(c, 20, first, l)
		back := first
		back.Remaining = 6 * time.Second
		n, d := admitted(c, 20, back, l)
		Expect(d.Returning).To(BeTrue())
		Expect(n).To(BeNumerically(">=", 14))
		n, _ = admitted(c, 6, first, l)
		Expect(n).To(BeNumerically("<=", 1), "the rank's share was used")
		l.Utilization = 3
		n, _ = admitted(c, 100, back, l)
		Expect(n).To(BeNumerically("<=", 30))
	})

	// Guards against work for answers that nobody waits for any more.
	It("refuses at once what can't be answered before its deadline", func() {
		c := newCut()
		d := c.Decide(start, shedding.Request{Remaining: time.Second, SlotTime: 2 * time.Second}, shedding.Load{})
		Expect(d.Code).To(Equal(code.DeadlineTooShort))
		Expect(d.RetryAfter).To(BeZero())
		d = c.Decide(start, shedding.Request{Urgency: second, Remaining: 3 * time.Second, ExpectedWait: 2 * time.Second, SlotTime: 2 * time.Second}, shedding.Load{})
		Expect(d.Code).To(Equal(code.QueueFull))
		Expect(d.Reason).To(Equal(shedding.ReasonDeadline))
	})

	// Guards against callers sent away for longer than they would have waited.
	It("refuses for the expected wait only if it is longer than the caller would stay away", func() {
		c := newCut()
		r := shedding.Request{Urgency: second, Remaining: 8 * time.Second, Objective: 2 * time.Second}
		r.ExpectedWait = 400 * time.Millisecond
		Expect(c.Decide(start, r, shedding.Load{}).Code).To(Equal(code.OK))
		r.ExpectedWait = 1100 * time.Millisecond
		d := c.Decide(start, r, shedding.Load{})
		Expect(d.Reason).To(Equal(shedding.ReasonWait))
		Expect(d.RetryAfter).To(BeNumerically("<", r.ExpectedWait))
	})

	// Guards against an urgent request that is refused for a queue of less urgent ones, and against one of the
	// last rank that waits behind urgent ones until its deadline since its wait is expected to be short.
	It("expects the most urgent requests to wait less, and the least urgent ones longer, if targets order by rank", func() {
		first := shedding.Request{Remaining: 8 * time.Second, Objective: 2 * time.Second, ExpectedWait: 700 * time.Millisecond, WorkPercentile: 0.5}
		last := first
		last.Urgency, last.ExpectedWait = second, 150*time.Millisecond
		reasons := func(ordered bool) (ofFirst, ofLast shedding.Reason) {
			c := shedding.NewCut("p", 1)
			l := shedding.Load{Utilization: 0.85, TargetsOrderByRank: ordered}
			for range 200 { // the first rank offers four fifths of the work
				for range 4 {
					ofFirst = c.Decide(start, first, l).Reason
				}
				ofLast = c.Decide(start, last, l).Reason
			}
			return ofFirst, ofLast
		}
		ofFirst, ofLast := reasons(true)
		Expect(ofFirst).To(BeEmpty())
		Expect(ofLast).To(BeEmpty())
		last.ExpectedWait = 400 * time.Millisecond // 1.25 s behind the first rank
		_, ofLast = reasons(true)
		Expect(ofLast).To(Equal(shedding.ReasonWait))
		_, ofLast = reasons(false)
		Expect(ofLast).To(BeEmpty())
	})

	// Guards against slots that are taken by answers that come late while others could be in time.
	It("refuses what would wait and be late in a shortage", func() {
		r := shedding.Request{Urgency: second, Remaining: 8 * time.Second, Objective: time.Second, ExpectedWait: 200 * time.Millisecond, FirstEvent: 900 * time.Millisecond, WorkPercentile: 0.5}
		n, d := admitted(newCut(), 200, r, shedding.Load{Utilization: 1.1})
		Expect(n).To(BeZero())
		Expect(d.Reason).To(Equal(shedding.ReasonHopeless))
		n, _ = admitted(newCut(), 200, r, shedding.Load{Utilization: 0.8})
		Expect(n).To(Equal(200), "there is no shortage")
	})

	// Guards against a request that has waited at this router for a prefix and is taken for one of a caller
	// that returns, or as in time although it is late.
	It("counts the time that a request has spent at this router", func() {
		c := newCut()
		l := shedding.Load{Utilization: 1.1}
		r := shedding.Request{Route: "a", Urgency: second, Remaining: 8 * time.Second, Objective: time.Second, WorkPercentile: 0.5}
		c.Decide(start, r, l)
		r.Remaining, r.Elapsed = 7500*time.Millisecond, 500*time.Millisecond
		Expect(c.Decide(start, r, l).Returning).To(BeFalse())
		r.ExpectedWait, r.FirstEvent = 60*time.Millisecond, 500*time.Millisecond
		Expect(c.Decide(start, r, l).Reason).To(Equal(shedding.ReasonHopeless))
	})

	// Guards against requests that wait behind more urgent ones until their deadlines.
	It("lets only the floor of a rank that is cut wait at targets", func() {
		r := shedding.Request{Urgency: second, Remaining: 8 * time.Second, Objective: time.Second, ExpectedWait: 200 * time.Millisecond, FirstEvent: 300 * time.Millisecond, WorkPercentile: 0.5}
		c, n := newCut(), 0
		for range 200 {
			if d := c.Decide(start, r, shedding.Load{Utilization: 1.1}); d.Code == code.OK {
				n++
				Expect(d.Promoted).To(BeTrue(), "targets must admit it before others")
			}
		}
		Expect(n).To(BeNumerically("~", 0.1125*200, 2))
		r.ExpectedWait = 90 * time.Millisecond
		n, _ = admitted(newCut(), 200, r, shedding.Load{Utilization: 1.1})
		Expect(n).To(BeNumerically("~", 100, 5), "a tenth of the objective is no queue")
	})

	// Guards against callers refused together that return together.
	It("spreads the time after which refused callers return over the specified range", func() {
		c := newCut()
		spread := func(u float64, objective time.Duration) (low, high time.Duration) {
			low = time.Hour
			for range 100 {
				d := c.Decide(start, shedding.Request{Urgency: second, Remaining: 12 * time.Second, Objective: objective, WorkPercentile: 0.5}, shedding.Load{Utilization: u})
				low, high = min(low, d.RetryAfter), max(high, d.RetryAfter)
			}
			return low, high
		}
		low, high := spread(0.9, 2*time.Second)
		Expect(low).To(BeNumerically("~", 500*time.Millisecond, 10*time.Millisecond))
		Expect(high).To(BeNumerically("~", time.Second, 10*time.Millisecond))
		low, high = spread(1.2, 2*time.Second)
		Expect(low).To(BeNumerically("~", 3*time.Second, 20*time.Millisecond))
		Expect(high).To(BeNumerically("~", 4*time.Second, 20*time.Millisecond))
	})
})

var _ = Describe("the ranking of a pool", func() {
	// Guards against routers that send targets different priorities for the same request.
	It("is sorted by team priority, then by route priority", func() {
		r := shedding.NewRanking([]shedding.Urgency{{2, 2}, {0, 1}, {1, 1}, {0, 0}, {0, 1}})
		for want, u := range []shedding.Urgency{{0, 0}, {0, 1}, {1, 1}, {2, 2}} {
			Expect(r.Rank(u)).To(Equal(want))
			Expect(r.TargetPriority(&shedding.Decision{Urgency: u})).To(Equal(want))
		}
		Expect(r.Rank(shedding.Urgency{9, 9})).To(Equal(3), "an urgency that the state lacks")
		Expect(r.Rank(shedding.Urgency{0, 2})).To(Equal(2))
		Expect(shedding.NewRanking(nil).TargetPriority(&shedding.Decision{Urgency: shedding.Urgency{3, 3}})).To(BeZero())
	})

	// Guards against the least share of a rank that waits at targets behind all others until its deadline.
	It("sends the most urgent route's priority with a promoted request", func() {
		r := shedding.NewRanking([]shedding.Urgency{{0, 0}, {0, 2}, {1, 0}, {1, 2}})
		Expect(r.TargetPriority(&shedding.Decision{Urgency: shedding.Urgency{1, 2}})).To(Equal(3))
		Expect(r.TargetPriority(&shedding.Decision{Urgency: shedding.Urgency{1, 2}, Promoted: true})).To(Equal(2))
	})

	It("sends ten priorities at most", func() {
		var all []shedding.Urgency
		for p := range 5 {
			for route := range 5 {
				all = append(all, shedding.Urgency{p, route})
			}
		}
		r := shedding.NewRanking(all)
		last := 0
		for _, u := range all {
			Expect(r.TargetPriority(&shedding.Decision{Urgency: u})).To(BeNumerically(">=", last))
			last = r.TargetPriority(&shedding.Decision{Urgency: u})
		}
		Expect(last).To(Equal(9))
	})
})

var _ = Describe("decisions on any requests", func() {
	// Guards against panics, unbounded shares and codes that promise something else, for any figures
	// that other routers report or callers send.
	It("have a share within 0 and 1 and a known code", func() {
		testkit.Check("200", func(t *rapid.T) {
			c := shedding.NewCut("p", rapid.Uint64().Draw(t, "seed"))
			now := start
			type sent struct {
				team string
				work time.Duration
			}
			var open []sent
			duration := rapid.OneOf(rapid.Int64Range(-1e9, 2e10), rapid.Int64())
			draw := func(label string) time.Duration { return time.Duration(duration.Draw(t, label)) }
			for range rapid.IntRange(1, 60).Draw(t, "requests") {
				now = now.Add(time.Duration(rapid.Int64Range(-1e9, 6e9).Draw(t, "elapsed")))
				r := shedding.Request{
					Team: fmt.Sprint(rapid.IntRange(0, 99).Draw(t, "team")), Route: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "route")),
					Urgency:   shedding.Urgency{Priority: rapid.IntRange(-2, 12).Draw(t, "priority"), RoutePriority: rapid.IntRange(-2, 12).Draw(t, "route priority")},
					Remaining: draw("remaining"), Objective: draw("objective"), ExpectedWait: draw("wait"), FirstEvent: draw("first"),
					SlotTime: draw("slot time"), WorkPercentile: rapid.Float64().Draw(t, "percentile"), Retry: rapid.Bool().Draw(t, "retry"),
				}
				l := shedding.Load{Utilization: rapid.OneOf(rapid.Float64Range(0, 3), rapid.Float64()).Draw(t, "utilization"), Routers: rapid.IntRange(-1, 100).Draw(t, "routers"),
					TeamWork: map[uint64]time.Duration{shedding.TeamHash("p", "1"): draw("work"), shedding.TeamHash("p", "2"): draw("work")}}
				d := c.Decide(now, r, l)
				switch {
				case !(d.Share >= 0 && d.Share <= 1), d.RetryAfter < 0, d.Rank < 0, d.Work < 0:
					t.Fatalf("%+v", d)
				case d.Code == code.OK:
					if d.Reason != "" {
						t.Fatalf("admitted for a reason: %+v", d)
					}
					c.RecordStart(now, r.Team, d.Work)
					open = append(open, sent{r.Team, d.Work})
				case d.Code != code.QueueFull && d.Code != code.TeamLimit && d.Code != code.DeadlineTooShort, d.Reason == "":
					t.Fatalf("%+v", d)
				case d.Code == code.TeamLimit && !d.Excess:
					t.Fatalf("limit without excess: %+v", d)
				case d.Code != code.DeadlineTooShort && d.RetryAfter > max(r.Remaining, 0):
					t.Fatalf("retry after the deadline: %+v", d)
				}
				if len(open) > 0 && rapid.Bool().Draw(t, "end") {
					c.RecordEnd(open[0].team, open[0].work, draw("took"))
					open = open[1:]
				}
			}
			for _, o := range open {
				c.RecordEnd(o.team, o.work, time.Second)
			}
			if left := c.AppendOwnWork(nil); len(left) > 0 {
				t.Fatalf("work without requests: %v", left)
			}
		})
	})
})

// BenchmarkDecide measures a decision with 64 teams.
func BenchmarkDecide(b *testing.B) {
	c := shedding.NewCut("p", 1)
	l := shedding.Load{Utilization: 0.92, Routers: 72, TeamWork: make(map[uint64]time.Duration)}
	requests := make([]shedding.Request, 64)
	for i := range requests {
		requests[i] = shedding.Request{Team: fmt.Sprint("team-", i), Route: fmt.Sprint(i % 3), Urgency: shedding.Urgency{Priority: i % 4, RoutePriority: i % 3}, Remaining: 8 * time.Second, Objective: time.Second, WorkPercentile: 0.5}
		if i < 8 {
			l.TeamWork[shedding.TeamHash("p", requests[i].Team)] = time.Duration(9-i) * 100 * time.Second
		}
	}
	now := start
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		r := requests[i%len(requests)]
		if d := c.Decide(now, r, l); d.Code == code.OK {
			c.RecordStart(now, r.Team, d.Work)
			if i%2 == 0 {
				c.RecordEnd(r.Team, d.Work, time.Second)
			}
		}
	}
}
