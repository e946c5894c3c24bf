package metrics

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
	"github.com/hemlockdyke/hemlockdyke/internal/core/burn"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
)

// prefix begins the name of every metric.
const prefix = "hemlockdyke_"

// maxLatencies bounds the latency histograms, 250 bytes each, and maxLevels the pairs of
// pool and team whose service level is kept, 20 KB each: a VM has 184 MB at the least.
const (
	maxLatencies = 1000
	maxLevels    = 200
)

// Gateway counts what a gateway does. It is safe for concurrent use.
type Gateway struct {
	now func() time.Time

	mu        sync.Mutex
	registry  gometrics.Registry
	series    int
	latencies map[latencyKey]*latency
	levels    *burn.Tracker
}

type latencyKey struct{ name, route, class string }

// NewGateway returns empty counters.
func NewGateway(now func() time.Time) *Gateway {
	return &Gateway{
		now: now, registry: gometrics.NewRegistry(), latencies: make(map[latencyKey]*latency),
		levels: burn.NewTracker(now(), maxLevels),
	}
}

// Observe records how a request ended.
func (g *Gateway) Observe(r gateway.Result) {
	g.add("requests_total", "code", r.Code.Lookup().Name, 1)
	if r.Repeats > 0 {
		g.add("repeats_total", "pool", r.Pool, r.Repeats)
	}
	if r.Denied {
		g.add("repeats_denied_total", "pool", r.Pool, 1)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Code == code.OK {
		g.latency("first_byte_ms", r).observe(r.First)
		g.latency("total_ms", r).observe(r.Total)
	}
	if r.Code == code.CallerGone {
		return // says nothing of the service
	}
	answered := r.Code == code.OK && r.Status < http.StatusInternalServerError
	g.levels.Observe(g.now(), burn.Key{Pool: r.Pool, Team: r.Team}, burn.Good(answered, r.First, r.Objective), r.First)
}

// latency returns the histogram of a request's route and team class. Beyond the bound
// all share one.
func (g *Gateway) latency(name string, r gateway.Result) *latency {
	key := latencyKey{name: name, route: r.Route, class: r.Class}
	l, ok := g.latencies[key]
	if !ok && len(g.latencies) >= maxLatencies {
		key.route, key.class = "other", "other"
		l, ok = g.latencies[key]
	}
	if !ok {
		l = newLatency()
		g.latencies[key] = l
	}
	return l
}

// Said counts what targets say of themselves.
func (g *Gateway) Said(what string) { g.add("targets_said_total", "what", what, 1) }

// CountRefusal counts a refusal before a route was known.
func (g *Gateway) CountRefusal(c code.Code) { g.add("refused_total", "code", c.Lookup().Name, 1) }

// CountDial counts a new connection to a target.
func (g *Gateway) CountDial() { g.add("dials_total", "", "", 1) }

// AddPeerBytes counts bytes of routers' messages to each other, by kind and direction.
func (g *Gateway) AddPeerBytes(kind string, n int64) { g.add("peer_bytes_total", "kind", kind, int(n)) }

// CountStoreCall counts a call to the platform's store.
func (g *Gateway) CountStoreCall(kind string, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	g.add("store_calls_total", "call", strings.TrimPrefix(kind, "/")+"_"+outcome, 1)
}

func (g *Gateway) add(name, label, value string, n int) {
	key := seriesName(name, label, value)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.registry.Get(key) == nil {
		if g.series >= maxSeries {
			key = name
		}
		g.series++
	}
	gometrics.GetOrRegisterCounter(key, g.registry).Inc(int64(n))
}

func seriesName(name, label, value string) string {
	if label == "" {
		return name
	}
	return fmt.Sprintf("%s{%s=%q}", name, label, value)
}

// Handler serves the metrics as text; status tells what the router holds now.
func (g *Gateway) Handler(status func() gateway.Status) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		writeStatus(w, status())
		g.write(w)
	})
	return r
}

func writeStatus(w io.Writer, s gateway.Status) {
	for _, one := range []struct {
		name  string
		value float64
	}{
		{"ready", boolean(s.Ready)}, {"store_reading", boolean(s.Reading)}, {"desired_state_version", float64(s.Version)},
		{"desired_state_age_seconds", s.DesiredAge.Seconds()}, {"targets_age_seconds", s.TargetsAge.Seconds()},
		{"peers_alive", float64(s.Peers)}, {"peers_heard", float64(s.Heard)}, {"relay", boolean(s.Relay)},
		{"feed_age_seconds", s.FedAge.Seconds()}, {"suspects", float64(s.Suspects)}, {"evacuated_data_centres", float64(s.Evacuated)},
		{"cold_targets", float64(s.Cold)},
	} {
		fmt.Fprintf(w, "%s%s %g\n", prefix, one.name, one.value)
	}
	for _, id := range slices.Sorted(maps.Keys(s.OpenAt)) {
		fmt.Fprintf(w, "%sopen_requests{target=%q} %d\n", prefix, id, s.OpenAt[id])
	}
}

func boolean(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// write prints counters, latencies and service levels. All lines of one name stand
// together, as scrapers expect them.
func (g *Gateway) write(w io.Writer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := make(map[string]int64)
	g.registry.Each(func(key string, metric any) {
		if c, ok := metric.(gometrics.Counter); ok {
			counts[key] = c.Count()
		}
	})
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "%s%s %d\n", prefix, key, counts[key])
	}
	for _, name := range []string{"first_byte_ms", "total_ms"} {
		fmt.Fprintf(w, "# TYPE %s%s histogram\n", prefix, name)
		for key, l := range g.latencies {
			if key.name == name {
				l.write(w, name, fmt.Sprintf("route=%q,class=%q", key.route, key.class))
			}
		}
	}
	writeLevels(w, g.levels.Samples(g.now()))
}
