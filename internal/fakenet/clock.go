// Package fakenet runs many router cores in one process on a simulated clock. Its network delays
// and drops messages, and it can kill, stall and restart routers. Tests and experiments use it.
package fakenet

import (
	"container/heap"
	"time"
)

// event is a scheduled callback. Events of the same time run in the order of their sequence
// numbers, which is the order in which they were scheduled.
type event struct {
	at       time.Time
	sequence int
	callback func()
}

// eventQueue is a heap (container/heap) whose first element is the next event to run.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// Clock is a simulated clock with an event queue. Its time only advances in RunUntil.
type Clock struct {
	now      time.Time
	sequence int
	queue    eventQueue
}

// startTime is the time at which every Clock starts. Its value is arbitrary.
var startTime = time.Unix(1_000_000_000, 0)

// NewClock returns a Clock at startTime.
func NewClock() *Clock { return &Clock{now: startTime} }

// Now returns the simulated time.
func (c *Clock) Now() time.Time { return c.now }

// Elapsed returns the simulated time since startTime.
func (c *Clock) Elapsed() time.Duration { return c.now.Sub(startTime) }

// AfterFunc schedules callback to run after d of simulated time.
func (c *Clock) AfterFunc(d time.Duration, callback func()) {
	c.sequence++
	heap.Push(&c.queue, event{at: c.now.Add(d), sequence: c.sequence, callback: callback})
}

// RunUntil runs all events up to and including the elapsed time end, then sets the clock to end.
func (c *Clock) RunUntil(end time.Duration) {
	until := startTime.Add(end)
	for len(c.queue) > 0 && !c.queue[0].at.After(until) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.callback()
	}
	c.now = until
}
