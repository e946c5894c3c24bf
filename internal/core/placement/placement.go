// Package placement chooses the target of each request from what the whole fleet
// has open. Every router tells the others how many requests it has open at each
// target; each one places by the sum. So one router's view covers the fleet's load
// although it sees a sliver of the traffic, and no router waits for another.
package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/evacuation"
	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
	"github.com/hemlockdyke/hemlockdyke/internal/core/warmup"
)

// Settings are the limits of a Board.
type Settings struct {
	// DataCentre is where this router runs.
	DataCentre string
	// LoadMultiple and Slack bound what a target may hold: LoadMultiple x the pool's mean +
	// Slack. They are the operators' promise to the targets.
	LoadMultiple float64
	LoadSlack    float64
	// LoadMargin is how many requests below the bound a placement stays: routers place
	// for up to a digest interval without knowing of each other's last requests.
	LoadMargin float64
	// ColdMultiple and ColdSlack bound what a cold target gets in a second from all routers: ColdMultiple x what its pool says
	// that it bears + ColdSlack.
	ColdMultiple float64
	ColdSlack    float64
	// LoadReportTTL is how long a silent router's loads still count. Its requests end
	// with it, but a short silence may be lost datagrams.
	LoadReportTTL time.Duration
}

// DefaultSettings returns the settings used by the router.
func DefaultSettings(dataCentre string) Settings {
	return Settings{
		DataCentre: dataCentre, LoadMultiple: 2, LoadSlack: 3, LoadMargin: 1,
		LoadReportTTL: 1500 * time.Millisecond,
	}
}

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
	// MaxConnections are what one target accepts; 0 if it is not known.
	MaxConnections int
	// ColdPerSecond is how many requests a second a cold target bears, 0 if that is not bounded; ColdFor is how long one is
	// cold that has started, or whose data centre was evacuated.
	ColdPerSecond float64
	ColdDuration  time.Duration
}

// peerView is what another router told last.
type peerView struct {
	heard    time.Time
	loads    []Load
	outcomes []TargetOutcomes
	told     time.Time // when it told outcomes last
}

// Balancer counts the open requests of the fleet. It is not safe for concurrent use.
type Balancer struct {
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
func New(s Settings, rnd *rand.Rand) *Balancer {
	return &Balancer{
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
func (b *Balancer) SetLimits(byPool map[string]PoolLimits) {
	b.limits = byPool
	for name, p := range b.pools {
		b.limit(name, p)
	}
}

func (b *Balancer) limit(name string, p *pool) {
	p.limits, p.maxOpen = b.limits[name], math.Inf(1)
	if n := p.limits.MaxConnections; n > 0 {
		p.maxOpen = connectionShare * float64(n)
	}
	p.coldPerSecond = warmup.MaxPerSecond(p.limits.ColdPerSecond, b.settings.ColdMultiple, b.settings.ColdSlack)
}

// SetTargets puts the targets of all pools in force. A target that is gone keeps
// its count until its last request ends.
func (b *Balancer) SetTargets(now time.Time, pools map[string][]Target) {
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
			if !known.ended.IsZero() && t.RowVersion > known.RowVersion {
				known.ended, known.askedEnded, known.health = time.Time{}, time.Time{}, health{} // it has written again
			}
			if t.RowVersion > known.RowVersion {
				known.cold.learn(now, t.ColdRemaining)
			}
			known.Target, known.pool = t, p
			known.evacuated = b.orders.IsEvacuated(t.DataCentre)
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
func (b *Balancer) model(pool string) *model {
	m, ok := b.models[pool]
	if !ok {
		m = &model{}
		b.models[pool] = m
	}
	return m
}

// SetLoadBounds changes what a target may hold, and what a cold one may get.
func (b *Balancer) SetLoadBounds(multiple, slack, coldMultiple, coldSlack float64) {
	b.settings.LoadMultiple, b.settings.LoadSlack = multiple, slack
	b.settings.ColdMultiple, b.settings.ColdSlack = coldMultiple, coldSlack
	b.SetLimits(b.limits)
}

// Place chooses a target and counts the request there; false if the pool has none.
func (b *Balancer) Place(now time.Time, a Request) (Choice, bool) {
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
	c := Choice{Target: t.Target, Rule: rule, Open: t.open(), Bound: bound, CacheSource: b.source(now, p, a, t), sequence: b.sequence}
	t.waiting = append(t.waiting, pending{sequence: c.sequence, since: now, prompt: a.PromptPrefixes, unread: b.unread(now, a, t)})
	t.own++
	t.serves(now)
	t.health.placed()
	t.pause.placed()
	t.cold.placed(now, c.sequence)
	return c, true
}

// FinishRequest takes a request off its target and learns from its outcome. It reports whether
// the target is suspended from now on.
func (b *Balancer) FinishRequest(now time.Time, uid uint64, o Outcome) (suspended bool) {
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
func (b *Balancer) observe(now time.Time, t *target, o Outcome) bool {
	suspended := t.health.observe(now, o)
	weight, ok := failureWeight(o)
	if !ok {
		return suspended
	}
	t.counts.add(now, weight)
	return suspended || (weight > 0 && b.detect(now, t))
}

// TargetID returns the name of a target's lifetime, empty if it is not known.
func (b *Balancer) TargetID(uid uint64) string {
	if t, ok := b.byUID[uid]; ok {
		return t.ID
	}
	return ""
}

// IsLeavingOrRemoved reports whether a target leaves, or is not listed any more.
func (b *Balancer) IsLeavingOrRemoved(uid uint64) bool {
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

// RecordSilence takes note of a target that leaves a request unanswered for longer than
// its answers take. The request still waits, so nothing else would show the failure
// before the request's deadline, and more would be sent there meanwhile.
func (b *Balancer) RecordSilence(now time.Time, uid uint64) (suspended bool) {
	t, ok := b.byUID[uid]
	return ok && b.observe(now, t, Failed)
}
