package gatewayhttp

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/route"
)

const (
	// Defaults for limits that the desired state does not set. The timeouts are long because callers reuse connections
	// that have been idle for many seconds.
	defaultMaxHeaderBytes = 32 << 10
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 60 * time.Second
	// maxHeaderBytes is the largest limit; a larger one counts as this.
	maxHeaderBytes = http.DefaultMaxHeaderBytes
	// readAheadBytes is what the server may read beyond the end of a header.
	readAheadBytes = 4 << 10
	// minHeaderLineBytes is the length of the shortest header line.
	minHeaderLineBytes = len("a:\n")
	// limitInterval is the time between two looks for connections beyond their timeouts.
	limitInterval = 200 * time.Millisecond
)

// errHeaderTooLarge means that the header of a request is larger than the limit.
var errHeaderTooLarge = errors.New("header of a request is too large")

// LimitHeaders bounds the headers of requests by their bytes alone, as the platform does. ConnTracker bounds them further.
func LimitHeaders(s *http.Server) {
	s.MaxHeaderBytes = maxHeaderBytes
	allowHeaderLines(s, maxHeaderBytes/minHeaderLineBytes)
}

// LimitConnections sets the source of the limits, which is asked again for each use. It must be called before the tracker is
// used. EnforceTimeouts must run.
func (c *ConnTracker) LimitConnections(limits func() route.ConnectionLimits) { c.limits = limits }

// maxHeadBytes returns how many bytes may be read before a request's handler begins.
func (c *ConnTracker) maxHeadBytes() int64 {
	limit := c.limits().MaxHeaderBytes
	if limit <= 0 {
		limit = defaultMaxHeaderBytes
	}
	return min(limit, maxHeaderBytes) + readAheadBytes
}

// EnforceTimeouts closes connections that are idle for too long, and refuses requests whose headers take too long, until ctx
// ends. The server must have no timeouts of its own: these are bounds that change while it runs.
func (c *ConnTracker) EnforceTimeouts(ctx context.Context) {
	ticker := time.NewTicker(limitInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.closeExpired(now)
		}
	}
}

func (c *ConnTracker) closeExpired(now time.Time) {
	limits := c.limits()
	header := cmp.Or(max(limits.HeaderTimeout, 0), defaultHeaderTimeout)
	idle := cmp.Or(max(limits.IdleTimeout, 0), defaultIdleTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	for tracked := range c.open {
		tracked.closeIfExpired(now, header, idle)
	}
}

// closeIfExpired closes the connection if its timeout has passed. A connection of which bytes have arrived goes on.
func (c *connection) closeIfExpired(now time.Time, header, idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.handling, c.isClosed, c.drainingRead:
	case !c.requestBegunAt.IsZero():
		if now.Sub(c.requestBegunAt) > header {
			c.refuse(code.RequestTooSlow)
			_ = c.Conn.Close() // the server notices
		}
	case (c.idle || !c.hasBegun) && now.Sub(c.silentSince) > idle:
		c.interruptReads()
	}
}
