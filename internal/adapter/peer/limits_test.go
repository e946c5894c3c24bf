package peer_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/peer"
	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

const (
	limitsCallTimeout = 10 * time.Second
	// limitsSoon is the latest end of a call whose message has no end.
	limitsSoon      = 5 * time.Second
	maxTakenBytes   = 24 << 20
	maxTakenHead    = 1 << 20
	bombBytes       = 128 << 20 // the size of a compressed message that is expanded
	maxBombedAllocs = 64 << 20
)

// gzipBomb returns bombBytes of zeros, compressed.
var gzipBomb = sync.OnceValue(func() []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	zeros := make([]byte, 1<<20)
	for range bombBytes / len(zeros) {
		_, _ = w.Write(zeros)
	}
	_ = w.Close()
	return out.Bytes()
})

// allocatedBy returns the bytes that f allocates.
func allocatedBy(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// startPeer starts an HTTP server for HTTP/1 and HTTP/2 without TLS and returns its address.
func startPeer(handler http.Handler) string {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: handler, Protocols: peer.Protocols()}
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Close)
	return listener.Addr().String()
}

var _ = Describe("a call to another router", func() {
	calls := map[string]func(ctx context.Context, address string) error{
		"a table copy": func(ctx context.Context, address string) error {
			c := peer.NewCopyClient(limitsCallTimeout, func(c net.Conn) net.Conn { return c })
			_, err := c.RequestCopy(ctx, address, &peerv1.CopyRequest{})
			return err
		},
		"a search for streams": func(ctx context.Context, address string) error {
			_, err := peer.NewForwardClient().FindStreams(ctx, address, &peerv1.FindStreamsRequest{})
			return err
		},
		"a claim": func(ctx context.Context, address string) error {
			_, err := peer.NewForwardClient().ClaimRead(ctx, address, &peerv1.ClaimReadRequest{})
			return err
		},
		"a forwarded attempt": func(ctx context.Context, address string) error {
			stream, err := peer.NewForwardClient().Forward(ctx, address, &peerv1.ForwardRequest{})
			for err == nil {
				_, err = stream.Receive()
			}
			if errors.Is(err, gateway.ErrNotForwarded) {
				return errors.New("the attempt is taken for one that was not forwarded")
			}
			return err
		},
	}
	kinds := []string{"a table copy", "a search for streams", "a claim", "a forwarded attempt"}
	expectEndsSoon := func(kind, address string) {
		GinkgoHelper()
		ctx, cancel := context.WithTimeout(context.Background(), limitsCallTimeout)
		defer cancel()
		startedAt := time.Now()
		err := calls[kind](ctx, address)
		Expect(err).To(HaveOccurred())
		Expect(err.Error()).NotTo(ContainSubstring("taken for"))
		Expect(time.Since(startedAt)).To(BeNumerically("<", limitsSoon), "%v", err)
		GinkgoWriter.Printf("%s: %s, %v\n", kind, time.Since(startedAt).Round(time.Millisecond), err)
	}

	// Guards against a router that is killed for its memory or kept busy, when another router's answer has no end.
	DescribeTable("ends soon after a body without end and takes a bounded number of bytes", func(kind, contentType, head string) {
		var taken atomic.Int64
		piece := bytes.Repeat([]byte{0x12, 0}, 16<<10)
		address := startPeer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", contentType)
			_, _ = io.WriteString(w, head)
			for {
				n, err := w.Write(piece)
				taken.Add(int64(n))
				if err != nil {
					return
				}
			}
		}))
		expectEndsSoon(kind, address)
		Consistently(taken.Load, 300*time.Millisecond).Should(BeNumerically("<=", maxTakenBytes))
		GinkgoWriter.Printf("taken %d\n", taken.Load())
	},
		Entry("of a table copy", "a table copy", "application/proto", ""),
		Entry("of a search for streams", "a search for streams", "application/proto", ""),
		Entry("of a claim", "a claim", "application/proto", ""),
		Entry("of a forwarded attempt with a great message", "a forwarded attempt", "application/connect+proto", "\x00\xff\xff\xff\xff"),
		Entry("of a forwarded attempt with a great last message", "a forwarded attempt", "application/connect+proto", "\x02\xff\xff\xff\xff"),
	)

	// Guards against a router that is killed for its memory, when another router's answer begins without end.
	It("ends soon after a head without end and takes few bytes", func() {
		// HTTP/2 frames: settings, the beginning of a head, and continuations of it without end.
		field := "\x00\x06x-line" + "\x64" + strings.Repeat("x", 100)
		block := strings.Repeat(field, 100)
		frame := func(kind, flags byte, stream byte, payload string) string {
			return string([]byte{byte(len(payload) >> 16), byte(len(payload) >> 8), byte(len(payload)), kind, flags, 0, 0, 0, stream}) + payload
		}
		const settings, headers, continuation = 4, 1, 9
		for _, kind := range kinds {
			server := testkit.StartEndlessServer(frame(settings, 0, 0, "")+frame(headers, 0, 1, "\x88"), frame(continuation, 0, 1, block))
			expectEndsSoon(kind, server.Address)
			Expect(server.Taken()).To(BeNumerically("<=", maxTakenHead), kind)
			GinkgoWriter.Printf("taken %d\n", server.Taken())
			other := testkit.StartEndlessServer("HTTP/1.1 200 ", "x")
			expectEndsSoon(kind, other.Address)
			Expect(other.Taken()).To(BeNumerically("<=", maxTakenHead), kind)
		}
	})

	// Guards against a router that is killed for its memory or kept busy, when a compressed answer expands.
	It("expands no compressed answer", func() {
		bomb := gzipBomb()
		address := startPeer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/proto")
			w.Header().Set("Content-Encoding", "gzip")
			_, _ = w.Write(bomb)
		}))
		for _, kind := range kinds[:3] {
			allocated := allocatedBy(func() { expectEndsSoon(kind, address) })
			GinkgoWriter.Printf("allocated %d\n", allocated)
			Expect(allocated).To(BeNumerically("<", maxBombedAllocs), kind)
		}
	})
})

// handlerFunc replies to each message.
type handlerFunc func(m proto.Message) (proto.Message, error)

func (f handlerFunc) Handle(_ context.Context, m proto.Message) (proto.Message, error) { return f(m) }

// endlessReader returns zeros and counts them.
type endlessReader struct{ taken atomic.Int64 }

func (r *endlessReader) Read(p []byte) (int, error) {
	clear(p)
	r.taken.Add(int64(len(p)))
	return len(p), nil
}

var _ = Describe("the server of the peer service", func() {
	start := func(reply proto.Message) (address string) {
		mux := http.NewServeMux()
		mux.Handle(peer.NewHandler(handlerFunc(func(proto.Message) (proto.Message, error) { return reply, nil }), peer.WithoutCompression()))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := peer.NewServer(mux, nil)
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		return listener.Addr().String()
	}
	// Routers make their calls on one connection over HTTP/2, so the kernel holds little of many requests.
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	post := func(ctx context.Context, address, encoding string, body io.Reader) (*http.Response, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/hemlockdyke.peer.v1.PeerService/Copy", body)
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Content-Type", "application/proto")
		if encoding != "" {
			req.Header.Set("Content-Encoding", encoding)
		}
		return transport.RoundTrip(req)
	}

	// Guards against a router that is kept busy, when a request has no end.
	It("ends soon after a request without end and takes a bounded number of bytes", func() {
		ctx, cancel := context.WithTimeout(context.Background(), limitsCallTimeout)
		defer cancel()
		body, startedAt := &endlessReader{}, time.Now()
		resp, err := post(ctx, start(&peerv1.CopyResponse{}), "", body)
		Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(429))
		Expect(time.Since(startedAt)).To(BeNumerically("<", limitsSoon))
		GinkgoWriter.Printf("taken %d in %s\n", body.taken.Load(), time.Since(startedAt))
		Expect(body.taken.Load()).To(BeNumerically("<=", maxTakenBytes))
	})

	// Guards against a router that is killed for the sum of many requests, each of which is within its bound.
	It("refuses requests while it holds too much of others", func() {
		const requests, size = 10, 4 << 20
		address := start(&peerv1.CopyResponse{})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		refused := make(chan int, requests)
		for range requests {
			go func() {
				stalled, _ := io.Pipe()
				resp, err := post(ctx, address, "", io.MultiReader(bytes.NewReader(make([]byte, size)), stalled))
				if err == nil {
					refused <- resp.StatusCode
					_ = resp.Body.Close()
				}
			}()
		}
		for range requests - (24<<20)/size {
			Eventually(refused, limitsSoon).Should(Receive(Equal(429)))
		}
		Consistently(refused, 200*time.Millisecond).ShouldNot(Receive(Not(Equal(429))))
		cancel()
		c := peer.NewCopyClient(limitsCallTimeout, func(c net.Conn) net.Conn { return c })
		Eventually(func() error {
			_, err := c.RequestCopy(context.Background(), address, &peerv1.CopyRequest{})
			return err
		}, limitsSoon).Should(Succeed())
	})

	// Guards against a router that is killed for its memory or kept busy, when a compressed request expands.
	It("expands no compressed request", func() {
		address, bomb := start(&peerv1.CopyResponse{}), gzipBomb()
		allocated := allocatedBy(func() {
			startedAt := time.Now()
			resp, err := post(context.Background(), address, "gzip", bytes.NewReader(bomb))
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			Expect(resp.StatusCode).NotTo(Equal(200))
			GinkgoWriter.Printf("status %d in %s\n", resp.StatusCode, time.Since(startedAt))
		})
		GinkgoWriter.Printf("allocated %d\n", allocated)
		Expect(allocated).To(BeNumerically("<", maxBombedAllocs))
	})

	// Guards against a router that is killed for its memory, when the heads of requests have no end.
	It("ends soon after a head without end", func() {
		c, err := net.Dial("tcp", start(&peerv1.CopyResponse{}))
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nX: ")
		taken := 0
		piece := bytes.Repeat([]byte("x"), 16<<10)
		Expect(c.SetDeadline(time.Now().Add(limitsSoon))).To(Succeed())
		for err == nil && taken < 64<<20 {
			var n int
			n, err = c.Write(piece)
			taken += n
		}
		Expect(errors.Is(err, context.DeadlineExceeded)).To(BeFalse())
		GinkgoWriter.Printf("taken %d\n", taken)
		Expect(taken).To(BeNumerically("<", 8<<20), "the kernel holds some of it")
	})

	// Guards against bounds that refuse sound messages.
	It("serves a copy of the largest desired state, packed or not", func() {
		large := &peerv1.CopyResponse{Version: 7, Rows: []*peerv1.Row{{Key: "config", Value: bytes.Repeat([]byte("x"), 12<<20)}}, Packed: bytes.Repeat([]byte("y"), 1<<20)}
		c := peer.NewCopyClient(limitsCallTimeout, func(c net.Conn) net.Conn { return c })
		address := start(large)
		for range 4 {
			got, err := c.RequestCopy(context.Background(), address, &peerv1.CopyRequest{})
			Expect(err).NotTo(HaveOccurred())
			Expect(proto.Equal(got, large)).To(BeTrue())
		}
	})
})
