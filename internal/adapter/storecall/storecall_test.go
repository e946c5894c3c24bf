package storecall_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/storecall"
	"github.com/hemlockdyke/hemlockdyke/internal/port"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func TestSuite(t *testing.T) { testkit.Run(t, "storecall") }

const (
	callTimeout = 60 * time.Second
	// soon is the latest end of a call whose reply has no end. Small chunks take the race detector seconds.
	soon         = 20 * time.Second
	maxHeadBytes = 1 << 20
	maxBodyBytes = 24 << 20
)

// startReplyingServer starts a server that replies with a short body after the head that is given for the path of a
// call. It returns its address.
func startReplyingServer(heads map[string]string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	serve := func(c net.Conn) {
		defer c.Close()
		requests := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, heads[r.URL.Path]+"Content-Length: 2\r\n\r\n{}")
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

var _ = Describe("a call to the store", func() {
	newClient := func(address string) *storecall.StoreClient {
		return storecall.New("http://"+address, (&net.Dialer{}).DialContext)
	}
	// Guards against a router that is killed for its memory, when the store sends bytes without end.
	DescribeTable("ends soon after a reply without end and takes a bounded number of bytes",
		func(head, unit string, limit int) {
			server := testkit.StartEndlessServer(head, unit)
			client := newClient(server.Address)
			for _, call := range []struct {
				method string
				body   []byte
				err    error
			}{{http.MethodGet, nil, port.ErrUnavailable}, {http.MethodPost, []byte("{}"), port.ErrOutcomeUnknown}} {
				before, startedAt := server.Taken(), time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
				_, _, err := client.Call(ctx, call.method, "/x", call.body)
				cancel()
				Expect(errors.Is(err, call.err)).To(BeTrue(), "%v", err)
				Expect(time.Since(startedAt)).To(BeNumerically("<", soon))
				Eventually(server.Open, time.Second, time.Millisecond).Should(BeZero(), "the connection is closed")
				GinkgoWriter.Printf("%s: %d bytes in %s\n", call.method, server.Taken()-before, time.Since(startedAt).Round(time.Millisecond))
				Expect(server.Taken() - before).To(BeNumerically("<=", limit))
			}
		},
		Entry("in its status line", "HTTP/1.1 200 ", "x", maxHeadBytes),
		Entry("in a head line", "HTTP/1.1 200 OK\r\nX: ", "x", maxHeadBytes),
		Entry("in head lines", "HTTP/1.1 200 OK\r\n", "X-Line: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n", maxHeadBytes),
		Entry("in interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", maxHeadBytes),
		Entry("in interim answers with lines", "", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", maxHeadBytes),
		Entry("in another protocol", "", "\x00\x01\x02\x03", maxHeadBytes),
		Entry("in a body without a length", "HTTP/1.1 200 OK\r\n\r\n", "xxxxxxxx", maxBodyBytes),
		Entry("in a body with a great length", "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\n\r\n", "xxxxxxxx", maxBodyBytes),
		Entry("in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n", maxBodyBytes),
		Entry("in tiny chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", maxBodyBytes),
		Entry("in a chunk's head", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8;", "x", maxBodyBytes),
		Entry("in trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Line: x\r\n", maxBodyBytes),
		Entry("in an encoded body", "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n\r\n", "\x1f\x8b\x08\x00\x00\x00\x00\x00", maxBodyBytes),
	)

	// Guards against an outage of the store that its status alone tells of, but is taken for another fault.
	It("returns the status of a refusal whose body has no end, and takes little of that body", func() {
		server := testkit.StartEndlessServer("HTTP/1.1 503 Service Unavailable\r\n\r\n", "xxxxxxxx")
		status, _, err := newClient(server.Address).Call(context.Background(), http.MethodPost, "/x", []byte("{}"))
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(503))
		Eventually(server.Open, time.Second, time.Millisecond).Should(BeZero())
		Expect(server.Taken()).To(BeNumerically("<=", 1<<20))
	})

	// Guards against a part of a reply that is taken for all of it: the write of the call takes the error of the reset from
	// the socket, and the read that follows sees the end of a reply without a length.
	It("has an unknown outcome if the store resets the connection during its reply, before it has read the call", func() {
		address := testkit.StartAnsweringServer(func(c *net.TCPConn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n{}")
			testkit.Reset(c)
		})
		for range 20 {
			status, data, err := newClient(address).Call(context.Background(), http.MethodPost, "/x", make([]byte, 4<<20))
			Expect(errors.Is(err, port.ErrOutcomeUnknown)).To(BeTrue(), "status %d, reply %q, %v", status, data, err)
		}
	})

	// Guards against a reply in trouble that counts as one, on a new connection and on one that has carried others.
	DescribeTable("has an unknown outcome if the head of its reply is malformed", func(head string) {
		server := startReplyingServer(map[string]string{"/good": "HTTP/1.1 200 OK\r\n", "/malformed": head})
		client := newClient(server)
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		for range 3 {
			_, _, err := client.Call(ctx, http.MethodPost, "/good", []byte{})
			Expect(err).NotTo(HaveOccurred())
			status, reply, err := client.Call(ctx, http.MethodPost, "/malformed", []byte{})
			Expect(errors.Is(err, port.ErrOutcomeUnknown)).To(BeTrue(), "status %d, reply %q, %v", status, reply, err)
		}
	},
		Entry("with status 000", "HTTP/1.1 000 Trouble\r\n"),
		Entry("with status 600", "HTTP/1.1 600 Trouble\r\n"),
		Entry("that switches protocols", "HTTP/1.1 101 Switching Protocols\r\n"),
		Entry("with a blank in a name", "HTTP/1.1 200 OK\r\nX Y: 1\r\n"),
	)

	reply := func(size int) *httptest.Server {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(bytes.Repeat([]byte("x"), size)) }))
		DeferCleanup(s.Close)
		return s
	}

	// Guards against a bound that refuses sound replies.
	DescribeTable("returns a whole reply of a size that the platform states", func(size int) {
		_, data, err := newClient(strings.TrimPrefix(reply(size).URL, "http://")).Call(context.Background(), http.MethodGet, "/x", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(data).To(HaveLen(size))
	},
		Entry("a page of rows of 1 MB in base64", 1_400_000),
		Entry("an object of 8 MiB", 8<<20),
		Entry("a desired state of 31,000 teams in base64", 8_400_000),
		Entry("two of them", 16_400_000),
		Entry("100 rows of 64 KiB in base64", 100*(64<<10)*4/3),
	)

	// Guards against a bound on all replies of a connection instead of each.
	It("reads any number of replies on one connection", func() {
		client := newClient(strings.TrimPrefix(reply(8<<20).URL, "http://"))
		for range 6 {
			_, data, err := client.Call(context.Background(), http.MethodGet, "/x", nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(data).To(HaveLen(8 << 20))
		}
	})

	// Guards against a truncated reply that is taken for a whole one.
	It("fails on a reply that is larger than its bound", func() {
		_, _, err := newClient(strings.TrimPrefix(reply(17<<20).URL, "http://")).Call(context.Background(), http.MethodGet, "/x", nil)
		Expect(errors.Is(err, port.ErrUnavailable)).To(BeTrue(), "%v", err)
		Expect(errors.Is(err, storecall.ErrReplyTooLarge)).To(BeTrue(), "%v", err)
	})

	// Guards against a router that is killed for the sum of several replies, each of which is within its bound.
	It("bounds the bytes of all calls at once", func() {
		const calls = 8
		server := testkit.StartEndlessServer("HTTP/1.1 200 OK\r\n\r\n", "xxxxxxxx")
		client := newClient(server.Address)
		var all sync.WaitGroup
		for range calls {
			all.Go(func() {
				defer GinkgoRecover()
				_, _, err := client.Call(context.Background(), http.MethodGet, "/x", nil)
				Expect(errors.Is(err, port.ErrUnavailable)).To(BeTrue(), "%v", err)
			})
		}
		all.Wait()
		Expect(client.PeakReplyBytes()).To(BeNumerically("<=", 32<<20))
		_, data, err := newClient(strings.TrimPrefix(reply(16_400_000).URL, "http://")).Call(context.Background(), http.MethodGet, "/x", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(data).To(HaveLen(16_400_000))
	})
})
