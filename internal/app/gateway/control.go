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
	"github.com/hemlockdyke/hemlockdyke/internal/core/route"
	"github.com/hemlockdyke/hemlockdyke/internal/core/warmup"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

const (
	// maxRetentionShare and minRetentionShare bound the fraction of MaxDepartureDelay for which a target remains in use
	// after its removal from the target list, see removalRetention.
	maxRetentionShare = 0.35
	minRetentionShare = 0.1
	// outageRetention is how long targets remain in use if they are removed from the target list
	// during a store outage or just after it, since their entries may only have expired. It is also
	// how long after the outage this applies: by then, the entries of running targets are back.
	outageRetention = 2500 * time.Millisecond
	// storeCallTimeout bounds calls to the store that do not wait for changes.
	storeCallTimeout = 2 * time.Second
)

// Control owns the control state of a router. Its methods are safe for concurrent use.
type Control struct {
	settings Settings
	traffic  *trafficState
	paths    *pathChecker
	store    Store
	decoder  Decoder
	peers    Peers
	upstream Upstream
	log      *eventlog.Log
	now      func() time.Time

	inbox   chan func(now time.Time)
	stopped chan struct{}

	// The fields below are owned by the control goroutine, except copyServer, routerListRead and
	// suspectsChanged, which are safe for concurrent use.
	ctx            context.Context // passed to Run
	core           *fleet.Core
	targetSet      *placement.TargetSet
	cachedTargets  *targetCache
	copyServer     *copyServer
	rejections     *rejectionLog
	departures     departureQueue
	cancelRead     [fleet.TableCount]context.CancelFunc
	readCtx        [fleet.TableCount]context.Context
	desiredVersion uint64       // version of the applied desired state
	maxAlive       int          // largest number of routers alive at once
	aliveRouters   atomic.Int64 // other routers that are alive; safe for concurrent use
	startedAt      time.Time
	// budgetsSince is when the retry budgets began. budgetsUnused is true if no retry can have been counted before.
	budgetsSince     time.Time
	budgetsUnused    bool
	routerListRead   atomic.Bool // the store's router list has been read at least once
	otherRouters     []string    // other routers known to placement; nil if not known yet
	desiredAppliedAt time.Time
	evacuatedCount   int // number of evacuated data centres
	targetsChangedAt time.Time

	poisonReportPending bool          // poison reports from other routers must be forwarded at once
	suspectsChanged     chan struct{} // wakes maintainStoredSuspects after a change
}

// inboxSize is the capacity of the control goroutine's inbox. Senders block when it is full.
const inboxSize = 256

// NewControl returns a Control. Run starts it.
func NewControl(s Settings, store Store, decoder Decoder, peers Peers, up Upstream, log *eventlog.Log, now func() time.Time) *Control {
	incarnation := rand.Uint64()
	placementSettings := placement.DefaultSettings(s.DataCentre)
	placementSettings.LoadMultiple, placementSettings.LoadSlack = s.LoadMultiple, s.LoadSlack
	placementSettings.ColdMultiple, placementSettings.ColdSlack = s.ColdMultiple, s.ColdSlack
	placementSettings.ScheduleByWork = s.ScheduleByWork
	c := &Control{
		startedAt: now(), budgetsSince: now(), budgetsUnused: s.FirstStart,
		settings: s, store: store, decoder: decoder, peers: peers, upstream: up, log: log, now: now,
		traffic: &trafficState{
			balancer:     placement.New(placementSettings, rand.New(rand.NewPCG(incarnation, 1))),
			gates:        make(map[string]*admission.Gate),
			retryBudgets: make(map[string]*retry.Window), retrySpan: s.RetrySpan,
			retryLimits:  retry.Limits{Ratio: s.RetryRatio, Slack: s.RetrySlack, Routers: initialSlackSharers(s.FirstStart)},
			openAttempts: newAttemptRegistry(), path: newPathState(rand.New(rand.NewPCG(incarnation, 2))), poisonGuard: newPoisonGuard(s.Address, s.FirstStart),
			streams: newStreamRegistry(peers, log, now), prefill: newPrefillState(s.Address), shedding: newSheddingState(s.ScheduleByWork),
			memory: s.account(now),
		},
		suspectsChanged: make(chan struct{}, 1),
		inbox:           make(chan func(time.Time), inboxSize), stopped: make(chan struct{}),
		core: fleet.New(now(), fleet.Settings{
			Self: fleet.Address(s.Address), Incarnation: incarnation, Seed: rand.Uint64(), ReadStoreAtStart: s.ReadStoreAtStart,
			DataCentre: s.DataCentre, Strength: s.Strength, MaxApplyDelay: s.MaxApplyDelay, MaxDepartureDelay: s.MaxDepartureDelay,
		}),
		copyServer:    newCopyServer(fleet.NewCopyBudget(now(), s.LinkBytesPerSecond)),
		targetSet:     placement.NewTargetSet(),
		cachedTargets: newTargetCache(decoder),
		rejections:    newRejectionLog(log),
	}
	c.traffic.serving, c.traffic.endServing = context.WithCancelCause(context.Background())
	c.paths = &pathChecker{dataCentre: s.DataCentre, traffic: c.traffic, upstream: up, log: log, now: now}
	return c
}

// Run processes events until ctx ends.
func (c *Control) Run(ctx context.Context) {
	defer close(c.stopped)
	for t := range c.readCtx {
		c.readCtx[t], c.cancelRead[t] = context.WithCancel(ctx)
		defer func() { c.cancelRead[t]() }()
	}
	c.ctx = ctx
	go c.maintainRegistration(ctx)
	go c.maintainStoredSuspects(ctx)
	if len(c.settings.Seeds) > 0 {
		c.handleEvent(ctx, c.now(), fleet.AddressesDiscovered{Addresses: toFleetAddresses(c.settings.Seeds)})
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
		case task := <-c.inbox:
			task(c.now())
		}
	}
}

// ConnectionLimits returns the limits for callers' connections in the desired state; none before there is one.
func (c *Control) ConnectionLimits() route.ConnectionLimits {
	if table := c.traffic.table.Load(); table != nil {
		return table.Connections
	}
	return route.ConnectionLimits{}
}

// AliveRouters returns the number of other routers that are alive.
func (c *Control) AliveRouters() int { return int(c.aliveRouters.Load()) }

// tick runs the periodic work. It is called every fleet.TickInterval.
func (c *Control) tick(ctx context.Context, now time.Time) {
	c.tickPoisonGuard(now)
	content := c.traffic.digestContent(now)
	content.UrgentReports = c.takeUrgentReports(now)
	c.handleEvent(ctx, now, content)
	c.traffic.mu.Lock()
	c.traffic.balancer.ExpireReports(now)
	c.traffic.shedding.expire(now)
	c.traffic.shedding.routers = c.core.AliveCount(now) + 1
	c.traffic.mu.Unlock()
	if c.targetSet.RemoveExpired(now, c.targetRetention(now)) {
		c.publishTargets(now)
	}
	c.probeExitedTargets(ctx, now)
	c.tickPath(now)
	c.updateOtherRouters(now)
	near, far := c.core.StreamKeepers(now)
	c.traffic.streams.setKeepers(addressStrings(near), addressStrings(far))
	c.traffic.prefill.setOthers(now, c.core.AliveRouters(now))
	c.upstream.Prune(c.targetSet.HasLifetime)
	c.updateSlackSharers(now)
	c.aliveRouters.Store(int64(c.core.AliveCount(now)))
}

// removalRetention returns how long targets remain in use after their removal from the target list. The rest of maxDelay
// is left for the removal to reach all routers, and for the tick that ends their use.
func removalRetention(maxDelay time.Duration) time.Duration {
	left := maxDelay - fleet.MaxNoticeDelay - fleet.TickInterval
	shortest, longest := minRetentionShare*float64(maxDelay), maxRetentionShare*float64(maxDelay)
	return time.Duration(min(max(float64(left), shortest), longest))
}

// targetRetention returns how long targets remain in use after their removal from the target list.
func (c *Control) targetRetention(now time.Time) placement.Retention {
	retention := placement.Retention{AfterRemoval: removalRetention(c.settings.MaxDepartureDelay)}
	outage := c.core.InStoreOutage(now)
	if outage {
		start, end := c.core.LastOutage()
		retention.AfterOutageRemoval, retention.OutageStart, retention.OutageEnd = outageRetention, start, end.Add(outageRetention)
	}
	if ablate.IsOff(ablate.RemovalGrace) {
		retention = placement.Retention{}
	}
	c.traffic.retentionNanos.Store(int64(max(retention.AfterRemoval, retention.AfterOutageRemoval)))
	c.traffic.storeOutage.Store(outage)
	return retention
}

// updateOtherRouters passes the known routers to placement once warmup.StartupDelay is over. A
// router to which no other is alive waits until it has read the store's router list. Otherwise
// partitioned routers would each assume that they are the only one.
func (c *Control) updateOtherRouters(now time.Time) {
	if now.Sub(c.startedAt) < warmup.StartupDelay || (c.otherRouters == nil && !c.routerListRead.Load() && c.core.AliveCount(now) == 0) {
		return
	}
	if known := addressStrings(c.core.PeerAddresses()); c.otherRouters == nil || !slices.Equal(known, c.otherRouters) {
		c.otherRouters = known
		c.traffic.setFleet(warmup.NewFleet(c.settings.Address, known))
	}
}

// postEvent queues an event for the control goroutine.
func (c *Control) postEvent(ctx context.Context, ev fleet.Event) {
	c.submit(func(now time.Time) { c.handleEvent(ctx, now, ev) })
}

// submit queues f for the control goroutine. It drops f if that goroutine has stopped.
func (c *Control) submit(f func(now time.Time)) {
	select {
	case c.inbox <- f:
	case <-c.stopped:
	}
}

// handleEvent passes an event to the core and executes the resulting actions.
func (c *Control) handleEvent(ctx context.Context, now time.Time, ev fleet.Event) {
	for _, a := range c.core.Step(now, ev) {
		c.execute(ctx, now, a)
	}
	c.updateStaleness(now)
	if c.departures.hasUnsent || c.poisonReportPending {
		c.handleEvent(ctx, now, fleet.UrgentReportsPending{UrgentReports: c.takeUrgentReports(now)})
	}
}

// takeUrgentReports returns the departures and poison reports for the next digest.
func (c *Control) takeUrgentReports(now time.Time) fleet.UrgentReports {
	c.poisonReportPending = false
	reports := c.traffic.poisonGuard.takeReport(now)
	reports.Departures = c.departures.takeBatch()
	return reports
}

// reportDeparture sends a departure detected by request traffic to the other routers at once.
func (c *Control) reportDeparture(d placement.Departure) {
	c.submit(func(now time.Time) {
		c.departures.add([]placement.Departure{d})
		c.handleEvent(c.ctx, now, fleet.UrgentReportsPending{UrgentReports: c.takeUrgentReports(now)})
	})
}

func (c *Control) execute(ctx context.Context, now time.Time, a fleet.Action) {
	switch a := a.(type) {
	case fleet.SendDigest:
		c.peers.SendDigest(addressStrings(a.To), a.Digest, a.RecipientReports)
	case fleet.ReadChanges:
		go c.awaitChanges(ctx, c.readCtx[a.Table], a)
	case fleet.ReadTable:
		go c.readTable(ctx, c.readCtx[a.Table], a.Table, a.MaxRows)
	case fleet.CancelReadChanges:
		c.cancelRead[a.Table]()
		c.readCtx[a.Table], c.cancelRead[a.Table] = context.WithCancel(ctx)
	case fleet.RequestCopy:
		go c.requestCopy(ctx, a)
	case fleet.TableChanged:
		c.applyTable(now, a)
	case fleet.ReportReceived:
		c.applyReport(now, a)
	case fleet.ReportsDiscarded:
		c.traffic.forgetSources(a.Sources)
	case fleet.SuspectsSynced:
		c.traffic.poisonGuard.markSuspectsSynced()
		c.updateReady(now)
	case fleet.StreamsMissed:
		c.traffic.streams.reportAgain()
	case fleet.RoleChanged:
		c.log.Line(eventlog.RoleChanged).Bool("relay", a.Relay).Str("feeder", string(a.Feeder)).Msg("")
	case fleet.PeerUp:
		c.log.Line(eventlog.PeerUp).Str("peer", string(a.Peer)).Bool("restarted", a.Restarted).Msg("")
	case fleet.PeerDown:
		c.traffic.forgetSources([]uint32{a.Source})
		c.log.Line(eventlog.PeerDown).Str("peer", string(a.Peer)).Dur("silent", a.SilentFor).Msg("")
	case fleet.StoreStateChanged:
		c.log.Line(eventlog.StoreChanged).Bool("reading", a.Reading).Bool("reachable", a.Reachable).Msg("")
	}
}

// applyReport applies what a source reported: loads, outcomes, prefix reads, departures and poison
// reports.
func (c *Control) applyReport(now time.Time, a fleet.ReportReceived) {
	var ejected []string
	c.traffic.mu.Lock()
	if !a.Partial {
		ejected = c.traffic.balancer.ReceiveReport(now, a.Source, a.Loads, a.Outcomes)
		c.traffic.shedding.receive(now, a.Source, a.Teams)
		c.traffic.loadsReportedAt = now
	}
	c.traffic.balancer.ReceivePrefixReads(now, a.PrefixReads)
	c.traffic.mu.Unlock()
	c.traffic.prefill.recordReports(a.PrefixReads)
	c.traffic.streams.receive(a.Streams)
	c.applyDepartures(now, a.Departures)
	if !a.Poison.Empty() {
		c.poisonReportPending = c.traffic.poisonGuard.receiveReport(now, a.Poison) || c.poisonReportPending
	}
	for _, id := range ejected {
		c.log.Line(eventlog.TargetSuspended).Str("target", id).Str("why", "outlier").Msg("")
	}
}

// Ready reports whether the load balancer should send new connections to this router.
func (c *Control) Ready() bool {
	return c.traffic.ready.Load() && !c.traffic.shuttingDown.Load() && !c.traffic.stale.Load()
}

// ApplySettings applies the retry budget, the load bounds, the delays and the seeds in s. All other settings need a
// restart: they are the process's addresses, its data centre and its VM's capacity.
func (c *Control) ApplySettings(s Settings) {
	c.submit(func(now time.Time) {
		if c.settings.RetrySpan != s.RetrySpan {
			c.settings.RetrySpan, c.budgetsSince, c.budgetsUnused = s.RetrySpan, now, false
			c.traffic.resetRetryBudgets(s.RetrySpan)
		}
		c.settings.MaxApplyDelay, c.settings.MaxDepartureDelay = s.MaxApplyDelay, s.MaxDepartureDelay
		c.core.SetMaxDelays(s.MaxApplyDelay, s.MaxDepartureDelay)
		c.handleEvent(c.ctx, now, fleet.AddressesDiscovered{Addresses: toFleetAddresses(s.Seeds)})
	})
	c.traffic.mu.Lock()
	defer c.traffic.mu.Unlock()
	c.traffic.retryLimits.Ratio, c.traffic.retryLimits.Slack = s.RetryRatio, s.RetrySlack
	c.traffic.balancer.SetLoadBounds(s.LoadMultiple, s.LoadSlack, s.ColdMultiple, s.ColdSlack)
}

// ReceiveDigest processes a digest from another router.
func (c *Control) ReceiveDigest(ctx context.Context, from string, d *peerv1.Digest) {
	c.postEvent(ctx, fleet.DigestReceived{From: fleet.Address(from), Digest: d})
}

// submitAndWait runs f on the control goroutine. It returns when f has finished or the control
// goroutine has stopped.
func (c *Control) submitAndWait(f func(now time.Time)) {
	done := make(chan struct{})
	c.submit(func(now time.Time) {
		f(now)
		close(done)
	})
	select {
	case <-done:
	case <-c.stopped:
	}
}

func toFleetAddresses(in []string) []fleet.Address {
	out := make([]fleet.Address, len(in))
	for i, a := range in {
		out[i] = fleet.Address(a)
	}
	return out
}

func addressStrings(in []fleet.Address) []string {
	out := make([]string, len(in))
	for i, a := range in {
		out[i] = string(a)
	}
	return out
}
