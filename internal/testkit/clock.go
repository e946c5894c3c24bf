package testkit

import (
	"sync"
	"time"
)

// Clock is a clock that a test sets. It is safe for concurrent use.
type Clock struct {
	mu  sync.Mutex
	now time.Time
}

// NewClock returns a Clock that shows some time.
func NewClock() *Clock { return &Clock{now: time.Unix(1e9, 0)} }

// Now returns the time that the clock shows.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Advance moves the clock forward.
func (c *Clock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}
