// Package controller accepts operators' changes and carries out planned changes.
package controller

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/app/configstore"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	core "github.com/hemlockdyke/hemlockdyke/internal/core/router"
	"github.com/hemlockdyke/hemlockdyke/internal/core/ticket"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// PeerCaller calls routers.
type PeerCaller interface {
	Call(ctx context.Context, to uint32, m proto.Message) (proto.Message, error)
}

// Controller serves operators. It is safe for concurrent use.
type Controller struct {
	store   *configstore.Store
	peers   PeerCaller
	routers []uint32
	log     *eventlog.Log
}

// New returns a Controller for the listed routers.
func New(store *configstore.Store, peers PeerCaller, routers []uint32, log *eventlog.Log) *Controller {
	return &Controller{store: store, peers: peers, routers: routers, log: log}
}

// ApplyResult is the answer to a change.
type ApplyResult struct {
	Operation     resource.Operation `json:"operation"`
	RolloutStatus RolloutStatus      `json:"inForce"`
}

// RolloutStatus says at which routers a revision is in force.
type RolloutStatus struct {
	Revision uint64   `json:"revision"`
	Applied  int      `json:"routers"`
	Listed   int      `json:"listed"`
	Behind   []uint32 `json:"behind"`
}

// pushWait is how long an accepted change is pushed before the operator gets the
// answer. What was not reached by then is reached by gossip and polls.
const pushWait = time.Second

// PushFanout is how many routers the accepting controller pushes a change to. They
// pass it on, so that one VM's traffic doesn't grow with the fleet.
const PushFanout = 12

// Apply accepts a change and pushes it to every router. The push comes before
// the answer: a change that a majority already has survives an outage of the
// table service, since every router that stays ready hears from a majority.
func (c *Controller) Apply(ctx context.Context, operation string, resources []resource.Resource) (ApplyResult, error) {
	op, change, err := c.store.AcceptChange(ctx, operation, resources)
	if err != nil {
		return ApplyResult{Operation: op}, err
	}
	c.log.Line(eventlog.ChangeAccepted).Str("operation", operation).Uint64("version", op.Revision).Msg("")
	if change == nil {
		return ApplyResult{Operation: op, RolloutStatus: c.RolloutStatus(ctx, op.Revision)}, nil
	}
	push := &peerv1.PushRequest{Protocol: ticket.Protocol, Changes: core.ToWire([]resource.Change{*change})}
	revisions := c.call(ctx, c.some(PushFanout), push, func(m proto.Message) uint64 { return m.(*peerv1.PushResponse).GetRevision() })
	if len(c.routers) > PushFanout {
		return ApplyResult{Operation: op, RolloutStatus: c.RolloutStatus(ctx, op.Revision)}, nil
	}
	return ApplyResult{Operation: op, RolloutStatus: c.compare(op.Revision, revisions)}, nil
}

// some returns up to n routers, chosen at random.
func (c *Controller) some(n int) []uint32 {
	out := make([]uint32, 0, n)
	for _, i := range rand.Perm(len(c.routers))[:min(n, len(c.routers))] {
		out = append(out, c.routers[i])
	}
	return out
}

// RolloutStatus asks every router for its revision.
func (c *Controller) RolloutStatus(ctx context.Context, revision uint64) RolloutStatus {
	ask := &peerv1.PullRequest{Protocol: ticket.Protocol, AfterRevision: math.MaxUint64}
	revisions := c.call(ctx, c.routers, ask, func(m proto.Message) uint64 { return m.(*peerv1.PullResponse).GetHead() })
	return c.compare(revision, revisions)
}

func (c *Controller) compare(revision uint64, revisions map[uint32]uint64) RolloutStatus {
	out := RolloutStatus{Revision: revision, Listed: len(c.routers), Behind: []uint32{}}
	for _, id := range c.routers {
		if have, ok := revisions[id]; ok && have >= revision {
			out.Applied++
		} else {
			out.Behind = append(out.Behind, id)
		}
	}
	return out
}

// call calls routers and returns the revisions of those that answered in time.
func (c *Controller) call(ctx context.Context, routers []uint32, m proto.Message, revision func(proto.Message) uint64) map[uint32]uint64 {
	out := make(map[uint32]uint64)
	for id, reply := range c.replies(ctx, routers, m) {
		out[id] = revision(reply)
	}
	return out
}

// replies calls routers and returns the replies that came in time.
func (c *Controller) replies(ctx context.Context, routers []uint32, m proto.Message) map[uint32]proto.Message {
	ctx, cancel := context.WithTimeout(ctx, pushWait)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := make(map[uint32]proto.Message)
	for _, id := range routers {
		wg.Go(func() {
			reply, err := c.peers.Call(ctx, id, m)
			if err != nil {
				c.log.Line(eventlog.PeerCallFailed).Uint32("peer", id).Err(err).Msg("")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out[id] = reply
		})
	}
	wg.Wait()
	return out
}

// Store returns the configuration store.
func (c *Controller) Store() *configstore.Store { return c.store }
