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

// TickInterval is how often the core expects a Tick.
const TickInterval = 50 * time.Millisecond

// Settings configure a Core.
type Settings struct {
	Self        uint32
	Incarnation uint64
	Routers     []uint32 // every listed router, Self included
	Seed        uint64

	GossipInterval   time.Duration
	GossipFanout     int
	PollInterval     time.Duration
	SuspectTimeout   time.Duration
	FreshnessTimeout time.Duration

	// ReleaseDelay is how long the release of a ticket may wait for an ask to travel
	// with. It saves a call per request in a large fleet, whose owners' margin then
	// allows for the releases that wait.
	ReleaseDelay time.Duration

	Ledger ledger.Settings
}

// DefaultSettings returns the settings of router self in a fleet.
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
	arrived RequestArrived
	pool    string
	granted uint64 // target UID
}

// Core is the state of one router. It is not safe for concurrent use: the
// control goroutine owns it.
type Core struct {
	settings Settings
	rand     *rand.Rand

	config  *config.State
	table   *routing.Table
	members *member.View

	ledgers  map[string]*ledger.Ledger
	clients  map[string]*ticket.Client
	requests map[uint64]*request
	budgets  map[string]*retry.Budget

	// failedOwner holds the time until which an owner that left exchanges
	// unanswered is passed over, although its heartbeats may still arrive by
	// way of others.
	failedOwner map[uint32]time.Time

	nextGossip time.Time
	nextPoll   time.Time
	nextProbe  time.Time
	storeRead  time.Time
	fromStore  bool
	pulling    time.Time // when the pull under way began; zero if none
	leaving    bool
	ready      Readiness
	readySent  bool

	repeats []repeated
	actions []Action
}

// repeated is a failed message that is to be sent again.
type repeated struct {
	due  time.Time
	send CallPeer
}

// New returns a Core that has no configuration yet.
func New(now time.Time, s Settings) *Core {
	rnd := rand.New(rand.NewPCG(s.Seed, uint64(s.Self)))
	c := &Core{
		settings:    s,
		rand:        rnd,
		config:      config.New(),
		table:       routing.Build(0, nil),
		members:     member.New(now, s.Self, s.Incarnation, s.Routers, s.SuspectTimeout, rnd),
		ledgers:     make(map[string]*ledger.Ledger),
		clients:     make(map[string]*ticket.Client),
		requests:    make(map[uint64]*request),
		budgets:     make(map[string]*retry.Budget),
		failedOwner: make(map[uint32]time.Time),
	}
	if len(s.Routers) > 1 {
		c.nextPoll = now.Add(c.jittered(firstPoll))
	}
	return c
}

// firstPoll is how long a starting router leaves its peers the time to hand it the
// configuration. A peer's compressed answer costs a fraction of reading every row
// from the table service, which 31 routers of a new data centre would do at once.
const firstPoll = 400 * time.Millisecond

// Step takes one event and returns the actions that follow. The slice is valid
// until the next call.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.actions = c.actions[:0]
	switch ev := ev.(type) {
	case RequestArrived:
		c.arrived(now, ev)
	case RequestEnded:
		c.ended(ev)
	case LoadReported:
		c.reported(now, ev)
	case CallReceived:
		c.callIn(now, ev)
	case CallCompleted:
		c.callOut(now, ev)
	case StoreReadCompleted:
		c.storeWasRead(now, ev)
	case Tick:
		c.tick(now)
	case Shutdown:
		c.leaving = true
		c.members.MarkLeaving()
		c.announce(now)
	}
	c.exchange(now)
	c.updateReady(now)
	return c.actions
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// Table returns the routing table in force.
func (c *Core) Table() *routing.Table { return c.table }

// Revision returns the configuration revision in force.
func (c *Core) Revision() uint64 { return c.config.Revision() }

// Revisions returns the last known revision of every listed router.
func (c *Core) Revisions() map[uint32]uint64 {
	out := c.members.Revisions()
	out[c.settings.Self] = c.config.Revision()
	return out
}

// IsIncarnationAlive reports whether a process of a router may still run: its
// heartbeats arrive and it has not restarted.
func (c *Core) IsIncarnationAlive(now time.Time, id uint32, incarnation uint64) bool {
	return c.members.IsAlive(now, id) && c.members.Incarnation(id) == incarnation
}

// OpenRequests returns the number of requests that wait or run.
func (c *Core) OpenRequests() int { return len(c.requests) }

// updateReady decides whether this router may take new work. One that has
// neither read the store nor heard from a majority for a while may miss a drain
// or a change that is in force elsewhere: callers would be sent to a target that
// is already gone. It refuses until it is sure again.
func (c *Core) updateReady(now time.Time) {
	next := Readiness{Ready: true}
	switch {
	case c.leaving:
		next = Readiness{Reason: code.ShuttingDown}
	case c.config.Revision() == 0 || !c.current(now):
		next = Readiness{Reason: code.NotReady}
	case !c.fresh(now):
		next = Readiness{Reason: code.StaleConfig}
	}
	if next != c.ready || !c.readySent {
		c.ready, c.readySent = next, true
		c.emit(next)
		if next.Ready {
			c.announce(now)
		}
	}
}

// current reports whether the first configuration is known to be up to date: it
// came from the store, or a majority has been heard and nobody has a higher one.
func (c *Core) current(now time.Time) bool {
	if c.fromStore {
		return true
	}
	highest, _ := c.members.HighestRevision()
	return c.members.HasHeardMajority(now, c.settings.FreshnessTimeout) && c.config.Revision() >= highest
}

func (c *Core) fresh(now time.Time) bool {
	if !c.storeRead.IsZero() && now.Sub(c.storeRead) <= c.settings.FreshnessTimeout {
		return true
	}
	return c.members.HasHeardMajority(now, c.settings.FreshnessTimeout)
}

// jittered returns a period of up to a quarter more or less than d. Without it
// the timers of many routers fall into step after an outage and their reads
// arrive at the store together.
func (c *Core) jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*c.rand.Float64()))
}

func (c *Core) tick(now time.Time) {
	if !now.Before(c.nextGossip) {
		c.nextGossip = now.Add(c.jittered(c.settings.GossipInterval))
		c.gossip(now)
	}
	if !now.Before(c.nextPoll) {
		c.nextPoll = now.Add(c.jittered(c.settings.PollInterval))
		c.emit(ReadStore{AfterRevision: c.config.Revision()})
	}
	c.expire(now)
	c.sendRepeats(now)
	c.followOwners(now)
	for _, name := range c.ledgerNames() {
		c.dropSilent(now, name)
		c.deliver(now, name, c.ledgers[name].Tick(now))
	}
	if !now.Before(c.nextProbe) {
		c.nextProbe = now.Add(c.jittered(probeInterval))
		c.probe(now)
	}
	c.pullIfBehind(now)
}

// dropSilent removes the followers of a ledger that have gone silent.
func (c *Core) dropSilent(now time.Time, pool string) {
	l := c.ledgers[pool]
	for _, id := range l.SilentFollowers(now.Add(-c.settings.SuspectTimeout)) {
		if !c.members.IsAlive(now, id) {
			c.deliver(now, pool, l.RemoveFollower(now, id, false))
			c.nextProbe = now // its ghosts hold places until the targets report
		}
	}
}

// probeInterval is the mean time between two looks at the targets' own counts,
// while a ledger needs them.
const probeInterval = 500 * time.Millisecond

// probe asks for the counts of the targets of ledgers that need them. In quiet
// times none does, so probes cost nothing. Plain services report no load, and a
// probe would be a request to their application.
func (c *Core) probe(now time.Time) {
	for _, name := range c.ledgerNames() {
		p, ok := c.table.Pool(name)
		if !ok || p.Spec.Protocol != resource.ProtocolModel || !c.ledgers[name].NeedsLoadReports(now) {
			continue
		}
		for _, t := range p.Targets {
			c.emit(ProbeTarget{Pool: name, Target: t})
		}
	}
}

func (c *Core) gossip(now time.Time) { c.gossipWith(now, c.settings.GossipFanout) }

// announce tells every router at once that this one is ready or is leaving.
// Spread by gossip the news takes seconds, in which some routers follow one owner
// and some another, and each owner has only a share of the places.
func (c *Core) announce(now time.Time) { c.gossipWith(now, c.members.Size()) }

func (c *Core) gossipWith(now time.Time, partners int) {
	c.members.AdvanceHeartbeat(now, c.config.Revision())
	for _, to := range c.members.RandomPeers(partners) {
		c.emit(CallPeer{To: to, Message: &peerv1.GossipRequest{
			Protocol: ticket.ProtocolVersion, Router: c.settings.Self, Heartbeats: c.members.Heartbeats(),
		}})
	}
}

// TicketCounts returns the requests that this router, as an owner, counts against each
// target of a pool.
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
