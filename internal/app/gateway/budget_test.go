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

var _ = Describe("the retry budget of a fleet whose routers restart", func() {
	const (
		span  = 10 * time.Second
		slack = 56.0
	)

	// Guards against more retries than the budget allows. They occur if a router gets its share of
	// the slack again at each restart.
	DescribeTable("grants the slack once per span, however often all routers restart", func(routers int, firstStart bool) {
		now := time.Now()
		retries := 0
		for start := range 4 {
			for range routers {
				startedAt := now.Add(time.Duration(start) * 1500 * time.Millisecond)
				var elapsed atomic.Int64 // nanoseconds
				clock := func() time.Time { return startedAt.Add(time.Duration(elapsed.Load())) }
				c := NewControl(Settings{Name: "r", Address: "10.0.0.1:1", FirstStart: firstStart && start == 0, MaxApplyDelay: 2 * time.Second,
					MaxDepartureDelay: 2 * time.Second, LoadMultiple: 2, RetryRatio: 0.2, RetrySlack: slack, RetrySpan: span},
					silentStore{}, jsonDecoder{}, unreachablePeers{}, unreachableTargets{}, eventlog.Nop(), clock)
				for t := range c.readCtx {
					c.readCtx[t], c.cancelRead[t] = context.WithCancel(context.Background())
				}
				for range 10 {
					elapsed.Add(int64(fleet.TickInterval))
					c.tick(context.Background(), clock())
				}
				for ok := true; ok; {
					if _, ok = c.traffic.tryRetry(clock(), "p"); ok {
						retries++
					}
				}
			}
		}
		Expect(retries).To(BeNumerically("<=", slack))
	},
		Entry("first start of the fleet, then restarts", 8, true),
		Entry("restarts of routers that have not heard from each other", 62, false),
	)

	// Guards against the slack that is granted again when settings with another span are applied, and against a span that
	// never is.
	It("grants the slack once per span when the span changes", func() {
		now := time.Now()
		settings := Settings{Name: "r", Address: "10.0.0.1:1", FirstStart: true, MaxApplyDelay: 2 * time.Second, MaxDepartureDelay: 2 * time.Second,
			LoadMultiple: 2, RetrySlack: slack, RetrySpan: span}
		c := NewControl(settings, silentStore{}, jsonDecoder{}, unreachablePeers{}, unreachableTargets{}, eventlog.Nop(), func() time.Time { return now })
		for t := range c.readCtx {
			c.readCtx[t], c.cancelRead[t] = context.WithCancel(context.Background())
		}
		useAll := func() (n int) {
			c.updateSlackSharers(now)
			for {
				if _, ok := c.traffic.tryRetry(now, "p"); !ok {
					return n
				}
				n++
			}
		}
		granted := useAll()
		Expect(granted).To(BeNumerically(">", 0))
		settings.RetrySpan = span / 2
		c.ApplySettings(settings)
		(<-c.inbox)(now)
		c.otherRouters = []string{}
		Expect(useAll()).To(BeZero())
		now = now.Add(span/2 + time.Second)
		Expect(useAll()).To(BeZero())
		now = now.Add(2 * time.Second)
		Expect(useAll()).To(Equal(granted), "the slack of the new span, once")
		now = now.Add(span/2 + time.Second)
		Expect(useAll()).To(Equal(granted), "again after the new span, which is shorter")
	})
})
