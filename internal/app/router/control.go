// Package router is the application layer of a router. One goroutine owns the router core and its
// control state. Each request is forwarded by a goroutine of its own.
package router

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hemlockdyke/hemlockdyke/internal/app/configstore"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	core "github.com/hemlockdyke/hemlockdyke/internal/core/router"
	"github.com/hemlockdyke/hemlockdyke/internal/core/routing"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// PeerCaller calls other routers.
type PeerCaller interface {
	Call(ctx context.Context, to uint32, m proto.Message) (proto.Message, error)
}

// ConfigReader reads the configuration from the table service.
type ConfigReader interface {
	// ChangesSince returns the changes after a revision, or the whole configuration if these
	// changes are not stored any more.
	ChangesSince(ctx context.Context, after uint64) (changes []resource.Change, snapshot *configstore.Configuration, err error)
}

// Prober reads the status of targets.
type Prober interface {
	// ReadStatus returns the number of requests that a target counts as open, and the state that
	// its last orders set.
	ReadStatus(ctx context.Context, address string) (open int, state map[string]string, err error)
}

// decision is the core's answer to a ticket request. Either grant or refuse is set.
type decision struct {
	decidedAt time.Time
	grant     *core.GrantTarget
	refuse    *core.RefuseRequest
}

// inboxMessage is a message to the control goroutine: an event for the core or, if event is nil, a
// query.
type inboxMessage struct {
	event core.Event
	// decisionCh receives the decision for a RequestArrived event.
	decisionCh chan decision
	// responseCh receives the reply to a CallReceived event.
	responseCh chan core.ReplyToCall
	// query is called on the control goroutine.
	query func(now time.Time, c *core.Core)
}

// inboxCapacity is the number of messages that the inbox holds. Senders block while the inbox is
// full, as a dropped RequestEnded event would leak a ticket.
const inboxCapacity = 1024

// configReadTimeout is the timeout of one read of the configuration.
const configReadTimeout = 5 * time.Second

// Control owns the router core and executes its actions. Its methods are safe for concurrent use.
type Control struct {
	core   *core.Core
	peers  PeerCaller
	config ConfigReader
	prober Prober
	log    *eventlog.Log
	now    func() time.Time

	inbox   chan inboxMessage
	table   atomic.Pointer[routing.Table]
	ready   atomic.Pointer[core.Readiness]
	stopped chan struct{}

	// The fields below belong to the control goroutine.
	pendingDecisions map[uint64]chan decision
	pendingCalls     map[core.CallID]chan core.ReplyToCall
	lastCall         core.CallID
	readInProgress   bool
}

// NewControl returns a Control. It handles nothing until Run is called.
func NewControl(c *core.Core, peers PeerCaller, config ConfigReader, prober Prober, log *eventlog.Log, now func() time.Time) *Control {
	control := &Control{
		core: c, peers: peers, config: config, prober: prober, log: log, now: now,
		inbox:            make(chan inboxMessage, inboxCapacity),
		stopped:          make(chan struct{}),
		pendingDecisions: make(map[uint64]chan decision),
		pendingCalls:     make(map[core.CallID]chan core.ReplyToCall),
	}
	control.table.Store(c.Table())
	control.ready.Store(&core.Readiness{Reason: code.NotReady})
	return control
}

// Table returns the routing table that is applied.
func (c *Control) Table() *routing.Table { return c.table.Load() }

// Ready returns whether the router accepts new requests, with the reason if it does not.
func (c *Control) Ready() core.Readiness { return *c.ready.Load() }

// Run is the control goroutine. It handles messages and ticks until ctx is cancelled.
func (c *Control) Run(ctx context.Context) {
	defer close(c.stopped)
	ticker := time.NewTicker(core.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.stepCore(ctx, core.Tick{})
		case in := <-c.inbox:
			c.handleMessage(ctx, in)
		}
	}
}

// handleMessage runs a query or passes an event to the core. For a RequestArrived or CallReceived
// event it first stores the channel on which the decision or the reply is expected.
func (c *Control) handleMessage(ctx context.Context, in inboxMessage) {
	switch ev := in.event.(type) {
	case nil:
		in.query(c.now(), c.core)
		return
	case core.RequestArrived:
		c.pendingDecisions[ev.ID] = in.decisionCh
	case core.CallReceived:
		c.lastCall++
		ev.Call = c.lastCall
		c.pendingCalls[ev.Call] = in.responseCh
		in.event = ev
	case core.RequestEnded:
		delete(c.pendingDecisions, ev.ID)
	}
	c.stepCore(ctx, in.event)
}

// stepCore passes an event to the core and executes the actions that follow.
func (c *Control) stepCore(ctx context.Context, ev core.Event) {
	for _, a := range c.core.Step(c.now(), ev) {
		c.executeAction(ctx, a)
	}
}

func (c *Control) executeAction(ctx context.Context, a core.Action) {
	switch a := a.(type) {
	case core.GrantTarget:
		c.deliverDecision(a.ID, decision{grant: &a})
	case core.RefuseRequest:
		c.deliverDecision(a.ID, decision{refuse: &a})
	case core.CallPeer:
		go c.sendToPeer(ctx, a)
	case core.ReplyToCall:
		c.pendingCalls[a.Call] <- a
		delete(c.pendingCalls, a.Call)
	case core.ProbeTarget:
		go c.probeTarget(ctx, a)
	case core.ReadStore:
		if !c.readInProgress {
			c.readInProgress = true
			go c.readConfig(ctx, a.AfterRevision)
		}
	case core.PublishTable:
		c.table.Store(a.Table)
		c.log.Line(eventlog.DesiredState).Uint64("version", a.Table.Revision).Msg("")
	case core.Readiness:
		c.ready.Store(&a)
		c.log.Line(eventlog.ReadyChanged).Bool("ready", a.Ready).Str("why", a.Reason.Lookup().Name).Msg("")
	}
}

// deliverDecision sends a decision to the goroutine of its request, unless the request has ended.
func (c *Control) deliverDecision(id uint64, d decision) {
	d.decidedAt = c.now()
	if ch, ok := c.pendingDecisions[id]; ok {
		ch <- d
		delete(c.pendingDecisions, id)
	}
}

// sendToPeer calls another router and passes the reply to the core.
func (c *Control) sendToPeer(ctx context.Context, a core.CallPeer) {
	reply, err := c.peers.Call(ctx, a.To, a.Message)
	if err != nil {
		reply = nil
		c.log.Line(eventlog.PeerCallFailed).Uint32("peer", a.To).Err(err).Msg("")
	}
	c.enqueue(inboxMessage{event: core.CallCompleted{To: a.To, Request: a.Message, Reply: reply}})
}

// probeTarget reads the number of a target's open requests and passes it to the core. It passes
// nothing if the target can't be reached or returns no count. The ledger then keeps the orphaned
// tickets of the target until they expire.
func (c *Control) probeTarget(ctx context.Context, a core.ProbeTarget) {
	open, _, err := c.prober.ReadStatus(ctx, a.Target.Address)
	if err != nil {
		return
	}
	c.enqueue(inboxMessage{event: core.LoadReported{Pool: a.Pool, Target: a.Target.UID, OpenRequests: open}})
}

// readConfig reads the configuration changes after a revision and passes them to the core.
func (c *Control) readConfig(ctx context.Context, after uint64) {
	ctx, cancel := context.WithTimeout(ctx, configReadTimeout)
	defer cancel()
	changes, snapshot, err := c.config.ChangesSince(ctx, after)
	ev := core.StoreReadCompleted{Failed: err != nil, Changes: changes}
	if snapshot != nil {
		ev.Snapshot = &core.Snapshot{Revision: snapshot.Revision, Resources: snapshot.Resources}
	}
	if err != nil {
		c.log.Line(eventlog.StoreReadFailed).Str("table", "configuration").Err(err).Msg("")
	}
	c.query(func(now time.Time, _ *core.Core) { c.readInProgress = false })
	c.enqueue(inboxMessage{event: ev})
}

// enqueue adds a message to the inbox. It returns false if the control goroutine has stopped.
func (c *Control) enqueue(in inboxMessage) bool {
	select {
	case c.inbox <- in:
		return true
	case <-c.stopped:
		return false
	}
}

// query calls f on the control goroutine and waits until f returns or the control goroutine stops.
func (c *Control) query(f func(now time.Time, c *core.Core)) {
	done := make(chan struct{})
	enqueued := c.enqueue(inboxMessage{query: func(now time.Time, routerCore *core.Core) {
		f(now, routerCore)
		close(done)
	}})
	if !enqueued {
		return
	}
	select {
	case <-done:
	case <-c.stopped:
	}
}

// Handle processes a message of another router or of a controller and returns the reply.
func (c *Control) Handle(ctx context.Context, m proto.Message) (proto.Message, error) {
	responseCh := make(chan core.ReplyToCall, 1)
	c.enqueue(inboxMessage{event: core.CallReceived{Message: m}, responseCh: responseCh})
	select {
	case response := <-responseCh:
		return response.Message, response.Err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.stopped:
		return nil, code.New(code.ShuttingDown, "router has stopped")
	}
}

// requestTicket requests a ticket and returns the channel on which the decision arrives.
func (c *Control) requestTicket(ev core.RequestArrived) chan decision {
	decisionCh := make(chan decision, 1)
	c.enqueue(inboxMessage{event: ev, decisionCh: decisionCh})
	return decisionCh
}

// releaseTicket releases the ticket of a request, or withdraws the ticket request.
func (c *Control) releaseTicket(ev core.RequestEnded) { c.enqueue(inboxMessage{event: ev}) }

// BeginShutdown is the first step of a graceful shutdown. It makes the router unready until the
// process exits.
func (c *Control) BeginShutdown() { c.enqueue(inboxMessage{event: core.Shutdown{}}) }

// Status is the state that a router reports about itself.
type Status struct {
	Router       uint32            `json:"router"`
	Revision     uint64            `json:"revision"`
	Ready        bool              `json:"ready"`
	Reason       string            `json:"reason,omitempty"` // name of the result code; empty if ready
	OpenRequests int               `json:"openRequests"`
	Revisions    map[uint32]uint64 `json:"revisions"` // last known revision of each listed router
}

// Status returns the status of the router, whose ID is self.
func (c *Control) Status(self uint32) Status {
	var s Status
	c.query(func(_ time.Time, routerCore *core.Core) {
		s = Status{Router: self, Revision: routerCore.Revision(), OpenRequests: routerCore.OpenRequests(), Revisions: routerCore.Revisions()}
	})
	ready := c.Ready()
	s.Ready = ready.Ready
	if !ready.Ready {
		s.Reason = ready.Reason.Lookup().Name
	}
	return s
}

// HolderAlive reports whether the process that holds a claim may still be running. It returns true
// if the control goroutine has stopped.
func (c *Control) HolderAlive(id uint32, incarnation uint64) bool {
	alive := true
	c.query(func(now time.Time, rc *core.Core) { alive = rc.IsIncarnationAlive(now, id, incarnation) })
	return alive
}
