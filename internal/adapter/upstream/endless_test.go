package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/upstream"
)

const (
	// endlessBytes is where a target that sends without end stops, so that a reader without a bound fails
	// the test and takes no more memory.
	endlessBytes = 64 << 20
	// sendBufferBytes keeps what the kernel holds of a target's bytes small against the bounds.
	sendBufferBytes = 16 << 10
)

// endlessTarget is a target that sends to each request a beginning, and then the same text without end.
type endlessTarget struct {
	listener  net.Listener
	beginning string
	repeated  string
	sent      atomic.Int64 // bytes that the kernel took, over all connections
}

func newEndlessTarget(beginning, repeated string) *endlessTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	t := &endlessTarget{listener: l, beginning: beginning, repeated: strings.Repeat(repeated, 1+4096/len(repeated))}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go t.serve(c)
		}
	}()
	return t
}

func (t *endlessTarget) serve(c net.Conn) {
	defer c.Close()
	_ = c.(*net.TCPConn).SetWriteBuffer(sendBufferBytes)
	_, _ = c.Read(make([]byte, 4096))
	_, err := io.WriteString(c, t.beginning)
	for err == nil && t.sent.Load() < endlessBytes {
		var n int
		n, err = io.WriteString(c, t.repeated)
		t.sent.Add(int64(n))
	}
	_, _ = c.Read(make([]byte, 1)) // until the client closes the connection
}

// request returns a request to the target. Answers with the ID "other" belong to another request.
func (t *endlessTarget) request() upstream.Request {
	return upstream.Request{
		TargetUID: 1, Address: t.listener.Addr().String(), Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{},
		IsAnswer: func(h http.Header) bool { return h.Get("Id") != "other" },
	}
}

const otherAnswer = "HTTP/1.1 200 OK\r\nId: other\r\n"

var _ = Describe("a target that sends bytes without end", func() {
	const deadline = 3 * time.Second
	// Guards against a router that reads one answer until its memory is full and it is killed, with every
	// request that it holds.
	DescribeTable("has its connection closed soon, and few bytes read",
		func(beginning, repeated string, maxBytes int, expected error) {
			target := newEndlessTarget(beginning, repeated)
			ctx, cancel := context.WithTimeout(context.Background(), deadline)
			defer cancel()
			startedAt := time.Now()
			client := upstream.New(upstream.DefaultSettings(), time.Now, nil)
			a, err := client.Do(ctx, target.request())
			if err == nil {
				_, err = io.Copy(io.Discard, a)
				a.Close()
			}
			took := time.Since(startedAt)
			GinkgoWriter.Println("bytes taken:", target.sent.Load(), "after", took)
			Expect(err != nil).To(BeTrue(), "the answer ended without an error")
			Expect(len(err.Error())).To(BeNumerically("<", 1000), "the error is logged")
			Expect(ctx.Err()).NotTo(HaveOccurred())
			Expect(took).To(BeNumerically("<", deadline/3))
			Expect(target.sent.Load()).To(BeNumerically("<", maxBytes))
			if expected != nil {
				Expect(errors.Is(err, expected)).To(BeTrue(), err.Error())
				Expect(errors.Is(err, upstream.ErrNotSent)).To(BeFalse())
			}
		},
		Entry("a status line", "HTTP/1.1 200 O", "K", 1<<20, upstream.ErrHeadTooLarge),
		Entry("bytes of another protocol", "", "\x16\x03\x01", 1<<20, upstream.ErrHeadTooLarge),
		Entry("bytes of another protocol after a long first line", strings.Repeat("\x16", 20000)+"\n", "\x16\x03\x01", 1<<20, upstream.ErrConnectionBroken),
		Entry("a head line", "HTTP/1.1 200 OK\r\nName: ", "v", 1<<20, upstream.ErrHeadTooLarge),
		Entry("a folded head line", "HTTP/1.1 200 OK\r\nName: v\r\n", " v\r\n", 1<<20, upstream.ErrHeadTooLarge),
		Entry("head lines", "HTTP/1.1 200 OK\r\n", "Name: v\r\n", 1<<20, upstream.ErrHeadTooLarge),
		Entry("interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", 1<<20, upstream.ErrHeadTooLarge),
		Entry("interim answers with long heads", "", "HTTP/1.1 103 Early Hints\r\nName: "+strings.Repeat("v", 4096)+"\r\n\r\n", 1<<20, upstream.ErrHeadTooLarge),
		Entry("an answer to another request, by its length", otherAnswer+"Content-Length: 1000000000000\r\n\r\n", "v", 1<<20, upstream.ErrAnswerMismatch),
		Entry("an answer to another request, in chunks", otherAnswer+"Transfer-Encoding: chunked\r\n\r\n", "1000\r\n"+strings.Repeat("v", 0x1000)+"\r\n", 8<<20, upstream.ErrAnswerMismatch),
		Entry("answers to other requests", "", otherAnswer+"Content-Length: 0\r\n\r\n", 1<<20, upstream.ErrAnswerMismatch),
		Entry("a chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0", 1<<20, nil),
		Entry("a chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "v", 1<<20, nil),
		Entry("chunk extensions", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;"+strings.Repeat("v", 1000)+"\r\nv\r\n", 1<<20, nil),
		Entry("a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nName: ", "v", 1<<20, nil),
		Entry("trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Name: v\r\n", 1<<20, nil),
	)
})

var _ = Describe("a header without end that the limit cuts anywhere in a line", func() {
	// Guards against a target that is not known for what it sends: a cut line looks like a malformed one.
	It("is too large", func() {
		for padding := range len("Name: v\r\n") {
			target := newEndlessTarget("HTTP/1.1 200 OK\r\nA: "+strings.Repeat("a", padding)+"\r\n", "Name: v\r\n")
			_, err := upstream.New(upstream.DefaultSettings(), time.Now, nil).Do(context.Background(), target.request())
			Expect(errors.Is(err, upstream.ErrHeadTooLarge)).To(BeTrue(), "%d: %v", padding, err)
			Expect(errors.Is(err, upstream.ErrConnectionBroken)).To(BeTrue())
		}
	})
})

var _ = Describe("a target whose answer has a long beginning", func() {
	// Guards against bounds on endless bytes that end sound answers.
	DescribeTable("is read",
		func(beginning string) {
			target := newEndlessTarget(beginning, "v")
			client := upstream.New(upstream.DefaultSettings(), time.Now, nil)
			a, err := client.Do(context.Background(), target.request())
			Expect(err).NotTo(HaveOccurred())
			defer a.Close()
			Expect(a.Status).To(Equal(http.StatusOK))
			n, err := io.CopyN(io.Discard, a, 2<<20)
			Expect(err).NotTo(HaveOccurred())
			Expect(n).To(BeEquivalentTo(2 << 20))
		},
		Entry("a head of 16 KiB", "HTTP/1.1 200 OK\r\nName: "+strings.Repeat("v", 16<<10)+"\r\n\r\n"),
		Entry("three interim answers", strings.Repeat("HTTP/1.1 103 Early Hints\r\nName: "+strings.Repeat("v", 1000)+"\r\n\r\n", 3)+"HTTP/1.1 200 OK\r\n\r\n"),
		Entry("an answer of 3 MiB to another request", otherAnswer+"Content-Length: 3145728\r\n\r\n"+strings.Repeat("v", 3<<20)+"HTTP/1.1 200 OK\r\n\r\n"),
	)
})
