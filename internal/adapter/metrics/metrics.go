// Package metrics holds the metrics of routers. Each metrics object has its own registry.
package metrics

import (
	"encoding/json"
	"io"
	"net"
	"sync"
	"sync/atomic"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/hemlockdyke/hemlockdyke/internal/app/router"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
)

// maxSeries bounds the number of counters and timers in a registry. With 31,000 teams an
// unbounded registry would exceed the memory of a small VM.
const maxSeries = 2000

// RequestCounts holds the metrics of a router outside the users' platform: counts of requests by
// pool and result, and their times to the first part. It is safe for concurrent use.
type RequestCounts struct {
	mu       sync.Mutex
	registry gometrics.Registry
	series   int // metrics in registry, up to maxSeries
}

// NewRequestCounts returns a RequestCounts without any counts.
func NewRequestCounts() *RequestCounts { return &RequestCounts{registry: gometrics.NewRegistry()} }

// RecordResult records the result of a request.
func (m *RequestCounts) RecordResult(req router.Request, result router.Result) {
	pool := req.Pool.Name
	m.counter("pool." + pool + ".code." + result.Code.Lookup().Name).Inc(1)
	m.counter("pool." + pool + ".tickets").Inc(int64(result.Attempts)) // each attempt takes a ticket
	if result.Code == code.OK {
		m.timer("pool." + pool + ".first_part").Update(result.FirstPartLatency)
	}
	if result.Attempts > 1 {
		m.counter("pool." + pool + ".retries").Inc(int64(result.Attempts - 1))
	}
}

// counter returns the named counter, or a shared one if the registry is full.
func (m *RequestCounts) counter(name string) gometrics.Counter {
	if !m.reserve(name) {
		name = "other"
	}
	return gometrics.GetOrRegisterCounter(name, m.registry)
}

// timer returns the named timer, or a shared one if the registry is full.
func (m *RequestCounts) timer(name string) gometrics.Timer {
	if !m.reserve(name) {
		name = "other_timer"
	}
	return gometrics.GetOrRegisterTimer(name, m.registry)
}

// reserve reports whether the registry has the named metric or has room for it. It counts a new
// one.
func (m *RequestCounts) reserve(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.registry.Get(name) != nil {
		return true
	}
	if m.series >= maxSeries {
		return false
	}
	m.series++
	return true
}

// WriteJSON writes all metrics as JSON.
func (m *RequestCounts) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(m.registry) }

// ConnectionTraffic counts the bytes, reads and writes of the connections between routers and
// controllers. It is safe for concurrent use.
type ConnectionTraffic struct {
	BytesIn, BytesOut, Reads, Writes atomic.Int64
}

// WrapListener returns a listener that counts the traffic of its connections.
func (t *ConnectionTraffic) WrapListener(l net.Listener) net.Listener {
	return &countingListener{Listener: l, traffic: t}
}

// WrapConn returns a connection that counts its traffic.
func (t *ConnectionTraffic) WrapConn(c net.Conn) net.Conn { return &countingConn{Conn: c, traffic: t} }

type countingListener struct {
	net.Listener
	traffic *ConnectionTraffic
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.WrapConn(c), nil
}

type countingConn struct {
	net.Conn
	traffic *ConnectionTraffic
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.BytesIn.Add(int64(n))
	c.traffic.Reads.Add(1)
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.BytesOut.Add(int64(n))
	c.traffic.Writes.Add(1)
	return n, err
}

// TrafficCounts is the traffic of one process since its start.
type TrafficCounts struct {
	In     int64 `json:"in"`  // bytes
	Out    int64 `json:"out"` // bytes
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// Snapshot returns the current counts.
func (t *ConnectionTraffic) Snapshot() TrafficCounts {
	return TrafficCounts{In: t.BytesIn.Load(), Out: t.BytesOut.Load(), Reads: t.Reads.Load(), Writes: t.Writes.Load()}
}
