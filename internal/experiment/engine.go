package experiment

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fairqueue"
)

// request is one simulated request.
type request struct {
	id       uint64
	router   int
	team     string
	chat     *chat
	priority fairqueue.Priority
	deadline time.Time
	arrived  time.Time
	prompt   int // tokens
	answer   int // tokens
	counted  bool
	started  bool
	done     func(ok bool)
}

// engine is a simulated model engine: slots that batch, a queue by priority, an
// LRU prefix cache, and time per uncached prompt token and per answer token.
type engine struct {
	sim   *simulation
	uid   uint64
	name  string
	up    bool
	open  map[*request]bool // running or waiting at the engine
	run   int
	queue []*request
	cache *lru
}

func newEngine(s *simulation, name string, uid uint64) *engine {
	return &engine{sim: s, uid: uid, name: name, up: true, open: make(map[*request]bool), cache: newLRU(s.scenario.CacheTokensPerEngine)}
}

// submit takes a request; done is called when it ends.
func (e *engine) submit(r *request, done func(ok bool)) {
	if !e.up {
		e.sim.clock.AfterFunc(refusedAfter, func() { done(false) })
		return
	}
	r.done = done
	e.open[r] = true
	if e.run < e.sim.scenario.Slots {
		e.start(r)
		return
	}
	at := len(e.queue)
	for at > 0 && e.queue[at-1].priority < r.priority {
		at--
	}
	e.queue = append(e.queue, nil)
	copy(e.queue[at+1:], e.queue[at:])
	e.queue[at] = r
}

// refusedAfter is how long a connection to a dead engine takes to fail.
const refusedAfter = time.Millisecond

func (e *engine) start(r *request) {
	e.run++
	cached := min(e.cache.use(r.chat.id, r.prompt), r.prompt)
	if !r.counted {
		r.counted = true
		e.sim.measure.prompt(r, min(cached, r.chat.built))
	}
	prefill := time.Duration(float64(r.prompt-cached) / e.sim.scenario.PrefillTokensPerSecond * float64(time.Second))
	first := prefill + e.sim.scenario.TimePerToken
	e.sim.clock.AfterFunc(first, func() {
		if e.open[r] && !r.started {
			r.started = true
			e.sim.measure.firstToken(r)
		}
	})
	e.sim.clock.AfterFunc(prefill+time.Duration(r.answer)*e.sim.scenario.TimePerToken, func() { e.finish(r) })
}

func (e *engine) finish(r *request) {
	if !e.open[r] {
		return // the engine crashed meanwhile
	}
	delete(e.open, r)
	e.run--
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		e.start(next)
	}
	r.done(true)
}

// cancel drops a request whose connection has closed.
func (e *engine) cancel(r *request) {
	if !e.open[r] {
		return
	}
	delete(e.open, r)
	for i, waiting := range e.queue {
		if waiting == r {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			return
		}
	}
	e.run--
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		e.start(next)
	}
}

// crash fails every open request and forgets the cache.
func (e *engine) crash() {
	open := e.sim.inOrder(e.open)
	e.up, e.run, e.queue = false, 0, nil
	e.open = make(map[*request]bool)
	e.cache = newLRU(e.sim.scenario.CacheTokensPerEngine)
	for _, r := range open {
		r.done(false)
	}
}

// lru is a prefix cache over chats.
type lru struct {
	capacity, used int
	tokens         map[int]int
	stamp          map[int]int
	tick           int
}

func newLRU(capacity int) *lru {
	return &lru{capacity: capacity, tokens: make(map[int]int), stamp: make(map[int]int)}
}

// use returns how many tokens of the chat were held and then holds n.
func (c *lru) use(chat, n int) int {
	before := c.tokens[chat]
	c.tick++
	c.used += n - before
	c.tokens[chat], c.stamp[chat] = n, c.tick
	for c.used > c.capacity && len(c.tokens) > 1 {
		c.evict()
	}
	return before
}

func (c *lru) evict() {
	oldest, at := 0, c.tick+1
	for chat, stamp := range c.stamp {
		if stamp < at {
			oldest, at = chat, stamp
		}
	}
	c.used -= c.tokens[oldest]
	delete(c.tokens, oldest)
	delete(c.stamp, oldest)
}
