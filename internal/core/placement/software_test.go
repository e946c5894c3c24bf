package placement_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/lineage"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

// versionedTargets returns n targets, of which the first old ones run v1 and the others v2.
func versionedTargets(n, old int) []placement.Target {
	out := targets(n)
	for i := range out {
		out[i].SoftwareVersion = "v2"
		if i < old {
			out[i].SoftwareVersion = "v1"
		}
	}
	return out
}

var _ = Describe("a stream that a software version began", func() {
	v1 := lineage.SoftwareOf(pool, "v1")

	// Guards against a rule of placement that passes over the version: a suspended, ejected, cold, paused or
	// full target must not send a stream to another version.
	It("is placed at a target of that version or at none, whatever state the targets are in", func() {
		testkit.Check("300", func(t *rapid.T) {
			rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
			list := versionedTargets(9, rapid.IntRange(0, 9).Draw(t, "old"))
			for i := range list {
				list[i].Leaving = rnd.IntN(6) == 0
				if rnd.IntN(4) == 0 {
					list[i].ColdRemaining = time.Second
				}
			}
			b := newBalancer(list...)
			b.SetLimits(map[string]placement.PoolLimits{pool: {ColdPerSecond: float64(rnd.IntN(2) * 10), MaxConnections: 20}})
			now := start
			for range 120 {
				now = now.Add(time.Duration(rnd.IntN(60)) * time.Millisecond)
				r := placement.Request{Pool: pool, ChatHash: uint64(rnd.IntN(5)), LoadsOutdated: rnd.IntN(2) == 0}
				if rnd.IntN(2) == 0 {
					r.Software = v1
				}
				c, ok := b.Place(now, r)
				if !ok {
					continue
				}
				if r.Software != 0 && c.Target.SoftwareVersion != "v1" {
					t.Fatalf("placed at %s by rule %s", c.Target.SoftwareVersion, c.Rule)
				}
				if r.Software != 0 && !b.ServesSoftware(pool, v1) {
					t.Fatalf("placed at %s, which is said not to serve", c.Target.ID)
				}
				switch rnd.IntN(5) {
				case 0:
					recordFailures(b, now, c.Target.UID, 1)
				case 1:
					b.MarkPaused(now, c.Target.UID, 300*time.Millisecond)
				case 2:
					b.FinishRequest(now, c.Target.UID, placement.Answered)
				}
			}
		})
	})

	// Guards against a target that goes on from what another software version has cached.
	It("fetches cached prefixes from targets of its own version only", func() {
		fetches := 0
		testkit.Check("100", func(t *rapid.T) {
			list := versionedTargets(6, rapid.IntRange(1, 5).Draw(t, "old"))
			versionAt := make(map[string]string)
			for _, l := range list {
				versionAt[l.Address] = l.SoftwareVersion
			}
			b := newBalancer(list...)
			now := start
			for range 60 {
				now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "pause")) * time.Millisecond)
				c, ok := b.Place(now, newRequest(root, uint64(rapid.IntRange(1, 6).Draw(t, "chat"))))
				if !ok {
					t.Fatal("not placed")
				}
				if c.CacheSource != "" {
					fetches++
				}
				if c.CacheSource != "" && versionAt[c.CacheSource] != c.Target.SoftwareVersion {
					t.Fatalf("a target of %s fetches from one of %s", c.Target.SoftwareVersion, versionAt[c.CacheSource])
				}
				b.RecordFirstEvent(now, c, true)
				if rapid.Bool().Draw(t, "ends") {
					b.FinishRequest(now, c.Target.UID, placement.Answered)
				}
			}
		})
		Expect(fetches).To(BeNumerically(">", 100))
	})

	// Guards against the last targets of a version that are overrun by the streams which only they may serve.
	It("is not placed above the load bound while targets of other versions have room", func() {
		b := newBalancer(versionedTargets(9, 2)...)
		for i := range 90 {
			place(b, start, uint64(1000+i))
		}
		placed := 0
		for i := range 60 {
			c, ok := b.Place(start, placement.Request{Pool: pool, ChatHash: uint64(i + 1), Software: v1})
			if !ok {
				break
			}
			placed++
			Expect(float64(c.Open + 1)).To(BeNumerically("<=", c.Bound))
		}
		Expect(placed).To(And(BeNumerically(">", 10), BeNumerically("<", 60)))
	})

	// Guards against streams that are refused because most of a pool has crashed: where all targets are
	// above the bound, it binds streams no more than other requests.
	It("is placed above the load bound if no target has room", func() {
		list := versionedTargets(9, 9)
		for i := range list[3:] {
			list[3+i].Leaving = true
		}
		b := newBalancer(list...)
		for i := range 80 {
			_, ok := b.Place(start, placement.Request{Pool: pool, ChatHash: uint64(i + 1), Software: v1})
			Expect(ok).To(BeTrue(), fmt.Sprint(i))
		}
	})
})
