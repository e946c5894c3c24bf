package peer_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/peer"
)

// endlessForwarder sends an answer without end, and counts its bytes.
type endlessForwarder struct{ sent atomic.Int64 }

func (*endlessForwarder) Handle(context.Context, proto.Message) (proto.Message, error) {
	return nil, context.Canceled
}

// smallURI is the URI of the requests whose answers have one part.
const smallURI = "/small"

func (f *endlessForwarder) Forward(_ context.Context, r *peerv1.ForwardRequest, send func(*peerv1.ForwardResponse) error) error {
	part := &peerv1.ForwardResponse{Part: &peerv1.ForwardResponse_Data{Data: make([]byte, 8<<10)}}
	if r.GetUri() == smallURI {
		return send(part)
	}
	for {
		if err := send(part); err != nil {
			return err
		}
		f.sent.Add(8 << 10)
	}
}

// startEndlessForwarder serves the peer service at the returned address.
func startEndlessForwarder() (*endlessForwarder, string) {
	f := &endlessForwarder{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	handlers := http.NewServeMux()
	handlers.Handle(peer.NewHandler(f, peer.WithoutCompression()))
	server := &http.Server{Handler: handlers, Protocols: peer.Protocols()}
	DeferCleanup(server.Close)
	go func() { _ = server.Serve(listener) }()
	return f, listener.Addr().String()
}

var _ = Describe("a forwarded answer", func() {
	// Guards against a router whose memory is taken by forwarded answers that no caller takes.
	It("stops at its forwarder while it is not read, and goes on once it is", func() {
		f, address := startEndlessForwarder()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		stream, err := peer.NewForwardClient().Forward(ctx, address, &peerv1.ForwardRequest{})
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(300 * time.Millisecond)
		GinkgoWriter.Println("bytes sent while nothing was read:", f.sent.Load())
		Expect(f.sent.Load()).To(BeNumerically("<", 1<<20))
		for range 1000 {
			_, err := stream.Receive()
			Expect(err).NotTo(HaveOccurred())
		}
		cancel()
		_ = stream.Close()
	})

	// Guards against answers whose callers take nothing, and that stop all others of the same forwarder.
	It("arrives while other answers of the connection are not read", func() {
		_, address := startEndlessForwarder()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		client := peer.NewForwardClient()
		for range 40 {
			_, err := client.Forward(ctx, address, &peerv1.ForwardRequest{})
			Expect(err).NotTo(HaveOccurred())
		}
		time.Sleep(300 * time.Millisecond)
		arrived := make(chan error, 1)
		go func() {
			stream, err := client.Forward(ctx, address, &peerv1.ForwardRequest{Uri: smallURI})
			if err == nil {
				_, err = stream.Receive()
			}
			arrived <- err
		}()
		Eventually(arrived, 3*time.Second).Should(Receive(BeNil()))
	})
})
