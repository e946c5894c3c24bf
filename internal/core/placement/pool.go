package placement

import (
	"math"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
	"github.com/hemlockdyke/hemlockdyke/internal/core/warmup"
)

// pool holds the listed targets of a pool.
type pool struct {
	name        string
	targets     []*target // in no particular order
	dataCentres []dataCentre
	model       *latencyModel
	limits      PoolLimits
	// maxOpen is the limit of open requests of each target, derived from the connections that it
	// accepts.
	maxOpen float64
	// maxColdPerSecond is how many requests a second a cold target may get from all routers; 0 if
	// there is no limit.
	maxColdPerSecond int
	// brittleLimit is how many requests a second a target bears to refuse; 0 if it is not brittle.
	brittleLimit int
	// reportsPace is true once a listed target of the pool has reported its pace, also if the pool had no
	// targets since.
	reportsPace bool
	// room is the room of the targets that may get requests. It was computed at utilizationAt, which is
	// zero if the targets have changed since, and follows this router's own requests.
	room          roomSum
	utilizationAt time.Time
}

// IsScheduledByWork reports whether requests with prompts for a pool are placed and admitted by their
// work and by the room of targets: the settings ask for it, or the pool's targets report their pace.
func (b *Balancer) IsScheduledByWork(pool string) bool {
	p, ok := b.pools[pool]
	return ok && b.isScheduledByWork(p)
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
	// MemoryTokens is how many tokens the memory of one target holds; 0 if unknown.
	MemoryTokens int
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

// poolNamed returns the pool with a name, which it creates if there is none.
func (b *Balancer) poolNamed(name string) *pool {
	p, ok := b.pools[name]
	if !ok {
		p = &pool{name: name, model: b.modelOf(name), reportsPace: b.pacePools[name]}
		b.applyLimits(name, p)
		b.pools[name] = p
	}
	return p
}

// add adds a target, which must not be listed. updateSizes must be called afterwards.
func (p *pool) add(t *target) {
	t.pool, t.poolIndex = p, len(p.targets)
	p.targets = append(p.targets, t)
	t.dataCentreIndex = p.dataCentreNamed(t.DataCentre)
	c := &p.dataCentres[t.dataCentreIndex]
	c.listedCount++
	if t.countedActive = t.isActive(); t.countedActive {
		c.activeCount++
	}
}

// remove removes a listed target. updateSizes must be called afterwards.
func (p *pool) remove(t *target) {
	last := p.targets[len(p.targets)-1]
	p.targets[t.poolIndex], last.poolIndex = last, t.poolIndex
	p.targets[len(p.targets)-1] = nil
	p.targets = p.targets[:len(p.targets)-1]
	t.poolIndex = notListed
	c := &p.dataCentres[t.dataCentreIndex]
	c.listedCount--
	if t.countedActive {
		c.activeCount--
	}
}

// recount must be called when a target has changed from active to not active or the reverse.
func (p *pool) recount(t *target) {
	if !t.isListed() || t.countedActive == t.isActive() {
		return
	}
	p.remove(t)
	p.add(t)
	p.updateSizes()
}

// dataCentreNamed returns the index of a data centre. A data centre without targets is replaced.
func (p *pool) dataCentreNamed(name string) int {
	free := -1
	for i, c := range p.dataCentres {
		if c.name == name {
			return i
		}
		if c.listedCount == 0 {
			free = i
		}
	}
	if free < 0 {
		free = len(p.dataCentres)
		p.dataCentres = append(p.dataCentres, dataCentre{})
	}
	p.dataCentres[free] = dataCentre{name: name, seed: rendezvous.Hash(name)}
	return free
}

// updateSizes updates the relative sizes of the data centres.
//
// The relative size of a data centre is the number of its active targets relative to the mean of
// all data centres, rounded to a power of two. The data centre gets a share of the chats in
// proportion to it. A size that followed every target that joins or leaves would move chats between
// data centres, where a move takes twice as long and is paid for twice. Rounding changes a target's
// share by at most a factor of the square root of two; spilling evens out the rest. A data centre
// without active targets has the size zero and does not change the sizes of the others.
func (p *pool) updateSizes() {
	p.utilizationAt = time.Time{}
	active, used := 0.0, 0
	for _, c := range p.dataCentres {
		active += c.activeCount
		if c.activeCount > 0 {
			used++
		}
	}
	mean := active / float64(max(used, 1))
	for i := range p.dataCentres {
		c := &p.dataCentres[i]
		c.relativeSize = 0
		if c.activeCount > 0 {
			c.relativeSize = math.Exp2(math.Round(math.Log2(c.activeCount / mean)))
		}
	}
}
