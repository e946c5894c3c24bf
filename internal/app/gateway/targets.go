package gateway

import (
	"slices"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/route"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// applyTargets applies a new version of the target list. It returns the IDs of the targets that get
// no new requests from now on because they are leaving or were removed from the list.
func (c *Control) applyTargets(now time.Time, a fleet.TableChanged) (departed []string) {
	if a.Whole || c.targetSet.NeedsWholeList() {
		return c.replaceTargets(now, a.Version, a.Source)
	}
	targets, removed, rejected := c.cachedTargets.apply(a.Changes)
	rejected = append(rejected, c.rejectUnknownPools(targets)...)
	c.rejections.update(a.Changes, rejected, a.Source)
	changes := placement.ListChanges{Listed: targets, Unlisted: removed, Rejected: entryKeys(rejected)}
	return c.publishListUpdate(now, c.targetSet.Apply(now, a.Version, changes))
}

// replaceTargets applies the whole target list.
func (c *Control) replaceTargets(now time.Time, version uint64, source string) (departed []string) {
	rows, _ := c.core.Rows(fleet.TargetsTable)
	targets, rejected := c.cachedTargets.update(rows)
	rejected = append(rejected, c.rejectUnknownPools(targets)...)
	c.rejections.replace(rejected, source)
	return c.publishListUpdate(now, c.targetSet.Update(now, version, targets, entryKeys(rejected)))
}

// publishListUpdate passes on what a version of the target list has changed, and returns the IDs of
// the departed targets.
func (c *Control) publishListUpdate(now time.Time, u placement.ListUpdate) (departed []string) {
	c.departures.add(u.Departures)
	c.publishTargets(now)
	for _, t := range u.Ended {
		cause, revoked := errRestarted, 0
		if t.VersionChanged {
			cause, revoked = errVersionChanged, c.traffic.streams.revoke(t.UID)
		}
		n := c.traffic.openAttempts.cancelRestarted(t.UID, cause)
		c.log.Line(eventlog.TargetRestarted).Str("target", t.ID).Int64("started", t.StartedAtMs).Str("software", t.SoftwareVersion).
			Bool("version_changed", t.VersionChanged).Int("attempts", n).Int("streams", revoked).Msg("")
	}
	return u.DepartedIDs
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

// changesKnownPools reports whether rejectUnknownPools decides otherwise about a listed target by
// another routing table. before is nil if there was none.
func (c *Control) changesKnownPools(before, after *route.Table) bool {
	return slices.ContainsFunc(c.cachedTargets.pools(), func(pool string) bool {
		return (before == nil || before.ReferencesPool(pool)) != after.ReferencesPool(pool)
	})
}

// publishTargets passes the changes of the targets to the balancer and updates the readiness.
func (c *Control) publishTargets(now time.Time) {
	c.traffic.mu.Lock()
	c.traffic.balancer.UpdateTargets(now, c.targetSet.TakeChanges())
	c.traffic.mu.Unlock()
	c.updateReady(now)
}

func entryKeys(entries []RejectedEntry) []string {
	out := make([]string, len(entries))
	for i, e := range entries {
		out[i] = e.Key
	}
	return out
}
