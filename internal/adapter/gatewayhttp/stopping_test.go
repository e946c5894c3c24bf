package gatewayhttp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/shutdown"
	"github.com/hemlockdyke/hemlockdyke/internal/memory"
)

var _ = Describe("a request whose body has not been read when the router must answer it to stop", func() {
	// Guards against connections that are cut while the router waits for a caller, or for memory.
	DescribeTable("is refused as not executed", func(request string, inUse int64) {
		serving, endServing := context.WithCancelCause(context.Background())
		s := &crowdServer{proxy: &limitedProxy{timeout: 10 * time.Second}, account: memory.NewAccount(4<<20, time.Second, time.Now)}
		s.callerServer = startServer(s.proxy, s.account, nil, func(s *callerServer) {
			s.server.BaseContext = func(net.Listener) context.Context { return serving }
		})
		other := s.account.Reserve(memory.Body, "other")
		defer other.Release()
		Expect(other.TryGrow(inUse)).To(BeTrue())
		c := s.dial()
		go func() { _, _ = io.WriteString(c, request) }()
		time.Sleep(100 * time.Millisecond)
		endServing(shutdown.ErrStopping)
		s.tracker.InterruptBodies()
		got, body := takeAnswer(c)
		Expect(got).To(Equal(http.StatusServiceUnavailable), body)
		Expect(body).To(MatchRegexp(`"code":2009.*"ran":"no"`))
		Expect(s.proxy.served.Load()).To(BeZero())
	},
		Entry("as its rest does not arrive", post("/x", 100_000, "b"), int64(0)),
		Entry("as it waits for memory", post("/x", crowdMaxBody, strings.Repeat("b", crowdMaxBody)), int64(2<<20)),
	)
})
