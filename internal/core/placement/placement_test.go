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

func newBalancer(list ...placement.Target) *placement.Balancer {
	b := placement.New(placement.DefaultSettings("a"), rand.New(rand.NewPCG(1, 2)))
	b.SetTargets(start, map[string][]placement.Target{pool: list})
	return b
}

func place(b *placement.Balancer, now time.Time, chat uint64, excluded ...uint64) placement.Choice {
	c, ok := b.Place(now, placement.Request{Pool: pool, ChatHash: chat, Excluded: excluded})
	Expect(ok).To(BeTrue())
	return c
}

func recordFailures(b *placement.Balancer, now time.Time, uid uint64, times int) {
	for range times {
		b.FinishRequest(now, uid, placement.Failed)
	}
}

var _ = Describe("placement", func() {
	It("sends a chat to the same target from every router", func() {
		one, other := newBalancer(targets(12)...), newBalancer(targets(12)...)
		for chat := uint64(1); chat < 200; chat++ {
			a, b := place(one, start, chat), place(other, start, chat)
			Expect(a.Target).To(Equal(b.Target))
			Expect(a.Rule).To(Equal(placement.RuleHome))
			one.FinishRequest(start, a.Target.UID, placement.Answered)
			other.FinishRequest(start, b.Target.UID, placement.Answered)
		}
	})

	// A hot chat arrives at many routers at once, each of which sees a small part of it. While each
	// router counted only its own requests, one target exceeded the load bound.
	It("keeps the load bound over the whole fleet, apart from the requests of one digest interval", func() {
		testkit.Check("50", func(t *rapid.T) {
			const routers = 9
			balancers := make([]*placement.Balancer, routers)
			for i := range balancers {
				balancers[i] = newBalancer(targets(12)...)
			}
			open := map[uint64]int{}
			total := 0
			hot := rapid.Float64Range(0, 0.5).Draw(t, "hot")
			chats := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3))
			for tick := range 40 {
				now := start.Add(time.Duration(tick) * 100 * time.Millisecond)
				for i, b := range balancers {
					for j := range balancers {
						if i != j {
							balancers[j].ReceiveReport(now, uint32(i+1), b.OwnLoads(now), nil)
						}
					}
				}
				arrivals := rapid.IntRange(0, 20).Draw(t, "arrivals")
				for range arrivals {
					chat := chats.Uint64()
					if chats.Float64() < hot {
						chat = 7
					}
					c := place(balancers[chats.IntN(routers)], now, chat)
					open[c.Target.UID]++
					total++
					mean := float64(total) / 12
					if limit := 2*mean + 3; float64(open[c.Target.UID]) > limit+float64(arrivals) {
						t.Fatalf("a target holds %d open requests, the load bound is %.1f", open[c.Target.UID], limit)
					}
				}
			}
		})
	})

	It("spills in the chat's order, and names the home as the cache source", func() {
		b := newBalancer(targets(12)...)
		home := place(b, start, 7)
		Expect(home.CacheSource).To(BeEmpty())
		var spilled placement.Choice
		for spilled.Rule != placement.RuleSpill {
			spilled = place(b, start, 7)
		}
		Expect(spilled.Target.UID).NotTo(Equal(home.Target.UID))
		Expect(spilled.CacheSource).To(Equal(home.Target.Address))
	})

	// When a pool grows or is replaced, a new target becomes the home of chats that other targets
	// have cached. Without a cache source it read hundreds of thousands of prompt tokens again.
	It("lets a target that has joined fetch from a chat's former home", func() {
		b := newBalancer(targets(6)...)
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

	It("lets the next home fetch from a leaving target, which gets no new requests", func() {
		list := targets(6)
		b := newBalancer(list...)
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

	It("prefers a target in its own data centre among equally loaded ones for requests without a chat", func() {
		b := newBalancer(targets(3)...)
		c := place(b, start, 0)
		Expect(c.Target.DataCentre).To(Equal("a"))
		Expect(c.Rule).To(Equal(placement.RuleLeastLoaded))
	})

	It("counts the open requests of other routers, and forgets routers that become silent", func() {
		b := newBalancer(targets(3)...)
		for _, t := range targets(3)[:2] {
			b.ReceiveReport(start, 9, []placement.Load{{Target: t.UID, Open: 10}}, nil)
		}
		b.ReceiveReport(start, 8, []placement.Load{{Target: targets(3)[0].UID, Open: 10}}, nil)
		Expect(place(b, start, 0).Target.UID).To(Equal(targets(3)[2].UID))
		b.ExpireReports(start.Add(time.Minute))
		Expect(place(b, start, 0).Target.DataCentre).To(Equal("a"))
	})

	// All routers together opened more connections than a target accepts, and it reset connections
	// with requests on them.
	It("stays below the number of connections that a target accepts", func() {
		b := newBalancer(targets(2)...)
		b.SetLimits(map[string]placement.PoolLimits{pool: {MaxConnections: 10}})
		for range 18 {
			place(b, start, 0)
		}
		_, ok := b.Place(start, placement.Request{Pool: pool})
		Expect(ok).To(BeFalse())
	})

	It("does not choose the targets that a request excludes", func() {
		b := newBalancer(targets(2)...)
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
	It("suspends it after consecutive failures, for longer each time, and uses it again afterwards", func() {
		b := newBalancer(targets(6)...)
		home := place(b, start, 7).Target.UID
		recordFailures(b, start, home, 2)
		Expect(place(b, start, 7).Target.UID).NotTo(Equal(home))
		later := start.Add(600 * time.Millisecond)
		Expect(place(b, later, 7).Target.UID).To(Equal(home))
		recordFailures(b, later, home, 1)
		Expect(place(b, later.Add(600*time.Millisecond), 7).Target.UID).NotTo(Equal(home))
		Expect(place(b, later.Add(1100*time.Millisecond), 7).Target.UID).To(Equal(home))
	})

	// A target passes its liveness checks but fails half of its requests. Single failures between
	// answers never lead to a suspension.
	It("ejects it if it fails half of its requests", func() {
		b := newBalancer(targets(6)...)
		home := place(b, start, 7).Target.UID
		for range 20 {
			b.FinishRequest(start, home, placement.Errored)
			b.FinishRequest(start, home, placement.Answered)
		}
		Expect(place(b, start, 7).Target.UID).NotTo(Equal(home))
	})

	It("does not eject it if it fails one in eight requests", func() {
		b := newBalancer(targets(6)...)
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

	// All targets fail some requests and are suspended in turn. While all suspensions applied, the
	// few others got the whole load, and the chats lost their caches.
	It("ignores suspensions while most of the pool is suspended", func() {
		b := newBalancer(targets(6)...)
		homes := map[uint64]uint64{}
		for chat := uint64(1); chat < 50; chat++ {
			c := place(b, start, chat)
			homes[chat] = c.Target.UID
			b.FinishRequest(start, c.Target.UID, placement.Answered)
		}
		for _, t := range targets(6)[:4] {
			recordFailures(b, start, t.UID, 2)
		}
		for chat, home := range homes {
			c := place(b, start, chat)
			Expect(c.Target.UID).To(Equal(home))
			b.FinishRequest(start, c.Target.UID, placement.Neutral)
		}
	})

	// One of two targets is cut off. While half of a pool counted as most of it, the suspension was
	// ignored, so every second request failed until the retry budget was spent.
	It("does not ignore the suspension of one target of two", func() {
		b := newBalancer(targets(2)...)
		silent := targets(2)[0].UID
		recordFailures(b, start, silent, 2)
		for chat := range uint64(50) { // 0 is a request without a chat
			c := place(b, start, chat)
			Expect(c.Target.UID).NotTo(Equal(silent))
			b.FinishRequest(start, c.Target.UID, placement.Answered)
		}
	})

	// Four in ten targets crash and others fail under the load, so suspensions are ignored. While
	// that included the unreachable targets, thousands of requests a second lost an attempt there.
	It("never ignores the suspension of a target that accepts no connection", func() {
		b := newBalancer(targets(6)...)
		for _, t := range targets(6)[:2] {
			b.FinishRequest(start, t.UID, placement.Unreachable)
		}
		for _, t := range targets(6)[2:4] {
			recordFailures(b, start, t.UID, 2)
		}
		for chat := uint64(1); chat < 100; chat++ {
			c := place(b, start, chat)
			Expect(c.Target.UID).NotTo(BeElementOf(targets(6)[0].UID, targets(6)[1].UID))
			b.FinishRequest(start, c.Target.UID, placement.Neutral)
		}
	})

	// One target of three refuses most requests although it has room, so it seems the least loaded.
	// While a refusal counted only as a sign of load, many requests needed a second attempt, and
	// some failed because the retry budget was spent, although the other two targets were idle.
	It("ejects a target that refuses requests although it has free slots", func() {
		list := targets(3)
		for i := range list {
			list[i].Slots = 6
		}
		b := newBalancer(list...)
		refused := 0
		for i := range 300 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			c := place(b, now, 0)
			switch {
			case c.Target.UID != list[0].UID:
				b.FinishRequest(now, c.Target.UID, placement.Answered)
			case i%3 == 0: // some requests are answered
				b.FinishRequest(now, c.Target.UID, placement.Answered)
			default:
				refused++
				b.FinishRequest(now, c.Target.UID, placement.Refused)
			}
		}
		Expect(refused).To(BeNumerically("<", 30), "requests of 300; 200 if refusals only count as a sign of load")
	})

	It("does not suspend or eject a target that refuses requests because it is full", func() {
		list := targets(2)
		for i := range list {
			list[i].Slots = 2
		}
		b := newBalancer(list...)
		for range 6 {
			place(b, start, 0)
		}
		for range 20 {
			Expect(b.FinishRequest(start, list[0].UID, placement.Refused)).To(BeFalse())
			b.ReceiveReport(start, 9, []placement.Load{{Target: list[0].UID, Open: 30}}, nil)
		}
	})

	It("sends one trial request after a suspension, and more after its answer", func() {
		b := newBalancer(targets(6)...)
		home := place(b, start, 7).Target.UID
		b.FinishRequest(start, home, placement.Unreachable)
		now := start.Add(600 * time.Millisecond)
		Expect(place(b, now, 7).Target.UID).To(Equal(home))
		Expect(place(b, now, 7).Target.UID).NotTo(Equal(home))
		b.FinishRequest(now, home, placement.Answered)
		Expect(place(b, now, 7).Target.UID).To(Equal(home))
	})

	It("counts a failure of a silent target while its request is still waiting", func() {
		b := newBalancer(targets(6)...)
		home := place(b, start, 7).Target.UID
		b.RecordSilence(start, home)
		b.RecordSilence(start, home)
		Expect(place(b, start, 7).Target.UID).NotTo(Equal(home))
	})
})
