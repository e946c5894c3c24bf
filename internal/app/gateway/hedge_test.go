package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/upstream"
	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/replica"
	"github.com/hemlockdyke/hemlockdyke/internal/core/route"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// stubAnswer answers one attempt.
type stubAnswer func(ctx context.Context, r upstream.Request) (*upstream.Answer, error)

// stubTargets answers the attempts in order, the last answer again and again.
type stubTargets struct {
	attempts atomic.Int64
	answers  []stubAnswer
}

func (*stubTargets) Probe(context.Context, string) error { return nil }
func (*stubTargets) Prune(func(uint64) bool)             {}

func (s *stubTargets) Do(ctx context.Context, r upstream.Request) (*upstream.Answer, error) {
	if !r.ConfirmSend() {
		return nil, upstream.ErrWithdrawn
	}
	return s.answers[min(int(s.attempts.Add(1)), len(s.answers))-1](ctx, r)
}

// hang never answers.
func hang(ctx context.Context, _ upstream.Request) (*upstream.Answer, error) {
	<-ctx.Done()
	return nil, upstream.ErrConnectionBroken
}

// pieces is a body that arrives in pieces.
type pieces struct {
	ctx   context.Context
	texts []string
	wait  func(i int) time.Duration // before piece i and the end
	next  int
	err   error // after the last piece
}

func (b *pieces) Read(p []byte) (int, error) {
	select {
	case <-time.After(b.wait(b.next)):
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	if b.next == len(b.texts) {
		return 0, b.err
	}
	b.next++
	return copy(p, b.texts[b.next-1]), nil
}

func (*pieces) Close() error { return nil }

// answerPieces answers with a status and pieces, a millisecond apart.
func answerPieces(status int, texts ...string) stubAnswer {
	return func(ctx context.Context, _ upstream.Request) (*upstream.Answer, error) {
		return upstream.NewForwardedAnswer(status, http.Header{}, true, &pieces{ctx: ctx, texts: texts, err: io.EOF, wait: func(int) time.Duration { return time.Millisecond }}), nil
	}
}

// hedgeCodec passes the last event on in a header and takes every answer for a sealed one.
type hedgeCodec struct{ nopCodec }

func (hedgeCodec) PrepareHeader(_ *gateway.Call, a gateway.Attempt) http.Header {
	return http.Header{"Last": {a.LastEventID}}
}

func (hedgeCodec) DecodeAnswer(int, http.Header) gateway.AnswerInfo {
	return gateway.AnswerInfo{Sealed: true}
}

// hedgeDecoder has the resumable streams "/s/" and the plain requests "/p/".
type hedgeDecoder struct{ stateDecoder }

func (hedgeDecoder) DesiredState(rows []replica.Row) (*route.DesiredState, error) {
	base := route.Route{Host: "h", Public: true, MaxAttempts: 2, Timeout: 6 * time.Second, Objective: 20 * time.Millisecond, GapObjective: 20 * time.Millisecond, Split: []route.WeightedPool{{Pool: "p", Weight: 1}}}
	stream, plain := base, base
	stream.Name, stream.Prefix, stream.Kind, stream.Resumable, stream.MaxAttempts = "s", "/s/", route.Stream, true, 4
	plain.Name, plain.Prefix, plain.Kind = "p", "/p/", route.Safe
	return &route.DesiredState{Version: rows[0].Version, Pools: []route.Pool{{Name: "p"}}, Routes: []route.Route{stream, plain}}, nil
}

func (hedgeDecoder) Targets(rows []replica.Row) (map[string][]placement.Target, []gateway.RejectedEntry) {
	out, _ := stateDecoder{}.Targets(rows)
	for i := range out["p"] {
		out["p"][i].Slots, out["p"][i].SoftwareVersion = 300, "v1"
	}
	return out, nil
}

// callerRecord records what a caller gets, and whether the responder is used as it must be.
type callerRecord struct {
	discardResponder
	panicOn string // text on which a write panics; empty for none
	busy    atomic.Bool
	ended   atomic.Bool
	misused atomic.Bool
	body    bytes.Buffer
	status  int
	failed  code.Code
	aborted bool
}

func (r *callerRecord) use() (end func()) {
	if r.ended.Load() || !r.busy.CompareAndSwap(false, true) {
		r.misused.Store(true)
	}
	return func() { r.busy.Store(false) }
}

func (r *callerRecord) SendHeader(status int, _ http.Header, _ int64) {
	defer r.use()()
	r.status = status
}

func (r *callerRecord) Write(p []byte) error {
	defer r.use()()
	if r.panicOn != "" && strings.Contains(string(p), r.panicOn) {
		panic("write")
	}
	r.body.Write(p)
	return nil
}

func (r *callerRecord) SendError(c code.Code, _ time.Duration) { defer r.use()(); r.failed = c }
func (r *callerRecord) Abort()                                 { defer r.use()(); r.aborted = true }

// hedgeRig is a router with stub targets.
type hedgeRig struct {
	control *gateway.Control
	proxy   *gateway.Proxy
	lines   *bytes.Buffer
}

func newHedgeRig(targets int, up gateway.Upstream, retries float64) *hedgeRig {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	store := newTargetListStore()
	for i := range targets {
		store.put(fmt.Sprint("t", i), "ready")
	}
	c := gateway.NewControl(gateway.Settings{
		Name: "r", Address: "10.0.0.1:1", ReadStoreAtStart: true, FirstStart: true, MaxApplyDelay: time.Second, MaxDepartureDelay: time.Second,
		LoadMultiple: 2, LoadSlack: 300, RetryRatio: 0, RetrySlack: retries, RetrySpan: 10 * time.Second,
	}, store, hedgeDecoder{}, &meshPeers{from: "10.0.0.1:1", mesh: &mesh{routers: make(map[string]*gateway.Control)}}, up, eventlog.Nop(), time.Now)
	go c.Run(ctx)
	Eventually(c.Ready, 3*time.Second).Should(BeTrue())
	Eventually(func() int { return len(c.Status().OpenRequests) }).Should(Equal(targets))
	lines := &bytes.Buffer{}
	log := eventlog.New(zerolog.New(zerolog.SyncWriter(lines)), time.Now)
	return &hedgeRig{control: c, proxy: gateway.NewProxy(c, hedgeCodec{}, up, discardResponder{}, log, time.Now), lines: lines}
}

// serve serves a request. It returns the value of a panic of the handler and closes done at its end.
func (h *hedgeRig) serve(ctx context.Context, path string, patience time.Duration, w *callerRecord) (done chan any) {
	match, got := h.proxy.Match(&gateway.Call{ID: path, Method: http.MethodGet, URI: path, Host: "h", Path: path, Header: http.Header{}, Timeout: patience})
	Expect(got).To(Equal(code.OK))
	done = make(chan any, 1)
	go func() {
		defer func() {
			w.ended.Store(true)
			done <- recover()
		}()
		h.proxy.Serve(ctx, match, nil, w)
	}()
	return done
}

func (h *hedgeRig) openRequests() int {
	n := 0
	for _, open := range h.control.Status().OpenRequests {
		n += open
	}
	return n
}

var _ = Describe("a hedge", func() {
	const patience = 3 * time.Second

	// Guards against a request that waits for ever, or to its deadline, for a hedge whose goroutine has panicked.
	DescribeTable("that panics ends the request at once", func(texts []string) {
		rig := newHedgeRig(6, &stubTargets{answers: []stubAnswer{hang, answerPieces(200, texts...)}}, 100)
		done := rig.serve(context.Background(), "/s/", patience, &callerRecord{panicOn: "bad"})
		Eventually(done, patience/2).Should(Receive(Equal("write")))
		Eventually(rig.openRequests).Should(BeZero())
		Expect(rig.lines.String()).To(ContainSubstring(`"event":"panic"`))
	},
		Entry("in the middle of the answer", []string{"id: 1\ndata: x\n\n", "id: 2\ndata: bad\n\n", "id: 3\ndata: x\n\n"}),
		Entry("at its end", []string{"id: 1\ndata: x\n\n", "bad"}),
	)

	// Guards against an error of a target that is held back until the deadline, for a target that is never heard again.
	It("that got an error answers with it soon", func() {
		rig := newHedgeRig(6, &stubTargets{answers: []stubAnswer{hang, answerPieces(500, "failed")}}, 100)
		w := &callerRecord{}
		Eventually(rig.serve(context.Background(), "/p/", patience, w), patience*2/3).Should(Receive())
		Expect(w.status).To(Equal(500))
		Expect(w.body.String()).To(Equal("failed"))
	})

	// Guards against warnings that hide others, one for each time that a hedge is asked for.
	It("that the budget denies is logged once", func() {
		rig := newHedgeRig(6, &stubTargets{answers: []stubAnswer{hang}}, 0)
		w := &callerRecord{}
		Eventually(rig.serve(context.Background(), "/p/", patience, w), patience+time.Second).Should(Receive())
		Expect(w.failed).To(Equal(code.DeadlinePassed))
		Expect(strings.Count(rig.lines.String(), `"event":"repeat_denied"`)).To(Equal(1))
	})

	// Guards against two attempts that answer at once, out of order or after the handler has ended, and against requests
	// that never end.
	It("and the attempt beside it give one answer, whatever speaks first and whoever leaves", func() {
		random := func(n int) time.Duration { return time.Duration(rand.IntN(n)) * time.Millisecond }
		targets := &stubTargets{answers: []stubAnswer{func(ctx context.Context, r upstream.Request) (*upstream.Answer, error) {
			from, _ := strconv.Atoi(r.Header.Get("Last"))
			b := &pieces{ctx: ctx, err: io.EOF}
			for i := from + 1; i <= 12; i++ {
				b.texts = append(b.texts, fmt.Sprintf("id: %d\ndata: x\n\n", i))
			}
			first, gap := 245*time.Millisecond+random(12), random(5)
			switch rand.IntN(4) {
			case 0:
				first, b.texts, b.err = time.Millisecond, b.texts[:len(b.texts)/2], io.ErrUnexpectedEOF
			case 1:
				first = random(600)
			case 2:
				gap = 240*time.Millisecond + random(30)
			}
			b.wait = func(i int) time.Duration {
				if i == 0 {
					return first
				}
				return gap
			}
			return upstream.NewForwardedAnswer(200, http.Header{}, true, b), nil
		}}}
		rig := newHedgeRig(40, targets, 5000)
		eventID := regexp.MustCompile(`id: (\d+)`)
		var all sync.WaitGroup
		for range 400 {
			all.Go(func() {
				defer GinkgoRecover()
				time.Sleep(random(2500))
				ctx, leave := context.WithCancel(context.Background())
				defer leave()
				if rand.IntN(5) == 0 {
					time.AfterFunc(random(800), leave)
				}
				w := &callerRecord{}
				Eventually(rig.serve(ctx, "/s/", 2*patience, w), 3*patience).Should(Receive(BeNil()))
				Expect(w.misused.Load()).To(BeFalse())
				for i, id := range eventID.FindAllStringSubmatch(w.body.String(), -1) {
					Expect(id[1]).To(Equal(strconv.Itoa(i+1)), "events in order")
				}
			})
		}
		all.Wait()
		Eventually(rig.openRequests).Should(BeZero())
		Expect(rig.lines.String()).To(ContainSubstring(`"hedge":true`))
	})
})
