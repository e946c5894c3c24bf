package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fairqueue"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	"github.com/hemlockdyke/hemlockdyke/internal/fakenet"
)

// chat is a returning chat.
type chat struct {
	id    int
	team  string
	turn  int
	size  int // prompt tokens of the next turn without its own growth
	built int // prompt tokens built so far
	busy  bool
}

// policy decides where requests go.
type policy interface {
	// arrive routes a request that came in at its router.
	arrive(r *request)
	// configure tells the policy of the engines that are to be used from now on.
	configure(engines []engineState)
}

// engineState is an engine as the configuration has it.
type engineState struct {
	uid     uint64
	name    string
	leaving bool
	added   time.Time // zero for those there from the start
}

type simulation struct {
	scenario Scenario
	clock    *fakenet.Clock
	rand     *rand.Rand
	engines  map[uint64]*engine
	listed   []engineState
	policy   policy
	measure  *measure
	chats    []*chat
	nextChat int
	nextID   uint64
}

func newSimulation(s Scenario, seed uint64) *simulation {
	sim := &simulation{
		scenario: s, clock: fakenet.NewClock(), rand: rand.New(rand.NewPCG(seed, 1)),
		engines: make(map[uint64]*engine),
	}
	sim.measure = newMeasure(sim)
	for i := range s.Engines {
		sim.addEngine(uint64(i+1), time.Time{})
	}
	for range s.Chats {
		sim.chats = append(sim.chats, sim.newChat())
	}
	return sim
}

func (s *simulation) addEngine(uid uint64, at time.Time) {
	name := fmt.Sprintf("engine-%d", uid)
	s.engines[uid] = newEngine(s, name, uid)
	s.listed = append(s.listed, engineState{uid: uid, name: name, added: at})
}

func (s *simulation) newChat() *chat {
	s.nextChat++
	return &chat{
		id: s.nextChat, team: fmt.Sprintf("team-%d", s.rand.IntN(s.scenario.Teams)),
		turn: s.rand.IntN(s.scenario.TurnsPerChat), size: s.around(s.scenario.FirstPromptTokens),
	}
}

// around returns a value between half and one and a half of the mean.
func (s *simulation) around(mean int) int {
	return max(1, int(float64(mean)*(0.5+s.rand.Float64())))
}

// run drives the scenario under a policy.
func (s *simulation) run(p policy) {
	s.policy = p
	p.configure(s.listed)
	s.arrivals(s.scenario.RequestRate, 0, s.scenario.Duration, s.nextTurn)
	if s.scenario.SurgeRate > 0 {
		s.arrivals(s.scenario.SurgeRate, s.scenario.SurgeStart, s.scenario.SurgeEnd, s.surge)
	}
	if s.scenario.HasChurn {
		s.churn()
	}
	if s.scenario.OutageEnd > 0 {
		s.outage()
	}
	s.measure.sample()
	s.clock.RunUntil(s.scenario.Duration)
}

// arrivals makes requests by a Poisson process between two times.
func (s *simulation) arrivals(rate float64, from, to time.Duration, make func()) {
	var next func()
	next = func() {
		if s.clock.Elapsed() > to {
			return
		}
		make()
		s.clock.AfterFunc(time.Duration(s.rand.ExpFloat64()/rate*float64(time.Second)), next)
	}
	s.clock.AfterFunc(from, next)
}

// nextTurn lets a random idle chat return.
func (s *simulation) nextTurn() {
	if s.rand.Float64() < s.scenario.UrgentShare {
		s.lookup()
		return
	}
	i, idle := s.idleChat()
	if !idle {
		return // every chat waits for an answer
	}
	c := s.chats[i]
	if c.turn >= s.scenario.TurnsPerChat {
		c = s.newChat()
		c.turn = 0
		s.chats[i] = c
	}
	c.busy = true
	c.turn++
	c.size += s.around(s.scenario.PromptGrowthTokens)
	s.submit(&request{
		team: c.team, chat: c, priority: fairqueue.Normal, prompt: c.size,
		answer: s.around(s.scenario.AnswerTokens),
	}, time.Minute)
}

// idleChat returns the first chat without an open request from a random place on.
func (s *simulation) idleChat() (int, bool) {
	first := s.rand.IntN(len(s.chats))
	for n := range s.chats {
		if i := (first + n) % len(s.chats); !s.chats[i].busy {
			return i, true
		}
	}
	return 0, false
}

// lookup is an urgent request with a short prompt of its own.
func (s *simulation) lookup() {
	s.nextChat++
	c := &chat{id: s.nextChat, team: fmt.Sprintf("team-%d", s.rand.IntN(s.scenario.Teams))}
	s.submit(&request{team: c.team, chat: c, priority: fairqueue.Urgent, prompt: s.around(100), answer: s.around(20)}, 10*time.Second)
}

// surge is a bulk request of the hot team.
func (s *simulation) surge() {
	s.nextChat++
	c := &chat{id: s.nextChat, team: "team-0"}
	s.submit(&request{
		team: c.team, chat: c, priority: fairqueue.Bulk,
		prompt: s.around(s.scenario.FirstPromptTokens), answer: s.around(s.scenario.AnswerTokens),
	}, 20*time.Second)
}

func (s *simulation) submit(r *request, patience time.Duration) {
	s.nextID++
	r.id = s.nextID
	r.router = s.rand.IntN(s.scenario.Routers)
	r.arrived = s.clock.Now()
	r.deadline = r.arrived.Add(patience)
	s.measure.offered++
	s.policy.arrive(r)
}

// finished ends a request for good.
func (s *simulation) finished(r *request) {
	r.chat.built = max(r.chat.built, r.prompt)
	r.chat.busy = false
}

// outage takes every second engine away for a while.
func (s *simulation) outage() {
	for uid := uint64(1); uid <= uint64(s.scenario.Engines); uid += 2 {
		e := s.engines[uid]
		s.clock.AfterFunc(s.scenario.OutageStart, e.crash)
		s.clock.AfterFunc(s.scenario.OutageEnd, func() { e.up = true })
	}
}

// churn changes the engines: two join, two leave, one flaps.
func (s *simulation) churn() {
	change := func(at time.Duration, do func()) {
		s.clock.AfterFunc(at, func() {
			do()
			s.policy.configure(append([]engineState(nil), s.listed...))
		})
	}
	change(20*time.Second, func() { s.addEngine(101, s.clock.Now()) })
	change(35*time.Second, func() { s.leave(3) })
	change(50*time.Second, func() { s.addEngine(102, s.clock.Now()) })
	change(100*time.Second, func() { s.leave(7) })
	for i := range 6 {
		at := 40*time.Second + time.Duration(i)*8*time.Second
		s.clock.AfterFunc(at, s.engines[5].crash)
		s.clock.AfterFunc(at+2*time.Second, func() { s.engines[5].up = true })
	}
}

func (s *simulation) leave(uid uint64) {
	for i := range s.listed {
		if s.listed[i].uid == uid {
			s.listed[i].leaving = true
		}
	}
}

// bound is the highest count that a grant may bring an engine to, with open
// requests in the pool after the grant.
func bound(open, engines int) int {
	return int(math.Ceil(resource.DefaultBoundMultiple * float64(open) / float64(engines)))
}

// inOrder returns requests by id, so that runs are the same for the same seed.
func (s *simulation) inOrder(set map[*request]bool) []*request {
	out := make([]*request, 0, len(set))
	for r := range set {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}
