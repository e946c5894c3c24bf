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

// starved delays what is read, as a process does that gets no processor time right after.
type starved struct {
	net.Listener
	delay time.Duration
}

func (s starved) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	return starvedConn{c, s.delay}, err
}

type starvedConn struct {
	net.Conn
	delay time.Duration
}

func (s starvedConn) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if n > 0 {
		time.Sleep(s.delay)
	}
	return n, err
}

// pipelined tells what a server does between two requests of a connection: reads are told, and once it is armed, the
// moment in which the server lifts the read deadline, to wait for the next request, is held until release is closed.
type pipelined struct {
	net.Listener
	reads, lifted chan struct{}
	armed         *atomic.Bool
	release       chan struct{}
	once          *sync.Once
}

func (l pipelined) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return pipelinedConn{c, l}, err
}

type pipelinedConn struct {
	net.Conn
	l pipelined
}

func (c pipelinedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.l.reads <- struct{}{}
	}
	return n, err
}

func (c pipelinedConn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if t.IsZero() && c.l.armed.CompareAndSwap(true, false) {
		c.l.once.Do(func() { close(c.l.lifted) })
		<-c.l.release
	}
	return err
}

var _ = Describe("the end of callers' connections", func() {
	serve := func(delay time.Duration) (address string, end func(context.Context) error) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		connections := gatewayhttp.NewConnTracker()
		s := &http.Server{ConnState: connections.OnStateChange, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "whole") })}
		go func() { _ = s.Serve(connections.Wrap(starved{l, delay})) }()
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

	// Symptom: a request on a kept connection of a stopping router gets no answer, 0.2 s after it was sent. Sequence: the router
	// reads it, gets no processor time for a moment, and ends its idle connections meanwhile. Cause: a connection counted
	// as idle until the whole header was read and looked at.
	It("answers a request that was read before its connection was ended", func() {
		address, end := serve(100 * time.Millisecond)
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		request(c)
		Expect(answered(c)).To(BeTrue())
		request(c)
		time.Sleep(40 * time.Millisecond)
		done := make(chan error, 1)
		go func() { done <- end(context.Background()) }()
		Expect(answered(c)).To(BeTrue())
		Eventually(done, 3*time.Second).Should(Receive(BeNil()))
	})

	// Symptom: as above, on a busy machine, although the read is noted at once. Sequence: a caller sends its next request as
	// the last bytes of an answer reach it; the server, which reads ahead by one byte while a handler runs, has
	// that byte, tells that the connection is idle, and waits for the rest; the router stops in that moment. Cause: the byte
	// was read before the connection counted as idle, and the read of the rest, which was there, was ended.
	// Evidence: with the moments held as here it fails every time; the test above failed in three runs beside others.
	It("answers a request of which a byte was read before its connection counted as idle", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		held := pipelined{l, make(chan struct{}, 10), make(chan struct{}), &atomic.Bool{}, make(chan struct{}), &sync.Once{}}
		connections := gatewayhttp.NewConnTracker()
		answer := make(chan struct{}, 2)
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { <-answer; fmt.Fprint(w, "whole") })}
		s.ConnState = func(c net.Conn, state http.ConnState) {
			connections.OnStateChange(c, state)
			held.armed.Store(state == http.StateIdle)
		}
		go func() { _ = s.Serve(connections.Wrap(held)) }()
		DeferCleanup(s.Close)
		c, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		request(c)
		Eventually(held.reads).Should(Receive())
		request(c)
		Eventually(held.reads).Should(Receive(), "one byte of the second")
		answer <- struct{}{}
		Expect(answered(c)).To(BeTrue())
		Eventually(held.lifted).Should(BeClosed())
		done := make(chan error, 1)
		go func() { done <- connections.Shutdown(context.Background(), s) }()
		time.Sleep(50 * time.Millisecond) // two looks at what is idle
		close(held.release)
		answer <- struct{}{}
		Expect(answered(c)).To(BeTrue())
		Eventually(done, 3*time.Second).Should(Receive(BeNil()))
	})

	It("closes connections that are idle at once, and takes no others", func() {
		address, end := serve(0)
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		request(c)
		Expect(answered(c)).To(BeTrue())
		began := time.Now()
		Expect(end(context.Background())).To(Succeed())
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		_, err = c.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		_, err = net.Dial("tcp", address)
		Expect(err).To(HaveOccurred())
	})
})
