// Package placement chooses the target of each request by the load of the whole fleet. Every router
// reports to the others how many requests it has open at each target, and places requests by the
// sum. So each router knows the whole load although it handles only a small part of the traffic,
// and no router waits for another.
package placement

import (
	"math/rand/v2"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/evacuation"
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
	// ScheduleByWork is true if all pools with prompts are scheduled by work, see
	// Balancer.IsScheduledByWork.
	ScheduleByWork bool
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
	pools            map[string]*pool         // by name
	limits           map[string]PoolLimits    // by pool
	byUID            map[uint64]*target       // the listed targets, and unlisted
	unlisted         map[uint64]*target       // removed targets at which requests were open
	open             map[uint64]*target       // targets at which this router has open requests
	counted          map[uint64]*target       // targets with outcomes of this router's requests
	exited           map[uint64]*target       // targets whose processes are believed to have exited
	reports          map[uint32]*sourceReport // by source
	inventory        *inventory
	models           map[string]*latencyModel // by pool
	leavingNotices   map[uint64]*leavingNotice
	sequence         uint64 // of the latest placement
	evacuationOrders evacuation.Orders
	fleet            *warmup.Fleet   // nil until the fleet is known
	pacePools        map[string]bool // pools with a target that has reported its pace
}

// New returns a Balancer without targets.
func New(s Settings, rnd *rand.Rand) *Balancer {
	return &Balancer{
		settings: s, rand: rnd, pools: make(map[string]*pool), limits: make(map[string]PoolLimits),
		byUID: make(map[uint64]*target), unlisted: make(map[uint64]*target), open: make(map[uint64]*target),
		counted: make(map[uint64]*target), exited: make(map[uint64]*target), reports: make(map[uint32]*sourceReport), inventory: newInventory(),
		models: make(map[string]*latencyModel), leavingNotices: make(map[uint64]*leavingNotice),
		pacePools: make(map[string]bool),
	}
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
	t, rule := b.chooseTarget(now, p, r, bound)
	if t == nil {
		return Choice{}, false
	}
	b.sequence++
	c := Choice{Target: t.Target, Rule: rule, Open: t.totalOpen(), HeldOpen: t.totalOpen(), Bound: bound, CacheSource: b.cacheSource(now, p, r, t), sequence: b.sequence, memoryTokens: max(r.MemoryTokens, 0)}
	if b.isScheduledByWork(p) {
		c.HeldOpen = t.scheduledOpen(now)
	}
	t.addPending(pendingRequest{sequence: c.sequence, placedAt: now, prefixes: r.PromptPrefixes, unreadTokens: b.unreadTokens(now, r, t)})
	t.ownOpen++
	t.ownMemory += c.memoryTokens
	p.room.open++
	b.open[t.UID] = t
	t.recordServing(now)
	t.health.recordPlacement()
	t.pause.recordPlacement()
	t.cold.recordPlacement(now, c.sequence)
	return c, true
}

// FinishPlacement removes a placed request from the open ones of its target and records the outcome. It
// reports whether the target is suspended or ejected as a result.
func (b *Balancer) FinishPlacement(now time.Time, c Choice, o Outcome) (suspended bool) {
	uid := c.Target.UID
	t, ok := b.byUID[uid]
	if !ok {
		return false
	}
	t.ownMemory = max(t.ownMemory-c.memoryTokens, 0)
	t.pool.room.open--
	if t.ownOpen--; t.ownOpen <= 0 {
		delete(b.open, uid)
	}
	if o == Refused {
		b.pauseBrittle(now, t)
	}
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
	b.counted[t.UID] = t
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
	return !ok || t.Leaving || !t.isListed()
}

// RecordSilence counts a failure of a target that has left a request unanswered for longer than its
// answers take. The request is still waiting, so without this the failure would show only at the
// request's deadline, and more requests would be sent there until then.
func (b *Balancer) RecordSilence(now time.Time, uid uint64) (suspended bool) {
	t, ok := b.byUID[uid]
	return ok && b.applyOutcome(now, t, Failed)
}
