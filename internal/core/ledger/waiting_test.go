package ledger_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
)

var _ = Describe("waiting requests", func() {
	newCappedLedger := func(fleet int) *testLedger {
		b := newTestLedger(newTable(1, `{"protocol":"model","boundMultiple":10,"maxPerTarget":8}`), fleet, nil)
		b.addFollowers(1)
		return b
	}

	// Guards against requests of a quiet team waiting behind the backlog of a busy team. The
	// busy team queues 50 requests before the quiet team's first; first-come-first-served order
	// would let the quiet team wait for all of them.
	It("share slots fairly between teams, with a reserve for urgent requests", func() {
		b := newCappedLedger(1)
		ids := b.fillSlots(1, 7, busyTeam)
		for range 50 {
			_, g := b.requestTicket(1, &peerv1.Ask{Team: busyTeam, Priority: normal})
			Expect(g).To(BeNil())
		}
		quietID, g := b.requestTicket(1, &peerv1.Ask{Team: quietTeam, Priority: normal})
		Expect(g).To(BeNil())
		_, g = b.requestTicket(1, &peerv1.Ask{Team: quietTeam, Priority: urgent})
		Expect(g.GetTarget()).NotTo(BeZero(), "a slot is reserved for urgent requests")
		b.releaseTicket(ids[0], peerv1.Outcome_OUTCOME_DONE)
		granted := b.releaseTicket(ids[1], peerv1.Outcome_OUTCOME_DONE)
		granted = append(granted, b.releaseTicket(ids[2], peerv1.Outcome_OUTCOME_DONE)...)
		var grantedIDs []uint64
		for _, d := range granted {
			grantedIDs = append(grantedIDs, d.Grant.GetId())
		}
		Expect(grantedIDs).To(ContainElement(quietID))
	})

	// Guards against urgent requests waiting behind bulk requests that were queued first.
	It("are granted in the order of their priority class", func() {
		b := newTestLedger(newTable(2, modelPool), 1, nil)
		b.addFollowers(1)
		ids := b.fillSlots(1, 2, limitedTeam)
		_, g := b.requestTicket(1, &peerv1.Ask{Team: limitedTeam, Priority: bulk})
		Expect(g).To(BeNil())
		urgentID, g := b.requestTicket(1, &peerv1.Ask{Team: limitedTeam, Priority: urgent})
		Expect(g).To(BeNil())
		granted := b.releaseTicket(ids[0], peerv1.Outcome_OUTCOME_DONE)
		Expect(granted).To(HaveLen(1))
		Expect(granted[0].Grant.GetId()).To(Equal(urgentID))
	})

	// Guards against holding back a refusal that is certain: the queue is longer than the
	// deadline allows, so the caller must not wait for the deadline.
	It("are refused at once with a retry time if they can't be served before their deadline", func() {
		b := newCappedLedger(1)
		ids := b.fillSlots(1, 7, busyTeam)
		for range 10 {
			b.requestTicket(1, &peerv1.Ask{Team: busyTeam, Priority: normal})
		}
		b.now = b.now.Add(2 * time.Second)
		b.releaseTicket(ids[0], peerv1.Outcome_OUTCOME_DONE)
		_, g := b.requestTicket(1, &peerv1.Ask{Team: busyTeam, Priority: normal, DeadlineMillis: 1000})
		Expect(code.Code(g.GetCode())).To(Equal(code.DeadlineTooShort))
		Expect(g.GetRetryAfterMillis()).To(BeNumerically(">", 1000))
	})

	It("are refused at their deadline", func() {
		b := newCappedLedger(1)
		b.fillSlots(1, 7, busyTeam)
		_, g := b.requestTicket(1, &peerv1.Ask{Team: busyTeam, Priority: normal, DeadlineMillis: 500})
		Expect(g).To(BeNil())
		deferred := b.advance(time.Second)
		Expect(deferred).To(HaveLen(1))
		Expect(code.Code(deferred[0].Grant.GetCode())).To(Equal(code.DeadlineTooShort))
	})

	// Guards against a team that exceeds its limit by sending through several routers, each of
	// which knows only its own share of the requests.
	It("keep the limit of a team over the whole fleet", func() {
		b := newTestLedger(newTable(2, modelPool), 2, nil)
		b.addFollowers(1, 2)
		b.fillSlots(1, 1, limitedTeam)
		ids := b.fillSlots(2, 1, limitedTeam)
		_, g := b.requestTicket(1, &peerv1.Ask{Team: limitedTeam, Priority: urgent})
		Expect(g).To(BeNil())
		Expect(b.fillSlots(1, 1, quietTeam)).To(HaveLen(1), "other teams are still granted tickets")
		Expect(b.releaseTicket(ids[0], peerv1.Outcome_OUTCOME_DONE)).To(HaveLen(1))
	})

	// Guards against computing a long prefix again although the target with the cached prefix frees
	// a slot at once.
	It("wait for a short time for the target that holds their chat's cache", func() {
		b := newTestLedger(newTable(2, `{"protocol":"model","boundMultiple":1.25,"maxPerTarget":2}`), 1, nil)
		b.addFollowers(1)
		id, first := b.requestTicket(1, &peerv1.Ask{Team: busyTeam, Chat: 42, Priority: normal})
		for b.TicketCount(first.GetTarget()) < 1 {
			b.fillSlots(1, 1, busyTeam)
		}
		_, g := b.requestTicket(1, &peerv1.Ask{Team: busyTeam, Chat: 42, Priority: normal})
		Expect(g).To(BeNil())
		granted := b.releaseTicket(id, peerv1.Outcome_OUTCOME_DONE)
		Expect(granted).To(HaveLen(1))
		Expect(granted[0].Grant.GetTarget()).To(Equal(first.GetTarget()))
	})

	It("are placed on another target when the wait for the cache is over", func() {
		b := newTestLedger(newTable(2, `{"protocol":"model","boundMultiple":1.25,"maxPerTarget":2}`), 1, nil)
		b.addFollowers(1)
		_, first := b.requestTicket(1, &peerv1.Ask{Team: busyTeam, Chat: 42, Priority: normal})
		_, g := b.requestTicket(1, &peerv1.Ask{Team: busyTeam, Chat: 42, Priority: normal})
		Expect(g).To(BeNil())
		granted := b.advance(400 * time.Millisecond)
		Expect(granted).To(HaveLen(1))
		Expect(granted[0].Grant.GetTarget()).NotTo(Equal(first.GetTarget()))
	})
})
