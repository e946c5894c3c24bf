package reach

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Router is another router that may forward requests.
type Router struct {
	Address    string
	DataCentre string
}

// Result is what became of a request to a router to forward an attempt.
type Result int

const (
	// Forwarded: the router sent the attempt to its target.
	Forwarded Result = iota
	// Busy: the router has no room, or is stopping.
	Busy
	// NoPath: the router reaches no target of the pool either.
	NoPath
	// Full: the router has no quota left for the target.
	Full
	// Silent: nothing came of an attempt for too long, which may be its target's fault.
	Silent
	// Lost: the connection to the router broke.
	Lost
)

const (
	// avoidPeriod is how long a router is asked only if there is no other, after it was busy or lost.
	avoidPeriod = 500 * time.Millisecond
	// noPathPeriod is how long a router that reaches no target itself is not asked.
	noPathPeriod = time.Second
	// provenFor is how long a router that has forwarded a request is preferred to unknown ones.
	provenFor = 5 * time.Second
	// exploreShare is the share of requests for which an unknown router is asked although others are
	// proven, so that the load spreads.
	exploreShare = 0.1
	// nearWeight is how many times as likely a router in the data centre of this router or of the
	// target is asked: the request then crosses between data centres at most once.
	nearWeight = 2
	// maxNamed is how many routers a router names to one that it can't help.
	maxNamed = 3
)

// Forwarders are the other routers, with what this router has seen of them as forwarders. It is not
// safe for concurrent use.
type Forwarders struct {
	rand   *rand.Rand
	byPool map[string]map[string]*forwarder // by pool and address
	others []Router
}

type forwarder struct {
	workedAt   time.Time // when it last forwarded a request, or was named by another router
	avoidUntil time.Time
	// noPathUntil is when the router may reach targets again, as far as this one knows.
	noPathUntil time.Time
}

func (f *forwarder) isProven(now time.Time) bool {
	return !f.workedAt.IsZero() && now.Sub(f.workedAt) < provenFor
}

// NewForwarders returns Forwarders without routers.
func NewForwarders(rnd *rand.Rand) *Forwarders {
	return &Forwarders{rand: rnd, byPool: make(map[string]map[string]*forwarder)}
}

// SetRouters replaces the routers that may be asked.
func (f *Forwarders) SetRouters(others []Router) {
	f.others = others
	isKnown := make(map[string]bool, len(others))
	for _, r := range others {
		isKnown[r.Address] = true
	}
	for _, byAddress := range f.byPool {
		for address := range byAddress {
			if !isKnown[address] {
				delete(byAddress, address)
			}
		}
	}
}

func (f *Forwarders) state(pool, address string) *forwarder {
	byAddress, ok := f.byPool[pool]
	if !ok {
		byAddress = make(map[string]*forwarder)
		f.byPool[pool] = byAddress
	}
	s, ok := byAddress[address]
	if !ok {
		s = &forwarder{}
		byAddress[address] = s
	}
	return s
}

// Query says for what a forwarder is chosen.
type Query struct {
	Pool     string
	Near     []string // data centres whose routers are preferred
	Only     []string // addresses of the routers that may be chosen; nil means all
	Excluded []string // addresses of routers that must not be chosen
}

// Choose returns the router to ask next. It returns false if there is none to ask now. Its cost counts:
// it passes over all routers for each attempt.
func (f *Forwarders) Choose(now time.Time, q Query) (address string, ok bool) {
	var proven, unknown, avoided draw
	states := f.byPool[q.Pool]
	for _, r := range f.others {
		if slices.Contains(q.Excluded, r.Address) || (q.Only != nil && !slices.Contains(q.Only, r.Address)) {
			continue
		}
		s, known := states[r.Address]
		switch {
		case !known:
			unknown.add(f.rand, r, q.Near)
		case now.Before(s.noPathUntil):
		case now.Before(s.avoidUntil):
			avoided.add(f.rand, r, q.Near)
		case s.isProven(now):
			proven.add(f.rand, r, q.Near)
		default:
			unknown.add(f.rand, r, q.Near)
		}
	}
	switch {
	case proven.ok && (!unknown.ok || f.rand.Float64() >= exploreShare):
		return proven.address, true
	case unknown.ok:
		return unknown.address, true
	}
	return avoided.address, avoided.ok
}

// draw draws one of several routers, weighted by nearWeight: of exponentially distributed times, the
// probability that one is the shortest is proportional to its rate.
type draw struct {
	address string
	ok      bool
	at      float64
}

func (d *draw) add(rnd *rand.Rand, r Router, near []string) {
	at := rnd.ExpFloat64()
	if slices.Contains(near, r.DataCentre) {
		at /= nearWeight
	}
	if !d.ok || at < d.at {
		d.address, d.ok, d.at = r.Address, true, at
	}
}

// Record records what became of a request to a router. An empty address has no effect.
func (f *Forwarders) Record(now time.Time, pool, address string, r Result) {
	if r == Full || address == "" {
		return
	}
	s := f.state(pool, address)
	s.workedAt = time.Time{}
	switch r {
	case Forwarded:
		s.workedAt = now
	case NoPath:
		s.noPathUntil = now.Add(noPathPeriod)
	case Busy, Lost:
		s.avoidUntil = now.Add(avoidPeriod)
	case Silent, Full:
	}
}

// RecordNamed records that another router named these as its forwarders.
func (f *Forwarders) RecordNamed(now time.Time, pool string, addresses []string) {
	for _, r := range f.others {
		if s := f.byPool[pool][r.Address]; slices.Contains(addresses, r.Address) && (s == nil || !now.Before(s.noPathUntil)) {
			f.state(pool, r.Address).workedAt = now
		}
	}
}

// Proven returns some routers that have forwarded requests of a pool lately.
func (f *Forwarders) Proven(now time.Time, pool string) []string {
	var out []string
	for _, r := range f.others {
		if s := f.byPool[pool][r.Address]; s != nil && s.isProven(now) && len(out) < maxNamed {
			out = append(out, r.Address)
		}
	}
	return out
}
