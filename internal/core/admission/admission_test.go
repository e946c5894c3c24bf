package admission_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/admission"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
)

var start = time.Unix(1000, 0)

// kind is one kind of request of a played load.
type kind struct {
	team   string
	rank   int
	perSec float64
	budget time.Duration
	work   time.Duration

	routeRank int
	objective time.Duration
}

// outcome counts what the callers of one kind got.
type outcome struct{ asked, inTime, late, refused int }

func (o outcome) failureRate() float64 { return float64(o.inTime) / float64(max(o.asked, 1)) }

// timers is a heap of ends.
type end struct {
	at   time.Duration
	kind int
	sent time.Duration
}
type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(end)) }
func (e *ends) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// play sends a load for ten seconds to one target that works on slots requests at
// once, first in first out, and drops nothing by itself. gate is nil for no refusals.
func play(gate *admission.Gate, slots int, kinds []kind) []outcome {
	rnd := rand.New(rand.NewPCG(1, 2))
	out := make([]outcome, len(kinds))
	free := make([]time.Duration, slots) // when each place becomes free
	var running ends
	const step = time.Millisecond
	for now := time.Duration(0); now < 10*time.Second; now += step {
		for len(running) > 0 && running[0].at <= now {
			e := heap.Pop(&running).(end)
			took := e.at - e.sent
			if gate != nil {
				gate.RecordEnd(start.Add(now), kinds[e.kind].team, took, admission.InTime)
			}
			if took <= kinds[e.kind].budget {
				out[e.kind].inTime++
			} else {
				out[e.kind].late++
			}
		}
		for i, k := range kinds {
			if rnd.Float64() >= k.perSec*step.Seconds() {
				continue
			}
			out[i].asked++
			if gate != nil {
				v := gate.Decide(start.Add(now), admission.Request{Team: k.team, Rank: k.rank, RouteRank: k.routeRank, Remaining: k.budget, Objective: k.objective}, admission.Load{Open: len(running), Slots: slots})
				if v.Code != code.OK {
					out[i].refused++
					continue
				}
				gate.RecordStart(k.team)
			}
			place := 0
			for j := range free {
				if free[j] < free[place] {
					place = j
				}
			}
			free[place] = max(free[place], now) + k.work
			heap.Push(&running, end{at: free[place], kind: i, sent: now})
		}
	}
	return out
}

var _ = Describe("admission under a played load", func() {
	// 6 places of 15 ms work off 400 requests a second.
	const slots, work = 6, 15 * time.Millisecond

	It("refuses nothing while places are free", func() {
		got := play(admission.NewGate(), slots, []kind{{team: "a", rank: 2, perSec: 200, budget: time.Second, work: work}})
		Expect(got[0].refused).To(BeZero())
		Expect(got[0].failureRate()).To(BeNumerically(">", 0.98))
	})

	// Symptom: under twice the load nobody is answered in time. Sequence: each request
	// waits behind all that came before, and is worked on after its caller has left.
	// Cause: everything was sent. Without a gate 0.1 of the callers are served, with it
	// nearly all that the target can work off.
	It("serves what the target can work off at twice its load", func() {
		kinds := []kind{{team: "a", rank: 2, perSec: 800, budget: time.Second, work: work}}
		none, gated := play(nil, slots, kinds)[0], play(admission.NewGate(), slots, kinds)[0]
		Expect(none.failureRate()).To(BeNumerically("<", 0.35))
		Expect(gated.failureRate()).To(BeNumerically(">", 0.45))
		Expect(gated.late).To(BeZero())
	})

	It("refuses the less urgent first", func() {
		got := play(admission.NewGate(), slots, []kind{
			{team: "a", rank: 0, perSec: 200, budget: time.Second, work: work}, {team: "b", rank: 2, perSec: 800, budget: time.Second, work: work},
		})
		Expect(got[0].failureRate()).To(BeNumerically(">", 0.95))
		Expect(got[1].refused).To(BeNumerically(">", 3000))
	})

	// Symptom: under a burst owners who chat are refused more than tags, which are the least
	// urgent. Sequence: all teams have the same rank, which takes precedence over the routes';
	// requests with a longer objective may wait longer, and fill the queue up to where those
	// with a short one are refused. Cause: patience was taken for urgency.
	It("refuses the less urgent routes first where all teams have the same rank", func() {
		chat := kind{team: "a", rank: 1, perSec: 316, budget: 8 * time.Second, work: 500 * time.Millisecond, routeRank: 0, objective: 300 * time.Millisecond}
		draft := kind{team: "a", rank: 1, perSec: 84, budget: 10 * time.Second, work: 600 * time.Millisecond, routeRank: 1, objective: 600 * time.Millisecond}
		tag := kind{team: "a", rank: 1, perSec: 228, budget: 2500 * time.Millisecond, work: 80 * time.Millisecond, routeRank: 2, objective: 400 * time.Millisecond}
		got := play(admission.NewGate(), 64, []kind{chat, draft, tag})
		fmt.Fprintf(GinkgoWriter, "served: chat %.2f, draft %.2f, tag %.2f\n", got[0].failureRate(), got[1].failureRate(), got[2].failureRate())
		Expect(got[0].failureRate()).To(BeNumerically(">", got[1].failureRate()))
		Expect(got[1].failureRate()).To(BeNumerically(">", got[2].failureRate()))
		all := float64(got[0].inTime+got[1].inTime+got[2].inTime) / float64(got[0].asked+got[1].asked+got[2].asked)
		Expect(got[2].failureRate()).To(BeNumerically(">", all/3), "none is starved")
	})

	// Symptom: a pool under load refuses a third of what it has places for. Sequence: its routes
	// all have the same low rank. Cause: they gave way to more urgent ones that nobody sends.
	It("gives nothing up for routes that nobody asks for", func() {
		low := kind{team: "a", rank: 1, perSec: 800, budget: time.Second, work: work, routeRank: 5}
		first := low
		first.routeRank = 0
		Expect(play(admission.NewGate(), slots, []kind{low})).To(Equal(play(admission.NewGate(), slots, []kind{first})))
	})

	// Symptom: one team's surge takes the places of all others. Sequence: it sends ten
	// times its usual. Cause: places went to whoever asked first.
	It("keeps a team that surges from taking the others' places", func() {
		got := play(admission.NewGate(), slots, []kind{
			{team: "surge", rank: 2, perSec: 1000, budget: time.Second, work: work}, {team: "b", rank: 2, perSec: 60, budget: time.Second, work: work}, {team: "c", rank: 2, perSec: 60, budget: time.Second, work: work},
		})
		Expect(got[1].failureRate()).To(BeNumerically(">", 0.85))
		Expect(got[2].failureRate()).To(BeNumerically(">", 0.85))
		Expect(got[0].failureRate()).To(BeNumerically("<", 0.5))
	})

	It("tells when to come back, by the wait", func() {
		g := admission.NewGate()
		v := g.Decide(start, admission.Request{Remaining: 50 * time.Millisecond}, admission.Load{Open: 30, Slots: 6})
		Expect(v.Code).To(Equal(code.QueueFull))
		Expect(v.RetryAfter).To(BeNumerically("~", 416*time.Millisecond, time.Millisecond))
	})

	It("admits everything at a target whose places are not known", func() {
		v := admission.NewGate().Decide(start, admission.Request{Remaining: time.Millisecond}, admission.Load{Open: 1000})
		Expect(v.Code).To(Equal(code.OK))
	})
})
