package gatewayhttp

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
)

const (
	// maxDrainedBytes and lingerTime bound what is read from a caller after its request was refused: a connection
	// that is closed with unread bytes is reset, which can lose the answer, but a caller that goes on sending is not
	// read to its end.
	maxDrainedBytes = 256 << 10
	lingerTime      = time.Second
	// waitedLingerTime is lingerTime for a caller whose body of a legal length waited for memory in vain. Its rest is
	// discarded, as many callers read no answer before they have sent all.
	waitedLingerTime = 5 * time.Second
	// maxLingering bounds the refused connections that are kept open until the answer has arrived.
	maxLingering = 64
)

// refuse answers a request that is not executed, and won't be. The answer does not wait for the rest of the body.
func (s *Server) refuse(out *responder, r *http.Request, call *gateway.Call, c code.Code) {
	s.observer.CountRefusal(c)
	out.held.Release()
	retryAfter := gateway.RetryAfter(c, call.Timeout)
	if !discardArrived(r) && s.hangUp(out, r, c, retryAfter) {
		return
	}
	out.SendError(c, retryAfter)
}

// discardArrived discards a short body if all of it has arrived, so that its connection can be kept. It reports whether
// nothing of the body is left. A caller that waits for a go-ahead has not sent it.
func discardArrived(r *http.Request) bool {
	if r.ContentLength <= 0 || r.ContentLength > maxRefusedRequestBytes || r.Header.Get("Expect") != "" {
		return r.ContentLength == 0
	}
	conn := trackedConnection(r)
	conn.beginBody(time.Now().Add(arrivedReadTimeout))
	defer conn.endBody()
	_, err := io.Copy(io.Discard, r.Body)
	return err == nil
}

// hangUp answers a request whose body has not been read and closes its connection. It reports false if the connection
// can't be taken from the server.
func (s *Server) hangUp(out *responder, r *http.Request, c code.Code, retryAfter time.Duration) bool {
	conn, _, err := out.controller.Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	out.status = c.Lookup().Status
	inner := conn
	if tracked, ok := conn.(*connection); ok {
		inner = tracked.Conn // whose deadlines nobody else changes
	}
	drained, wait := int64(maxDrainedBytes), lingerTime
	if out.hasWaited && r.ContentLength > drained {
		drained, wait = r.ContentLength, waitedLingerTime
	}
	_ = inner.SetDeadline(time.Now().Add(wait)) // fails if the connection is closed already
	answer := refusalAnswer(c, retryAfter, r.Method != http.MethodHead)
	if _, err := inner.Write(answer); err == nil {
		s.linger(inner, drained)
	}
	return true
}

// linger waits until the caller has the answer, and discards up to n bytes that it still sends.
func (s *Server) linger(conn net.Conn, n int64) {
	if writer, ok := conn.(interface{ CloseWrite() error }); !ok || writer.CloseWrite() != nil {
		return
	}
	if s.lingering.Add(1) <= maxLingering {
		_, _ = io.CopyN(io.Discard, conn, n) // until the caller closes the connection or the deadline
	}
	s.lingering.Add(-1)
}
