// Package ticket is a router's side of load bounding for one pool: it asks the
// pool's owner for tickets, gives them back, and moves to another owner without
// losing one.
package ticket

import (
	"sort"
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
)

// ProtocolVersion is the version of the peer protocol. A peer that speaks another one
// is refused, since it may mean something else by the same fields.
const ProtocolVersion = 1

// retransmitAfter is how long an exchange may stay unanswered before it is sent
// again, and failAfter unanswered sends the owner counts as failed.
const (
	retransmitAfter = 250 * time.Millisecond
	failAfter       = 2
	// failedPause is the pause after a send that failed instead of going unanswered.
	failedPause = 50 * time.Millisecond
)

type openTicket struct {
	target uint64
	team   uint64
}

// Client asks for the tickets of one pool. It has at most one exchange under
// way: what comes up meanwhile goes with the next one, so messages batch by
// themselves as the rate grows. It is not safe for concurrent use.
type Client struct {
	pool        string
	self        uint32
	incarnation uint64

	owner     uint32
	known     bool // the owner has this router's inventory
	sequence  uint64
	inFlight  *peerv1.ExchangeRequest
	sentAt    time.Time
	unreplied int

	asks     map[uint64]*peerv1.Ask // neither granted nor refused yet
	unsent   map[uint64]bool
	open     map[uint64]openTicket
	releases []*peerv1.Release
	held     time.Time // since when a release has waited to be sent
	hold     time.Duration
	deadline map[uint64]time.Time

	placements placements
}

// New returns a Client without an owner. hold is how long a release may wait for
// an ask to travel with: the owner's margin has to allow for it.
func New(pool string, self uint32, incarnation uint64, hold time.Duration) *Client {
	return &Client{
		pool: pool, self: self, incarnation: incarnation, hold: hold,
		asks:     make(map[uint64]*peerv1.Ask),
		unsent:   make(map[uint64]bool),
		open:     make(map[uint64]openTicket),
		deadline: make(map[uint64]time.Time),

		placements: newPlacements(),
	}
}

// Owner returns the router that this client follows, 0 if none.
func (c *Client) Owner() uint32 { return c.owner }

// LastSequence returns the number of the last exchange built.
func (c *Client) LastSequence() uint64 { return c.sequence }

// HeldTickets returns the number of tickets held.
func (c *Client) HeldTickets() int { return len(c.open) }

// PendingRequests returns the number of asks without an answer.
func (c *Client) PendingRequests() int { return len(c.asks) }

// SetOwner moves to another owner. Everything still open goes to the new one with
// the next exchange. Releases not yet sent are dropped: the new owner learns the
// inventory, and the old one drops this router.
func (c *Client) SetOwner(owner uint32) {
	if owner == c.owner {
		return
	}
	c.owner = owner
	c.forget()
}

// forget makes the next exchange carry the inventory and every open ask.
func (c *Client) forget() {
	c.known = false
	c.inFlight = nil
	c.unreplied = 0
	c.releases = nil
	c.placements.resend()
	for id := range c.asks {
		c.unsent[id] = true
	}
}

// RequestTicket adds a request that needs a ticket until a deadline.
func (c *Client) RequestTicket(a *peerv1.Ask, deadline time.Time) {
	c.asks[a.GetId()] = a
	c.unsent[a.GetId()] = true
	c.deadline[a.GetId()] = deadline
}

// ReleaseTicket gives a ticket back or withdraws an ask.
func (c *Client) ReleaseTicket(id uint64, outcome peerv1.Outcome) {
	_, held := c.open[id]
	_, asked := c.asks[id]
	if !held && !asked {
		return
	}
	sent := held || !c.unsent[id]
	c.drop(id)
	delete(c.open, id)
	if sent {
		c.releases = append(c.releases, &peerv1.Release{Id: id, Outcome: outcome})
	}
}

func (c *Client) drop(id uint64) {
	delete(c.asks, id)
	delete(c.unsent, id)
	delete(c.deadline, id)
}

// NextExchange returns the exchange to send now, or nil. It repeats an unanswered one
// with the same sequence number and content.
func (c *Client) NextExchange(now time.Time) *peerv1.ExchangeRequest {
	if c.owner == 0 {
		return nil
	}
	if c.inFlight != nil {
		if now.Sub(c.sentAt) < retransmitAfter {
			return nil
		}
		c.unreplied++
		c.sentAt = now
		return c.inFlight
	}
	if c.known && len(c.unsent) == 0 && !c.placements.pending() && !c.releasesDue(now) {
		return nil
	}
	c.inFlight = c.build(now)
	c.sentAt = now
	return c.inFlight
}

// releasesDue reports whether the releases have to go now, with or without an ask.
func (c *Client) releasesDue(now time.Time) bool {
	if len(c.releases) == 0 {
		return false
	}
	if c.held.IsZero() {
		c.held = now
	}
	return now.Sub(c.held) >= c.hold
}

func (c *Client) build(now time.Time) *peerv1.ExchangeRequest {
	c.sequence++
	req := &peerv1.ExchangeRequest{
		Protocol: ProtocolVersion, Pool: c.pool, Router: c.self, Incarnation: c.incarnation,
		Sequence: c.sequence, Releases: c.releases, Placements: c.placements.next(now),
	}
	c.releases = nil
	c.held = time.Time{}
	for _, id := range sortedKeys(c.unsent) {
		a := c.asks[id]
		a.DeadlineMillis = uint32(max(c.deadline[id].Sub(now).Milliseconds(), 0))
		req.Asks = append(req.Asks, a)
	}
	clear(c.unsent)
	if c.known {
		return req
	}
	req.HasInventory = true
	for _, id := range sortedKeys(c.open) {
		t := c.open[id]
		req.Inventory = append(req.Inventory, &peerv1.OpenTicket{Id: id, Target: t.target, Team: t.team})
	}
	return req
}

// sortedKeys makes messages the same for the same state; the asks keep the
// order in which they arrived because ids rise.
func sortedKeys[V any](m map[uint64]V) []uint64 {
	keys := make([]uint64, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}

// HandleFailedCall takes the news that a call to the owner failed. A refused connection
// fails at once, so the next try need not wait for the whole retransmit time.
func (c *Client) HandleFailedCall(now time.Time, from uint32, sequence uint64) {
	if from == c.owner && c.inFlight != nil && c.inFlight.GetSequence() == sequence {
		c.sentAt = now.Add(failedPause - retransmitAfter)
	}
}

// HandleReply takes in the owner's reply and returns its grants. A reply to anything
// but the exchange under way is late and changes nothing.
func (c *Client) HandleReply(now time.Time, from uint32, resp *peerv1.ExchangeResponse) []*peerv1.Grant {
	if from != c.owner || c.inFlight == nil || resp.GetSequence() != c.inFlight.GetSequence() {
		return nil
	}
	hadInventory := c.inFlight.GetHasInventory()
	c.inFlight = nil
	c.unreplied = 0
	if resp.GetWantInventory() {
		c.forget()
		return nil
	}
	c.known = c.known || hadInventory
	return c.take(now, resp.GetGrants())
}

// HandleDelivery takes in grants of asks that had to wait at the owner.
func (c *Client) HandleDelivery(now time.Time, from uint32, grants []*peerv1.Grant) []*peerv1.Grant {
	if from != c.owner {
		return nil
	}
	return c.take(now, grants)
}

// take records grants. One whose ask is gone was withdrawn meanwhile: its ticket
// goes back, or the owner would count it for ever.
func (c *Client) take(now time.Time, grants []*peerv1.Grant) []*peerv1.Grant {
	var out []*peerv1.Grant
	for _, g := range grants {
		a, ok := c.asks[g.GetId()]
		if !ok {
			if _, held := c.open[g.GetId()]; !held && g.GetTarget() != 0 {
				c.releases = append(c.releases, &peerv1.Release{Id: g.GetId(), Outcome: peerv1.Outcome_OUTCOME_UNUSED})
			}
			continue
		}
		c.drop(g.GetId())
		if g.GetTarget() != 0 {
			c.open[g.GetId()] = openTicket{target: g.GetTarget(), team: a.GetTeam()}
			c.placements.put(a.GetChat(), g.GetTarget(), now)
		}
		out = append(out, g)
	}
	return out
}

// HasOwnerFailed reports whether the owner left several sends unanswered.
func (c *Client) HasOwnerFailed() bool { return c.unreplied >= failAfter }
