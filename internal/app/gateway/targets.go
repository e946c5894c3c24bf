package gateway

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/replica"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// putTargetsInForce takes in the list of targets as of a version and returns the ids of those that got new work until
// now and are leaving, or gone from the list.
func (c *Control) putTargetsInForce(now time.Time, rows []replica.Row, version uint64, source string) (left []string) {
	targets, rejected := c.list.update(rows)
	rejected = append(rejected, c.unnamed(targets)...)
	c.entries.rejected(rejected, source)
	staying := c.roster.Staying()
	ended := c.roster.Update(now, version, targets, c.entries.keys())
	news, left := c.roster.Departures(staying, c.list.has)
	c.departures.add(news)
	c.publishTargets(now)
	for _, t := range ended {
		n := c.view.attempts.restarted(t.UID)
		c.log.Line(eventlog.TargetRestarted).Str("target", t.ID).Int64("started", t.Started).Int("attempts", n).Msg("")
	}
	return left
}

// unnamed takes the pools that the desired state in force does not name off the targets and returns
// their entries as rejected. A later desired state may name them.
func (c *Control) unnamed(targets map[string][]placement.Target) []RejectedEntry {
	table := c.view.table.Load()
	if table == nil {
		return nil
	}
	var out []RejectedEntry
	for pool, list := range targets {
		if table.NamesPool(pool) {
			continue
		}
		for _, t := range list {
			err := code.AtField(code.BadTargetEntry, t.ID, "pool %q is not in desired state %d", pool, table.Version)
			out = append(out, RejectedEntry{Key: t.ID, RowVersion: t.Row, Err: err})
		}
		delete(targets, pool)
	}
	return out
}

func (c *Control) publishTargets(now time.Time) {
	c.view.mu.Lock()
	c.view.board.SetTargets(now, c.roster.Pools())
	c.view.mu.Unlock()
	c.updateReady()
}
