package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

const (
	// registrationInterval is the mean interval between checks whether the store's router list must
	// be read or changed. A starting router has heard from other routers by the first check, unless
	// it is the only one.
	registrationInterval = 2 * time.Second
	// maxStoreRetryInterval bounds the interval between retries of failed calls, which doubles each
	// time. Store calls cost money even if they fail.
	maxStoreRetryInterval = 16 * time.Second
	// sweepInterval is how often the first store reader looks for stale entries. An entry is
	// deleted after two sweeps without a sign of its router, so it outlives its VM by about ten
	// minutes.
	sweepInterval = 5 * time.Minute
)

// registration maintains the store's router list. Every router is listed while it runs, so that a
// router with out-of-date seeds still finds the fleet. The first relay of a data centre registers
// all its routers together, which replaces one store call per router by a single call.
type registration struct {
	control       *Control
	registered    map[fleet.Address]bool // routers registered by this router
	retryAt       time.Time
	retryInterval time.Duration
	sweptAt       time.Time
	sweep         fleet.Sweep
}

// maintainRegistration updates the router list until ctx ends.
func (c *Control) maintainRegistration(ctx context.Context) {
	r := &registration{control: c, retryInterval: registrationInterval, sweptAt: c.now(), registered: make(map[fleet.Address]bool)}
	for sleepWithJitter(ctx, registrationInterval) {
		c.log.Guard(whereRouterList, func() { r.update(ctx) })
	}
}

// update registers local routers. A router to which no other is alive reads the router list to
// find others; the first store reader removes stale entries.
func (r *registration) update(ctx context.Context) {
	c := r.control
	var alone, isFirstReader bool
	var local []fleet.Address
	c.submitAndWait(func(now time.Time) {
		alone, isFirstReader = c.core.AliveCount(now) == 0, c.core.IsFirstReader()
		local = c.core.LocalRouters(now)
	})
	now := c.now()
	if missing := r.unregistered(local); len(missing) > 0 && !now.Before(r.retryAt) {
		r.register(ctx, now, missing)
	}
	switch {
	case alone:
		_, _ = r.readRouterList(ctx) // readRouterList logs the error; the next update retries
	case isFirstReader && now.Sub(r.sweptAt) >= sweepInterval:
		r.sweptAt = now
		r.removeStaleRouters(ctx)
	}
}

// unregistered returns the local routers that must be registered. It forgets the registration of
// routers that are no longer local: they delete their entries when they stop, or the sweep does. If
// they return, they are registered again.
func (r *registration) unregistered(local []fleet.Address) []fleet.Address {
	maps.DeleteFunc(r.registered, func(a fleet.Address, _ bool) bool { return !slices.Contains(local, a) })
	return slices.DeleteFunc(slices.Clone(local), func(a fleet.Address) bool { return r.registered[a] })
}

// register adds entries to the router list. Entries left by earlier processes at the same addresses
// remain valid.
func (r *registration) register(ctx context.Context, now time.Time, missing []fleet.Address) {
	c := r.control
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	if err := c.store.RegisterRouters(callCtx, addressStrings(missing)); err != nil {
		c.log.Line(eventlog.RouterListFailed).Int("routers", len(missing)).Err(err).Msg("")
		r.retryAt = now.Add(r.retryInterval)
		r.retryInterval = min(2*r.retryInterval, maxStoreRetryInterval)
		return
	}
	r.retryInterval = registrationInterval
	for _, a := range missing {
		r.registered[a] = true
	}
}

// readRouterList reads the router list and passes it to the core.
func (r *registration) readRouterList(ctx context.Context) ([]fleet.Address, error) {
	c := r.control
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	stored, err := c.store.RegisteredRouters(callCtx)
	if err != nil {
		c.log.Line(eventlog.RouterListFailed).Err(err).Msg("")
		return nil, err
	}
	// Other routers delete entries of routers that they have not heard of for long.
	maps.DeleteFunc(r.registered, func(a fleet.Address, _ bool) bool { return !slices.Contains(stored, string(a)) })
	found := toFleetAddresses(stored)
	c.postEvent(ctx, fleet.AddressesDiscovered{Addresses: found})
	c.routerListRead.Store(true)
	return found, nil
}

// removeStaleRouters deletes routers from which nothing has been heard for long. A VM that is lost
// can't delete its own entry, and the list would grow for ever. Reading the list also lets the two
// sides of a partition find each other again after they have forgotten one another.
func (r *registration) removeStaleRouters(ctx context.Context) {
	c := r.control
	recent := make(map[fleet.Address]bool)
	c.submitAndWait(func(time.Time) { recent = c.core.RecentRouters() })
	found, err := r.readRouterList(ctx)
	if err != nil {
		return
	}
	for _, a := range r.sweep.Stale(found, recent) {
		callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		err := c.store.UnregisterRouter(callCtx, string(a))
		cancel()
		if err != nil {
			c.log.Line(eventlog.RouterListFailed).Str("peer", string(a)).Err(err).Msg("")
			continue
		}
		c.log.Line(eventlog.PeerUnlisted).Str("peer", string(a)).Msg("")
	}
}

// Unregister deletes this router from the store's router list.
func (c *Control) Unregister(ctx context.Context) error {
	return c.store.UnregisterRouter(ctx, c.settings.Address)
}

// sleepWithJitter waits between 0.5 and 1.5 times d. It returns false if ctx ends first.
func sleepWithJitter(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(time.Duration(float64(d) * (0.5 + rand.Float64())))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
