// Package router runs the router core: one goroutine owns the control state,
// the goroutines of requests carry traffic.
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
	ChangesSince(ctx context.Context, after uint64) (changes []resource.Change, whole *configstore.Configuration, err error)
}

// Prober asks targets for their own counts of open requests.
type Prober interface {
	Observe(ctx context.Context, address string) (open int, state map[string]string, err error)
}

// decision is the core's answer to a request that asked for a target.
type decision struct {
	at     time.Time
	grant  *core.Grant
	refuse *core.Refuse
}

type inbound struct {
	event core.Event
	// decided receives the decision for an Arrived event.
	decided chan decision
	// responded receives the answer to a CallIn event.
	responded chan core.Respond
	// query runs on the control goroutine.
	query func(now time.Time, c *core.Core)
}

// inboxSize is how many events may wait for the control goroutine. Senders block
// when it is full: dropping a release would leak a ticket.
const inboxSize = 1024

// readTimeout bounds one read of the configuration store.
const readTimeout = 5 * time.Second

// Control owns the core. Its methods are safe for concurrent use.
type Control struct {
	core   *core.Core
	peers  PeerCaller
	config ConfigReader
	prober Prober
	log    *eventlog.Log
	now    func() time.Time

	inbox   chan inbound
	table   atomic.Pointer[routing.Table]
	ready   atomic.Pointer[core.Ready]
	stopped chan struct{}

	// Owned by the control goroutine.
	waiting map[uint64]chan decision
	calls   map[core.Call]chan core.Respond
	next    core.Call
	reading bool
}

// NewControl returns a Control that Run has still to start.
func NewControl(c *core.Core, peers PeerCaller, config ConfigReader, prober Prober, log *eventlog.Log, now func() time.Time) *Control {
	ctl := &Control{
		core: c, peers: peers, config: config, prober: prober, log: log, now: now,
		inbox:   make(chan inbound, inboxSize),
		stopped: make(chan struct{}),
		waiting: make(map[uint64]chan decision),
		calls:   make(map[core.Call]chan core.Respond),
	}
	ctl.table.Store(c.Table())
	ctl.ready.Store(&core.Ready{Reason: code.NotReady})
	return ctl
}

// Table returns the routing table in force.
func (c *Control) Table() *routing.Table { return c.table.Load() }

// Ready returns whether the router takes new work, and if not, why.
func (c *Control) Ready() core.Ready { return *c.ready.Load() }

// Run owns the core until ctx ends.
func (c *Control) Run(ctx context.Context) {
	defer close(c.stopped)
	ticker := time.NewTicker(core.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.step(ctx, core.Tick{})
		case in := <-c.inbox:
			c.accept(ctx, in)
		}
	}
}

func (c *Control) accept(ctx context.Context, in inbound) {
	switch ev := in.event.(type) {
	case nil:
		in.query(c.now(), c.core)
		return
	case core.Arrived:
		c.waiting[ev.ID] = in.decided
	case core.CallIn:
		c.next++
		ev.Call = c.next
		c.calls[ev.Call] = in.responded
		in.event = ev
	case core.Ended:
		delete(c.waiting, ev.ID)
	}
	c.step(ctx, in.event)
}

func (c *Control) step(ctx context.Context, ev core.Event) {
	for _, a := range c.core.Step(c.now(), ev) {
		c.act(ctx, a)
	}
}

func (c *Control) act(ctx context.Context, a core.Action) {
	switch a := a.(type) {
	case core.Grant:
		c.decide(a.ID, decision{grant: &a})
	case core.Refuse:
		c.decide(a.ID, decision{refuse: &a})
	case core.Send:
		go c.send(ctx, a)
	case core.Respond:
		c.calls[a.Call] <- a
		delete(c.calls, a.Call)
	case core.Probe:
		go c.probe(ctx, a)
	case core.ReadStore:
		if !c.reading {
			c.reading = true
			go c.read(ctx, a.After)
		}
	case core.Publish:
		c.table.Store(a.Table)
		c.log.Line(eventlog.DesiredState).Uint64("version", a.Table.Revision).Msg("")
	case core.Ready:
		c.ready.Store(&a)
		c.log.Line(eventlog.ReadyChanged).Bool("ready", a.Ready).Str("why", a.Reason.Lookup().Name).Msg("")
	}
}

func (c *Control) decide(id uint64, d decision) {
	d.at = c.now()
	if ch, ok := c.waiting[id]; ok {
		ch <- d
		delete(c.waiting, id)
	}
}

func (c *Control) send(ctx context.Context, a core.Send) {
	reply, err := c.peers.Call(ctx, a.To, a.Message)
	if err != nil {
		reply = nil
		c.log.Line(eventlog.PeerCallFailed).Uint32("peer", a.To).Err(err).Msg("")
	}
	c.post(inbound{event: core.CallOut{To: a.To, Request: a.Message, Reply: reply}})
}

// probe asks a target for its count. One that can't be reached, or that reports
// none, says nothing: its ghosts then run out with time.
func (c *Control) probe(ctx context.Context, a core.Probe) {
	open, _, err := c.prober.Observe(ctx, a.Target.Address)
	if err != nil {
		return
	}
	c.post(inbound{event: core.Reported{Pool: a.Pool, Target: a.Target.UID, Open: open}})
}

func (c *Control) read(ctx context.Context, after uint64) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	changes, whole, err := c.config.ChangesSince(ctx, after)
	ev := core.StoreRead{Err: err != nil, Changes: changes}
	if whole != nil {
		ev.Snapshot = &core.Snapshot{Revision: whole.Revision, Resources: whole.Resources}
	}
	if err != nil {
		c.log.Line(eventlog.StoreReadFailed).Str("table", "configuration").Err(err).Msg("")
	}
	c.query(func(now time.Time, _ *core.Core) { c.reading = false })
	c.post(inbound{event: ev})
}

func (c *Control) post(in inbound) bool {
	select {
	case c.inbox <- in:
		return true
	case <-c.stopped:
		return false
	}
}

// query runs f on the control goroutine and waits for it.
func (c *Control) query(f func(now time.Time, c *core.Core)) {
	done := make(chan struct{})
	ok := c.post(inbound{query: func(now time.Time, cc *core.Core) {
		f(now, cc)
		close(done)
	}})
	if !ok {
		return
	}
	select {
	case <-done:
	case <-c.stopped:
	}
}

// Handle answers a peer's message.
func (c *Control) Handle(ctx context.Context, m proto.Message) (proto.Message, error) {
	responded := make(chan core.Respond, 1)
	c.post(inbound{event: core.CallIn{Message: m}, responded: responded})
	select {
	case r := <-responded:
		return r.Message, r.Err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.stopped:
		return nil, code.New(code.ShuttingDown, "router has stopped")
	}
}

// ask posts an Arrived event and returns the channel of its decision.
func (c *Control) ask(ev core.Arrived) chan decision {
	decided := make(chan decision, 1)
	c.post(inbound{event: ev, decided: decided})
	return decided
}

// end gives a request's ticket back.
func (c *Control) end(ev core.Ended) { c.post(inbound{event: ev}) }

// Leave makes the router unready for good, as the first step of a graceful shutdown.
func (c *Control) Leave() { c.post(inbound{event: core.Leave{}}) }

// Status is what a router tells of itself.
type Status struct {
	Router       uint32            `json:"router"`
	Revision     uint64            `json:"revision"`
	Ready        bool              `json:"ready"`
	Reason       string            `json:"reason,omitempty"`
	OpenRequests int               `json:"openRequests"`
	Revisions    map[uint32]uint64 `json:"revisions"`
}

// Status returns the router's state.
func (c *Control) Status(self uint32) Status {
	var s Status
	c.query(func(_ time.Time, cc *core.Core) {
		s = Status{Router: self, Revision: cc.Revision(), OpenRequests: cc.OpenRequests(), Revisions: cc.Revisions()}
	})
	ready := c.Ready()
	s.Ready = ready.Ready
	if !ready.Ready {
		s.Reason = ready.Reason.Lookup().Name
	}
	return s
}

// HolderAlive reports whether the process that holds a claim may still run.
func (c *Control) HolderAlive(id uint32, incarnation uint64) bool {
	alive := true
	c.query(func(now time.Time, cc *core.Core) { alive = cc.IncarnationAlive(now, id, incarnation) })
	return alive
}
