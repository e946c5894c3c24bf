package gatewayhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/gatewayhttp"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func TestSuite(t *testing.T) { testkit.Run(t, "gatewayhttp") }

// slowListener delays the result of each read by its connections, like a process that gets no
// processor time right after the read.
type slowListener struct {
	net.Listener
	delay time.Duration
}

func (s slowListener) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	return slowConn{c, s.delay}, err
}

type slowConn struct {
	net.Conn
	delay time.Duration
}

func (s slowConn) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if n > 0 {
		time.Sleep(s.delay)
	}
	return n, err
}

// gatedListener stops a server between two requests of a connection. After armed is set, the
// server's next SetReadDeadline(time.Time{}), with which it waits for the next request, blocks
// until release is closed.
type gatedListener struct {
	net.Listener
	reads, lifted chan struct{} // one value per read with bytes; closed when the call blocks
	armed         *atomic.Bool
	release       chan struct{}
	once          *sync.Once
}

func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return gatedConn{c, l}, err
}

type gatedConn struct {
	net.Conn
	gate gatedListener
}

func (c gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.gate.reads <- struct{}{}
	}
	return n, err
}

func (c gatedConn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if t.IsZero() && c.gate.armed.CompareAndSwap(true, false) {
		c.gate.once.Do(func() { close(c.gate.lifted) })
		<-c.gate.release
	}
	return err
}

var _ = Describe("graceful shutdown of callers' connections", func() {
	serve := func(delay time.Duration) (address string, shutDown func(context.Context) error) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		connections := gatewayhttp.NewConnTracker(newAccount(), func() {}, closeConn)
		s := &http.Server{
			ConnState: connections.OnStateChange, ConnContext: connections.ConnContext,
			Handler: connections.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "whole") })),
		}
		go func() { _ = s.Serve(connections.Wrap(slowListener{l, delay})) }()
		DeferCleanup(s.Close)
		return l.Addr().String(), func(ctx context.Context) error { return connections.Shutdown(ctx, s) }
	}
	request := func(c net.Conn) {
		_, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		Expect(err).NotTo(HaveOccurred())
	}
	answered := func(c net.Conn) bool {
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		return err == nil && resp.StatusCode == http.StatusOK && resp.ContentLength == 5
	}

	// Guards against a request that gets no answer on a keep-alive connection of a stopping
	// router. The router reads the request, gets no processor time for a moment, and then closes
	// its idle connections. A connection must not count as idle after bytes of a request have
	// been read from it, even if the header is not complete.
	It("answers a request that was read before its idle connection was closed", func() {
		address, shutDown := serve(100 * time.Millisecond)
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		request(c)
		Expect(answered(c)).To(BeTrue())
		request(c)
		time.Sleep(40 * time.Millisecond)
		done := make(chan error, 1)
		go func() { done <- shutDown(context.Background()) }()
		Expect(answered(c)).To(BeTrue())
		Eventually(done, 3*time.Second).Should(Receive(BeNil()))
	})

	// Guards against the same failure when the server has read one byte of the next request
	// ahead, while a handler was still running. The server then reports the connection as idle
	// and waits for the rest, and the router begins to stop. The read of the rest, which has
	// arrived, must not be interrupted.
	It("answers a request whose first byte was read before its connection became idle", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		gated := gatedListener{l, make(chan struct{}, 10), make(chan struct{}), &atomic.Bool{}, make(chan struct{}), &sync.Once{}}
		connections := gatewayhttp.NewConnTracker(newAccount(), func() {}, closeConn)
		answer := make(chan struct{}, 2)
		s := &http.Server{
			ConnContext: connections.ConnContext,
			Handler:     connections.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { <-answer; fmt.Fprint(w, "whole") })),
		}
		s.ConnState = func(c net.Conn, state http.ConnState) {
			connections.OnStateChange(c, state)
			gated.armed.Store(state == http.StateIdle)
		}
		go func() { _ = s.Serve(connections.Wrap(gated)) }()
		DeferCleanup(s.Close)
		c, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		request(c)
		Eventually(gated.reads).Should(Receive())
		request(c)
		Eventually(gated.reads).Should(Receive(), "the first byte of the second request")
		answer <- struct{}{}
		Expect(answered(c)).To(BeTrue())
		Eventually(gated.lifted).Should(BeClosed())
		done := make(chan error, 1)
		go func() { done <- connections.Shutdown(context.Background(), s) }()
		time.Sleep(50 * time.Millisecond) // at least two checks of the idle connections
		close(gated.release)
		answer <- struct{}{}
		Expect(answered(c)).To(BeTrue())
		Eventually(done, 3*time.Second).Should(Receive(BeNil()))
	})

	It("closes idle connections at once and accepts no new ones", func() {
		address, shutDown := serve(0)
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		request(c)
		Expect(answered(c)).To(BeTrue())
		startedAt := time.Now()
		Expect(shutDown(context.Background())).To(Succeed())
		Expect(time.Since(startedAt)).To(BeNumerically("<", time.Second))
		_, err = c.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		_, err = net.Dial("tcp", address)
		Expect(err).To(HaveOccurred())
	})
})
