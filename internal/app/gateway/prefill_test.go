package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/upstream"
	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/prefill"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

const (
	sharedTokens = 10512
	promptTokens = 11812
	// expectedReadTime is what routers expect before any answer, see placement.Balancer.FindUnreadPrefix.
	expectedReadTime = 434 * time.Millisecond
)

// readingTargets are targets that read a prefix in readTime and hold it from then on. All requests have
// the same prefix.
type readingTargets struct {
	readTime time.Duration
	failures atomic.Int64 // how many of the next requests fail at once

	mu    sync.Mutex
	held  map[uint64]bool
	sent  int
	reads int
}

func (r *readingTargets) Do(ctx context.Context, q upstream.Request) (*upstream.Answer, error) {
	if !q.ConfirmSend() {
		return nil, upstream.ErrWithdrawn
	}
	r.mu.Lock()
	r.sent++
	held := r.held[q.TargetUID]
	if !held {
		r.reads++
	}
	r.mu.Unlock()
	if r.failures.Add(-1) >= 0 {
		return nil, upstream.ErrConnectionBroken
	}
	if !held {
		select {
		case <-time.After(r.readTime):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[q.TargetUID] = true
	return upstream.NewForwardedAnswer(http.StatusOK, http.Header{}, true, io.NopCloser(strings.NewReader("ok"))), nil
}

func (*readingTargets) Probe(context.Context, string) error { return nil }
func (*readingTargets) Prune(func(uint64) bool)             {}

func (r *readingTargets) counts() (sent, reads int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent, r.reads
}

type sealingCodec struct{ nopCodec }

func (sealingCodec) DecodeAnswer(int, http.Header) gateway.AnswerInfo {
	return gateway.AnswerInfo{Sealed: true}
}

// claimObserver counts claims and waits.
type claimObserver struct {
	discardResponder
	mu     sync.Mutex
	counts map[string]int
}

func (o *claimObserver) CountPrefillClaim(result string) { o.count("claim " + result) }
func (o *claimObserver) CountPrefillWait(ended string)   { o.count("wait " + ended) }

func (o *claimObserver) count(what string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[what]++
}

func (o *claimObserver) get() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[string]int, len(o.counts))
	for what, n := range o.counts {
		out[what] = n
	}
	return out
}

// answerRecorder records how a request ended.
type answerRecorder struct {
	discardResponder
	status atomic.Int64
	failed atomic.Int64
}

func (a *answerRecorder) SendHeader(status int, _ http.Header, _ int64) {
	a.status.Store(int64(status))
}
func (a *answerRecorder) SendError(c code.Code, _ time.Duration) { a.failed.Store(int64(c)) }

// claimPeers are meshPeers that also carry claims.
type claimPeers struct {
	*meshPeers
	fleet *prefillFleet
}

func (p claimPeers) ClaimRead(ctx context.Context, to string, req *peerv1.ClaimReadRequest) (*peerv1.ClaimReadResponse, error) {
	p.fleet.calls.Add(1)
	return p.fleet.claim(ctx, to, req)
}

// prefillFleet is a fleet of routers in one process.
type prefillFleet struct {
	targets  *readingTargets
	observer *claimObserver
	calls    atomic.Int64 // claims sent to another router
	claim    func(ctx context.Context, to string, req *peerv1.ClaimReadRequest) (*peerv1.ClaimReadResponse, error)
	routers  []*gateway.Control
	proxies  []*gateway.Proxy
	ctx      context.Context
}

func routerAddress(i int) string { return fmt.Sprintf("10.0.0.%d:1", i+1) }

// newPrefillFleet starts n routers. If connected is false, none of them knows another.
func newPrefillFleet(n int, connected, scheduledByWork bool) *prefillFleet {
	GinkgoHelper()
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	f := &prefillFleet{
		targets:  &readingTargets{readTime: 120 * time.Millisecond, held: make(map[uint64]bool)},
		observer: &claimObserver{counts: make(map[string]int)}, ctx: ctx,
	}
	m := &mesh{routers: make(map[string]*gateway.Control)}
	f.claim = func(_ context.Context, to string, req *peerv1.ClaimReadRequest) (*peerv1.ClaimReadResponse, error) {
		return m.router(to).ServeClaim(req)
	}
	store := newTargetListStore()
	for i := range 6 {
		store.put(fmt.Sprint("t", i), "ready")
	}
	var seeds []string
	for i := range n {
		seeds = append(seeds, routerAddress(i))
	}
	if !connected {
		seeds = nil
	}
	for i := range n {
		address := routerAddress(i)
		c := gateway.NewControl(gateway.Settings{
			Name: address, Address: address, Seeds: seeds, ReadStoreAtStart: true, FirstStart: true, ScheduleByWork: scheduledByWork,
			MaxApplyDelay: time.Second, MaxDepartureDelay: time.Second, LoadMultiple: 2, LoadSlack: 100, RetryRatio: 0.2, RetrySlack: 58, RetrySpan: 10 * time.Second,
		}, store, stateDecoder{}, claimPeers{&meshPeers{from: address, mesh: m}, f}, f.targets, eventlog.Nop(), time.Now)
		m.mu.Lock()
		m.routers[address] = c
		m.mu.Unlock()
		f.routers = append(f.routers, c)
		f.proxies = append(f.proxies, gateway.NewProxy(c, sealingCodec{}, f.targets, f.observer, eventlog.Nop(), time.Now))
		go c.Run(ctx)
	}
	for _, c := range f.routers {
		Eventually(c.Ready, 3*time.Second).Should(BeTrue())
		Eventually(func() int { return len(c.Status().OpenRequests) }, 3*time.Second).Should(Equal(6))
		if connected {
			Eventually(c.AliveRouters, 3*time.Second).Should(Equal(n - 1))
		}
	}
	return f
}

// prefixOf returns a prefix whose registrar is the given router in the view of all.
func (f *prefillFleet) prefixOf(registrar int) uint64 {
	r := registrarsOf(f)
	for prefix := uint64(1); ; prefix++ {
		if address, _ := r.Of(prefill.KeyOf("p", prefix)); address == routerAddress(registrar) {
			return prefix
		}
	}
}

// send sends a request to a router; the returned channel is closed at its end.
func (f *prefillFleet) send(ctx context.Context, router int, prefix uint64, a *answerRecorder) <-chan struct{} {
	GinkgoHelper()
	match, got := f.proxies[router].Match(&gateway.Call{
		ID: "r", Host: "h", Path: "/old/", Header: http.Header{}, ChatHash: prefix, PromptTokens: promptTokens,
		PromptPrefixes: []placement.Prefix{{Hash: prefix, Tokens: sharedTokens}},
	})
	Expect(got).To(Equal(code.OK))
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.proxies[router].Serve(ctx, match, nil, a)
	}()
	return done
}

// sendTwo sends the second request 30 ms after the first, expects that both are answered, and returns
// how long the second one took.
func (f *prefillFleet) sendTwo(firstRouter, secondRouter int, prefix uint64) time.Duration {
	GinkgoHelper()
	var first, second answerRecorder
	firstDone := f.send(f.ctx, firstRouter, prefix, &first)
	time.Sleep(30 * time.Millisecond)
	startedAt := time.Now()
	secondDone := f.send(f.ctx, secondRouter, prefix, &second)
	Eventually(secondDone, 3*time.Second, time.Millisecond).Should(BeClosed())
	took := time.Since(startedAt)
	Eventually(firstDone, 3*time.Second, time.Millisecond).Should(BeClosed())
	Expect(first.status.Load()).To(Equal(int64(http.StatusOK)))
	Expect(second.status.Load()).To(Equal(int64(http.StatusOK)))
	return took
}

func (f *prefillFleet) reads() int {
	_, reads := f.targets.counts()
	return reads
}

var _ = Describe("two requests with the same long beginning", func() {
	// Guards against a home target that prefills the same prefix twice, since the second request arrives
	// before the first prefill has finished.
	It("are read once if one router gets both, and the second is sent as soon as the first has its answer", func() {
		f := newPrefillFleet(1, false, true)
		took := f.sendTwo(0, 0, f.prefixOf(0))
		Expect(f.reads()).To(Equal(1))
		Expect(took).To(BeNumerically("<", expectedReadTime-100*time.Millisecond))
		Expect(f.observer.get()).To(Equal(map[string]int{"claim granted": 1, "claim held": 1, "wait read": 1}))
		Expect(f.calls.Load()).To(BeZero(), "the router is itself the registrar")
	})

	DescribeTable("are read once if two routers get them", func(registrar int) {
		f := newPrefillFleet(2, true, true)
		f.sendTwo(0, 1, f.prefixOf(registrar))
		Expect(f.reads()).To(Equal(1))
		Expect(f.observer.get()).To(HaveKeyWithValue("claim held", 1))
		Expect(f.calls.Load()).To(Equal(int64(1)))
	},
		Entry("the first is the registrar", 0),
		Entry("the second is the registrar", 1),
	)

	// Guards against changes for deployments that have not asked for scheduling by work.
	It("are sent at once and without a question in a pool that is not scheduled by work", func() {
		f := newPrefillFleet(2, true, false)
		f.sendTwo(0, 1, f.prefixOf(1))
		Expect(f.reads()).To(Equal(2))
		Expect(f.observer.get()).To(BeEmpty())
		Expect(f.calls.Load()).To(BeZero())
	})

	// Guards against errors and long waits where routers disagree on who is alive: at worst, a prefix is
	// read twice.
	It("are both sent at once if the routers don't know each other", func() {
		f := newPrefillFleet(2, false, true)
		f.sendTwo(0, 1, f.prefixOf(1))
		Expect(f.reads()).To(Equal(2))
		Expect(f.observer.get()).To(Equal(map[string]int{"claim granted": 2}))
	})

	// Guards against a request that is lost with the one that it waits for.
	It("don't share a failure: the second is sent when the read is overdue", func() {
		f := newPrefillFleet(1, false, true)
		f.targets.failures.Store(1)
		var first, second answerRecorder
		prefix := f.prefixOf(0)
		Eventually(f.send(f.ctx, 0, prefix, &first)).Should(BeClosed())
		Expect(first.failed.Load()).NotTo(BeZero())
		startedAt := time.Now()
		Eventually(f.send(f.ctx, 0, prefix, &second), 3*time.Second, time.Millisecond).Should(BeClosed())
		Expect(second.status.Load()).To(Equal(int64(http.StatusOK)))
		Expect(time.Since(startedAt)).To(BeNumerically("<", 3*expectedReadTime+f.targets.readTime+300*time.Millisecond))
		Expect(f.observer.get()).To(HaveKeyWithValue("wait time", 1))
	})
})

var _ = Describe("a request whose prefix another target reads", func() {
	// claimElsewhere registers a claim of a router that was killed, so nobody reads the prefix.
	claimElsewhere := func(f *prefillFleet, prefix uint64) {
		GinkgoHelper()
		_, err := f.routers[0].ServeClaim(&peerv1.ClaimReadRequest{
			Protocol: fleet.Protocol, Pool: "p", Prefix: prefix, Tokens: sharedTokens, Target: placement.UID("t0", 0, ""), ReadMillis: 400,
		})
		Expect(err).NotTo(HaveOccurred())
	}

	// Guards against requests that wait for ever since the claiming router was killed.
	It("is sent to that target after the expected time if the claiming router was killed", func() {
		f := newPrefillFleet(1, false, true)
		prefix := f.prefixOf(0)
		claimElsewhere(f, prefix)
		var a answerRecorder
		startedAt := time.Now()
		done := f.send(f.ctx, 0, prefix, &a)
		Consistently(func() int { return f.routers[0].Status().OpenRequests["t0"] }, 200*time.Millisecond, 10*time.Millisecond).
			Should(BeZero(), "a request that waits is open at no target")
		Eventually(done, 3*time.Second, time.Millisecond).Should(BeClosed())
		Expect(time.Since(startedAt)).To(BeNumerically(">=", 350*time.Millisecond))
		Expect(a.status.Load()).To(Equal(int64(http.StatusOK)))
		Expect(f.observer.get()).To(HaveKeyWithValue("wait time", 1))
		f.targets.mu.Lock()
		defer f.targets.mu.Unlock()
		Expect(f.targets.held).To(HaveKey(placement.UID("t0", 0, "")))
	})

	// Guards against waits, and requests to targets, for callers that have left.
	It("ends at once and is not sent when its caller leaves", func() {
		f := newPrefillFleet(1, false, true)
		prefix := f.prefixOf(0)
		claimElsewhere(f, prefix)
		ctx, leave := context.WithCancel(f.ctx)
		var a answerRecorder
		done := f.send(ctx, 0, prefix, &a)
		Eventually(func() int { return f.routers[0].Status().PrefillWaiting }).Should(Equal(1))
		leave()
		Eventually(done, 100*time.Millisecond, time.Millisecond).Should(BeClosed())
		sent, _ := f.targets.counts()
		Expect(sent).To(BeZero())
		Expect(f.routers[0].Status().PrefillWaiting).To(BeZero())
		Expect(f.observer.get()).To(HaveKeyWithValue("wait caller", 1))
	})

	// Guards against unbounded memory for the bodies of waiting requests.
	It("is sent at once if 64 others wait", func() {
		f := newPrefillFleet(1, false, true)
		prefix := uint64(100) // the only router is the registrar of all
		claimElsewhere(f, prefix)
		var done []<-chan struct{}
		for i := range 64 {
			p := uint64(i/prefill.MaxWaiters + 1)
			if i%prefill.MaxWaiters == 0 {
				claimElsewhere(f, p)
			}
			done = append(done, f.send(f.ctx, 0, p, &answerRecorder{}))
		}
		Eventually(func() int { return f.routers[0].Status().PrefillWaiting }).Should(Equal(64))
		sent, _ := f.targets.counts()
		Expect(sent).To(BeZero())
		var a answerRecorder
		last := f.send(f.ctx, 0, prefix, &a)
		Eventually(func() int { sent, _ := f.targets.counts(); return sent }, 200*time.Millisecond, time.Millisecond).Should(Equal(1))
		Eventually(last, 3*time.Second, time.Millisecond).Should(BeClosed())
		Expect(a.status.Load()).To(Equal(int64(http.StatusOK)))
		for _, d := range done {
			Eventually(d, 3*time.Second).Should(BeClosed())
		}
		Expect(f.routers[0].Status().PrefillWaiting).To(BeZero())
	})
})

var _ = Describe("a registrar", func() {
	answer := func(target uint64, readyMillis uint32) func(context.Context, string, *peerv1.ClaimReadRequest) (*peerv1.ClaimReadResponse, error) {
		return func(context.Context, string, *peerv1.ClaimReadRequest) (*peerv1.ClaimReadResponse, error) {
			return &peerv1.ClaimReadResponse{Target: target, ReadyMillis: readyMillis}, nil
		}
	}

	// Guards against requests that are lost or late because of the router that is asked.
	DescribeTable("that gives no valid answer does not delay a request beyond the timeout of the call",
		func(claim func(context.Context, string, *peerv1.ClaimReadRequest) (*peerv1.ClaimReadResponse, error), askedAgain bool) {
			f := newPrefillFleet(2, true, true)
			f.claim = claim
			f.targets.readTime = 0
			prefix := f.prefixOf(1)
			var a answerRecorder
			startedAt := time.Now()
			Eventually(f.send(f.ctx, 0, prefix, &a), 3*time.Second, time.Millisecond).Should(BeClosed())
			Expect(time.Since(startedAt)).To(BeNumerically("<", 150*time.Millisecond))
			Expect(a.status.Load()).To(Equal(int64(http.StatusOK)))

			next := prefix + 1
			for {
				if _, self := registrarsOf(f).Of(prefill.KeyOf("p", next)); !self {
					break
				}
				next++
			}
			Eventually(f.send(f.ctx, 0, next, &a), 3*time.Second, time.Millisecond).Should(BeClosed())
			want := int64(1)
			if askedAgain {
				want = 2
			}
			Expect(f.calls.Load()).To(Equal(want))
			Expect(f.observer.get()).NotTo(HaveKey("wait time"))
		},
		Entry("silent", func(ctx context.Context, _ string, _ *peerv1.ClaimReadRequest) (*peerv1.ClaimReadResponse, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}, false),
		Entry("gone, or of an earlier release", func(context.Context, string, *peerv1.ClaimReadRequest) (*peerv1.ClaimReadResponse, error) {
			return nil, errors.New("unimplemented")
		}, false),
		Entry("garbage: no target", answer(0, 100), true),
		Entry("garbage: ready in 50 days", answer(1, math.MaxUint32), true),
		Entry("an empty answer", answer(0, 0), true),
	)

	// Guards against waits for a target that this router does not know, as with an outdated list.
	It("that names an unknown target does not keep a request from being answered", func() {
		f := newPrefillFleet(2, true, true)
		f.claim = answer(12345, 50)
		var a answerRecorder
		Eventually(f.send(f.ctx, 0, f.prefixOf(1), &a), 3*time.Second, time.Millisecond).Should(BeClosed())
		Expect(a.status.Load()).To(Equal(int64(http.StatusOK)))
	})

	// Guards against claims from garbage, which would keep requests waiting.
	It("rejects invalid claims and bounds absurd figures", func() {
		f := newPrefillFleet(1, false, true)
		valid := func() *peerv1.ClaimReadRequest {
			return &peerv1.ClaimReadRequest{Protocol: fleet.Protocol, Pool: "p", Prefix: 9, Tokens: sharedTokens, Target: 1, ReadMillis: 400}
		}
		for _, change := range []func(*peerv1.ClaimReadRequest){
			func(r *peerv1.ClaimReadRequest) { r.Target = 0 },
			func(r *peerv1.ClaimReadRequest) { r.Tokens = 1 },
			func(r *peerv1.ClaimReadRequest) { r.Pool = "" },
			func(r *peerv1.ClaimReadRequest) { r.Protocol = 0 },
		} {
			req := valid()
			change(req)
			_, err := f.routers[0].ServeClaim(req)
			Expect(err).To(HaveOccurred())
		}
		Expect(f.routers[0].Status().PrefillClaims).To(BeZero())
		req := valid()
		req.ReadMillis = math.MaxUint32
		resp, err := f.routers[0].ServeClaim(req)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.GetReadyMillis()).To(BeZero())
		resp, err = f.routers[0].ServeClaim(valid())
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.GetReadyMillis()).To(And(BeNumerically(">", 0), BeNumerically("<=", 3000)))
	})

	It("names a target that is known to hold the prefix", func() {
		f := newPrefillFleet(1, false, true)
		prefix := f.prefixOf(0)
		var a answerRecorder
		Eventually(f.send(f.ctx, 0, prefix, &a), 3*time.Second).Should(BeClosed())
		resp, err := f.routers[0].ServeClaim(&peerv1.ClaimReadRequest{Protocol: fleet.Protocol, Pool: "p", Prefix: prefix, Tokens: sharedTokens, Target: 1, ReadMillis: 400})
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.GetReadyMillis()).To(Equal(uint32(1)))
		f.targets.mu.Lock()
		defer f.targets.mu.Unlock()
		Expect(f.targets.held).To(HaveKey(resp.GetTarget()))
	})
})

// registrarsOf returns the registrars in the view of the first router.
func registrarsOf(f *prefillFleet) *prefill.Registrars {
	r := prefill.NewRegistrars(routerAddress(0))
	var others []string
	for i := 1; i < len(f.routers); i++ {
		others = append(others, routerAddress(i))
	}
	r.SetOthers(time.Now(), others)
	return r
}
