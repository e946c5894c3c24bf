package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
)

var _ = Describe("a target whose process was told to have ended", func() {
	const asks = 5 * time.Second
	// asked counts how often its port is asked in a span, and answers.
	asked := func(b *placement.Balancer, from time.Time, span time.Duration, accepts bool) (n int) {
		for now := from; now.Sub(from) < span; now = now.Add(100 * time.Millisecond) {
			for _, t := range b.ExitedTargetsToProbe(now) {
				b.RecordProbe(now, t.UID, accepts)
				n++
			}
		}
		return n
	}

	// Guards against requests at a port that refuses, each time a rest ends.
	It("rests for as long as its port refuses", func() {
		b := board(targets(2)...)
		gone := targets(2)[0]
		b.MarkExited(start, gone.UID)
		Expect(asked(b, start, 30*time.Second, false)).To(BeNumerically("~", 30*time.Second/asks, 1))
		for range 50 {
			Expect(place(b, start.Add(30*time.Second), 0).Target.UID).NotTo(Equal(gone.UID))
		}
	})

	// Guards against connections to a target that runs, opened for ever to ask whether it does.
	It("is asked once if its port accepts, and gets work again after the rest", func() {
		b := board(targets(1)...)
		one := targets(1)[0]
		b.MarkExited(start, one.UID)
		Expect(asked(b, start, time.Minute, true)).To(Equal(1))
		Expect(place(b, start.Add(7*time.Second), 0).Target.UID).To(Equal(one.UID))
	})
})
