package peer_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/peer"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func TestSuite(t *testing.T) { testkit.Run(t, "peer") }

var _ = Describe("digests as datagrams", func() {
	listen := func(address string) *peer.DigestSocket {
		GinkgoHelper()
		d, err := peer.ListenDigests(address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(d.Close)
		return d
	}
	received := func(d *peer.DigestSocket) <-chan *peerv1.Digest {
		out := make(chan *peerv1.Digest, 200)
		go func() {
			defer GinkgoRecover()
			Expect(d.Receive(func(_ string, m *peerv1.Digest) { out <- m })).To(Succeed())
		}()
		return out
	}

	// A relay encodes the fleet's report once for all that it feeds, and adds to each what of it is theirs.
	It("come whole, each with what is its receiver's", func() {
		here := listen("127.0.0.1:0")
		a, b := received(listen("127.0.0.2:17341")), received(listen("127.0.0.3:17341"))
		here.Send([]string{"127.0.0.2:17341", "127.0.0.3:17341"},
			&peerv1.Digest{Sequence: 7, Report: &peerv1.Report{LoadTarget: []uint64{1, 2}, LoadOpen: []uint32{3, 4}}},
			[]*peerv1.Report{{LoadTarget: []uint64{1}, LoadOpen: []uint32{1}}, nil})
		var first, second *peerv1.Digest
		Eventually(a).Should(Receive(&first))
		Eventually(b).Should(Receive(&second))
		Expect(first.GetReport().GetLoadOpen()).To(Equal([]uint32{3, 4}))
		Expect(first.GetYours().GetLoadTarget()).To(Equal([]uint64{1}))
		Expect(second.GetReport().GetLoadOpen()).To(Equal([]uint32{3, 4}))
		Expect(second.GetYours()).To(BeNil())
		Expect(second.GetSequence()).To(BeEquivalentTo(7))
	})

	// Symptom: the same routers miss every digest. Cause: one burst to all, of which a small link's queue loses the end.
	It("go out in bursts with pauses between them", func() {
		here := listen("127.0.0.1:0")
		got := received(listen("127.0.0.4:17341"))
		to := make([]string, 65) // five bursts
		for i := range to {
			to[i] = "127.0.0.4:17341"
		}
		began := time.Now()
		here.Send(to, &peerv1.Digest{Sequence: 1}, nil)
		for range to {
			Eventually(got).Should(Receive())
		}
		Expect(time.Since(began)).To(BeNumerically(">=", 20*time.Millisecond), "four pauses of 5 ms")
	})

	It("are counted as lost when they can't be sent, and when too many wait", func() {
		here := listen("127.0.0.1:0")
		here.Send([]string{"nowhere"}, &peerv1.Digest{}, nil)
		Eventually(here.LostDigests).Should(Equal(int64(1)))
		to := make([]string, 320) // 19 pauses
		for i := range to {
			to[i] = "127.0.0.9:9"
		}
		began := time.Now()
		for range 80 {
			here.Send(to, &peerv1.Digest{}, nil)
		}
		Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second), "to send them takes 7.6 s at the least, and nobody waits for it")
		Expect(here.LostDigests()).To(BeNumerically(">=", 10*320), "64 wait")
	})
})
