package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/upstream"
)

// listenWithoutBuffer returns a listener whose connections take few bytes that are not read yet.
func listenWithoutBuffer() net.Listener {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	raw, err := l.SyscallConn()
	Expect(err).NotTo(HaveOccurred())
	Expect(raw.Control(func(fd uintptr) {
		Expect(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10)).To(Succeed())
	})).To(Succeed())
	return l
}

// send sends a request with a large body, and returns its error once it has ended.
func send(ctx context.Context, l net.Listener) <-chan error {
	client := upstream.New(upstream.DefaultSettings(), time.Now, nil)
	done := make(chan error, 1)
	go func() {
		_, err := client.Do(ctx, upstream.Request{TargetUID: 1, Address: l.Addr().String(), Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: [][]byte{make([]byte, bodyBytes)}})
		done <- err
	}()
	return done
}

const bodyBytes = 200 << 10

// expectDiscarded checks that most of the request of a closed connection never arrives.
func expectDiscarded(target net.Conn) {
	Expect(target.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	received, err := io.Copy(io.Discard, target)
	Expect(received).To(BeNumerically("<", bodyBytes/2))
	Expect(err).To(MatchError(unix.ECONNRESET))
}

var _ = Describe("a request that ends before its target has read it", func() {
	// Guards against a target that executes a request long after it was given up: the kernel went on
	// delivering what the closed connection had not sent yet.
	It("is not delivered when its caller gave up", func() {
		l := listenWithoutBuffer()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		done := send(ctx, l)
		target, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		defer target.Close()
		time.Sleep(300 * time.Millisecond) // the router's kernel holds what the target's does not take
		cancel()
		Eventually(done, 5*time.Second).Should(Receive(HaveOccurred()))
		expectDiscarded(target)
	})

	// Guards against the same when the target stops to acknowledge: the kernel's timeouts end the
	// connection without a reset.
	It("is not delivered when the target stopped to acknowledge it", func() {
		l := listenWithoutBuffer()
		done := send(context.Background(), l)
		target, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		defer target.Close()
		Eventually(done, 1500*time.Millisecond).Should(Receive(HaveOccurred()))
		expectDiscarded(target)
	})

	// Guards against connections that are reset although their target is only slow to answer.
	It("is delivered when the target reads it and answers late", func() {
		l := listenWithoutBuffer()
		done := send(context.Background(), l)
		target, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		defer target.Close()
		_, err = io.CopyN(io.Discard, target, bodyBytes)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(2 * time.Second)
		_, err = io.WriteString(target, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(done, 5*time.Second).Should(Receive(BeNil()))
	})
})

var _ = Describe("a client with as many connections as it may have", func() {
	// Guards against connections to targets that take the descriptors of all others, and against idle ones that keep out
	// those that are needed.
	It("closes an idle one for a new one, and refuses a request without sending it if none is idle", func() {
		held, begun := make(chan struct{}), make(chan struct{}, 2)
		target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/held" {
				begun <- struct{}{}
				<-held
			}
		}))
		defer target.Close()
		defer close(held)
		client := upstream.New(upstream.DefaultSettings(), time.Now, nil)
		client.SetMaxConnections(2)
		do := func(uid uint64, path string) (*upstream.Answer, error) {
			return client.Do(context.Background(), upstream.Request{
				TargetUID: uid, Address: strings.TrimPrefix(target.URL, "http://"), Method: http.MethodGet, URI: path, Host: "h", Header: http.Header{},
			})
		}
		finish := func(a *upstream.Answer, err error) {
			GinkgoHelper()
			Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(io.Discard, a)
			Expect(err).NotTo(HaveOccurred())
			a.Close()
		}
		for uid := range uint64(5) { // each has an idle connection then
			finish(do(uid, "/"))
		}
		for range 2 {
			go func() { _, _ = do(7, "/held") }()
			Eventually(begun).Should(Receive())
		}
		_, err := do(8, "/")
		Expect(err).To(MatchError(upstream.ErrTooManyConnections))
		Expect(errors.Is(err, upstream.ErrNotSent)).To(BeTrue())
	})
})
