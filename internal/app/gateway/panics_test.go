package gateway

import (
	"bytes"
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/core/lineage"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/replica"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

type panickingStore struct{ silentStore }

func (panickingStore) ReadTable(context.Context, fleet.Table, int) (uint64, []replica.Row, error) {
	panic("test")
}

func (panickingStore) AwaitChanges(context.Context, fleet.Table, uint64, time.Duration) (uint64, []replica.Row, error) {
	panic("test")
}

type panickingPeers struct{ unreachablePeers }

func (panickingPeers) RequestCopy(context.Context, string, *peerv1.CopyRequest) (*peerv1.CopyResponse, error) {
	panic("test")
}

func (panickingPeers) FindStreams(context.Context, string, *peerv1.FindStreamsRequest) (*peerv1.FindStreamsResponse, error) {
	panic("test")
}

type panickingTargets struct{ unreachableTargets }

func (panickingTargets) Probe(context.Context, string) error { panic("test") }

// Guards against a panic of one piece of work that ends the process with all its requests, or is survived
// with a state that waits for the work for ever.
var _ = Describe("work on a goroutine of its own that panics", func() {
	start := func() (c *Control, logged func() string) {
		out := &lockedBuffer{}
		log := eventlog.New(zerolog.New(out), time.Now)
		return NewControl(Settings{Name: "r", Address: "10.0.0.1:1"}, panickingStore{}, jsonDecoder{}, panickingPeers{}, panickingTargets{}, log, time.Now), out.String
	}

	It("reports a read of the store and a table copy as failed", func() {
		c, logged := start()
		ctx := context.Background()
		c.readTable(ctx, ctx, fleet.Table(0), 0)
		c.awaitChanges(ctx, ctx, fleet.ReadChanges{})
		c.requestCopy(ctx, fleet.RequestCopy{Peer: "10.0.0.2:1", Timeout: time.Second})
		Expect(c.inbox).To(HaveLen(3))
		Expect(logged()).To(MatchRegexp(`"panic","where":"store"(.|\n)*"store_read_failed"(.|\n)*"panic","where":"copy"(.|\n)*"copy_failed"`))
	})

	It("ends a probe, so that the target is probed again", func() {
		c, logged := start()
		p := NewProxy(c, nil, panickingTargets{}, nil, c.log, time.Now)
		target := placement.Target{UID: 7, ID: "i-7", Address: "10.1.0.7:80"}
		Expect(c.traffic.poisonGuard.addEnded(time.Now(), target.UID, endedAttempt{})).To(Equal(probeNow))
		p.probeTarget("pool", target)
		Expect(c.traffic.poisonGuard.addEnded(time.Now(), target.UID, endedAttempt{})).NotTo(Equal(probeOpen))
		Expect(logged()).To(ContainSubstring(`"panic","where":"probe"`))
	})

	It("answers the requests that wait for a stream's lookup", func() {
		c, logged := start()
		c.traffic.streams.setKeepers([]string{"10.0.0.2:1", "10.0.0.3:1"}, nil)
		for range 2 {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			software, _ := c.traffic.streams.find(ctx, lineage.Stream(7))
			Expect(ctx.Err()).NotTo(HaveOccurred())
			Expect(software).To(BeZero())
			cancel()
		}
		Expect(logged()).To(ContainSubstring(`"panic","where":"stream_lookup"`))
	})
})

// lockedBuffer collects log lines. It is safe for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}
