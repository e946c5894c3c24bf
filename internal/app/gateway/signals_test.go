package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/upstream"
	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// leavingCodec decodes a leaving signal from a header of its own.
type leavingCodec struct{ nopCodec }

func (leavingCodec) DecodeAnswer(_ int, h http.Header) gateway.AnswerInfo {
	return gateway.AnswerInfo{Leaving: h.Get("leaving") != ""}
}

// slowDialUpstream simulates a connection that opens slowly: duringDial runs before the first
// request is sent.
type slowDialUpstream struct {
	duringDial func(q upstream.Request)
	sent       map[uint64]int
}

func (s *slowDialUpstream) Do(_ context.Context, q upstream.Request) (*upstream.Answer, error) {
	if callback := s.duringDial; callback != nil {
		s.duringDial = nil
		callback(q)
	}
	if !q.ConfirmSend() {
		return nil, upstream.ErrWithdrawn
	}
	s.sent[q.TargetUID]++
	return nil, upstream.ErrConnectionBroken
}

func (*slowDialUpstream) Probe(context.Context, string) error { return nil }
func (*slowDialUpstream) Prune(func(uint64) bool)             {}

// startOnlyRouter starts a fleet of one router and waits until it is ready and knows all targets.
func startOnlyRouter(ctx context.Context, store gateway.Store, up gateway.Upstream, targets int) *gateway.Control {
	GinkgoHelper()
	c := gateway.NewControl(gateway.Settings{
		Name: "r", Address: "10.0.0.1:1", ReadStoreAtStart: true, FirstStart: true, MaxApplyDelay: time.Second, MaxDepartureDelay: time.Second,
		LoadMultiple: 2, LoadSlack: 3, RetryRatio: 0.2, RetrySlack: 58, RetrySpan: 10 * time.Second,
	}, store, stateDecoder{}, &meshPeers{from: "10.0.0.1:1", mesh: &mesh{routers: make(map[string]*gateway.Control)}}, up, eventlog.Nop(), time.Now)
	go c.Run(ctx)
	Eventually(c.Ready, 3*time.Second).Should(BeTrue())
	Eventually(func() int { return len(c.Status().OpenRequests) }).Should(Equal(targets))
	return c
}

var _ = Describe("a request whose connection opens slowly", func() {
	// Guards against sending a request to a target that announced its shutdown in another answer
	// while the request's connection was being opened. The target's state was checked only when the
	// request was placed, not when it was sent.
	It("is not sent to a target that has announced its shutdown meanwhile", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := newTargetListStore()
		for i := range 3 {
			store.put(fmt.Sprint("t", i), "ready")
		}
		up := &slowDialUpstream{sent: make(map[uint64]int)}
		c := startOnlyRouter(ctx, store, up, 3)
		proxy := gateway.NewProxy(c, leavingCodec{}, up, discardResponder{}, eventlog.Nop(), time.Now)
		var leavingUID uint64
		up.duringDial = func(q upstream.Request) {
			leavingUID = q.TargetUID
			q.OnHeader(http.StatusOK, http.Header{"Leaving": []string{"1"}})
		}
		for i := range 10 {
			match, got := proxy.Match(&gateway.Call{ID: fmt.Sprint(i), Host: "h", Path: "/old/", Header: http.Header{}})
			Expect(got).To(Equal(code.OK))
			proxy.Serve(ctx, match, nil, discardResponder{})
		}
		Expect(leavingUID).NotTo(BeZero())
		Expect(up.sent[leavingUID]).To(BeZero())
		Expect(len(up.sent)).To(BeNumerically(">", 0), "sent to other targets")
	})
})
