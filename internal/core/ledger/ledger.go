// Package ledger is the owner's side of load bounding. Each pool has an owner, which is one of
// the routers. The routers that request their tickets from it are its followers. The owner
// counts the pool's open requests per target, grants tickets within the load bound and queues
// the requests that have to wait. A ticket is the right to send one request to one target.
//
// Routers may have different views of the fleet, and the bound must hold nevertheless. The
// ledger therefore overestimates the count of each target and underestimates the mean of the
// pool. The tickets of a router that went silent become orphans. An orphan counts against its
// target, but is included in the mean only when the target reports that it still processes the
// request. Each router follows one owner at a time. If two owners exist, the tickets in their
// means are disjoint, and their two bounds add up to the bound of the whole pool plus at most
// one request for rounding.
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

// Settings configures a Ledger.
type Settings struct {
	// FleetSize is the number of listed routers. If only some of them follow an owner, that
	// owner uses only their share of MaxPerTarget.
	FleetSize int
	// BaseReleaseMargin is the constant part of the release margin, which is subtracted from the
	// pool's open count before the mean is computed. It covers releases that are still on their way
	// to the owner. Without it the owner's mean would exceed the true mean for one round trip, and
	// a grant in that time could exceed the bound by one request.
	BaseReleaseMargin int
	// ReleaseDelay is how long routers delay releases in order to batch them. The release margin
	// grows by twice the number of releases expected in that time.
	ReleaseDelay time.Duration
	// OrphanTimeout is how long the tickets of a departed router count against their targets
	// while no load report confirms them.
	OrphanTimeout time.Duration
	// MaxOrphanTimeout is how long the tickets of a router that follows another owner count against
	// their targets, and how long an orphan is kept that a load report confirms.
	MaxOrphanTimeout time.Duration
	// RebuildTimeout limits how long a new owner waits for the inventories of all routers.
	// During the rebuild the ledger also takes the targets' own load reports into account.
	RebuildTimeout time.Duration
	// MaxQueued is the maximum length of the queue. Further requests are refused.
	MaxQueued int
	// ChatHistorySize is the number of chats per generation whose last targets are remembered.
	// Two generations are kept. 0 disables the history.
	ChatHistorySize int
	// CacheWaitTimeout is how long a request may wait for a target that holds its chat's cache
	// before it is placed on another target. 0 disables the wait.
	CacheWaitTimeout time.Duration
}

// DefaultSettings returns the settings that a router in a fleet of fleetSize listed routers
// uses.
func DefaultSettings(fleetSize int) Settings {
	return Settings{
		FleetSize:         fleetSize,
		BaseReleaseMargin: 4,
		OrphanTimeout:     5 * time.Second,

		MaxOrphanTimeout: time.Minute,
		RebuildTimeout:   3 * time.Second,
		MaxQueued:        10000,
		ChatHistorySize:  100_000,

		CacheWaitTimeout: 300 * time.Millisecond,
	}
}

// rendezvousCandidates is how many targets are tried in rendezvous order before the least loaded
// target is chosen.
const rendezvousCandidates = 8

// The fractions of MaxPerTarget that a priority class reserves for higher classes.
const (
	normalReserve = 0.05
	bulkReserve   = 0.25
)

// TeamLimiter provides the weights and the fleet-wide limits of teams.
type TeamLimiter interface {
	// TeamLimits returns the weight of a team and its limit of open requests. A limit of 0 means
	// that there is none.
	TeamLimits(uid uint64) (weight, maxOutstanding int)
}

// Delivery is a grant or refusal for a request that was queued. It is sent to Router, to the
// process with the given Incarnation.
type Delivery struct {
	Router      uint32
	Incarnation uint64
	Grant       *peerv1.Grant
}

// ticket is a granted ticket that its follower has not released.
type ticket struct {
	target uint64
	team   uint64
}

// follower is the state of a router that requests its tickets from this owner.
type follower struct {
	incarnation    uint64
	sequence       uint64
	lastReply      *peerv1.ExchangeResponse
	tickets        map[uint64]ticket
	lastExchangeAt time.Time
	// failedTargets are the targets at which its requests have failed since its last success.
	failedTargets map[uint64]bool
}

// Ledger counts the open requests of one pool and grants its tickets. It is not safe for
// concurrent use.
type Ledger struct {
	settings       Settings
	pool           *routing.Pool
	teams          TeamLimiter
	rand           *rand.Rand
	targets        map[uint64]*target
	targetsByIndex []*target // in the order of pool.Targets; avoids a map lookup per request
	followers      map[uint32]*follower
	orphans        []orphan
	teamOpen       map[uint64]int
	queue          *fairqueue.Queue
	cacheWaiters   []fairqueue.Item // requests that wait for a target with their chat's cache
	chatHistories  chatHistories
	releaseRate    rate
	createdAt      time.Time
	ranking        rendezvous.Top
}

// New returns a Ledger for a pool. The ledger starts rebuilding: it has no followers yet.
func New(now time.Time, s Settings, pool *routing.Pool, teams TeamLimiter, rnd *rand.Rand) *Ledger {
	l := &Ledger{
		settings:      s,
		teams:         teams,
		rand:          rnd,
		targets:       make(map[uint64]*target),
		followers:     make(map[uint32]*follower),
		teamOpen:      make(map[uint64]int),
		queue:         fairqueue.New(),
		chatHistories: newChatHistories(s.ChatHistorySize),
		createdAt:     now,
	}
	for _, t := range pool.Targets {
		l.targets[t.UID] = &target{warmedUp: true}
	}
	l.SetPool(pool, teams)
	return l
}

// SetPool applies a new configuration of the pool. Targets that joined start cold: a burst of
// requests to a target that has nothing cached and may not be running yet would fail or be late.
func (l *Ledger) SetPool(pool *routing.Pool, teams TeamLimiter) {
	l.pool = pool
	l.teams = teams
	l.targetsByIndex = make([]*target, len(pool.Targets))
	for i, t := range pool.Targets {
		if _, ok := l.targets[t.UID]; !ok {
			l.targets[t.UID] = &target{}
		}
		l.targetsByIndex[i] = l.targets[t.UID]
	}
}

// FollowerIncarnation returns the incarnation of a follower, or 0 if the router is not a
// follower.
func (l *Ledger) FollowerIncarnation(router uint32) uint64 {
	if f, ok := l.followers[router]; ok {
		return f.incarnation
	}
	return 0
}

// HandleExchange processes one exchange of a follower. It returns the reply and the grants for
// other followers that became possible. It is idempotent: a repeated sequence number gets the
// recorded reply. A router that did not receive the reply sends the exchange again, and counting it
// twice would leak a ticket. The error is a *code.Error with code.OldIncarnation if the router has
// restarted since.
func (l *Ledger) HandleExchange(now time.Time, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, []Delivery, error) {
	f, err := l.registerFollower(now, req)
	switch {
	case err != nil:
		return nil, nil, err
	case f == nil:
		return &peerv1.ExchangeResponse{Sequence: req.GetSequence(), WantInventory: true}, nil, nil
	case f.lastReply != nil && req.GetSequence() <= f.sequence:
		return f.lastReply, nil, nil
	}
	l.applyFollowerState(now, f, req)
	resp := &peerv1.ExchangeResponse{Sequence: req.GetSequence()}
	for _, a := range req.GetAsks() {
		if g := l.handleTicketRequest(now, req.GetRouter(), f, a); g != nil {
			resp.Grants = append(resp.Grants, g)
		}
	}
	var deferred []Delivery
	for _, d := range l.grantWaiting(now) {
		if d.Router == req.GetRouter() {
			resp.Grants = append(resp.Grants, d.Grant)
		} else {
			deferred = append(deferred, d)
		}
	}
	f.sequence, f.lastReply = req.GetSequence(), resp
	return resp, deferred, nil
}

// registerFollower returns the follower that sent an exchange, or nil if the ledger needs the
// router's inventory first. It refuses exchanges of an earlier process of the router. A later
// process replaces the earlier one, whose tickets become orphans.
func (l *Ledger) registerFollower(now time.Time, req *peerv1.ExchangeRequest) (*follower, error) {
	router, incarnation := req.GetRouter(), req.GetIncarnation()
	f := l.followers[router]
	if f != nil && incarnation < f.incarnation {
		return nil, code.New(code.OldIncarnation, "router %d has restarted", router)
	}
	if f != nil && incarnation > f.incarnation {
		l.orphanTickets(now, router, false)
		f = nil
	}
	if f == nil {
		if !req.GetHasInventory() {
			return nil, nil
		}
		f = &follower{incarnation: incarnation, tickets: make(map[uint64]ticket)}
		l.followers[router] = f
		l.removeOrphans(func(o orphan) bool { return o.router == router && o.incarnation == incarnation })
	}
	f.lastExchangeAt = now
	return f, nil
}

// applyFollowerState records a follower's inventory, the placements of its chats and the tickets
// that it releases.
func (l *Ledger) applyFollowerState(now time.Time, f *follower, req *peerv1.ExchangeRequest) {
	if req.GetHasInventory() {
		l.reconcileInventory(f, req)
	}
	for _, p := range req.GetPlacements() {
		placedAt := now.Add(-time.Duration(p.GetAgeSeconds()) * time.Second)
		l.chatHistories.put(p.GetChat(), placement{target: p.GetTarget(), placedAt: placedAt})
	}
	for _, r := range req.GetReleases() {
		l.handleRelease(now, req.GetRouter(), f, r)
	}
}

// reconcileInventory makes the owner's tickets of a router equal to the router's inventory.
// Tickets for requests that the exchange repeats are kept, since their grants may still be on
// their way.
func (l *Ledger) reconcileInventory(f *follower, req *peerv1.ExchangeRequest) {
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

// open adds a ticket of a follower to the counts of its target and team.
func (l *Ledger) open(f *follower, id uint64, t ticket) {
	f.tickets[id] = t
	l.target(t.target).followerTickets++
	l.teamOpen[t.team]++
}

// close removes a ticket of a follower from the counts of its target and team.
func (l *Ledger) close(f *follower, id uint64) {
	t := f.tickets[id]
	delete(f.tickets, id)
	l.target(t.target).followerTickets--
	if l.teamOpen[t.team]--; l.teamOpen[t.team] <= 0 {
		delete(l.teamOpen, t.team)
	}
}

// target returns the state of a target. A target that is not in the pool's configuration counts as
// warm.
func (l *Ledger) target(uid uint64) *target {
	t, ok := l.targets[uid]
	if !ok {
		t = &target{warmedUp: true}
		l.targets[uid] = t
	}
	return t
}

// handleRelease removes the released ticket and records its outcome at the target. If the request
// still waits, it is withdrawn.
func (l *Ledger) handleRelease(now time.Time, router uint32, f *follower, r *peerv1.Release) {
	t, ok := f.tickets[r.GetId()]
	if !ok {
		l.removeWaiting(func(it fairqueue.Item) bool { return it.Router == router && it.ID == r.GetId() })
		return
	}
	l.close(f, r.GetId())
	switch r.GetOutcome() {
	case peerv1.Outcome_OUTCOME_DONE:
		l.releaseRate.observe(now)
		clear(f.failedTargets)
		l.target(t.target).recordSuccess()
	case peerv1.Outcome_OUTCOME_FAILED:
		l.recordFailure(now, router, f, t.target)
	}
}

// recordFailure records a failed request of a router at a target. A router that has failed at several
// targets without a success may have lost its own links to all of them: its failures then count for
// none, as long as there are other routers that would see a failing target as well.
func (l *Ledger) recordFailure(now time.Time, router uint32, f *follower, uid uint64) {
	if f.failedTargets == nil {
		f.failedTargets = make(map[uint64]bool)
	}
	f.failedTargets[uid] = true
	if len(f.failedTargets) == 1 || len(l.followers) == 1 {
		l.target(uid).recordFailure(now, router)
		return
	}
	for failed := range f.failedTargets {
		l.target(failed).forgetFailures(router)
	}
}

// Tick removes expired orphans, refuses requests whose deadline has passed and grants waiting
// requests while targets have room.
func (l *Ledger) Tick(now time.Time) []Delivery {
	l.removeOrphans(func(o orphan) bool { return now.Sub(o.departedAt) >= l.orphanTimeout(o) })
	var out []Delivery
	for _, it := range l.removeWaiting(func(it fairqueue.Item) bool { return !it.Deadline.After(now) }) {
		f, known := l.followers[it.Router]
		if !known {
			continue
		}
		it.ArrivedAt = now
		refusal := l.newRefusal(it, code.DeadlineTooShort, l.expectedWait(it))
		out = append(out, Delivery{Router: it.Router, Incarnation: f.incarnation, Grant: refusal})
	}
	return append(out, l.grantWaiting(now)...)
}

// SilentFollowers returns the followers that have sent no exchange since a time, in ascending
// order. An exchange shows earlier than heartbeats that its router is alive, since heartbeats
// arrive through other routers.
func (l *Ledger) SilentFollowers(since time.Time) []uint32 {
	var out []uint32
	for id, f := range l.followers {
		if f.lastExchangeAt.Before(since) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// HasNewerExchange reports whether a follower has sent an exchange with a higher sequence
// number, which makes its earlier messages obsolete.
func (l *Ledger) HasNewerExchange(router uint32, sequence uint64) bool {
	f, ok := l.followers[router]
	return ok && f.sequence > sequence
}

// TicketCount returns the number of tickets that count against a target, including orphans.
func (l *Ledger) TicketCount(uid uint64) int { return l.target(uid).ticketCount() }
