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

type noPeers struct{}

func (noPeers) Call(context.Context, uint32, proto.Message) (proto.Message, error) {
	return nil, context.DeadlineExceeded
}

func (noPeers) Observe(context.Context, string) (int, map[string]string, error) {
	return 0, nil, context.DeadlineExceeded
}

// fakeTargets answers every attempt with some parts and an end.
type fakeTargets struct{ parts int }

func (f fakeTargets) Run(_ context.Context, d target.AttemptRequest, emit func(target.Answer)) {
	emit(target.Answer{Event: attempt.WriteStarted{Attempt: d.Number}})
	for i := d.ReceivedParts; i < f.parts; i++ {
		emit(target.Answer{Event: attempt.Part{Attempt: d.Number, Echo: d.Number, Offset: i}})
	}
	emit(target.Answer{Event: attempt.End{Attempt: d.Number, Echo: d.Number, Total: f.parts}})
}

func (fakeTargets) Suspect() {}

// newTraffic returns a router that is ready, with one target.
func newTraffic(targets router.Targets, silence time.Duration) (*router.Traffic, *router.Control) {
	store := configstore.New(faketable.New(), time.Now)
	_, _, err := store.Accept(ctx, "base", []resource.Resource{
		{Kind: resource.KindPool, Metadata: resource.Metadata{Name: "p"}, Spec: []byte(`{"protocol":"model"}`)},
		{Kind: resource.KindTeam, Metadata: resource.Metadata{Name: "dealers"}, Spec: []byte(`{}`)},
		{Kind: resource.KindTarget, Metadata: resource.Metadata{Name: "t"}, Spec: []byte(`{"pool":"p","address":"127.0.0.1:1"}`)},
	})
	Expect(err).NotTo(HaveOccurred())
	control := router.NewControl(core.New(time.Now(), core.DefaultSettings(1, []uint32{1})), noPeers{}, store, noPeers{}, eventlog.Nop(), time.Now)
	running, stop := context.WithCancel(ctx)
	DeferCleanup(stop)
	go control.Run(running)
	Eventually(func() bool { return control.Ready().Ready }, "5s", "5ms").Should(BeTrue())
	return router.NewTraffic(control, targets, eventlog.Nop(), time.Now, silence), control
}

var _ = Describe("traffic", func() {
	// Symptom: a target is asked again for an answer that it is giving. Sequence: the
	// caller reads slowly, a part waits to be forwarded for longer than a target may be
	// silent. Cause: the time in which nobody listens to the target counts as silence.
	It("does not take a slow caller for a silent target", func() {
		const silence = 40 * time.Millisecond
		traffic, control := newTraffic(fakeTargets{parts: 8}, silence)
		pool, _ := control.Table().Pool("p")
		req := router.Request{ID: "r", Pool: pool, Team: "dealers", Chat: 1, Idempotent: true, Stream: true, Deadline: time.Now().Add(10 * time.Second)}
		parts := 0
		result := traffic.Do(ctx, req, func(target.Answer) error {
			parts++
			time.Sleep(silence + silence/2)
			return nil
		})
		Expect(result.Code).To(Equal(code.OK))
		Expect(parts).To(Equal(8))
		Expect(result.Attempts).To(Equal(1))
	})
})
