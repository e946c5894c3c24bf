package experiment

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
)

// loadReportInterval is the time between two load reports of an engine to each router of a baseline
// policy. Configuration changes take effect after the same time.
const loadReportInterval = time.Second

// loadReportBytes is the size of one load report on the wire: a small HTTP request and its
// response, packet headers included.
const loadReportBytes = 420

// chooseFunc selects one of the usable engines for a request.
type chooseFunc func(b *baseline, r *request, usable []engineEntry) uint64

// baseline is a policy in which each router chooses engines by itself, on load reports that are up
// to loadReportInterval old.
type baseline struct {
	sim             *simulation
	choose          chooseFunc
	usesReports     bool
	engines         []engineEntry
	reports         map[uint64]int             // open requests by engine
	sentSinceReport []map[uint64]int           // since the last report, by router and engine
	failedEngines   map[uint64]map[uint64]bool // engines on which a request failed, by request
	nextIndex       int
}

func newBaseline(s *simulation, chooser chooseFunc, usesReports bool) *baseline {
	b := &baseline{sim: s, choose: chooser, usesReports: usesReports, reports: make(map[uint64]int), failedEngines: make(map[uint64]map[uint64]bool)}
	for range s.scenario.Routers {
		b.sentSinceReport = append(b.sentSinceReport, make(map[uint64]int))
	}
	if usesReports {
		b.pollLoad()
	}
	return b
}

// pollLoad updates the load reports at loadReportInterval and restarts the routers' own counts.
func (b *baseline) pollLoad() {
	for _, e := range b.engines {
		b.reports[e.uid] = b.sim.recorder.openRequests[e.uid]
	}
	b.sim.recorder.controlBytes += float64(len(b.engines) * b.sim.scenario.Routers * loadReportBytes)
	for i := range b.sentSinceReport {
		clear(b.sentSinceReport[i])
	}
	b.sim.clock.AfterFunc(loadReportInterval, b.pollLoad)
}

// configure applies the engine list after loadReportInterval, as health checks would. The first
// list applies at once.
func (b *baseline) configure(engines []engineEntry) {
	if b.engines == nil {
		b.engines = engines
		return
	}
	b.sim.clock.AfterFunc(loadReportInterval, func() { b.engines = engines })
}

// route sends a request to an engine that is not leaving and on which it has not failed yet.
func (b *baseline) route(r *request) {
	var usable []engineEntry
	for _, e := range b.engines {
		if !e.leaving && !b.failedEngines[r.id][e.uid] {
			usable = append(usable, e)
		}
	}
	if len(usable) == 0 {
		b.sim.recorder.failed++
		b.sim.finishRequest(r)
		return
	}
	uid := b.choose(b, r, usable)
	b.sentSinceReport[r.router][uid]++
	b.sim.recorder.recordGrant(uid)
	b.sim.engines[uid].submit(r, func(ok bool) { b.requestEnded(r, uid, ok) })
}

// requestEnded finishes a successful request and retries a failed one on another engine.
func (b *baseline) requestEnded(r *request, uid uint64, ok bool) {
	b.sim.recorder.recordEnd(uid)
	if ok {
		delete(b.failedEngines, r.id)
		b.sim.finishRequest(r)
		return
	}
	if b.failedEngines[r.id] == nil {
		b.failedEngines[r.id] = make(map[uint64]bool)
	}
	b.failedEngines[r.id][uid] = true
	b.route(r)
}

// estimatedLoad returns the open requests of an engine as one router knows them.
func (b *baseline) estimatedLoad(router int, uid uint64) int {
	return b.reports[uid] + b.sentSinceReport[router][uid]
}

func chooseRandom(b *baseline, _ *request, usable []engineEntry) uint64 {
	return usable[b.sim.rand.IntN(len(usable))].uid
}

func chooseRoundRobin(b *baseline, _ *request, usable []engineEntry) uint64 {
	b.nextIndex++
	return usable[b.nextIndex%len(usable)].uid
}

func chooseLeastLoaded(b *baseline, r *request, usable []engineEntry) uint64 {
	best := usable[0].uid
	for _, e := range usable[1:] {
		if b.estimatedLoad(r.router, e.uid) < b.estimatedLoad(r.router, best) {
			best = e.uid
		}
	}
	return best
}

// chooseLessLoadedOfTwo returns the less loaded of two random engines.
func chooseLessLoadedOfTwo(b *baseline, r *request, usable []engineEntry) uint64 {
	x, y := usable[b.sim.rand.IntN(len(usable))].uid, usable[b.sim.rand.IntN(len(usable))].uid
	if b.estimatedLoad(r.router, y) < b.estimatedLoad(r.router, x) {
		return y
	}
	return x
}

// rankedEngines returns the usable engines in rendezvous order for the chat of a request.
func rankedEngines(r *request, usable []engineEntry) []uint64 {
	var top rendezvous.Top
	key := rendezvous.Mix(uint64(r.chat.id), 1)
	for i, e := range usable {
		top.Insert(int32(i), rendezvous.Mix(key, rendezvous.Hash(e.name)), rendezvous.MaxTopNodes)
	}
	out := make([]uint64, top.Len)
	for i := range out {
		out[i] = usable[top.Index[i]].uid
	}
	return out
}

func chooseRendezvous(_ *baseline, r *request, usable []engineEntry) uint64 {
	return rankedEngines(r, usable)[0]
}

// chooseBoundedRendezvous returns the first engine in rendezvous order that stays within the load
// bound after the request, as far as the router knows the loads. If there is none, it returns the
// least loaded engine.
func chooseBoundedRendezvous(b *baseline, r *request, usable []engineEntry) uint64 {
	total := 0
	for _, e := range usable {
		total += b.estimatedLoad(r.router, e.uid)
	}
	limit := loadBound(total+1, len(usable))
	order := rankedEngines(r, usable)
	for _, uid := range order {
		if b.estimatedLoad(r.router, uid)+1 <= limit {
			return uid
		}
	}
	return chooseLeastLoaded(b, r, usable)
}
