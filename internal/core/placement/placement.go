// Package placement chooses the target of each request by the load of the whole fleet. Every router
// reports to the others how many requests it has open at each target, and places requests by the
// sum. So each router knows the whole load although it handles only a small part of the traffic,
// and no router waits for another.
package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/evacuation"
	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
	"github.com/hemlockdyke/hemlockdyke/internal/core/warmup"
)

// Settings configure a Balancer.
type Settings struct {
	// DataCentre is where this router runs.
	DataCentre string
	// LoadMultiple and LoadSlack bound the open requests of a target: LoadMultiple * the pool's
	// mean + LoadSlack. Operators guarantee this bound to the targets.
	LoadMultiple float64
	LoadSlack    float64
	// LoadMargin is how many requests a placement stays below the bound: for up to one digest
	// interval, routers place requests without knowing of each other's latest ones.
	LoadMargin float64
	// ColdMultiple and ColdSlack bound how many requests a second a cold target gets from all
	// routers: ColdMultiple * the rate that its pool declares + ColdSlack.
	ColdMultiple float64
	ColdSlack    float64
	// LoadReportTTL is how long the loads of a silent source count. A router's requests end if it
	// exits, but a short silence may be due to lost datagrams.
	LoadReportTTL time.Duration
}

// DefaultSettings returns the default settings of a router. ColdMultiple and ColdSlack are zero.
func DefaultSettings(dataCentre string) Settings {
	return Settings{
		DataCentre: dataCentre, LoadMultiple: 2, LoadSlack: 3, LoadMargin: 1,
		LoadReportTTL: 1500 * time.Millisecond,
	}
}

type pool struct {
	targets     []*target
	dataCentres []dataCentre
	model       *latencyModel
	limits      PoolLimits
	// maxOpen is the limit of open requests of each target, derived from the connections that it
	// accepts.
	maxOpen float64
	// maxColdPerSecond is how many requests a second a cold target may get from all routers; 0 if
	// there is no limit.
	maxColdPerSecond int
}

// PoolLimits are the limits that operators configure for the targets of a pool.
type PoolLimits struct {
	// MaxConnections is how many connections one target accepts from all routers together; 0 if
	// unknown.
	MaxConnections int
	// ColdPerSecond is how many requests a second a cold target can take; 0 if there is no limit.
	// ColdDuration is how long a target is cold after its start, and after the evacuation of its
	// data centre has ended.
	ColdPerSecond float64
	ColdDuration  time.Duration
}

// sourceReport is the latest report of a source, see Balancer.ReceiveReport.
type sourceReport struct {
	receivedAt         time.Time
	loads              []Load
	outcomes           []TargetOutcomes
	outcomesReceivedAt time.Time // when outcomes were last part of a report
}

// Balancer places requests and counts the open requests of the fleet. It is not safe for concurrent
// use.
type Balancer struct {
	settings         Settings
	rand             *rand.Rand
	pools            map[string]*pool      // by name
	limits           map[string]PoolLimits // by pool
	byUID            map[uint64]*target
	reports          map[uint32]*sourceReport // by source
	inventory        *inventory
	models           map[string]*latencyModel // by pool
	leavingNotices   map[uint64]*leavingNotice
	sequence         uint64 // of the latest placement
	listCount        uint64 // number of target lists
	evacuationOrders evacuation.Orders
	fleet            *warmup.Fleet // nil until the fleet is known
}

// New returns a Balancer without targets.
func New(s Settings, rnd *rand.Rand) *Balancer {
	return &Balancer{
		settings: s, rand: rnd, pools: make(map[string]*pool), limits: make(map[string]PoolLimits),
		byUID: make(map[uint64]*target), reports: make(map[uint32]*sourceReport), inventory: newInventory(),
		models: make(map[string]*latencyModel), leavingNotices: make(map[uint64]*leavingNotice),
	}
}

// connectionShare is the share of a target's connections that requests may use. A request that has
// ended holds its connection for a moment longer, and beyond its limit a target resets connections
// with requests on them.
const connectionShare = 0.9

// SetLimits replaces the limits of all pools.
func (b *Balancer) SetLimits(byPool map[string]PoolLimits) {
	b.limits = byPool
	for name, p := range b.pools {
		b.applyLimits(name, p)
	}
}

func (b *Balancer) applyLimits(name string, p *pool) {
	p.limits, p.maxOpen = b.limits[name], math.Inf(1)
	if n := p.limits.MaxConnections; n > 0 {
		p.maxOpen = connectionShare * float64(n)
	}
	p.maxColdPerSecond = warmup.MaxPerSecond(p.limits.ColdPerSecond, b.settings.ColdMultiple, b.settings.ColdSlack)
}

// SetTargets replaces the targets of all pools. A removed target keeps its count until its last
// request ends.
func (b *Balancer) SetTargets(now time.Time, pools map[string][]Target) {
	joinedAt := now
	if len(b.byUID) == 0 {
		joinedAt = time.Time{} // the targets of the first list were there before this router
	}
	b.pools = make(map[string]*pool, len(pools))
	b.listCount++
	for name, targets := range pools {
		p := &pool{model: b.modelOf(name)}
		b.applyLimits(name, p)
		for _, t := range targets {
			known, ok := b.byUID[t.UID]
			if !ok {
				known = &target{joinedAt: joinedAt, seed: rendezvous.Hash(t.ID)}
				b.byUID[t.UID] = known
			}
			if !known.exitedAt.IsZero() && t.RowVersion > known.RowVersion {
				// The target is running, since it has written its entry again.
				known.exitedAt, known.probedAt, known.health = time.Time{}, time.Time{}, health{}
			}
			if t.RowVersion > known.RowVersion {
				known.cold.extend(now, t.ColdRemaining)
			}
			known.Target, known.pool = t, p
			known.evacuated = b.evacuationOrders.IsEvacuated(t.DataCentre)
			b.applyLeavingNotice(now, known)
			known.lastList = b.listCount
			p.targets = append(p.targets, known)
		}
		p.dataCentres = groupByDataCentre(p.targets)
		b.pools[name] = p
	}
	for uid, t := range b.byUID {
		if t.lastList != b.listCount && t.ownOpen == 0 {
			delete(b.byUID, uid)
		}
	}
	b.recomputePeerLoads()
}

// modelOf returns the latency model of a pool, which is kept across target lists.
func (b *Balancer) modelOf(pool string) *latencyModel {
	m, ok := b.models[pool]
	if !ok {
		m = &latencyModel{}
		b.models[pool] = m
	}
	return m
}

// SetLoadBounds replaces the load bounds of targets and the rate limits of cold ones.
func (b *Balancer) SetLoadBounds(multiple, slack, coldMultiple, coldSlack float64) {
	b.settings.LoadMultiple, b.settings.LoadSlack = multiple, slack
	b.settings.ColdMultiple, b.settings.ColdSlack = coldMultiple, coldSlack
	b.SetLimits(b.limits)
}

// Place chooses a target and counts the request as open there. It returns false if there is no
// target for it.
func (b *Balancer) Place(now time.Time, r Request) (Choice, bool) {
	p, ok := b.pools[r.Pool]
	if !ok {
		return Choice{}, false
	}
	bound := b.loadBound(p)
	t, rule := b.choose(now, p, r, bound)
	if t == nil {
		return Choice{}, false
	}
	b.sequence++
	c := Choice{Target: t.Target, Rule: rule, Open: t.totalOpen(), Bound: bound, CacheSource: b.cacheSource(now, p, r, t), sequence: b.sequence}
	t.pending = append(t.pending, pendingRequest{sequence: c.sequence, placedAt: now, prefixes: r.PromptPrefixes, unreadTokens: b.unreadTokens(now, r, t)})
	t.ownOpen++
	t.recordServing(now)
	t.health.recordPlacement()
	t.pause.recordPlacement()
	t.cold.recordPlacement(now, c.sequence)
	return c, true
}

// FinishRequest removes a request from the open ones of its target and records the outcome. It
// reports whether the target is suspended or ejected as a result.
func (b *Balancer) FinishRequest(now time.Time, uid uint64, o Outcome) (suspended bool) {
	t, ok := b.byUID[uid]
	if !ok {
		return false
	}
	t.ownOpen--
	if o == Refused && t.hasFreeSlot() {
		o = Errored // it has a free slot, so the refusal does not mean that it is full
	}
	return b.applyOutcome(now, t, o)
}

// applyOutcome records an outcome and reports whether the target is suspended or ejected as a
// result.
func (b *Balancer) applyOutcome(now time.Time, t *target, o Outcome) bool {
	suspended := t.health.recordOutcome(now, o)
	weight, ok := failureWeight(o)
	if !ok {
		return suspended
	}
	t.counts.add(now, weight)
	return suspended || (weight > 0 && b.ejectIfOutlier(now, t))
}

// TargetID returns the ID of the target that a lifetime belongs to; empty if the UID is unknown.
func (b *Balancer) TargetID(uid uint64) string {
	if t, ok := b.byUID[uid]; ok {
		return t.ID
	}
	return ""
}

// IsLeavingOrRemoved reports whether a target is leaving or has been removed from the target list.
func (b *Balancer) IsLeavingOrRemoved(uid uint64) bool {
	t, ok := b.byUID[uid]
	if !ok || t.Leaving {
		return true
	}
	for _, p := range b.pools {
		if p == t.pool { // each list creates new pools
			return false
		}
	}
	return true
}

// RecordSilence counts a failure of a target that has left a request unanswered for longer than its
// answers take. The request is still waiting, so without this the failure would show only at the
// request's deadline, and more requests would be sent there until then.
func (b *Balancer) RecordSilence(now time.Time, uid uint64) (suspended bool) {
	t, ok := b.byUID[uid]
	return ok && b.applyOutcome(now, t, Failed)
}
