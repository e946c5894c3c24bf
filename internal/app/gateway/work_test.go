package gateway_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/metrics"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/upstream"
	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/replica"
	"github.com/hemlockdyke/hemlockdyke/internal/core/route"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// streamDecoder decodes a desired state with a resumable stream at /chat/ and a plain route at /old/.
// Events of its pool have four tokens.
type streamDecoder struct{ stateDecoder }

func (d streamDecoder) DesiredState(rows []replica.Row) (*route.DesiredState, error) {
	s, err := d.stateDecoder.DesiredState(rows)
	s.Pools[0].TokensPerEvent = 4
	s.Routes = append(s.Routes, route.Route{
		Name: "chat", Host: "h", Prefix: "/chat/", Kind: route.Stream, Public: true, Resumable: true, MaxAttempts: 2, Split: s.Routes[0].Split,
	})
	return s, err
}

// bodyUpstream answers each attempt with the next body; after the last one, with the last again.
type bodyUpstream struct{ bodies []func() io.Reader }

func (b *bodyUpstream) Do(_ context.Context, q upstream.Request) (*upstream.Answer, error) {
	if !q.ConfirmSend() {
		return nil, upstream.ErrWithdrawn
	}
	body := b.bodies[0]
	if len(b.bodies) > 1 {
		b.bodies = b.bodies[1:]
	}
	return upstream.NewForwardedAnswer(http.StatusOK, http.Header{}, true, io.NopCloser(body())), nil
}

func (*bodyUpstream) Probe(context.Context, string) error { return nil }
func (*bodyUpstream) Prune(func(uint64) bool)             {}

// brokenReader fails as a connection that is reset.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errors.New("reset") }

func events(n int) func() io.Reader {
	return func() io.Reader { return strings.NewReader(strings.Repeat("data: x\n\n", n)) }
}

func brokenAfter(n int) func() io.Reader {
	return func() io.Reader { return io.MultiReader(events(n)(), brokenReader{}) }
}

var _ = Describe("the work of requests", func() {
	// start returns a new router and a function that sends a request through it.
	start := func(scheduled bool, bodies ...func() io.Reader) (*gateway.Control, func(gateway.Call)) {
		GinkgoHelper()
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		store := newTargetListStore()
		store.put("t0", "ready")
		store.put("t1", "ready")
		up := &bodyUpstream{bodies: bodies}
		c := gateway.NewControl(gateway.Settings{
			Name: "r", Address: "10.0.0.1:1", ReadStoreAtStart: true, FirstStart: true, MaxApplyDelay: time.Second, MaxDepartureDelay: time.Second,
			LoadMultiple: 2, LoadSlack: 3, RetryRatio: 0.2, RetrySlack: 58, RetrySpan: 10 * time.Second, ScheduleByWork: scheduled,
		}, store, streamDecoder{}, &meshPeers{from: "10.0.0.1:1", mesh: &mesh{routers: make(map[string]*gateway.Control)}}, up, eventlog.Nop(), time.Now)
		go c.Run(ctx)
		Eventually(c.Ready, 3*time.Second).Should(BeTrue())
		Eventually(func() int { return len(c.Status().OpenRequests) }).Should(Equal(2))
		proxy := gateway.NewProxy(c, sealedCodec{}, up, discardResponder{}, eventlog.Nop(), time.Now)
		return c, func(call gateway.Call) {
			GinkgoHelper()
			call.Host, call.Header = "h", http.Header{}
			match, got := proxy.Match(&call)
			Expect(got).To(Equal(code.OK))
			proxy.Serve(ctx, match, nil, discardResponder{})
		}
	}
	serve := func(scheduled bool, call gateway.Call, bodies ...func() io.Reader) *gateway.Control {
		GinkgoHelper()
		c, send := start(scheduled, bodies...)
		call.ID = "1"
		send(call)
		return c
	}

	// Guards against estimates that are never compared with their outcome, or count events for tokens.
	It("is recorded with the tokens of a complete stream, and shown in the metrics", func() {
		c := serve(true, gateway.Call{Path: "/chat/", PromptTokens: 700, MaxOutputTokens: 200}, events(25))
		got := c.Status().WorkAccuracies
		Expect(got).To(HaveLen(1))
		Expect(got[0].Pool).To(Equal("p"))
		Expect(got[0].Route).To(Equal("chat"))
		Expect(got[0].OutputTokens.Sum).To(Equal(1.0), "100 tokens, half of the maximum, as estimated")
		Expect(got[0].SlotTime.Count()).To(BeEquivalentTo(1))

		page := httptest.NewRecorder()
		metrics.NewGateway(time.Now).Handler(c.Status).ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		for _, line := range []string{
			"# TYPE hemlockdyke_work_output_tokens_ratio histogram\n",
			`hemlockdyke_work_output_tokens_ratio_bucket{pool="p",route="chat",le="0.5"} 0` + "\n",
			`hemlockdyke_work_output_tokens_ratio_bucket{pool="p",route="chat",le="1"} 1` + "\n",
			`hemlockdyke_work_output_tokens_ratio_bucket{pool="p",route="chat",le="+Inf"} 1` + "\n",
			`hemlockdyke_work_output_tokens_ratio_count{pool="p",route="chat"} 1` + "\n",
			`hemlockdyke_work_output_tokens_ratio_quantile{pool="p",route="chat",quantile="0.9"} `,
			`hemlockdyke_work_slot_time_ratio_count{pool="p",route="chat"} 1` + "\n",
		} {
			Expect(page.Body.String()).To(ContainSubstring(line))
		}
	})

	// Guards against lengths that are learned from a part of an answer, and against any effect on
	// deployments and requests that are not scheduled by work.
	DescribeTable("is not recorded", func(scheduled bool, call gateway.Call, bodies ...func() io.Reader) {
		Expect(serve(scheduled, call, bodies...).Status().WorkAccuracies).To(BeEmpty())
	},
		Entry("unless the pool is scheduled by work", false, gateway.Call{Path: "/chat/", PromptTokens: 700}, events(25)),
		Entry("without a prompt", true, gateway.Call{Path: "/chat/"}, events(25)),
		Entry("for answers that are no streams", true, gateway.Call{Path: "/old/", PromptTokens: 700}, events(25)),
		Entry("for streams that broke", true, gateway.Call{Path: "/chat/", PromptTokens: 700}, brokenAfter(3)),
		Entry("for streams that two targets sent", true, gateway.Call{Path: "/chat/", PromptTokens: 700}, brokenAfter(3), events(22)),
		Entry("for empty streams", true, gateway.Call{Path: "/chat/", PromptTokens: 700}, events(0)),
	)

	// Guards against a retry whose first attempt, which delivered nothing, keeps the second from being recorded.
	It("is recorded if an earlier attempt delivered nothing", func() {
		c := serve(true, gateway.Call{Path: "/chat/", PromptTokens: 700, MaxOutputTokens: 200}, brokenAfter(0), events(25))
		Expect(c.Status().WorkAccuracies).To(HaveLen(1), "after a retry")
	})

	// Guards against lengths that are learned from the rest of an answer whose beginning the caller had.
	It("is not recorded for streams that the caller resumes", func() {
		c, send := start(true, events(25), events(20))
		send(gateway.Call{ID: "1", Path: "/chat/", PromptTokens: 700})
		send(gateway.Call{ID: "2", Path: "/chat/", PromptTokens: 700, ResumedID: "1", LastEventID: "5"})
		Expect(c.Status().WorkAccuracies).To(HaveLen(1))
		Expect(c.Status().WorkAccuracies[0].OutputTokens.Count()).To(BeEquivalentTo(1))
	})
})
