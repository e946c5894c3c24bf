package peer_test

import (
	"context"
	"io"
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
	return f, startServer(f).Addr
}

// startServer serves the peer service at the server's address.
func startServer(h peer.Handler) *http.Server {
	handlers := http.NewServeMux()
	handlers.Handle(peer.NewHandler(h, peer.WithoutCompression()))
	return serve(handlers)
}

// serve serves a handler at the server's address.
func serve(handler http.Handler) *http.Server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Addr: listener.Addr().String(), Handler: handler, Protocols: peer.Protocols()}
	DeferCleanup(func() { _ = server.Close() }) // a spec may have closed it
	go func() { _ = server.Serve(listener) }()
	return server
}

// cutForwarder sends one part of an answer and then ends the stream or its connection without its end.
type cutForwarder struct {
	endlessForwarder
	cut func()
}

func (f *cutForwarder) Forward(_ context.Context, _ *peerv1.ForwardRequest, send func(*peerv1.ForwardResponse) error) error {
	if err := send(&peerv1.ForwardResponse{Part: &peerv1.ForwardResponse_Data{Data: []byte("part")}}); err != nil {
		return err
	}
	f.cut()
	return nil
}

var _ = Describe("a forwarded answer", func() {
	// Guards against a part of a forwarded answer that is taken for all of it, as its end was the stream's.
	DescribeTable("does not end in order if its forwarder breaks off", func(closeConnection bool) {
		var server *http.Server
		f := &cutForwarder{cut: func() {
			if closeConnection {
				_ = server.Close()
			}
			panic(http.ErrAbortHandler)
		}}
		server = startServer(f)
		stream, err := peer.NewForwardClient().Forward(context.Background(), server.Addr, &peerv1.ForwardRequest{})
		Expect(err).NotTo(HaveOccurred())
		for err == nil {
			_, err = stream.Receive()
		}
		Expect(err).NotTo(MatchError(io.EOF))
		_ = stream.Close()
	},
		Entry("by ending the stream", false), Entry("by closing its connection", true))

	// Guards against a last part without the end of its stream: the body of the call ends in order, but its last message is missing.
	It("does not end in order if the call's body ends without its last message", func() {
		handlers := http.NewServeMux()
		handlers.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/connect+proto")
			data, err := proto.Marshal(&peerv1.ForwardResponse{Part: &peerv1.ForwardResponse_Data{Data: []byte("part")}})
			if err == nil {
				_, _ = w.Write(append([]byte{0, 0, 0, 0, byte(len(data))}, data...))
			}
		})
		stream, err := peer.NewForwardClient().Forward(context.Background(), serve(handlers).Addr, &peerv1.ForwardRequest{})
		Expect(err).NotTo(HaveOccurred())
		part, err := stream.Receive()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(part.GetData())).To(Equal("part"))
		_, err = stream.Receive()
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(io.EOF))
		_ = stream.Close()
	})

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
