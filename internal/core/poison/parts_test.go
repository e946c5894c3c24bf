package poison_test

import (
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
	crashing = poison.Fingerprint(11) // the part that makes targets exit
	common   = poison.Fingerprint(12) // a part that comes with it
	other    = poison.Fingerprint(13)
)

var nextContent = poison.Fingerprint(1 << 32)

// withParts returns the contents of a request that is like no other and has the given parts.
func withParts(parts ...poison.Fingerprint) poison.Contents {
	nextContent++
	return append(poison.Contents{nextContent}, parts...)
}

// exitUnder makes targets exit under requests with the given parts, a second apart.
func (r *router) exitUnder(targets []uint64, parts ...poison.Fingerprint) {
	for _, t := range targets {
		r.RecordExit(r.now, t, []poison.Contents{withParts(parts...)})
		r.advance(time.Second)
	}
}

// ofRank returns the rank function of a router that has the same rank for all.
func ofRank(n int) func(poison.Fingerprint) int { return func(poison.Fingerprint) int { return n } }

// decide returns the decision of a router with a rank on a request with the given parts, whose trial ends at once
// without an outcome.
func (r *router) decide(rank int, parts ...poison.Fingerprint) poison.Decision {
	c := withParts(parts...)
	d := r.Admit(r.now, c, ofRank(rank))
	if d.Trial {
		r.EndTrial(r.now, c)
	}
	return d
}

var _ = Describe("a part of prompts under which targets exit", func() {
	It("is suspected although no two requests are alike, unlike a part that was answered without it", func() {
		r := newRouter()
		r.RecordAnswer(r.now, withParts(common, other))
		r.exitUnder([]uint64{1, 2, 3}, common, crashing)
		Expect(r.decide(0, common, crashing).Suspect).To(Equal(crashing))
		Expect(r.decide(0, crashing).Refused).To(BeTrue(), "whatever else the request holds")
		Expect(r.decide(0, common, other).Refused).To(BeFalse())
	})

	It("has a fingerprint for each pool, whoever sends it and whatever stands before it", func() {
		Expect(poison.FingerprintOfPart("pool", "bad")).To(Equal(poison.FingerprintOfPart("pool", "bad")))
		for _, f := range []poison.Fingerprint{
			poison.FingerprintOfPart("pool", "ba"), poison.FingerprintOfPart("poo", "lbad"), poison.FingerprintOfPart("loop", "bad"),
			poison.FingerprintOf("pool", "bad", "", "", nil),
		} {
			Expect(f).NotTo(Equal(poison.FingerprintOfPart("pool", "bad")))
		}
	})

	It("is told apart from another suspected together with it by a request that carries one of them alone", func() {
		r := newRouter()
		r.exitUnder([]uint64{1, 2, 3}, common, crashing)
		r.advance(time.Second)
		Expect(r.decide(0, common, crashing).Refused).To(BeTrue(), "tells nothing")
		c := withParts(common, other)
		Expect(r.Admit(r.now, c, here).Trial).To(BeTrue())
		Expect(r.decide(0, common).Refused).To(BeTrue(), "one trial at a time")
		r.RecordAnswer(r.now, c)
		r.EndTrial(r.now, c)
		Expect(r.decide(3, common, other).Refused).To(BeFalse())
		Expect(r.decide(0, common, crashing).Refused).To(BeTrue())
	})

	It("costs one target if it is the one that is tried alone, and the other is told apart all the same", func() {
		r := newRouter()
		r.exitUnder([]uint64{1, 2, 3}, common, crashing)
		r.advance(time.Second)
		c := withParts(crashing, other)
		Expect(r.Admit(r.now, c, here).Trial).To(BeTrue())
		r.EndTrial(r.now, c) // the probe tells of the exit only now
		r.RecordExit(r.now, 4, []poison.Contents{c})
		r.advance(time.Minute)
		Expect(r.decide(0, crashing).Refused).To(BeTrue())
		c = withParts(common)
		Expect(r.Admit(r.now, c, here).Trial).To(BeTrue())
		r.RecordAnswer(r.now, c)
		Expect(r.decide(0, common).Refused).To(BeFalse())
		Expect(r.decide(0, crashing).Refused).To(BeTrue())
	})

	It("is tried alone by one more router now and then, as its home router may not get such a request", func() {
		r := newRouter()
		r.exitUnder([]uint64{1, 2, 3}, common, crashing)
		r.advance(time.Second)
		Expect(r.decide(2, common).Refused).To(BeTrue())
		r.advance(4 * time.Second)
		Expect(r.decide(2, common).Trial).To(BeTrue())
		Expect(r.decide(3, common).Refused).To(BeTrue())
	})

	It("is tried with the others suspected together with it by one router, once they are all due", func() {
		r := newRouter()
		r.exitUnder([]uint64{1, 2, 3}, common, crashing)
		r.advance(10 * time.Second)
		Expect(r.decide(1, common, crashing).Refused).To(BeTrue())
		c := withParts(common, crashing)
		Expect(r.Admit(r.now, c, here).Trial).To(BeTrue())
		r.RecordExit(r.now, 4, []poison.Contents{c})
		r.EndTrial(r.now, c)
		r.advance(4 * time.Minute)
		Expect(r.decide(0, common, crashing).Refused).To(BeTrue())
		Expect(r.decide(0, common).Trial).To(BeTrue(), "it may be harmless still")
	})

	// Guards against trials that go on all day: three requests may reach targets in all.
	It("is tried three times a day", func() {
		r := newRouter()
		r.RecordAnswer(r.now, withParts(common))
		r.exitUnder([]uint64{1, 2, 3}, common, crashing)
		target, trials := uint64(4), 0
		for end := r.now.Add(24 * time.Hour); r.now.Before(end); r.now = r.now.Add(time.Second) {
			r.Tick(r.now)
			c := withParts(common, crashing)
			if d := r.Admit(r.now, c, here); d.Trial {
				trials, target = trials+1, target+1
				r.RecordExit(r.now, target, []poison.Contents{c})
				r.EndTrial(r.now, c)
			} else if !d.Refused {
				Fail("sent without suspicion")
			}
			if r.now.Second()%20 == 0 {
				r.RecordAnswer(r.now, withParts(common))
			}
		}
		Expect(trials).To(BeNumerically("<=", 3))
	})

	It("is confined to one target from the second exit on, until it is answered", func() {
		r := newRouter()
		r.exitUnder([]uint64{1}, common, crashing)
		Expect(r.Confine(withParts(common, crashing))).To(BeZero(), "a harmless one pays for no other place")
		r.RecordAnswer(r.now, withParts(common))
		r.exitUnder([]uint64{2}, other, crashing)
		Expect(r.Confine(withParts(other, crashing))).To(Equal(crashing))
		Expect(r.Confine(withParts(other))).To(BeZero())
		r.RecordAnswer(r.now, withParts(crashing))
		Expect(r.Confine(withParts(other, crashing))).To(BeZero())
	})

	It("does not burden what was under way at the targets that it made exit", func() {
		r := newRouter()
		rare := poison.Fingerprint(77)
		r.RecordAnswer(r.now, withParts(common))
		for t := uint64(1); t <= 6; t++ {
			r.RecordExit(r.now, t, []poison.Contents{withParts(common, rare), withParts(common, crashing)})
			r.advance(300 * time.Millisecond)
			r.RecordExit(r.now, t+100, []poison.Contents{withParts(common, crashing)})
			r.advance(300 * time.Millisecond)
		}
		r.advance(time.Second)
		Expect(r.decide(0, common, crashing).Refused).To(BeTrue())
		Expect(r.decide(0, common, rare).Refused).To(BeFalse())
	})

	It("is suspected, and so is a second one that makes other targets exit in turn", func() {
		r := newRouter()
		r.RecordAnswer(r.now, withParts(common))
		for t := uint64(1); t <= 3; t++ {
			r.exitUnder([]uint64{t}, common, crashing)
			r.exitUnder([]uint64{t + 10}, common, other)
		}
		Expect(r.decide(0, common, crashing).Refused).To(BeTrue())
		Expect(r.decide(0, common, other).Refused).To(BeTrue())
		Expect(r.decide(0, common).Refused).To(BeFalse())
	})
})

// Sessions come and go, each with a part of its own behind one that all share. Targets exit by themselves: one, a rack of
// them or all, many times over.
var _ = Describe("parts of prompts under way while targets exit by themselves", func() {
	It("are refused in no request, whatever targets exit", func() {
		testkit.Check("60", func(t *rapid.T) {
			r := newRouter()
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
			targets := rapid.IntRange(3, 40).Draw(t, "targets")
			rack := rapid.IntRange(1, targets).Draw(t, "rack")
			every := rapid.IntRange(1, 50).Draw(t, "ticks between exits")
			sessions := rapid.IntRange(1, 30).Draw(t, "sessions")
			lifetime := uint64(1)
			session := func() poison.Fingerprint { return poison.Fingerprint(1000 + random.IntN(sessions)) }
			for f := range sessions { // each has been answered once
				r.RecordAnswer(r.now, withParts(common, poison.Fingerprint(1000+f)))
			}
			for i := range 400 {
				r.advance(tick)
				for range 1 + sessions/4 {
					r.RecordAnswer(r.now, withParts(common, session()))
				}
				if i%every == every-1 {
					for range rack {
						r.RecordExit(r.now, lifetime, []poison.Contents{withParts(common, session()), withParts(common, session())})
						lifetime++
					}
				}
				if s := session(); r.decide(0, common, s).Refused {
					t.Fatalf("session %d refused at %d", s, i)
				}
			}
		})
	})
})

// BenchmarkAdmit measures a request with four parts while another part is suspected.
func BenchmarkAdmit(b *testing.B) {
	d := poison.NewDetector()
	now := time.Unix(1_000_000, 0)
	for t := uint64(1); t <= 3; t++ {
		d.RecordExit(now, t, []poison.Contents{withParts(crashing)})
	}
	d.Tick(now.Add(time.Second))
	c := withParts(101, 102, 103, 104)
	b.ReportAllocs()
	for range b.N {
		d.Admit(now, c, here)
		d.Confine(c)
	}
}

// BenchmarkFingerprintOfPart hashes the ID of a part.
func BenchmarkFingerprintOfPart(b *testing.B) {
	b.ReportAllocs()
	for range b.N {
		poison.FingerprintOfPart("assistant", "5c1e07a2")
	}
}

// BenchmarkRecordExit measures the exit of a target with 64 requests, each with three parts that were never answered, while
// there is as much evidence as is kept.
func BenchmarkRecordExit(b *testing.B) {
	d := poison.NewDetector()
	now := time.Unix(1_000_000, 0)
	f := poison.Fingerprint(1 << 40)
	b.ReportAllocs()
	for i := range b.N {
		requests := make([]poison.Contents, 64)
		for k := range requests {
			requests[k] = poison.Contents{f, f + 1, f + 2, f + 3}
			f += 4
		}
		d.RecordExit(now.Add(time.Duration(i)*time.Millisecond), uint64(i), requests)
	}
}
