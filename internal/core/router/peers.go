package router

import (
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/ticket"
)

func (c *Core) callIn(now time.Time, ev CallReceived) {
	reply, err := c.handle(now, ev.Message)
	c.emit(AnswerCall{Call: ev.Call, Message: reply, Err: err})
}

func (c *Core) handle(now time.Time, m proto.Message) (proto.Message, error) {
	if p, ok := m.(interface{ GetProtocol() uint32 }); ok && p.GetProtocol() != ticket.ProtocolVersion {
		return nil, code.New(code.BadProtocol, "protocol %d, want %d", p.GetProtocol(), ticket.ProtocolVersion)
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
	return nil, code.New(code.BadProtocol, "unexpected message")
}

func (c *Core) handleExchange(now time.Time, m *peerv1.ExchangeRequest) (proto.Message, error) {
	if !c.members.IsListed(m.GetRouter()) {
		return nil, code.New(code.UnknownRouter, "router %d is not listed", m.GetRouter())
	}
	if m.GetUnfollow() {
		if l, ok := c.ledgers[m.GetPool()]; ok && !l.HasNewerExchange(m.GetRouter(), m.GetSequence()) {
			c.deliver(now, m.GetPool(), l.RemoveFollower(now, m.GetRouter(), true))
		}
		return &peerv1.ExchangeResponse{}, nil
	}
	l, ok := c.ledger(now, m.GetPool())
	if !ok {
		return nil, code.New(code.UnknownPool, "no pool %q at revision %d", m.GetPool(), c.config.Revision())
	}
	resp, deliveries, err := l.HandleExchange(now, m)
	if err != nil {
		return nil, err
	}
	c.deliver(now, m.GetPool(), deliveries)
	return resp, nil
}

// handleDeliver refuses grants meant for an earlier process of this router.
func (c *Core) handleDeliver(now time.Time, m *peerv1.DeliverRequest) (proto.Message, error) {
	if m.GetIncarnation() != c.settings.Incarnation {
		return nil, code.New(code.OldIncarnation, "grants are for incarnation %d", m.GetIncarnation())
	}
	c.granted(now, m.GetPool(), c.client(m.GetPool()).HandleDelivery(now, m.GetOwner(), m.GetGrants()))
	return &peerv1.DeliverResponse{}, nil
}

func (c *Core) handleGossip(now time.Time, m *peerv1.GossipRequest) (proto.Message, error) {
	if !c.members.IsListed(m.GetRouter()) {
		return nil, code.New(code.UnknownRouter, "router %d is not listed", m.GetRouter())
	}
	c.merge(now, m.GetHeartbeats())
	return &peerv1.GossipResponse{Heartbeats: c.members.Heartbeats()}, nil
}

// merge takes in heartbeats. The tickets of a router that restarted become
// ghosts at once: its requests were cut off with the old process.
func (c *Core) merge(now time.Time, heartbeats []*peerv1.Heartbeat) {
	for _, id := range c.members.MergeHeartbeats(now, heartbeats) {
		delete(c.failedOwner, id)
		for _, name := range c.ledgerNames() {
			if c.ledgers[name].FollowerIncarnation(id) < c.members.Incarnation(id) {
				c.deliver(now, name, c.ledgers[name].RemoveFollower(now, id, false))
				c.nextProbe = now
			}
		}
	}
	c.pullIfBehind(now)
}

func (c *Core) callOut(now time.Time, ev CallCompleted) {
	switch req := ev.Request.(type) {
	case *peerv1.ExchangeRequest:
		if req.GetUnfollow() {
			c.repeatUnfollow(now, ev)
			return
		}
		if resp, ok := ev.Reply.(*peerv1.ExchangeResponse); ok && resp != nil {
			c.granted(now, req.GetPool(), c.client(req.GetPool()).HandleReply(now, ev.To, resp))
		} else {
			c.client(req.GetPool()).HandleFailedCall(now, ev.To, req.GetSequence())
		}
	case *peerv1.DeliverRequest:
		if ev.Reply == nil {
			c.redeliver(now, ev.To, req)
		}
	case *peerv1.GossipRequest:
		if resp, ok := ev.Reply.(*peerv1.GossipResponse); ok && resp != nil {
			c.merge(now, resp.GetHeartbeats())
		}
	case *peerv1.PullRequest:
		c.pulling = time.Time{}
		if resp, ok := ev.Reply.(*peerv1.PullResponse); ok && resp != nil {
			c.pulled(resp)
		}
	}
}

// repeatUnfollow tells an old owner again that this router has left it. If the
// message were lost for good, the old owner would count the router's last tickets
// for as long as both live.
func (c *Core) repeatUnfollow(now time.Time, ev CallCompleted) {
	req, ok := ev.Request.(*peerv1.ExchangeRequest)
	if ok && ev.Reply == nil && c.client(req.GetPool()).Owner() != ev.To && c.members.IsAlive(now, ev.To) {
		c.repeat(now, CallPeer{To: ev.To, Message: req})
	}
}

// redeliver sends late grants again while their router is the same process and
// alive. Until they arrive the router's request waits although its ticket is
// counted.
func (c *Core) redeliver(now time.Time, to uint32, req *peerv1.DeliverRequest) {
	l, ok := c.ledgers[req.GetPool()]
	if ok && l.FollowerIncarnation(to) == req.GetIncarnation() && c.members.IsAlive(now, to) {
		c.repeat(now, CallPeer{To: to, Message: req})
	}
}

// repeatPause is the pause before a failed message is sent again.
const repeatPause = 250 * time.Millisecond

// repeat sends a message again after a pause. Without one, a dead peer that
// refuses connections would be called thousands of times until it is suspected.
func (c *Core) repeat(now time.Time, s CallPeer) {
	c.repeats = append(c.repeats, repeated{due: now.Add(c.jittered(repeatPause)), send: s})
}

// sendRepeats sends the messages that are due again, unless nobody needs them
// any more.
func (c *Core) sendRepeats(now time.Time) {
	kept := c.repeats[:0]
	for _, r := range c.repeats {
		switch {
		case r.due.After(now):
			kept = append(kept, r)
		case c.members.IsAlive(now, r.send.To):
			c.emit(r.send)
		}
	}
	c.repeats = kept
}
