package experiment

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
)

// reportInterval is how often each router reads every engine's load, and how old
// that report is at most. It is what the baselines know of the load.
const reportInterval = time.Second

// reportBytes is what one report costs on the wire: a small HTTP request and its
// answer with their packet headers.
const reportBytes = 420

// choose picks one of the usable engines for a request.
type choose func(b *baseline, r *request, usable []engineState) uint64

// baseline is a policy in which each router decides alone, on lagged reports.
type baseline struct {
	sim      *simulation
	choose   choose
	reads    bool // whether it reads load reports
	engines  []engineState
	reports  map[uint64]int
	inFlight []map[uint64]int // by router and engine, since the last report
	excluded map[uint64]map[uint64]bool
	turn     int
}

func newBaseline(s *simulation, c choose, reads bool) *baseline {
	b := &baseline{sim: s, choose: c, reads: reads, reports: make(map[uint64]int), excluded: make(map[uint64]map[uint64]bool)}
	for range s.scenario.Routers {
		b.inFlight = append(b.inFlight, make(map[uint64]int))
	}
	if reads {
		b.poll()
	}
	return b
}

// poll refreshes the reports; every router's own count starts over with them.
func (b *baseline) poll() {
	for _, e := range b.engines {
		b.reports[e.uid] = b.sim.measure.open[e.uid]
	}
	b.sim.measure.control += float64(len(b.engines) * b.sim.scenario.Routers * reportBytes)
	for i := range b.inFlight {
		clear(b.inFlight[i])
	}
	b.sim.clock.AfterFunc(reportInterval, b.poll)
}

// configure reaches the routers after a report interval, as health checks would.
func (b *baseline) configure(engines []engineState) {
	if b.engines == nil {
		b.engines = engines
		return
	}
	b.sim.clock.AfterFunc(reportInterval, func() { b.engines = engines })
}

func (b *baseline) arrive(r *request) {
	var usable []engineState
	for _, e := range b.engines {
		if !e.leaving && !b.excluded[r.id][e.uid] {
			usable = append(usable, e)
		}
	}
	if len(usable) == 0 {
		b.sim.measure.failed++
		b.sim.finished(r)
		return
	}
	uid := b.choose(b, r, usable)
	b.inFlight[r.router][uid]++
	b.sim.measure.granted(uid)
	b.sim.engines[uid].submit(r, func(ok bool) { b.ended(r, uid, ok) })
}

func (b *baseline) ended(r *request, uid uint64, ok bool) {
	b.sim.measure.ended(uid)
	if ok {
		delete(b.excluded, r.id)
		b.sim.finished(r)
		return
	}
	if b.excluded[r.id] == nil {
		b.excluded[r.id] = make(map[uint64]bool)
	}
	b.excluded[r.id][uid] = true
	b.arrive(r)
}

// load is what a router believes of an engine.
func (b *baseline) load(router int, uid uint64) int {
	return b.reports[uid] + b.inFlight[router][uid]
}

func chooseRandom(b *baseline, _ *request, usable []engineState) uint64 {
	return usable[b.sim.rand.IntN(len(usable))].uid
}

func chooseRoundRobin(b *baseline, _ *request, usable []engineState) uint64 {
	b.turn++
	return usable[b.turn%len(usable)].uid
}

func chooseLeastLoaded(b *baseline, r *request, usable []engineState) uint64 {
	best := usable[0].uid
	for _, e := range usable[1:] {
		if b.load(r.router, e.uid) < b.load(r.router, best) {
			best = e.uid
		}
	}
	return best
}

func chooseTwo(b *baseline, r *request, usable []engineState) uint64 {
	x, y := usable[b.sim.rand.IntN(len(usable))].uid, usable[b.sim.rand.IntN(len(usable))].uid
	if b.load(r.router, y) < b.load(r.router, x) {
		return y
	}
	return x
}

// ranked returns the usable engines in rendezvous order for the request's chat.
func ranked(r *request, usable []engineState) []uint64 {
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

func chooseRendezvous(_ *baseline, r *request, usable []engineState) uint64 {
	return ranked(r, usable)[0]
}

func chooseBoundedRendezvous(b *baseline, r *request, usable []engineState) uint64 {
	total := 0
	for _, e := range usable {
		total += b.load(r.router, e.uid)
	}
	limit := bound(total+1, len(usable))
	order := ranked(r, usable)
	for _, uid := range order {
		if b.load(r.router, uid)+1 <= limit {
			return uid
		}
	}
	return chooseLeastLoaded(b, r, usable)
}
