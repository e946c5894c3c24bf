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

// kind is one kind of request of a simulated load.
type kind struct {
	team     string
	priority int
	perSec   float64
	budget   time.Duration
	work     time.Duration

	routePriority int
	objective     time.Duration
}

// outcome counts the results of the requests of one kind.
type outcome struct{ requested, inTime, late, refused int }

func (o outcome) inTimeShare() float64 { return float64(o.inTime) / float64(max(o.requested, 1)) }

// end is when a request of a kind ends; ends is a heap of them.
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

// simulate sends a load for ten seconds to one target that executes slots requests at once, first
// in first out, and refuses none. Without a gate every request is sent.
func simulate(gate *admission.Gate, slots int, kinds []kind) []outcome {
	rnd := rand.New(rand.NewPCG(1, 2))
	out := make([]outcome, len(kinds))
	free := make([]time.Duration, slots) // when each slot becomes free
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
			out[i].requested++
			if gate != nil {
				decision := gate.Decide(start.Add(now), admission.Request{Team: k.team, Priority: k.priority, RoutePriority: k.routePriority, Remaining: k.budget, Objective: k.objective}, admission.Load{Open: len(running), Slots: slots})
				if decision.Code != code.OK {
					out[i].refused++
					continue
				}
				gate.RecordStart(k.team)
			}
			slot := 0
			for j := range free {
				if free[j] < free[slot] {
					slot = j
				}
			}
			free[slot] = max(free[slot], now) + k.work
			heap.Push(&running, end{at: free[slot], kind: i, sent: now})
		}
	}
	return out
}

var _ = Describe("admission under a simulated load", func() {
	// 6 slots and 15 ms of work complete 400 requests a second.
	const slots, work = 6, 15 * time.Millisecond

	It("refuses nothing while slots are free", func() {
		got := simulate(admission.NewGate(), slots, []kind{{team: "a", priority: 2, perSec: 200, budget: time.Second, work: work}})
		Expect(got[0].refused).To(BeZero())
		Expect(got[0].inTimeShare()).To(BeNumerically(">", 0.98))
	})

	// Guards against nobody being answered in time under twice the load. If every request is sent,
	// each waits behind all earlier ones and is executed after its caller has given up: a tenth of
	// the callers are served. Admission serves nearly as many as the target can execute.
	It("serves as many requests as the target can execute under twice that load", func() {
		kinds := []kind{{team: "a", priority: 2, perSec: 800, budget: time.Second, work: work}}
		none, gated := simulate(nil, slots, kinds)[0], simulate(admission.NewGate(), slots, kinds)[0]
		Expect(none.inTimeShare()).To(BeNumerically("<", 0.35))
		Expect(gated.inTimeShare()).To(BeNumerically(">", 0.45))
		Expect(gated.late).To(BeZero())
	})

	It("refuses the less urgent requests first", func() {
		got := simulate(admission.NewGate(), slots, []kind{
			{team: "a", priority: 0, perSec: 200, budget: time.Second, work: work}, {team: "b", priority: 2, perSec: 800, budget: time.Second, work: work},
		})
		Expect(got[0].inTimeShare()).To(BeNumerically(">", 0.95))
		Expect(got[1].refused).To(BeNumerically(">", 3000))
	})

	// Guards against the most urgent route being refused more than the least urgent one under a
	// burst. All teams have the same priority, which takes precedence over the routes' priorities.
	// Requests with a longer objective may wait longer, and fill the queue until those with a short
	// one are refused.
	It("refuses the less urgent routes first where all teams have the same priority", func() {
		chat := kind{team: "a", priority: 1, perSec: 316, budget: 8 * time.Second, work: 500 * time.Millisecond, routePriority: 0, objective: 300 * time.Millisecond}
		draft := kind{team: "a", priority: 1, perSec: 84, budget: 10 * time.Second, work: 600 * time.Millisecond, routePriority: 1, objective: 600 * time.Millisecond}
		tag := kind{team: "a", priority: 1, perSec: 228, budget: 2500 * time.Millisecond, work: 80 * time.Millisecond, routePriority: 2, objective: 400 * time.Millisecond}
		got := simulate(admission.NewGate(), 64, []kind{chat, draft, tag})
		fmt.Fprintf(GinkgoWriter, "served: chat %.2f, draft %.2f, tag %.2f\n", got[0].inTimeShare(), got[1].inTimeShare(), got[2].inTimeShare())
		Expect(got[0].inTimeShare()).To(BeNumerically(">", got[1].inTimeShare()))
		Expect(got[1].inTimeShare()).To(BeNumerically(">", got[2].inTimeShare()))
		all := float64(got[0].inTime+got[1].inTime+got[2].inTime) / float64(got[0].requested+got[1].requested+got[2].requested)
		Expect(got[2].inTimeShare()).To(BeNumerically(">", all/3), "no route is starved")
	})

	// Guards against a pool that refuses a third of the load that it has slots for: its routes, all
	// of the same low priority, yield to more urgent routes that send no requests.
	It("yields nothing to routes without requests", func() {
		low := kind{team: "a", priority: 1, perSec: 800, budget: time.Second, work: work, routePriority: 5}
		first := low
		first.routePriority = 0
		Expect(simulate(admission.NewGate(), slots, []kind{low})).To(Equal(simulate(admission.NewGate(), slots, []kind{first})))
	})

	// Guards against one team that takes the slots of all others by sending ten times its usual
	// load, as slots would go to whoever asks first.
	It("keeps a team with a surge from taking the other teams' slots", func() {
		got := simulate(admission.NewGate(), slots, []kind{
			{team: "surge", priority: 2, perSec: 1000, budget: time.Second, work: work}, {team: "b", priority: 2, perSec: 60, budget: time.Second, work: work}, {team: "c", priority: 2, perSec: 60, budget: time.Second, work: work},
		})
		Expect(got[1].inTimeShare()).To(BeNumerically(">", 0.85))
		Expect(got[2].inTimeShare()).To(BeNumerically(">", 0.85))
		Expect(got[0].inTimeShare()).To(BeNumerically("<", 0.5))
	})

	It("returns a Retry-After of at least the estimated wait", func() {
		g := admission.NewGate()
		decision := g.Decide(start, admission.Request{Remaining: 50 * time.Millisecond}, admission.Load{Open: 30, Slots: 6})
		Expect(decision.Code).To(Equal(code.QueueFull))
		Expect(decision.RetryAfter).To(BeNumerically("~", 416*time.Millisecond, time.Millisecond))
	})

	It("admits everything at a target whose number of slots is unknown", func() {
		decision := admission.NewGate().Decide(start, admission.Request{Remaining: time.Millisecond}, admission.Load{Open: 1000})
		Expect(decision.Code).To(Equal(code.OK))
	})
})
