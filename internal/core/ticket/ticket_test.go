package ticket_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/ticket"
)

var now = time.Unix(1000, 0)

// newFollower returns a client whose owner has received its inventory.
func newFollower(owner uint32) *ticket.Client {
	c := ticket.New("p", 9, 1, 0)
	c.SetOwner(owner)
	req := c.NextExchange(now)
	c.HandleReply(now, owner, &peerv1.ExchangeResponse{Sequence: req.GetSequence()})
	return c
}

func ask(c *ticket.Client, id uint64) { c.Ask(&peerv1.Ask{Id: id, Team: 5}, now.Add(time.Minute)) }

func newGrants(id, target uint64) []*peerv1.Grant { return []*peerv1.Grant{{Id: id, Target: target}} }

var _ = Describe("a ticket client", func() {
	// Guards against losing a slot of a target for good: the caller gives up while the grant is
	// on its way, and nobody holds the ticket that arrives.
	It("releases the ticket of a request that was withdrawn", func() {
		c := newFollower(1)
		ask(c, 1)
		req := c.NextExchange(now)
		c.ReleaseTicket(1, peerv1.Outcome_OUTCOME_UNUSED)
		granted := c.HandleReply(now, 1, &peerv1.ExchangeResponse{Sequence: req.GetSequence(), Grants: newGrants(1, 100)})
		Expect(granted).To(BeEmpty())
		releasedIDs := []uint64{}
		for _, r := range c.NextExchange(now).GetReleases() {
			releasedIDs = append(releasedIDs, r.GetId())
		}
		Expect(releasedIDs).To(ContainElement(uint64(1)))
		Expect(c.HeldTickets()).To(BeZero())
	})

	// Guards against two owners that count one request: the router moves to another owner, then
	// a grant of the old owner arrives.
	It("ignores replies and grants of a former owner", func() {
		c := newFollower(1)
		ask(c, 1)
		req := c.NextExchange(now)
		c.SetOwner(2)
		Expect(c.HandleReply(now, 1, &peerv1.ExchangeResponse{Sequence: req.GetSequence(), Grants: newGrants(1, 100)})).To(BeEmpty())
		Expect(c.HandleDelivery(now, 1, newGrants(1, 100))).To(BeEmpty())
		Expect(c.PendingRequests()).To(Equal(1))
	})

	// Guards against a new owner that overloads targets because it does not know the open
	// requests after the old owner died.
	It("sends a new owner all held tickets and pending requests", func() {
		c := newFollower(1)
		ask(c, 1)
		req := c.NextExchange(now)
		c.HandleReply(now, 1, &peerv1.ExchangeResponse{Sequence: req.GetSequence(), Grants: newGrants(1, 100)})
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

	It("resends an unanswered exchange unchanged and then reports the owner as failed", func() {
		c := newFollower(1)
		ask(c, 1)
		first := c.NextExchange(now)
		Expect(c.NextExchange(now.Add(100 * time.Millisecond))).To(BeNil())
		again := c.NextExchange(now.Add(300 * time.Millisecond))
		Expect(again).To(BeIdenticalTo(first))
		Expect(c.HasOwnerFailed()).To(BeFalse())
		c.NextExchange(now.Add(600 * time.Millisecond))
		Expect(c.HasOwnerFailed()).To(BeTrue())
	})

	It("sends nothing for a request that is withdrawn before it was sent", func() {
		c := newFollower(1)
		ask(c, 1)
		c.ReleaseTicket(1, peerv1.Outcome_OUTCOME_UNUSED)
		Expect(c.NextExchange(now)).To(BeNil())
	})

	It("delays releases to batch them with requests, but only up to the release delay", func() {
		c := ticket.New("p", 9, 1, 250*time.Millisecond)
		c.SetOwner(1)
		c.HandleReply(now, 1, &peerv1.ExchangeResponse{Sequence: c.NextExchange(now).GetSequence()})
		ask(c, 1)
		c.HandleReply(now, 1, &peerv1.ExchangeResponse{Sequence: c.NextExchange(now).GetSequence(), Grants: newGrants(1, 100)})
		c.ReleaseTicket(1, peerv1.Outcome_OUTCOME_DONE)
		Expect(c.NextExchange(now)).To(BeNil())
		Expect(c.NextExchange(now.Add(250 * time.Millisecond)).GetReleases()).To(HaveLen(1))
	})

	It("batches the requests that arrive while an exchange is in flight", func() {
		c := newFollower(1)
		ask(c, 1)
		req := c.NextExchange(now)
		ask(c, 2)
		ask(c, 3)
		Expect(c.NextExchange(now)).To(BeNil())
		c.HandleReply(now, 1, &peerv1.ExchangeResponse{Sequence: req.GetSequence(), Grants: newGrants(1, 100)})
		Expect(c.NextExchange(now).GetAsks()).To(HaveLen(2))
	})
})
