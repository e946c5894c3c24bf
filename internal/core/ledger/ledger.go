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
	"math"
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
	// ReleaseHold is how long routers let releases wait. The margin grows by what is
	// released in that time.
	ReleaseHold time.Duration
	// GhostFor is how long tickets of a departed router still count against their
	// targets while no report confirms them.
	GhostFor time.Duration
	// MovedGhostFor is the same for tickets of a router that follows another
	// owner, and the longest that a confirmed ghost is kept.
	MovedGhostFor time.Duration
	// RebuildFor bounds how long a new owner waits for inventories during which
	// it also counts the targets' own reports.
	RebuildFor time.Duration
	// MaxQueued is the longest queue; beyond it asks are refused.
	MaxQueued int
	// Memory is the number of chats whose last target is remembered, per
	// generation of two; 0 disables it.
	Memory int
	// HomePatience is how long an ask may wait for the target that holds its
	// chat's cache before it spills to another one; 0 disables the wait.
	HomePatience time.Duration
}

// DefaultSettings returns the settings used by the router.
func DefaultSettings(fleetSize int) Settings {
	return Settings{
		FleetSize:  fleetSize,
		MeanMargin: 4,
		GhostFor:   5 * time.Second,

		MovedGhostFor: time.Minute,
		RebuildFor:    3 * time.Second,
		MaxQueued:     10000,
		Memory:        100_000,

		HomePatience: 300 * time.Millisecond,
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

// Teams gives the ledger a team's weight and fleet-wide limit by UID.
type Teams interface {
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

// ghost is a ticket whose router departed.
type ghost struct {
	router      uint32
	incarnation uint64
	target      uint64
	since       time.Time
	// moved says that the router follows another owner, which counts the ticket
	// towards its own mean.
	moved bool
	// confirmed says that the target reported the request as still open.
	confirmed bool
}

// Ledger counts the open requests of one pool. It is not safe for concurrent use.
type Ledger struct {
	settings  Settings
	pool      *routing.Pool
	teams     Teams
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
func New(now time.Time, s Settings, pool *routing.Pool, teams Teams, rnd *rand.Rand) *Ledger {
	l := &Ledger{
		settings:  s,
		teams:     teams,
		rand:      rnd,
		targets:   make(map[uint64]*target),
		followers: make(map[uint32]*follower),
		teamOpen:  make(map[uint64]int),
		queue:     fairqueue.New(),
		memory:    newMemory(s.Memory),
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
func (l *Ledger) SetPool(pool *routing.Pool, teams Teams) {
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

// Followers returns the number of routers that follow this owner.
func (l *Ledger) Followers() int { return len(l.followers) }

// Incarnation returns the incarnation of a follower, 0 if it is none.
func (l *Ledger) Incarnation(router uint32) uint64 {
	if f, ok := l.followers[router]; ok {
		return f.incarnation
	}
	return 0
}

// Queued returns the number of waiting asks.
func (l *Ledger) Queued() int { return l.queue.Len() }

// Exchange handles one message of a follower. It is idempotent: a repeated
// sequence number gets the recorded reply, since a router that lost the reply
// sends again, and a second count would leak a ticket.
func (l *Ledger) Exchange(now time.Time, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, []Delivery, error) {
	f := l.followers[req.GetRouter()]
	if f != nil && req.GetIncarnation() < f.incarnation {
		return nil, nil, code.New(code.OldIncarnation, "router %d has restarted", req.GetRouter())
	}
	if f != nil && req.GetIncarnation() > f.incarnation {
		l.depart(now, req.GetRouter(), false)
		f = nil
	}
	if f == nil && !req.GetHasInventory() {
		return &peerv1.ExchangeResponse{Sequence: req.GetSequence(), WantInventory: true}, nil, nil
	}
	if f == nil {
		f = &follower{incarnation: req.GetIncarnation(), tickets: make(map[uint64]ticket)}
		l.followers[req.GetRouter()] = f
		l.dropGhosts(func(g ghost) bool { return g.router == req.GetRouter() && g.incarnation == req.GetIncarnation() })
	}
	f.heard = now
	if f.reply != nil && req.GetSequence() <= f.sequence {
		return f.reply, nil, nil
	}
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

// ask grants, refuses or queues one ask; nil means queued.
func (l *Ledger) ask(now time.Time, router uint32, f *follower, a *peerv1.Ask) *peerv1.Grant {
	if t, ok := f.tickets[a.GetId()]; ok {
		return &peerv1.Grant{Id: a.GetId(), Target: t.target}
	}
	weight, _ := l.teams.TeamLimits(a.GetTeam())
	it := fairqueue.Item{
		Router: router, ID: a.GetId(), Team: a.GetTeam(), Weight: weight,
		Priority: clampPriority(a.GetPriority()), Chat: a.GetChat(), Excluded: a.GetExcluded(),
		Arrived: now, Deadline: now.Add(time.Duration(a.GetDeadlineMillis()) * time.Millisecond),
	}
	if l.allExcluded(it.Excluded) {
		it.Excluded = nil
	}
	if l.queue.Queued(router, a.GetId()) || l.waitsPatiently(router, a.GetId()) {
		return nil
	}
	if !l.mustWait(it) {
		if l.isPatient(now, it) {
			l.patient = append(l.patient, it)
			return nil
		}
		if uid, ok := l.place(now, it); ok {
			return l.grant(now, f, it, uid)
		}
	}
	if refusal := l.shed(it); refusal != nil {
		return refusal
	}
	l.queue.Push(it)
	return nil
}

// allExcluded reports whether an ask excludes every target. In a small pool each
// may have failed the request once; to wait for another would be to wait until
// the deadline, so then any will do again.
func (l *Ledger) allExcluded(excluded []uint64) bool {
	if len(excluded) == 0 {
		return false
	}
	for i := range l.pool.Targets {
		if !l.pool.Targets[i].Leaving && !slices.Contains(excluded, l.pool.Targets[i].UID) {
			return false
		}
	}
	return true
}

func clampPriority(p uint32) fairqueue.Priority {
	return fairqueue.Priority(min(p, uint32(fairqueue.Urgent)))
}

// mustWait keeps an ask behind waiting ones of its class or a higher one;
// otherwise a later ask would overtake them when a ticket comes back.
func (l *Ledger) mustWait(it fairqueue.Item) bool {
	return l.queue.Waiting(it.Priority) || l.teamFull(it.Team)
}

func (l *Ledger) teamFull(team uint64) bool {
	_, limit := l.teams.TeamLimits(team)
	return limit > 0 && l.teamOpen[team] >= limit
}

func (l *Ledger) grant(now time.Time, f *follower, it fairqueue.Item, uid uint64) *peerv1.Grant {
	l.open(f, it.ID, ticket{target: uid, team: it.Team})
	t := l.target(uid)
	t.granted++
	t.recent = append(t.recent[t.staleGrants(now):], now)
	l.memory.put(it.Chat, visit{target: uid, at: now})
	return &peerv1.Grant{Id: it.ID, Target: uid}
}

// shed refuses an ask that can't be answered in time. The answer is given at
// once, with the time after which the queue will have drained.
func (l *Ledger) shed(it fairqueue.Item) *peerv1.Grant {
	wait := l.expectedWait(it)
	remaining := it.Deadline.Sub(it.Arrived)
	switch {
	case l.queue.Len() >= l.settings.MaxQueued:
		return l.refuse(it, code.QueueFull, wait)
	case wait > remaining:
		return l.refuse(it, code.DeadlineTooShort, wait)
	default:
		return nil
	}
}

func (l *Ledger) refuse(it fairqueue.Item, c code.Code, wait time.Duration) *peerv1.Grant {
	jitter := 1 + 0.5*l.rand.Float64()
	after := time.Duration(float64(max(wait, minRetryAfter)) * jitter)
	return &peerv1.Grant{Id: it.ID, Code: uint32(c), RetryAfterMillis: uint32(after.Milliseconds())}
}

// minRetryAfter keeps refused callers from asking again at once.
const minRetryAfter = 500 * time.Millisecond

// expectedWait estimates how long an ask would wait from the drain rate.
func (l *Ledger) expectedWait(it fairqueue.Item) time.Duration {
	perSecond := l.drain.perSecond(it.Arrived)
	ahead := l.queue.Ahead(it.Team, it.Priority)
	if perSecond <= 0 {
		return 0 // nothing is known yet: let it wait, its deadline bounds it
	}
	return time.Duration(float64(ahead+1) / perSecond * float64(time.Second))
}

func (l *Ledger) waitsPatiently(router uint32, id uint64) bool {
	for _, it := range l.patient {
		if it.Router == router && it.ID == id {
			return true
		}
	}
	return false
}

// withdraw forgets the waiting asks for which gone is true and returns them.
func (l *Ledger) withdraw(gone func(fairqueue.Item) bool) []fairqueue.Item {
	removed := l.queue.Remove(gone)
	kept := l.patient[:0]
	for _, it := range l.patient {
		if gone(it) {
			removed = append(removed, it)
		} else {
			kept = append(kept, it)
		}
	}
	l.patient = kept
	return removed
}

// servePatient grants the asks whose target has room again, and moves those that
// have waited long enough on.
func (l *Ledger) servePatient(now time.Time) []Delivery {
	var out []Delivery
	kept := l.patient[:0]
	for _, it := range l.patient {
		if l.isPatient(now, it) {
			kept = append(kept, it)
			continue
		}
		if uid, ok := l.place(now, it); ok && !l.mustWait(it) {
			f := l.followers[it.Router]
			out = append(out, Delivery{Router: it.Router, Incarnation: f.incarnation, Grant: l.grant(now, f, it, uid)})
			continue
		}
		l.queue.Push(it)
	}
	l.patient = kept
	return out
}

// serve grants waiting asks while tickets are free.
func (l *Ledger) serve(now time.Time) []Delivery {
	out := l.servePatient(now)
	for l.queue.Len() > 0 {
		var uid uint64
		it, ok := l.queue.Next(func(it fairqueue.Item) fairqueue.Verdict {
			if l.teamFull(it.Team) {
				return fairqueue.Skip
			}
			var free bool
			uid, free = l.place(now, it)
			switch {
			case free:
				return fairqueue.Take
			case len(it.Excluded) > 0:
				return fairqueue.Skip
			default:
				return fairqueue.Stop
			}
		})
		if !ok {
			return out
		}
		f, known := l.followers[it.Router]
		if !known {
			continue
		}
		out = append(out, Delivery{Router: it.Router, Incarnation: f.incarnation, Grant: l.grant(now, f, it, uid)})
	}
	return out
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
		it.Arrived = now
		refusal := l.refuse(it, code.DeadlineTooShort, l.expectedWait(it))
		out = append(out, Delivery{Router: it.Router, Incarnation: f.incarnation, Grant: refusal})
	}
	return append(out, l.serve(now)...)
}

func (l *Ledger) ghostLife(g ghost) time.Duration {
	if g.moved || g.confirmed {
		return l.settings.MovedGhostFor
	}
	return l.settings.GhostFor
}

// dropGhosts removes the ghosts for which gone is true.
func (l *Ledger) dropGhosts(gone func(ghost) bool) {
	kept := l.ghosts[:0]
	for _, g := range l.ghosts {
		if gone(g) {
			l.target(g.target).ghosts--
		} else {
			kept = append(kept, g)
		}
	}
	l.ghosts = kept
}

// Silent returns the followers that have sent no exchange since a time, in order.
// An exchange shows that its router is alive sooner than heartbeats do, which
// come by way of others.
func (l *Ledger) Silent(since time.Time) []uint32 {
	var out []uint32
	for id, f := range l.followers {
		if f.heard.Before(since) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// HeardAfter reports whether a follower has sent an exchange after a sequence
// number, so that what it said before is out of date.
func (l *Ledger) HeardAfter(router uint32, sequence uint64) bool {
	f, ok := l.followers[router]
	return ok && f.sequence > sequence
}

// Depart removes a router that went silent or restarted, or, with moved, one
// that follows another owner.
func (l *Ledger) Depart(now time.Time, router uint32, moved bool) []Delivery {
	l.depart(now, router, moved)
	return l.serve(now)
}

// depart turns the router's tickets into ghosts: the targets may still work on
// them, so granting their places at once would overrun the targets.
func (l *Ledger) depart(now time.Time, router uint32, moved bool) {
	f, ok := l.followers[router]
	if !ok {
		return
	}
	for id, t := range f.tickets {
		l.close(f, id)
		l.target(t.target).ghosts++
		l.ghosts = append(l.ghosts, ghost{
			router: router, incarnation: f.incarnation, target: t.target, since: now, moved: moved,
		})
	}
	delete(l.followers, router)
	l.withdraw(func(it fairqueue.Item) bool { return it.Router == router })
}

// WantsReports reports whether the targets' own counts are needed: for ghosts,
// or because inventories are still missing.
func (l *Ledger) WantsReports(now time.Time) bool {
	return len(l.ghosts) > 0 || l.rebuilding(now)
}

// reportSettles is how long after a grant a target's report may still miss it.
const reportSettles = 300 * time.Millisecond

// Report takes in a target's own count of open requests, taken at a time. It
// settles the target's older ghosts: as many as the report shows beyond the
// tickets are real and count in full, the others are gone. Tickets granted a
// moment ago may not have arrived at the target; taken for counted, they would
// fill a real ghost's place, so they are left out.
func (l *Ledger) Report(uid uint64, open int, taken time.Time) []Delivery {
	t := l.target(uid)
	t.reported, t.granted = open, t.grantedSince(taken.Add(-reportSettles))
	settles := func(g ghost) bool { return g.target == uid && !g.moved && g.since.Before(taken) }
	extra := open - (t.open - t.grantedSince(taken.Add(-reportSettles)))
	l.dropGhosts(func(g ghost) bool {
		if !settles(g) {
			return false
		}
		extra--
		return extra < 0
	})
	for i := range l.ghosts {
		l.ghosts[i].confirmed = l.ghosts[i].confirmed || settles(l.ghosts[i])
	}
	return l.serve(taken)
}

// Bound returns the highest count that a grant may bring a target to. It is never
// so low that no target has room for one more request: with few requests open,
// the margin alone would hold the pool at its present load for ever, and so would
// a mean over targets that are suspended.
func (l *Ledger) Bound(now time.Time) int {
	m := l.mean(now)
	if m.usable == 0 {
		return 0
	}
	low := max(m.open-l.margin(now), 0)
	bound := int(math.Ceil(l.pool.Spec.BoundMultiple * float64(low+1) / float64(m.targets)))
	return max(bound, (m.open+m.usable)/m.usable)
}

// margin is how many releases may be on their way.
func (l *Ledger) margin(now time.Time) int {
	waiting := l.drain.perSecond(now) * l.settings.ReleaseHold.Seconds()
	// Twice the mean covers the spread of arrivals for all but small numbers,
	// which the fixed margin covers.
	return l.settings.MeanMargin + int(math.Ceil(2*waiting))
}

// mean is the lower estimate of a pool's mean load, as its parts.
type mean struct {
	targets int // that are not leaving
	usable  int // of these, not suspended
	open    int // requests at them
}

func (l *Ledger) mean(now time.Time) mean {
	var m mean
	for i, t := range l.ordered {
		if l.pool.Targets[i].Leaving {
			continue
		}
		m.targets++
		m.open += t.open
		if !t.until.After(now) {
			m.usable++
		}
	}
	for _, g := range l.ghosts {
		if g.confirmed {
			m.open++
		}
	}
	return m
}

// Open returns the count that the ledger holds against a target.
func (l *Ledger) Open(uid uint64) int { return l.target(uid).held() }
