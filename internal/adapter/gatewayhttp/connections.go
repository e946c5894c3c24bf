package gatewayhttp

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/core/route"
	"github.com/hemlockdyke/hemlockdyke/internal/memory"
)

// ConnTracker closes the callers' connections of a server on a graceful shutdown without losing
// requests. http.Server.Shutdown alone considers a connection idle until it has read the whole
// header of a request. On a VM that is short of processor time it closes connections whose next
// request has been read in part. The caller gets no answer and can't know whether the request was
// executed. ConnTracker is safe for concurrent use.
//
// It also bounds the open connections, and counts their memory.
type ConnTracker struct {
	begun    func() // called for the first request of each connection
	memory   *memory.Account
	turnAway func(net.Conn)
	limits   func() route.ConnectionLimits

	mu      sync.Mutex
	open    map[*connection]struct{}
	maxOpen int // 0: no limit
	// room is how many connections may still be opened in the place of those that were made to close at roomMadeAt.
	room       int
	roomMadeAt time.Time
}

// NewConnTracker returns an empty ConnTracker. It calls begun for the first request of each connection, and turnAway, which
// must close it, for each connection for which there is no room.
func NewConnTracker(memory *memory.Account, begun func(), turnAway func(net.Conn)) *ConnTracker {
	return &ConnTracker{begun: begun, memory: memory, turnAway: turnAway, open: make(map[*connection]struct{}), limits: func() route.ConnectionLimits { return route.ConnectionLimits{} }}
}

// connection is a caller's connection.
type connection struct {
	net.Conn
	tracker *ConnTracker

	mu               sync.Mutex
	hasBegun         bool      // it has had a request
	idle             bool      // the last answer is complete and nothing has been read since
	readsInterrupted bool      // a read deadline in the past interrupts reads
	drainingRead     bool      // an interrupted read is taking the bytes that had arrived
	handling         bool      // a handler runs
	requestBegunAt   time.Time // of a request whose handler has not begun yet, or zero
	readError        ReadError // how the last read ended
	silentSince      time.Time // when the connection was accepted, or its last answer ended
	closingAt        time.Time // when it was last made to close, to have room for others
	isClosed         bool
	readingBody      bool             // a handler reads the body of its request
	bodyBytesRead    int64            // since that began
	headBytes        int64            // of the header that is being read
	head             *memory.Transfer // of a header that is not short; nil if there is none
	held             memory.Reservation
}

// Wrap returns a listener whose connections are tracked.
func (c *ConnTracker) Wrap(l net.Listener) net.Listener { return &listener{Listener: l, tracker: c} }

type listener struct {
	net.Listener
	tracker *ConnTracker
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.tracker.track(inner); c != nil {
			return c, nil
		}
		l.tracker.turnAway(inner)
	}
}

// OnStateChange is to be set as the ConnState hook of the server, along with ConnContext and Handler.
func (c *ConnTracker) OnStateChange(conn net.Conn, state http.ConnState) {
	tracked, ok := conn.(*connection)
	if !ok {
		return
	}
	tracked.mu.Lock()
	defer tracked.mu.Unlock()
	switch state {
	case http.StateIdle:
		tracked.idle, tracked.requestBegunAt, tracked.silentSince = true, time.Time{}, time.Now()
	case http.StateActive:
		if !tracked.hasBegun {
			tracked.hasBegun = true
			c.begun()
		}
	}
}

// liftDeadlineIfHandling lifts the read deadline if a handler runs, and reports whether one does. The
// server cancels a request if the read beside its handler times out, as if the caller had left. Such a
// deadline was set for the connection while it was idle.
func (c *connection) liftDeadlineIfHandling() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.handling || c.readingBody {
		return false
	}
	c.readsInterrupted = false
	return c.SetReadDeadline(time.Time{}) == nil
}

// Handler returns a handler that tells the tracker when next runs. The server's own states don't: it
// reports a request as active before it decides whether to handle it, and one that was read together with
// the request before it not at all. The server must have no ReadTimeout: it would not bound bodies.
func (c *ConnTracker) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if tracked, ok := r.Context().Value(connectionKey{}).(*connection); ok {
			tracked.setHandling(true)
			defer tracked.setHandling(false)
		}
		next.ServeHTTP(w, r)
	})
}

func (c *connection) setHandling(handling bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling, c.requestBegunAt = handling, time.Time{}
	c.discardHead()
	if handling && c.readsInterrupted {
		c.readsInterrupted = false
		_ = c.SetReadDeadline(time.Time{}) // fails if the connection is closed already
	}
}

// Read reads from the connection. If closeIfIdle has interrupted the read, Read still takes the
// bytes that have arrived: the server reads a byte ahead while a handler runs, so a connection
// may become idle after the first byte of its next request. Without the rest, that request would
// get no answer.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.setDrainingRead(true) {
		n, err = c.readArrived(p)
		c.setDrainingRead(false)
	}
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.liftDeadlineIfHandling() {
		n, err = c.Conn.Read(p)
	}
	c.recordRead(n, err)
	if n > 0 {
		c.markRequestBegun()
		if reason, err := c.holdRead(int64(n)); err != nil {
			c.refuse(reason)
			return 0, err
		}
	}
	return n, err
}

// markRequestBegun records that the first bytes of a request were read.
func (c *connection) markRequestBegun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	isNew := !c.hasBegun && c.requestBegunAt.IsZero()
	if !c.idle && !isNew {
		return
	}
	if c.readsInterrupted { // after the bytes were taken: the rest of the request may take a moment
		_ = c.SetReadDeadline(time.Time{}) // fails if the connection is closed already
	}
	c.idle, c.readsInterrupted, c.requestBegunAt = false, false, time.Now()
}

// setDrainingRead sets or clears drainingRead and returns its new value. It can only be set while
// reads are interrupted.
func (c *connection) setDrainingRead(draining bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainingRead = draining && c.readsInterrupted
	return c.drainingRead
}

// arrivedReadTimeout is how long an interrupted read waits for bytes that have arrived. A read
// whose deadline has passed returns nothing, even if bytes are there. A short wait is enough,
// since callers send a request in one piece.
const arrivedReadTimeout = 5 * time.Millisecond

// readArrived reads the bytes that have arrived and lifts the read deadline if there are any.
func (c *connection) readArrived(p []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(time.Now().Add(arrivedReadTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		err = c.Conn.SetReadDeadline(time.Time{})
	}
	return n, err
}

// CloseWrite closes the writing half. The server calls it before Close while a caller may still
// be sending. A connection that is closed with unread bytes is reset, which can lose the answer.
func (c *connection) CloseWrite() error {
	writer, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.New("connection doesn't support CloseWrite")
	}
	return writer.CloseWrite()
}

func (c *connection) Close() error {
	c.tracker.forget(c)
	return c.Conn.Close()
}

// closeIfIdle interrupts the reads of an idle connection, so that the server closes it. A read
// that has received bytes continues, and its request is answered. closeIfIdle reports whether the
// connection has to be checked again.
func (c *connection) closeIfIdle(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handling {
		return c.idle // the server would close it: it read the request together with the one before
	}
	if c.idle && !c.drainingRead {
		c.interruptReads()
	}
	return c.idle || now.Sub(c.requestBegunAt) < requestBeginTimeout
}

// interruptReads makes the server close the connection, unless bytes of a request have arrived. c.mu must be held.
func (c *connection) interruptReads() {
	c.readsInterrupted = true
	_ = c.SetReadDeadline(time.Unix(1, 0)) // fails if the connection is closed already
}

// shutdownPollInterval is the time between two checks of the connections. They are checked
// repeatedly, since the server may set another read deadline when a connection becomes idle.
const shutdownPollInterval = 20 * time.Millisecond

const (
	// minShutdownPolling is the minimum time for which Shutdown closes connections one by one as
	// they become idle. After it http.Server.Shutdown closes each connection whose answer ends,
	// even if its caller has begun another request. A process may get no processor time for a
	// tenth of a second between the last byte of an answer and the end of its handler.
	minShutdownPolling = 200 * time.Millisecond
	// requestBeginTimeout is how long the server may take from the first bytes of a request to its
	// handler. Until then http.Server.Shutdown would close the connection. The limit
	// keeps a caller that sends half a header from delaying the shutdown.
	requestBeginTimeout = 500 * time.Millisecond
)

// Shutdown shuts a server down gracefully. It closes connections as they become idle, then the
// listener and the connections that never had a request. It returns when no request is open or
// ctx ends.
func (c *ConnTracker) Shutdown(ctx context.Context, s *http.Server) error {
	startedAt := time.Now()
	for ctx.Err() == nil && (c.closeIdle(time.Now()) || time.Since(startedAt) < minShutdownPolling) {
		select {
		case <-time.After(shutdownPollInterval):
		case <-ctx.Done():
		}
	}
	return s.Shutdown(ctx)
}

// InterruptBodies ends the reading of all bodies that have not arrived. The contexts of their requests must have ended.
func (c *ConnTracker) InterruptBodies() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for tracked := range c.open {
		tracked.interruptBody()
	}
}

// closeIdle closes the idle connections. It reports whether any connection is idle or has begun a
// request whose handler has not begun.
func (c *ConnTracker) closeIdle(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	checkAgain := false
	for tracked := range c.open {
		checkAgain = tracked.closeIfIdle(now) || checkAgain
	}
	return checkAgain
}
