package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
)

var _ = Describe("the time for which a removed target remains in use", func() {
	// Guards against delays of one path that are each within the bound and together beyond it.
	DescribeTable("leaves enough of the bound for all readers of the store to be lost",
		func(maxDelay time.Duration) {
			retention := removalRetention(maxDelay)
			Expect(retention).To(BeNumerically(">", 0))
			Expect(fleet.MaxNoticeDelay + retention + fleet.TickInterval).To(BeNumerically("<=", maxDelay))
			Expect(float64(retention)).To(BeNumerically("<=", maxRetentionShare*float64(maxDelay)))
		},
		Entry("on the smallest deployments", 2*time.Second), Entry(nil, 3*time.Second), Entry(nil, 4*time.Second), Entry(nil, 5*time.Second),
	)
})
