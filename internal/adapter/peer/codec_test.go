package peer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/peer"
)

var _ = Describe("a table copy from another router", func() {
	request := func(answer string) (*peerv1.CopyResponse, error) {
		address := startPeer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/proto")
			_, _ = io.WriteString(w, answer)
		}))
		c := peer.NewCopyClient(limitsCallTimeout, func(c net.Conn) net.Conn { return c })
		return c.RequestCopy(context.Background(), address, &peerv1.CopyRequest{})
	}

	// Guards against a router that is killed for its memory, when a list decodes to many times its size.
	It("is not decoded if it has more rows than any table", func() {
		const emptyRow = "\x1a\x00"
		allocated := allocatedBy(func() {
			_, err := request(strings.Repeat(emptyRow, 15<<20/len(emptyRow)))
			Expect(err).To(HaveOccurred())
		})
		GinkgoWriter.Printf("allocated %d\n", allocated)
		Expect(allocated).To(BeNumerically("<", 128<<20), "reading alone allocates several times the size in all")
	})

	// Guards against a bound that refuses sound copies.
	It("is decoded if it has the rows of 40,000 targets", func() {
		sound := &peerv1.CopyResponse{Version: 5, Whole: true}
		for range 40_000 {
			sound.Rows = append(sound.Rows, &peerv1.Row{Key: "i-0123456789", Value: make([]byte, 200), Version: 5})
		}
		data, err := proto.Marshal(sound)
		Expect(err).NotTo(HaveOccurred())
		got, err := request(string(data))
		Expect(err).NotTo(HaveOccurred())
		Expect(proto.Equal(got, sound)).To(BeTrue())
	})
})
