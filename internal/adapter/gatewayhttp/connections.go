package gatewayhttp

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Connections are the open connections of a server's callers. The server's own graceful shutdown takes a connection for
// idle until it has read the whole header of a request, and closes it: on a VM that is short of processor time
// a caller's request is read and its connection closed without an answer, and the caller can't know
// whether it ran. It is safe for concurrent use.
type Connections struct {
	mu   sync.Mutex
	open map[*connection]struct{}
}

// NewConnections returns an empty Connections.
func NewConnections() *Connections { return &Connections{open: make(map[*connection]struct{})} }

// connection is one of them.
type connection struct {
	net.Conn
	all *Connections

	mu   sync.Mutex
	idle bool // its last answer has ended, and nothing was read since
}

// Listen wraps a server's listener.
func (c *Connections) Listen(l net.Listener) net.Listener { return &listener{Listener: l, all: c} }

type listener struct {
	net.Listener
	all *Connections
}

func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: inner, all: l.all}
	l.all.mu.Lock()
	defer l.all.mu.Unlock()
	l.all.open[c] = struct{}{}
	return c, nil
}

// Changed is the server's hook for the states of its connections.
func (c *Connections) Changed(conn net.Conn, state http.ConnState) {
	if one, ok := conn.(*connection); ok && state == http.StateIdle {
		one.setIdle(true)
	}
}

func (c *connection) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
}

func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.setIdle(false)
	}
	return n, err
}

// CloseWrite ends the writing half, which the server does first where a caller may still be sending: a connection that is
// closed with bytes unread is reset, and the answer on it lost.
func (c *connection) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.New("connection has no halves")
	}
	return half.CloseWrite()
}

func (c *connection) Close() error {
	c.all.mu.Lock()
	delete(c.all.open, c)
	c.all.mu.Unlock()
	return c.Conn.Close()
}

// end lets the server close an idle connection. A read that waits ends without bytes; one that has bytes already goes on,
// and its request is answered.
func (c *connection) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // fails if it is closed already
	}
}

// endPoll is the pause between looks at the connections: the server may set another deadline as it turns idle.
const endPoll = 20 * time.Millisecond

// End ends a server gracefully: connections as they become idle, then the listener and those that never had a request.
func (c *Connections) End(ctx context.Context, s *http.Server) error {
	for ctx.Err() == nil && c.endIdle() {
		select {
		case <-time.After(endPoll):
		case <-ctx.Done():
		}
	}
	return s.Shutdown(ctx)
}

// endIdle ends what is idle and reports whether connections are left that are.
func (c *Connections) endIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := false
	for one := range c.open {
		one.end()
		one.mu.Lock()
		left = left || one.idle
		one.mu.Unlock()
	}
	return left
}
