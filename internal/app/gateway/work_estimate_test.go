package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/workload"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

var _ = Describe("the estimate of a request's work", func() {
	estimate := func(scheduled bool, promptTokens int) (workload.Estimate, float64) {
		c := NewControl(Settings{Name: "r", Address: "10.0.0.1:1", FirstStart: true, LoadMultiple: 2, ScheduleByWork: scheduled},
			silentStore{}, jsonDecoder{}, unreachablePeers{}, unreachableTargets{}, eventlog.Nop(), time.Now)
		c.traffic.balancer.UpdateTargets(time.Now(), placement.TargetChanges{
			Updated: []placement.PoolTarget{{Pool: "p", Target: placement.Target{UID: 1, ID: "t", Slots: 4}}},
		})
		return c.traffic.estimateWork("p", "r", workload.Request{PromptTokens: promptTokens, UnreadTokens: promptTokens, MaxOutputTokens: 200})
	}

	// Guards against parts that schedule by work and get no estimate to do so.
	It("is made for a prompt of a pool that is scheduled by work", func() {
		got, percentile := estimate(true, 700)
		Expect(got.OutputTokens).To(Equal(100.0))
		Expect(got.MemoryTokens).To(Equal(800))
		Expect(percentile).To(Equal(0.5))
	})

	// Guards against load shedding or placement by work in earlier deployments.
	DescribeTable("is zero otherwise", func(scheduled bool, promptTokens int) {
		got, percentile := estimate(scheduled, promptTokens)
		Expect(got).To(Equal(workload.Estimate{}))
		Expect(percentile).To(Equal(0.5))
	}, Entry("pool not scheduled by work", false, 700), Entry("no prompt", true, 0))
})
