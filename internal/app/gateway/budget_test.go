package gateway

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

var _ = Describe("the budget of repeats of a fleet whose routers start again", func() {
	const (
		span  = 10 * time.Second
		slack = 56.0
	)

	// Guards against more repeats than the budget allows: each start brought the router's part of the slack anew.
	DescribeTable("has the slack once in a span, however often all routers start", func(routers int, first bool) {
		now := time.Now()
		repeats := 0
		for start := range 4 {
			for range routers {
				began := now.Add(time.Duration(start) * 1500 * time.Millisecond)
				var passed atomic.Int64 // nanoseconds
				clock := func() time.Time { return began.Add(time.Duration(passed.Load())) }
				c := NewControl(Settings{Name: "r", Address: "10.0.0.1:1", FirstStart: first && start == 0, MaxApplyDelay: 2 * time.Second,
					MaxDepartureDelay: 2 * time.Second, LoadMultiple: 2, RetryRatio: 0.2, RetrySlack: slack, RetryWindow: span},
					noStore{}, entries{}, noPeers{}, noTargets{}, eventlog.Nop(), clock)
				for t := range c.followCtx {
					c.followCtx[t], c.stopFollow[t] = context.WithCancel(context.Background())
				}
				for range 10 {
					passed.Add(int64(fleet.TickInterval))
					c.tick(context.Background(), clock())
				}
				for ok := true; ok; {
					if _, ok = c.view.allowRepeat(clock(), "p"); ok {
						repeats++
					}
				}
			}
		}
		Expect(repeats).To(BeNumerically("<=", slack))
	},
		Entry("for the first time and again", 8, true),
		Entry("many that hear nobody yet", 62, false),
	)
})
