//go:build !race

// The simulation is one goroutine, where the race detector finds nothing but takes minutes.

package shedding_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/admission"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/shedding"
)

// kind is one kind of request, with a route of its own. The largest one, with 2.5 times the mean work,
// needs half of its objective for its first event at most.
type kind struct {
	share      float64 // of the slot time of all requests
	mean       time.Duration
	firstEvent float64 // part of the slot time before the first event
	objective  time.Duration
}

var kinds = []kind{
	{0.26, 1800 * time.Millisecond, 0.15, 1500 * time.Millisecond},
	{0.64, 1300 * time.Millisecond, 0.1, time.Second},
	{0.10, 250 * time.Millisecond, 1, time.Second},
}

const (
	simSlots  = 24
	simTeams  = 24
	surgeTeam = 3
	simBudget = 8 * time.Second
	overload  = 4 * time.Second // when the overload begins
	endOfLoad = 12 * time.Second
	calmLoad  = 0.7
)

// simulation is a fleet of routers in front of targets that admit by priority and preempt nothing.
type simulation struct {
	routers, targets int
	load             float64 // total during the overload, as a multiple of the capacity that is left
	loseHalf         bool    // half of the targets are lost when the overload begins
	surge            float64 // of one team; 0 or 1 if there is none
	surgeUrgent      bool    // that team has priority 0, the others have 1
	restartAt        time.Duration
	blind            int // routers that receive no reports from the begin of the overload
	garbage          bool
	returnShare      float64 // of the refused callers that return once
}

// results are the requests that arrive during the overload, from half a second after its begin or a
// second after the restart of all routers.
type results struct {
	kinds, large, teams         []tally // large is the largest tenth of each kind by work
	firstWithinShare            tally   // kind 0 of the teams within their share, see isOverShare
	returned, refusedAgain      int
	served, capacity            float64        // slot seconds
	reasons                     map[string]int // refusals by kind and reason
	ownWorkOfFirst              float64        // work of kind 0 that arrives, as a part of the capacity
	peakUtilization             float64
	utilizationSum, utilSamples float64
}

type tally struct{ requested, admitted, inTime int }

func (t tally) share() float64 { return float64(t.inTime) / float64(max(t.requested, 1)) }

type simRequest struct {
	at, work     time.Duration
	kind, team   int
	percentile   float64
	remaining    time.Duration
	returning    bool
	measured     bool
	router, life int
	priority     int
	sequence     int
	choice       placement.Choice
	decision     shedding.Decision
	target       *simTarget
}

type simTarget struct {
	uid     uint64
	running int
	waiting []*simRequest
	epoch   int // incremented when all its requests are lost
}

type simEvent struct {
	at    time.Duration
	order int
	do    func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// run is the state of a simulation.
type run struct {
	simulation
	rnd       *rand.Rand
	now       time.Duration
	events    simEvents
	order     int
	list      []placement.PoolTarget
	targets   map[uint64]*simTarget
	balancers []*placement.Balancer
	gates     []*admission.Gate
	cuts      []*shedding.Cut
	teamWork  []map[uint64]time.Duration
	life      int
	ranking   *shedding.Ranking
	weights   []float64
	out       results
}

func (r *run) after(d time.Duration, do func()) {
	r.order++
	heap.Push(&r.events, simEvent{r.now + d, r.order, do})
}

func (r *run) time() time.Time { return start.Add(r.now) }

func (r *run) startRouters() {
	r.life++
	for i := range r.routers {
		r.balancers[i] = placement.New(placement.DefaultSettings("a"), rand.New(rand.NewPCG(uint64(r.life), uint64(i))))
		r.balancers[i].UpdateTargets(r.time(), placement.TargetChanges{Updated: r.list})
		r.gates[i], r.cuts[i], r.teamWork[i] = admission.NewGate(), shedding.NewCut("p", rand.New(rand.NewPCG(9, uint64(i))).Uint64()), nil
	}
}

func (r *run) urgency(kind, team int) shedding.Urgency {
	if !r.surgeUrgent {
		return shedding.Urgency{Priority: kind, RoutePriority: kind}
	}
	if team == surgeTeam {
		return shedding.Urgency{Priority: 0, RoutePriority: kind}
	}
	return shedding.Urgency{Priority: 1, RoutePriority: kind}
}

// simulate runs a simulation of 12 s of load.
func simulate(s simulation, seed uint64) results {
	r := &run{simulation: s, rnd: rand.New(rand.NewPCG(seed, 77)), targets: make(map[uint64]*simTarget)}
	for i := range s.targets {
		t := placement.Target{UID: uint64(i + 1), ID: fmt.Sprint("i-", i), Slots: simSlots, DataCentre: "a"}
		r.list = append(r.list, placement.PoolTarget{Pool: "p", Target: t})
		r.targets[t.UID] = &simTarget{uid: t.UID}
	}
	r.balancers, r.gates, r.cuts = make([]*placement.Balancer, s.routers), make([]*admission.Gate, s.routers), make([]*shedding.Cut, s.routers)
	r.teamWork = make([]map[uint64]time.Duration, s.routers)
	r.out = results{reasons: make(map[string]int), kinds: make([]tally, len(kinds)), large: make([]tally, len(kinds)), teams: make([]tally, simTeams)}
	var urgencies []shedding.Urgency
	for k := range kinds {
		for t := range simTeams {
			urgencies = append(urgencies, r.urgency(k, t))
		}
	}
	r.ranking = shedding.NewRanking(urgencies)
	total := 0.0
	for i := range simTeams {
		r.weights = append(r.weights, 1/math.Pow(float64(i+1), 0.7))
		total += r.weights[i]
	}
	for i := range r.weights {
		r.weights[i] /= total
	}
	r.startRouters()
	for at := time.Duration(0); at < endOfLoad; at += 100 * time.Millisecond {
		r.after(at, r.report)
	}
	if s.loseHalf {
		r.after(overload, r.loseTargets)
	}
	if s.restartAt > 0 {
		r.after(s.restartAt, r.restart)
	}
	for at := time.Duration(0); at < endOfLoad; at += time.Millisecond {
		r.after(at, r.arrivals)
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(simEvent)
		r.now = e.at
		e.do()
	}
	return r.out
}

func (r *run) capacity() float64 { return float64(len(r.targets) * simSlots) }

// isOverShare reports whether a team asks for more than twice the mean of all teams and for more than
// 1.5 times what it had before the overload. After a restart of all routers, only the mean counts.
// When the surge of another team is cut, a team's part of the work is as without the surge.
func (r *run) isOverShare(team int) bool {
	surge := max(r.surge, 1)
	total, own := 1+(surge-1)*r.weights[surgeTeam], r.weights[team]
	if team == surgeTeam {
		own *= surge
	}
	left := 1.0
	if r.loseHalf {
		left = 0.5
	}
	return max(own/total, r.weights[team]) > 2.0/simTeams && (r.restartAt > 0 || r.load*left*own/total > 1.5*calmLoad*r.weights[team])
}

// isMeasured reports whether requests that arrive now count.
func (r *run) isMeasured() bool {
	from := overload + 500*time.Millisecond
	if r.restartAt > 0 {
		from = r.restartAt + time.Second
	}
	return r.now >= from && r.now < endOfLoad-time.Second
}

// arrivals sends the requests of one millisecond.
func (r *run) arrivals() {
	load, surge := calmLoad, 1.0
	if r.now >= overload {
		load, surge = r.load, max(r.surge, 1)
	}
	if r.isMeasured() {
		r.out.capacity += r.capacity() / 1000
	}
	total := 1 + (surge-1)*r.weights[surgeTeam]
	for k, kind := range kinds {
		mean := load * r.capacity() * kind.share / kind.mean.Seconds() / 1000
		for n := r.poisson(mean); n > 0; n-- {
			x, team := r.rnd.Float64()*total, 0
			for ; team < simTeams-1; team++ {
				w := r.weights[team]
				if team == surgeTeam {
					w *= surge
				}
				if x -= w; x < 0 {
					break
				}
			}
			u := r.rnd.Float64()
			work := time.Duration(float64(kind.mean) * min(0.25-0.75*math.Log(1-u), 2.5))
			r.arrive(&simRequest{at: r.now, work: work, kind: k, team: team, percentile: u, remaining: simBudget, measured: r.isMeasured()})
		}
	}
}

func (r *run) poisson(mean float64) int {
	n := 0
	for p := r.rnd.ExpFloat64(); p < mean; p += r.rnd.ExpFloat64() {
		n++
	}
	return n
}

// arrive has a router decide on a request.
func (r *run) arrive(q *simRequest) {
	i := r.rnd.IntN(r.routers)
	b := r.balancers[i]
	choice, ok := b.Place(r.time(), placement.Request{Pool: "p", ChatHash: r.rnd.Uint64()})
	if !ok {
		panic("no target")
	}
	load := admission.Load{Open: choice.Open, Slots: simSlots, ReportAge: 200 * time.Millisecond}
	wait := r.gates[i].ExpectedWait(load)
	utilization := b.Utilization(r.time(), "p")
	team := fmt.Sprint("team-", q.team)
	estimate := time.Duration(float64(q.work) * math.Exp(0.4*r.rnd.NormFloat64()))
	d := r.cuts[i].Decide(r.time(), shedding.Request{
		Team: team, Route: fmt.Sprint(q.kind), Urgency: r.urgency(q.kind, q.team), Remaining: q.remaining, Objective: kinds[q.kind].objective,
		ExpectedWait: wait, FirstEvent: time.Duration(kinds[q.kind].firstEvent * float64(estimate)), SlotTime: estimate, WorkPercentile: q.percentile,
	}, shedding.Load{TargetsOrderByRank: true, Utilization: utilization, TeamWork: r.teamWork[i], Routers: r.routers})
	if q.measured {
		r.count(q, func(t *tally) { t.requested++ })
		r.out.utilizationSum += utilization
		r.out.utilSamples++
		r.out.peakUtilization = max(r.out.peakUtilization, utilization)
		if q.kind == 0 {
			r.out.ownWorkOfFirst += q.work.Seconds()
		}
		if q.returning {
			r.out.returned++
		}
	}
	if d.Code != code.OK {
		if q.measured {
			r.out.reasons[fmt.Sprintf("%d %s %t", q.kind, d.Reason, q.returning)]++
		}
		b.FinishPlacement(r.time(), choice, placement.Neutral)
		switch {
		case q.returning && q.measured:
			r.out.refusedAgain++
		case !q.returning && r.rnd.Float64() < r.returnShare:
			back := *q
			back.remaining, back.returning = q.remaining-d.RetryAfter, true
			r.after(d.RetryAfter, func() {
				back.at, back.measured = r.now, r.isMeasured()
				r.arrive(&back)
			})
		}
		return
	}
	r.gates[i].RecordStart(team)
	r.cuts[i].RecordStart(r.time(), team, d.Work)
	r.order++
	q.router, q.life, q.choice, q.decision, q.priority, q.sequence = i, r.life, choice, d, r.ranking.TargetPriority(&d), r.order
	q.target = r.targets[choice.Target.UID]
	if q.measured {
		r.count(q, func(t *tally) { t.admitted++ })
	}
	r.after(3*time.Millisecond, func() { r.reach(q) })
}

// count applies f to all tallies that a request belongs to.
func (r *run) count(q *simRequest, f func(*tally)) {
	f(&r.out.kinds[q.kind])
	f(&r.out.teams[q.team])
	if q.kind == 0 && !r.isOverShare(q.team) {
		f(&r.out.firstWithinShare)
	}
	if q.percentile >= 0.9 {
		f(&r.out.large[q.kind])
	}
}

// reach queues a request at its target.
func (r *run) reach(q *simRequest) {
	t := q.target
	if r.targets[t.uid] != t || q.life != r.life {
		r.end(q)
		return
	}
	i, _ := slices.BinarySearchFunc(t.waiting, q, func(a, b *simRequest) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return a.sequence - b.sequence
	})
	t.waiting = slices.Insert(t.waiting, i, q)
	r.serve(t)
}

// serve starts waiting requests while there are free slots.
func (r *run) serve(t *simTarget) {
	for t.running < simSlots && len(t.waiting) > 0 {
		q := t.waiting[0]
		t.waiting = t.waiting[1:]
		if r.now-q.at > q.remaining {
			r.end(q)
			continue
		}
		t.running++
		epoch := t.epoch
		firstEvent := r.now - q.at + time.Duration(kinds[q.kind].firstEvent*float64(q.work))
		begin := r.now
		r.after(q.work, func() {
			if epoch != t.epoch {
				r.end(q)
				return
			}
			t.running--
			if r.now-q.at <= q.remaining && firstEvent <= kinds[q.kind].objective && q.measured {
				r.count(q, func(t *tally) { t.inTime++ })
			}
			if begin < endOfLoad-time.Second {
				from := overload + 500*time.Millisecond
				if r.restartAt > 0 {
					from = r.restartAt + time.Second
				}
				if overlap := min(r.now, endOfLoad-time.Second) - max(begin, from); overlap > 0 {
					r.out.served += overlap.Seconds()
				}
			}
			r.end(q)
			r.serve(t)
		})
	}
}

// end tells the router that a request has ended.
func (r *run) end(q *simRequest) {
	if q.life != r.life {
		return
	}
	team := fmt.Sprint("team-", q.team)
	r.balancers[q.router].RecordFirstEvent(r.time(), q.choice, true)
	r.balancers[q.router].FinishPlacement(r.time(), q.choice, placement.Answered)
	r.gates[q.router].RecordEnd(r.time(), team, r.now-q.at, admission.InTime)
	r.cuts[q.router].RecordEnd(team, q.decision.Work, r.now-q.at)
}

// report sends the loads and the largest teams of all routers, which arrive 150 ms later.
func (r *run) report() {
	own, teams := make([][]placement.Load, r.routers), make([][]shedding.TeamWork, r.routers)
	sum, teamSum := make(map[uint64]int), make(map[uint64]time.Duration)
	for i, b := range r.balancers {
		own[i] = b.OwnLoads(r.time())
		for _, l := range own[i] {
			sum[l.Target] += l.Open
		}
		teams[i] = shedding.Largest(r.cuts[i].AppendOwnWork(nil))
		for _, w := range teams[i] {
			teamSum[w.Team] += w.Work
		}
	}
	var list []shedding.TeamWork
	for team, work := range teamSum {
		list = append(list, shedding.TeamWork{Team: team, Work: work})
	}
	list = shedding.Largest(list)
	life := r.life
	r.after(150*time.Millisecond, func() {
		for i, b := range r.balancers {
			b.ExpireReports(r.time())
			if life != r.life || (i < r.blind && r.now > overload) {
				if r.now > overload+1500*time.Millisecond {
					r.teamWork[i] = nil
				}
				continue
			}
			others := make(map[uint64]int, len(sum))
			for uid, open := range sum {
				others[uid] = open
			}
			for _, l := range own[i] {
				others[l.Target] -= l.Open
			}
			var loads []placement.Load
			for uid, open := range others {
				if open > 0 {
					loads = append(loads, placement.Load{Target: uid, Open: open})
				}
			}
			b.ReceiveReport(r.time(), 1, loads, nil)
			r.teamWork[i] = make(map[uint64]time.Duration)
			for _, w := range list {
				r.teamWork[i][w.Team] = w.Work
			}
			for _, w := range teams[i] {
				if _, ok := r.teamWork[i][w.Team]; ok {
					r.teamWork[i][w.Team] -= w.Work
				}
			}
			if r.garbage {
				for range 4 {
					r.teamWork[i][r.rnd.Uint64()] = time.Duration(r.rnd.Uint64())
				}
				r.teamWork[i][shedding.TeamHash("p", "team-20")] = math.MinInt64
			}
		}
	})
}

// loseTargets removes half of the targets with their requests.
func (r *run) loseTargets() {
	var dropped []uint64
	for _, t := range r.list[:len(r.list)/2] {
		dropped = append(dropped, t.Target.UID)
		target := r.targets[t.Target.UID]
		target.epoch++
		for _, q := range target.waiting {
			r.end(q)
		}
		delete(r.targets, t.Target.UID)
	}
	r.list = r.list[len(r.list)/2:]
	for _, b := range r.balancers {
		b.UpdateTargets(r.time(), placement.TargetChanges{Dropped: dropped})
	}
}

// restart restarts all routers; targets end the requests whose connections are closed.
func (r *run) restart() {
	for _, t := range r.targets {
		t.epoch++
		t.running, t.waiting = 0, nil
	}
	r.startRouters()
}
