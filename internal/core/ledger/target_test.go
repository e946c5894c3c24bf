package ledger_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
)

var _ = Describe("targets", func() {
	// Guards against returning a repeatedly failing target to full use at once: with each return,
	// chats move to the target and lose their cache when it fails again.
	It("are suspended after consecutive failures, longer each time, and return with a warm-up", func() {
		b := newTestLedger(newTable(2, modelPool), 1, nil)
		b.addFollowers(1)
		failingTarget := uint64(100)
		failRequests := func() {
			for range 20 {
				id, g := b.requestTicket(1, &peerv1.Ask{Team: busyTeam, Priority: urgent})
				if g.GetTarget() == failingTarget {
					b.releaseTicket(id, peerv1.Outcome_OUTCOME_FAILED)
				} else {
					b.releaseTicket(id, peerv1.Outcome_OUTCOME_DONE)
				}
			}
		}
		isUsed := func() bool {
			for range 4 {
				id, g := b.requestTicket(1, &peerv1.Ask{Team: busyTeam, Priority: urgent})
				b.releaseTicket(id, peerv1.Outcome_OUTCOME_UNUSED)
				if g.GetTarget() == failingTarget {
					return true
				}
			}
			return false
		}
		failRequests()
		Expect(isUsed()).To(BeFalse())
		b.advance(1100 * time.Millisecond)
		Expect(isUsed()).To(BeTrue())
		failRequests()
		b.advance(1100 * time.Millisecond)
		Expect(isUsed()).To(BeFalse(), "the second suspension is longer")
		b.advance(1100 * time.Millisecond)
		Expect(isUsed()).To(BeTrue())
	})

	// Guards against new requests at a target that will be switched off.
	It("get no new requests while they are leaving", func() {
		b := newTestLedger(newTable(2, modelPool), 1, nil)
		b.addFollowers(1)
		table := newTable(2, modelPool, 0)
		pool, _ := table.Pool("p")
		b.SetPool(pool, table)
		for range 10 {
			_, g := b.requestTicket(1, &peerv1.Ask{Team: busyTeam, Priority: urgent})
			Expect(g.GetTarget()).To(Equal(uint64(101)))
		}
	})

	It("get only one request at first after they join the pool", func() {
		b := newTestLedger(newTable(1, modelPool), 1, nil)
		b.addFollowers(1)
		b.fillSlots(1, 10, busyTeam)
		table := newTable(2, modelPool)
		pool, _ := table.Pool("p")
		b.SetPool(pool, table)
		b.fillSlots(1, 1, busyTeam)
		Expect(b.TicketCount(101)).To(Equal(1))
		_, g := b.requestTicket(1, &peerv1.Ask{Team: busyTeam, Priority: urgent})
		Expect(g.GetTarget()).NotTo(Equal(uint64(101)))
	})

	It("are chosen among those that the request does not exclude", func() {
		b := newTestLedger(newTable(2, modelPool), 1, nil)
		b.addFollowers(1)
		_, g := b.requestTicket(1, &peerv1.Ask{Team: busyTeam, Priority: urgent, Excluded: []uint64{100}})
		Expect(g.GetTarget()).To(Equal(uint64(101)))
	})

	// Guards against sound targets that no router uses, since one router has lost its links to all of
	// them and reports them as failing.
	It("are not suspended by a router that fails at all of them", func() {
		b := newTestLedger(newTable(4, modelPool), 3, nil)
		b.addFollowers(1, 2, 3)
		fail := func(router uint32, times int) {
			for range times {
				id, g := b.requestTicket(router, &peerv1.Ask{Team: busyTeam, Priority: urgent})
				Expect(g.GetTarget()).NotTo(BeZero())
				b.releaseTicket(id, peerv1.Outcome_OUTCOME_FAILED)
			}
		}
		fail(1, 60)
		all := []uint64{100, 101, 102, 103}
		for i, uid := range all {
			_, g := b.requestTicket(2, &peerv1.Ask{Team: busyTeam, Priority: urgent, Excluded: slices.Delete(slices.Clone(all), i, i+1)})
			Expect(g.GetTarget()).To(Equal(uid))
		}
	})
})
