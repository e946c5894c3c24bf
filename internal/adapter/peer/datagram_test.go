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

var _ = Describe("a digest socket", func() {
	listen := func(address string) *peer.DigestSocket {
		GinkgoHelper()
		d, err := peer.ListenDigests(address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(d.Close)
		return d
	}
	receive := func(d *peer.DigestSocket) <-chan *peerv1.Digest {
		out := make(chan *peerv1.Digest, 200)
		go func() {
			defer GinkgoRecover()
			Expect(d.Receive(func(_ string, m *peerv1.Digest) { out <- m })).To(Succeed())
		}()
		return out
	}

	// A relay encodes the fleet's report once for all routers that it sends digests to. Each digest
	// also carries the report for its recipient alone.
	It("adds to each digest the report of its recipient", func() {
		sender := listen("127.0.0.1:0")
		a, b := receive(listen("127.0.0.2:17341")), receive(listen("127.0.0.3:17341"))
		sender.SendDigest([]string{"127.0.0.2:17341", "127.0.0.3:17341"},
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

	// Guards against routers that receive no digest at all, when one burst to all routers overflows
	// the send queue of a small link, which always drops the end of the burst.
	It("sends digests in bursts with pauses between them", func() {
		sender := listen("127.0.0.1:0")
		got := receive(listen("127.0.0.4:17341"))
		to := make([]string, 65) // five bursts
		for i := range to {
			to[i] = "127.0.0.4:17341"
		}
		startedAt := time.Now()
		sender.SendDigest(to, &peerv1.Digest{Sequence: 1}, nil)
		for range to {
			Eventually(got).Should(Receive())
		}
		Expect(time.Since(startedAt)).To(BeNumerically(">=", 20*time.Millisecond), "four pauses of 5 ms")
	})

	It("counts digests as unsent if they can't be sent or the queue is full", func() {
		sender := listen("127.0.0.1:0")
		sender.SendDigest([]string{"nowhere"}, &peerv1.Digest{}, nil)
		Eventually(sender.UnsentDigests).Should(Equal(int64(1)))
		to := make([]string, 320) // 19 pauses
		for i := range to {
			to[i] = "127.0.0.9:9"
		}
		startedAt := time.Now()
		for range 80 {
			sender.SendDigest(to, &peerv1.Digest{}, nil)
		}
		Expect(time.Since(startedAt)).To(BeNumerically("<", 2*time.Second), "SendDigest does not wait for the digests to be sent, which takes at least 7.6 s")
		Expect(sender.UnsentDigests()).To(BeNumerically(">=", 10*320), "the queue holds 64 messages")
	})
})
