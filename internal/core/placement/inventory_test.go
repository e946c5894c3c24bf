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

// ask returns a request of a chat whose prompt begins with a root of 2,000 tokens that other
// chats share; the chat's own beginning has 6,000 more.
func ask(root, chat uint64) placement.Request {
	return placement.Request{Pool: pool, Chat: chat, PromptPrefixes: []placement.Prefix{{Hash: root, Tokens: 2000}, {Hash: chat, Tokens: 8000}}}
}

// serve places a request, which is answered at once.
func serve(b *placement.Balancer, now time.Time, a placement.Request) placement.Choice {
	c, ok := b.Place(now, a)
	Expect(ok).To(BeTrue())
	answer(b, now, c)
	return c
}

func answer(b *placement.Balancer, now time.Time, c placement.Choice) {
	b.RecordFirstEvent(now, c, true)
	b.FinishRequest(now, c.Target.UID, placement.Answered)
}

// placed places a request, which waits for its answer.
func placed(b *placement.Balancer, a placement.Request) placement.Choice {
	c, ok := b.Place(start, a)
	Expect(ok).To(BeTrue())
	return c
}

// chatAt returns a chat from first on whose home is, or is not, a target.
func chatAt(b *placement.Balancer, first uint64, uid uint64, is bool) uint64 {
	for chat := first; ; chat++ {
		c, ok := b.Place(start, placement.Request{Pool: pool, Chat: chat})
		Expect(ok).To(BeTrue())
		b.FinishRequest(start, c.Target.UID, placement.Neutral)
		if (c.Target.UID == uid) == is {
			return chat
		}
	}
}

const root = 1 << 40

var _ = Describe("what targets hold", func() {
	// Symptom: a quarter of a million prompt tokens are read again on a calm day. Sequence: a few beginnings
	// are shared by all chats; each target reads each of them once. Cause: only a chat's former home
	// was asked for its cache, and a new chat has none.
	It("lets a new chat's home fetch the beginning that another target has read", func() {
		b := board(targets(6)...)
		first := placed(b, ask(root, 1))
		Expect(first.CacheSource).To(BeEmpty(), "nobody has it")
		other := chatAt(b, 2, first.Target.UID, false)
		reading := placed(b, ask(root, other))
		Expect(reading.CacheSource).To(BeEmpty(), "it is being read")
		answer(b, start, first)
		answer(b, start, reading)
		other = chatAt(b, other+1, first.Target.UID, false)
		c := serve(b, start.Add(time.Second), ask(root, other))
		Expect(c.CacheSource).NotTo(BeEmpty())
		Expect(c.CacheSource).NotTo(Equal(c.Target.Address))
		Expect(serve(b, start.Add(2*time.Second), ask(root, other)).CacheSource).To(BeEmpty(), "it has all of it now")
		Expect(serve(b, start.Add(2*time.Second), ask(root, chatAt(b, 2, first.Target.UID, true))).CacheSource).To(BeEmpty(), "it holds the root")
	})

	It("is told to the other routers, each piece of news once", func() {
		one, other := board(targets(6)...), board(targets(6)...)
		at := serve(one, start, ask(root, 1)).Target
		serve(one, start, ask(root, 1))
		news := one.TakePrefixReads(10)
		Expect(news).To(ConsistOf(placement.PrefixRead{Prefix: root, Target: at.UID}, placement.PrefixRead{Prefix: 1, Target: at.UID}))
		Expect(one.TakePrefixReads(10)).To(BeEmpty())
		other.ReceivePrefixReads(start, news)
		Expect(other.TakePrefixReads(10)).To(BeEmpty(), "it is told by who sent it")
		chat := chatAt(other, 2, at.UID, false)
		Expect(serve(other, start.Add(time.Second), ask(root, chat)).CacheSource).To(Equal(at.Address))
	})

	It("is fetched within the data centre if it can be", func() {
		list := targets(6) // two in each data centre
		b := board(list...)
		for chat := uint64(1); chat < 60; chat++ {
			serve(b, start, ask(root, chat))
		}
		centre := map[string]string{}
		for _, t := range list {
			centre[t.Address] = t.DataCentre
		}
		b.SetTargets(start, map[string][]placement.Target{pool: append(list, target("new", "b"))})
		for chat := uint64(100); ; chat++ {
			if c := serve(b, start.Add(time.Second), ask(root, chat)); c.Target.ID == "new" {
				Expect(centre[c.CacheSource]).To(Equal("b"))
				return
			}
		}
	})

	// Symptom: fetches that bring nothing, in place of those that would. Sequence: a fleet starts; its targets
	// join the list one after the other. Cause: each was taken for new, and those before it for
	// the former homes of its chats.
	It("is not asked for at targets that joined together with the chat's home", func() {
		b := board(targets(1)...)
		for n := 2; n <= 6; n++ {
			b.SetTargets(start.Add(time.Duration(n)*time.Millisecond), map[string][]placement.Target{pool: targets(n)})
		}
		for chat := uint64(1); chat < 50; chat++ {
			Expect(serve(b, start.Add(time.Second), placement.Request{Pool: pool, Chat: chat}).CacheSource).To(BeEmpty())
		}
	})

	It("is believed only of targets that are there, and of another lifetime never", func() {
		testkit.Check("100", func(t *rapid.T) {
			b := board(targets(6)...)
			rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
			now := start
			list := targets(6)
			for range 60 {
				now = now.Add(time.Duration(rnd.IntN(900)) * time.Millisecond)
				if rnd.IntN(4) == 0 {
					i := rnd.IntN(len(list))
					list[i].StartedAtMs++
					list[i].UID = placement.UID(list[i].ID, list[i].StartedAtMs)
					list[i].Address = list[i].Address + "'"
					b.SetTargets(now, map[string][]placement.Target{pool: list})
				}
				c, ok := b.Place(now, ask(root+rnd.Uint64N(3), rnd.Uint64N(20)+1))
				if !ok {
					t.Fatal("no target")
				}
				b.FinishRequest(now, c.Target.UID, placement.Answered)
				known := c.CacheSource == ""
				for _, l := range list {
					known = known || (l.Address == c.CacheSource && l.UID != c.Target.UID)
				}
				if !known {
					t.Fatalf("source %s is no target, or the chosen one", c.CacheSource)
				}
			}
		})
	})

	It("is kept within a bound, the last used first", func() {
		b := board(targets(2)...)
		for chat := uint64(1); chat < 20000; chat++ {
			serve(b, start, ask(root, chat))
		}
		Expect(len(b.TakePrefixReads(1 << 20))).To(BeNumerically("<=", 512))
		other := target("new", "a")
		b.SetTargets(start, map[string][]placement.Target{pool: append(targets(2), other)})
		Expect(serve(b, start.Add(time.Second), ask(1<<50, chatAt(b, 30000, other.UID, true))).CacheSource).To(BeEmpty(), "nobody has its root")
		Expect(serve(b, start.Add(time.Second), ask(root, chatAt(b, 40000, other.UID, true))).CacheSource).NotTo(BeEmpty(), "the root is in use")
	})
})
