package fleet_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
)

var _ = Describe("a change just after all store readers were killed", func() {
	// Guards against routers that learn of a removed target later than the sum counts with which its use is bounded.
	for _, routers := range []int{4, 6, 9, 24} {
		It(fmt.Sprintf("is known to the others within MaxNoticeDelay, %d routers", routers), func() {
			for phase := time.Duration(0); phase < 4*fleet.TickInterval; phase += fleet.TickInterval / 20 {
				n := newNet(routers)
				for _, x := range n.nodes {
					x.streamsPerTick = 1 // digests at each tick, so that the last one was sent just before the kill
				}
				n.run(5*time.Second + phase)
				for _, a := range n.readers() {
					n.kill(a)
				}
				n.run(time.Millisecond)
				v := n.write(fleet.TargetsTable, "t1", "removed")
				n.run(fleet.MaxNoticeDelay)
				Expect(n.behind(fleet.TargetsTable, v)).To(BeEmpty(), "killed at phase %v", phase)
			}
		})
	}
})
