package fleet_test

import (
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
)

// runWithLoads runs a fleet of 40 routers in three data centres whose loads change at random ten times a
// second, and passes all digests from the third second on to observe. change may add figures to a load.
func runWithLoads(observe func(d *peerv1.Digest), change func(rnd *rand.Rand, l *placement.Load)) *net {
	n := newNetOf(40, 3, 3)
	rnd := rand.New(rand.NewPCG(11, 12))
	n.run(3 * time.Second)
	n.onDigest = observe
	for range 30 {
		for i := range len(n.nodes) {
			x := n.nodes[address(i)]
			x.loads = nil
			for target := range 60 {
				if open := rnd.IntN(4); open > 0 {
					l := placement.Load{Target: uint64(target+1) * 0x9E3779B97F4A7C15, Open: open, Silent: max(rnd.IntN(40)-38, 0)}
					change(rnd, &l)
					x.loads = append(x.loads, l)
				}
			}
		}
		n.run(100 * time.Millisecond)
	}
	return n
}

var _ = Describe("the digests of a fleet without pools that are scheduled by work", func() {
	// Guards against deployments that don't use scheduling by work and pay for it in the messages between
	// routers. The hash is that of the digests before load_unread, load_memory and load_pace were sent.
	It("are byte for byte as before scheduling by work", func() {
		sum, count := sha256.New(), 0
		runWithLoads(func(d *peerv1.Digest) {
			data, err := proto.MarshalOptions{Deterministic: true}.Marshal(d)
			Expect(err).NotTo(HaveOccurred())
			sum.Write(data)
			count++
		}, func(*rand.Rand, *placement.Load) {})
		Expect(count).To(BeNumerically(">", 1000))
		Expect(hex.EncodeToString(sum.Sum(nil))).To(Equal("562dc96904ade326b60dcc9f3fe99e8649e9d5b1e7dd9732a9d946b83bd6cbe8"))
	})
})
