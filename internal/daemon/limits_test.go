package daemon

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/gatewayhttp"
)

var _ = Describe("the limits of a router", func() {
	// Guards against limits whose sum is more than a VM has, or that leave too little for usual work.
	DescribeTable("fit into its VM", func(megabytes, descriptors int) {
		vm := int64(megabytes) << 20
		forCallers := callerMemory(vm)
		Expect(garbageFactor*float64(forCallers) + min(ownMemory, maxOwnShare*float64(vm))).To(BeNumerically("<=", vm))
		const largestBody = 4 << 20
		Expect(forCallers).To(BeNumerically(">=", 8*largestBody))
		n := newConnectionLimits(descriptors, forCallers)
		sockets := descriptors - fileDescriptors
		Expect(n.callers + n.targets + n.peers + 2*n.status).To(BeNumerically("<=", sockets*31/32))
		Expect(n.callers).To(BeNumerically(">=", 600))
		Expect(n.targets).To(BeNumerically(">=", n.callers/2))
		Expect(n.callers).To(BeNumerically("<=", gatewayhttp.MaxConnections(forCallers)))
	},
		Entry(nil, 136, 2870), Entry(nil, 160, 4100), Entry(nil, 184, 4100), Entry(nil, 284, 4100),
		Entry(nil, 536, 8192), Entry(nil, 1048, 16384),
	)

	It("bound the memory for callers though that of the VM is unknown", func() {
		Expect(callerMemory(0)).To(BeEquivalentTo(defaultMemory))
		Expect(newConnectionLimits(0, defaultMemory).callers).To(BeNumerically(">", 500))
	})
})
