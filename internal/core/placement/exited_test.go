package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
)

var _ = Describe("a target that is marked as exited", func() {
	const probeInterval = 5 * time.Second
	// countProbes simulates a period in which every probe of the port has the same result. It
	// returns the number of probes.
	countProbes := func(b *placement.Balancer, from time.Time, span time.Duration, accepts bool) (n int) {
		for now := from; now.Sub(from) < span; now = now.Add(100 * time.Millisecond) {
			for _, t := range b.TakeExitedTargetsToProbe(now) {
				b.RecordProbe(now, t.UID, accepts)
				n++
			}
		}
		return n
	}

	// Guards against requests to a port that refuses connections, each time the suspension would
	// end.
	It("stays suspended while its port refuses connections", func() {
		b := newBalancer(targets(2)...)
		exited := targets(2)[0]
		b.MarkExited(start, exited.UID)
		Expect(countProbes(b, start, 30*time.Second, false)).To(BeNumerically("~", 30*time.Second/probeInterval, 1))
		for range 50 {
			Expect(place(b, start.Add(30*time.Second), 0).Target.UID).NotTo(Equal(exited.UID))
		}
	})

	// Guards against endless probes of a target that runs.
	It("is probed once if its port accepts connections, and gets requests again after the suspension", func() {
		b := newBalancer(targets(1)...)
		one := targets(1)[0]
		b.MarkExited(start, one.UID)
		Expect(countProbes(b, start, time.Minute, true)).To(Equal(1))
		Expect(place(b, start.Add(7*time.Second), 0).Target.UID).To(Equal(one.UID))
	})
})
