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

// sayingWire decodes what targets say by a header of its own.
type sayingWire struct{ plainWire }

func (sayingWire) Reply(_ int, h http.Header) gateway.Reply {
	return gateway.Reply{Leaving: h.Get("leaving") != ""}
}

// slowDial opens connections slowly: what its target says meanwhile, to another request, comes before the send.
type slowDial struct {
	meanwhile func(q upstream.Request)
	sent      map[uint64]int
}

func (s *slowDial) Do(_ context.Context, q upstream.Request) (*upstream.Answer, error) {
	if say := s.meanwhile; say != nil {
		s.meanwhile = nil
		say(q)
	}
	if !q.ConfirmSend() {
		return nil, upstream.ErrWithdrawn
	}
	s.sent[q.TargetUID]++
	return nil, upstream.ErrConnectionBroken
}

func (*slowDial) Prune(func(uint64) bool) {}

var _ = Describe("a request whose connection opens slowly", func() {
	// Symptom: a request reaches a target that has told this router before, in the answer to another one, that it leaves.
	// Sequence: it is placed; its connection takes a while; the word comes; it is sent. Cause: what is known of a
	// target was asked when a request was placed, not when it was sent.
	It("is not sent to a target that has said meanwhile that it leaves", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := newListStore()
		for i := range 3 {
			store.put(fmt.Sprint("t", i), "ready")
		}
		up := &slowDial{sent: make(map[uint64]int)}
		c := gateway.NewControl(gateway.Settings{
			Name: "r", Address: "10.0.0.1:1", ReadsAtOnce: true, FirstStart: true, InForceWithin: time.Second, LeftWithin: time.Second,
			LoadMultiple: 2, LoadSlack: 3, RetryRatio: 0.2, RetrySlack: 58, RetryWindow: 10 * time.Second,
		}, store, states{}, &network{from: "10.0.0.1:1", mesh: &mesh{routers: make(map[string]*gateway.Control)}}, up, eventlog.Nop(), time.Now)
		go c.Run(ctx)
		Eventually(c.Ready, 3*time.Second).Should(BeTrue())
		Eventually(func() int { return len(c.Status().OpenAt) }).Should(Equal(3))
		relay := gateway.NewRelay(c, sayingWire{}, up, nobody{}, eventlog.Nop(), time.Now)
		var leaver uint64
		up.meanwhile = func(q upstream.Request) {
			leaver = q.TargetUID
			q.OnHeader(http.StatusOK, http.Header{"Leaving": []string{"1"}})
		}
		for i := range 10 {
			match, got := relay.Match(&gateway.Call{ID: fmt.Sprint(i), Host: "h", Path: "/old/", Header: http.Header{}})
			Expect(got).To(Equal(code.OK))
			relay.Serve(ctx, match, nil, nobody{})
		}
		Expect(leaver).NotTo(BeZero())
		Expect(up.sent[leaver]).To(BeZero())
		Expect(len(up.sent)).To(BeNumerically(">", 0), "elsewhere")
	})
})
