package reach_test

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/reach"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func routers(n int) []reach.Router {
	out := make([]reach.Router, n)
	for i := range out {
		out[i] = reach.Router{Address: fmt.Sprintf("r%d", i), DataCentre: fmt.Sprintf("dc%d", i%3)}
	}
	return out
}

func newForwarders(n int) *reach.Forwarders {
	f := reach.NewForwarders(rand.New(rand.NewPCG(1, 1)))
	f.SetRouters(routers(n))
	return f
}

var _ = Describe("the choice of a forwarder", func() {
	It("does not ask a router that reaches no target itself, until it may again", func() {
		f := newForwarders(2)
		f.Record(at(0), "pool", "r0", reach.NoPath)
		for range 50 {
			address, ok := f.Choose(at(999), reach.Query{Pool: "pool"})
			Expect(ok).To(BeTrue())
			Expect(address).To(Equal("r1"))
		}
		_, ok := f.Choose(at(999), reach.Query{Pool: "pool", Excluded: []string{"r1"}})
		Expect(ok).To(BeFalse(), "it answers at once rather than ask in vain")
		_, ok = f.Choose(at(1000), reach.Query{Pool: "pool", Excluded: []string{"r1"}})
		Expect(ok).To(BeTrue())
	})

	// Guards against callers refused because the only router with a path was busy or lost once.
	It("asks a busy or lost router if there is no other", func() {
		f := newForwarders(1)
		f.Record(at(0), "pool", "r0", reach.Lost)
		address, ok := f.Choose(at(1), reach.Query{Pool: "pool"})
		Expect(ok).To(BeTrue())
		Expect(address).To(Equal("r0"))
	})

	// Guards against one router that carries the requests of many: all that forward share them.
	It("spreads requests over all routers that forward", func() {
		f := newForwarders(62)
		asked := make(map[string]int)
		for i := range 20000 {
			address, ok := f.Choose(at(i), reach.Query{Pool: "pool"})
			Expect(ok).To(BeTrue())
			asked[address]++
			f.Record(at(i), "pool", address, reach.Forwarded)
		}
		Expect(asked).To(HaveLen(62))
		for address, n := range asked {
			Expect(n).To(BeNumerically("<", 2*20000/62), address)
		}
	})

	// Guards against routers that never find the few with a path among hundreds.
	It("finds the one router in nine that has a path, and learns of it from those that have found it", func() {
		f := newForwarders(9)
		tries := 0
		for found := false; !found; tries++ {
			address, ok := f.Choose(at(tries), reach.Query{Pool: "pool"})
			Expect(ok).To(BeTrue())
			found = address == "r7"
			if !found {
				f.Record(at(tries), "pool", address, reach.NoPath)
			}
		}
		Expect(tries).To(BeNumerically("<=", 9))
		other := newForwarders(300)
		other.RecordNamed(at(0), "pool", []string{"r7"})
		Expect(other.Proven(at(1), "pool")).To(ConsistOf("r7"))
	})

	It("never chooses an excluded, unknown or pathless router", func() {
		testkit.Check("200", func(t *rapid.T) {
			f := newForwarders(6)
			now, noPathUntil := 0, make(map[string]int)
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				now += rapid.IntRange(0, 400).Draw(t, "ms")
				excluded := []string{fmt.Sprintf("r%d", rapid.IntRange(0, 5).Draw(t, "excluded"))}
				address, ok := f.Choose(at(now), reach.Query{Pool: "pool", Near: []string{"dc1"}, Excluded: excluded})
				if !ok {
					continue
				}
				if address == excluded[0] || noPathUntil[address] > now {
					t.Fatalf("chose %s at %d ms", address, now)
				}
				result := rapid.SampledFrom([]reach.Result{reach.Forwarded, reach.Busy, reach.NoPath, reach.Full, reach.Silent, reach.Lost}).Draw(t, "result")
				f.Record(at(now), "pool", address, result)
				if result == reach.NoPath {
					noPathUntil[address] = now + 1000
				}
			}
		})
	})
})
