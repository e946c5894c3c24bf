package gateway

import (
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

func stateOf(version uint64, size int) *peerv1.CopyResponse {
	return &peerv1.CopyResponse{Version: version, Rows: []*peerv1.Row{{Key: "config", Version: version, Value: []byte(strings.Repeat("route ", size/6))}}}
}

var _ = Describe("copies of tables", func() {
	now := time.Unix(1000, 0)
	const link = 1_250_000

	It("arrive as they were, packed once for all that ask if they are large", func() {
		c := newCopies(fleet.NewCopyBudget(now, 0))
		state := stateOf(7, 300_000)
		first, err := c.answer(now, 0, state, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(proto.Size(first)).To(BeNumerically("<", 30_000))
		second, err := c.answer(now, 0, proto.Clone(state).(*peerv1.CopyResponse), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(second).To(BeIdenticalTo(first))
		got, err := unpack(second)
		Expect(err).NotTo(HaveOccurred())
		Expect(proto.Equal(got, state)).To(BeTrue())
		next, err := c.answer(now, 0, stateOf(8, 300_000), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(next.GetVersion()).To(Equal(uint64(8)))
	})

	// Symptom would be one content under the version of another. Cause would be a key of the packed copy that leaves out
	// what tells two copies of one version apart: since when they tell, and whether they are whole.
	It("are never those of another version or span", func() {
		testkit.Check("100", func(t *rapid.T) {
			c := newCopies(fleet.NewCopyBudget(now, 0))
			size := rapid.IntRange(packFrom, 3*packFrom)
			for range 10 {
				version := rapid.Uint64Range(5, 8).Draw(t, "version")
				r := &peerv1.CopyResponse{Version: version, Whole: rapid.Bool().Draw(t, "whole")}
				for v := rapid.Uint64Range(1, version).Draw(t, "since"); v <= version; v++ {
					r.Rows = append(r.Rows, stateOf(v, size.Draw(t, "size")/10*10).GetRows()...)
					r.Rows[len(r.Rows)-1].Value = []byte(strings.Repeat(string(rune('a'+v)), packFrom))
				}
				answer, err := c.answer(now, 1, r, nil)
				Expect(err).NotTo(HaveOccurred())
				got, err := unpack(answer)
				Expect(err).NotTo(HaveOccurred())
				Expect(proto.Equal(got, r)).To(BeTrue())
			}
		})
	})

	It("that can't be unpacked are an error", func() {
		c := newCopies(fleet.NewCopyBudget(now, 0))
		whole, err := c.answer(now, 0, stateOf(7, 100_000), nil)
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

	// Load: 59 routers ask one for the same large copy at once, then go on asking every 100 ms; its link carries 1.25 MB/s.
	It("are refused at once beyond a part of the link, small ones never", func() {
		c := newCopies(fleet.NewCopyBudget(now, link))
		state := stateOf(7, 6)
		random := rand.New(rand.NewPCG(3, 4))
		noise := make([]byte, 25_000) // does not get smaller
		for i := range noise {
			noise[i] = byte(random.Uint32())
		}
		state.Rows[0].Value = noise
		served, bytes := 0, 0
		for round := range 20 {
			at := now.Add(time.Duration(round) * 100 * time.Millisecond)
			for range 59 - served {
				r, err := c.answer(at, 0, state, nil)
				Expect(err).NotTo(HaveOccurred())
				if !r.GetBusy() {
					served++
					bytes += proto.Size(r)
				}
			}
			if round == 0 {
				Expect(served).To(Equal(3), "what goes out in 80 ms")
			}
			small, err := c.answer(at, 1, stateOf(9, 1000), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(small.GetBusy()).To(BeFalse())
		}
		Expect(bytes).To(BeNumerically("<=", 2*link/2), "two seconds")
		Expect(served).To(BeNumerically(">=", 35))
	})
})
