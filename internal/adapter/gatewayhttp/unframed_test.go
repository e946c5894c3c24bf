package gatewayhttp_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
)

var _ = Describe("a stream to a caller that speaks HTTP/1.0", func() {
	// stream sends a request and returns what its caller reads of the answer's body.
	stream := func(serve func(gateway.Responder)) (string, error) {
		s := startCallerServer(func(_ context.Context, responder gateway.Responder) {
			responder.SendHeader(http.StatusOK, nil, -1)
			serve(responder)
		}, nil)
		c := s.dial()
		_, err := io.WriteString(c, "GET /r1 HTTP/1.0\r\nHost: h\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		status, _, body, err := readAnswer(bufio.NewReader(c))
		Expect(status).To(BeElementOf(200, 0)) // 0 if the reset came before the header was read
		return body, err
	}

	// Guards against a stream that breaks off and looks whole: without a length or chunks its end is that of the connection.
	DescribeTable("ends with a reset if it is cut", func(cut func(gateway.Responder)) {
		for range 10 {
			_, err := stream(func(responder gateway.Responder) {
				_ = responder.Write([]byte("part"))
				cut(responder)
			})
			Expect(err).To(MatchError(syscall.ECONNRESET))
		}
	},
		Entry("after its target broke off", func(r gateway.Responder) { r.Abort() }),
		Entry("by a panic", func(gateway.Responder) { panicsForTest() }),
	)

	// Guards against a whole stream that ends with a reset, which may discard the last events.
	It("ends in order if it is whole", func() {
		whole := strings.Repeat("data: x\n\n", 100_000)
		body, err := stream(func(responder gateway.Responder) { _ = responder.Write([]byte(whole)) })
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(whole))
	})
})
