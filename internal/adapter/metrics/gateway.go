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
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/targetload"
)

// prefix begins the names of all metrics.
const prefix = "hemlockdyke_"

// The limits bound the memory for metrics, since the smallest VM has 184 MB.
const (
	maxLatencies     = 1000 // latency histograms, of 250 bytes each
	maxServiceLevels = 200  // pairs of pool and team with a service level, of 20 KB each
)

// Gateway holds the metrics of a router on the users' platform. It is safe for concurrent use.
type Gateway struct {
	now func() time.Time

	mu            sync.Mutex
	registry      gometrics.Registry
	series        int // counters added; from maxSeries on, new label values share one counter
	latencies     map[latencyKey]*latency
	serviceLevels *burn.Tracker

	memoryLimit func() int64
	holder      func() Holder
}

type latencyKey struct{ name, route, class string }

// NewGateway returns a Gateway without any counts.
func NewGateway(now func() time.Time) *Gateway {
	return &Gateway{
		now: now, registry: gometrics.NewRegistry(), latencies: make(map[latencyKey]*latency),
		serviceLevels: burn.NewTracker(now(), maxServiceLevels),
	}
}

// RecordResult records the result of a request.
func (g *Gateway) RecordResult(r gateway.Result) {
	g.add("requests_total", "code", r.Code.Lookup().Name, 1)
	if r.Retries > 0 {
		g.add("repeats_total", "pool", r.Pool, r.Retries)
	}
	if r.RetryDenied {
		g.add("repeats_denied_total", "pool", r.Pool, 1)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Code == code.OK {
		g.getOrAddLatency("first_byte_ms", r).observe(r.FirstByteTime)
		g.getOrAddLatency("total_ms", r).observe(r.TotalTime)
	}
	if r.Code == code.CallerGone {
		return // the service level does not count requests whose caller disconnected
	}
	answered := r.Code == code.OK && r.Status < http.StatusInternalServerError
	g.serviceLevels.RecordRequest(g.now(), burn.Key{Pool: r.Pool, Team: r.Team}, burn.MetServiceLevel(answered, r.FirstByteTime, r.Objective), r.FirstByteTime)
}

// getOrAddLatency returns the histogram of a request's route and team class. Once there are
// maxLatencies histograms, all new routes and classes share one.
func (g *Gateway) getOrAddLatency(name string, r gateway.Result) *latency {
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

// CountSignal counts a signal in a target's answer: one of gateway.SignalLeaving, SignalPause and
// SignalInvalid.
func (g *Gateway) CountSignal(signal string) { g.add("targets_said_total", "what", signal, 1) }

// CountResumption counts a stream that a caller takes up, by who knew it.
func (g *Gateway) CountResumption(known string) { g.add("resumptions_total", "known", known, 1) }

// CountIgnoredLoad counts a load report of a target that was ignored.
func (g *Gateway) CountIgnoredLoad(reason targetload.Fault) {
	g.add("target_loads_ignored_total", "why", string(reason), 1)
}

// CountPrefillClaim counts a claim for the reading of a prompt prefix, by its result.
func (g *Gateway) CountPrefillClaim(result string) {
	g.add("prefill_claims_total", "result", result, 1)
}

// CountPrefillWait counts a request that waited for the reading of a prompt prefix, by what ended the wait.
func (g *Gateway) CountPrefillWait(ended string) { g.add("prefill_waits_total", "ended", ended, 1) }

// CountCutAnswer counts an answer of a target that was not read to its end, by the part that is too large.
func (g *Gateway) CountCutAnswer(part string) { g.add("answers_cut_total", "part", part, 1) }

// CountRefusal counts a request that was refused before it had a route.
func (g *Gateway) CountRefusal(c code.Code) { g.add("refused_total", "code", c.Lookup().Name, 1) }

// CountClosedUnread counts a caller's connection that was closed unread, as this router has too much work.
// arrived tells whether bytes of a request had arrived.
func (g *Gateway) CountClosedUnread(arrived bool) {
	value := "nothing"
	if arrived {
		value = "bytes"
	}
	g.add("closed_unread_total", "arrived", value, 1)
}

// CountIncomplete counts a request that ended without a complete answer, by reason.
func (g *Gateway) CountIncomplete(reason string) { g.add("incomplete_total", "why", reason, 1) }

// CountPanic counts a panic, by where it occurred.
func (g *Gateway) CountPanic(where string) { g.add("panics_total", "where", where, 1) }

// CountDial counts a new connection to a target.
func (g *Gateway) CountDial() { g.add("dials_total", "", "", 1) }

// AddPeerBytes counts n bytes of messages between routers. kind names the message and its
// direction.
func (g *Gateway) AddPeerBytes(kind string, n int64) { g.add("peer_bytes_total", "kind", kind, int(n)) }

// CountStoreCall counts a call to the platform's store and whether it failed. kind is the path of
// the call.
func (g *Gateway) CountStoreCall(kind string, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	g.add("store_calls_total", "call", strings.TrimPrefix(kind, "/")+"_"+outcome, 1)
}

// add adds n to a counter. Once there are maxSeries counters, new label values are counted under
// the metric's name without a label.
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

// Handler returns a handler that serves the metrics as text. It calls status for the current
// state of the router.
func (g *Gateway) Handler(status func() gateway.Status) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		writeStatus(w, status())
		g.writeMemory(w)
		g.write(w)
	})
	return r
}

func writeStatus(w io.Writer, s gateway.Status) {
	for _, gauge := range []struct {
		name  string
		value float64
	}{
		{"ready", toFloat(s.Ready)}, {"store_reading", toFloat(s.StoreReader)}, {"desired_state_version", float64(s.DesiredVersion)},
		{"desired_state_age_seconds", s.DesiredAge.Seconds()}, {"targets_age_seconds", s.TargetsAge.Seconds()},
		{"peers_alive", float64(s.AlivePeers)}, {"peers_heard", float64(s.DirectPeers)}, {"relay", toFloat(s.IsRelay)},
		{"feed_age_seconds", s.FeedAge.Seconds()}, {"suspects", float64(s.Suspects)}, {"evacuated_data_centres", float64(s.EvacuatedDataCentres)},
		{"cold_targets", float64(s.ColdTargets)}, {"cut_pools", float64(s.CutPools)}, {"forwarding", float64(s.Forwarding)}, {"known_streams", float64(s.KnownStreams)},
		{"prefill_claims", float64(s.PrefillClaims)}, {"prefill_waiting", float64(s.PrefillWaiting)},
		{"caller_memory_bytes", float64(s.CallerMemory)}, {"answer_memory_bytes", float64(s.AnswerMemory)},
	} {
		fmt.Fprintf(w, "%s%s %g\n", prefix, gauge.name, gauge.value)
	}
	for _, id := range slices.Sorted(maps.Keys(s.OpenRequests)) {
		fmt.Fprintf(w, "%sopen_requests{target=%q} %d\n", prefix, id, s.OpenRequests[id])
	}
	writeTargetLoads(w, s.TargetLoads)
	writeWorkAccuracies(w, s.WorkAccuracies)
}

// writeTargetLoads writes what targets report of themselves. Lines of the same metric are adjacent.
func writeTargetLoads(w io.Writer, loads map[string]placement.TargetLoad) {
	ids := slices.Sorted(maps.Keys(loads))
	for _, gauge := range []struct {
		name  string
		value func(placement.TargetLoad) float64
	}{
		{"target_pace", func(l placement.TargetLoad) float64 { return l.Pace }},
		{"target_running", func(l placement.TargetLoad) float64 { return float64(l.Running) }},
		{"target_waiting", func(l placement.TargetLoad) float64 { return float64(l.Waiting) }},
	} {
		for _, id := range ids {
			fmt.Fprintf(w, "%s%s{target=%q} %g\n", prefix, gauge.name, id, gauge.value(loads[id]))
		}
	}
}

func toFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// write prints counters, latencies and service levels. Lines of the same metric are adjacent, as
// the text format requires.
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
	writeServiceLevels(w, g.serviceLevels.Samples(g.now()))
}
