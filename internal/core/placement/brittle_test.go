package placement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/warmup"
)

// brittlePool simulates routers before brittle targets: a target that has no free slot refuses, and
// one that refuses more than limit requests within a second crashes and is back after some seconds.
type brittlePool struct {
	routers, targets, slots, limit int
	work                           time.Duration // how long a request takes
	load                           float64       // offered requests, relative to what the targets can do
	silent                         bool          // the targets do not say that they are brittle
}

type brittleTarget struct {
	running  int
	refusals []time.Time // within the last second
	downTill time.Time
}

// simEvent is the end of a request, or the arrival of its refusal.
type simEvent struct {
	at      time.Time
	router  int // that has placed it
	sender  int // that has sent it
	choice  placement.Choice
	refused bool
}

type simQueue []simEvent

func (q simQueue) Len() int           { return len(q) }
func (q simQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q simQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// run plays 20 s and returns how often targets crashed, and the share of what the targets can do
// that was served.
func (s brittlePool) run() (crashes int, served float64) {
	const seconds = 20
	rnd := rand.New(rand.NewPCG(8, 9))
	list := targets(s.targets)
	byUID := make(map[uint64]*brittleTarget)
	for i := range list {
		list[i].Slots = s.slots
		byUID[list[i].UID] = &brittleTarget{}
	}
	addresses := make([]string, s.routers)
	for i := range addresses {
		addresses[i] = fmt.Sprint("router", i)
	}
	balancers := make([]*placement.Balancer, s.routers)
	for i := range balancers {
		balancers[i] = newBalancer(list...)
		balancers[i].SetFleet(warmup.NewFleet(addresses[i], append(append([]string{}, addresses[:i]...), addresses[i+1:]...)))
		if !s.silent {
			balancers[i].MarkBrittle(list[0].UID, s.limit)
		}
	}
	outdated := s.work < 200*time.Millisecond
	capacity := float64(s.targets*s.slots) / s.work.Seconds()
	interval := time.Duration(float64(time.Second) / (capacity * s.load))
	var ends simQueue
	lastReport := start
	answered := 0
	for now := start; now.Before(start.Add(seconds * time.Second)); now = now.Add(interval) {
		for len(ends) > 0 && !ends[0].at.After(now) {
			e := heap.Pop(&ends).(simEvent)
			b, t := balancers[e.router], byUID[e.choice.Target.UID]
			balancers[e.sender].ReleaseSend(e.choice.Target.UID)
			if e.refused {
				b.RecordFirstEvent(e.at, e.choice, false)
				b.FinishRequest(e.at, e.choice.Target.UID, placement.Refused)
				continue
			}
			t.running--
			answered++
			b.RecordFirstEvent(e.at, e.choice, true)
			b.FinishRequest(e.at, e.choice.Target.UID, placement.Answered)
		}
		if now.Sub(lastReport) >= 100*time.Millisecond {
			lastReport = now
			for from, b := range balancers {
				loads := b.OwnLoads(now)
				for to := range balancers {
					if from != to {
						balancers[to].ReceiveReport(now, uint32(from), loads, nil)
					}
				}
			}
		}
		i := rnd.IntN(s.routers)
		c, ok := balancers[i].Place(now, placement.Request{Pool: pool, LoadsOutdated: outdated})
		if !ok {
			continue
		}
		sender, ok := s.acquire(rnd, balancers, addresses, i, c)
		if !ok {
			balancers[i].RecordFirstEvent(now, c, false)
			balancers[i].FinishRequest(now, c.Target.UID, placement.Neutral)
			continue
		}
		t := byUID[c.Target.UID]
		if t.running < s.slots && !now.Before(t.downTill) {
			t.running++
			heap.Push(&ends, simEvent{at: now.Add(s.work), router: i, sender: sender, choice: c})
			continue
		}
		heap.Push(&ends, simEvent{at: now.Add(3 * time.Millisecond), router: i, sender: sender, choice: c, refused: true})
		if now.Before(t.downTill) {
			continue
		}
		for len(t.refusals) > 0 && now.Sub(t.refusals[0]) >= time.Second {
			t.refusals = t.refusals[1:]
		}
		if t.refusals = append(t.refusals, now); len(t.refusals) > s.limit {
			crashes++
			t.downTill, t.refusals = now.Add(4*time.Second), nil
		}
	}
	return crashes, float64(answered) / (capacity * seconds)
}

// acquire returns the router that sends a placed request: the one that placed it, or another one that
// has a quota left.
func (s brittlePool) acquire(rnd *rand.Rand, balancers []*placement.Balancer, addresses []string, own int, c placement.Choice) (sender int, ok bool) {
	if balancers[own].AcquireSend(c.Target.UID) {
		return own, true
	}
	holders := balancers[own].QuotaHolders(c.Target.UID)
	for range 4 {
		sender = slices.Index(addresses, holders[rnd.IntN(len(holders))])
		if balancers[sender].AcquireSend(c.Target.UID) {
			return sender, true
		}
	}
	return 0, false
}

var _ = Describe("brittle targets under overload", func() {
	// Guards against targets that crash one after the other, as the routers together send them more
	// than they can refuse.
	DescribeTable("crash no more often than the platform allows, and go on serving",
		func(s brittlePool) {
			crashes, served := s.run()
			AddReportEntry(fmt.Sprintf("%d crashes, %.2f served", crashes, served))
			Expect(float64(crashes)).To(BeNumerically("<=", 2+0.1*float64(s.targets)))
			Expect(served).To(BeNumerically(">", 0.3))
		},
		Entry("9 routers, short work, twice the load", brittlePool{routers: 9, targets: 3, slots: 6, limit: 5, work: 30 * time.Millisecond, load: 2}),
		Entry("9 routers, short work, four times the load, few refusals", brittlePool{routers: 9, targets: 3, slots: 6, limit: 2, work: 30 * time.Millisecond, load: 4}),
		Entry("9 routers, long work, twice the load", brittlePool{routers: 9, targets: 9, slots: 64, limit: 8, work: 1500 * time.Millisecond, load: 2}),
		Entry("62 routers, long work, twice the load", brittlePool{routers: 62, targets: 27, slots: 64, limit: 8, work: 1500 * time.Millisecond, load: 2}),
		Entry("62 routers, short work, twice the load", brittlePool{routers: 62, targets: 5, slots: 6, limit: 5, work: 30 * time.Millisecond, load: 2}),
	)

	It("crash again and again if they do not say so", func() {
		crashes, _ := brittlePool{routers: 9, targets: 3, slots: 6, limit: 5, work: 30 * time.Millisecond, load: 2, silent: true}.run()
		Expect(crashes).To(BeNumerically(">", 5), "the simulated load is too low to show anything")
	})
})
