package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
)

var _ = Describe("the utilization of a pool", func() {
	newBalancer := func(targets ...placement.Target) *placement.Balancer {
		b := placement.New(placement.DefaultSettings("a"), rand.New(rand.NewPCG(1, 1)))
		b.SetTargets(start, map[string][]placement.Target{"p": targets})
		return b
	}
	target := func(i, slots int) placement.Target {
		return placement.Target{UID: uint64(i), ID: fmt.Sprint("i-", i), Slots: slots, DataCentre: "a"}
	}

	// Guards against load shedding by a part of the load, or by room that no request may use.
	It("is the fleet's open requests by the slots of the targets that may get requests", func() {
		leaving := target(3, 10)
		leaving.Leaving = true
		b := newBalancer(target(1, 10), target(2, 10), leaving, target(4, 0))
		Expect(b.Utilization(start, "p")).To(BeZero())
		b.ReceiveReport(start, 1, []placement.Load{{Target: 1, Open: 9}, {Target: 3, Open: 10}, {Target: 4, Open: 7}}, nil)
		_, ok := b.Place(start, placement.Request{Pool: "p", Excluded: []uint64{1, 4}})
		Expect(ok).To(BeTrue())
		Expect(b.Utilization(start, "p")).To(Equal(0.05), "own requests count at once")
		now := start.Add(60 * time.Millisecond)
		Expect(b.Utilization(now, "p")).To(Equal(0.5))
		b.MarkPaused(now, 2, time.Second)
		Expect(b.Utilization(now.Add(60*time.Millisecond), "p")).To(Equal(0.9))
	})

	// Guards against targets that preempt requests with long prompts since their memory is full while slots
	// are free.
	It("is that of the memory if more of it is used than of the slots", func() {
		b := newBalancer(target(1, 10), target(2, 10))
		b.SetLimits(map[string]placement.PoolLimits{"p": {MemoryTokens: 100_000}})
		b.ReceiveReport(start, 1, []placement.Load{{Target: 1, Open: 4, Memory: 90_000}, {Target: 2, Open: 6, Memory: 80_000}}, nil)
		Expect(b.Utilization(start, "p")).To(Equal(0.85))
		b.ReceiveReport(start, 1, []placement.Load{{Target: 1, Open: 4, Memory: 20_000}, {Target: 2, Open: 6, Memory: 30_000}}, nil)
		Expect(b.Utilization(start.Add(60*time.Millisecond), "p")).To(Equal(0.5))
	})

	// Guards against one false figure of a router that makes all routers shed the work of the whole pool.
	It("counts no target as used more than twice over", func() {
		b := newBalancer(target(1, 10), target(2, 10), target(3, 10), target(4, 10))
		b.SetLimits(map[string]placement.PoolLimits{"p": {MemoryTokens: 100_000}})
		b.ReceiveReport(start, 1, []placement.Load{{Target: 1, Open: 4e9, Memory: 4e9}, {Target: 2, Open: 2}}, nil)
		Expect(b.Utilization(start, "p")).To(Equal(0.55))
	})

	It("is 0 if the pool or its slots are unknown", func() {
		b := newBalancer(target(1, 0))
		b.ReceiveReport(start, 1, []placement.Load{{Target: 1, Open: 9}}, nil)
		Expect(b.Utilization(start, "p")).To(BeZero())
		Expect(b.Utilization(start, "q")).To(BeZero())
	})

	// Guards against a utilization that falls to that of no targets once most are suspended.
	It("counts suspended targets only while suspensions are ignored", func() {
		b := newBalancer(target(1, 10), target(2, 10), target(3, 10))
		b.ReceiveReport(start, 1, []placement.Load{{Target: 1, Open: 9}, {Target: 2, Open: 6}, {Target: 3, Open: 3}}, nil)
		fail := func(uid uint64) {
			for range 10 {
				b.RecordSilence(start, uid)
			}
		}
		fail(1)
		Expect(b.Utilization(start.Add(time.Millisecond), "p")).To(BeNumerically("~", 0.45))
		fail(2)
		Expect(b.Utilization(start.Add(60*time.Millisecond), "p")).To(BeNumerically("~", 0.6))
	})
})

// BenchmarkUtilization measures the utilization of a pool at 100 decisions a second.
func BenchmarkUtilization(b *testing.B) {
	for _, n := range []int{90, 3000} {
		b.Run(fmt.Sprint(n, " targets"), func(b *testing.B) {
			bal := placement.New(placement.DefaultSettings("a"), rand.New(rand.NewPCG(1, 1)))
			targets := make([]placement.Target, n)
			for i := range targets {
				targets[i] = placement.Target{UID: uint64(i + 1), ID: fmt.Sprint("i-", i), Slots: 24, DataCentre: "a"}
			}
			bal.SetTargets(start, map[string][]placement.Target{"p": targets})
			now := start
			for b.Loop() {
				now = now.Add(10 * time.Millisecond) // 100 decisions a second
				bal.Utilization(now, "p")
			}
		})
	}
}
