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
	poisonous = poison.Fingerprint(1)
	harmless  = poison.Fingerprint(2)
	tick      = 100 * time.Millisecond
)

// here and elsewhere are the ranks of a home router, and of the next one.
func here(poison.Fingerprint) int      { return 0 }
func elsewhere(poison.Fingerprint) int { return 1 }

// carrying returns the contents of a request.
func carrying(f ...poison.Fingerprint) poison.Contents { return f }

// router is the detector of a single router, with a clock.
type router struct {
	*poison.Detector
	now time.Time
}

func newRouter() *router { return &router{poison.NewDetector(), time.Unix(1_000_000, 0)} }

// advance moves the clock and returns the changes.
func (r *router) advance(d time.Duration) (out []poison.Change) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(tick)
		out = append(out, r.Tick(r.now)...)
	}
	return out
}

func (r *router) refused(f poison.Fingerprint) bool {
	decision := r.Admit(r.now, carrying(f), here)
	if decision.Trial {
		r.EndTrial(r.now, carrying(f))
	}
	return decision.Refused
}

// exitTargets makes targets exit while they execute a request, a second apart.
func (r *router) exitTargets(f poison.Fingerprint, targets ...uint64) {
	for _, t := range targets {
		r.RecordExit(r.now, t, []poison.Contents{carrying(f)})
		r.advance(time.Second)
	}
}

var _ = Describe("a request under which targets exit", func() {
	It("is suspected after three exits and never before", func() {
		r := newRouter()
		r.exitTargets(poisonous, 1, 2)
		r.exitTargets(poisonous, 2) // another copy of the request on the same target
		Expect(r.refused(poisonous)).To(BeFalse())
		r.exitTargets(poisonous, 3)
		Expect(r.refused(poisonous)).To(BeTrue())
		Expect(r.refused(harmless)).To(BeFalse())
	})

	It("is not suspected if it was answered between the exits, or a while before", func() {
		r := newRouter()
		r.exitTargets(poisonous, 1, 2)
		r.RecordAnswer(r.now, carrying(poisonous))
		r.exitTargets(poisonous, 3, 4, 5)
		Expect(r.refused(poisonous)).To(BeFalse())
	})

	It("is suspected if it was last answered long ago, as a new release of targets may have changed that", func() {
		r := newRouter()
		r.RecordAnswer(r.now, carrying(poisonous))
		r.advance(61 * time.Second)
		r.exitTargets(poisonous, 1, 2, 3)
		Expect(r.refused(poisonous)).To(BeTrue())
	})

	// Guards against a harmless request that is suspected along with the poisonous one. It has as
	// many exits if it was retried on targets that the poisonous request made exit as well.
	It("is not suspected for exits that a suspect explains", func() {
		r := newRouter()
		r.exitTargets(harmless, 1)
		r.exitTargets(poisonous, 1, 2, 3, 4)
		r.exitTargets(harmless, 2, 3)
		r.exitTargets(poisonous, 5, 6)
		r.exitTargets(harmless, 5, 6)
		Expect(r.refused(poisonous)).To(BeTrue())
		Expect(r.refused(harmless)).To(BeFalse())
	})

	It("is not suspected if another router reports an answer within the objection period", func() {
		r := newRouter()
		r.RecordExit(r.now, 1, []poison.Contents{carrying(harmless)})
		r.RecordExit(r.now, 2, []poison.Contents{carrying(harmless)})
		r.RecordExit(r.now, 3, []poison.Contents{carrying(harmless)})
		r.advance(tick)
		Expect(r.refused(harmless)).To(BeFalse(), "other routers may still object")
		r.ReceiveReport(r.now, poison.Report{Answers: []poison.Fingerprint{harmless}})
		r.advance(time.Second)
		Expect(r.refused(harmless)).To(BeFalse())
	})

	It("is tried once at a time by its home router after the refusal period, which grows if a target exits again", func() {
		r := newRouter()
		r.exitTargets(poisonous, 1, 2, 3)
		r.advance(10 * time.Second)
		Expect(r.Admit(r.now, carrying(poisonous), elsewhere).Refused).To(BeTrue(), "another router sends the trial")
		Expect(r.Admit(r.now, carrying(poisonous), here).Trial).To(BeTrue())
		Expect(r.Admit(r.now, carrying(poisonous), here).Refused).To(BeTrue(), "one trial at a time")
		r.RecordExit(r.now, 4, []poison.Contents{carrying(poisonous)})
		r.EndTrial(r.now, carrying(poisonous))
		r.advance(5*time.Minute - time.Second)
		Expect(r.refused(poisonous)).To(BeTrue())
		r.advance(2 * time.Second)
		Expect(r.Admit(r.now, carrying(poisonous), here).Trial).To(BeTrue())
	})

	It("is cleared when the trial is answered", func() {
		r := newRouter()
		r.exitTargets(poisonous, 1, 2, 3)
		r.advance(10 * time.Second)
		Expect(r.Admit(r.now, carrying(poisonous), here).Trial).To(BeTrue())
		r.RecordAnswer(r.now, carrying(poisonous))
		r.EndTrial(r.now, carrying(poisonous))
		Expect(r.refused(poisonous)).To(BeFalse())
		Expect(r.advance(tick)).To(ContainElement(HaveField("Kind", poison.Cleared)))
	})

	It("is tried again soon if the trial had neither an answer nor an exit", func() {
		r := newRouter()
		r.exitTargets(poisonous, 1, 2, 3)
		r.advance(10 * time.Second)
		Expect(r.Admit(r.now, carrying(poisonous), here).Trial).To(BeTrue())
		r.EndTrial(r.now, carrying(poisonous))
		Expect(r.refused(poisonous)).To(BeTrue())
		r.advance(10 * time.Second)
		Expect(r.Admit(r.now, carrying(poisonous), here).Trial).To(BeTrue())
		r.RecordExit(r.now, 4, []poison.Contents{carrying(poisonous)})
		r.EndTrial(r.now, carrying(poisonous))
		r.advance(11 * time.Second)
		Expect(r.refused(poisonous)).To(BeTrue(), "the second refusal period is five minutes")
	})

	It("is forgotten when nobody sends it", func() {
		r := newRouter()
		r.exitTargets(poisonous, 1, 2, 3)
		Expect(r.advance(24*time.Hour)).NotTo(ContainElement(HaveField("Kind", poison.Forgotten)), "it may come back within a day")
		Expect(r.Admit(r.now, carrying(poisonous), elsewhere).Refused).To(BeTrue())
		Expect(r.advance(25 * time.Hour)).To(ContainElement(HaveField("Kind", poison.Forgotten)))
		Expect(r.RefusedCount()).To(BeZero())
	})

	It("is suspected as before after it was restored from the store", func() {
		r, restored := newRouter(), newRouter()
		r.exitTargets(poisonous, 1, 2, 3)
		restored.Restore(restored.now, r.ListSuspects(r.now))
		Expect(restored.refused(poisonous)).To(BeTrue())
		Expect(poison.Checksum(restored.ListSuspects(restored.now))).To(Equal(poison.Checksum(r.ListSuspects(r.now))))
	})

	// A hostile caller can have targets exit under as many requests as the targets execute.
	It("is forgotten first if it has the fewest exits, so that memory is bounded", func() {
		r := newRouter()
		r.exitTargets(poisonous, 1, 2)
		for i := range 20_000 {
			r.RecordExit(r.now, 7, []poison.Contents{carrying(poison.Fingerprint(1000 + i))})
		}
		r.exitTargets(poisonous, 3)
		Expect(r.refused(poisonous)).To(BeTrue())
		exits := 0
		for range 200 {
			n := r.TakeReport(r.now)
			exits += len(n.Exits)
		}
		Expect(exits).To(BeNumerically("<=", 3*1024))
		for f := poison.Fingerprint(1); f < 600; f++ {
			r.RecordExit(r.now, uint64(100+3*f), []poison.Contents{carrying(50_000 + f)})
			r.RecordExit(r.now, uint64(101+3*f), []poison.Contents{carrying(50_000 + f)})
			r.RecordExit(r.now, uint64(102+3*f), []poison.Contents{carrying(50_000 + f)})
		}
		r.advance(time.Second)
		Expect(len(r.ListSuspects(r.now))).To(BeNumerically("<=", 256))
	})
})

// The request that is sent most often is open at every target. Targets exit for other reasons: one,
// a rack of them or all, many times over.
var _ = Describe("a harmless request that is sent often", func() {
	It("is never refused, whatever targets exit", func() {
		testkit.Check("300", func(t *rapid.T) {
			r := newRouter()
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
			targets := rapid.IntRange(3, 40).Draw(t, "targets")
			rack := rapid.IntRange(1, targets).Draw(t, "rack")
			every := rapid.IntRange(1, 50).Draw(t, "ticks between exits")
			lifetime := uint64(1)
			for i := range 400 {
				r.advance(tick)
				if random.IntN(4) > 0 { // one of four ticks is without an answer
					r.RecordAnswer(r.now, carrying(harmless))
				}
				if i%every == every-1 {
					for range rack {
						r.RecordExit(r.now, lifetime, []poison.Contents{carrying(harmless)})
						lifetime++
					}
				}
				if i > 20 && r.refused(harmless) {
					t.Fatalf("refused at %d, %s", i, fmt.Sprint(targets, rack, every))
				}
			}
		})
	})
})

// BenchmarkRecordAnswer measures the common case for a router: the request is answered, and there
// are no suspects.
func BenchmarkRecordAnswer(b *testing.B) {
	d := poison.NewDetector()
	now := time.Unix(1_000_000, 0)
	b.ReportAllocs()
	for i := range b.N {
		d.RecordAnswer(now.Add(time.Duration(i)*8*time.Millisecond), carrying(poison.Fingerprint(i)))
	}
}
