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
	coldBears = 14.0
	coldMost  = 26 // in any second: coldBears x 1.5 + 5
	coldFor   = 3 * time.Second
)

// coldFleet are the boards of routers before the same targets.
type coldFleet struct {
	boards []*placement.Balancer
	list   []placement.Target
	// arrived are the times at which targets got requests while they were cold.
	arrived map[uint64][]time.Time
	rnd     *rand.Rand
	open    []openAt
	lost    int // requests that found no target
}

type openAt struct {
	board *placement.Balancer
	c     placement.Choice
	ends  time.Time
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
		b.SetLimits(map[string]placement.PoolLimits{pool: {ColdPerSecond: coldBears, ColdDuration: coldFor}})
		b.SetTargets(start, map[string][]placement.Target{pool: f.list})
		b.SetFleet(warmup.NewFleet(fmt.Sprint("r", i), others))
		f.boards = append(f.boards, b)
	}
	return f
}

// chill says at a time that some targets are cold, by their entries.
func (f *coldFleet) chill(now time.Time, which func(i int) bool) {
	for i := range f.list {
		if which(i) {
			f.list[i].RowVersion++
			f.list[i].ColdRemaining = coldFor
		}
	}
	for _, b := range f.boards {
		b.SetTargets(now, map[string][]placement.Target{pool: slices.Clone(f.list)})
	}
}

// send plays a load from one time to another; chat names a request's chat.
func (f *coldFleet) send(from, to time.Time, perSecond float64, chat func() uint64) {
	for now := from; now.Before(to); now = now.Add(time.Duration(f.rnd.ExpFloat64() / perSecond * float64(time.Second))) {
		f.open = slices.DeleteFunc(f.open, func(o openAt) bool {
			if o.ends.After(now) {
				return false
			}
			o.board.RecordFirstEvent(now, o.c, true)
			o.board.FinishRequest(now, o.c.Target.UID, placement.Answered)
			return true
		})
		b := f.boards[f.rnd.IntN(len(f.boards))]
		c, ok := b.Place(now, placement.Request{Pool: pool, Chat: chat()})
		switch {
		case !ok:
			f.lost++
		case b.MaySend(now, c):
			f.arrived[c.Target.UID] = append(f.arrived[c.Target.UID], now)
			f.open = append(f.open, openAt{b, c, now.Add(100 * time.Millisecond)})
		default:
			b.FinishRequest(now, c.Target.UID, placement.Neutral)
		}
	}
}

// most returns the most requests that a target got in one second of a span.
func (f *coldFleet) most(uid uint64, from, to time.Time) int {
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
	some := func(chats int, rnd *rand.Rand) func() uint64 {
		return func() uint64 { return uint64(rnd.IntN(chats)) + 1 }
	}
	hot := func() uint64 { return 7 }

	// Guards against a cold target that gets more than it bears: a hot chat whose home is cold, a third cold at once, all cold.
	DescribeTable("get no more in a second than they bear", func(routers int, which func(i int) bool, perSecond float64, isHot bool) {
		f := newColdFleet(routers, 12, 3)
		chat := some(300, f.rnd)
		if isHot {
			chat = hot
		}
		f.send(start, start.Add(time.Second), perSecond, chat)
		at := start.Add(time.Second)
		f.chill(at, which)
		f.send(at, at.Add(coldFor), perSecond, chat)
		for i, t := range f.list {
			if which(i) {
				Expect(f.most(t.UID, at, at.Add(coldFor))).To(BeNumerically("<=", coldMost), t.ID)
			}
		}
	},
		Entry("nine routers, a third", 9, func(i int) bool { return i%3 == 0 }, 400.0, false),
		Entry("70, a third", 70, func(i int) bool { return i%3 == 0 }, 400.0, false),
		Entry("70, all but one", 70, func(i int) bool { return i > 0 }, 400.0, false),
		Entry("70, all", 70, func(int) bool { return true }, 1200.0, false),
		Entry("70, all, a hot chat", 70, func(int) bool { return true }, 1200.0, true),
		Entry("340, all, a hot chat", 340, func(int) bool { return true }, 1200.0, true),
	)

	// Guards against a pool that serves nobody because all of it is cold.
	It("serve what they bear if no other is there, and callers are told when to come back", func() {
		f := newColdFleet(70, 12, 4)
		f.chill(start, func(int) bool { return true })
		f.send(start.Add(1200*time.Millisecond), start.Add(2500*time.Millisecond), 400, some(300, f.rnd))
		served := 0
		for _, at := range f.arrived {
			served += len(at)
		}
		Expect(served).To(BeNumerically(">", 100))
		Expect(f.lost).To(BeNumerically(">", 0))
		wait := f.boards[0].ColdRetryAfter(start.Add(2500*time.Millisecond), pool)
		Expect(wait).To(And(BeNumerically(">", 0), BeNumerically("<=", time.Second)))
	})

	// Guards against chats that are scattered over cold targets while others have room.
	It("get nothing while others have places free", func() {
		f := newColdFleet(9, 12, 5)
		f.chill(start, func(i int) bool { return i%3 == 0 })
		f.send(start, start.Add(coldFor-time.Millisecond), 100, some(300, f.rnd))
		for i, t := range f.list {
			if i%3 == 0 {
				Expect(f.arrived[t.UID]).To(BeEmpty())
			}
		}
		f.send(start.Add(coldFor), start.Add(coldFor+time.Second), 100, some(300, f.rnd))
		Expect(f.arrived[f.list[0].UID]).NotTo(BeEmpty(), "warm again")
	})

	// Guards against requests that were placed before the target was known to be cold, and are sent after it.
	It("are asked again at the moment of sending", func() {
		f := newColdFleet(1, 1, 6)
		b := f.boards[0]
		var placed []placement.Choice
		for range 5 {
			placed = append(placed, place(b, start, 7))
		}
		f.chill(start, func(int) bool { return true })
		now := start.Add(warmup.SendInterval)
		sent := 0
		for _, c := range placed {
			if b.MaySend(now, c) {
				sent++
			}
		}
		Expect(sent).To(Equal(1))
	})

	// Guards against targets that come back cold from an evacuation before their entries say so.
	It("are those of a data centre that comes back", func() {
		f := newColdFleet(3, 12, 7)
		b := f.boards[0]
		b.SetEvacuated(start, []string{"b"})
		Expect(b.CountCold(start)).To(BeZero())
		b.SetEvacuated(start.Add(time.Second), nil)
		Expect(b.CountCold(start.Add(time.Second))).To(Equal(4))
		Expect(b.CountCold(start.Add(time.Second + coldFor))).To(BeZero())
	})

	// Guards against an earlier word, or a shorter one, that makes a cold target warm.
	It("stay cold by the word that lasts longest, in any order", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := newColdFleet(1, 1, 8)
			b, uid := f.boards[0], f.list[0].UID
			now, until := start, start
			for range 10 {
				now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond)
				d := time.Duration(rapid.IntRange(0, 4000).Draw(t, "cold")) * time.Millisecond
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

	// Guards against a router that has just started, and takes itself for one of the few that may send.
	It("get nothing from a router that knows nothing of the others", func() {
		f := newColdFleet(1, 3, 9)
		f.boards[0].SetFleet(nil)
		f.chill(start, func(int) bool { return true })
		_, ok := f.boards[0].Place(start.Add(2*time.Second), placement.Request{Pool: pool, Chat: 7})
		Expect(ok).To(BeFalse())
	})
})
