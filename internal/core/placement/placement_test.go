package placement_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

const pool = "drafting"

var start = time.Unix(1000, 0)

func target(name, dataCentre string) placement.Target {
	return placement.Target{
		UID: rendezvous.Hash(name), ID: name, Address: "10.0.0.1:" + name, DataCentre: dataCentre, Slots: 64,
	}
}

func targets(n int) []placement.Target {
	out := make([]placement.Target, n)
	for i := range out {
		out[i] = target(fmt.Sprint(i), []string{"a", "b", "c"}[i%3])
	}
	return out
}

func board(list ...placement.Target) *placement.Balancer {
	b := placement.New(placement.DefaultSettings("a"), rand.New(rand.NewPCG(1, 2)))
	b.SetTargets(start, map[string][]placement.Target{pool: list})
	return b
}

func place(b *placement.Balancer, now time.Time, chat uint64, excluded ...uint64) placement.Choice {
	c, ok := b.Place(now, placement.Request{Pool: pool, Chat: chat, Excluded: excluded})
	Expect(ok).To(BeTrue())
	return c
}

func fail(b *placement.Balancer, now time.Time, uid uint64, times int) {
	for range times {
		b.FinishRequest(now, uid, placement.Failed)
	}
}

var _ = Describe("placement", func() {
	It("sends a chat to the same target from every router", func() {
		one, other := board(targets(12)...), board(targets(12)...)
		for chat := uint64(1); chat < 200; chat++ {
			a, b := place(one, start, chat), place(other, start, chat)
			Expect(a.Target).To(Equal(b.Target))
			Expect(a.Rule).To(Equal(placement.RuleHome))
			one.FinishRequest(start, a.Target.UID, placement.Answered)
			other.FinishRequest(start, b.Target.UID, placement.Answered)
		}
	})

	// Symptom: one target holds more than the promised multiple of the mean. Sequence:
	// a hot chat comes to many routers at once, each of which sees a sliver. Cause: each
	// router counted its own requests only.
	It("keeps the bound over the whole fleet, but for what a digest interval hides", func() {
		testkit.Check("50", func(t *rapid.T) {
			const routers = 9
			boards := make([]*placement.Balancer, routers)
			for i := range boards {
				boards[i] = board(targets(12)...)
			}
			open := map[uint64]int{}
			total := 0
			hot := rapid.Float64Range(0, 0.5).Draw(t, "hot")
			chats := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3))
			for tick := range 40 {
				now := start.Add(time.Duration(tick) * 100 * time.Millisecond)
				for i, b := range boards {
					for j := range boards {
						if i != j {
							boards[j].ReceiveReport(now, uint32(i+1), b.OwnLoads(), nil)
						}
					}
				}
				arrivals := rapid.IntRange(0, 20).Draw(t, "arrivals")
				for range arrivals {
					chat := chats.Uint64()
					if chats.Float64() < hot {
						chat = 7
					}
					c := place(boards[chats.IntN(routers)], now, chat)
					open[c.Target.UID]++
					total++
					mean := float64(total) / 12
					if limit := 2*mean + 3; float64(open[c.Target.UID]) > limit+float64(arrivals) {
						t.Fatalf("a target holds %d, the bound is %.1f", open[c.Target.UID], limit)
					}
				}
			}
		})
	})

	It("spills in the chat's order, and names the home as the source of its cache", func() {
		b := board(targets(12)...)
		home := place(b, start, 7)
		Expect(home.CacheSource).To(BeEmpty())
		var spilled placement.Choice
		for spilled.Rule != placement.RuleSpill {
			spilled = place(b, start, 7)
		}
		Expect(spilled.Target.UID).NotTo(Equal(home.Target.UID))
		Expect(spilled.CacheSource).To(Equal(home.Target.Address))
	})

	// Symptom: hundreds of thousands of prompt tokens are read again when a pool grows
	// or is replaced. Sequence: a target joins and becomes the home of chats that others
	// have cached. Cause: nobody told it who has them.
	It("lets a target that has joined fetch from the one that was a chat's home", func() {
		b := board(targets(6)...)
		homes := map[uint64]placement.Choice{}
		for chat := uint64(1); chat < 100; chat++ {
			homes[chat] = place(b, start, chat)
			b.FinishRequest(start, homes[chat].Target.UID, placement.Answered)
		}
		now := start.Add(time.Minute)
		joined := target("new", "a")
		b.SetTargets(now, map[string][]placement.Target{pool: append(targets(6), joined)})
		moved := 0
		for chat, home := range homes {
			c := place(b, now, chat)
			b.FinishRequest(now, c.Target.UID, placement.Answered)
			if c.Target.UID == joined.UID {
				moved++
				Expect(c.CacheSource).To(Equal(home.Target.Address))
			} else {
				Expect(c.CacheSource).To(BeEmpty())
			}
		}
		Expect(moved).To(BeNumerically(">", 0))
	})

	It("lets the next home fetch from one that is leaving, which gets no new work", func() {
		list := targets(6)
		b := board(list...)
		home := place(b, start, 7)
		for i := range list {
			list[i].Leaving = list[i].UID == home.Target.UID
		}
		b.SetTargets(start, map[string][]placement.Target{pool: list})
		for range 30 {
			c := place(b, start, 7)
			Expect(c.Target.UID).NotTo(Equal(home.Target.UID))
			Expect(c.CacheSource).To(Equal(home.Target.Address))
			b.FinishRequest(start, c.Target.UID, placement.Answered)
		}
	})

	It("prefers a target of the own data centre among equal ones for requests without a chat", func() {
		b := board(targets(3)...)
		c := place(b, start, 0)
		Expect(c.Target.DataCentre).To(Equal("a"))
		Expect(c.Rule).To(Equal(placement.RuleLeastLoaded))
	})

	It("counts what other routers have open, and forgets those that fall silent", func() {
		b := board(targets(3)...)
		for _, t := range targets(3)[:2] {
			b.ReceiveReport(start, 9, []placement.Load{{Target: t.UID, Open: 10}}, nil)
		}
		b.ReceiveReport(start, 8, []placement.Load{{Target: targets(3)[0].UID, Open: 10}}, nil)
		Expect(place(b, start, 0).Target.UID).To(Equal(targets(3)[2].UID))
		b.Expire(start.Add(time.Minute))
		Expect(place(b, start, 0).Target.DataCentre).To(Equal("a"))
	})

	// Symptom: requests are reset at a target that is not down. Sequence: all routers
	// together open more connections than it accepts. Cause: nobody counted them.
	It("stays below the connections that a target accepts", func() {
		b := board(targets(2)...)
		b.SetLimits(map[string]placement.PoolLimits{pool: {MaxConnections: 10}})
		for range 18 {
			place(b, start, 0)
		}
		_, ok := b.Place(start, placement.Request{Pool: pool})
		Expect(ok).To(BeFalse())
	})

	It("excludes the targets that a request names", func() {
		b := board(targets(2)...)
		for range 20 {
			Expect(place(b, start, 7, targets(2)[0].UID).Target.UID).To(Equal(targets(2)[1].UID))
		}
		_, ok := b.Place(start, placement.Request{Pool: pool, Excluded: []uint64{targets(2)[0].UID, targets(2)[1].UID}})
		Expect(ok).To(BeFalse())
		_, ok = b.Place(start, placement.Request{Pool: "none"})
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("the health of a target", func() {
	It("suspends after failures in a row, for longer each time, and takes it back", func() {
		b := board(targets(6)...)
		home := place(b, start, 7).Target.UID
		fail(b, start, home, 2)
		Expect(place(b, start, 7).Target.UID).NotTo(Equal(home))
		later := start.Add(600 * time.Millisecond)
		Expect(place(b, later, 7).Target.UID).To(Equal(home))
		fail(b, later, home, 1)
		Expect(place(b, later.Add(600*time.Millisecond), 7).Target.UID).NotTo(Equal(home))
		Expect(place(b, later.Add(1100*time.Millisecond), 7).Target.UID).To(Equal(home))
	})

	// Symptom: a target that passes its liveness checks fails half of what it gets, for
	// as long as it lasts. Cause: single failures between answers suspend nothing.
	It("ejects one that fails much of what it gets", func() {
		b := board(targets(6)...)
		home := place(b, start, 7).Target.UID
		for range 20 {
			b.FinishRequest(start, home, placement.Errored)
			b.FinishRequest(start, home, placement.Answered)
		}
		Expect(place(b, start, 7).Target.UID).NotTo(Equal(home))
	})

	It("does not eject one whose failures are a few in a hundred", func() {
		b := board(targets(6)...)
		home := place(b, start, 7).Target.UID
		for i := range 200 {
			o := placement.Answered
			if i%8 == 0 {
				o = placement.Errored
			}
			b.FinishRequest(start, home, o)
		}
		Expect(place(b, start, 7).Target.UID).To(Equal(home))
	})

	// Symptom: chats scatter and their caches are read again while every target fails
	// some requests. Sequence: all are suspended in turn, and the few left take all.
	// Cause: a suspension was believed whatever became of the rest of the pool.
	It("passes suspensions over when most of the pool is suspended", func() {
		b := board(targets(6)...)
		homes := map[uint64]uint64{}
		for chat := uint64(1); chat < 50; chat++ {
			c := place(b, start, chat)
			homes[chat] = c.Target.UID
			b.FinishRequest(start, c.Target.UID, placement.Answered)
		}
		for _, t := range targets(6)[:4] {
			fail(b, start, t.UID, 2)
		}
		for chat, home := range homes {
			c := place(b, start, chat)
			Expect(c.Target.UID).To(Equal(home))
			b.FinishRequest(start, c.Target.UID, placement.Neutral)
		}
	})

	// Symptom: every second request of a small pool fails, although one of its two targets
	// answers all it gets. Sequence: the other one is cut off; it is suspended, and gets
	// requests all the same until the budget of repeats is spent. Cause: half of a pool counted
	// as most of it.
	It("keeps to the suspension of one target of two", func() {
		b := board(targets(2)...)
		silent := targets(2)[0].UID
		fail(b, start, silent, 2)
		for chat := range uint64(50) { // 0 is a request without a chat
			c := place(b, start, chat)
			Expect(c.Target.UID).NotTo(Equal(silent))
			b.FinishRequest(start, c.Target.UID, placement.Answered)
		}
	})

	// Symptom: thousands of requests a second are sent to targets that are down, and each
	// loses a try. Sequence: four in ten crash, some others fail under the load, and
	// suspensions are passed over for all. Cause: a target that can't be reached counted
	// like one that fails some requests.
	It("never passes the suspension of a target over that accepts no connection", func() {
		b := board(targets(6)...)
		for _, t := range targets(6)[:2] {
			b.FinishRequest(start, t.UID, placement.Unreachable)
		}
		for _, t := range targets(6)[2:4] {
			fail(b, start, t.UID, 2)
		}
		for chat := uint64(1); chat < 100; chat++ {
			c := place(b, start, chat)
			Expect(c.Target.UID).NotTo(BeElementOf(targets(6)[0].UID, targets(6)[1].UID))
			b.FinishRequest(start, c.Target.UID, placement.Neutral)
		}
	})

	// Symptom: many of the requests to a small pool need a second send, and some are
	// refused when the budget of repeats is spent, though two of three targets are idle.
	// Sequence: one target turns most requests away while it has room, and looks the least
	// loaded. Cause: a refusal was taken for a sign of load only.
	It("ejects a target that turns requests away though it has room", func() {
		pool := targets(3)
		for i := range pool {
			pool[i].Slots = 6
		}
		b := board(pool...)
		refused := 0
		for i := range 300 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			c := place(b, now, 0)
			switch {
			case c.Target.UID != pool[0].UID:
				b.FinishRequest(now, c.Target.UID, placement.Answered)
			case i%3 == 0: // it answers some
				b.FinishRequest(now, c.Target.UID, placement.Answered)
			default:
				refused++
				b.FinishRequest(now, c.Target.UID, placement.Refused)
			}
		}
		Expect(refused).To(BeNumerically("<", 30), "of 300; 200 when refusals are only a sign of load")
	})

	It("does not blame a target that is full", func() {
		pool := targets(2)
		for i := range pool {
			pool[i].Slots = 2
		}
		b := board(pool...)
		for range 6 {
			place(b, start, 0)
		}
		for range 20 {
			Expect(b.FinishRequest(start, pool[0].UID, placement.Refused)).To(BeFalse())
			b.ReceiveReport(start, 9, []placement.Load{{Target: pool[0].UID, Open: 30}}, nil)
		}
	})

	It("sends one request after a suspension, and more once that was answered", func() {
		b := board(targets(6)...)
		home := place(b, start, 7).Target.UID
		b.FinishRequest(start, home, placement.Unreachable)
		now := start.Add(600 * time.Millisecond)
		Expect(place(b, now, 7).Target.UID).To(Equal(home))
		Expect(place(b, now, 7).Target.UID).NotTo(Equal(home))
		b.FinishRequest(now, home, placement.Answered)
		Expect(place(b, now, 7).Target.UID).To(Equal(home))
	})

	It("counts a target that stays silent as failing while the request still waits", func() {
		b := board(targets(6)...)
		home := place(b, start, 7).Target.UID
		b.RecordSilence(start, home)
		b.RecordSilence(start, home)
		Expect(place(b, start, 7).Target.UID).NotTo(Equal(home))
	})
})
