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

const suspectAfter = 5 * time.Second

func view() *member.View {
	return member.New(start, 1, 1, []uint32{1, 2, 3}, suspectAfter, rand.New(rand.NewPCG(1, 1)))
}

func beat(router uint32, incarnation, counter uint64) []*peerv1.Heartbeat {
	return []*peerv1.Heartbeat{{Router: router, Incarnation: incarnation, Counter: counter, Revision: counter}}
}

var _ = Describe("a router's view of the fleet", func() {
	It("takes everyone for alive at a start, and the silent for dead later", func() {
		s := view()
		Expect(s.LiveRouters(start)).To(Equal([]uint32{1, 2, 3}))
		later := start.Add(6 * time.Second)
		s.MergeHeartbeats(later, beat(2, 1, 1))
		Expect(s.LiveRouters(later)).To(Equal([]uint32{1, 2}))
	})

	// Symptom: a dead router stays the owner of pools. Sequence: its last heartbeat
	// goes round by way of others for long. Cause: an old one counts as a sign of life.
	It("is not revived by an old heartbeat", func() {
		s := view()
		s.MergeHeartbeats(start, beat(2, 1, 7))
		later := start.Add(6 * time.Second)
		s.MergeHeartbeats(later, beat(2, 1, 7))
		Expect(s.IsAlive(later, 2)).To(BeFalse())
	})

	// Symptom: a restarted router is taken for its old process. Sequence: it starts
	// counting anew, so its counter is lower.
	It("tells a restart by the incarnation", func() {
		s := view()
		s.MergeHeartbeats(start, beat(2, 1, 700))
		Expect(s.MergeHeartbeats(start, beat(2, 2, 1))).To(Equal([]uint32{2}))
		Expect(s.Incarnation(2)).To(Equal(uint64(2)))
		Expect(s.MergeHeartbeats(start, beat(2, 1, 701))).To(BeEmpty())
		Expect(s.Incarnation(2)).To(Equal(uint64(2)))
	})

	It("leaves out routers that are leaving", func() {
		s := view()
		s.MergeHeartbeats(start, []*peerv1.Heartbeat{{Router: 2, Incarnation: 1, Counter: 1, Leaving: true}})
		Expect(s.LiveRouters(start)).To(Equal([]uint32{1, 3}))
	})

	It("knows a majority only from heartbeats that advanced", func() {
		s := view()
		Expect(s.HasHeardMajority(start, time.Second)).To(BeFalse())
		s.MergeHeartbeats(start, beat(2, 1, 1))
		Expect(s.HasHeardMajority(start, time.Second)).To(BeTrue())
		Expect(s.HasHeardMajority(start.Add(2*time.Second), time.Second)).To(BeFalse())
	})

	It("ignores routers that are not listed", func() {
		s := view()
		s.MergeHeartbeats(start, beat(9, 1, 1))
		Expect(s.LiveRouters(start)).NotTo(ContainElement(uint32(9)))
		Expect(s.IsListed(9)).To(BeFalse())
	})
})
