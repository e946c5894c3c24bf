package storecall

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/answerconn"
	"github.com/hemlockdyke/hemlockdyke/internal/readlimit"
)

// maxWireBytes bounds what is read from the connection for one reply. It exceeds maxReplyBytes by more
// than the encoding of sound chunks, and keeps replies in tiny chunks from taking several times their
// size.
const maxWireBytes = 20 << 20

// conn is a connection whose reads fail beyond maxWireBytes after each call of beginReply.
type conn struct {
	*answerconn.Conn
	left atomic.Int64
}

// limitReads returns a dial function whose connections bound the bytes of a reply.
func limitReads(dial answerconn.DialFunc) answerconn.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		limited := &conn{Conn: answerconn.New(c)}
		limited.beginReply()
		return limited, nil
	}
}

// withReplyChecks returns a context for a request whose reply may take maxWireBytes and must have a proper head.
func withReplyChecks(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.beginReply()
		}
	}})
}

func (c *conn) beginReply() {
	c.left.Store(maxWireBytes)
	_ = c.BeginAnswer(nil) // fails only for buffered bytes
}

// Read reads from the connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.left.Add(-int64(n)) < 0 {
		return 0, readlimit.ErrTooLarge
	}
	return n, err
}
