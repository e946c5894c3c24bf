package lineage_test

import (
	"fmt"
	"runtime"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/lineage"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

const retention = 30 * time.Second

var _ = Describe("a registry of streams", func() {
	var now time.Time
	var r *lineage.Registry
	v1, v2 := lineage.SoftwareOf("pool", "v1"), lineage.SoftwareOf("pool", "v2")
	stream := lineage.StreamOf("dealers", "r-1")

	BeforeEach(func() {
		now = time.Unix(1_000_000, 0)
		r = lineage.NewRegistry(now, retention)
	})

	It("tells the versions of different pools and the streams of different teams apart", func() {
		Expect(lineage.SoftwareOf("other", "v1")).NotTo(Equal(v1))
		Expect(lineage.StreamOf("others", "r-1")).NotTo(Equal(stream))
		Expect(r.Find(now, stream)).To(BeZero())
	})

	// Guards against records that are dropped before their callers return, and against records that are
	// kept for ever.
	It("keeps each record for the retention and at most twice as long", func() {
		testkit.Check("200", func(t *rapid.T) {
			at := time.Unix(1_000_000, 0)
			r := lineage.NewRegistry(at, retention)
			began := make(map[lineage.Stream]time.Time)
			for i := range rapid.IntRange(1, 40).Draw(t, "streams") {
				at = at.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "pause")) * time.Millisecond)
				s := lineage.Stream(i + 1)
				r.Begin(at, lineage.Record{Stream: s, Software: v1}, 7)
				began[s] = at
				for s, beganAt := range began {
					switch age := at.Sub(beganAt); {
					case age < retention && r.Find(at, s) != v1:
						t.Fatalf("unknown after %v", age)
					case age >= 2*retention && r.Find(at, s) != 0:
						t.Fatalf("still known after %v", age)
					}
				}
			}
		})
	})

	// Guards against a stream that goes on at one of two versions that different routers reported, by the
	// order in which the reports arrive.
	It("never chooses between two versions, whatever the order of the reports", func() {
		testkit.Check("200", func(t *rapid.T) {
			at := time.Unix(1_000_000, 0)
			r := lineage.NewRegistry(at, retention)
			seen := make(map[lineage.Software]bool)
			for range rapid.IntRange(1, 6).Draw(t, "reports") {
				at = at.Add(time.Duration(rapid.IntRange(0, 5_000).Draw(t, "pause")) * time.Millisecond)
				v := rapid.SampledFrom([]lineage.Software{v1, v2, 0, lineage.Conflicting}).Draw(t, "version")
				r.Receive(at, []lineage.Record{{Stream: stream, Software: v}})
				if v != 0 {
					seen[v] = true
				}
				want := lineage.Software(0)
				for v := range seen {
					want = v
				}
				if len(seen) > 1 {
					want = lineage.Conflicting
				}
				if got := r.Find(at, stream); got != want {
					t.Fatalf("%x instead of %x", got, want)
				}
			}
		})
	})

	// Guards against a stream that is bound to the version of a list that was old when it began.
	It("gives up the streams of a lifetime that had ended before they began, and tells the others", func() {
		other := lineage.StreamOf("dealers", "r-2")
		r.Begin(now, lineage.Record{Stream: stream, Software: v1}, 7)
		now = now.Add(retention + time.Second)
		r.Begin(now, lineage.Record{Stream: lineage.StreamOf("dealers", "r-3"), Software: v1}, 7)
		r.Begin(now, lineage.Record{Stream: other, Software: v1}, 8)
		r.TakeUnreported(10)
		Expect(r.Revoke(now, 7)).To(Equal(2))
		Expect(r.Find(now, stream)).To(Equal(lineage.Conflicting))
		Expect(r.Find(now, other)).To(Equal(v1))
		Expect(r.TakeUnreported(10)).To(HaveLen(2))
	})

	It("reports each record of this router once, and none of the others", func() {
		r.Begin(now, lineage.Record{Stream: stream, Software: v1}, 7)
		r.Receive(now, []lineage.Record{{Stream: 9, Software: v2}})
		Expect(r.TakeUnreported(10)).To(Equal([]lineage.Record{{Stream: stream, Software: v1}}))
		Expect(r.TakeUnreported(10)).To(BeEmpty())
	})

	// Guards against a router whose memory grows with the streams of the fleet.
	It("takes at most 16 MB, however many streams begin", func() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range 1_000_000 {
			r.Receive(now, []lineage.Record{{Stream: lineage.StreamOf("t", fmt.Sprint(i)), Software: v1}})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		Expect(r.Find(now, lineage.StreamOf("t", "999999"))).To(Equal(v1), "the latest are kept")
		Expect(int64(after.HeapAlloc) - int64(before.HeapAlloc)).To(BeNumerically("<", 16<<20))
		runtime.KeepAlive(r)
	})
})
