package gateway

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/ablate"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/replica"
	"github.com/hemlockdyke/hemlockdyke/internal/core/route"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// maxLeftTold bounds the targets that a line names of those that leave with a list.
const maxLeftTold = 16

// changed puts new content of a table in force. What can't be decoded leaves the
// last good content in force.
func (c *Control) changed(now time.Time, a fleet.Changed) {
	rows, _ := c.core.Rows(a.Table)
	if a.Table == fleet.Desired {
		c.evacuate(now, rows, a)
		state, err := c.decoder.DesiredState(rows)
		switch {
		case err != nil:
			c.log.Line(eventlog.DesiredStateRejected).Uint64("row", a.Version).Str("source", a.Source).Err(err).Msg("")
		case state != nil:
			c.putInForce(now, state, a)
		}
		return
	}
	c.targetsAt = now
	left := c.putTargetsInForce(now, rows, a.Version, a.Source)
	c.view.targetsRow.Store(a.Version)
	c.log.Line(eventlog.TargetsChanged).Uint64("row", a.Version).Str("source", a.Source).Int("rows", len(rows)).
		Strs("left", left[:min(len(left), maxLeftTold)]).Msg("")
}

// evacuate puts orders to evacuate data centres in force. They count whether the desired state beside them can be decoded or not.
func (c *Control) evacuate(now time.Time, rows []replica.Row, a fleet.Changed) {
	dataCentres := c.decoder.EvacuatedDataCentres(rows)
	for _, ch := range c.view.evacuate(now, dataCentres) {
		c.log.Line(eventlog.Evacuation).Str("data_centre", ch.DataCentre).Bool("evacuated", ch.Evacuated).Uint64("row", a.Version).
			Str("source", a.Source).Msg("")
	}
	c.evacuated = len(dataCentres)
}

// putInForce swaps the routing table. Versions only rise within one process, by
// whichever way a state comes.
func (c *Control) putInForce(now time.Time, state *route.State, a fleet.Changed) {
	if state.Version <= c.version {
		return
	}
	c.version = state.Version
	table := route.Build(state)
	c.view.table.Store(table)
	c.view.mu.Lock()
	c.view.board.SetLimits(limitsOf(table))
	c.view.mu.Unlock()
	c.inForceAt = now
	if rows, version := c.core.Rows(fleet.Targets); len(rows) > 0 {
		c.putTargetsInForce(now, rows, version, a.Source)
	}
	c.updateReady()
	c.log.Line(eventlog.DesiredState).Uint64("version", state.Version).Uint64("row", a.Version).
		Str("source", a.Source).Int("routes", len(state.Routes)).Msg("")
}

func limitsOf(table *route.Table) map[string]placement.PoolLimits {
	out := make(map[string]placement.PoolLimits)
	for name, p := range table.Pools() {
		out[name] = placement.PoolLimits{Connections: p.MaxConnections, ColdPerSecond: p.ColdPerSecond, ColdFor: p.ColdFor}
	}
	return out
}

// updateReady makes the router ready once it knows the desired state and the list
// of targets. From then on it stays ready without the store: what it knows is kept
// up by the other routers, and refusing would help nobody.
func (c *Control) updateReady() {
	ready := c.view.table.Load() != nil && c.core.Known(fleet.Targets)
	if ready != c.view.ready.Load() {
		c.view.ready.Store(ready)
		c.log.Line(eventlog.ReadyChanged).Bool("ready", ready).Uint64("version", c.version).Msg("")
	}
}

// staleShare is the part of InForceWithin after which a router that can't get a desired state which
// others have serves nobody by its older one. A change reaches a router in milliseconds; the
// rest of the time is for the requests that it has begun.
const staleShare = 0.75

// updateBehind notes whether others have a newer desired state than this router.
func (c *Control) updateBehind(now time.Time) {
	c.view.behind.Store(c.core.Behind())
	since := c.core.Outdated(now)
	stale := !ablate.Off(ablate.Outdated) && since >= time.Duration(staleShare*float64(c.settings.MaxApplyDelay))
	if stale != c.view.stale.Load() {
		c.view.stale.Store(stale)
		c.log.Line(eventlog.StaleChanged).Bool("stale", stale).Uint64("version", c.version).Dur("behind", since).Msg("")
	}
}
