package prefill

import (
	"slices"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
)

// silentPeriod is how long a router that did not answer is not asked again: each request would wait for
// the timeout of the call.
const silentPeriod = time.Second

// Registrars chooses the registrars of prefixes among the routers that are alive.
type Registrars struct {
	self        router
	others      []router
	silentUntil map[string]time.Time // by address
}

type router struct {
	address string
	seed    uint64
}

// NewRegistrars returns the registrars of a router that knows no other.
func NewRegistrars(self string) *Registrars {
	return &Registrars{self: newRouter(self), silentUntil: make(map[string]time.Time)}
}

func newRouter(address string) router {
	return router{address: address, seed: rendezvous.Hash(address)}
}

// SetOthers replaces the other routers that are alive.
func (r *Registrars) SetOthers(now time.Time, addresses []string) {
	for a, until := range r.silentUntil {
		if !now.Before(until) {
			delete(r.silentUntil, a)
		}
	}
	if slices.EqualFunc(addresses, r.others, func(a string, o router) bool { return a == o.address }) {
		return
	}
	r.others = r.others[:0]
	for _, a := range addresses {
		r.others = append(r.others, newRouter(a))
	}
}

// Of returns the address of the registrar of a prefix, and whether that is this router.
func (r *Registrars) Of(k Key) (address string, self bool) {
	best, bestWeight := r.self, rendezvous.Mix(uint64(k), r.self.seed)
	for _, o := range r.others {
		w := rendezvous.Mix(uint64(k), o.seed)
		if w > bestWeight || (w == bestWeight && o.address < best.address) {
			best, bestWeight = o, w
		}
	}
	return best.address, best.address == r.self.address
}

// RecordSilence records that a router did not answer.
func (r *Registrars) RecordSilence(now time.Time, address string) {
	r.silentUntil[address] = now.Add(silentPeriod)
}

// MayAsk reports whether a router has not failed to answer recently.
func (r *Registrars) MayAsk(now time.Time, address string) bool {
	until, ok := r.silentUntil[address]
	return !ok || !now.Before(until)
}
