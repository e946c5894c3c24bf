package member_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/member"
)

var start = time.Unix(1000, 0)

const suspectTimeout = 5 * time.Second

func newView() *member.View {
	return member.New(start, 1, 1, []uint32{1, 2, 3}, suspectTimeout, rand.New(rand.NewPCG(1, 1)))
}

func newHeartbeats(router uint32, incarnation, counter uint64) []*peerv1.Heartbeat {
	return []*peerv1.Heartbeat{{Router: router, Incarnation: incarnation, Counter: counter, Revision: counter}}
}

var _ = Describe("a router's view of the fleet", func() {
	It("treats every router as alive at the start, and silent routers as dead later", func() {
		view := newView()
		Expect(view.LiveRouters(start)).To(Equal([]uint32{1, 2, 3}))
		later := start.Add(6 * time.Second)
		view.MergeHeartbeats(later, newHeartbeats(2, 1, 1))
		Expect(view.LiveRouters(later)).To(Equal([]uint32{1, 2}))
	})

	// Guards against a dead router that remains the owner of pools: other routers still pass its
	// last heartbeat on, which must not count as a sign of life.
	It("does not treat a dead router as alive after an old heartbeat", func() {
		view := newView()
		view.MergeHeartbeats(start, newHeartbeats(2, 1, 7))
		later := start.Add(6 * time.Second)
		view.MergeHeartbeats(later, newHeartbeats(2, 1, 7))
		Expect(view.IsAlive(later, 2)).To(BeFalse())
	})

	// Guards against confusing a restarted router with its old process: its heartbeat counter
	// starts at zero again and is lower.
	It("detects a restart by the incarnation", func() {
		view := newView()
		view.MergeHeartbeats(start, newHeartbeats(2, 1, 700))
		Expect(view.MergeHeartbeats(start, newHeartbeats(2, 2, 1))).To(Equal([]uint32{2}))
		Expect(view.Incarnation(2)).To(Equal(uint64(2)))
		Expect(view.MergeHeartbeats(start, newHeartbeats(2, 1, 701))).To(BeEmpty())
		Expect(view.Incarnation(2)).To(Equal(uint64(2)))
	})

	It("excludes routers that are shutting down", func() {
		view := newView()
		view.MergeHeartbeats(start, []*peerv1.Heartbeat{{Router: 2, Incarnation: 1, Counter: 1, Leaving: true}})
		Expect(view.LiveRouters(start)).To(Equal([]uint32{1, 3}))
	})

	It("counts only recently advanced heartbeats towards a majority", func() {
		view := newView()
		Expect(view.HasHeardMajority(start, time.Second)).To(BeFalse())
		view.MergeHeartbeats(start, newHeartbeats(2, 1, 1))
		Expect(view.HasHeardMajority(start, time.Second)).To(BeTrue())
		Expect(view.HasHeardMajority(start.Add(2*time.Second), time.Second)).To(BeFalse())
	})

	It("ignores routers that are not listed", func() {
		view := newView()
		view.MergeHeartbeats(start, newHeartbeats(9, 1, 1))
		Expect(view.LiveRouters(start)).NotTo(ContainElement(uint32(9)))
		Expect(view.IsListed(9)).To(BeFalse())
	})
})
