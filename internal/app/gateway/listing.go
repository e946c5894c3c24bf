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
	// listPause is the pause between looks whether there is something to do at the store's list.
	// A router that starts has heard of the others by then, or is alone.
	listPause = 2 * time.Second
	// listRetryMax bounds the pause after failed writes, which doubles: calls to the store are
	// paid for, refused ones too.
	listRetryMax = 16 * time.Second
	// sweepInterval is how often the first reader looks through the list. Two sweeps in a row
	// without a sign of a router end its entry, so an entry outlives its VM by ten minutes.
	sweepInterval = 5 * time.Minute
)

// listing keeps the store's list of routers. Every router is in it from its start to its stop, so
// that one that starts with out-of-date seeds finds somebody, whoever has ended meanwhile. The first relay of a data
// centre writes its routers' entries together: one call where each router made one.
type listing struct {
	control *Control
	listed  map[fleet.Address]bool // by this router
	retryAt time.Time
	retry   time.Duration
	sweptAt time.Time
	sweep   fleet.Sweep
}

// keepListed runs until ctx ends.
func (c *Control) keepListed(ctx context.Context) {
	l := &listing{control: c, retry: listPause, sweptAt: c.now(), listed: make(map[fleet.Address]bool)}
	for pause(ctx, listPause) {
		l.look(ctx)
	}
}

func (l *listing) look(ctx context.Context) {
	c := l.control
	var alone, first bool
	var local []fleet.Address
	c.query(func(now time.Time) {
		alone, first = c.core.AliveCount(now) == 0, c.core.IsFirstReader()
		local = c.core.LocalRouters(now)
	})
	now := c.now()
	if missing := l.missing(local); len(missing) > 0 && !now.Before(l.retryAt) {
		l.list(ctx, now, missing)
	}
	switch {
	case alone:
		_, _ = l.find(ctx) // logged there; the next look tries again
	case first && now.Sub(l.sweptAt) >= sweepInterval:
		l.sweptAt = now
		l.removeStale(ctx)
	}
}

// missing returns the routers that are to be listed. Those that have gone since take their entries out themselves, or
// the sweep does; if they come back they are listed again.
func (l *listing) missing(local []fleet.Address) []fleet.Address {
	maps.DeleteFunc(l.listed, func(a fleet.Address, _ bool) bool { return !slices.Contains(local, a) })
	return slices.DeleteFunc(slices.Clone(local), func(a fleet.Address) bool { return l.listed[a] })
}

// list writes entries. Those of earlier processes at the same addresses will do.
func (l *listing) list(ctx context.Context, now time.Time, missing []fleet.Address) {
	c := l.control
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.store.Register(call, texts(missing)); err != nil {
		c.log.Line(eventlog.RouterListFailed).Int("routers", len(missing)).Err(err).Msg("")
		l.retryAt = now.Add(l.retry)
		l.retry = min(2*l.retry, listRetryMax)
		return
	}
	l.retry = listPause
	for _, a := range missing {
		l.listed[a] = true
	}
}

// find reads who is listed, and tells the core.
func (l *listing) find(ctx context.Context) ([]fleet.Address, error) {
	c := l.control
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	listed, err := c.store.Registered(call)
	if err != nil {
		c.log.Line(eventlog.RouterListFailed).Err(err).Msg("")
		return nil, err
	}
	// Others take an entry out if they have heard nothing of its router for long.
	maps.DeleteFunc(l.listed, func(a fleet.Address, _ bool) bool { return !slices.Contains(listed, string(a)) })
	found := addresses(listed)
	c.post(ctx, fleet.AddressesDiscovered{Addresses: found})
	c.listRead.Store(true)
	return found, nil
}

// removeStale takes routers out of the list that nobody has heard of for long. A VM that is
// lost for good can't do it, and the list would grow for ever. Those that are cut off from this
// one learn of it from the list as well: two halves of a fleet that had forgotten each other
// meet again.
func (l *listing) removeStale(ctx context.Context) {
	c := l.control
	heard := make(map[fleet.Address]bool)
	c.query(func(time.Time) { heard = c.core.RecentRouters() })
	found, err := l.find(ctx)
	if err != nil {
		return
	}
	for _, a := range l.sweep.Stale(found, heard) {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := c.store.Unregister(call, string(a))
		cancel()
		if err != nil {
			c.log.Line(eventlog.RouterListFailed).Str("peer", string(a)).Err(err).Msg("")
			continue
		}
		c.log.Line(eventlog.PeerUnlisted).Str("peer", string(a)).Msg("")
	}
}

// Unlist takes this router out of the store's list.
func (c *Control) Unlist(ctx context.Context) error {
	return c.store.Unregister(ctx, c.settings.Address)
}

// pause waits for about d and reports whether ctx still runs.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(time.Duration(float64(d) * (0.5 + rand.Float64())))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
