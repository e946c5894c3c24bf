package gatewayhttp

import (
	"context"
	"net"
	"runtime/metrics"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/overload"
)

// LoadGate closes new connections of callers while this router has more work than its processor can do,
// see package overload. A caller whose whole request has arrived by then gets an answer; all others are
// closed unread. It is safe for concurrent use.
type LoadGate struct {
	others  func() int         // other routers that may take the connections
	closed  func(arrived bool) // called for each connection that is closed unread: whether bytes had arrived
	refused func()             // called for each connection whose whole request is answered at accept time
	changed func(limited bool) // called when the router begins or stops closing connections
	begun   atomic.Int64       // first requests of connections since the last observation

	mu        sync.Mutex
	gate      overload.Gate
	lingering lingering
}

// NewLoadGate returns a LoadGate that accepts all until Observe is called.
func NewLoadGate(others func() int, closed func(arrived bool), refused func(), changed func(limited bool)) *LoadGate {
	return &LoadGate{others: others, closed: closed, refused: refused, changed: changed}
}

// Wrap returns a listener that accepts the connections that the gate accepts.
func (g *LoadGate) Wrap(l net.Listener) net.Listener { return &gatedListener{Listener: l, gate: g} }

// RecordBegun records the first request of a connection.
func (g *LoadGate) RecordBegun() { g.begun.Add(1) }

// Run measures the delay and calls Observe each overload.Period, until ctx ends.
func (g *LoadGate) Run(ctx context.Context) {
	ticker := time.NewTicker(overload.Period)
	defer ticker.Stop()
	delays := newSchedulerDelays()
	for {
		select {
		case <-ticker.C:
			g.Observe(delays.take())
		case <-ctx.Done():
			return
		}
	}
}

// Observe ends an overload.Period in which work waited for the processor for delay.
func (g *LoadGate) Observe(delay time.Duration) {
	others := g.others()
	g.mu.Lock()
	before := g.gate.Limited()
	g.gate.Observe(delay, int(g.begun.Swap(0)), others)
	after := g.gate.Limited()
	g.lingering.closeOlder()
	g.mu.Unlock()
	if before != after {
		g.changed(after)
	}
}

func (g *LoadGate) accept() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Accept()
}

type gatedListener struct {
	net.Listener
	gate *LoadGate
}

func (l *gatedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || l.gate.accept() {
			return c, err
		}
		l.gate.TurnAway(c)
	}
}

// TurnAway answers and closes a connection that is not accepted.
func (g *LoadGate) TurnAway(c net.Conn) {
	arrived := refuseArrived(c)
	if arrived == wholeArrived {
		g.mu.Lock()
		g.lingering.add(c)
		g.mu.Unlock()
		g.refused()
		return
	}
	g.closed(arrived == partArrived)
	_ = c.Close() // nothing was read: the caller learns that at once
}

// delayQuantile is the quantile of the scheduler's delays that tells of waiting work: a connection's goroutine
// is put at the end of the queue once and goes on without delay several times.
const delayQuantile = 0.9

// schedulerDelays measures how long goroutines that could run waited for a processor.
type schedulerDelays struct {
	samples  []metrics.Sample
	previous []uint64
}

func newSchedulerDelays() *schedulerDelays {
	d := &schedulerDelays{samples: []metrics.Sample{{Name: "/sched/latencies:seconds"}}}
	d.take()
	return d
}

// take returns the delayQuantile of the delays since the last call, 0 if there was none.
func (d *schedulerDelays) take() time.Duration {
	metrics.Read(d.samples)
	if d.samples[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := d.samples[0].Value.Float64Histogram()
	previous := d.previous
	d.previous = slices.Clone(h.Counts)
	total := uint64(0)
	for i, n := range h.Counts {
		total += n - countAt(previous, i)
	}
	seen := uint64(0)
	for i, n := range h.Counts {
		seen += n - countAt(previous, i)
		if seen > 0 && float64(seen) >= delayQuantile*float64(total) {
			return time.Duration(max(h.Buckets[i], 0) * float64(time.Second))
		}
	}
	return 0
}

func countAt(counts []uint64, i int) uint64 {
	if i < len(counts) {
		return counts[i]
	}
	return 0
}
