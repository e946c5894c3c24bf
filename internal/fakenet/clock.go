// Package fakenet runs many router cores in one process, on a simulated clock and a
// small fake of the network that delays, loses and cuts, and can kill, pause and
// restart routers. Tests and experiments share it.
package fakenet

import (
	"container/heap"
	"time"
)

// event is something that happens at a time. The sequence number keeps events of
// the same time in the order in which they were scheduled.
type event struct {
	at       time.Time
	sequence int
	do       func()
}

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

// Clock runs events in the order of simulated time.
type Clock struct {
	now      time.Time
	sequence int
	queue    eventQueue
}

// epoch is an arbitrary start of simulated time.
var epoch = time.Unix(1_000_000_000, 0)

// NewClock returns a Clock at the epoch.
func NewClock() *Clock { return &Clock{now: epoch} }

// Now returns the simulated time.
func (c *Clock) Now() time.Time { return c.now }

// Elapsed returns the simulated time since the epoch.
func (c *Clock) Elapsed() time.Duration { return c.now.Sub(epoch) }

// AfterFunc schedules do after d.
func (c *Clock) AfterFunc(d time.Duration, do func()) {
	c.sequence++
	heap.Push(&c.queue, event{at: c.now.Add(d), sequence: c.sequence, do: do})
}

// RunUntil runs the events up to an elapsed time and then stands at that time.
func (c *Clock) RunUntil(end time.Duration) {
	until := epoch.Add(end)
	for len(c.queue) > 0 && !c.queue[0].at.After(until) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
	}
	c.now = until
}
