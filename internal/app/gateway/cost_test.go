package gateway

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/core/replica"
)

// fastest returns the shortest of many runs, which other work on the machine disturbs least.
func fastest(do func()) time.Duration {
	best := time.Hour
	for range 40 {
		begin := time.Now()
		do()
		best = min(best, time.Since(begin))
	}
	return best
}

// changeEntry applies a new version of the entry of one target.
func (c *Control) changeEntry(now time.Time, i int, version uint64) {
	rows := []replica.Row{targetRow(i, version)}
	for _, a := range c.core.Step(now, fleet.ChangesRead{Table: fleet.TargetsTable, Position: version, Rows: rows}) {
		if changed, ok := a.(fleet.TableChanged); ok {
			c.applyTable(now, changed)
		}
	}
}

var _ = Describe("a router's control work", func() {
	const few, many = 2000, 20000

	// Guards against routers of a large fleet that spend their processor on targets at which nothing
	// happens: each tick and each change of one entry visited all targets.
	DescribeTable("does not grow with the number of targets", func(work func(c *Control, now time.Time) func()) {
		costOf := func(targets int) time.Duration { return fastest(work(newControlWithTargets(targets))) }
		Expect(costOf(many)).To(BeNumerically("<", 4*costOf(few)), "with ten times as many")
	},
		Entry("in ticks without requests", func(c *Control, now time.Time) func() {
			return func() {
				for range 50 {
					now = now.Add(fleet.TickInterval)
					c.tick(context.Background(), now)
				}
			}
		}),
		Entry("for a changed entry", func(c *Control, now time.Time) func() {
			version := c.core.TableVersion(fleet.TargetsTable)
			return func() {
				for i := range 20 {
					version++
					c.changeEntry(now, i, version)
				}
			}
		}),
	)
})
