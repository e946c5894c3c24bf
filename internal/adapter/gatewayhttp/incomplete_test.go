package gatewayhttp_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
)

// waitForCaller serves a request whose target never answers.
func waitForCaller(begun chan<- struct{}) func(context.Context, gateway.Responder) {
	return func(ctx context.Context, responder gateway.Responder) {
		begun <- struct{}{}
		<-ctx.Done()
		responder.SendError(code.CallerGone, 0)
	}
}

// secondReadFails fails each read but the first, with an error that is not the caller's doing.
type secondReadFails struct {
	net.Conn
	reads atomic.Int64
}

func (c *secondReadFails) Read(p []byte) (int, error) {
	if c.reads.Add(1) > 1 {
		return 0, syscall.EIO
	}
	return c.Conn.Read(p)
}

// Guards against requests without an answer whose cause can't be told from the logs and counters.
var _ = Describe("a request that ends without a complete answer", func() {
	It("is logged as left by its caller if that closed the connection", func() {
		begun := make(chan struct{}, 1)
		s := startCallerServer(waitForCaller(begun), nil)
		c := s.dial()
		sendRequest(c, "r1")
		Eventually(begun).Should(Receive())
		Expect(c.Close()).To(Succeed())
		Eventually(s.lines.String).Should(MatchRegexp(`"incomplete","request":"r1","why":"caller_left","read":"eof"`))
		Expect(s.counts.get("caller_left")).To(Equal(1))
	})

	It("is logged as left by its caller if that reset the connection", func() {
		begun := make(chan struct{}, 1)
		s := startCallerServer(waitForCaller(begun), nil)
		c := s.dial()
		sendRequest(c, "r1")
		Eventually(begun).Should(Receive())
		Expect(c.SetLinger(0)).To(Succeed())
		Expect(c.Close()).To(Succeed())
		Eventually(s.lines.String).Should(MatchRegexp(`"why":"caller_left","read":"reset"`))
	})

	It("is logged as a failed read if the caller is still there", func() {
		begun := make(chan struct{}, 1)
		s := startCallerServer(waitForCaller(begun), func(c net.Conn) net.Conn { return &secondReadFails{Conn: c} })
		sendRequest(s.dial(), "r1")
		Eventually(begun).Should(Receive())
		Eventually(s.lines.String).Should(MatchRegexp(`"why":"read_failed","read":"other","cancelled":true`))
		Expect(s.counts.get("read_failed")).To(Equal(1))
	})

	It("is logged as aborted if its answer ended midway", func() {
		s := startCallerServer(func(_ context.Context, responder gateway.Responder) {
			responder.SendHeader(http.StatusOK, nil, -1)
			_ = responder.Write([]byte("part"))
			responder.Abort()
		}, nil)
		c := s.dial()
		sendRequest(c, "r1")
		_, _, body, err := readAnswer(bufio.NewReader(c))
		Expect(err).To(HaveOccurred())
		Expect(body).To(Equal("part"))
		Eventually(s.lines.String).Should(MatchRegexp(`"why":"aborted","read":"[a-z]+","cancelled":false,"status":200,"sent":4`))
	})

	It("is logged with the error if a write to the caller failed", func() {
		var fail atomic.Bool
		s := startCallerServer(func(_ context.Context, responder gateway.Responder) {
			responder.SendHeader(http.StatusOK, nil, -1)
			_ = responder.Write([]byte("part"))
			fail.Store(true)
			_ = responder.Write([]byte("lost"))
		}, func(c net.Conn) net.Conn { return failingConn{c, &fail} })
		sendRequest(s.dial(), "r1")
		Eventually(s.lines.String).Should(MatchRegexp(`"why":"write_failed".*"error":"io: read/write on closed pipe"`))
	})

	It("is not logged if its answer is complete", func() {
		s := startCallerServer(func(_ context.Context, responder gateway.Responder) { responder.SendError(code.QueueFull, 0) }, nil)
		c := s.dial()
		sendRequest(c, "r1")
		status, _, _, err := readAnswer(bufio.NewReader(c))
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Consistently(s.lines.String, 100*time.Millisecond).Should(BeEmpty())
	})
})
