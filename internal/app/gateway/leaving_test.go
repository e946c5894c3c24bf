package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/upstream"
	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/poison"
	"github.com/hemlockdyke/hemlockdyke/internal/core/replica"
	"github.com/hemlockdyke/hemlockdyke/internal/core/targetload"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// targetListStore is a store with one desired state and a target list that changes. The value of a
// row is the state of the target.
type targetListStore struct {
	gateway.Store
	mu      sync.Mutex
	version uint64
	rows    map[string]replica.Row
	log     []replica.Row
	changed chan struct{}
}

func newTargetListStore() *targetListStore {
	return &targetListStore{version: 3, rows: make(map[string]replica.Row), changed: make(chan struct{})}
}

// put writes an entry, or removes it if state is empty.
func (s *targetListStore) put(id, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	r := replica.Row{Key: id, Value: []byte(state), Version: s.version, Removed: state == ""}
	s.rows[id] = r
	if r.Removed {
		delete(s.rows, id)
	}
	s.log = append(s.log, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *targetListStore) ReadTable(_ context.Context, t fleet.Table, _ int) (uint64, []replica.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t == fleet.DesiredTable {
		return s.version, []replica.Row{{Key: "config", Version: 3}}, nil
	}
	var out []replica.Row
	for _, r := range s.rows {
		out = append(out, r)
	}
	return s.version, out, nil
}

func (s *targetListStore) AwaitChanges(ctx context.Context, t fleet.Table, after uint64, wait time.Duration) (uint64, []replica.Row, error) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		var out []replica.Row
		for _, r := range s.log {
			if t == fleet.TargetsTable && r.Version > after {
				out = append(out, r)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(out) > 0 {
			return version, out, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return version, nil, nil
		case <-ctx.Done():
			return 0, nil, ctx.Err()
		}
	}
}

func (*targetListStore) RegisterRouters(context.Context, []string) error     { return nil }
func (*targetListStore) RegisteredRouters(context.Context) ([]string, error) { return nil, nil }

// refusingStore is a store that refuses all reads.
type refusingStore struct{ gateway.Store }

func (refusingStore) ReadTable(context.Context, fleet.Table, int) (uint64, []replica.Row, error) {
	return 0, nil, errors.New("refused")
}

func (refusingStore) AwaitChanges(context.Context, fleet.Table, uint64, time.Duration) (uint64, []replica.Row, error) {
	return 0, nil, errors.New("refused")
}

func (refusingStore) RegisterRouters(context.Context, []string) error { return nil }
func (refusingStore) RegisteredRouters(context.Context) ([]string, error) {
	return nil, errors.New("refused")
}

// stateDecoder decodes a target list whose values are target states.
type stateDecoder struct{ versionDecoder }

func (stateDecoder) Targets(rows []replica.Row) (map[string][]placement.Target, []gateway.RejectedEntry) {
	out := make(map[string][]placement.Target)
	for _, r := range rows {
		out["p"] = append(out["p"], placement.Target{
			UID: placement.UID(r.Key, 0, ""), ID: r.Key, Address: r.Key, Leaving: string(r.Value) == "draining", Slots: 8,
		})
	}
	return out, nil
}

// meshPeers delivers digests between routers of one process. It also delivers copies, unless the
// links are full.
type meshPeers struct {
	noForwarding
	from string
	mesh *mesh
}

type mesh struct {
	mu        sync.Mutex
	routers   map[string]*gateway.Control
	linksFull atomic.Bool
}

func (m *mesh) router(address string) *gateway.Control {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.routers[address]
}

func (p *meshPeers) SendDigest(to []string, d *peerv1.Digest, recipientReports []*peerv1.Report) {
	for i, a := range to {
		copied := proto.Clone(d).(*peerv1.Digest)
		if i < len(recipientReports) {
			copied.Yours = recipientReports[i]
		}
		if c := p.mesh.router(a); c != nil {
			go c.ReceiveDigest(context.Background(), p.from, copied)
		}
	}
}

// noForwarding forwards no attempts.
type noForwarding struct{}

func (noForwarding) FindStreams(context.Context, string, *peerv1.FindStreamsRequest) (*peerv1.FindStreamsResponse, error) {
	return nil, errors.New("unreachable")
}

func (noForwarding) ClaimRead(context.Context, string, *peerv1.ClaimReadRequest) (*peerv1.ClaimReadResponse, error) {
	return nil, errors.New("unreachable")
}

func (noForwarding) Forward(context.Context, string, *peerv1.ForwardRequest) (gateway.ForwardStream, error) {
	return nil, gateway.ErrNotForwarded
}

func (p *meshPeers) RequestCopy(ctx context.Context, to string, req *peerv1.CopyRequest) (*peerv1.CopyResponse, error) {
	c := p.mesh.router(to)
	if c == nil || p.mesh.linksFull.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return c.ServeCopy(ctx, req)
}

// attemptRecorder counts the attempts at each target and fails all of them.
type attemptRecorder struct {
	mu   sync.Mutex
	sent map[uint64]int
}

func (r *attemptRecorder) Do(_ context.Context, q upstream.Request) (*upstream.Answer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[q.TargetUID]++
	return nil, errors.New("no answer")
}

func (*attemptRecorder) Probe(context.Context, string) error { return nil }
func (*attemptRecorder) Prune(func(uint64) bool)             {}

// takeCount returns the number of attempts at a target and resets all counts.
func (r *attemptRecorder) takeCount(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.sent[placement.UID(id, 0, "")]
	r.sent = make(map[uint64]int)
	return n
}

type nopCodec struct{}

func (nopCodec) PrepareHeader(*gateway.Call, gateway.Attempt) http.Header { return http.Header{} }
func (nopCodec) MatchesCall(*gateway.Call, http.Header) bool              { return true }
func (nopCodec) StripRouterHeaders(http.Header)                           {}
func (nopCodec) DecodeAnswer(int, http.Header) gateway.AnswerInfo         { return gateway.AnswerInfo{} }

type discardResponder struct{}

func (discardResponder) SendHeader(int, http.Header, int64) {}
func (discardResponder) Write([]byte) error                 { return nil }
func (discardResponder) SendError(code.Code, time.Duration) {}
func (discardResponder) Abort()                             {}
func (discardResponder) RecordResult(gateway.Result)        {}
func (discardResponder) CountSignal(string)                 {}
func (discardResponder) CountResumption(string)             {}
func (discardResponder) CountIgnoredLoad(targetload.Fault)  {}
func (discardResponder) CountPrefillClaim(string)           {}
func (discardResponder) CountPrefillWait(string)            {}
func (discardResponder) CountCutAnswer(string)              {}

var _ = Describe("a router that can't copy the target list", func() {
	const maxDelay = time.Second

	// Guards against requests to a leaving target long after it announced its shutdown. A router
	// with a full link knew from other routers that there was a newer target list, but its copies
	// of the list timed out one after another. The other routers applied the list 0.1 s after the
	// announcement, this one after 2.6 s; a request that it placed before reached the target after
	// 3.09 s. Departures, which have some tens of bytes, were sent only as whole tables and queued
	// behind other ones.
	It("sends nothing to a target that others know to be leaving or removed from the list", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := newTargetListStore()
		for i := range 3 {
			store.put(fmt.Sprint("t", i), "ready")
		}
		m := &mesh{routers: make(map[string]*gateway.Control)}
		sent := &attemptRecorder{sent: make(map[uint64]int)}
		start := func(address string, s gateway.Store) *gateway.Control {
			c := gateway.NewControl(gateway.Settings{
				Name: address, Address: address, Seeds: []string{"10.0.0.1:1", "10.0.0.2:1"}, ReadStoreAtStart: true,
				MaxApplyDelay: maxDelay, MaxDepartureDelay: maxDelay, LoadMultiple: 2, LoadSlack: 3, RetryRatio: 0.2, RetrySlack: 58, RetrySpan: 10 * time.Second,
			}, s, stateDecoder{}, &meshPeers{from: address, mesh: m}, sent, eventlog.Nop(), time.Now)
			m.mu.Lock()
			m.routers[address] = c
			m.mu.Unlock()
			go c.Run(ctx)
			return c
		}
		start("10.0.0.1:1", store)
		congested := start("10.0.0.2:1", refusingStore{})
		Eventually(congested.Ready, 3*time.Second).Should(BeTrue())
		proxy := gateway.NewProxy(congested, nopCodec{}, sent, discardResponder{}, eventlog.Nop(), time.Now)
		sendRequests := func() {
			for i := range 30 {
				match, got := proxy.Match(&gateway.Call{ID: fmt.Sprint(i), Host: "h", Path: "/old/", Header: http.Header{}})
				Expect(got).To(Equal(code.OK))
				proxy.Serve(ctx, match, nil, discardResponder{})
			}
		}
		sendRequests()
		Expect(sent.takeCount("t0")).To(BeNumerically(">", 0))

		m.linksFull.Store(true)
		store.put("t0", "draining")
		time.Sleep(maxDelay)
		sendRequests()
		Expect(sent.takeCount("t0")).To(BeZero(), "the target is leaving")
		store.put("t1", "")
		time.Sleep(maxDelay)
		sendRequests()
		Expect(sent.takeCount("t1")).To(BeZero(), "the target was removed from the list")

		m.linksFull.Store(false)
		store.put("t0", "ready")
		Eventually(func() int { sendRequests(); return sent.takeCount("t0") }, 3*time.Second).Should(BeNumerically(">", 0), "the newest list is applied")
	})
})

// largeStore is a store with a desired state of 100 KB.
type largeStore struct{ frozenStore }

func (largeStore) ReadTable(context.Context, fleet.Table, int) (uint64, []replica.Row, error) {
	noise := make([]byte, 100_000) // incompressible
	random := rand.New(rand.NewPCG(1, 2))
	for i := range noise {
		noise[i] = byte(random.Uint32())
	}
	return 3, []replica.Row{{Key: "config", Value: noise, Version: 3}}, nil
}

var _ = Describe("a copy request", func() {
	// Guards against packed or busy responses to routers of an earlier release, which can't read
	// them. While half of a fleet runs that release, such a router would read a newer version
	// without rows and consider itself up to date.
	It("is answered with uncompressed rows unless the requester reads packed responses", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := gateway.NewControl(gateway.Settings{Name: "r", Address: "10.0.0.1:1", ReadStoreAtStart: true, MaxApplyDelay: time.Second, LinkBytesPerSecond: 1000},
			largeStore{}, versionDecoder{}, &fullLinkPeers{}, failingUpstream{}, eventlog.Nop(), time.Now)
		go c.Run(ctx)
		Eventually(c.Ready, time.Second).Should(BeTrue())
		requestCopy := func(packed bool) *peerv1.CopyResponse {
			r, err := c.ServeCopy(ctx, &peerv1.CopyRequest{Protocol: fleet.Protocol, Table: uint32(fleet.DesiredTable), ReadsPacked: packed})
			Expect(err).NotTo(HaveOccurred())
			return r
		}
		Expect(requestCopy(true).GetPacked()).NotTo(BeEmpty())
		Expect(requestCopy(true).GetBusy()).To(BeTrue(), "the link carries 1 KB/s")
		Expect(requestCopy(false).GetRows()[0].GetValue()).To(HaveLen(100_000))
	})
})

func (*targetListStore) LoadSuspects(context.Context) ([]poison.Suspect, error) { return nil, nil }

func (refusingStore) LoadSuspects(context.Context) ([]poison.Suspect, error) {
	return nil, errors.New("refused")
}
