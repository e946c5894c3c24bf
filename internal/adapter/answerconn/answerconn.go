// Package answerconn wraps the connections on which a client reads answers over HTTP/1.1, so that a broken answer is
// not taken for a whole one. All clients of this protocol use it: those of targets and of the platform's store.
package answerconn

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Conn is a TCP connection of a client. Read returns io.EOF only if the peer has ended the connection in order. Read and
// Write may be called at the same time.
//
// The kernel reports a reset once, to the first call that asks. If that is a Write of the request, the Read that
// follows gets an end of file. An answer that ends with its connection, cut by the reset, would look whole then.
type Conn struct {
	net.Conn

	// readErr is how the last read failed. It stays: the kernel reports a reset once, and bufio.Reader.ReadLine drops an
	// error that follows a part of a line.
	readErr error

	write    sync.Mutex // held during a write
	writeErr error      // of the first write that failed; guarded by write

	headMu sync.Mutex // guards head
	head   headCheck
}

// New returns a Conn over a TCP connection.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// Read reads from the connection. At its end, it interrupts the write that is in progress, if any.
func (c *Conn) Read(p []byte) (int, error) {
	if c.readErr != nil {
		return 0, c.readErr
	}
	n, err := c.Conn.Read(p)
	if checked, headErr := c.checkHead(p[:n]); headErr != nil {
		n, err = checked, headErr
	} else if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.readErr = err
	}
	return n, err
}

// endError returns the error of a read that got an end of file: io.EOF if the peer has ended the connection in order.
func (c *Conn) endError() error {
	if lost := c.endWrites(); lost != nil {
		return lost
	}
	return io.EOF
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.write.Lock()
	defer c.write.Unlock()
	n, err := c.Conn.Write(p)
	c.recordWrite(err)
	return n, err
}

// WriteBuffers writes all buffers, with one system call where that is possible.
func (c *Conn) WriteBuffers(buffers net.Buffers) error {
	c.write.Lock()
	defer c.write.Unlock()
	_, err := buffers.WriteTo(c.Conn)
	c.recordWrite(err)
	return err
}

func (c *Conn) recordWrite(err error) {
	if c.writeErr == nil {
		c.writeErr = err
	}
}

// endWrites ends the write that is in progress and returns the error with which the connection broke, if a write
// received it. A deadline in the past ends a write at once, but not before it has returned an error that it received.
func (c *Conn) endWrites() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails if the connection is closed already, which ends the write too
	c.write.Lock()
	defer c.write.Unlock()
	if errors.Is(c.writeErr, os.ErrDeadlineExceeded) || endedBeforeReset(c.writeErr) {
		return nil
	}
	return c.writeErr
}

// endedBeforeReset reports whether the error of a write says that the peer had ended its half of the connection in order
// before it reset it: the kernel reports EPIPE then, and ECONNRESET otherwise. All of the answer had arrived.
func endedBeforeReset(err error) bool { return errors.Is(err, syscall.EPIPE) }
