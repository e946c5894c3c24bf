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

	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
	"github.com/hemlockdyke/hemlockdyke/internal/core/warmup"
)

func TestWarmup(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "warmup")
}

// bears is what the target of these loads gets in a second at the most.
const bears = 26

// way decides whether a router sends a request to the cold target.
type way func(router int, now time.Duration) bool

// fleets returns what each router knows of the others. known says whom it knows.
func fleets(routers int, known func(router, other int) bool) []*warmup.Fleet {
	names := make([]string, routers)
	for i := range names {
		names[i] = fmt.Sprint("r", i)
	}
	out := make([]*warmup.Fleet, routers)
	for i := range out {
		var others []string
		for o := range routers {
			if o != i && known(i, o) {
				others = append(others, names[o])
			}
		}
		out[i] = warmup.NewFleet(names[i], others)
	}
	return out
}

// few is the way that stands: some routers, one request a second each.
func few(fleet []*warmup.Fleet, target uint64) way {
	routers := len(fleet)
	sends := make([]bool, routers)
	last := make([]time.Duration, routers)
	for i, f := range fleet {
		sends[i] = f.MaySend(target, bears)
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

// share gives each router its part of the rate: one request whenever its part has come together.
func share(routers int, rnd *rand.Rand) way {
	every := time.Duration(float64(time.Second) * float64(routers) / bears)
	next := make([]time.Duration, routers)
	for i := range next {
		next[i] = time.Duration(rnd.Float64() * float64(every))
	}
	return func(r int, now time.Duration) bool {
		if now < next[r] {
			return false
		}
		next[r] = now + every
		return true
	}
}

// home sends from the routers that the chat's own order names, one for each chat: its requests come to any router.
func home(routers int, chat uint64) way {
	only := int(chat % uint64(routers))
	return func(r int, _ time.Duration) bool { return r == only }
}

func everybody(int, time.Duration) bool { return true }

// play sends a load for three seconds and returns the most that arrived in any second, and how many arrived in all.
func play(routers int, perSecond float64, w way, rnd *rand.Rand) (most, all int) {
	var at []time.Duration
	for now := time.Duration(0); now < 3*time.Second; now += time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second)) {
		if w(rnd.IntN(routers), now) {
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
	everyone := func(int, int) bool { return true }
	// parted routers know only those of their own half.
	parted := func(a, b int) bool { return a%2 == b%2 }

	// Guards against more requests than a cold target bears, summed over routers that don't ask each other.
	DescribeTable("gets no more than it bears", func(routers int, known func(int, int) bool, perSecond float64) {
		fleet := fleets(routers, known)
		for seed := range uint64(40) {
			rnd := rand.New(rand.NewPCG(seed, uint64(routers)))
			most, _ := play(routers, perSecond, few(fleet, rendezvous.Mix(seed, 7)), rnd)
			Expect(most).To(BeNumerically("<=", bears))
		}
	},
		Entry("9 routers, its usual load", 9, everyone, 8.0), Entry("9, a hot chat", 9, everyone, 300.0),
		Entry("70, its usual load", 70, everyone, 8.0), Entry("70, a hot chat", 70, everyone, 300.0), Entry("70 parted, a hot chat", 70, parted, 2000.0),
		Entry("195, a hot chat", 195, everyone, 2000.0), Entry("195 parted, a hot chat", 195, parted, 2000.0),
		Entry("340, a hot chat", 340, everyone, 4000.0), Entry("340 parted, a hot chat", 340, parted, 4000.0),
	)

	// Guards against a target that nobody may send to, and work that the same few routers get for all targets.
	It("has senders, others for each target", func() {
		for _, routers := range []int{1, 2, 9, 70, 340} {
			senders, fleet := make([]int, routers), fleets(routers, everyone)
			const targets = 200
			for target := range uint64(targets) {
				n := 0
				for i, f := range fleet {
					if f.MaySend(rendezvous.Mix(target, 3), bears) {
						senders[i]++
						n++
					}
				}
				Expect(n).To(Equal(min(routers, bears/2)))
			}
			if routers > bears/2 {
				mean := float64(targets) * bears / 2 / float64(routers)
				Expect(slices.Max(senders)).To(BeNumerically("<", mean+6*math.Sqrt(mean)))
			}
		}
	})

	// The ways that were weighed, for the design note: the most in a second, and what arrives of the load, medians of 21 seeds.
	It("is compared in four ways", func() {
		for _, routers := range []int{9, 70, 195, 340} {
			fleet := fleets(routers, everyone)
			for _, load := range []float64{8, 26, 300} {
				line := fmt.Sprintf("%3d routers, %3.0f/s:", routers, load)
				for _, one := range []struct {
					name string
					way  func(seed uint64, rnd *rand.Rand) way
				}{
					{"everybody", func(uint64, *rand.Rand) way { return everybody }},
					{"share", func(_ uint64, rnd *rand.Rand) way { return share(routers, rnd) }},
					{"chat's router", func(seed uint64, _ *rand.Rand) way { return home(routers, seed) }},
					{"few", func(seed uint64, _ *rand.Rand) way { return few(fleet, rendezvous.Mix(seed, 7)) }},
				} {
					var most, served []int
					for seed := range uint64(21) {
						rnd := rand.New(rand.NewPCG(seed, uint64(routers)))
						m, s := play(routers, load, one.way(seed, rnd), rnd)
						most, served = append(most, m), append(served, s)
					}
					slices.Sort(served)
					line += fmt.Sprintf("  %s %d (%.0f%%)", one.name, slices.Max(most), 100*float64(served[10])/(3*load))
				}
				AddReportEntry(line)
			}
		}
	})
})
