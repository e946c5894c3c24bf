// Package placement chooses the target of each request from what the whole fleet
// has open. Every router tells the others how many requests it has open at each
// target; each one places by the sum. So one router's view covers the fleet's load
// although it sees a sliver of the traffic, and no router waits for another.
package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/ablate"
	"github.com/hemlockdyke/hemlockdyke/internal/core/evacuation"
	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
	"github.com/hemlockdyke/hemlockdyke/internal/core/warmup"
)

// Settings are the limits of a Board.
type Settings struct {
	// DataCentre is where this router runs.
	DataCentre string
	// Multiple and Slack bound what a target may hold: Multiple x the pool's mean +
	// Slack. They are the operators' promise to the targets.
	Multiple float64
	Slack    float64
	// Margin is how many requests below the bound a placement stays: routers place
	// for up to a digest interval without knowing of each other's last requests.
	Margin float64
	// ColdMultiple and ColdSlack bound what a cold target gets in a second from all routers: ColdMultiple x what its pool says
	// that it bears + ColdSlack.
	ColdMultiple float64
	ColdSlack    float64
	// LoadsExpire is how long a silent router's loads still count. Its requests end
	// with it, but a short silence may be lost datagrams.
	LoadsExpire time.Duration
}

// DefaultSettings returns the settings used by the router.
func DefaultSettings(dataCentre string) Settings {
	return Settings{
		DataCentre: dataCentre, Multiple: 2, Slack: 3, Margin: 1,
		LoadsExpire: 1500 * time.Millisecond,
	}
}

// Target is one lifetime of a back end as a placement sees it.
type Target struct {
	// UID names the lifetime: all that is believed of a target is kept by it, so that nothing
	// of it is believed of the next one.
	UID        uint64
	ID         string // the name that the target gives itself in its answers
	Address    string
	DataCentre string
	Leaving    bool
	Row        uint64 // version of its entry
	Slots      int    // 0 if unknown
	// Cold is how long the target stays cold, as its entry says.
	Cold time.Duration
	// Started is the Unix millisecond at which the lifetime began, 0 if it is not known. A target that
	// starts again keeps its ID, its chats find it by that, and nothing else of it is the same.
	Started int64
}

// UID returns the UID of a target's lifetime. All routers compute the same.
func UID(id string, started int64) uint64 {
	return rendezvous.Mix(rendezvous.Hash(id), uint64(started))
}

// Ask is one request that needs a target.
type Ask struct {
	Pool string
	// Chat is the hash of what the request shares with earlier ones; 0 if nothing.
	Chat uint64
	// Prompt are the beginnings of the prompt that other requests share, the shortest first;
	// empty if it is not known.
	Prompt []Part
	// Tokens are those of the whole prompt, what belongs to the request alone included; 0 if it has none.
	Tokens int
	// Objective is the time to the first event that the route aims at; 0 if none.
	Objective time.Duration
	Excluded  []uint64
	// Stale: a request of the pool takes less time than the news of what others have open there.
	Stale bool
}

// Load is how many requests one router has open at a target.
type Load struct {
	Target uint64
	Open   int
}

// Rule names why a target was chosen, for the log.
type Rule string

// The rules.
const (
	RuleHome    Rule = "home"         // first in the chat's order
	RuleSpill   Rule = "spill"        // a later one: those before it are at the bound or suspended
	RuleFaster  Rule = "faster"       // a later one: those before it would answer late
	RuleLeast   Rule = "least_loaded" // no chat, or every target at the bound
	RuleRandom  Rule = "random"       // no chat, and what is known of the others' requests is out of date
	RuleCold    Rule = "cold"         // a cold one: the others have no place free
	RuleSuspect Rule = "suspect"      // all others are suspended or have failed the request
	// RuleTicket is that of routers that place by tickets of a pool's owner.
	RuleTicket Rule = "ticket"
)

// Choice is a placement with the figures that decided.
type Choice struct {
	Target Target
	Rule   Rule
	Open   int     // what the fleet had open at the target, this request not counted
	Bound  float64 // what it may hold
	// Source is the address of a target that probably holds the chat's cache while
	// the chosen one does not; empty if there is none.
	Source string

	sequence uint64
}

type target struct {
	Target
	joined time.Time
	served time.Time // when it was seen with a request first; zero if never
	seed   uint64
	own    int
	peers  int // of all other routers, from their last digests
	health health
	pause  pause
	ended  time.Time // when its process was told to have ended; zero if it was not
	// askedEnded is when its port was asked last whether it has.
	askedEnded time.Time

	cold cold
	// evacuated: operators want nothing sent to its data centre.
	evacuated bool

	pool    *pool
	centre  int // index of its data centre in the pool
	waiting waiting
	counts  counts // of this router's requests
	// peerCounts are those of all other routers, from their last digests with outcomes.
	peerCounts counts
	ejection   ejection
	// reportedAt is when another router told last that the target failed it.
	reportedAt time.Time
	detectedAt time.Time // when what others told was looked at last
}

func (t *target) open() int { return t.own + t.peers }

// serves notes that the target has requests.
func (t *target) serves(now time.Time) {
	if t.served.IsZero() {
		t.served = now
	}
}

// servedBefore reports whether the target was seen with requests before a time.
func (t *target) servedBefore(at time.Time) bool { return !t.served.IsZero() && t.served.Before(at) }

// hasRoom reports whether the target has places free as far as the fleet knows.
func (t *target) hasRoom() bool { return t.Slots > 0 && t.open() < t.Slots }

type pool struct {
	targets []*target
	centres []centre
	model   *model
	limits  PoolLimits
	// maxOpen is what each target may have open, by the connections it accepts.
	maxOpen float64
	// coldPerSecond is what a cold target may get in a second from all routers; 0 if there is no bound.
	coldPerSecond int
}

// PoolLimits are what operators say of the targets of a pool.
type PoolLimits struct {
	// Connections are what one target accepts; 0 if it is not known.
	Connections int
	// ColdPerSecond is how many requests a second a cold target bears, 0 if that is not bounded; ColdFor is how long one is
	// cold that has started, or whose data centre was evacuated.
	ColdPerSecond float64
	ColdFor       time.Duration
}

// peerView is what another router told last.
type peerView struct {
	heard    time.Time
	loads    []Load
	outcomes []Outcomes
	told     time.Time // when it told outcomes last
}

// Board counts the open requests of the fleet. It is not safe for concurrent use.
type Board struct {
	settings Settings
	rand     *rand.Rand
	pools    map[string]*pool
	limits   map[string]PoolLimits
	byUID    map[uint64]*target
	peers    map[uint32]*peerView
	held     *inventory
	models   map[string]*model // by pool
	said     map[uint64]*said
	sequence uint64 // of placements
	orders   evacuation.Orders
	fleet    *warmup.Fleet // nil until something is known of it
}

// New returns an empty Board.
func New(s Settings, rnd *rand.Rand) *Board {
	return &Board{
		settings: s, rand: rnd, pools: make(map[string]*pool), limits: make(map[string]PoolLimits),
		byUID: make(map[uint64]*target), peers: make(map[uint32]*peerView), held: newInventory(),
		models: make(map[string]*model), said: make(map[uint64]*said),
	}
}

// connectionShare is the part of the connections that a target accepts which requests
// may use: one that ends holds its connection for a moment more, and beyond the limit a
// target resets connections with requests on them.
const connectionShare = 0.9

// SetLimits puts what operators say of the targets of each pool in force.
func (b *Board) SetLimits(byPool map[string]PoolLimits) {
	b.limits = byPool
	for name, p := range b.pools {
		b.limit(name, p)
	}
}

func (b *Board) limit(name string, p *pool) {
	p.limits, p.maxOpen = b.limits[name], math.Inf(1)
	if n := p.limits.Connections; n > 0 {
		p.maxOpen = connectionShare * float64(n)
	}
	p.coldPerSecond = warmup.PerSecond(p.limits.ColdPerSecond, b.settings.ColdMultiple, b.settings.ColdSlack)
}

// SetTargets puts the targets of all pools in force. A target that is gone keeps
// its count until its last request ends.
func (b *Board) SetTargets(now time.Time, pools map[string][]Target) {
	joined := now
	if len(b.byUID) == 0 {
		joined = time.Time{} // those of the first list have been there before this router
	}
	b.pools = make(map[string]*pool, len(pools))
	listed := make(map[uint64]bool)
	for name, targets := range pools {
		p := &pool{model: b.model(name)}
		b.limit(name, p)
		for _, t := range targets {
			known, ok := b.byUID[t.UID]
			if !ok {
				known = &target{joined: joined, seed: rendezvous.Hash(t.ID)}
				b.byUID[t.UID] = known
			}
			if !known.ended.IsZero() && t.Row > known.Row {
				known.ended, known.askedEnded, known.health = time.Time{}, time.Time{}, health{} // it has written again
			}
			if t.Row > known.Row {
				known.cold.learn(now, t.Cold)
			}
			known.Target, known.pool = t, p
			known.evacuated = b.orders.Holds(t.DataCentre)
			b.applySaid(now, known)
			listed[t.UID] = true
			p.targets = append(p.targets, known)
		}
		p.centres = centres(p.targets)
		b.pools[name] = p
	}
	for uid, t := range b.byUID {
		if !listed[uid] && t.own == 0 {
			delete(b.byUID, uid)
		}
	}
	b.sumPeers()
}

// model returns the model of a pool, which outlasts its lists.
func (b *Board) model(pool string) *model {
	m, ok := b.models[pool]
	if !ok {
		m = &model{}
		b.models[pool] = m
	}
	return m
}

// SetBound changes what a target may hold, and what a cold one may get.
func (b *Board) SetBound(multiple, slack, coldMultiple, coldSlack float64) {
	b.settings.Multiple, b.settings.Slack = multiple, slack
	b.settings.ColdMultiple, b.settings.ColdSlack = coldMultiple, coldSlack
	b.SetLimits(b.limits)
}

// Heard takes in what another router has open and what came of its requests at failing targets, in place
// of what it said before, and returns the ids of targets that are ejected by it. outcomes are nil
// if it did not tell any this time.
func (b *Board) Heard(now time.Time, router uint32, loads []Load, outcomes []Outcomes) (ejected []string) {
	p, ok := b.peers[router]
	if !ok {
		p = &peerView{}
		b.peers[router] = p
	}
	for _, l := range p.loads {
		b.addPeer(l, -1)
	}
	if ablate.Off(ablate.Loads) {
		loads = nil
	}
	p.heard, p.loads = now, loads
	for _, l := range p.loads {
		b.addPeer(l, 1)
		if t, ok := b.byUID[l.Target]; ok && l.Open > 0 {
			t.serves(now)
		}
	}
	if outcomes == nil {
		return nil
	}
	return b.told(now, p, outcomes)
}

func (b *Board) addPeer(l Load, sign int) {
	if t, ok := b.byUID[l.Target]; ok {
		t.peers += sign * l.Open
	}
}

// sumPeers counts all digests again: targets may have come and gone since.
func (b *Board) sumPeers() {
	for _, t := range b.byUID {
		t.peers = 0
	}
	for _, p := range b.peers {
		for _, l := range p.loads {
			b.addPeer(l, 1)
		}
	}
}

// Expire forgets the loads of routers that have been silent for too long, and words of targets that no longer count.
func (b *Board) Expire(now time.Time) {
	for id, p := range b.peers {
		if now.Sub(p.heard) > b.settings.LoadsExpire {
			b.Forget(id)
		}
	}
	b.expireSaid(now)
}

// Forget drops what a router has open: it has ended or restarted. The outcomes that it told
// stay, they decay by themselves.
func (b *Board) Forget(router uint32) {
	if p, ok := b.peers[router]; ok {
		for _, l := range p.loads {
			b.addPeer(l, -1)
		}
		delete(b.peers, router)
	}
}

// ForgetAll drops what all others have open.
func (b *Board) ForgetAll() {
	for id := range b.peers {
		b.Forget(id)
	}
}

// Own returns what this router has open, for its digest.
func (b *Board) Own() []Load {
	var out []Load
	for uid, t := range b.byUID {
		if t.own > 0 {
			out = append(out, Load{Target: uid, Open: t.own})
		}
	}
	return out
}

// OpenAt returns what the fleet has open at each listed target, by its id.
func (b *Board) OpenAt() map[string]int {
	out := make(map[string]int)
	for _, p := range b.pools {
		for _, t := range p.targets {
			out[t.ID] = t.open()
		}
	}
	return out
}

// Place chooses a target and counts the request there; false if the pool has none.
func (b *Board) Place(now time.Time, a Ask) (Choice, bool) {
	p, ok := b.pools[a.Pool]
	if !ok {
		return Choice{}, false
	}
	bound := b.bound(p)
	t, rule := b.choose(now, p, a, bound)
	if t == nil {
		return Choice{}, false
	}
	b.sequence++
	c := Choice{Target: t.Target, Rule: rule, Open: t.open(), Bound: bound, Source: b.source(now, p, a, t), sequence: b.sequence}
	t.waiting = append(t.waiting, pending{sequence: c.sequence, since: now, prompt: a.Prompt, unread: b.unread(now, a, t)})
	t.own++
	t.serves(now)
	t.health.placed()
	t.pause.placed()
	t.cold.placed(now, c.sequence)
	return c, true
}

// Done takes a request off its target and learns from its outcome. It reports whether
// the target is suspended from now on.
func (b *Board) Done(now time.Time, uid uint64, o Outcome) (suspended bool) {
	t, ok := b.byUID[uid]
	if !ok {
		return false
	}
	t.own--
	if o == Refused && t.hasRoom() {
		o = Errored // it turns requests away for a reason of its own
	}
	return b.observe(now, t, o)
}

// observe learns from an outcome and reports whether new work is kept away from now on.
func (b *Board) observe(now time.Time, t *target, o Outcome) bool {
	suspended := t.health.observe(now, o)
	weight, ok := failureWeight(o)
	if !ok {
		return suspended
	}
	t.counts.add(now, weight)
	return suspended || (weight > 0 && b.detect(now, t))
}

// ID returns the name of a target's lifetime, empty if it is not known.
func (b *Board) ID(uid uint64) string {
	if t, ok := b.byUID[uid]; ok {
		return t.ID
	}
	return ""
}

// Leaves reports whether a target leaves, or is not listed any more.
func (b *Board) Leaves(uid uint64) bool {
	t, ok := b.byUID[uid]
	if !ok || t.Leaving {
		return true
	}
	for _, p := range b.pools {
		if p == t.pool { // pools are made anew with each list
			return false
		}
	}
	return true
}

// Ended takes in that a target's process has ended, as this router saw it or another one tells, and reports whether that is
// news. Each router would learn it by a request of its own otherwise.
func (b *Board) Ended(now time.Time, uid uint64) (news bool) {
	t, ok := b.byUID[uid]
	if !ok || ablate.Off(ablate.Suspension) || (!t.ended.IsZero() && now.Sub(t.ended) < endedRest) {
		return false
	}
	t.ended = now
	t.health.ended(now)
	return true
}

// EndedToAsk returns the listed targets that rest because their process has ended and whose port is to be asked now.
func (b *Board) EndedToAsk(now time.Time) []Target {
	var out []Target
	for _, t := range b.byUID {
		if !t.ended.IsZero() && now.Sub(t.ended) >= askEndedAfter && now.Sub(t.askedEnded) >= askEndedAfter && !b.Leaves(t.UID) {
			t.askedEnded = now
			out = append(out, t.Target)
		}
	}
	return out
}

// EndedStill takes in that a target's port accepts no connection: its rest begins again.
func (b *Board) EndedStill(now time.Time, uid uint64) {
	if t, ok := b.byUID[uid]; ok && !t.ended.IsZero() {
		t.ended = now
		t.health.ended(now)
	}
}

// Silent takes note of a target that leaves a request unanswered for longer than
// its answers take. The request still waits, so nothing else would show the failure
// before the request's deadline, and more would be sent there meanwhile.
func (b *Board) Silent(now time.Time, uid uint64) (suspended bool) {
	t, ok := b.byUID[uid]
	return ok && b.observe(now, t, Failed)
}
