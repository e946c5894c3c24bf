package gatewayhttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"

	"github.com/cockroachdb/errors"
)

// ReadError is how the last read of a caller's connection ended. The server cancels the context of a
// request after any error of the read that it does while the handler runs, not only if the caller has
// left.
type ReadError string

// The values of ReadError. A caller that closed its connection and one that closed only its writing
// half look the same until something is written: both are ReadEOF.
const (
	ReadOK      ReadError = "none"
	ReadEOF     ReadError = "eof"
	ReadReset   ReadError = "reset"
	ReadTimeout ReadError = "timeout" // also ends each read that the server itself interrupts
	ReadClosed  ReadError = "closed"  // by this process
	ReadOther   ReadError = "other"
)

func classifyReadError(err error) ReadError {
	switch {
	case err == nil:
		return ReadOK
	case errors.Is(err, io.EOF):
		return ReadEOF
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return ReadReset
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ReadTimeout
	case errors.Is(err, net.ErrClosed):
		return ReadClosed
	}
	return ReadOther
}

// callerLeft reports whether the caller has closed or reset the connection, or its writing half.
func (e ReadError) callerLeft() bool { return e == ReadEOF || e == ReadReset }

// recordRead records how a read ended.
func (c *connection) recordRead(n int, err error) {
	if n > 0 {
		err = nil
	}
	kind := classifyReadError(err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readError = kind
}

// connectionKey is the key of the connection in the contexts of its requests.
type connectionKey struct{}

// ConnContext is to be set as the ConnContext hook of the server. Without it, the read errors of a
// connection are unknown to the handler.
func (c *ConnTracker) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if tracked, ok := conn.(*connection); ok {
		return context.WithValue(ctx, connectionKey{}, tracked)
	}
	return ctx
}

// trackedConnection returns the connection of a request; nil if it is not tracked.
func trackedConnection(r *http.Request) *connection {
	c, _ := r.Context().Value(connectionKey{}).(*connection)
	return c
}

// lastReadError returns how the last read of the request's connection ended.
func lastReadError(r *http.Request) ReadError {
	c := trackedConnection(r)
	if c == nil {
		return ReadOK
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readError
}
