package poison_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/poison"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

const (
	bad    = poison.Fingerprint(1)
	proper = poison.Fingerprint(2)
	tick   = 100 * time.Millisecond
)

// Whether this router is a request's home.
func here() bool      { return true }
func elsewhere() bool { return false }

// alone is a detector of one router, with a clock.
type alone struct {
	*poison.Detector
	now time.Time
}

func newAlone() *alone { return &alone{poison.NewDetector(), time.Unix(1_000_000, 0)} }

// pass lets time pass and returns the changes.
func (a *alone) pass(d time.Duration) (out []poison.Change) {
	for end := a.now.Add(d); a.now.Before(end); {
		a.now = a.now.Add(tick)
		out = append(out, a.Tick(a.now)...)
	}
	return out
}

func (a *alone) refused(f poison.Fingerprint) bool {
	v := a.Admit(a.now, f, here)
	if v.Trial {
		a.EndTrial(a.now, f)
	}
	return v.Refused
}

// end ends targets under a request, a second apart.
func (a *alone) end(f poison.Fingerprint, targets ...uint64) {
	for _, t := range targets {
		a.RecordExit(a.now, f, t)
		a.pass(time.Second)
	}
}

var _ = Describe("what targets end under", func() {
	It("is suspected after three, and never before", func() {
		a := newAlone()
		a.end(bad, 1, 2)
		a.end(bad, 2) // another copy there
		Expect(a.refused(bad)).To(BeFalse())
		a.end(bad, 3)
		Expect(a.refused(bad)).To(BeTrue())
		Expect(a.refused(proper)).To(BeFalse())
	})

	It("is not suspected if it was answered in between, or a while before", func() {
		a := newAlone()
		a.end(bad, 1, 2)
		a.RecordAnswer(a.now, bad)
		a.end(bad, 3, 4, 5)
		Expect(a.refused(bad)).To(BeFalse())
	})

	It("is suspected although it was answered long ago: a release of targets may have changed that", func() {
		a := newAlone()
		a.RecordAnswer(a.now, bad)
		a.pass(61 * time.Second)
		a.end(bad, 1, 2, 3)
		Expect(a.refused(bad)).To(BeTrue())
	})

	// A proper request under which as many targets end as under the one that ends them is mostly a copy that was sent again
	// to targets that ended as well.
	It("is not suspected of ends that a suspect explains", func() {
		a := newAlone()
		a.end(proper, 1)
		a.end(bad, 1, 2, 3, 4)
		a.end(proper, 2, 3)
		a.end(bad, 5, 6)
		a.end(proper, 5, 6)
		Expect(a.refused(bad)).To(BeTrue())
		Expect(a.refused(proper)).To(BeFalse())
	})

	It("is answered at once that it was blamed in error, by a router that has an answer", func() {
		a := newAlone()
		a.RecordExit(a.now, proper, 1)
		a.RecordExit(a.now, proper, 2)
		a.RecordExit(a.now, proper, 3)
		a.pass(tick)
		Expect(a.refused(proper)).To(BeFalse(), "others may object")
		a.ReceiveReport(a.now, poison.Report{Answered: []poison.Fingerprint{proper}})
		a.pass(time.Second)
		Expect(a.refused(proper)).To(BeFalse())
	})

	It("is let through once at a time by one router after its wait, and waits longer if a target ends again", func() {
		a := newAlone()
		a.end(bad, 1, 2, 3)
		a.pass(10 * time.Second)
		Expect(a.Admit(a.now, bad, elsewhere).Refused).To(BeTrue(), "another router tries")
		Expect(a.Admit(a.now, bad, here).Trial).To(BeTrue())
		Expect(a.Admit(a.now, bad, here).Refused).To(BeTrue(), "one at a time")
		a.RecordExit(a.now, bad, 4)
		a.EndTrial(a.now, bad)
		a.pass(5*time.Minute - time.Second)
		Expect(a.refused(bad)).To(BeTrue())
		a.pass(2 * time.Second)
		Expect(a.Admit(a.now, bad, here).Trial).To(BeTrue())
	})

	It("is cleared when the one that is let through is answered", func() {
		a := newAlone()
		a.end(bad, 1, 2, 3)
		a.pass(10 * time.Second)
		Expect(a.Admit(a.now, bad, here).Trial).To(BeTrue())
		a.RecordAnswer(a.now, bad)
		a.EndTrial(a.now, bad)
		Expect(a.refused(bad)).To(BeFalse())
		Expect(a.pass(tick)).To(ContainElement(HaveField("Kind", poison.Cleared)))
	})

	It("is tried again soon if it is not known what came of it", func() {
		a := newAlone()
		a.end(bad, 1, 2, 3)
		a.pass(10 * time.Second)
		Expect(a.Admit(a.now, bad, here).Trial).To(BeTrue())
		a.EndTrial(a.now, bad)
		Expect(a.refused(bad)).To(BeTrue())
		a.pass(10 * time.Second)
		Expect(a.Admit(a.now, bad, here).Trial).To(BeTrue())
		a.RecordExit(a.now, bad, 4)
		a.EndTrial(a.now, bad)
		a.pass(11 * time.Second)
		Expect(a.refused(bad)).To(BeTrue(), "five minutes by now")
	})

	It("is forgotten when nobody sends it", func() {
		a := newAlone()
		a.end(bad, 1, 2, 3)
		Expect(a.pass(11 * time.Minute)).To(ContainElement(HaveField("Kind", poison.Forgotten)))
		Expect(a.SuspectCount()).To(BeZero())
	})

	It("is the same after the store has kept it", func() {
		a, b := newAlone(), newAlone()
		a.end(bad, 1, 2, 3)
		b.Restore(b.now, a.ListSuspects(a.now))
		Expect(b.refused(bad)).To(BeTrue())
		Expect(poison.Checksum(b.ListSuspects(b.now))).To(Equal(poison.Checksum(a.ListSuspects(a.now))))
	})

	// A hostile caller can have targets end under as many requests as they run.
	It("takes bounded memory, and forgets what has the least against it", func() {
		a := newAlone()
		a.end(bad, 1, 2)
		for i := range 20_000 {
			a.RecordExit(a.now, poison.Fingerprint(1000+i), 7)
		}
		a.end(bad, 3)
		Expect(a.refused(bad)).To(BeTrue())
		news := 0
		for range 200 {
			n := a.NextReport(a.now)
			news += len(n.Exits)
		}
		Expect(news).To(BeNumerically("<=", 3*1024))
		for f := poison.Fingerprint(1); f < 600; f++ {
			a.RecordExit(a.now, 50_000+f, uint64(100+3*f))
			a.RecordExit(a.now, 50_000+f, uint64(101+3*f))
			a.RecordExit(a.now, 50_000+f, uint64(102+3*f))
		}
		a.pass(time.Second)
		Expect(len(a.ListSuspects(a.now))).To(BeNumerically("<=", 256))
	})
})

// The hottest request is at every target. Targets end for other reasons: one, a rack of them or all, many times over.
var _ = Describe("a proper request that is sent often", func() {
	It("is never refused, whatever ends", func() {
		testkit.Check("300", func(t *rapid.T) {
			a := newAlone()
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
			targets := rapid.IntRange(3, 40).Draw(t, "targets")
			rack := rapid.IntRange(1, targets).Draw(t, "rack")
			every := rapid.IntRange(1, 50).Draw(t, "ticks between ends")
			lifetime := uint64(1)
			for i := range 400 {
				a.pass(tick)
				if random.IntN(4) > 0 { // one of four ticks without an answer
					a.RecordAnswer(a.now, proper)
				}
				if i%every == every-1 {
					for range rack {
						a.RecordExit(a.now, proper, lifetime)
						lifetime++
					}
				}
				if i > 20 && a.refused(proper) {
					t.Fatalf("refused at %d, %s", i, fmt.Sprint(targets, rack, every))
				}
			}
		})
	})
})

// What a request costs a router in the common case: it is answered, and nobody is suspected.
func BenchmarkRan(b *testing.B) {
	d := poison.NewDetector()
	now := time.Unix(1_000_000, 0)
	b.ReportAllocs()
	for i := range b.N {
		d.RecordAnswer(now.Add(time.Duration(i)*8*time.Millisecond), poison.Fingerprint(i))
	}
}
