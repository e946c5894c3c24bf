package gateway

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/replica"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// applyTargets applies a version of the target list. It returns the IDs of the targets that get no
// new requests from now on because they are leaving or were removed from the list.
func (c *Control) applyTargets(now time.Time, rows []replica.Row, version uint64, source string) (departed []string) {
	targets, rejected := c.cachedTargets.update(rows)
	rejected = append(rejected, c.rejectUnknownPools(targets)...)
	c.rejections.record(rejected, source)
	nonLeavingBefore := c.targetSet.NonLeavingTargets()
	ended := c.targetSet.Update(now, version, targets, c.rejections.keys())
	departures, departed := c.targetSet.DeparturesSince(nonLeavingBefore, c.cachedTargets.has)
	c.departures.add(departures)
	c.publishTargets(now)
	for _, t := range ended {
		n := c.traffic.openAttempts.cancelRestarted(t.UID)
		c.log.Line(eventlog.TargetRestarted).Str("target", t.ID).Int64("started", t.StartedAtMs).Int("attempts", n).Msg("")
	}
	return departed
}

// rejectUnknownPools deletes the pools that the applied desired state does not contain from
// targets. It returns their entries as rejected. A later desired state may contain these pools.
func (c *Control) rejectUnknownPools(targets map[string][]placement.Target) []RejectedEntry {
	table := c.traffic.table.Load()
	if table == nil {
		return nil
	}
	var out []RejectedEntry
	for pool, list := range targets {
		if table.ReferencesPool(pool) {
			continue
		}
		for _, t := range list {
			err := code.NewFieldError(code.BadTargetEntry, t.ID, "pool %q is not in desired state %d", pool, table.Version)
			out = append(out, RejectedEntry{Key: t.ID, RowVersion: t.RowVersion, Err: err})
		}
		delete(targets, pool)
	}
	return out
}

// publishTargets passes the current targets to the balancer and updates the readiness.
func (c *Control) publishTargets(now time.Time) {
	c.traffic.mu.Lock()
	c.traffic.balancer.SetTargets(now, c.targetSet.ByPool())
	c.traffic.mu.Unlock()
	c.updateReady()
}
