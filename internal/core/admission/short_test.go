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
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
)

// plainTarget executes some requests at once, first in first out, and refuses those that its queue
// has no room for.
type plainTarget struct {
	slots, queue int
	free         []time.Duration // when each slot becomes free
	waiting      []time.Duration // when each waiting request begins
}

// accept returns when a request that arrives now will end, false if it is refused.
func (t *plainTarget) accept(now, work time.Duration) (time.Duration, bool) {
	for len(t.waiting) > 0 && t.waiting[0] <= now {
		t.waiting = t.waiting[1:]
	}
	if len(t.waiting) >= t.queue {
		return 0, false
	}
	slot := 0
	for i := range t.free {
		if t.free[i] < t.free[slot] {
			slot = i
		}
	}
	beginsAt := max(t.free[slot], now)
	if beginsAt > now {
		t.waiting = append(t.waiting, beginsAt)
	}
	t.free[slot] = beginsAt + work
	return t.free[slot], true
}

// shortLoad is a load of short requests that many routers send to a few plain targets.
type shortLoad struct {
	routers, targets int
	work             time.Duration
	objective        time.Duration
	// perSec is the rate of requests of each priority, the most urgent priority first.
	perSec []float64
	// reportAge is the load report age. If exact is set, routers treat the reports as exact.
	reportAge time.Duration
	exact     bool
	// batch is the number of requests that arrive at the same moment.
	batch int
}

// arrivals draws the number of requests of one step, n in the mean.
func (l *shortLoad) arrivals(n float64, rnd *rand.Rand) int {
	batch := max(l.batch, 1)
	n /= float64(batch)
	whole := int(n)
	if rnd.Float64() < n-float64(whole) {
		whole++
	}
	return whole * batch
}

// answer is an answer on its way back to its router.
type answer struct {
	at       time.Duration
	router   int
	choice   placement.Choice
	sent     time.Duration
	ok       bool
	priority int
}

type answers []answer

func (a answers) Len() int           { return len(a) }
func (a answers) Less(i, j int) bool { return a[i].at < a[j].at }
func (a answers) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *answers) Push(x any)        { *a = append(*a, x.(answer)) }
func (a *answers) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// simulateShort returns the results of each priority's requests in ten seconds, after two seconds
// of warm-up, and how many requests targets refused.
func simulateShort(l shortLoad, seed uint64) (got []outcome, refusedByTargets int) {
	const slots, queue, hop, step, span = 6, 24, 3 * time.Millisecond, time.Millisecond, 12 * time.Second
	rnd := rand.New(rand.NewPCG(seed, 9))
	list := make([]placement.PoolTarget, l.targets)
	plainTargets := make(map[uint64]*plainTarget)
	for i := range list {
		t := placement.Target{UID: uint64(i + 1), ID: fmt.Sprint("i-", i), Slots: slots, DataCentre: "a"}
		list[i] = placement.PoolTarget{Pool: "p", Target: t}
		plainTargets[t.UID] = &plainTarget{slots: slots, queue: queue, free: make([]time.Duration, slots)}
	}
	balancers, gates := make([]*placement.Balancer, l.routers), make([]*admission.Gate, l.routers)
	for i := range balancers {
		balancers[i] = placement.New(placement.DefaultSettings("a"), rand.New(rand.NewPCG(seed, uint64(i))))
		balancers[i].UpdateTargets(start, placement.TargetChanges{Updated: list})
		gates[i] = admission.NewGate()
	}
	got = make([]outcome, len(l.perSec))
	var running answers
	var reports [][][]placement.Load // loads that each router reports, by tick
	for now := time.Duration(0); now < span; now += step {
		at := start.Add(now)
		if now%(100*time.Millisecond) == 0 {
			ownLoads := make([][]placement.Load, l.routers)
			for i, b := range balancers {
				ownLoads[i] = b.OwnLoads(at)
			}
			reports = append(reports, ownLoads)
		}
		if index := int((now - l.reportAge/2) / (100 * time.Millisecond)); now%(100*time.Millisecond) == 50*time.Millisecond && index >= 0 {
			for i, b := range balancers {
				for o, loads := range reports[index] {
					if o != i {
						b.ReceiveReport(at, uint32(o+1), loads, nil)
					}
				}
			}
		}
		for len(running) > 0 && running[0].at <= now {
			a := heap.Pop(&running).(answer)
			took := a.at - a.sent
			end, o := admission.InTime, placement.Answered
			switch {
			case !a.ok:
				end, o = admission.RefusedByTarget, placement.Refused
			case took > l.objective:
				end = admission.Late
			}
			gates[a.router].RecordEnd(at, "", took, end)
			balancers[a.router].FinishPlacement(at, a.choice, o)
			priority := a.priority
			switch {
			case a.sent < 2*time.Second:
			case !a.ok:
				got[priority].refused++
				refusedByTargets++
			case took <= l.objective:
				got[priority].inTime++
			default:
				got[priority].late++
			}
		}
		for priority, perSec := range l.perSec {
			for range l.arrivals(perSec*step.Seconds(), rnd) {
				if now >= 2*time.Second {
					got[priority].requested++
				}
				r := rnd.IntN(l.routers)
				c, ok := balancers[r].Place(at, placement.Request{Pool: "p", LoadsOutdated: !l.exact && gates[r].HasShortWork(l.reportAge)})
				Expect(ok).To(BeTrue())
				age := l.reportAge
				if l.exact {
					age = 0
				}
				decision := gates[r].Decide(at, admission.Request{Priority: 1, RoutePriority: priority, Remaining: time.Second, Objective: l.objective}, admission.Load{Open: c.Open, Slots: slots, ReportAge: age})
				if decision.Code != code.OK {
					balancers[r].FinishPlacement(at, c, placement.Neutral)
					Expect(decision.RetryAfter).To(BeNumerically(">", 0))
					if now >= 2*time.Second {
						got[priority].refused++
					}
					continue
				}
				gates[r].RecordStart("")
				work := time.Duration(float64(l.work) * (0.5 + rnd.Float64()))
				endsAt, ok := plainTargets[c.Target.UID].accept(now+hop, work)
				if !ok {
					endsAt = now + hop
				}
				heap.Push(&running, answer{at: endsAt + hop, router: r, choice: c, sent: now, ok: ok, priority: priority})
			}
		}
	}
	return got, refusedByTargets
}

var _ = Describe("admission of work that takes less time than a load report", func() {
	newLoad := func(load float64) shortLoad {
		capacity := 6 / 0.015
		return shortLoad{
			routers: 70, targets: 1, work: 15 * time.Millisecond, objective: 120 * time.Millisecond, reportAge: 200 * time.Millisecond,
			perSec: []float64{0.3 * load * capacity, 0.7 * load * capacity},
		}
	}
	servedShare := func(l shortLoad) (share float64, got []outcome) {
		got, _ = simulateShort(l, 1)
		sum := 0
		for _, o := range got {
			sum += o.inTime
		}
		capacity := 10 * float64(l.targets) * 6 / l.work.Seconds()
		return float64(sum) / capacity, got
	}

	// Guards against half of the requests being refused at a target that could execute nearly all:
	// routers that receive the same outdated peak refuse together, and after the next trough they
	// send together.
	DescribeTable("serves up to the capacity of the target, the urgent requests first", func(load, least float64) {
		share, got := servedShare(newLoad(load))
		exactLoad := newLoad(load)
		exactLoad.exact = true
		exactShare, _ := servedShare(exactLoad)
		AddReportEntry(fmt.Sprintf("load %.2f: urgent %.2f, less urgent %.2f, in time %.3f of the capacity, with exact counts %.3f; %+v", load, got[0].inTimeShare(), got[1].inTimeShare(), share, exactShare, got))
		requested := float64(got[0].requested + got[1].requested)
		Expect(share).To(BeNumerically(">=", least*min(requested/4000, 1)))
		Expect(got[0].inTimeShare()).To(BeNumerically(">=", got[1].inTimeShare()-0.01))
	},
		Entry("half of its capacity", 0.5, 0.98), Entry("0.8", 0.8, 0.98), Entry("its capacity", 1.0, 0.9), Entry("1.2", 1.2, 0.85), Entry("1.5", 1.5, 0.85), Entry("3", 3.0, 0.8),
	)

	// Guards against all routers sending to the target that had the least load in their last
	// report, while the other targets are idle.
	DescribeTable("spreads the load over several targets", func(load, least float64) {
		l := newLoad(3 * load)
		l.targets = 3
		share, got := servedShare(l)
		requested := float64(got[0].requested + got[1].requested)
		Expect(share * 12000).To(BeNumerically(">=", least*requested))
	},
		Entry("half of their capacity", 0.5, 0.99), Entry("0.8", 0.8, 0.99), Entry("0.9", 0.9, 0.97), Entry("their capacity", 1.0, 0.9),
	)

	// Guards against a pool that refuses a fifth of what it could execute because requests arrive
	// in batches.
	DescribeTable("serves requests that arrive in batches", func(load, least float64) {
		l := newLoad(load)
		l.batch = 4
		share, got := servedShare(l)
		requested := float64(got[0].requested + got[1].requested)
		Expect(share*4000).To(BeNumerically(">=", least*requested), "%+v", got)
		Expect(got[0].inTimeShare()).To(BeNumerically(">=", got[1].inTimeShare()-0.02))
	},
		Entry("half of its capacity", 0.5, 0.98), Entry("0.8", 0.8, 0.96), Entry("its capacity", 1.0, 0.88), Entry("1.5", 1.5, 0.6),
	)

	// Guards against callers of short work that retry only when their answer would be late, though
	// there are free slots a moment later.
	It("has refused callers retry within their objective", func() {
		g := admission.NewGate()
		load := admission.Load{Slots: 6, ReportAge: 200 * time.Millisecond}
		request := admission.Request{Remaining: time.Second, Objective: 120 * time.Millisecond}
		refused := 0
		for range 50 {
			decision := g.Decide(start, request, load)
			Expect(decision.RetryAfter).To(And(BeNumerically(">", 20*time.Millisecond), BeNumerically("<", 60*time.Millisecond)))
			if decision.Code != code.OK {
				refused++
				continue
			}
			g.RecordStart("")
			g.RecordEnd(start, "", time.Millisecond, admission.RefusedByTarget)
		}
		Expect(refused).To(BeNumerically(">", 10))
	})

	// Guards against a team that takes the slots of all others while load reports are out of date.
	It("keeps a team with a surge from taking the other teams' slots", func() {
		g := admission.NewGate()
		load := admission.Load{Slots: 6, ReportAge: 200 * time.Millisecond}
		for range 8 {
			g.Decide(start, admission.Request{Team: "surge", Remaining: time.Second}, load)
			g.RecordStart("surge")
		}
		g.Decide(start, admission.Request{Team: "b", Remaining: time.Second}, load)
		g.Decide(start, admission.Request{Team: "c", Remaining: time.Second}, load)
		Expect(g.Decide(start, admission.Request{Team: "surge", Remaining: time.Second}, load).Code).To(Equal(code.OK), "the target refuses no request yet")
		g.RecordStart("b")
		g.RecordEnd(start, "b", time.Millisecond, admission.RefusedByTarget)
		Expect(g.Decide(start, admission.Request{Team: "surge", Remaining: time.Second}, load).Code).To(Equal(code.TeamLimit))
		Expect(g.Decide(start, admission.Request{Team: "c", Remaining: time.Second}, load).Code).To(Equal(code.OK))
	})
})
