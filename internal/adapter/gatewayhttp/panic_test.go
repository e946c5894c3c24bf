package gatewayhttp_test

import (
	"bufio"
	"context"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
)

var _ = Describe("a panic in the handler of a caller's request", func() {
	// Guards against a request that gets neither an answer nor a refusal, and leaves no line in the log.
	It("is answered without a promise, logged with its stack and counted", func() {
		s := startCallerServer(func(context.Context, gateway.Responder) { panicsForTest() }, nil)
		c := s.dial()
		sendRequest(c, "r1")
		status, header, body, err := readAnswer(bufio.NewReader(c))
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusInternalServerError))
		Expect(header.Get("Connection")).To(Equal("close"))
		Expect(header).NotTo(HaveKey("Retry-After"))
		Expect(body).To(MatchRegexp(`"code":4003,"name":"internal_error".*"ran":"unknown"`))
		Eventually(s.lines.String).Should(MatchRegexp(`"event":"panic","where":"callers","request":"r1","value":"test","stack":"[^"]*panicsForTest`))
		Expect(s.counts.get("panic at callers")).To(Equal(1))
	})

	// Guards against a cut answer that looks complete to its caller.
	It("cuts an answer that has begun", func() {
		s := startCallerServer(func(_ context.Context, responder gateway.Responder) {
			responder.SendHeader(http.StatusOK, nil, -1)
			_ = responder.Write([]byte("part"))
			panicsForTest()
		}, nil)
		c := s.dial()
		sendRequest(c, "r1")
		status, _, body, err := readAnswer(bufio.NewReader(c))
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(Equal("part"))
		Expect(err).To(HaveOccurred())
		Eventually(s.lines.String).Should(MatchRegexp(`"event":"panic","where":"callers","request":"r1"(.|\n)*"incomplete","request":"r1","why":"panic"`))
		Expect(s.lines.String()).NotTo(ContainSubstring("server_error"))
	})

	It("leaves an aborted answer as it is", func() {
		s := startCallerServer(func(_ context.Context, responder gateway.Responder) {
			responder.SendHeader(http.StatusOK, nil, 10)
			responder.Abort()
		}, nil)
		c := s.dial()
		sendRequest(c, "r1")
		_, _, _, err := readAnswer(bufio.NewReader(c))
		Expect(err).To(HaveOccurred())
		Eventually(s.lines.String).Should(ContainSubstring(`"why":"aborted"`))
		Expect(s.lines.String()).NotTo(ContainSubstring(`"event":"panic"`))
	})
})

// panicsForTest panics from a function whose name the logged stack must have.
func panicsForTest() { panic("test") }
