package daemon

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a server for checks and metrics", func() {
	start := func() string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := newStatusServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		return listener.Addr().String()
	}
	// send writes head and then piece until the server closes the connection, and returns the bytes that were taken.
	send := func(head, piece string) (taken int, took time.Duration) {
		c, err := net.Dial("tcp", start())
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		Expect(c.(*net.TCPConn).SetWriteBuffer(16 << 10)).To(Succeed())
		Expect(c.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		startedAt := time.Now()
		_, err = io.WriteString(c, head)
		data := bytes.Repeat([]byte(piece), (16<<10)/len(piece))
		for err == nil && taken < 16<<20 {
			var n int
			n, err = c.Write(data)
			taken += n
		}
		return taken, time.Since(startedAt)
	}

	// Guards against a router that is killed for its memory or kept busy, when a request to these ports has no end.
	DescribeTable("ends soon after a request without end and takes few bytes", func(head, piece string, limit int) {
		taken, took := send(head, piece)
		GinkgoWriter.Printf("taken %d in %s\n", taken, took)
		Expect(taken).To(BeNumerically("<", limit))
		Expect(took).To(BeNumerically("<", 5*time.Second))
	},
		Entry("in its first line", "GET /", "x", 1<<20),
		Entry("in a head line", "GET / HTTP/1.1\r\nHost: a\r\nX: ", "x", 1<<20),
		Entry("in head lines", "GET / HTTP/1.1\r\nHost: a\r\n", "X-Line: xxxx\r\n", 1<<20),
		Entry("in its body", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n", 4<<20),
	)

	// Guards against connections that stay open for ever, until no descriptor is left.
	It("closes a connection whose request does not arrive", func() {
		c, err := net.Dial("tcp", start())
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(c.SetReadDeadline(time.Now().Add(statusTimeout + 3*time.Second))).To(Succeed())
		_, err = io.ReadAll(c)
		Expect(err).NotTo(HaveOccurred(), "the server closes it")
	})
})
