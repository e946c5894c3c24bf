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

// chat is a chat with several turns.
type chat struct {
	id                int
	team              string
	turn              int
	promptSize        int  // prompt tokens of the last turn; the next turn adds its growth
	longestPromptSize int  // largest number of prompt tokens of a finished request
	busy              bool // whether a request is open
}

// policy is a routing policy. It reports the end of each request with finishRequest.
type policy interface {
	// route sends a request that has arrived at a router to an engine.
	route(r *request)
	// configure sets the engines of the configuration, which routers learn with a delay.
	configure(engines []engineEntry)
}

// engineEntry is the entry of an engine in the configuration.
type engineEntry struct {
	uid     uint64
	name    string
	leaving bool
	addedAt time.Time // zero for engines that exist from the start
}

// simulation runs one scenario under one policy on a simulated clock.
type simulation struct {
	scenario          Scenario
	clock             *fakenet.Clock
	rand              *rand.Rand
	engines           map[uint64]*engine
	configuredEngines []engineEntry // the configuration
	policy            policy
	recorder          *recorder
	chats             []*chat
	lastChatID        int
	lastRequestID     uint64
}

func newSimulation(s Scenario, seed uint64) *simulation {
	sim := &simulation{
		scenario: s, clock: fakenet.NewClock(), rand: rand.New(rand.NewPCG(seed, 1)),
		engines: make(map[uint64]*engine),
	}
	sim.recorder = newRecorder(sim)
	for i := range s.Engines {
		sim.addEngine(uint64(i+1), time.Time{})
	}
	for range s.Chats {
		sim.chats = append(sim.chats, sim.newChat())
	}
	return sim
}

// addEngine starts an engine and adds it to the configuration. addedAt is zero for an engine that
// exists from the start.
func (s *simulation) addEngine(uid uint64, addedAt time.Time) {
	name := fmt.Sprintf("engine-%d", uid)
	s.engines[uid] = newEngine(s, name, uid)
	s.configuredEngines = append(s.configuredEngines, engineEntry{uid: uid, name: name, addedAt: addedAt})
}

// newChat returns a chat of a random team at a random turn.
func (s *simulation) newChat() *chat {
	s.lastChatID++
	return &chat{
		id: s.lastChatID, team: fmt.Sprintf("team-%d", s.rand.IntN(s.scenario.Teams)),
		turn: s.rand.IntN(s.scenario.TurnsPerChat), promptSize: s.randomAround(s.scenario.FirstPromptTokens),
	}
}

// randomAround returns a random value between half and one and a half times the mean.
func (s *simulation) randomAround(mean int) int {
	return max(1, int(float64(mean)*(0.5+s.rand.Float64())))
}

// run runs the scenario under a policy.
func (s *simulation) run(p policy) {
	s.policy = p
	p.configure(s.configuredEngines)
	s.scheduleArrivals(s.scenario.RequestRate, 0, s.scenario.Duration, s.submitNextTurn)
	if s.scenario.SurgeRate > 0 {
		s.scheduleArrivals(s.scenario.SurgeRate, s.scenario.SurgeStart, s.scenario.SurgeEnd, s.submitBulkRequest)
	}
	if s.scenario.HasChurn {
		s.scheduleChurn()
	}
	if s.scenario.OutageEnd > 0 {
		s.scheduleOutage()
	}
	s.recorder.sampleSkew()
	s.clock.RunUntil(s.scenario.Duration)
}

// scheduleArrivals calls make at the times of a Poisson process with the given rate per second
// between two times.
func (s *simulation) scheduleArrivals(rate float64, from, to time.Duration, make func()) {
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

// submitNextTurn submits the next turn of a random idle chat, or an urgent lookup. A chat that has
// had its last turn is replaced by a new one.
func (s *simulation) submitNextTurn() {
	if s.rand.Float64() < s.scenario.UrgentShare {
		s.submitLookup()
		return
	}
	i, idle := s.findIdleChat()
	if !idle {
		return // all chats wait for an answer
	}
	c := s.chats[i]
	if c.turn >= s.scenario.TurnsPerChat {
		c = s.newChat()
		c.turn = 0
		s.chats[i] = c
	}
	c.busy = true
	c.turn++
	c.promptSize += s.randomAround(s.scenario.PromptGrowthTokens)
	s.submit(&request{
		team: c.team, chat: c, priority: fairqueue.Normal, prompt: c.promptSize,
		answer: s.randomAround(s.scenario.AnswerTokens),
	}, time.Minute)
}

// findIdleChat returns the index of the first idle chat at or after a random index.
func (s *simulation) findIdleChat() (int, bool) {
	first := s.rand.IntN(len(s.chats))
	for n := range s.chats {
		if i := (first + n) % len(s.chats); !s.chats[i].busy {
			return i, true
		}
	}
	return 0, false
}

// submitLookup submits an urgent request with a short prompt that belongs to no other chat.
func (s *simulation) submitLookup() {
	s.lastChatID++
	c := &chat{id: s.lastChatID, team: fmt.Sprintf("team-%d", s.rand.IntN(s.scenario.Teams))}
	s.submit(&request{team: c.team, chat: c, priority: fairqueue.Urgent, prompt: s.randomAround(100), answer: s.randomAround(20)}, 10*time.Second)
}

// submitBulkRequest submits a bulk request of the team that causes the surge.
func (s *simulation) submitBulkRequest() {
	s.lastChatID++
	c := &chat{id: s.lastChatID, team: "team-0"}
	s.submit(&request{
		team: c.team, chat: c, priority: fairqueue.Bulk,
		prompt: s.randomAround(s.scenario.FirstPromptTokens), answer: s.randomAround(s.scenario.AnswerTokens),
	}, 20*time.Second)
}

// submit sends a request to a random router; its deadline is timeout from now.
func (s *simulation) submit(r *request, timeout time.Duration) {
	s.lastRequestID++
	r.id = s.lastRequestID
	r.router = s.rand.IntN(s.scenario.Routers)
	r.arrivedAt = s.clock.Now()
	r.deadline = r.arrivedAt.Add(timeout)
	s.recorder.offered++
	s.policy.route(r)
}

// finishRequest marks the end of a request after its last attempt.
func (s *simulation) finishRequest(r *request) {
	r.chat.longestPromptSize = max(r.chat.longestPromptSize, r.prompt)
	r.chat.busy = false
}

// scheduleOutage crashes every second engine at OutageStart and restores them at OutageEnd.
func (s *simulation) scheduleOutage() {
	for uid := uint64(1); uid <= uint64(s.scenario.Engines); uid += 2 {
		e := s.engines[uid]
		s.clock.AfterFunc(s.scenario.OutageStart, e.crash)
		s.clock.AfterFunc(s.scenario.OutageEnd, func() { e.isUp = true })
	}
}

// scheduleChurn adds two engines, marks two as leaving, and crashes one six times for 2 seconds
// each.
func (s *simulation) scheduleChurn() {
	change := func(at time.Duration, apply func()) {
		s.clock.AfterFunc(at, func() {
			apply()
			s.policy.configure(append([]engineEntry(nil), s.configuredEngines...))
		})
	}
	change(20*time.Second, func() { s.addEngine(101, s.clock.Now()) })
	change(35*time.Second, func() { s.markLeaving(3) })
	change(50*time.Second, func() { s.addEngine(102, s.clock.Now()) })
	change(100*time.Second, func() { s.markLeaving(7) })
	for i := range 6 {
		at := 40*time.Second + time.Duration(i)*8*time.Second
		s.clock.AfterFunc(at, s.engines[5].crash)
		s.clock.AfterFunc(at+2*time.Second, func() { s.engines[5].isUp = true })
	}
}

// markLeaving marks an engine as leaving in the configuration.
func (s *simulation) markLeaving(uid uint64) {
	for i := range s.configuredEngines {
		if s.configuredEngines[i].uid == uid {
			s.configuredEngines[i].leaving = true
		}
	}
}

// loadBound returns the highest number of open requests that a grant may bring an engine to, given
// the open requests of the pool including the granted one.
func loadBound(open, engines int) int {
	return int(math.Ceil(resource.DefaultBoundMultiple * float64(open) / float64(engines)))
}

// sortedByID returns requests in the order of their IDs, so that runs with the same seed are equal.
func (s *simulation) sortedByID(set map[*request]bool) []*request {
	out := make([]*request, 0, len(set))
	for r := range set {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}
