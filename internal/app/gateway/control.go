package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/ablate"
	"github.com/hemlockdyke/hemlockdyke/internal/core/admission"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/retry"
	"github.com/hemlockdyke/hemlockdyke/internal/core/warmup"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

const (
	// goneShare is the part of LeftWithin for which a target is used after it left the
	// list. The rest is for the spread of the news.
	goneShare = 0.35
	// lapsedBackWithin is how long after the store's return entries that lapsed while it was away are back, and for how
	// long such targets are used at the most.
	lapsedBackWithin = 2500 * time.Millisecond
	// callTimeout bounds the calls that do not wait for changes.
	callTimeout = 2 * time.Second
)

// Control owns the control state. Its methods are safe for concurrent use.
type Control struct {
	settings Settings
	view     *view
	store    Store
	decoder  Decoder
	peers    Peers
	upstream Upstream
	log      *eventlog.Log
	now      func() time.Time

	inbox   chan func(now time.Time)
	stopped chan struct{}

	// Owned by the control goroutine.
	ctx        context.Context // of Run
	core       *fleet.Core
	roster     *placement.Roster
	list       *decodedList
	copies     *copies
	entries    *entryLog
	departures departures
	stopFollow [fleet.Tables]context.CancelFunc
	followCtx  [fleet.Tables]context.Context
	version    uint64 // of the desired state in force
	routers    int    // the most that were alive at once
	startedAt  time.Time
	listRead   atomic.Bool // the store's list of routers has been read
	fleet      []string    // the other routers as placement knows them, nil if it knows none yet
	inForceAt  time.Time
	evacuated  int // data centres that are to get nothing
	targetsAt  time.Time

	poisonFresh bool          // others told something of requests under which targets end that is to be told on
	keepWake    chan struct{} // something may be to be kept in the store
}

// inboxSize is how many events may wait. Senders block when it is full.
const inboxSize = 256

// NewControl returns a Control that Run has still to start.
func NewControl(s Settings, store Store, decoder Decoder, peers Peers, up Upstream, log *eventlog.Log, now func() time.Time) *Control {
	incarnation := rand.Uint64()
	board := placement.DefaultSettings(s.DataCentre)
	board.Multiple, board.Slack = s.LoadMultiple, s.LoadSlack
	board.ColdMultiple, board.ColdSlack = s.ColdMultiple, s.ColdSlack
	return &Control{
		startedAt: now(),
		settings:  s, store: store, decoder: decoder, peers: peers, upstream: up, log: log, now: now,
		view: &view{
			board:   placement.New(board, rand.New(rand.NewPCG(incarnation, 1))),
			gates:   make(map[string]*admission.Gate),
			budgets: make(map[string]*retry.Window), span: s.RetryWindow,
			limits:   retry.Limits{Ratio: s.RetryRatio, Slack: s.RetrySlack, Routers: sharing(s.FirstStart)},
			attempts: newUnderWay(), guard: newGuard(s.Address, s.FirstStart),
		},
		keepWake: make(chan struct{}, 1),
		inbox:    make(chan func(time.Time), inboxSize), stopped: make(chan struct{}),
		core: fleet.New(now(), fleet.Settings{
			Self: fleet.Address(s.Address), Incarnation: incarnation, Seed: rand.Uint64(), StartsFirst: s.ReadStoreAtStart,
			DataCentre: s.DataCentre, Strength: s.Strength, InForceWithin: s.MaxApplyDelay, LeftWithin: s.MaxDepartureDelay,
		}),
		copies:  newCopies(fleet.NewServeBudget(now(), s.LinkBytesPerSecond)),
		roster:  placement.NewRoster(),
		list:    newDecodedList(decoder),
		entries: newEntryLog(log),
	}
}

// Run owns the control state until ctx ends.
func (c *Control) Run(ctx context.Context) {
	defer close(c.stopped)
	for t := range c.followCtx {
		c.followCtx[t], c.stopFollow[t] = context.WithCancel(ctx)
		defer func() { c.stopFollow[t]() }()
	}
	c.ctx = ctx
	go c.keepListed(ctx)
	go c.keepSuspects(ctx)
	if len(c.settings.Seeds) > 0 {
		c.step(ctx, c.now(), fleet.Found{Addresses: addresses(c.settings.Seeds)})
	}
	ticker := time.NewTicker(fleet.TickInterval)
	defer ticker.Stop()
	c.tick(ctx, c.now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.tick(ctx, c.now())
		case do := <-c.inbox:
			do(c.now())
		}
	}
}

func (c *Control) tick(ctx context.Context, now time.Time) {
	c.tickGuard(now)
	tell := c.view.toTell(now)
	tell.News = c.news(now)
	c.step(ctx, now, tell)
	c.view.mu.Lock()
	c.view.board.Expire(now)
	c.view.mu.Unlock()
	if c.roster.Expire(now, c.keep(now)) {
		c.publishTargets(now)
	}
	c.askEnded(ctx, now)
	c.updateFleet(now)
	c.upstream.Prune(c.roster.Has)
	c.shareSlack(now)
}

// keep returns for how long targets are used that left the list.
func (c *Control) keep(now time.Time) placement.Keep {
	k := placement.Keep{Gone: time.Duration(goneShare * float64(c.settings.MaxDepartureDelay))}
	away := c.core.StoreAway(now)
	if away {
		since, until := c.core.Outage()
		k.Lapsed, k.Since, k.Until = lapsedBackWithin, since, until.Add(lapsedBackWithin)
	}
	if ablate.Off(ablate.GoneGrace) {
		k = placement.Keep{}
	}
	c.view.goneGrace.Store(int64(max(k.Gone, k.Lapsed)))
	c.view.storeAway.Store(away)
	return k
}

// sharing returns how many routers share the slack of repeats when this one starts: none of it is used before it is known that nobody has.
func sharing(firstStart bool) int {
	if firstStart {
		return 1
	}
	return 0
}

// shareSlack tells traffic among how many routers the slack of repeats is shared. Those that are listed but not heard may run all the
// same; those that were heard once may be cut off.
func (c *Control) shareSlack(now time.Time) {
	c.routers = max(c.routers, c.core.Alive(now)+1)
	if !c.settings.FirstStart && (c.fleet == nil || now.Sub(c.startedAt) < retry.SlackAfter(c.settings.RetryWindow)) {
		return
	}
	n := max(c.routers, len(c.fleet)+1)
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	c.view.limits.Routers = n
}

// updateFleet tells placement which routers there are, once this one has had the time to learn it. One that hears nobody goes by the
// store's list: it may be the only router, or cut off from all others, of which each would take itself for the only one.
func (c *Control) updateFleet(now time.Time) {
	if now.Sub(c.startedAt) < warmup.Hold || (c.fleet == nil && !c.listRead.Load() && c.core.Alive(now) == 0) {
		return
	}
	if known := texts(c.core.Others()); c.fleet == nil || !slices.Equal(known, c.fleet) {
		c.fleet = known
		c.view.setFleet(warmup.NewFleet(c.settings.Address, known))
	}
}

// post hands an event to the control goroutine.
func (c *Control) post(ctx context.Context, ev fleet.Event) {
	c.do(func(now time.Time) { c.step(ctx, now, ev) })
}

func (c *Control) do(f func(now time.Time)) {
	select {
	case c.inbox <- f:
	case <-c.stopped:
	}
}

func (c *Control) step(ctx context.Context, now time.Time, ev fleet.Event) {
	for _, a := range c.core.Step(now, ev) {
		c.act(ctx, now, a)
	}
	c.updateBehind(now)
	if c.departures.fresh || c.poisonFresh {
		c.step(ctx, now, fleet.Learned{News: c.news(now)})
	}
}

// news returns what is to be told at once.
func (c *Control) news(now time.Time) fleet.News {
	c.poisonFresh = false
	n := c.view.guard.news(now)
	n.Departures = c.departures.take()
	return n
}

// tellDeparture passes on at once what traffic has learned of a target.
func (c *Control) tellDeparture(d placement.Departure) {
	c.do(func(now time.Time) {
		c.departures.add([]placement.Departure{d})
		c.step(c.ctx, now, fleet.Learned{News: c.news(now)})
	})
}

func (c *Control) act(ctx context.Context, now time.Time, a fleet.Action) {
	switch a := a.(type) {
	case fleet.SendDigest:
		c.peers.SendDigest(texts(a.To), a.Digest, a.Yours)
	case fleet.Follow:
		go c.follow(ctx, c.followCtx[a.Table], a)
	case fleet.ReadWhole:
		go c.readWhole(ctx, c.followCtx[a.Table], a.Table, a.Most)
	case fleet.StopFollowing:
		c.stopFollow[a.Table]()
		c.followCtx[a.Table], c.stopFollow[a.Table] = context.WithCancel(ctx)
	case fleet.CopyFrom:
		go c.copyFrom(ctx, a)
	case fleet.Changed:
		c.changed(now, a)
	case fleet.LoadsHeard:
		c.heard(now, a)
	case fleet.LoadsForgotten:
		c.view.forget(a.Sources)
	case fleet.SuspectsKnown:
		c.view.guard.learned()
	case fleet.RoleChanged:
		c.log.Line(eventlog.RoleChanged).Bool("relay", a.Relay).Str("feeder", string(a.Feeder)).Msg("")
	case fleet.PeerUp:
		c.log.Line(eventlog.PeerUp).Str("peer", string(a.Peer)).Bool("restarted", a.Restarted).Msg("")
	case fleet.PeerDown:
		c.view.forget([]uint32{a.Source})
		c.log.Line(eventlog.PeerDown).Str("peer", string(a.Peer)).Dur("silent", a.Silent).Msg("")
	case fleet.StoreChanged:
		c.log.Line(eventlog.StoreChanged).Bool("reading", a.Reading).Bool("reachable", a.Reachable).Msg("")
	}
}

// heard takes in what others told of requests.
func (c *Control) heard(now time.Time, a fleet.LoadsHeard) {
	var ejected []string
	c.view.mu.Lock()
	if !a.Partial {
		ejected = c.view.board.Heard(now, a.Source, a.Loads, a.Outcomes)
		c.view.updated = now
	}
	c.view.board.HeardRead(now, a.Prompts)
	c.view.mu.Unlock()
	c.heardDepartures(now, a.Departures)
	if !a.Poison.Empty() {
		c.poisonFresh = c.view.guard.heard(now, a.Poison) || c.poisonFresh
	}
	for _, id := range ejected {
		c.log.Line(eventlog.TargetSuspended).Str("target", id).Str("why", "outlier").Msg("")
	}
}

// Ready reports whether the balancer should send new connections here.
func (c *Control) Ready() bool {
	return c.view.ready.Load() && !c.view.leaving.Load() && !c.view.stale.Load()
}

// ShuttingDown reports whether the router is stopping.
func (c *Control) ShuttingDown() bool { return c.view.leaving.Load() }

// BeginShutdown makes the router unready for good, as the first step of a graceful shutdown.
func (c *Control) BeginShutdown(ctx context.Context) {
	c.view.leaving.Store(true)
	c.post(ctx, fleet.Leave{})
}

// SetShutdownDeadline begins the last phase of a graceful shutdown: only requests that end by a
// time are begun from now on.
func (c *Control) SetShutdownDeadline(by time.Time) { c.view.finishing.Store(&by) }

// OpenEarlyRequests returns the number of open requests that came before FinishBy.
func (c *Control) OpenEarlyRequests() int64 { return c.view.early.Load() }

// ApplySettings puts the bounds of new settings in force.
func (c *Control) ApplySettings(s Settings) {
	c.view.mu.Lock()
	defer c.view.mu.Unlock()
	c.view.limits.Ratio, c.view.limits.Slack = s.RetryRatio, s.RetrySlack
	c.view.board.SetBound(s.LoadMultiple, s.LoadSlack, s.ColdMultiple, s.ColdSlack)
}

// ReceiveDigest takes in another router's digest.
func (c *Control) ReceiveDigest(ctx context.Context, from string, d *peerv1.Digest) {
	c.post(ctx, fleet.DigestIn{From: fleet.Address(from), Digest: d})
}

// query runs f on the control goroutine and waits for it.
func (c *Control) query(f func(now time.Time)) {
	done := make(chan struct{})
	c.do(func(now time.Time) {
		f(now)
		close(done)
	})
	select {
	case <-done:
	case <-c.stopped:
	}
}

func addresses(in []string) []fleet.Address {
	out := make([]fleet.Address, len(in))
	for i, a := range in {
		out[i] = fleet.Address(a)
	}
	return out
}

func texts(in []fleet.Address) []string {
	out := make([]string, len(in))
	for i, a := range in {
		out[i] = string(a)
	}
	return out
}
