package gatewayhttp_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
)

var _ = Describe("a caller's write timeout", func() {
	const timeout = 100 * time.Millisecond
	withTimeout := func(s *callerServer) { s.handler.SetWriteTimeout(timeout) }

	// Guards against a stream that is cut at its end, as the time for its last event had passed when the
	// server wrote its end marker.
	It("doesn't cut a stream that ends long after its last event", func() {
		s := startCallerServer(func(_ context.Context, responder gateway.Responder) {
			responder.SendHeader(http.StatusOK, nil, -1)
			_ = responder.Write([]byte("data: 1\n\n"))
			time.Sleep(3 * timeout)
		}, nil, withTimeout)
		c := s.dial()
		reader := bufio.NewReader(c)
		for range 2 { // the connection is kept
			sendRequest(c, "r1")
			status, _, body, err := readAnswer(reader)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(http.StatusOK))
			Expect(body).To(Equal("data: 1\n\n"))
		}
	})

	// Guards against a handler that waits for ever, with its memory and its place in the count of open
	// requests, for a caller that takes nothing: each way to write must have a deadline.
	DescribeTable("ends the request of a caller that takes nothing", func(answer func(gateway.Responder)) {
		ended := make(chan struct{})
		s := startCallerServer(func(_ context.Context, responder gateway.Responder) {
			defer close(ended)
			answer(responder)
		}, func(c net.Conn) net.Conn { return stuckConn{Conn: c, deadline: make(chan time.Time, 100)} }, withTimeout)
		sendRequest(s.dial(), "r1")
		Eventually(ended, 2*time.Second).Should(BeClosed())
		// The server writes what is left after the handler; it reports the end of the connection.
		Eventually(s.closed, 2*time.Second).Should(BeClosed())
	},
		Entry("by Write", func(r gateway.Responder) {
			r.SendHeader(http.StatusOK, nil, 1<<20)
			_ = r.Write([]byte(strings.Repeat("x", 1<<20)))
		}),
		Entry("by the header alone", func(r gateway.Responder) { r.SendHeader(http.StatusNoContent, nil, 0) }),
		Entry("by SendError", func(r gateway.Responder) { r.SendError(code.QueueFull, 0) }),
	)
})

// stuckConn blocks writes until their deadline, as if the caller's window were closed.
type stuckConn struct {
	net.Conn
	deadline chan time.Time
}

func (c stuckConn) SetWriteDeadline(t time.Time) error {
	c.deadline <- t
	return nil
}

func (c stuckConn) Write([]byte) (int, error) {
	var at time.Time
	for {
		select {
		case at = <-c.deadline:
			continue
		default:
		}
		if !at.IsZero() && time.Now().After(at) {
			return 0, context.DeadlineExceeded
		}
		time.Sleep(time.Millisecond)
	}
}
