package placement_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

const chats = 2000

// homes returns the first target of each chat.
func homes(list []placement.Target) map[uint64]placement.Target {
	b := newBalancer(list...)
	out := make(map[uint64]placement.Target)
	for chat := uint64(1); chat <= chats; chat++ {
		out[chat] = serve(b, start, placement.Request{Pool: pool, ChatHash: chat}).Target
	}
	return out
}

// spread returns targets in several data centres; counts are the numbers in each.
func spread(counts ...int) []placement.Target {
	var out []placement.Target
	for dc, n := range counts {
		for i := range n {
			out = append(out, target(fmt.Sprintf("%c%d", 'a'+dc, i), string(rune('a'+dc))))
		}
	}
	return out
}

var _ = Describe("the order of a chat's targets", func() {
	// A target is replaced. With an order by target alone, its chats and those that the new target
	// takes over came from all data centres. Moving their caches between data centres takes twice
	// as long and is paid for twice.
	It("keeps chats within their data centre when targets are replaced", func() {
		testkit.Check("30", func(t *rapid.T) {
			list := spread(5, 5, 4, 4)
			before := homes(list)
			at := rapid.IntRange(0, len(list)-1).Draw(t, "replaced")
			dc := list[at].DataCentre
			after := homes(append(append([]placement.Target{target("new", dc)}, list[:at]...), list[at+1:]...))
			moved := 0
			for chat, home := range before {
				if after[chat].UID == home.UID {
					continue
				}
				moved++
				if home.DataCentre != dc || after[chat].DataCentre != dc {
					t.Fatalf("chat %d moves from %s to %s", chat, home.DataCentre, after[chat].DataCentre)
				}
			}
			if moved > chats/6 {
				t.Fatalf("%d of %d chats move", moved, chats)
			}
		})
	})

	It("gives each target a similar number of chats, although data centres differ in size", func() {
		for _, list := range [][]placement.Target{spread(5, 5, 4, 4), spread(3, 3, 3), spread(12), spread(8, 2, 2), spread(30, 15, 1)} {
			count := make(map[string]int)
			for _, home := range homes(list) {
				count[home.ID]++
			}
			mean := float64(chats) / float64(len(list))
			for _, t := range list {
				Expect(count[t.ID]).To(And(BeNumerically(">", 0.45*mean), BeNumerically("<", 1.9*mean)), t.ID)
			}
		}
	})

	It("spills within the data centre while one of its targets has room, then elsewhere", func() {
		b := newBalancer(spread(3, 3, 3)...)
		seen := map[string]bool{}
		first := place(b, start, 7).Target
		for range 40 {
			seen[place(b, start, 7).Target.DataCentre] = true
			if len(seen) > 1 {
				break
			}
		}
		Expect(seen).To(HaveKey(first.DataCentre))
		Expect(seen).To(HaveLen(2))
		open := b.OpenByTarget()
		for _, t := range spread(3, 3, 3) {
			if t.DataCentre == first.DataCentre {
				Expect(open[t.ID]).To(BeNumerically(">", 1), "each target of the data centre was used first")
			}
		}
	})

	It("leaves out a data centre whose targets are all leaving, and spreads its chats over the others", func() {
		list := spread(3, 3, 3)
		for i := range 3 {
			list[i].Leaving = true
		}
		count := map[string]int{}
		for _, home := range homes(list) {
			count[home.DataCentre]++
		}
		Expect(count).To(HaveLen(2))
		Expect(count["b"]).To(BeNumerically("~", chats/2, chats/10))
	})

	// Most targets of a data centre crash. While chats kept to their data centre, they overloaded
	// its few remaining targets although other data centres had room, and on the days with the
	// highest load a fifth more requests were refused.
	It("spreads the chats of a data centre over all data centres if most of its targets are skipped", func() {
		list := spread(5, 5, 4, 4)
		b := newBalancer(list...)
		for i := range 4 {
			b.FinishRequest(start, list[i].UID, placement.Unreachable)
		}
		count := map[string]int{}
		for chat := uint64(1); chat <= chats; chat++ {
			c := place(b, start, chat)
			count[c.Target.ID]++
			b.FinishRequest(start, c.Target.UID, placement.Neutral)
		}
		Expect(count).To(HaveLen(14))
		Expect(count["a4"]).To(BeNumerically("<", 2*chats/14), "with its data centre's full weight it would get a quarter of all chats")
	})

	It("is the same at all routers, whatever the order of the target list", func() {
		testkit.Check("50", func(t *rapid.T) {
			list := spread(3, 4, 2)
			other := rapid.Permutation(list).Draw(t, "list")
			one, two := newBalancer(list...), newBalancer(other...)
			for chat := uint64(1); chat < 50; chat++ {
				request := placement.Request{Pool: pool, ChatHash: chat}
				if serve(one, start, request).Target.UID != serve(two, start, request).Target.UID {
					t.Fatalf("the routers place chat %d at different targets", chat)
				}
			}
		})
	})

	It("works with more data centres than it ranks", func() {
		var list []placement.Target
		for i := range 40 {
			list = append(list, target(fmt.Sprint("t", i), fmt.Sprint("dc", i)))
		}
		b := newBalancer(list...)
		for chat := uint64(1); chat < 200; chat++ {
			_, ok := b.Place(start.Add(time.Second), placement.Request{Pool: pool, ChatHash: chat})
			Expect(ok).To(BeTrue())
		}
	})
})
