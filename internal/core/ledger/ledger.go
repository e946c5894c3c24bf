// Package ledger is the owner's side of load bounding: it counts every open
// request of one pool per target, grants tickets within the bound, and queues
// what has to wait.
//
// The rule that keeps the bound while views differ: a target's count is taken
// high, the pool's mean is taken low. Tickets of a router that went silent become
// ghosts: they count against their targets, but towards the mean only once a
// target's own report shows that it still works on them. Each router follows one
// owner at a time, so when two owners exist, the tickets that feed their means
// are disjoint and the two bounds add up to the bound of the whole pool, plus at
// most one request for rounding.
package ledger

import (
	"math/rand/v2"
	"slices"
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fairqueue"
	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
	"github.com/hemlockdyke/hemlockdyke/internal/core/routing"
)

// Settings tune a Ledger.
type Settings struct {
	// FleetSize is the number of listed routers. An owner that only some of them
	// follow uses only their share of MaxPerTarget.
	FleetSize int
	// MeanMargin is taken off the pool's open count before the mean is formed. It
	// covers releases that are still on their way: without it the owner's mean is
	// higher than the true one for a round trip, and a grant in that time can be
	// one request over the bound.
	MeanMargin int
	// ReleaseDelay is how long routers let releases wait. The margin grows by what is
	// released in that time.
	ReleaseDelay time.Duration
	// OrphanTimeout is how long tickets of a departed router still count against their
	// targets while no report confirms them.
	OrphanTimeout time.Duration
	// MovedOrphanTimeout is the same for tickets of a router that follows another
	// owner, and the longest that a confirmed ghost is kept.
	MovedOrphanTimeout time.Duration
	// RebuildTimeout bounds how long a new owner waits for inventories during which
	// it also counts the targets' own reports.
	RebuildTimeout time.Duration
	// MaxQueued is the longest queue; beyond it asks are refused.
	MaxQueued int
	// ChatHistorySize is the number of chats whose last target is remembered, per
	// generation of two; 0 disables it.
	ChatHistorySize int
	// CacheWaitTimeout is how long an ask may wait for the target that holds its
	// chat's cache before it spills to another one; 0 disables the wait.
	CacheWaitTimeout time.Duration
}

// DefaultSettings returns the settings used by the router.
func DefaultSettings(fleetSize int) Settings {
	return Settings{
		FleetSize:     fleetSize,
		MeanMargin:    4,
		OrphanTimeout: 5 * time.Second,

		MovedOrphanTimeout: time.Minute,
		RebuildTimeout:     3 * time.Second,
		MaxQueued:          10000,
		ChatHistorySize:    100_000,

		CacheWaitTimeout: 300 * time.Millisecond,
	}
}

// candidates is how many targets are tried in rendezvous order before the least
// loaded one is taken.
const candidates = 8

// The shares of MaxPerTarget that a class leaves to higher classes.
const (
	normalReserve = 0.05
	bulkReserve   = 0.25
)

// TeamLimiter gives the ledger a team's weight and fleet-wide limit by UID.
type TeamLimiter interface {
	// TeamLimits returns the weight and the limit, 0 for none.
	TeamLimits(uid uint64) (weight, maxOutstanding int)
}

// Delivery is a grant or refusal for an ask that had to wait.
type Delivery struct {
	Router      uint32
	Incarnation uint64
	Grant       *peerv1.Grant
}

type ticket struct {
	target uint64
	team   uint64
}

// follower is a router that asks this owner.
type follower struct {
	incarnation uint64
	sequence    uint64
	reply       *peerv1.ExchangeResponse
	tickets     map[uint64]ticket
	heard       time.Time // when it last sent an exchange
}

// Ledger counts the open requests of one pool. It is not safe for concurrent use.
type Ledger struct {
	settings  Settings
	pool      *routing.Pool
	teams     TeamLimiter
	rand      *rand.Rand
	targets   map[uint64]*target
	ordered   []*target // as pool.Targets; spares the map on the way of each ask
	followers map[uint32]*follower
	ghosts    []ghost
	teamOpen  map[uint64]int
	queue     *fairqueue.Queue
	patient   []fairqueue.Item // wait for a target that holds their chat's cache
	memory    memory
	drain     rate
	created   time.Time
	top       rendezvous.Top
}

// New returns a Ledger for a pool. It starts in rebuild.
func New(now time.Time, s Settings, pool *routing.Pool, teams TeamLimiter, rnd *rand.Rand) *Ledger {
	l := &Ledger{
		settings:  s,
		teams:     teams,
		rand:      rnd,
		targets:   make(map[uint64]*target),
		followers: make(map[uint32]*follower),
		teamOpen:  make(map[uint64]int),
		queue:     fairqueue.New(),
		memory:    newMemory(s.ChatHistorySize),
		created:   now,
	}
	for _, t := range pool.Targets {
		l.targets[t.UID] = &target{ramped: true}
	}
	l.SetPool(pool, teams)
	return l
}

// SetPool puts a new configuration of the pool in force. Targets that joined
// start slowly: a burst on a target that has nothing cached and may not be up
// yet would fail or be late.
func (l *Ledger) SetPool(pool *routing.Pool, teams TeamLimiter) {
	l.pool = pool
	l.teams = teams
	l.ordered = make([]*target, len(pool.Targets))
	for i, t := range pool.Targets {
		if _, ok := l.targets[t.UID]; !ok {
			l.targets[t.UID] = &target{}
		}
		l.ordered[i] = l.targets[t.UID]
	}
}

// FollowerIncarnation returns the incarnation of a follower, 0 if it is none.
func (l *Ledger) FollowerIncarnation(router uint32) uint64 {
	if f, ok := l.followers[router]; ok {
		return f.incarnation
	}
	return 0
}

// HandleExchange handles one message of a follower. It is idempotent: a repeated
// sequence number gets the recorded reply, since a router that lost the reply
// sends again, and a second count would leak a ticket.
func (l *Ledger) HandleExchange(now time.Time, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, []Delivery, error) {
	f, err := l.follower(now, req)
	switch {
	case err != nil:
		return nil, nil, err
	case f == nil:
		return &peerv1.ExchangeResponse{Sequence: req.GetSequence(), WantInventory: true}, nil, nil
	case f.reply != nil && req.GetSequence() <= f.sequence:
		return f.reply, nil, nil
	}
	l.learn(now, f, req)
	resp := &peerv1.ExchangeResponse{Sequence: req.GetSequence()}
	for _, a := range req.GetAsks() {
		if g := l.ask(now, req.GetRouter(), f, a); g != nil {
			resp.Grants = append(resp.Grants, g)
		}
	}
	var others []Delivery
	for _, d := range l.serve(now) {
		if d.Router == req.GetRouter() {
			resp.Grants = append(resp.Grants, d.Grant)
		} else {
			others = append(others, d)
		}
	}
	f.sequence, f.reply = req.GetSequence(), resp
	return resp, others, nil
}

// follower returns the follower that an exchange comes from, nil if its
// inventory is needed first. An earlier process of a router is refused, and the
// tickets of an earlier process become ghosts.
func (l *Ledger) follower(now time.Time, req *peerv1.ExchangeRequest) (*follower, error) {
	router, incarnation := req.GetRouter(), req.GetIncarnation()
	f := l.followers[router]
	if f != nil && incarnation < f.incarnation {
		return nil, code.New(code.OldIncarnation, "router %d has restarted", router)
	}
	if f != nil && incarnation > f.incarnation {
		l.depart(now, router, false)
		f = nil
	}
	if f == nil {
		if !req.GetHasInventory() {
			return nil, nil
		}
		f = &follower{incarnation: incarnation, tickets: make(map[uint64]ticket)}
		l.followers[router] = f
		l.dropGhosts(func(g ghost) bool { return g.router == router && g.incarnation == incarnation })
	}
	f.heard = now
	return f, nil
}

// learn takes in what a follower tells: its inventory, where its chats ran, and
// the tickets that it gives back.
func (l *Ledger) learn(now time.Time, f *follower, req *peerv1.ExchangeRequest) {
	if req.GetHasInventory() {
		l.reconcile(f, req)
	}
	for _, p := range req.GetPlacements() {
		at := now.Add(-time.Duration(p.GetAgeSeconds()) * time.Second)
		l.memory.put(p.GetChat(), visit{target: p.GetTarget(), at: at})
	}
	for _, r := range req.GetReleases() {
		l.release(now, req.GetRouter(), f, r)
	}
}

// reconcile makes the owner's tickets of a router equal to the router's
// inventory. Tickets for asks that the router repeats are kept: their grant may
// still be on its way.
func (l *Ledger) reconcile(f *follower, req *peerv1.ExchangeRequest) {
	keep := make(map[uint64]bool, len(req.GetInventory())+len(req.GetAsks()))
	for _, a := range req.GetAsks() {
		keep[a.GetId()] = true
	}
	for _, t := range req.GetInventory() {
		keep[t.GetId()] = true
		if _, ok := f.tickets[t.GetId()]; !ok {
			l.open(f, t.GetId(), ticket{target: t.GetTarget(), team: t.GetTeam()})
		}
	}
	for id := range f.tickets {
		if !keep[id] {
			l.close(f, id)
		}
	}
}

func (l *Ledger) open(f *follower, id uint64, t ticket) {
	f.tickets[id] = t
	l.target(t.target).open++
	l.teamOpen[t.team]++
}

func (l *Ledger) close(f *follower, id uint64) {
	t := f.tickets[id]
	delete(f.tickets, id)
	l.target(t.target).open--
	if l.teamOpen[t.team]--; l.teamOpen[t.team] <= 0 {
		delete(l.teamOpen, t.team)
	}
}

func (l *Ledger) target(uid uint64) *target {
	t, ok := l.targets[uid]
	if !ok {
		t = &target{ramped: true}
		l.targets[uid] = t
	}
	return t
}

func (l *Ledger) release(now time.Time, router uint32, f *follower, r *peerv1.Release) {
	t, ok := f.tickets[r.GetId()]
	if !ok {
		l.withdraw(func(it fairqueue.Item) bool { return it.Router == router && it.ID == r.GetId() })
		return
	}
	l.close(f, r.GetId())
	switch r.GetOutcome() {
	case peerv1.Outcome_OUTCOME_DONE:
		l.drain.observe(now)
		l.target(t.target).succeeded()
	case peerv1.Outcome_OUTCOME_FAILED:
		l.target(t.target).failed(now)
	}
}

// Tick expires ghosts and asks whose deadline has come, and grants what it can.
func (l *Ledger) Tick(now time.Time) []Delivery {
	l.dropGhosts(func(g ghost) bool { return now.Sub(g.since) >= l.ghostLife(g) })
	var out []Delivery
	for _, it := range l.withdraw(func(it fairqueue.Item) bool { return !it.Deadline.After(now) }) {
		f, known := l.followers[it.Router]
		if !known {
			continue
		}
		it.ArrivedAt = now
		refusal := l.refuse(it, code.DeadlineTooShort, l.expectedWait(it))
		out = append(out, Delivery{Router: it.Router, Incarnation: f.incarnation, Grant: refusal})
	}
	return append(out, l.serve(now)...)
}

// SilentFollowers returns the followers that have sent no exchange since a time, in order.
// An exchange shows that its router is alive sooner than heartbeats do, which
// come by way of others.
func (l *Ledger) SilentFollowers(since time.Time) []uint32 {
	var out []uint32
	for id, f := range l.followers {
		if f.heard.Before(since) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// HasNewerExchange reports whether a follower has sent an exchange after a sequence
// number, so that what it said before is out of date.
func (l *Ledger) HasNewerExchange(router uint32, sequence uint64) bool {
	f, ok := l.followers[router]
	return ok && f.sequence > sequence
}

// TicketCount returns the count that the ledger holds against a target.
func (l *Ledger) TicketCount(uid uint64) int { return l.target(uid).held() }
