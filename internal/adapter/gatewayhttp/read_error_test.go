package gatewayhttp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
)

// answerOrGone answers when release receives a value, unless the request is cancelled before.
func answerOrGone(begun chan<- struct{}, release <-chan struct{}) func(context.Context, gateway.Responder) {
	return func(ctx context.Context, responder gateway.Responder) {
		begun <- struct{}{}
		select {
		case <-ctx.Done():
			responder.SendError(code.CallerGone, 0)
		case <-release:
			responder.SendHeader(http.StatusOK, nil, 5)
			_ = responder.Write([]byte("whole"))
		}
	}
}

// afterReadConn calls a function after each read that returned bytes, before the result is used.
type afterReadConn struct {
	net.Conn
	afterRead func()
}

func (c afterReadConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.afterRead()
	}
	return n, err
}

var _ = Describe("a request whose caller has not left", func() {
	var begun, release chan struct{}
	BeforeEach(func() { begun, release = make(chan struct{}, 10), make(chan struct{}, 10) })
	expectWhole := func(r *bufio.Reader) {
		GinkgoHelper()
		status, _, body, err := readAnswer(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(Equal("whole"))
	}
	twoRequests := "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n"

	It("is answered if the next request arrives while its handler runs", func() {
		s := startCallerServer(answerOrGone(begun, release), nil)
		c := s.dial()
		reader := bufio.NewReader(c)
		sendRequest(c, "1")
		Eventually(begun).Should(Receive())
		sendRequest(c, "2")
		time.Sleep(50 * time.Millisecond)
		release <- struct{}{}
		expectWhole(reader)
		Eventually(begun).Should(Receive())
		release <- struct{}{}
		expectWhole(reader)
		Expect(s.lines.String()).To(BeEmpty())
	})

	// Guards against a cancelled request whose router is stopping: net/http reports a connection as idle
	// while it handles a request that it had read together with the one before.
	It("is answered if it arrived together with the one before and its router stops", func() {
		s := startCallerServer(answerOrGone(begun, release), nil)
		c := s.dial()
		reader := bufio.NewReader(c)
		_, err := io.WriteString(c, twoRequests)
		Expect(err).NotTo(HaveOccurred())
		Eventually(begun).Should(Receive())
		release <- struct{}{}
		expectWhole(reader)
		Eventually(begun).Should(Receive())
		done := make(chan error, 1)
		go func() { done <- s.tracker.Shutdown(context.Background(), s.server) }()
		time.Sleep(400 * time.Millisecond) // longer than the tracker closes connections one by one
		release <- struct{}{}
		expectWhole(reader)
		Eventually(done, 3*time.Second).Should(Receive(BeNil()))
	})

	// Guards against a request that is lost as the deadline with which a stopping router closes idle
	// connections ends the read of its rest.
	It("is answered if its first bytes are read while its router closes idle connections", func() {
		var s atomic.Pointer[callerServer]
		var armed atomic.Bool
		var stop sync.Once
		done := make(chan error, 1)
		s.Store(startCallerServer(answerOrGone(begun, release), func(c net.Conn) net.Conn {
			return afterReadConn{c, func() {
				if !armed.Load() {
					return
				}
				stop.Do(func() {
					go func() { done <- s.Load().tracker.Shutdown(context.Background(), s.Load().server) }()
					time.Sleep(50 * time.Millisecond) // at least two checks of the idle connections
				})
			}}
		}))
		c := s.Load().dial()
		reader := bufio.NewReader(c)
		sendRequest(c, "1")
		Eventually(begun).Should(Receive())
		release <- struct{}{}
		expectWhole(reader)
		time.Sleep(20 * time.Millisecond) // until the connection is idle
		armed.Store(true)
		_, err := io.WriteString(c, "GET")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(100 * time.Millisecond)
		_, err = io.WriteString(c, " /2 HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(begun).Should(Receive())
		release <- struct{}{}
		expectWhole(reader)
		Eventually(done, 3*time.Second).Should(Receive(BeNil()))
	})

	// Guards against a request that is cancelled as if its caller had left, as a deadline that was set
	// while its connection was idle ends the read beside its handler.
	It("is answered if the read beside its handler times out", func() {
		accepted := make(chan net.Conn, 1)
		s := startCallerServer(answerOrGone(begun, release), func(c net.Conn) net.Conn { accepted <- c; return c })
		c := s.dial()
		reader := bufio.NewReader(c)
		sendRequest(c, "1")
		Eventually(begun).Should(Receive())
		conn := <-accepted
		for range 2 {
			Expect(conn.SetReadDeadline(time.Unix(1, 0))).To(Succeed())
			time.Sleep(50 * time.Millisecond)
		}
		release <- struct{}{}
		expectWhole(reader)
		sendRequest(c, "2") // the connection is kept
		Eventually(begun).Should(Receive())
		Expect(c.Close()).To(Succeed())
		Eventually(s.lines.String).Should(MatchRegexp(`"request":"2","why":"caller_left"`), "a caller that leaves is noticed")
	})

	// Guards against a request that a stopping router has read and drops: net/http reports a connection as
	// active, and then closes it if the server has begun to shut down meanwhile.
	DescribeTable("is answered if its router stops between its header and its handler", func(kept bool) {
		active := make(chan struct{}, 10)
		var armed atomic.Bool
		s := startCallerServer(answerOrGone(begun, release), nil, func(s *callerServer) {
			s.server.ConnState = func(c net.Conn, state http.ConnState) {
				s.tracker.OnStateChange(c, state)
				if state == http.StateActive && armed.Load() {
					active <- struct{}{}
					time.Sleep(300 * time.Millisecond) // like a process that gets no processor time
				}
			}
		})
		c := s.dial()
		reader := bufio.NewReader(c)
		if kept {
			sendRequest(c, "1")
			Eventually(begun).Should(Receive())
			release <- struct{}{}
			expectWhole(reader)
			time.Sleep(20 * time.Millisecond) // until the connection is idle
		}
		armed.Store(true)
		sendRequest(c, "2")
		Eventually(active).Should(Receive())
		done := make(chan error, 1)
		go func() { done <- s.tracker.Shutdown(context.Background(), s.server) }()
		release <- struct{}{}
		expectWhole(reader)
		Eventually(done, 3*time.Second).Should(Receive(BeNil()))
	}, Entry("on a new connection", false), Entry("on a kept connection", true))

	// Guards against a request that is cancelled by the deadline that the server sets for its header.
	It("is answered after the time for its header has passed", func() {
		s := startCallerServer(answerOrGone(begun, release), nil, func(s *callerServer) {
			s.server.ReadHeaderTimeout, s.server.IdleTimeout = 50*time.Millisecond, 100*time.Millisecond
		})
		c := s.dial()
		reader := bufio.NewReader(c)
		for range 2 {
			sendRequest(c, "1")
			Eventually(begun).Should(Receive())
			time.Sleep(200 * time.Millisecond)
			release <- struct{}{}
			expectWhole(reader)
		}
	})

	// A caller that closes only its writing half can't be told from one that left before something is
	// written.
	It("is taken for one whose caller left if that closed its writing half", func() {
		s := startCallerServer(answerOrGone(begun, release), nil)
		c := s.dial()
		sendRequest(c, "1")
		Eventually(begun).Should(Receive())
		Expect(c.CloseWrite()).To(Succeed())
		Eventually(s.lines.String).Should(MatchRegexp(`"why":"caller_left","read":"eof","cancelled":true`))
	})
})
