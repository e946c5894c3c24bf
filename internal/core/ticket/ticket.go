// Package ticket is a router's side of load bounding. For one pool it requests tickets from the
// pool's owner, releases them, and moves to another owner without losing a ticket. The messages
// to the owner are called exchanges. An exchange carries new requests and releases, its reply
// carries grants and refusals.
package ticket

import (
	"sort"
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
)

// ProtocolVersion is the version of the peer protocol. A peer of another version is refused,
// since the same fields may have another meaning in it.
const ProtocolVersion = 1

// retransmitTimeout is how long an exchange may remain without a reply before it is sent again. The
// owner counts as failed once maxUnansweredSends sends of an exchange got no reply.
const (
	retransmitTimeout  = 250 * time.Millisecond
	maxUnansweredSends = 2
	// failedCallDelay is the delay before an exchange is sent again after its call failed.
	failedCallDelay = 50 * time.Millisecond
)

// heldTicket is a ticket that this router holds.
type heldTicket struct {
	target uint64
	team   uint64
}

// Client requests and releases the tickets of one pool. At most one exchange is in flight.
// Requests and releases that arrive meanwhile are sent with the next exchange, so the batches
// grow with the rate of requests. Client is not safe for concurrent use.
type Client struct {
	pool        string
	self        uint32
	incarnation uint64

	owner           uint32
	inventoryKnown  bool // the owner has this router's inventory
	sequence        uint64
	inFlight        *peerv1.ExchangeRequest
	sentAt          time.Time
	unansweredSends int

	pending             map[uint64]*peerv1.Ask // requests that are neither granted nor refused yet
	unsentRequests      map[uint64]bool
	heldTickets         map[uint64]heldTicket
	releases            []*peerv1.Release
	oldestReleaseSeenAt time.Time // when releasesDue first saw a waiting release; zero if none waits
	releaseDelay        time.Duration
	deadlines           map[uint64]time.Time

	placements placements
}

// New returns a Client without an owner for router self. A release waits up to releaseDelay for
// a request that it can be sent with. The owner's release margin has to allow for this delay.
func New(pool string, self uint32, incarnation uint64, releaseDelay time.Duration) *Client {
	return &Client{
		pool: pool, self: self, incarnation: incarnation, releaseDelay: releaseDelay,
		pending:        make(map[uint64]*peerv1.Ask),
		unsentRequests: make(map[uint64]bool),
		heldTickets:    make(map[uint64]heldTicket),
		deadlines:      make(map[uint64]time.Time),

		placements: newPlacements(),
	}
}

// Owner returns the router that this client follows, or 0 if there is none.
func (c *Client) Owner() uint32 { return c.owner }

// LastSequence returns the sequence number of the last exchange that was built.
func (c *Client) LastSequence() uint64 { return c.sequence }

// HeldTickets returns the number of tickets that this router holds.
func (c *Client) HeldTickets() int { return len(c.heldTickets) }

// PendingRequests returns the number of requests that are neither granted nor refused yet.
func (c *Client) PendingRequests() int { return len(c.pending) }

// SetOwner moves the client to another owner. The next exchange carries the inventory and all
// pending requests to the new owner. Releases that were not sent are dropped, since neither owner
// needs them: the released tickets are not in the inventory that the new owner gets, and the old
// owner removes this router.
func (c *Client) SetOwner(owner uint32) {
	if owner == c.owner {
		return
	}
	c.owner = owner
	c.resetExchange()
}

// resetExchange makes the next exchange carry the inventory, all placements and all pending
// requests.
func (c *Client) resetExchange() {
	c.inventoryKnown = false
	c.inFlight = nil
	c.unansweredSends = 0
	c.releases = nil
	c.placements.markAllUnsent()
	for id := range c.pending {
		c.unsentRequests[id] = true
	}
}

// Ask adds a request for a ticket, which is called Ask in the peer protocol. ReleaseTicket
// withdraws it. The exchange that carries the request tells the owner the remaining time until the
// deadline.
func (c *Client) Ask(a *peerv1.Ask, deadline time.Time) {
	c.pending[a.GetId()] = a
	c.unsentRequests[a.GetId()] = true
	c.deadlines[a.GetId()] = deadline
}

// ReleaseTicket releases the ticket of a request or withdraws the request.
func (c *Client) ReleaseTicket(id uint64, outcome peerv1.Outcome) {
	_, isHeld := c.heldTickets[id]
	_, isPending := c.pending[id]
	if !isHeld && !isPending {
		return
	}
	ownerKnowsRequest := isHeld || !c.unsentRequests[id]
	c.removePending(id)
	delete(c.heldTickets, id)
	if ownerKnowsRequest {
		c.releases = append(c.releases, &peerv1.Release{Id: id, Outcome: outcome})
	}
}

// removePending removes a request that was granted, refused or withdrawn.
func (c *Client) removePending(id uint64) {
	delete(c.pending, id)
	delete(c.unsentRequests, id)
	delete(c.deadlines, id)
}

// NextExchange returns the exchange to send now, or nil if there is none. An exchange without a
// reply is returned again after retransmitTimeout, with the same sequence number and content.
func (c *Client) NextExchange(now time.Time) *peerv1.ExchangeRequest {
	if c.owner == 0 {
		return nil
	}
	if c.inFlight != nil {
		if now.Sub(c.sentAt) < retransmitTimeout {
			return nil
		}
		c.unansweredSends++
		c.sentAt = now
		return c.inFlight
	}
	if c.inventoryKnown && len(c.unsentRequests) == 0 && !c.placements.hasUnsent() && !c.releasesDue(now) {
		return nil
	}
	c.inFlight = c.buildExchange(now)
	c.sentAt = now
	return c.inFlight
}

// releasesDue reports whether the waiting releases have to be sent now, even without a request.
func (c *Client) releasesDue(now time.Time) bool {
	if len(c.releases) == 0 {
		return false
	}
	if c.oldestReleaseSeenAt.IsZero() {
		c.oldestReleaseSeenAt = now
	}
	return now.Sub(c.oldestReleaseSeenAt) >= c.releaseDelay
}

func (c *Client) buildExchange(now time.Time) *peerv1.ExchangeRequest {
	c.sequence++
	req := &peerv1.ExchangeRequest{
		Protocol: ProtocolVersion, Pool: c.pool, Router: c.self, Incarnation: c.incarnation,
		Sequence: c.sequence, Releases: c.releases, Placements: c.placements.nextBatch(now),
	}
	c.releases = nil
	c.oldestReleaseSeenAt = time.Time{}
	for _, id := range sortedKeys(c.unsentRequests) {
		a := c.pending[id]
		a.DeadlineMillis = uint32(max(c.deadlines[id].Sub(now).Milliseconds(), 0))
		req.Asks = append(req.Asks, a)
	}
	clear(c.unsentRequests)
	if c.inventoryKnown {
		return req
	}
	req.HasInventory = true
	for _, id := range sortedKeys(c.heldTickets) {
		t := c.heldTickets[id]
		req.Inventory = append(req.Inventory, &peerv1.OpenTicket{Id: id, Target: t.target, Team: t.team})
	}
	return req
}

// sortedKeys returns the keys in ascending order, which makes messages deterministic. Request
// IDs ascend, so requests are sent in the order in which they arrived.
func sortedKeys[V any](m map[uint64]V) []uint64 {
	keys := make([]uint64, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}

// HandleFailedCall records that a call to the owner failed. A refused connection fails at once,
// so the next send need not wait for the whole retransmit timeout.
func (c *Client) HandleFailedCall(now time.Time, from uint32, sequence uint64) {
	if from == c.owner && c.inFlight != nil && c.inFlight.GetSequence() == sequence {
		c.sentAt = now.Add(failedCallDelay - retransmitTimeout)
	}
}

// HandleReply processes a reply of the owner and returns the grants and refusals of pending
// requests. A reply to any exchange except the one in flight is late and is ignored.
func (c *Client) HandleReply(now time.Time, from uint32, resp *peerv1.ExchangeResponse) []*peerv1.Grant {
	if from != c.owner || c.inFlight == nil || resp.GetSequence() != c.inFlight.GetSequence() {
		return nil
	}
	sentInventory := c.inFlight.GetHasInventory()
	c.inFlight = nil
	c.unansweredSends = 0
	if resp.GetWantInventory() {
		c.resetExchange()
		return nil
	}
	c.inventoryKnown = c.inventoryKnown || sentInventory
	return c.recordGrants(now, resp.GetGrants())
}

// HandleDelivery processes grants and refusals of requests that were queued at the owner and
// returns those of pending requests.
func (c *Client) HandleDelivery(now time.Time, from uint32, grants []*peerv1.Grant) []*peerv1.Grant {
	if from != c.owner {
		return nil
	}
	return c.recordGrants(now, grants)
}

// recordGrants records grants and refusals and returns those of pending requests. If a request was
// withdrawn meanwhile, its ticket is released: otherwise the owner would count it for ever.
func (c *Client) recordGrants(now time.Time, grants []*peerv1.Grant) []*peerv1.Grant {
	var out []*peerv1.Grant
	for _, g := range grants {
		a, ok := c.pending[g.GetId()]
		if !ok {
			if _, isHeld := c.heldTickets[g.GetId()]; !isHeld && g.GetTarget() != 0 {
				c.releases = append(c.releases, &peerv1.Release{Id: g.GetId(), Outcome: peerv1.Outcome_OUTCOME_UNUSED})
			}
			continue
		}
		c.removePending(g.GetId())
		if g.GetTarget() != 0 {
			c.heldTickets[g.GetId()] = heldTicket{target: g.GetTarget(), team: a.GetTeam()}
			c.placements.record(a.GetChat(), g.GetTarget(), now)
		}
		out = append(out, g)
	}
	return out
}

// HasOwnerFailed reports whether maxUnansweredSends sends of the exchange in flight got no reply.
func (c *Client) HasOwnerFailed() bool { return c.unansweredSends >= maxUnansweredSends }
