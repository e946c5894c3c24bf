package router

import (
	"math/rand/v2"
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/config"
	"github.com/hemlockdyke/hemlockdyke/internal/core/ledger"
	"github.com/hemlockdyke/hemlockdyke/internal/core/member"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	"github.com/hemlockdyke/hemlockdyke/internal/core/retry"
	"github.com/hemlockdyke/hemlockdyke/internal/core/routing"
	"github.com/hemlockdyke/hemlockdyke/internal/core/ticket"
)

// TickInterval is the interval at which the core expects Tick events.
const TickInterval = 50 * time.Millisecond

// Settings configures a Core.
type Settings struct {
	Self        uint32
	Incarnation uint64   // higher after every start of the router
	Routers     []uint32 // all listed routers, including Self
	Seed        uint64

	GossipInterval time.Duration
	GossipFanout   int           // peers per gossip round
	PollInterval   time.Duration // of the configuration store
	// SuspectTimeout is how long a router counts as alive after its heartbeat advanced.
	SuspectTimeout time.Duration
	// FreshnessTimeout is how long the configuration counts as fresh after the store was read or
	// after the heartbeats of a majority of routers advanced.
	FreshnessTimeout time.Duration

	// ReleaseDelay is how long the release of a ticket may wait for a request that it can be
	// sent with. In a large fleet this saves a call per request. The release margin of the
	// owners allows for the delay.
	ReleaseDelay time.Duration

	Ledger ledger.Settings
}

// DefaultSettings returns the settings of router self in a fleet of the listed routers.
func DefaultSettings(self uint32, routers []uint32) Settings {
	return Settings{
		Self: self, Incarnation: 1, Routers: routers, Seed: uint64(self),
		GossipInterval: time.Second, GossipFanout: 1,
		PollInterval: 2 * time.Second, SuspectTimeout: 5 * time.Second, FreshnessTimeout: 5 * time.Second,
		Ledger: ledger.DefaultSettings(len(routers)),
	}
}

// request is a request that waits for a ticket or holds one.
type request struct {
	event         RequestArrived
	pool          string
	grantedTarget uint64 // UID of the granted target, 0 while the request waits
}

// Core is the state of one router. It is not safe for concurrent use: the control goroutine owns
// it.
type Core struct {
	settings Settings
	rand     *rand.Rand

	config  *config.State
	table   *routing.Table
	members *member.View

	ledgers      map[string]*ledger.Ledger
	clients      map[string]*ticket.Client
	requests     map[uint64]*request
	retryBudgets map[string]*retry.Budget

	// avoidOwnerUntil holds the time until which a router that left exchanges unanswered is not
	// used as an owner. Its heartbeats may still arrive through other routers.
	avoidOwnerUntil map[uint32]time.Time

	nextGossipAt    time.Time
	nextPollAt      time.Time
	nextProbeAt     time.Time
	storeReadAt     time.Time
	loadedFromStore bool
	pullStartedAt   time.Time // when the pull in flight was started, zero if there is none
	shuttingDown    bool
	readiness       Readiness
	readinessSent   bool

	pendingResends []delayedCall
	actions        []Action
}

// delayedCall is a failed call that is made again at dueAt.
type delayedCall struct {
	dueAt time.Time
	call  CallPeer
}

// New returns a Core that has no configuration yet.
func New(now time.Time, s Settings) *Core {
	rnd := rand.New(rand.NewPCG(s.Seed, uint64(s.Self)))
	c := &Core{
		settings:        s,
		rand:            rnd,
		config:          config.New(),
		table:           routing.Build(0, nil),
		members:         member.New(now, s.Self, s.Incarnation, s.Routers, s.SuspectTimeout, rnd),
		ledgers:         make(map[string]*ledger.Ledger),
		clients:         make(map[string]*ticket.Client),
		requests:        make(map[uint64]*request),
		retryBudgets:    make(map[string]*retry.Budget),
		avoidOwnerUntil: make(map[uint32]time.Time),
	}
	if len(s.Routers) > 1 {
		c.nextPollAt = now.Add(c.jitter(firstPollDelay))
	}
	return c
}

// firstPollDelay gives the peers of a starting router time to send it the configuration before it
// reads the store. A compressed reply of a peer costs a fraction of reading every row from the
// table service, and all 31 routers of a new data centre would read the rows at once.
const firstPollDelay = 400 * time.Millisecond

// Step processes one event and returns the resulting actions. The slice is valid until the next
// call.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.actions = c.actions[:0]
	switch ev := ev.(type) {
	case RequestArrived:
		c.handleRequestArrived(now, ev)
	case RequestEnded:
		c.handleRequestEnded(ev)
	case LoadReported:
		c.handleLoadReport(now, ev)
	case CallReceived:
		c.handleCall(now, ev)
	case CallCompleted:
		c.handleCallCompleted(now, ev)
	case StoreReadCompleted:
		c.handleStoreRead(now, ev)
	case Tick:
		c.handleTick(now)
	case Shutdown:
		c.shuttingDown = true
		c.members.MarkLeaving()
		c.broadcastHeartbeats(now)
	}
	c.sendExchanges(now)
	c.updateReadiness(now)
	return c.actions
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// Table returns the routing table that is applied.
func (c *Core) Table() *routing.Table { return c.table }

// Revision returns the configuration revision that is applied.
func (c *Core) Revision() uint64 { return c.config.Revision() }

// Revisions returns the last known revision of every listed router.
func (c *Core) Revisions() map[uint32]uint64 {
	out := c.members.Revisions()
	out[c.settings.Self] = c.config.Revision()
	return out
}

// IsIncarnationAlive reports whether a process of a router may still be running: the router's
// heartbeats arrive and it has not restarted.
func (c *Core) IsIncarnationAlive(now time.Time, id uint32, incarnation uint64) bool {
	return c.members.IsAlive(now, id) && c.members.Incarnation(id) == incarnation
}

// OpenRequests returns the number of requests that wait for a ticket or hold one.
func (c *Core) OpenRequests() int { return len(c.requests) }

// updateReadiness determines whether this router may accept new requests. A router that has
// neither read the store nor heard from a majority within FreshnessTimeout may miss a drain or
// another applied change, and would send requests to a target that has already exited. It
// refuses new requests until its configuration is known to be fresh.
func (c *Core) updateReadiness(now time.Time) {
	next := Readiness{Ready: true}
	switch {
	case c.shuttingDown:
		next = Readiness{Reason: code.ShuttingDown}
	case c.config.Revision() == 0 || !c.isConfigCurrent(now):
		next = Readiness{Reason: code.NotReady}
	case !c.isConfigFresh(now):
		next = Readiness{Reason: code.StaleConfig}
	}
	if next != c.readiness || !c.readinessSent {
		c.readiness, c.readinessSent = next, true
		c.emit(next)
		if next.Ready {
			c.broadcastHeartbeats(now)
		}
	}
}

// isConfigCurrent reports whether the first configuration is known to be up to date: it came from
// the store, or the heartbeats of a majority of routers advanced within FreshnessTimeout and none
// has a higher revision.
func (c *Core) isConfigCurrent(now time.Time) bool {
	if c.loadedFromStore {
		return true
	}
	highest, _ := c.members.HighestRevision()
	return c.members.HasHeardMajority(now, c.settings.FreshnessTimeout) && c.config.Revision() >= highest
}

// isConfigFresh reports whether the store was read, or the heartbeats of a majority of routers
// advanced, within FreshnessTimeout.
func (c *Core) isConfigFresh(now time.Time) bool {
	if !c.storeReadAt.IsZero() && now.Sub(c.storeReadAt) <= c.settings.FreshnessTimeout {
		return true
	}
	return c.members.HasHeardMajority(now, c.settings.FreshnessTimeout)
}

// jitter returns a random duration within a quarter of d, above or below. Without jitter the
// timers of many routers would synchronise after an outage, and their reads would arrive at the
// store together.
func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*c.rand.Float64()))
}

func (c *Core) handleTick(now time.Time) {
	if !now.Before(c.nextGossipAt) {
		c.nextGossipAt = now.Add(c.jitter(c.settings.GossipInterval))
		c.sendGossip(now)
	}
	if !now.Before(c.nextPollAt) {
		c.nextPollAt = now.Add(c.jitter(c.settings.PollInterval))
		c.emit(ReadStore{AfterRevision: c.config.Revision()})
	}
	c.refuseExpired(now)
	c.resendDueCalls(now)
	c.updateOwners(now)
	for _, name := range c.ledgerPools() {
		c.removeSilentFollowers(now, name)
		c.deliverGrants(now, name, c.ledgers[name].Tick(now))
	}
	if !now.Before(c.nextProbeAt) {
		c.nextProbeAt = now.Add(c.jitter(probeInterval))
		c.probeTargets(now)
	}
	c.pullIfBehind(now)
}

// removeSilentFollowers removes the followers of a ledger that have gone silent.
func (c *Core) removeSilentFollowers(now time.Time, pool string) {
	l := c.ledgers[pool]
	for _, id := range l.SilentFollowers(now.Add(-c.settings.SuspectTimeout)) {
		if !c.members.IsAlive(now, id) {
			c.deliverGrants(now, pool, l.RemoveFollower(now, id, false))
			c.nextProbeAt = now // its orphans hold slots until the targets report
		}
	}
}

// probeInterval is the mean interval between two probes of the targets while a ledger needs
// their load reports.
const probeInterval = 500 * time.Millisecond

// probeTargets requests load reports from the targets of ledgers that need them. Most of the time
// no ledger does, and no probe is sent. Plain services report no load, and a probe would be a
// request to their application.
func (c *Core) probeTargets(now time.Time) {
	for _, name := range c.ledgerPools() {
		p, ok := c.table.Pool(name)
		if !ok || p.Spec.Protocol != resource.ProtocolModel || !c.ledgers[name].NeedsLoadReports(now) {
			continue
		}
		for _, t := range p.Targets {
			c.emit(ProbeTarget{Pool: name, Target: t})
		}
	}
}

func (c *Core) sendGossip(now time.Time) { c.sendHeartbeats(now, c.settings.GossipFanout) }

// broadcastHeartbeats sends the heartbeats to every router when this router becomes ready or shuts
// down. Gossip would take seconds to spread them. During that time the routers would follow
// different owners, each of which may grant only a share of the slots.
func (c *Core) broadcastHeartbeats(now time.Time) { c.sendHeartbeats(now, c.members.Size()) }

// sendHeartbeats advances this router's heartbeat and sends all known heartbeats to randomly chosen
// routers.
func (c *Core) sendHeartbeats(now time.Time, partners int) {
	c.members.AdvanceHeartbeat(now, c.config.Revision())
	for _, to := range c.members.RandomPeers(partners) {
		c.emit(CallPeer{To: to, Message: &peerv1.GossipRequest{
			Protocol: ticket.ProtocolVersion, Router: c.settings.Self, Heartbeats: c.members.Heartbeats(),
		}})
	}
}

// TicketCounts returns the number of tickets that this router, as the owner of a pool, counts
// against each of the pool's targets.
func (c *Core) TicketCounts(pool string) map[uint64]int {
	out := make(map[uint64]int)
	l, ok := c.ledgers[pool]
	p, known := c.table.Pool(pool)
	if !ok || !known {
		return out
	}
	for _, t := range p.Targets {
		out[t.UID] = l.TicketCount(t.UID)
	}
	return out
}
