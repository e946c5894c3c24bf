package gateway_test

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/upstream"
	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/poison"
	"github.com/hemlockdyke/hemlockdyke/internal/core/replica"
	"github.com/hemlockdyke/hemlockdyke/internal/core/route"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func TestSuite(t *testing.T) { testkit.Run(t, "gateway") }

// frozenStore always returns the same state, like a store that is unreachable after the first read.
type frozenStore struct{ gateway.Store }

func (frozenStore) ReadTable(context.Context, fleet.Table, int) (uint64, []replica.Row, error) {
	return 3, []replica.Row{{Key: "config", Version: 3}}, nil
}

func (frozenStore) AwaitChanges(ctx context.Context, _ fleet.Table, _ uint64, _ time.Duration) (uint64, []replica.Row, error) {
	<-ctx.Done()
	return 0, nil, ctx.Err()
}

func (frozenStore) RegisterRouters(context.Context, []string) error     { return nil }
func (frozenStore) RegisteredRouters(context.Context) ([]string, error) { return nil, nil }

// versionDecoder decodes a row to a desired state that has the row's version and a route for /old/.
type versionDecoder struct{}

func (versionDecoder) EvacuatedDataCentres([]replica.Row) []string { return nil }

func (versionDecoder) DesiredState(rows []replica.Row) (*route.DesiredState, error) {
	s := &route.DesiredState{Version: rows[0].Version, Pools: []route.Pool{{Name: "p"}}}
	s.Routes = []route.Route{{Name: "old", Host: "h", Prefix: "/old/", Public: true, Split: []route.WeightedPool{{Pool: "p", Weight: 1}}}}
	return s, nil
}

func (versionDecoder) Targets([]replica.Row) (map[string][]placement.Target, []gateway.RejectedEntry) {
	return nil, nil
}

// fullLinkPeers delivers no copies while the link is full.
type fullLinkPeers struct {
	noForwarding
	full atomic.Bool
}

func (*fullLinkPeers) SendDigest([]string, *peerv1.Digest, []*peerv1.Report) {}

func (l *fullLinkPeers) RequestCopy(ctx context.Context, _ string, _ *peerv1.CopyRequest) (*peerv1.CopyResponse, error) {
	if l.full.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &peerv1.CopyResponse{Version: 9, Whole: true, Rows: []*peerv1.Row{{Key: "config", Version: 9}}}, nil
}

type failingUpstream struct{}

func (failingUpstream) Do(context.Context, upstream.Request) (*upstream.Answer, error) {
	return nil, errors.New("no target")
}
func (failingUpstream) Probe(context.Context, string) error { return nil }
func (failingUpstream) Prune(func(uint64) bool)             {}

var _ = Describe("a router that can't copy a newer desired state", func() {
	const maxApplyDelay = 800 * time.Millisecond

	// Guards against 404 answers for a route that was added seconds ago. A router with a full link
	// knew from other routers that there was a newer state, but received no copy of it. It used the
	// older state for as long as that lasted.
	It("denies no request by its older state, and later serves none until it has the newer state", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		link := &fullLinkPeers{}
		link.full.Store(true)
		c := gateway.NewControl(gateway.Settings{Name: "r", Address: "10.0.0.1:7340", ReadStoreAtStart: true, MaxApplyDelay: maxApplyDelay},
			frozenStore{}, versionDecoder{}, link, failingUpstream{}, eventlog.Nop(), time.Now)
		proxy := gateway.NewProxy(c, nil, failingUpstream{}, nil, eventlog.Nop(), time.Now)
		match := func(path string) code.Code {
			_, got := proxy.Match(&gateway.Call{ID: "1", Host: "h", Path: path, Header: http.Header{}})
			return got
		}
		go c.Run(ctx)
		Eventually(c.Ready, time.Second).Should(BeTrue())
		Expect(match("/new/")).To(Equal(code.NotFound), "no router reports a newer state")
		sequence := uint64(0)
		sendDigest := func() {
			sequence++
			c.ReceiveDigest(ctx, "10.0.0.2:7340", &peerv1.Digest{Protocol: fleet.Protocol, Incarnation: 1, Sequence: sequence, Versions: []uint64{9, 3}})
		}
		sendDigest()
		Eventually(func() code.Code { return match("/new/") }, 200*time.Millisecond, time.Millisecond).Should(Equal(code.StaleConfig))
		Expect(match("/old/")).To(Equal(code.OK), "the older state allows it")
		Expect(c.Ready()).To(BeTrue())
		Eventually(func() code.Code { sendDigest(); return match("/old/") }, maxApplyDelay, 20*time.Millisecond).Should(Equal(code.StaleConfig))
		Expect(c.Ready()).To(BeFalse())
		link.full.Store(false)
		Eventually(func() code.Code { sendDigest(); return match("/old/") }, 3*time.Second, 20*time.Millisecond).Should(Equal(code.OK))
		Expect(match("/new/")).To(Equal(code.NotFound), "the newer state does not have the route")
		Expect(c.Ready()).To(BeTrue())
	})
})

func (frozenStore) LoadSuspects(context.Context) ([]poison.Suspect, error) { return nil, nil }
