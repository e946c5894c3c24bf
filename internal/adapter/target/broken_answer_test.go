package target_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/target"
	"github.com/hemlockdyke/hemlockdyke/internal/core/attempt"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

const (
	plays       = 20
	uploadBytes = 4 << 20
)

// send sends a request with a body of a size to a target and returns its last event, and the status and body of the answer,
// if any.
func send(address string, fresh bool, size int) (last attempt.Event, status int, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	target.New(target.DefaultSettings()).SendAttempt(ctx, target.AttemptRequest{
		Address: address, Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: make([]byte, size), RequestID: "r", Number: 1, FreshConnection: fresh,
	}, func(a target.Answer) {
		last = a.Event
		if a.Status != 0 {
			status, body = a.Status, string(a.Body)
		}
	})
	return last, status, body
}

var _ = Describe("a service target that answers before it has read the request", func() {
	const head, part = "HTTP/1.1 200 OK\r\n\r\n", "part of a body"

	// Guards against a part of an answer that is taken for all of it: the write of the request takes the error of the
	// reset from the socket, and the read that follows sees the end of an answer without a length.
	DescribeTable("has no answer if it resets the connection", func(fresh bool) {
		address := testkit.StartAnsweringServer(func(c *net.TCPConn) {
			_, _ = io.WriteString(c, head+part)
			testkit.Reset(c)
		})
		for range plays {
			last, status, body := send(address, fresh, uploadBytes)
			Expect(last).To(Equal(attempt.ConnectionFailed{Attempt: 1}), "status %d, body %q", status, body)
		}
	}, Entry("on a pooled connection", false), Entry("on a connection of its own", true))

	// Guards against a sound answer that is taken for a broken one, or ends late, because its request is being written.
	It("has its answer if that ends in order", func() {
		long := strings.Repeat("x", 1<<20)
		address := testkit.StartAnsweringServer(func(c *net.TCPConn) {
			_, _ = io.WriteString(c, head+long)
			_ = c.CloseWrite()
			time.Sleep(time.Second)
		})
		for range 3 {
			startedAt := time.Now()
			last, status, body := send(address, true, uploadBytes)
			Expect(last).To(Equal(attempt.End{Attempt: 1, Echo: 1, Total: 1}))
			Expect(status).To(Equal(200))
			Expect(body).To(Equal(long))
			Expect(time.Since(startedAt)).To(BeNumerically("<", time.Second), "it does not wait for the target's close")
		}
	})
})

var _ = Describe("a service target whose answer has a malformed head", func() {
	// Guards against an answer in trouble that reaches the caller.
	DescribeTable("has no answer", func(head string) {
		address := testkit.StartAnsweringServer(func(c *net.TCPConn) {
			_, _ = io.WriteString(c, head+"Content-Length: 14\r\n\r\npart of a body")
		})
		for _, fresh := range []bool{false, true} {
			last, status, body := send(address, fresh, 0)
			Expect(last).To(Equal(attempt.ConnectionFailed{Attempt: 1}), "status %d, body %q", status, body)
		}
	},
		Entry("with status 000", "HTTP/1.1 000 Trouble\r\n"),
		Entry("with status 600", "HTTP/1.1 600 Trouble\r\n"),
		Entry("that switches protocols", "HTTP/1.1 101 Switching Protocols\r\n"),
		Entry("with another version", "HTTP/2.0 200 OK\r\n"),
		Entry("with a blank in a name", "HTTP/1.1 200 OK\r\nX Y: 1\r\n"),
		Entry("with a blank after a name", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n"),
	)
})
