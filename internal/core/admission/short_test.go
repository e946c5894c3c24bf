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

// plainTarget works on some requests at once, first in first out, and turns away what its queue has no room for.
type plainTarget struct {
	slots, queue int
	free         []time.Duration // when each place becomes free
	waiting      []time.Duration // when each request that waits begins
}

// take returns when a request that arrives ends, false if it is turned away.
func (t *plainTarget) take(now, work time.Duration) (time.Duration, bool) {
	for len(t.waiting) > 0 && t.waiting[0] <= now {
		t.waiting = t.waiting[1:]
	}
	if len(t.waiting) >= t.queue {
		return 0, false
	}
	place := 0
	for i := range t.free {
		if t.free[i] < t.free[place] {
			place = i
		}
	}
	begins := max(t.free[place], now)
	if begins > now {
		t.waiting = append(t.waiting, begins)
	}
	t.free[place] = begins + work
	return t.free[place], true
}

// shortLoad is a load of short requests at many routers before a few plain targets.
type shortLoad struct {
	routers, targets int
	work             time.Duration
	objective        time.Duration
	// perSec are the requests of each rank, the most urgent first.
	perSec []float64
	// newsAge is how old what a router hears of the others is; exact is set if they take it for exact.
	newsAge time.Duration
	exact   bool
	// clump is how many requests come at the same moment.
	clump int
}

// arrivals draws how many requests come at a moment at which n come in the mean.
func (l *shortLoad) arrivals(n float64, rnd *rand.Rand) int {
	clump := max(l.clump, 1)
	n /= float64(clump)
	whole := int(n)
	if rnd.Float64() < n-float64(whole) {
		whole++
	}
	return whole * clump
}

// answer is the way of an answer back to its router.
type answer struct {
	at     time.Duration
	router int
	choice placement.Choice
	sent   time.Duration
	ok     bool
	rank   int
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

// playShort returns what the callers of each rank got in ten seconds, after two, and how many arrivals targets turned away.
func playShort(l shortLoad, seed uint64) (got []outcome, turnedAway int) {
	const slots, queue, hop, step, span = 6, 24, 3 * time.Millisecond, time.Millisecond, 12 * time.Second
	rnd := rand.New(rand.NewPCG(seed, 9))
	list := make([]placement.Target, l.targets)
	engines := make(map[uint64]*plainTarget)
	for i := range list {
		list[i] = placement.Target{UID: uint64(i + 1), ID: fmt.Sprint("i-", i), Slots: slots, DataCentre: "a"}
		engines[list[i].UID] = &plainTarget{slots: slots, queue: queue, free: make([]time.Duration, slots)}
	}
	boards, gates := make([]*placement.Balancer, l.routers), make([]*admission.Gate, l.routers)
	for i := range boards {
		boards[i] = placement.New(placement.DefaultSettings("a"), rand.New(rand.NewPCG(seed, uint64(i))))
		boards[i].SetTargets(start, map[string][]placement.Target{"p": list})
		gates[i] = admission.NewGate()
	}
	got = make([]outcome, len(l.perSec))
	var running answers
	var news [][][]placement.Load // of each tick, by router
	for now := time.Duration(0); now < span; now += step {
		at := start.Add(now)
		if now%(100*time.Millisecond) == 0 {
			told := make([][]placement.Load, l.routers)
			for i, b := range boards {
				told[i] = b.OwnLoads()
			}
			news = append(news, told)
		}
		if old := int((now - l.newsAge/2) / (100 * time.Millisecond)); now%(100*time.Millisecond) == 50*time.Millisecond && old >= 0 {
			for i, b := range boards {
				for o, loads := range news[old] {
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
				end, o = admission.TurnedAway, placement.Refused
			case took > l.objective:
				end = admission.Late
			}
			gates[a.router].Ended(at, "", took, end)
			boards[a.router].FinishRequest(at, a.choice.Target.UID, o)
			rank := a.rank
			switch {
			case a.sent < 2*time.Second:
			case !a.ok:
				got[rank].refused++
				turnedAway++
			case took <= l.objective:
				got[rank].inTime++
			default:
				got[rank].late++
			}
		}
		for rank, perSec := range l.perSec {
			for range l.arrivals(perSec*step.Seconds(), rnd) {
				if now >= 2*time.Second {
					got[rank].asked++
				}
				r := rnd.IntN(l.routers)
				c, ok := boards[r].Place(at, placement.Request{Pool: "p", LoadsOutdated: !l.exact && gates[r].Short(l.newsAge)})
				Expect(ok).To(BeTrue())
				age := l.newsAge
				if l.exact {
					age = 0
				}
				v := gates[r].Decide(at, admission.Ask{Rank: 1, RouteRank: rank, Left: time.Second, Objective: l.objective}, admission.Load{Open: c.Open, Slots: slots, Age: age})
				if v.Code != code.OK {
					boards[r].FinishRequest(at, c.Target.UID, placement.Neutral)
					Expect(v.RetryAfter).To(BeNumerically(">", 0))
					if now >= 2*time.Second {
						got[rank].refused++
					}
					continue
				}
				gates[r].Began("")
				work := time.Duration(float64(l.work) * (0.5 + rnd.Float64()))
				ends, ok := engines[c.Target.UID].take(now+hop, work)
				if !ok {
					ends = now + hop
				}
				heap.Push(&running, answer{at: ends + hop, router: r, choice: c, sent: now, ok: ok, rank: rank})
			}
		}
	}
	return got, turnedAway
}

var _ = Describe("admission of work that takes less time than its news", func() {
	one := func(load float64) shortLoad {
		capacity := 6 / 0.015
		return shortLoad{
			routers: 70, targets: 1, work: 15 * time.Millisecond, objective: 120 * time.Millisecond, newsAge: 200 * time.Millisecond,
			perSec: []float64{0.3 * load * capacity, 0.7 * load * capacity},
		}
	}
	inTime := func(l shortLoad) (share float64, got []outcome) {
		got, _ = playShort(l, 1)
		sum := 0
		for _, o := range got {
			sum += o.inTime
		}
		capacity := 10 * float64(l.targets) * 6 / l.work.Seconds()
		return float64(sum) / capacity, got
	}

	// Guards against half of the requests being refused at a target that could serve nearly all: routers that hear the same old
	// peak refuse together, then the same trough and send together.
	DescribeTable("serves what the target can, the urgent first", func(load, least float64) {
		share, got := inTime(one(load))
		old := one(load)
		old.exact = true
		before, _ := inTime(old)
		AddReportEntry(fmt.Sprintf("load %.2f: urgent %.2f patient %.2f in time %.3f of the capacity, by counts %.3f; %+v", load, got[0].failureRate(), got[1].failureRate(), share, before, got))
		asked := float64(got[0].asked + got[1].asked)
		Expect(share).To(BeNumerically(">=", least*min(asked/4000, 1)))
		Expect(got[0].failureRate()).To(BeNumerically(">=", got[1].failureRate()-0.01))
	},
		Entry("half of its capacity", 0.5, 0.98), Entry("0.8", 0.8, 0.98), Entry("its capacity", 1.0, 0.9), Entry("1.2", 1.2, 0.85), Entry("1.5", 1.5, 0.85), Entry("3", 3.0, 0.8),
	)

	// Guards against routers that all send to the target which was the least loaded one when they heard of it last, while the others idle.
	DescribeTable("spreads over several targets", func(load, least float64) {
		l := one(3 * load)
		l.targets = 3
		share, got := inTime(l)
		asked := float64(got[0].asked + got[1].asked)
		Expect(share * 12000).To(BeNumerically(">=", least*asked))
	},
		Entry("half of their capacity", 0.5, 0.99), Entry("0.8", 0.8, 0.99), Entry("0.9", 0.9, 0.97), Entry("their capacity", 1.0, 0.9),
	)

	// Guards against a pool that refuses a fifth of what it could serve because requests come in clumps.
	DescribeTable("bears clumps of requests", func(load, least float64) {
		l := one(load)
		l.clump = 4
		share, got := inTime(l)
		asked := float64(got[0].asked + got[1].asked)
		Expect(share*4000).To(BeNumerically(">=", least*asked), "%+v", got)
		Expect(got[0].failureRate()).To(BeNumerically(">=", got[1].failureRate()-0.02))
	},
		Entry("half of its capacity", 0.5, 0.98), Entry("0.8", 0.8, 0.96), Entry("its capacity", 1.0, 0.88), Entry("1.5", 1.5, 0.6),
	)

	// Guards against callers of short work that stay away until their answer is late, though there is room a moment later.
	It("has callers come back within their objective", func() {
		g := admission.NewGate()
		load := admission.Load{Slots: 6, Age: 200 * time.Millisecond}
		ask := admission.Ask{Left: time.Second, Objective: 120 * time.Millisecond}
		refused := 0
		for range 50 {
			v := g.Decide(start, ask, load)
			Expect(v.RetryAfter).To(And(BeNumerically(">", 20*time.Millisecond), BeNumerically("<", 60*time.Millisecond)))
			if v.Code != code.OK {
				refused++
				continue
			}
			g.Began("")
			g.Ended(start, "", time.Millisecond, admission.TurnedAway)
		}
		Expect(refused).To(BeNumerically(">", 10))
	})

	// Guards against a team that takes the places of all others where their counts are out of date.
	It("keeps a team that surges from taking the others' places", func() {
		g := admission.NewGate()
		load := admission.Load{Slots: 6, Age: 200 * time.Millisecond}
		for range 8 {
			g.Decide(start, admission.Ask{Team: "surge", Left: time.Second}, load)
			g.Began("surge")
		}
		g.Decide(start, admission.Ask{Team: "b", Left: time.Second}, load)
		g.Decide(start, admission.Ask{Team: "c", Left: time.Second}, load)
		Expect(g.Decide(start, admission.Ask{Team: "surge", Left: time.Second}, load).Code).To(Equal(code.OK), "nobody is turned away")
		g.Began("b")
		g.Ended(start, "b", time.Millisecond, admission.TurnedAway)
		Expect(g.Decide(start, admission.Ask{Team: "surge", Left: time.Second}, load).Code).To(Equal(code.TeamLimit))
		Expect(g.Decide(start, admission.Ask{Team: "c", Left: time.Second}, load).Code).To(Equal(code.OK))
	})
})
