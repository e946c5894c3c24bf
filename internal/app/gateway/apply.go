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

// maxLoggedDepartures bounds the leaving and removed targets that one log line names.
const maxLoggedDepartures = 16

// applyTable applies new content of a table. If the content can't be decoded, the last valid
// content remains applied.
func (c *Control) applyTable(now time.Time, a fleet.TableChanged) {
	if a.Table == fleet.DesiredTable {
		rows, _ := c.core.Rows(a.Table)
		c.applyEvacuations(now, rows, a)
		state, err := c.decoder.DesiredState(rows)
		switch {
		case err != nil:
			c.log.Line(eventlog.DesiredStateRejected).Uint64("row", a.Version).Str("source", a.Source).Err(err).Msg("")
		case state != nil:
			c.applyDesiredState(now, state, a)
		}
		return
	}
	c.targetsChangedAt = now
	departed := c.applyTargets(now, a)
	c.traffic.targetsRowVersion.Store(a.Version)
	c.log.Line(eventlog.TargetsChanged).Uint64("row", a.Version).Str("source", a.Source).Int("rows", c.core.RowCount(a.Table)).
		Strs("left", departed[:min(len(departed), maxLoggedDepartures)]).Msg("")
}

// applyEvacuations applies evacuation orders. They are applied even if the desired state in the
// same table can't be decoded.
func (c *Control) applyEvacuations(now time.Time, rows []replica.Row, a fleet.TableChanged) {
	dataCentres := c.decoder.EvacuatedDataCentres(rows)
	for _, ch := range c.traffic.setEvacuated(now, dataCentres) {
		c.log.Line(eventlog.Evacuation).Str("data_centre", ch.DataCentre).Bool("evacuated", ch.Evacuated).Uint64("row", a.Version).
			Str("source", a.Source).Msg("")
	}
	c.evacuatedCount = len(dataCentres)
}

// applyDesiredState replaces the routing table. It ignores versions that are not newer than the
// applied one, whichever source they come from.
func (c *Control) applyDesiredState(now time.Time, state *route.DesiredState, a fleet.TableChanged) {
	if state.Version <= c.desiredVersion {
		return
	}
	c.desiredVersion = state.Version
	before, table := c.traffic.table.Load(), route.Build(state)
	c.traffic.table.Store(table)
	c.traffic.streams.setLongestStream(table.LongestStream(defaultTimeout))
	c.traffic.mu.Lock()
	c.traffic.balancer.SetLimits(poolLimits(table))
	c.traffic.shedding.rankings = rankings(state)
	c.traffic.mu.Unlock()
	c.desiredAppliedAt = now
	if c.changesKnownPools(before, table) {
		c.replaceTargets(now, c.core.TableVersion(fleet.TargetsTable), a.Source)
	}
	c.updateReady(now)
	c.log.Line(eventlog.DesiredState).Uint64("version", state.Version).Uint64("row", a.Version).
		Str("source", a.Source).Int("routes", len(state.Routes)).Msg("")
}

// poolLimits returns the limits of all pools for placement.
func poolLimits(table *route.Table) map[string]placement.PoolLimits {
	out := make(map[string]placement.PoolLimits)
	for name, p := range table.Pools() {
		out[name] = placement.PoolLimits{MaxConnections: p.MaxConnections, ColdPerSecond: p.ColdPerSecond, ColdDuration: p.ColdDuration, MemoryTokens: p.MemoryTokens}
	}
	return out
}

// maxSuspectsWait is how long after its start a router that has all else waits for the fleet's suspects.
// Without them it would send each suspect to a target once more.
const maxSuspectsWait = 2 * time.Second

// updateReady makes the router ready when it has the desired state, the target list and the fleet's
// suspects. It then remains ready during a store outage: other routers keep its tables up to date, and
// refusing requests would help no caller.
func (c *Control) updateReady(now time.Time) {
	ready := c.traffic.table.Load() != nil && c.core.HasTable(fleet.TargetsTable)
	if !c.traffic.ready.Load() && !c.traffic.poisonGuard.hasSyncedSuspects() && now.Sub(c.startedAt) < maxSuspectsWait {
		ready = false
	}
	if ready != c.traffic.ready.Load() {
		c.traffic.ready.Store(ready)
		c.log.Line(eventlog.ReadyChanged).Bool("ready", ready).Uint64("version", c.desiredVersion).Msg("")
	}
}

// staleAfterShare is the fraction of MaxApplyDelay after which a router stops serving if at least
// half of those it hears have a newer desired state that it can't get. A change normally arrives
// within milliseconds; the rest of the delay is left for requests that have already started.
const staleAfterShare = 0.75

// updateStaleness records whether other routers have a newer desired state, and whether they have
// had it for too long.
func (c *Control) updateStaleness(now time.Time) {
	c.traffic.behind.Store(c.core.IsBehind())
	outdatedFor := c.core.OutdatedFor(now)
	stale := !ablate.IsOff(ablate.StaleState) && outdatedFor >= time.Duration(staleAfterShare*float64(c.settings.MaxApplyDelay))
	if stale != c.traffic.stale.Load() {
		c.traffic.stale.Store(stale)
		c.log.Line(eventlog.StaleChanged).Bool("stale", stale).Uint64("version", c.desiredVersion).Dur("behind", outdatedFor).Msg("")
	}
}
