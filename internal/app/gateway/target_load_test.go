package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/upstream"
	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/targetload"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// loadCodec decodes the load from a header of its own. An answer with status 421 is another target's.
type loadCodec struct{ nopCodec }

func (loadCodec) DecodeAnswer(status int, h http.Header) gateway.AnswerInfo {
	info := gateway.AnswerInfo{WrongTarget: status == http.StatusMisdirectedRequest}
	if value := h.Get("load"); value != "" {
		if r, fault := targetload.Parse(value); fault == "" {
			info.Load = &r
		} else {
			info.InvalidLoad, info.LoadFault = value, fault
		}
	}
	return info
}

// loadUpstream answers with a header, and records the targets that it was sent to.
type loadUpstream struct {
	status int
	load   string
	sentTo []uint64
}

func (u *loadUpstream) Do(_ context.Context, q upstream.Request) (*upstream.Answer, error) {
	if !q.ConfirmSend() {
		return nil, upstream.ErrWithdrawn
	}
	u.sentTo = append(u.sentTo, q.TargetUID)
	q.OnHeader(u.status, http.Header{"Load": []string{u.load}})
	return nil, upstream.ErrConnectionBroken
}

func (*loadUpstream) Probe(context.Context, string) error { return nil }
func (*loadUpstream) Prune(func(uint64) bool)             {}

// ignoredLoads counts ignored load reports by reason.
type ignoredLoads struct {
	discardResponder
	mu     sync.Mutex
	counts map[targetload.Fault]int
}

func (o *ignoredLoads) CountIgnoredLoad(reason targetload.Fault) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[reason]++
}

var _ = Describe("the load in a target's answer", func() {
	var (
		up       *loadUpstream
		observer *ignoredLoads
		control  *gateway.Control
		logged   *bytes.Buffer
		send     func()
	)
	BeforeEach(func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		store := newTargetListStore()
		store.put("t0", "ready")
		up, observer, logged = &loadUpstream{status: http.StatusOK}, &ignoredLoads{counts: make(map[targetload.Fault]int)}, &bytes.Buffer{}
		control = startOnlyRouter(ctx, store, up, 1)
		now := time.Now()
		log := eventlog.New(zerolog.New(logged), func() time.Time { return now })
		proxy := gateway.NewProxy(control, loadCodec{}, up, observer, log, time.Now)
		id := 0
		send = func() {
			id++
			match, got := proxy.Match(&gateway.Call{ID: fmt.Sprint(id), Host: "h", Path: "/old/", Header: http.Header{}})
			Expect(got).To(Equal(code.OK))
			proxy.Serve(ctx, match, nil, discardResponder{})
		}
	})

	It("is kept and shown in the status", func() {
		Expect(control.Status().TargetLoads).To(BeEmpty(), "no target has reported")
		up.load = "3,2,8,250"
		send()
		Expect(control.Status().TargetLoads).To(HaveKey("t0"))
		l := control.Status().TargetLoads["t0"]
		Expect([]int{l.Running, l.Waiting}).To(Equal([]int{3, 2}))
		Expect(l.Pace).To(And(BeNumerically(">", 1), BeNumerically("<=", 2.5)))
		Expect(observer.counts).To(BeEmpty())
		Expect(logged.String()).NotTo(ContainSubstring("target_load_ignored"))
	})

	// Guards against garbage figures that count, and that nobody can see.
	It("is ignored, counted and logged if it is garbage, without flooding the log", func() {
		up.load = "3,2,8,250"
		send()
		up.load = "1,1,0," + strings.Repeat("9", 30)
		before := len(up.sentTo)
		for range 40 {
			send()
		}
		sent := len(up.sentTo) - before
		Expect(sent).To(BeNumerically(">", 0))
		Expect(observer.counts).To(Equal(map[targetload.Fault]int{targetload.FaultMalformed: sent}))
		Expect(strings.Count(logged.String(), `"event":"target_load_ignored"`)).To(Equal(min(sent, eventlog.TargetLoadIgnored.MaxPerSecond)))
		Expect(logged.String()).To(ContainSubstring(`"target":"t0","why":"malformed","bad":"1,1,0,9`))
		Expect(control.Status().TargetLoads["t0"].Running).To(Equal(3), "a rejected report changes nothing")
	})

	// Guards against the load of another target, or of another lifetime, that counts for the one that was asked.
	It("is ignored if another target answers", func() {
		up.status, up.load = http.StatusMisdirectedRequest, "3,2,8,250"
		send()
		Expect(observer.counts[targetload.FaultLifetime]).To(BeNumerically(">", 0))
		Expect(control.Status().TargetLoads).To(Equal(map[string]placement.TargetLoad{}))
	})
})
