package target_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/target"
	"github.com/hemlockdyke/hemlockdyke/internal/core/attempt"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

var _ = Describe("a target whose answer has no end", func() {
	const (
		callTimeout  = 20 * time.Second
		soon         = 10 * time.Second
		maxHeadTaken = 1 << 20
		maxBodyTaken = 24 << 20
	)
	heads := []struct{ head, unit string }{
		{"HTTP/1.1 200 ", "x"}, {"HTTP/1.1 200 OK\r\nX: ", "x"}, {"HTTP/1.1 200 OK\r\n", "X-Line: xxxxxxxxxxxxxxxx\r\n"}, {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	}
	const bodyHead = "HTTP/1.1 200 OK\r\n\r\n"
	// expectBounded makes a call to an endless server and checks that it ends soon and takes at most limit bytes.
	expectBounded := func(head, unit string, limit int, call func(ctx context.Context, address string)) {
		GinkgoHelper()
		server := testkit.StartEndlessServer(head, unit)
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		startedAt := time.Now()
		call(ctx, server.Address)
		Expect(time.Since(startedAt)).To(BeNumerically("<", soon))
		GinkgoWriter.Printf("taken %d in %s\n", server.Taken(), time.Since(startedAt))
		Expect(server.Taken()).To(BeNumerically("<=", limit))
	}

	// Guards against a router that is killed for its memory or kept busy, when a target sends bytes without end.
	It("is given up soon by a request", func() {
		for _, fresh := range []bool{false, true} {
			call := func(ctx context.Context, address string) {
				var last attempt.Event
				target.New(target.DefaultSettings()).SendAttempt(ctx, target.AttemptRequest{
					Address: address, Method: http.MethodGet, Path: "/", Header: http.Header{}, RequestID: "r", Number: 1, FreshConnection: fresh,
				}, func(a target.Answer) { last = a.Event })
				Expect(last).To(Equal(attempt.ConnectionFailed{Attempt: 1}))
			}
			for _, h := range heads {
				expectBounded(h.head, h.unit, maxHeadTaken, call)
			}
			expectBounded(bodyHead, "xxxxxxxx", maxBodyTaken, call)
		}
	})

	It("is given up soon by a read of its status and by an order", func() {
		status := func(ctx context.Context, address string) {
			_, _, err := target.NewOrderClient(callTimeout).ReadStatus(ctx, address)
			Expect(err).To(HaveOccurred())
		}
		order := func(ctx context.Context, address string) {
			Expect(target.NewOrderClient(callTimeout).SendOrder(ctx, address, 1, "drain", "", time.Now().Add(time.Minute))).NotTo(Succeed())
		}
		for _, h := range heads {
			expectBounded(h.head, h.unit, maxHeadTaken, status)
			expectBounded(h.head, h.unit, maxHeadTaken, order)
		}
		expectBounded(bodyHead, " ", maxBodyTaken, status)
		expectBounded(bodyHead, " ", maxBodyTaken, order)
	})
})
