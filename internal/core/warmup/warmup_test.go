package warmup_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
	"github.com/hemlockdyke/hemlockdyke/internal/core/warmup"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func TestWarmup(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "warmup")
}

// maxRate is how many requests a second the target may get at most.
const maxRate = 26

// sendPolicy decides whether a router sends a request to the cold target.
type sendPolicy func(router int, now time.Duration) bool

// newFleets returns each router's view of the fleet. knows reports which other routers a router
// knows.
func newFleets(routers int, knows func(router, other int) bool) []*warmup.Fleet {
	names := make([]string, routers)
	for i := range names {
		names[i] = fmt.Sprint("r", i)
	}
	out := make([]*warmup.Fleet, routers)
	for i := range out {
		var others []string
		for o := range routers {
			if o != i && knows(i, o) {
				others = append(others, names[o])
			}
		}
		out[i] = warmup.NewFleet(names[i], others)
	}
	return out
}

// selectedRouters is the policy in use: a few routers send, each one request a second.
func selectedRouters(fleets []*warmup.Fleet, target uint64) sendPolicy {
	routers := len(fleets)
	sends := make([]bool, routers)
	last := make([]time.Duration, routers)
	for i, f := range fleets {
		sends[i] = f.MaySend(target, maxRate)
		last[i] = -time.Hour
	}
	return func(r int, now time.Duration) bool {
		if !sends[r] || now-last[r] < warmup.SendInterval {
			return false
		}
		last[r] = now
		return true
	}
}

// equalShares gives each router an equal share of the rate and spaces its requests evenly.
func equalShares(routers int, rnd *rand.Rand) sendPolicy {
	interval := time.Duration(float64(time.Second) * float64(routers) / maxRate)
	next := make([]time.Duration, routers)
	for i := range next {
		next[i] = time.Duration(rnd.Float64() * float64(interval))
	}
	return func(r int, now time.Duration) bool {
		if now < next[r] {
			return false
		}
		next[r] = now + interval
		return true
	}
}

// oneRouterPerChat lets only one router send, chosen by the chat. The chat's requests still arrive
// at any router.
func oneRouterPerChat(routers int, chat uint64) sendPolicy {
	only := int(chat % uint64(routers))
	return func(r int, _ time.Duration) bool { return r == only }
}

func noLimit(int, time.Duration) bool { return true }

// simulate sends a load for three seconds. It returns the most requests that arrived within one
// second, and the number of all that arrived.
func simulate(routers int, perSecond float64, policy sendPolicy, rnd *rand.Rand) (most, all int) {
	var at []time.Duration
	for now := time.Duration(0); now < 3*time.Second; now += time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second)) {
		if policy(rnd.IntN(routers), now) {
			at = append(at, now)
		}
	}
	for i := range at {
		j, _ := slices.BinarySearch(at, at[i]+time.Second)
		most = max(most, j-i)
	}
	return most, len(at)
}

var _ = Describe("a cold target", func() {
	knowsAll := func(int, int) bool { return true }
	// partitioned routers know only the routers of their own half.
	partitioned := func(a, b int) bool { return a%2 == b%2 }

	// Guards against more requests than the target can take, summed over routers that do not
	// coordinate.
	DescribeTable("gets at most its maximum rate", func(routers int, knows func(int, int) bool, perSecond float64) {
		fleets := newFleets(routers, knows)
		for seed := range uint64(40) {
			rnd := rand.New(rand.NewPCG(seed, uint64(routers)))
			most, _ := simulate(routers, perSecond, selectedRouters(fleets, rendezvous.Mix(seed, 7)), rnd)
			Expect(most).To(BeNumerically("<=", maxRate))
		}
	},
		Entry("9 routers, usual load", 9, knowsAll, 8.0), Entry("9 routers, a hot chat", 9, knowsAll, 300.0),
		Entry("70 routers, usual load", 70, knowsAll, 8.0), Entry("70 routers, a hot chat", 70, knowsAll, 300.0), Entry("70 routers, partitioned, a hot chat", 70, partitioned, 2000.0),
		Entry("195 routers, a hot chat", 195, knowsAll, 2000.0), Entry("195 routers, partitioned, a hot chat", 195, partitioned, 2000.0),
		Entry("340 routers, a hot chat", 340, knowsAll, 4000.0), Entry("340 routers, partitioned, a hot chat", 340, partitioned, 4000.0),
	)

	// Guards against a target that no router may send to, and against the same few routers being
	// selected for all targets.
	It("has the expected number of senders, which differ between targets", func() {
		for _, routers := range []int{1, 2, 9, 70, 340} {
			senders, fleets := make([]int, routers), newFleets(routers, knowsAll)
			const targets = 200
			for target := range uint64(targets) {
				n := 0
				for i, f := range fleets {
					if f.MaySend(rendezvous.Mix(target, 3), maxRate) {
						senders[i]++
						n++
					}
				}
				Expect(n).To(Equal(min(routers, maxRate/2)))
			}
			if routers > maxRate/2 {
				mean := float64(targets) * maxRate / 2 / float64(routers)
				Expect(slices.Max(senders)).To(BeNumerically("<", mean+6*math.Sqrt(mean)))
			}
		}
	})

	// Reports for each policy the most requests in one second and the median share of the load that
	// arrives, over 21 seeds.
	It("gets a load by each of four policies (report only)", func() {
		for _, routers := range []int{9, 70, 195, 340} {
			fleets := newFleets(routers, knowsAll)
			for _, load := range []float64{8, 26, 300} {
				line := fmt.Sprintf("%3d routers, %3.0f/s:", routers, load)
				for _, policy := range []struct {
					name      string
					newPolicy func(seed uint64, rnd *rand.Rand) sendPolicy
				}{
					{"no limit", func(uint64, *rand.Rand) sendPolicy { return noLimit }},
					{"equal shares", func(_ uint64, rnd *rand.Rand) sendPolicy { return equalShares(routers, rnd) }},
					{"one router per chat", func(seed uint64, _ *rand.Rand) sendPolicy { return oneRouterPerChat(routers, seed) }},
					{"selected routers", func(seed uint64, _ *rand.Rand) sendPolicy { return selectedRouters(fleets, rendezvous.Mix(seed, 7)) }},
				} {
					var most, served []int
					for seed := range uint64(21) {
						rnd := rand.New(rand.NewPCG(seed, uint64(routers)))
						m, s := simulate(routers, load, policy.newPolicy(seed, rnd), rnd)
						most, served = append(most, m), append(served, s)
					}
					slices.Sort(served)
					line += fmt.Sprintf("  %s %d (%.0f%%)", policy.name, slices.Max(most), 100*float64(served[10])/(3*load))
				}
				AddReportEntry(line)
			}
		}
	})

	// Guards against targets that are asked for more than their slots, or left idle, as routers disagree
	// on whose the slots are.
	It("divides the slots of a target among the routers, each slot once", func() {
		testkit.Check("200", func(t *rapid.T) {
			n, slots := rapid.IntRange(1, 80).Draw(t, "routers"), rapid.IntRange(0, 100).Draw(t, "slots")
			target := rapid.Uint64().Draw(t, "target")
			addresses := make([]string, n)
			for i := range addresses {
				addresses[i] = fmt.Sprint("router", i)
			}
			sum := 0
			holders := make(map[string]bool)
			for i, own := range addresses {
				f := warmup.NewFleet(own, append(slices.Clone(addresses[:i]), addresses[i+1:]...))
				if q := f.Quota(target, slots); q > 0 {
					sum += q
					holders[own] = true
				}
			}
			if sum != slots {
				t.Fatalf("quotas add up to %d of %d slots", sum, slots)
			}
			for _, h := range warmup.NewFleet("another", addresses).Holders(target, slots) {
				if !holders[h] {
					t.Fatalf("%s has no quota", h)
				}
			}
		})
	})
})
