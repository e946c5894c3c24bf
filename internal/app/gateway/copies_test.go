package gateway

import (
	"bytes"
	"compress/gzip"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func copyOfSize(version uint64, size int) *peerv1.CopyResponse {
	return &peerv1.CopyResponse{Version: version, Rows: []*peerv1.Row{{Key: "config", Version: version, Value: []byte(strings.Repeat("route ", size/6))}}}
}

var _ = Describe("table copies", func() {
	now := time.Unix(1000, 0)
	const link = 1_250_000

	It("are received unchanged, and large ones are packed once for all requests", func() {
		c := newCopyServer(fleet.NewCopyBudget(now, 0))
		state := copyOfSize(7, 300_000)
		first, err := c.prepareResponse(now, 0, state, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(proto.Size(first)).To(BeNumerically("<", 30_000))
		second, err := c.prepareResponse(now, 0, proto.Clone(state).(*peerv1.CopyResponse), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(second).To(BeIdenticalTo(first))
		got, err := unpack(second)
		Expect(err).NotTo(HaveOccurred())
		Expect(proto.Equal(got, state)).To(BeTrue())
		next, err := c.prepareResponse(now, 0, copyOfSize(8, 300_000), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(next.GetVersion()).To(Equal(uint64(8)))
	})

	// Guards against serving a cached packed copy with other content. The cache key must include
	// all that distinguishes two copies of one version: the first row's version, and whether the
	// copy is whole.
	It("never contain rows of another version or range", func() {
		testkit.Check("100", func(t *rapid.T) {
			c := newCopyServer(fleet.NewCopyBudget(now, 0))
			size := rapid.IntRange(minPackBytes, 3*minPackBytes)
			for range 10 {
				version := rapid.Uint64Range(5, 8).Draw(t, "version")
				r := &peerv1.CopyResponse{Version: version, Whole: rapid.Bool().Draw(t, "whole")}
				for v := rapid.Uint64Range(1, version).Draw(t, "since"); v <= version; v++ {
					r.Rows = append(r.Rows, copyOfSize(v, size.Draw(t, "size")/10*10).GetRows()...)
					r.Rows[len(r.Rows)-1].Value = []byte(strings.Repeat(string(rune('a'+v)), minPackBytes))
				}
				answer, err := c.prepareResponse(now, 1, r, nil)
				Expect(err).NotTo(HaveOccurred())
				got, err := unpack(answer)
				Expect(err).NotTo(HaveOccurred())
				Expect(proto.Equal(got, r)).To(BeTrue())
			}
		})
	})

	It("cause an error if they can't be unpacked", func() {
		c := newCopyServer(fleet.NewCopyBudget(now, 0))
		whole, err := c.prepareResponse(now, 0, copyOfSize(7, 100_000), nil)
		Expect(err).NotTo(HaveOccurred())
		random := rand.New(rand.NewPCG(1, 2))
		for range 200 {
			bad := proto.Clone(whole).(*peerv1.CopyResponse)
			bad.Packed = bad.Packed[:random.IntN(len(bad.Packed))]
			if len(bad.Packed) > 0 {
				_, err := unpack(bad)
				Expect(err).To(HaveOccurred())
			}
		}
	})

	// Guards against a router that is killed for its memory, when a packed list decodes to many times its size.
	It("is not unpacked if it has more rows than any table", func() {
		var packed bytes.Buffer
		w := gzip.NewWriter(&packed)
		_, err := w.Write(bytes.Repeat([]byte{0x1a, 0}, 7<<20))
		Expect(err).NotTo(HaveOccurred())
		Expect(w.Close()).To(Succeed())
		_, err = unpack(&peerv1.CopyResponse{Version: 7, Packed: packed.Bytes()})
		Expect(err).To(MatchError(ContainSubstring("more elements")))
	})

	// Load: 59 routers request the same large copy at once and retry every 100 ms while they are
	// refused. The link carries 1.25 MB/s.
	It("are refused when the copy budget is exhausted, except small ones", func() {
		c := newCopyServer(fleet.NewCopyBudget(now, link))
		state := copyOfSize(7, 6)
		random := rand.New(rand.NewPCG(3, 4))
		noise := make([]byte, 25_000) // incompressible
		for i := range noise {
			noise[i] = byte(random.Uint32())
		}
		state.Rows[0].Value = noise
		served, bytes := 0, 0
		for round := range 20 {
			at := now.Add(time.Duration(round) * 100 * time.Millisecond)
			for range 59 - served {
				r, err := c.prepareResponse(at, 0, state, nil)
				Expect(err).NotTo(HaveOccurred())
				if !r.GetBusy() {
					served++
					bytes += proto.Size(r)
				}
			}
			if round == 0 {
				Expect(served).To(Equal(3), "three copies fit into 80 ms of the link")
			}
			small, err := c.prepareResponse(at, 1, copyOfSize(9, 1000), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(small.GetBusy()).To(BeFalse())
		}
		Expect(bytes).To(BeNumerically("<=", 2*link/2), "half of what the link carries in two seconds")
		Expect(served).To(BeNumerically(">=", 35))
	})
})
