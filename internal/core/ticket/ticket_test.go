package ticket_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/ticket"
)

var now = time.Unix(1000, 0)

// following returns a client that an owner knows.
func following(owner uint32) *ticket.Client {
	c := ticket.New("p", 9, 1, 0)
	c.SetOwner(owner)
	req := c.NextExchange(now)
	c.HandleReply(now, owner, &peerv1.ExchangeResponse{Sequence: req.GetSequence()})
	return c
}

func ask(c *ticket.Client, id uint64) {
	c.RequestTicket(&peerv1.Ask{Id: id, Team: 5}, now.Add(time.Minute))
}

func grant(id, target uint64) []*peerv1.Grant { return []*peerv1.Grant{{Id: id, Target: target}} }

var _ = Describe("a client", func() {
	// Symptom: a place at a target is lost for good. Sequence: the caller gives up
	// while its grant is on its way. Cause: nobody holds the ticket that arrives.
	It("gives a ticket back whose ask was withdrawn", func() {
		c := following(1)
		ask(c, 1)
		req := c.NextExchange(now)
		c.ReleaseTicket(1, peerv1.Outcome_OUTCOME_UNUSED)
		got := c.HandleReply(now, 1, &peerv1.ExchangeResponse{Sequence: req.GetSequence(), Grants: grant(1, 100)})
		Expect(got).To(BeEmpty())
		ids := []uint64{}
		for _, r := range c.NextExchange(now).GetReleases() {
			ids = append(ids, r.GetId())
		}
		Expect(ids).To(ContainElement(uint64(1)))
		Expect(c.HeldTickets()).To(BeZero())
	})

	// Symptom: two owners count one request. Sequence: the router moves to another
	// owner, then the old one's reply arrives. Cause: its grant is taken as well.
	It("takes no reply of an owner that it has left", func() {
		c := following(1)
		ask(c, 1)
		req := c.NextExchange(now)
		c.SetOwner(2)
		Expect(c.HandleReply(now, 1, &peerv1.ExchangeResponse{Sequence: req.GetSequence(), Grants: grant(1, 100)})).To(BeEmpty())
		Expect(c.HandleDelivery(now, 1, grant(1, 100))).To(BeEmpty())
		Expect(c.PendingRequests()).To(Equal(1))
	})

	// Symptom: a new owner overruns targets. Sequence: the old owner dies. Cause:
	// the new one does not know what is open.
	It("tells a new owner everything that is open or asked for", func() {
		c := following(1)
		ask(c, 1)
		req := c.NextExchange(now)
		c.HandleReply(now, 1, &peerv1.ExchangeResponse{Sequence: req.GetSequence(), Grants: grant(1, 100)})
		ask(c, 2)
		c.NextExchange(now)
		c.SetOwner(2)
		req = c.NextExchange(now)
		Expect(req.GetHasInventory()).To(BeTrue())
		Expect(req.GetInventory()).To(HaveLen(1))
		Expect(req.GetInventory()[0].GetTarget()).To(Equal(uint64(100)))
		Expect(req.GetAsks()).To(HaveLen(1))
		Expect(req.GetAsks()[0].GetId()).To(Equal(uint64(2)))
	})

	It("repeats an unanswered exchange unchanged and then reports the owner as failed", func() {
		c := following(1)
		ask(c, 1)
		first := c.NextExchange(now)
		Expect(c.NextExchange(now.Add(100 * time.Millisecond))).To(BeNil())
		again := c.NextExchange(now.Add(300 * time.Millisecond))
		Expect(again).To(BeIdenticalTo(first))
		Expect(c.HasOwnerFailed()).To(BeFalse())
		c.NextExchange(now.Add(600 * time.Millisecond))
		Expect(c.HasOwnerFailed()).To(BeTrue())
	})

	It("sends nothing for an ask that is withdrawn before it was sent", func() {
		c := following(1)
		ask(c, 1)
		c.ReleaseTicket(1, peerv1.Outcome_OUTCOME_UNUSED)
		Expect(c.NextExchange(now)).To(BeNil())
	})

	It("lets releases wait for an ask to travel with, but not for long", func() {
		c := ticket.New("p", 9, 1, 250*time.Millisecond)
		c.SetOwner(1)
		c.HandleReply(now, 1, &peerv1.ExchangeResponse{Sequence: c.NextExchange(now).GetSequence()})
		ask(c, 1)
		c.HandleReply(now, 1, &peerv1.ExchangeResponse{Sequence: c.NextExchange(now).GetSequence(), Grants: grant(1, 100)})
		c.ReleaseTicket(1, peerv1.Outcome_OUTCOME_DONE)
		Expect(c.NextExchange(now)).To(BeNil())
		Expect(c.NextExchange(now.Add(250 * time.Millisecond)).GetReleases()).To(HaveLen(1))
	})

	It("joins what comes up while an exchange is under way", func() {
		c := following(1)
		ask(c, 1)
		req := c.NextExchange(now)
		ask(c, 2)
		ask(c, 3)
		Expect(c.NextExchange(now)).To(BeNil())
		c.HandleReply(now, 1, &peerv1.ExchangeResponse{Sequence: req.GetSequence(), Grants: grant(1, 100)})
		Expect(c.NextExchange(now).GetAsks()).To(HaveLen(2))
	})
})
