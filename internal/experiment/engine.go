package experiment

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fairqueue"
)

// request is one simulated request.
type request struct {
	id            uint64
	router        int
	team          string
	chat          *chat
	priority      fairqueue.Priority
	deadline      time.Time
	arrivedAt     time.Time
	prompt        int           // size in tokens
	answer        int           // size in tokens
	reuseRecorded bool          // set by the first attempt, so that retries are not counted again
	hasFirstToken bool          // set by the first attempt that sends a token
	done          func(ok bool) // runs when the current attempt ends
}

// engine is a simulated model engine. It processes a limited number of requests at a time and
// queues the others by priority. A request takes time for each uncached prompt token and each
// answer token.
type engine struct {
	sim     *simulation
	uid     uint64
	name    string
	isUp    bool
	open    map[*request]bool // requests in process and in the queue
	running int
	queue   []*request
	cache   *lru
}

func newEngine(s *simulation, name string, uid uint64) *engine {
	return &engine{sim: s, uid: uid, name: name, isUp: true, open: make(map[*request]bool), cache: newLRU(s.scenario.CacheTokensPerEngine)}
}

// submit accepts a request and calls done when the request ends.
func (e *engine) submit(r *request, done func(ok bool)) {
	if !e.isUp {
		e.sim.clock.AfterFunc(connectionRefusedDelay, func() { done(false) })
		return
	}
	r.done = done
	e.open[r] = true
	if e.running < e.sim.scenario.Slots {
		e.start(r)
		return
	}
	position := len(e.queue)
	for position > 0 && e.queue[position-1].priority < r.priority {
		position--
	}
	e.queue = append(e.queue, nil)
	copy(e.queue[position+1:], e.queue[position:])
	e.queue[position] = r
}

// connectionRefusedDelay is the time after which a connection to a crashed engine fails.
const connectionRefusedDelay = time.Millisecond

// start processes a request: the prompt first, then the answer.
func (e *engine) start(r *request) {
	e.running++
	cached := min(e.cache.getAndPut(r.chat.id, r.prompt), r.prompt)
	if !r.reuseRecorded {
		r.reuseRecorded = true
		e.sim.recorder.recordPrompt(r, min(cached, r.chat.longestPromptSize))
	}
	prefill := time.Duration(float64(r.prompt-cached) / e.sim.scenario.PrefillTokensPerSecond * float64(time.Second))
	first := prefill + e.sim.scenario.TimePerToken
	e.sim.clock.AfterFunc(first, func() {
		if e.open[r] && !r.hasFirstToken {
			r.hasFirstToken = true
			e.sim.recorder.recordFirstToken(r)
		}
	})
	e.sim.clock.AfterFunc(prefill+time.Duration(r.answer)*e.sim.scenario.TimePerToken, func() { e.finish(r) })
}

func (e *engine) finish(r *request) {
	if !e.open[r] {
		return // the engine crashed or the request was cancelled
	}
	delete(e.open, r)
	e.running--
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		e.start(next)
	}
	r.done(true)
}

// cancel removes a request whose router was killed and frees its slot.
func (e *engine) cancel(r *request) {
	if !e.open[r] {
		return
	}
	delete(e.open, r)
	for i, queued := range e.queue {
		if queued == r {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			return
		}
	}
	e.running--
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		e.start(next)
	}
}

// crash fails all open requests and clears the prefix cache.
func (e *engine) crash() {
	open := e.sim.sortedByID(e.open)
	e.isUp, e.running, e.queue = false, 0, nil
	e.open = make(map[*request]bool)
	e.cache = newLRU(e.sim.scenario.CacheTokensPerEngine)
	for _, r := range open {
		r.done(false)
	}
}

// lru is a prefix cache that evicts the least recently used chat.
type lru struct {
	capacity, used int
	tokens         map[int]int
	lastUse        map[int]int
	useCount       int
}

func newLRU(capacity int) *lru {
	return &lru{capacity: capacity, tokens: make(map[int]int), lastUse: make(map[int]int)}
}

// getAndPut returns how many tokens of the chat were cached and then caches n tokens.
func (c *lru) getAndPut(chat, n int) int {
	before := c.tokens[chat]
	c.useCount++
	c.used += n - before
	c.tokens[chat], c.lastUse[chat] = n, c.useCount
	for c.used > c.capacity && len(c.tokens) > 1 {
		c.evict()
	}
	return before
}

// evict removes the least recently used chat.
func (c *lru) evict() {
	oldest, oldestUse := 0, c.useCount+1
	for chat, lastUse := range c.lastUse {
		if lastUse < oldestUse {
			oldest, oldestUse = chat, lastUse
		}
	}
	c.used -= c.tokens[oldest]
	delete(c.tokens, oldest)
	delete(c.lastUse, oldest)
}
