package metrics

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/gorilla/mux"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
)

// Gateway counts what a gateway does. It is safe for concurrent use.
type Gateway struct {
	mu       sync.Mutex
	registry gometrics.Registry
	series   int
}

// NewGateway returns empty counters.
func NewGateway() *Gateway { return &Gateway{registry: gometrics.NewRegistry()} }

// Observe records how a request ended.
func (g *Gateway) Observe(r gateway.Result) {
	g.count("requests_total", "code", r.Code.Lookup().Name)
	if r.Repeats > 0 {
		g.count("repeats_total", "pool", r.Pool)
	}
	if r.Code == code.OK {
		g.histogram("first_byte_ms", r.Pool).Update(r.First.Milliseconds())
		g.histogram("total_ms", r.Pool).Update(r.Total.Milliseconds())
	}
}

// Refused counts a refusal before a route was known.
func (g *Gateway) Refused(c code.Code) { g.count("refused_total", "code", c.Lookup().Name) }

// Dialed counts a new connection to a target.
func (g *Gateway) Dialed() { g.count("dials_total", "", "") }

// StoreCall counts a call to the platform's store.
func (g *Gateway) StoreCall(kind string, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	g.count("store_calls_total", "call", strings.TrimPrefix(kind, "/")+"_"+outcome)
}

func (g *Gateway) count(name, label, value string) {
	key := seriesName(name, label, value)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.registry.Get(key) == nil {
		if g.series >= maxSeries {
			key = name
		}
		g.series++
	}
	gometrics.GetOrRegisterCounter(key, g.registry).Inc(1)
}

// sampleSize is how many values a histogram keeps.
const sampleSize = 256

func (g *Gateway) histogram(name, pool string) gometrics.Histogram {
	key := seriesName(name, "pool", pool)
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.registry.GetOrRegister(key, func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewUniformSample(sampleSize))
	})
	found, ok := h.(gometrics.Histogram)
	if !ok {
		return gometrics.NilHistogram{}
	}
	return found
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
		{"peers_alive", float64(s.Peers)},
	} {
		fmt.Fprintf(w, "hemlockdyke_%s %g\n", one.name, one.value)
	}
	for _, id := range slices.Sorted(maps.Keys(s.OpenAt)) {
		fmt.Fprintf(w, "hemlockdyke_open_requests{target=%q} %d\n", id, s.OpenAt[id])
	}
}

func boolean(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (g *Gateway) write(w io.Writer) {
	g.registry.Each(func(key string, metric any) {
		switch m := metric.(type) {
		case gometrics.Counter:
			fmt.Fprintf(w, "hemlockdyke_%s %d\n", key, m.Count())
		case gometrics.Histogram:
			s := m.Snapshot()
			name, labels, _ := strings.Cut(key, "{")
			for _, q := range []float64{0.5, 0.95, 0.99} {
				fmt.Fprintf(w, "hemlockdyke_%s{quantile=\"%g\",%s %g\n", name, q, labels, s.Percentile(q))
			}
			fmt.Fprintf(w, "hemlockdyke_%s_count{%s %d\n", name, labels, s.Count())
		}
	})
}
