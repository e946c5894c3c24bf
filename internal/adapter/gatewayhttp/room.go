package gatewayhttp

import (
	"cmp"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/connlimit"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/memory"
)

const (
	// connectionBytes is what an open connection takes: its stack, its buffers and a short header.
	connectionBytes = 16 << 10
	// callerReceiveBytes is what the kernel keeps of a caller's bytes that are not read, about: it also counts its
	// bookkeeping. Only a connection with an open request can have such bytes.
	callerReceiveBytes = 32 << 10
	// freeHeadBytes are the bytes of a header that connectionBytes includes. Each further one may take headFactor times
	// as much: a header of many short lines does.
	freeHeadBytes = 1 << 10
	headFactor    = 16
	// slowHeadTime is how long a header may be incomplete before its connection gives way to new ones. Callers send
	// it in one piece.
	slowHeadTime = time.Second
	// headTime is how long a long header may take while memory is short.
	headTime = 2 * time.Second
	// closingShare is the part of the connections that are made to close at once when there is no room, so that
	// they need not be looked through for each new one, and the part that may be open beyond the limit
	// until they have closed.
	closingShare = 32
	// closingTime is the longest time in which a connection closes that was made to. One that is still open then has
	// begun a request.
	closingTime = 50 * time.Millisecond
)

// errNoMemory means that there is no memory for the header of a request.
var errNoMemory = errors.New("no memory for the header of a request")

// SetReceiveBuffer bounds what the kernel keeps of the bytes of callers, for a listener's connections as well.
var SetReceiveBuffer = connlimit.ReceiveBuffer(callerReceiveBytes)

// SetMaxOpen bounds the open connections; 0 means no limit.
func (c *ConnTracker) SetMaxOpen(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxOpen = n
}

// MaxConnections returns how many connections may be open with an account of a number of bytes, so that they take a
// quarter of it at most.
func MaxConnections(bytes int64) int { return int(bytes / 4 / connectionBytes) }

// track returns the tracked connection; nil if there is no room for it.
func (c *ConnTracker) track(inner net.Conn) *connection {
	held := c.memory.Reserve(memory.Request, "")
	if !c.hasRoom() || !held.TryGrow(connectionBytes) {
		return nil
	}
	tracked := &connection{Conn: inner, tracker: c, held: held, silentSince: time.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[tracked] = struct{}{}
	return tracked
}

// hasRoom reports whether another connection may be opened. If there are as many as there may be, it makes others close:
// those that have said nothing for longest, else those whose headers are incomplete, else those whose bodies don't arrive.
func (c *ConnTracker) hasRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.maxOpen == 0 || len(c.open) < c.maxOpen {
		c.room = 0
		return true
	}
	now, batch := time.Now(), c.maxOpen/closingShare+1
	if c.room == 0 || now.Sub(c.roomMadeAt) > closingTime {
		c.room, c.roomMadeAt = c.closeSome(batch, now), now
	}
	if c.room == 0 || len(c.open) >= c.maxOpen+batch {
		return false
	}
	c.room--
	return true
}

// closeSome makes up to n connections close and returns how many. c.mu must be held.
func (c *ConnTracker) closeSome(n int, now time.Time) int {
	var candidates []silence
	for tracked := range c.open {
		if s, ok := tracked.silence(now); ok {
			candidates = append(candidates, s)
		}
	}
	slices.SortFunc(candidates, func(x, y silence) int {
		return cmp.Or(compareBegun(x, y), x.since.Compare(y.since))
	})
	closed := 0
	for _, s := range candidates[:min(n, len(candidates))] {
		if s.connection.makeRoom(now) {
			closed++
		}
	}
	if closed == 0 {
		return c.memory.EndLagging(n)
	}
	return closed
}

// silence is since when a connection keeps the process waiting for a request, or for the rest of its header.
type silence struct {
	connection *connection
	since      time.Time
	isBegun    bool // a part of the header has arrived
}

// compareBegun orders connections without a request before those with the beginning of one.
func compareBegun(x, y silence) int {
	switch {
	case x.isBegun == y.isBegun:
		return 0
	case x.isBegun:
		return 1
	}
	return -1
}

func (c *connection) silence(now time.Time) (silence, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.handling, c.isClosed, now.Sub(c.closingAt) < closingTime:
		return silence{}, false
	case !c.requestBegunAt.IsZero():
		return silence{c, c.requestBegunAt, true}, now.Sub(c.requestBegunAt) >= slowHeadTime
	}
	return silence{c, c.silentSince, false}, c.idle || !c.hasBegun
}

// makeRoom makes the connection close, unless a request has begun meanwhile.
func (c *connection) makeRoom(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handling {
		return false
	}
	c.closingAt = now
	if !c.requestBegunAt.IsZero() {
		c.refuse(code.RequestTooSlow)
		_ = c.Conn.Close() // the server notices
		return true
	}
	c.interruptReads()
	return true
}

// refuse answers the beginning of a request that is not executed.
func (c *connection) refuse(reason code.Code) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout)) // fails if the connection is closed already
	_, _ = c.Conn.Write(refusalAnswer(reason, 0, true))              // whether or not the caller is still there
	if c.CloseWrite() != nil {
		_ = c.Conn.Close()
	}
}

// refusalWriteTimeout bounds the writing of an answer for which a new connection has room.
const refusalWriteTimeout = 10 * time.Millisecond

// holdRead counts n bytes that were read. It fails, with the code for the caller, if they are of a header that is too large
// or for which there is no memory.
func (c *connection) holdRead(n int64) (code.Code, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestBegunAt.IsZero() { // of a body
		c.bodyBytesRead += n
		return code.OK, nil
	}
	before := max(c.headBytes-freeHeadBytes, 0)
	c.headBytes += n
	if c.headBytes > c.tracker.maxHeadBytes() {
		return code.HeaderTooLarge, errHeaderTooLarge
	}
	more := max(c.headBytes-freeHeadBytes, 0) - before
	if more == 0 || c.isClosed {
		return code.OK, nil
	}
	if c.head == nil {
		c.head = c.held.Begin(-1, c.requestBegunAt.Add(headTime), c.giveWay)
	}
	c.head.Moved(n)
	if !c.held.TryGrow(headFactor * more) {
		return code.NoMemory, errNoMemory
	}
	return code.OK, nil
}

// giveWay closes the connection if its header is still incomplete.
func (c *connection) giveWay() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head != nil {
		c.refuse(code.NoMemory)
		_ = c.Conn.Close() // the server notices
	}
}

// discardHead returns the memory of a header that was read. c.mu must be held.
func (c *connection) discardHead() {
	c.headBytes = 0
	if c.head != nil {
		c.head.Done()
		c.head = nil
	}
	if !c.isClosed {
		c.held.Shrink(c.held.Bytes() - connectionBytes)
	}
}

// forget returns the room and the memory of a connection that is closed.
func (t *ConnTracker) forget(c *connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return
	}
	c.discardHead()
	c.isClosed = true
	c.held.Release()
}

// beginBody begins the reading of a request's body, which ends at a deadline. c may be nil.
func (c *connection) beginBody(deadline time.Time) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingBody, c.bodyBytesRead = true, 0
	_ = c.SetReadDeadline(deadline) // fails if the connection is closed already
}

// endBody ends the reading of a body.
func (c *connection) endBody() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingBody = false
	_ = c.SetReadDeadline(time.Time{}) // fails if the connection is closed already
}

// interruptBody makes the reading of a body fail, if it has not ended.
func (c *connection) interruptBody() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readingBody {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // fails if the connection is closed already
	}
}

// bodyBytes returns how many bytes were read since the reading of a body began.
func (c *connection) bodyBytes() int64 {
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bodyBytesRead
}
