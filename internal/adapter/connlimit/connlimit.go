// Package connlimit bounds the connections that a listener's clients may keep open, and what the kernel holds for them.
package connlimit

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// ReceiveBuffer returns a control function of a net.ListenConfig that bounds the bytes that the kernel keeps for each
// connection until they are read, to about n.
func ReceiveBuffer(n int) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, n)
		})
		return errors.Join(controlErr, err)
	}
}

// quietTime is how long a connection that has been used must be quiet before it gives way to a new one.
const quietTime = 5 * time.Second

// Limiter bounds the open connections of a listener. When there are as many as there may be, a connection on which
// nothing ever arrived gives way to a new one, the oldest first, else the one that has been quiet for longest. If there
// is none, the new connection is closed. It is safe for concurrent use.
type Limiter struct {
	now func() time.Time

	mu   sync.Mutex
	max  int // 0: no limit
	open map[*conn]struct{}
}

// NewLimiter returns a Limiter without a limit.
func NewLimiter(now func() time.Time) *Limiter {
	return &Limiter{now: now, open: make(map[*conn]struct{})}
}

// SetMax bounds the open connections; 0 means no limit.
func (l *Limiter) SetMax(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.max = n
}

// Wrap returns a listener whose connections are bounded.
func (l *Limiter) Wrap(inner net.Listener) net.Listener { return &listener{inner, l} }

type listener struct {
	net.Listener
	limiter *Limiter
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.limiter.add(inner); c != nil {
			return c, nil
		}
		_ = inner.Close()
	}
}

// conn is an open connection.
type conn struct {
	net.Conn
	limiter *Limiter
	usedAt  time.Time // when bytes last arrived or were sent, or when it was accepted; guarded by Limiter.mu
	isUsed  bool      // bytes have arrived; guarded by Limiter.mu
}

// add returns the connection to use; nil if there is no room for it.
func (l *Limiter) add(inner net.Conn) *conn {
	c := &conn{Conn: inner, limiter: l, usedAt: l.now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.max > 0 && len(l.open) >= l.max {
		oldest := l.quietest()
		if oldest == nil {
			return nil
		}
		delete(l.open, oldest)
		_ = oldest.Conn.Close()
	}
	l.open[c] = struct{}{}
	return c
}

// quietest returns the connection that gives way; nil if all are in use. l.mu must be held.
func (l *Limiter) quietest() (out *conn) {
	now := l.now()
	for c := range l.open {
		switch {
		case c.isUsed && now.Sub(c.usedAt) < quietTime:
		case out == nil, out.isUsed && !c.isUsed, out.isUsed == c.isUsed && c.usedAt.Before(out.usedAt):
			out = c
		}
	}
	return out
}

// Read reads from the connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.recordUse(true)
	}
	return n, err
}

// Write writes to the connection.
func (c *conn) Write(p []byte) (int, error) {
	c.recordUse(false)
	return c.Conn.Write(p)
}

func (c *conn) recordUse(arrived bool) {
	now := c.limiter.now()
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.usedAt = now
	c.isUsed = c.isUsed || arrived
}

// Close closes the connection.
func (c *conn) Close() error {
	c.limiter.mu.Lock()
	delete(c.limiter.open, c)
	c.limiter.mu.Unlock()
	return c.Conn.Close()
}
