package gateway

import (
	"context"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/core/shutdown"
)

// ShuttingDown reports whether the router is shutting down.
func (c *Control) ShuttingDown() bool { return c.traffic.shuttingDown.Load() }

// BeginShutdown makes the router permanently unready. It is the first step of a graceful shutdown.
func (c *Control) BeginShutdown(ctx context.Context) {
	c.traffic.shuttingDown.Store(true)
	c.postEvent(ctx, fleet.Shutdown{})
}

// SetShutdownDeadline starts the last phase of a graceful shutdown. New requests are accepted only
// if their deadline is not after by.
func (c *Control) SetShutdownDeadline(by time.Time) { c.traffic.shutdownDeadline.Store(&by) }

// Serving returns a context that ends, with the cause shutdown.ErrStopping, when all open requests must be answered. The contexts of
// requests must be derived from it.
func (c *Control) Serving() context.Context { return c.traffic.serving }

// EndOpenRequests makes all open requests end with an answer: a graceful shutdown has no more time for them.
func (c *Control) EndOpenRequests() { c.traffic.endServing(shutdown.ErrStopping) }

// OpenEarlyRequests returns the number of open requests that were accepted before
// SetShutdownDeadline was called.
func (c *Control) OpenEarlyRequests() int64 { return c.traffic.earlyRequests.Load() }
