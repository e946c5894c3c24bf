package router_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/target"
	"github.com/hemlockdyke/hemlockdyke/internal/app/configstore"
	"github.com/hemlockdyke/hemlockdyke/internal/app/router"
	"github.com/hemlockdyke/hemlockdyke/internal/core/attempt"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	core "github.com/hemlockdyke/hemlockdyke/internal/core/router"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
	"github.com/hemlockdyke/hemlockdyke/internal/faketable"
)

// unreachablePeers is a PeerCaller and a Prober whose calls all time out.
type unreachablePeers struct{}

func (unreachablePeers) Call(context.Context, uint32, proto.Message) (proto.Message, error) {
	return nil, context.DeadlineExceeded
}

func (unreachablePeers) ReadStatus(context.Context, string) (int, map[string]string, error) {
	return 0, nil, context.DeadlineExceeded
}

// fakeTargets is a TargetClient that answers each attempt with a number of parts and an end.
type fakeTargets struct{ parts int }

func (t fakeTargets) SendAttempt(_ context.Context, r target.AttemptRequest, emit func(target.Answer)) {
	emit(target.Answer{Event: attempt.WriteStarted{Attempt: r.Number}})
	for i := r.ReceivedParts; i < t.parts; i++ {
		emit(target.Answer{Event: attempt.Part{Attempt: r.Number, Echo: r.Number, Offset: i}})
	}
	emit(target.Answer{Event: attempt.End{Attempt: r.Number, Echo: r.Number, Total: t.parts}})
}

func (fakeTargets) DropIdleConnections() {}

// newForwarder returns the Forwarder and the Control of a ready router with one target.
func newForwarder(targets router.TargetClient, silenceTimeout time.Duration) (*router.Forwarder, *router.Control) {
	store := configstore.New(faketable.New(), time.Now)
	_, _, err := store.AcceptChange(ctx, "base", []resource.Resource{
		{Kind: resource.KindPool, Metadata: resource.Metadata{Name: "p"}, Spec: []byte(`{"protocol":"model"}`)},
		{Kind: resource.KindTeam, Metadata: resource.Metadata{Name: "dealers"}, Spec: []byte(`{}`)},
		{Kind: resource.KindTarget, Metadata: resource.Metadata{Name: "t"}, Spec: []byte(`{"pool":"p","address":"127.0.0.1:1"}`)},
	})
	Expect(err).NotTo(HaveOccurred())
	control := router.NewControl(core.New(time.Now(), core.DefaultSettings(1, []uint32{1})), unreachablePeers{}, store, unreachablePeers{}, eventlog.Nop(), time.Now)
	runCtx, stop := context.WithCancel(ctx)
	DeferCleanup(stop)
	go control.Run(runCtx)
	Eventually(func() bool { return control.Ready().Ready }, "5s", "5ms").Should(BeTrue())
	return router.NewForwarder(control, targets, eventlog.Nop(), time.Now, silenceTimeout), control
}

var _ = Describe("forwarding a request", func() {
	// Guards against the retry of a request whose target is answering. The caller reads slowly, so
	// forwarding one part takes longer than the silence timeout. That time would count as silence
	// of the target, although nothing is read from it meanwhile.
	It("does not treat a slow caller as a silent target", func() {
		const silenceTimeout = 40 * time.Millisecond
		forwarder, control := newForwarder(fakeTargets{parts: 8}, silenceTimeout)
		pool, _ := control.Table().Pool("p")
		req := router.Request{ID: "r", Pool: pool, Team: "dealers", Chat: 1, Idempotent: true, Stream: true, Deadline: time.Now().Add(10 * time.Second)}
		parts := 0
		result := forwarder.Forward(ctx, req, func(target.Answer) error {
			parts++
			time.Sleep(silenceTimeout + silenceTimeout/2)
			return nil
		})
		Expect(result.Code).To(Equal(code.OK))
		Expect(parts).To(Equal(8))
		Expect(result.Attempts).To(Equal(1))
	})
})
