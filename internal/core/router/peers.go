package router

import (
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/ticket"
)

func (c *Core) handleCall(now time.Time, ev CallReceived) {
	reply, err := c.handleMessage(now, ev.Message)
	c.emit(ReplyToCall{Call: ev.Call, Message: reply, Err: err})
}

func (c *Core) handleMessage(now time.Time, m proto.Message) (proto.Message, error) {
	if p, ok := m.(interface{ GetProtocol() uint32 }); ok && p.GetProtocol() != ticket.ProtocolVersion {
		return nil, code.New(code.BadProtocol, "protocol version %d, want %d", p.GetProtocol(), ticket.ProtocolVersion)
	}
	switch m := m.(type) {
	case *peerv1.ExchangeRequest:
		return c.handleExchange(now, m)
	case *peerv1.DeliverRequest:
		return c.handleDeliver(now, m)
	case *peerv1.GossipRequest:
		return c.handleGossip(now, m)
	case *peerv1.PushRequest:
		return c.handlePush(m)
	case *peerv1.PullRequest:
		return c.handlePull(m)
	}
	return nil, code.New(code.BadProtocol, "unexpected message type")
}

func (c *Core) handleExchange(now time.Time, m *peerv1.ExchangeRequest) (proto.Message, error) {
	if !c.members.IsListed(m.GetRouter()) {
		return nil, code.New(code.UnknownRouter, "router %d is not listed", m.GetRouter())
	}
	if m.GetUnfollow() {
		if l, ok := c.ledgers[m.GetPool()]; ok && !l.HasNewerExchange(m.GetRouter(), m.GetSequence()) {
			c.deliverGrants(now, m.GetPool(), l.RemoveFollower(now, m.GetRouter(), true))
		}
		return &peerv1.ExchangeResponse{}, nil
	}
	l, ok := c.ledgerFor(now, m.GetPool())
	if !ok {
		return nil, code.New(code.UnknownPool, "no pool %q at revision %d", m.GetPool(), c.config.Revision())
	}
	resp, deliveries, err := l.HandleExchange(now, m)
	if err != nil {
		return nil, err
	}
	c.deliverGrants(now, m.GetPool(), deliveries)
	return resp, nil
}

// handleDeliver processes grants of queued requests. It refuses grants that are addressed to
// another process of this router.
func (c *Core) handleDeliver(now time.Time, m *peerv1.DeliverRequest) (proto.Message, error) {
	if m.GetIncarnation() != c.settings.Incarnation {
		return nil, code.New(code.OldIncarnation, "grants are addressed to incarnation %d of this router", m.GetIncarnation())
	}
	c.handleGrants(now, m.GetPool(), c.clientFor(m.GetPool()).HandleDelivery(now, m.GetOwner(), m.GetGrants()))
	return &peerv1.DeliverResponse{}, nil
}

func (c *Core) handleGossip(now time.Time, m *peerv1.GossipRequest) (proto.Message, error) {
	if !c.members.IsListed(m.GetRouter()) {
		return nil, code.New(code.UnknownRouter, "router %d is not listed", m.GetRouter())
	}
	c.mergeHeartbeats(now, m.GetHeartbeats())
	return &peerv1.GossipResponse{Heartbeats: c.members.Heartbeats()}, nil
}

// mergeHeartbeats processes heartbeats. The tickets of a router that restarted become orphans at
// once, since its requests were cut off with the old process.
func (c *Core) mergeHeartbeats(now time.Time, heartbeats []*peerv1.Heartbeat) {
	for _, id := range c.members.MergeHeartbeats(now, heartbeats) {
		delete(c.avoidOwnerUntil, id)
		for _, name := range c.ledgerPools() {
			if c.ledgers[name].FollowerIncarnation(id) < c.members.Incarnation(id) {
				c.deliverGrants(now, name, c.ledgers[name].RemoveFollower(now, id, false))
				c.nextProbeAt = now
			}
		}
	}
	c.pullIfBehind(now)
}

func (c *Core) handleCallCompleted(now time.Time, ev CallCompleted) {
	switch req := ev.Request.(type) {
	case *peerv1.ExchangeRequest:
		if req.GetUnfollow() {
			c.resendUnfollow(now, ev)
			return
		}
		if resp, ok := ev.Reply.(*peerv1.ExchangeResponse); ok && resp != nil {
			c.handleGrants(now, req.GetPool(), c.clientFor(req.GetPool()).HandleReply(now, ev.To, resp))
		} else {
			c.clientFor(req.GetPool()).HandleFailedCall(now, ev.To, req.GetSequence())
		}
	case *peerv1.DeliverRequest:
		if ev.Reply == nil {
			c.resendDelivery(now, ev.To, req)
		}
	case *peerv1.GossipRequest:
		if resp, ok := ev.Reply.(*peerv1.GossipResponse); ok && resp != nil {
			c.mergeHeartbeats(now, resp.GetHeartbeats())
		}
	case *peerv1.PullRequest:
		c.pullStartedAt = time.Time{}
		if resp, ok := ev.Reply.(*peerv1.PullResponse); ok && resp != nil {
			c.handlePullReply(resp)
		}
	}
}

// resendUnfollow resends a failed unfollow message to a former owner. If the former owner never
// received it, it would count the router's last tickets for as long as both processes live.
func (c *Core) resendUnfollow(now time.Time, ev CallCompleted) {
	req, ok := ev.Request.(*peerv1.ExchangeRequest)
	if ok && ev.Reply == nil && c.clientFor(req.GetPool()).Owner() != ev.To && c.members.IsAlive(now, ev.To) {
		c.scheduleResend(now, CallPeer{To: ev.To, Message: req})
	}
}

// resendDelivery resends the grants of queued requests while their router is alive and has not
// restarted. Until they arrive the request waits although its ticket is counted.
func (c *Core) resendDelivery(now time.Time, to uint32, req *peerv1.DeliverRequest) {
	l, ok := c.ledgers[req.GetPool()]
	if ok && l.FollowerIncarnation(to) == req.GetIncarnation() && c.members.IsAlive(now, to) {
		c.scheduleResend(now, CallPeer{To: to, Message: req})
	}
}

// resendDelay is the delay before a failed message is sent again.
const resendDelay = 250 * time.Millisecond

// scheduleResend schedules a failed message to be sent again after resendDelay. Without the delay,
// a dead peer that refuses connections would be called thousands of times until it no longer counts
// as alive.
func (c *Core) scheduleResend(now time.Time, s CallPeer) {
	c.pendingResends = append(c.pendingResends, delayedCall{dueAt: now.Add(c.jitter(resendDelay)), call: s})
}

// resendDueCalls resends the messages that are due. Messages to routers that are no longer alive
// are dropped.
func (c *Core) resendDueCalls(now time.Time) {
	kept := c.pendingResends[:0]
	for _, r := range c.pendingResends {
		switch {
		case r.dueAt.After(now):
			kept = append(kept, r)
		case c.members.IsAlive(now, r.call.To):
			c.emit(r.call)
		}
	}
	c.pendingResends = kept
}
