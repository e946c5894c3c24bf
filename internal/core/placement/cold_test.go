package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/warmup"
)

const (
	coldRate    = 14.0
	maxColdRate = 26 // in any second: coldRate * 1.5 + 5
	coldFor     = 3 * time.Second
)

// coldFleet simulates routers that place requests at the same targets.
type coldFleet struct {
	balancers []*placement.Balancer
	list      []placement.Target
	// arrived are the times at which each target got requests.
	arrived  map[uint64][]time.Time
	rnd      *rand.Rand
	open     []openRequest
	unplaced int // number of requests that found no target
}

type openRequest struct {
	balancer *placement.Balancer
	c        placement.Choice
	endsAt   time.Time
}

func newColdFleet(routers, n int, seed uint64) *coldFleet {
	f := &coldFleet{arrived: make(map[uint64][]time.Time), rnd: rand.New(rand.NewPCG(seed, 5))}
	for i := range n {
		t := target(fmt.Sprint(i), []string{"a", "b", "c"}[i%3])
		t.Slots, t.RowVersion = 16, 1
		f.list = append(f.list, t)
	}
	for i := range routers {
		s := placement.DefaultSettings("a")
		s.ColdMultiple, s.ColdSlack = 1.5, 5
		b := placement.New(s, rand.New(rand.NewPCG(seed, uint64(i))))
		var others []string
		for o := range routers {
			if o != i {
				others = append(others, fmt.Sprint("r", o))
			}
		}
		b.SetLimits(map[string]placement.PoolLimits{pool: {ColdPerSecond: coldRate, ColdDuration: coldFor}})
		b.SetTargets(start, map[string][]placement.Target{pool: f.list})
		b.SetFleet(warmup.NewFleet(fmt.Sprint("r", i), others))
		f.balancers = append(f.balancers, b)
	}
	return f
}

// makeCold marks some targets as cold through their entries in the target list.
func (f *coldFleet) makeCold(now time.Time, isCold func(i int) bool) {
	for i := range f.list {
		if isCold(i) {
			f.list[i].RowVersion++
			f.list[i].ColdRemaining = coldFor
		}
	}
	for _, b := range f.balancers {
		b.SetTargets(now, map[string][]placement.Target{pool: slices.Clone(f.list)})
	}
}

// send simulates a load from one time to another. chat returns the chat of each request.
func (f *coldFleet) send(from, to time.Time, perSecond float64, chat func() uint64) {
	for now := from; now.Before(to); now = now.Add(time.Duration(f.rnd.ExpFloat64() / perSecond * float64(time.Second))) {
		f.open = slices.DeleteFunc(f.open, func(o openRequest) bool {
			if o.endsAt.After(now) {
				return false
			}
			o.balancer.RecordFirstEvent(now, o.c, true)
			o.balancer.FinishRequest(now, o.c.Target.UID, placement.Answered)
			return true
		})
		b := f.balancers[f.rnd.IntN(len(f.balancers))]
		c, ok := b.Place(now, placement.Request{Pool: pool, ChatHash: chat()})
		switch {
		case !ok:
			f.unplaced++
		case b.ConfirmPlacement(now, c):
			f.arrived[c.Target.UID] = append(f.arrived[c.Target.UID], now)
			f.open = append(f.open, openRequest{b, c, now.Add(100 * time.Millisecond)})
		default:
			b.FinishRequest(now, c.Target.UID, placement.Neutral)
		}
	}
}

// maxInOneSecond returns the most requests that a target got within one second of a period.
func (f *coldFleet) maxInOneSecond(uid uint64, from, to time.Time) int {
	most := 0
	at := slices.DeleteFunc(slices.Clone(f.arrived[uid]), func(t time.Time) bool { return t.Before(from) || !t.Before(to) })
	for i := range at {
		n := 0
		for _, t := range at[i:] {
			if t.Sub(at[i]) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

var _ = Describe("cold targets", func() {
	randomChats := func(chats int, rnd *rand.Rand) func() uint64 {
		return func() uint64 { return uint64(rnd.IntN(chats)) + 1 }
	}
	hotChat := func() uint64 { return 7 }

	// Guards against a cold target that gets more requests than it can take: if the home of a hot
	// chat is cold, if a third of the targets turns cold at once, and if all do.
	DescribeTable("get at most their maximum rate in any second", func(routers int, isCold func(i int) bool, perSecond float64, isHot bool) {
		f := newColdFleet(routers, 12, 3)
		chat := randomChats(300, f.rnd)
		if isHot {
			chat = hotChat
		}
		f.send(start, start.Add(time.Second), perSecond, chat)
		at := start.Add(time.Second)
		f.makeCold(at, isCold)
		f.send(at, at.Add(coldFor), perSecond, chat)
		for i, t := range f.list {
			if isCold(i) {
				Expect(f.maxInOneSecond(t.UID, at, at.Add(coldFor))).To(BeNumerically("<=", maxColdRate), t.ID)
			}
		}
	},
		Entry("9 routers, a third of the targets cold", 9, func(i int) bool { return i%3 == 0 }, 400.0, false),
		Entry("70 routers, a third of the targets cold", 70, func(i int) bool { return i%3 == 0 }, 400.0, false),
		Entry("70 routers, all targets but one cold", 70, func(i int) bool { return i > 0 }, 400.0, false),
		Entry("70 routers, all targets cold", 70, func(int) bool { return true }, 1200.0, false),
		Entry("70 routers, all targets cold, a hot chat", 70, func(int) bool { return true }, 1200.0, true),
		Entry("340 routers, all targets cold, a hot chat", 340, func(int) bool { return true }, 1200.0, true),
	)

	// Guards against a pool that serves no requests because all of its targets are cold.
	It("serve up to their maximum rate if all targets are cold, and other callers get a time to retry after", func() {
		f := newColdFleet(70, 12, 4)
		f.makeCold(start, func(int) bool { return true })
		f.send(start.Add(1200*time.Millisecond), start.Add(2500*time.Millisecond), 400, randomChats(300, f.rnd))
		served := 0
		for _, at := range f.arrived {
			served += len(at)
		}
		Expect(served).To(BeNumerically(">", 100))
		Expect(f.unplaced).To(BeNumerically(">", 0))
		wait := f.balancers[0].ColdRetryAfter(start.Add(2500*time.Millisecond), pool, 0)
		Expect(wait).To(And(BeNumerically(">", 0), BeNumerically("<=", time.Second)))
	})

	// Guards against chats that are scattered over cold targets while warm ones have room.
	It("get no requests while other targets have free slots", func() {
		f := newColdFleet(9, 12, 5)
		f.makeCold(start, func(i int) bool { return i%3 == 0 })
		f.send(start, start.Add(coldFor-time.Millisecond), 100, randomChats(300, f.rnd))
		for i, t := range f.list {
			if i%3 == 0 {
				Expect(f.arrived[t.UID]).To(BeEmpty())
			}
		}
		f.send(start.Add(coldFor), start.Add(coldFor+time.Second), 100, randomChats(300, f.rnd))
		Expect(f.arrived[f.list[0].UID]).NotTo(BeEmpty(), "it is warm again")
	})

	// Guards against sending all requests that were placed before the target was known to be cold.
	It("are checked again when a placed request is sent", func() {
		f := newColdFleet(1, 1, 6)
		b := f.balancers[0]
		var placed []placement.Choice
		for range 5 {
			placed = append(placed, place(b, start, 7))
		}
		f.makeCold(start, func(int) bool { return true })
		now := start.Add(warmup.SendInterval)
		sent := 0
		for _, c := range placed {
			if b.ConfirmPlacement(now, c) {
				sent++
			}
		}
		Expect(sent).To(Equal(1))
	})

	// Guards against a full load on targets that are cold after an evacuation before their entries
	// say so.
	It("include the targets of a data centre after its evacuation", func() {
		f := newColdFleet(3, 12, 7)
		b := f.balancers[0]
		b.SetEvacuated(start, []string{"b"})
		Expect(b.CountCold(start)).To(BeZero())
		b.SetEvacuated(start.Add(time.Second), nil)
		Expect(b.CountCold(start.Add(time.Second))).To(Equal(4))
		Expect(b.CountCold(start.Add(time.Second + coldFor))).To(BeZero())
	})

	// Guards against a cold target that is treated as warm because of an earlier or shorter report.
	It("stay cold by the report that lasts longest, in any order of reports", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := newColdFleet(1, 1, 8)
			b, uid := f.balancers[0], f.list[0].UID
			now, until := start, start
			for range 10 {
				now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "interval")) * time.Millisecond)
				d := time.Duration(rapid.IntRange(0, 4000).Draw(t, "cold for")) * time.Millisecond
				if rapid.Bool().Draw(t, "by its entry") {
					f.list[0].RowVersion++
					f.list[0].ColdRemaining = d
					b.SetTargets(now, map[string][]placement.Target{pool: slices.Clone(f.list)})
				} else {
					b.MarkCold(now, uid, d)
				}
				if now.Add(d).After(until) {
					until = now.Add(d)
				}
				Expect(b.CountCold(now) == 1).To(Equal(until.After(now)))
			}
		})
	})

	// Guards against a router that has just started and, without knowing the fleet, sends to cold
	// targets as if it were one of the selected routers.
	It("get no requests from a router that does not know the fleet", func() {
		f := newColdFleet(1, 3, 9)
		f.balancers[0].SetFleet(nil)
		f.makeCold(start, func(int) bool { return true })
		_, ok := f.balancers[0].Place(start.Add(2*time.Second), placement.Request{Pool: pool, ChatHash: 7})
		Expect(ok).To(BeFalse())
	})
})
