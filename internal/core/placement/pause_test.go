package placement_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

var _ = Describe("a paused target", func() {
	var (
		b   *placement.Balancer
		now time.Time
	)
	place := func() (placement.Choice, bool) { return b.Place(now, placement.Request{Pool: "p", ChatHash: 7}) }
	end := func(c placement.Choice, answered bool) {
		b.RecordFirstEvent(now, c, answered)
		o := placement.Answered
		if !answered {
			o = placement.Neutral
		}
		b.FinishRequest(now, c.Target.UID, o)
	}

	BeforeEach(func() {
		now = time.Unix(1_000_000, 0)
		b = placement.New(placement.DefaultSettings("a"), rand.New(rand.NewPCG(1, 1)))
		b.SetTargets(now, map[string][]placement.Target{"p": {{UID: 1, ID: "i-1", Slots: 8}, {UID: 2, ID: "i-2", Slots: 8}}})
	})

	It("gets no requests until the pause ends, even from its own chats", func() {
		home, _ := place()
		end(home, true)
		b.MarkPaused(now, home.Target.UID, 3*time.Second)
		for range 50 {
			c, ok := place()
			Expect(ok).To(BeTrue())
			Expect(c.Target.UID).NotTo(Equal(home.Target.UID))
			end(c, true)
			now = now.Add(50 * time.Millisecond)
		}
		now = now.Add(2 * time.Second)
		c, _ := place()
		Expect(c.Target.UID).To(Equal(home.Target.UID), "the chat returns to its home")
	})

	It("gets one trial request after the pause, and others after its first event", func() {
		home, _ := place()
		end(home, true)
		b.MarkPaused(now, home.Target.UID, time.Second)
		now = now.Add(2 * time.Second)
		first, _ := place()
		Expect(first.Target.UID).To(Equal(home.Target.UID))
		second, _ := place()
		Expect(second.Target.UID).NotTo(Equal(home.Target.UID))
		b.RecordFirstEvent(now, first, true)
		third, _ := place()
		Expect(third.Target.UID).To(Equal(home.Target.UID))
	})

	It("stays paused if it answers the trial request with another pause", func() {
		home, _ := place()
		end(home, true)
		b.MarkPaused(now, home.Target.UID, time.Second)
		now = now.Add(2 * time.Second)
		first, _ := place()
		b.MarkPaused(now, first.Target.UID, time.Second)
		end(first, false)
		c, _ := place()
		Expect(c.Target.UID).NotTo(Equal(home.Target.UID))
	})

	It("pauses for the longer of two times", func() {
		b.MarkPaused(now, 1, 10*time.Second)
		b.MarkPaused(now, 1, time.Second)
		now = now.Add(5 * time.Second)
		Expect(b.ConfirmPlacement(now, placement.Choice{Target: placement.Target{UID: 1}})).To(BeFalse())
	})

	It("is not paused in its next lifetime", func() {
		b.MarkPaused(now, 1, time.Minute)
		b.SetTargets(now, map[string][]placement.Target{"p": {{UID: 3, ID: "i-1", Slots: 8}}})
		_, ok := place()
		Expect(ok).To(BeTrue())
	})

	It("leaves no target if all are paused, and reports when the first pause ends", func() {
		b.MarkPaused(now, 1, 4*time.Second)
		Expect(b.PausedRetryAfter(now, "p", 0)).To(BeZero())
		b.MarkPaused(now, 2, 2*time.Second)
		_, ok := place()
		Expect(ok).To(BeFalse())
		Expect(b.PausedRetryAfter(now, "p", 0)).To(BeNumerically("~", 2250*time.Millisecond, 250*time.Millisecond))
	})

	It("gets no new placements, in any order of pauses, ends and placements", func() {
		testkit.Check("300", func(t *rapid.T) {
			now := time.Unix(1_000_000, 0)
			b := placement.New(placement.DefaultSettings("a"), rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
			b.SetTargets(now, map[string][]placement.Target{"p": {{UID: 1, ID: "i-1", Slots: 8}, {UID: 2, ID: "i-2", Slots: 8}, {UID: 3, ID: "i-3", Slots: 8}}})
			paused := make(map[uint64]time.Time)
			var open []placement.Choice
			for range rapid.IntRange(5, 80).Draw(t, "steps") {
				switch rapid.IntRange(0, 3).Draw(t, "action") {
				case 0:
					if c, ok := b.Place(now, placement.Request{Pool: "p", ChatHash: uint64(rapid.IntRange(0, 3).Draw(t, "chat"))}); ok {
						if now.Before(paused[c.Target.UID]) {
							t.Fatalf("a request was placed at a target that is paused for another %s", paused[c.Target.UID].Sub(now))
						}
						open = append(open, c)
					}
				case 1:
					if len(open) > 0 {
						c := open[0]
						open = open[1:]
						b.RecordFirstEvent(now, c, true)
						b.FinishRequest(now, c.Target.UID, placement.Answered)
					}
				case 2:
					if len(open) > 0 {
						c := open[len(open)-1]
						open = open[:len(open)-1]
						d := time.Duration(rapid.IntRange(1, 5000).Draw(t, "pause")) * time.Millisecond
						b.MarkPaused(now, c.Target.UID, d)
						if until := now.Add(d); until.After(paused[c.Target.UID]) {
							paused[c.Target.UID] = until
						}
						b.RecordFirstEvent(now, c, false)
						b.FinishRequest(now, c.Target.UID, placement.Neutral)
					}
				case 3:
					now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				}
			}
		})
	})
})
