package placement_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

// newRequest returns a request of a chat whose prompt begins with a root of 2,000 tokens that other
// chats share. The chat's own prefix has 6,000 more.
func newRequest(root, chat uint64) placement.Request {
	return placement.Request{Pool: pool, ChatHash: chat, PromptPrefixes: []placement.Prefix{{Hash: root, Tokens: 2000}, {Hash: chat, Tokens: 8000}}}
}

// serve places a request that is answered at once.
func serve(b *placement.Balancer, now time.Time, r placement.Request) placement.Choice {
	c, ok := b.Place(now, r)
	Expect(ok).To(BeTrue())
	answer(b, now, c)
	return c
}

func answer(b *placement.Balancer, now time.Time, c placement.Choice) {
	b.RecordFirstEvent(now, c, true)
	b.FinishRequest(now, c.Target.UID, placement.Answered)
}

// placePending places a request that stays unanswered.
func placePending(b *placement.Balancer, r placement.Request) placement.Choice {
	c, ok := b.Place(start, r)
	Expect(ok).To(BeTrue())
	return c
}

// findChat returns the first chat, counted from first, whose home is the target, or, if wantHome is
// false, another one.
func findChat(b *placement.Balancer, first uint64, uid uint64, wantHome bool) uint64 {
	for chat := first; ; chat++ {
		c, ok := b.Place(start, placement.Request{Pool: pool, ChatHash: chat})
		Expect(ok).To(BeTrue())
		b.FinishRequest(start, c.Target.UID, placement.Neutral)
		if (c.Target.UID == uid) == wantHome {
			return chat
		}
	}
}

const root = 1 << 40

var _ = Describe("the inventory of cached prefixes", func() {
	// All chats share a few prefixes. Each target read each of them, which made a quarter of a
	// million prompt tokens on a day with a low load: only a chat's former home was used as a cache
	// source, and a new chat has none.
	It("lets a new chat's home fetch the prefix that another target has read", func() {
		b := newBalancer(targets(6)...)
		first := placePending(b, newRequest(root, 1))
		Expect(first.CacheSource).To(BeEmpty(), "no target has read it")
		other := findChat(b, 2, first.Target.UID, false)
		reading := placePending(b, newRequest(root, other))
		Expect(reading.CacheSource).To(BeEmpty(), "the first target is still reading it")
		answer(b, start, first)
		answer(b, start, reading)
		other = findChat(b, other+1, first.Target.UID, false)
		c := serve(b, start.Add(time.Second), newRequest(root, other))
		Expect(c.CacheSource).NotTo(BeEmpty())
		Expect(c.CacheSource).NotTo(Equal(c.Target.Address))
		Expect(serve(b, start.Add(2*time.Second), newRequest(root, other)).CacheSource).To(BeEmpty(), "it holds the whole prompt now")
		Expect(serve(b, start.Add(2*time.Second), newRequest(root, findChat(b, 2, first.Target.UID, true))).CacheSource).To(BeEmpty(), "it holds the shared prefix")
	})

	It("is reported to the other routers, each read once", func() {
		one, other := newBalancer(targets(6)...), newBalancer(targets(6)...)
		at := serve(one, start, newRequest(root, 1)).Target
		serve(one, start, newRequest(root, 1))
		reads := one.TakePrefixReads(10)
		Expect(reads).To(ConsistOf(placement.PrefixRead{Prefix: root, Target: at.UID}, placement.PrefixRead{Prefix: 1, Target: at.UID}))
		Expect(one.TakePrefixReads(10)).To(BeEmpty())
		other.ReceivePrefixReads(start, reads)
		Expect(other.TakePrefixReads(10)).To(BeEmpty(), "only the router that saw the read reports it")
		chat := findChat(other, 2, at.UID, false)
		Expect(serve(other, start.Add(time.Second), newRequest(root, chat)).CacheSource).To(Equal(at.Address))
	})

	It("prefers a cache source in the same data centre", func() {
		list := targets(6) // two in each data centre
		b := newBalancer(list...)
		for chat := uint64(1); chat < 60; chat++ {
			serve(b, start, newRequest(root, chat))
		}
		dataCentreOf := map[string]string{}
		for _, t := range list {
			dataCentreOf[t.Address] = t.DataCentre
		}
		b.SetTargets(start, map[string][]placement.Target{pool: append(list, target("new", "b"))})
		for chat := uint64(100); ; chat++ {
			if c := serve(b, start.Add(time.Second), newRequest(root, chat)); c.Target.ID == "new" {
				Expect(dataCentreOf[c.CacheSource]).To(Equal("b"))
				return
			}
		}
	})

	// Targets join the list one after the other when a fleet starts. Each one was considered new,
	// and those before it the former homes of its chats, so fetches brought nothing.
	It("names no cache source among targets that joined together with the chat's home", func() {
		b := newBalancer(targets(1)...)
		for n := 2; n <= 6; n++ {
			b.SetTargets(start.Add(time.Duration(n)*time.Millisecond), map[string][]placement.Target{pool: targets(n)})
		}
		for chat := uint64(1); chat < 50; chat++ {
			Expect(serve(b, start.Add(time.Second), placement.Request{Pool: pool, ChatHash: chat}).CacheSource).To(BeEmpty())
		}
	})

	It("names only current lifetimes as cache sources", func() {
		testkit.Check("100", func(t *rapid.T) {
			b := newBalancer(targets(6)...)
			rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
			now := start
			list := targets(6)
			for range 60 {
				now = now.Add(time.Duration(rnd.IntN(900)) * time.Millisecond)
				if rnd.IntN(4) == 0 {
					i := rnd.IntN(len(list))
					list[i].StartedAtMs++
					list[i].UID = placement.UID(list[i].ID, list[i].StartedAtMs, "")
					list[i].Address = list[i].Address + "'"
					b.SetTargets(now, map[string][]placement.Target{pool: list})
				}
				c, ok := b.Place(now, newRequest(root+rnd.Uint64N(3), rnd.Uint64N(20)+1))
				if !ok {
					t.Fatal("no target")
				}
				b.FinishRequest(now, c.Target.UID, placement.Answered)
				known := c.CacheSource == ""
				for _, l := range list {
					known = known || (l.Address == c.CacheSource && l.UID != c.Target.UID)
				}
				if !known {
					t.Fatalf("the cache source %s is the chosen target, or none of the current ones", c.CacheSource)
				}
			}
		})
	})

	It("has a limited size and keeps the most recently used prefixes", func() {
		b := newBalancer(targets(2)...)
		for chat := uint64(1); chat < 20000; chat++ {
			serve(b, start, newRequest(root, chat))
		}
		Expect(len(b.TakePrefixReads(1 << 20))).To(BeNumerically("<=", 512))
		other := target("new", "a")
		b.SetTargets(start, map[string][]placement.Target{pool: append(targets(2), other)})
		Expect(serve(b, start.Add(time.Second), newRequest(1<<50, findChat(b, 30000, other.UID, true))).CacheSource).To(BeEmpty(), "no target holds its shared prefix")
		Expect(serve(b, start.Add(time.Second), newRequest(root, findChat(b, 40000, other.UID, true))).CacheSource).NotTo(BeEmpty(), "the shared prefix was used recently")
	})
})
