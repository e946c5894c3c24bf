package gatewayhttp

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ConnTracker are the open connections of a server's callers. The server's own graceful shutdown takes a connection for
// idle until it has read the whole header of a request, and closes it: on a VM that is short of processor time
// a caller's request is read and its connection closed without an answer, and the caller can't know
// whether it ran. It is safe for concurrent use.
type ConnTracker struct {
	mu   sync.Mutex
	open map[*connection]struct{}
}

// NewConnTracker returns an empty Connections.
func NewConnTracker() *ConnTracker { return &ConnTracker{open: make(map[*connection]struct{})} }

// connection is one of them.
type connection struct {
	net.Conn
	all *ConnTracker

	mu      sync.Mutex
	idle    bool      // its last answer has ended, and nothing was read since
	ending  bool      // reads of it are ended
	resting bool      // what was there when a read was ended is being read
	begunAt time.Time // when the first bytes of a request were read that the server does not know of yet; zero if none
}

// Wrap wraps a server's listener.
func (c *ConnTracker) Wrap(l net.Listener) net.Listener { return &listener{Listener: l, all: c} }

type listener struct {
	net.Listener
	all *ConnTracker
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

// OnStateChange is the server's hook for the states of its connections.
func (c *ConnTracker) OnStateChange(conn net.Conn, state http.ConnState) {
	one, ok := conn.(*connection)
	if !ok {
		return
	}
	one.mu.Lock()
	defer one.mu.Unlock()
	switch state {
	case http.StateIdle:
		one.idle, one.begunAt = true, time.Time{}
	case http.StateActive:
		one.begunAt = time.Time{}
	}
}

// Read reads what is there even if the read was ended: the server reads a byte ahead while a handler runs, so a
// connection may turn idle with a request begun, whose caller would get no answer.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.rests(true) {
		n, err = c.readRest(p)
		c.rests(false)
	}
	if n > 0 {
		c.begun()
	}
	return n, err
}

// begun notes that a request has begun to be read.
func (c *connection) begun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.idle, c.ending, c.begunAt = false, false, time.Now()
	}
}

// rests begins or ends the reading of what was there; false if no read of the connection was ended.
func (c *connection) rests(begins bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resting = begins && c.ending
	return c.resting
}

// restWithin is how long a read that was ended waits for what has arrived: a read with a deadline that has
// passed takes nothing, whatever is there. Callers send a request in one piece.
const restWithin = 5 * time.Millisecond

func (c *connection) readRest(p []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(time.Now().Add(restWithin)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		err = c.Conn.SetReadDeadline(time.Time{})
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

// end lets the server close an idle connection, and reports whether it has to be looked at again. A read that waits ends
// without bytes; one that has bytes already goes on, and its request is answered.
func (c *connection) end(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && !c.resting {
		c.ending = true
		_ = c.SetReadDeadline(time.Unix(1, 0)) // fails if it is closed already
	}
	return c.idle || now.Sub(c.begunAt) < beginWithin
}

// endPoll is the pause between looks at the connections: the server may set another deadline as it turns idle.
const endPoll = 20 * time.Millisecond

const (
	// endFor is for how long connections are ended as they become idle, before the server's own shutdown closes those whose
	// answer ends, whatever their callers have begun to send: a process may get no processor time for
	// a tenth of a second between an answer's last byte and the end of its handler.
	endFor = 200 * time.Millisecond
	// beginWithin is how long the server may take to know of a request that has begun to be read; it closes the
	// connection until then. A caller that sends half a header must not hold up the stop.
	beginWithin = 500 * time.Millisecond
)

// Shutdown ends a server gracefully: connections as they become idle, then the listener and those that never had a request.
func (c *ConnTracker) Shutdown(ctx context.Context, s *http.Server) error {
	began := time.Now()
	for ctx.Err() == nil && (c.endIdle(time.Now()) || time.Since(began) < endFor) {
		select {
		case <-time.After(endPoll):
		case <-ctx.Done():
		}
	}
	return s.Shutdown(ctx)
}

// endIdle ends what is idle and reports whether connections are left that are, or have begun a request.
func (c *ConnTracker) endIdle(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := false
	for one := range c.open {
		left = one.end(now) || left
	}
	return left
}
