// Package controller accepts the configuration changes of operators and carries out planned changes
// to targets.
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

// Controller serves the requests of operators. It is safe for concurrent use.
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

// ApplyResult is the answer to a configuration change.
type ApplyResult struct {
	Operation     resource.Operation `json:"operation"`
	RolloutStatus RolloutStatus      `json:"inForce"`
}

// RolloutStatus is the status of a revision's rollout to the routers.
type RolloutStatus struct {
	Revision uint64   `json:"revision"`
	Applied  int      `json:"routers"` // number of routers that have applied the revision
	Listed   int      `json:"listed"`  // number of all listed routers
	Behind   []uint32 `json:"behind"`  // routers that did not answer or have an older revision
}

// callTimeout is the time for which a call to several routers waits for replies, while an operator
// waits for the answer. Routers that a push has not reached by then pull the change when gossip
// shows them its revision, or read it from the store.
const callTimeout = time.Second

// PushFanout is the largest number of routers to which a controller pushes a change. These routers
// pass the change on, so the traffic of the controller's VM doesn't grow with the fleet.
const PushFanout = 12

// Apply accepts a change and pushes it to up to PushFanout routers. operation is the name under
// which the change is accepted. The push is done before Apply returns: a change that a majority of
// the routers has survives a store outage, because every router that stays ready hears from a
// majority.
func (c *Controller) Apply(ctx context.Context, operation string, resources []resource.Resource) (ApplyResult, error) {
	op, change, err := c.store.AcceptChange(ctx, operation, resources)
	if err != nil {
		return ApplyResult{Operation: op}, err
	}
	c.log.Line(eventlog.ChangeAccepted).Str("operation", operation).Uint64("version", op.Revision).Msg("")
	if change == nil {
		return ApplyResult{Operation: op, RolloutStatus: c.RolloutStatus(ctx, op.Revision)}, nil
	}
	push := &peerv1.PushRequest{Protocol: ticket.ProtocolVersion, Changes: core.EncodeChanges([]resource.Change{*change})}
	revisions := c.callRevisions(ctx, c.randomRouters(PushFanout), push, func(m proto.Message) uint64 { return m.(*peerv1.PushResponse).GetRevision() })
	if len(c.routers) > PushFanout {
		return ApplyResult{Operation: op, RolloutStatus: c.RolloutStatus(ctx, op.Revision)}, nil
	}
	return ApplyResult{Operation: op, RolloutStatus: c.compareRevisions(op.Revision, revisions)}, nil
}

// randomRouters returns up to n routers, chosen at random.
func (c *Controller) randomRouters(n int) []uint32 {
	out := make([]uint32, 0, n)
	for _, i := range rand.Perm(len(c.routers))[:min(n, len(c.routers))] {
		out = append(out, c.routers[i])
	}
	return out
}

// RolloutStatus asks all routers for their revisions and compares these with the given one.
func (c *Controller) RolloutStatus(ctx context.Context, revision uint64) RolloutStatus {
	// With the largest AfterRevision, a router returns its revision but no changes.
	pull := &peerv1.PullRequest{Protocol: ticket.ProtocolVersion, AfterRevision: math.MaxUint64}
	revisions := c.callRevisions(ctx, c.routers, pull, func(m proto.Message) uint64 { return m.(*peerv1.PullResponse).GetHead() })
	return c.compareRevisions(revision, revisions)
}

// compareRevisions returns the status of a revision's rollout. revisions has the revision of each
// router that replied.
func (c *Controller) compareRevisions(revision uint64, revisions map[uint32]uint64) RolloutStatus {
	out := RolloutStatus{Revision: revision, Listed: len(c.routers), Behind: []uint32{}}
	for _, id := range c.routers {
		if applied, ok := revisions[id]; ok && applied >= revision {
			out.Applied++
		} else {
			out.Behind = append(out.Behind, id)
		}
	}
	return out
}

// callRevisions calls routers and returns the revisions in the replies, by router.
func (c *Controller) callRevisions(ctx context.Context, routers []uint32, m proto.Message, revisionOf func(proto.Message) uint64) map[uint32]uint64 {
	out := make(map[uint32]uint64)
	for id, reply := range c.callAll(ctx, routers, m) {
		out[id] = revisionOf(reply)
	}
	return out
}

// callAll calls routers concurrently and returns the replies that arrive within callTimeout, by
// router.
func (c *Controller) callAll(ctx context.Context, routers []uint32, m proto.Message) map[uint32]proto.Message {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var mu sync.Mutex
	var calls sync.WaitGroup
	out := make(map[uint32]proto.Message)
	for _, id := range routers {
		calls.Go(func() {
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
	calls.Wait()
	return out
}

// Store returns the configuration store.
func (c *Controller) Store() *configstore.Store { return c.store }
