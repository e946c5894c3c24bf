package gatewayhttp

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/wire"
)

const (
	// maxRefusedRequestBytes bounds a request that is answered at accept time. Longer ones, whose bodies
	// cost more to read, are closed unread.
	maxRefusedRequestBytes = 16 << 10
)

// arrival is what had arrived on a new connection.
type arrival int

const (
	nothingArrived arrival = iota
	partArrived
	wholeArrived // and is read and answered
)

// refuseArrived answers a request that has arrived as a whole, without a handler and without waiting. It
// leaves the bytes of an incomplete one unread, so that its caller knows that nothing was read.
func refuseArrived(c net.Conn) (arrived arrival) {
	syscallConn, ok := c.(syscall.Conn)
	if !ok {
		return nothingArrived
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return nothingArrived
	}
	buffer := refusalBuffers.Get().(*[maxRefusedRequestBytes]byte)
	defer refusalBuffers.Put(buffer)
	// Control fails only if the connection is closed already.
	_ = raw.Control(func(fd uintptr) { arrived = refuse(int(fd), buffer[:]) })
	return arrived
}

var refusalBuffers = sync.Pool{New: func() any { return new([maxRefusedRequestBytes]byte) }}

// refuse is refuseArrived for a non-blocking socket.
func refuse(fd int, buffer []byte) arrival {
	n, _, err := unix.Recvfrom(fd, buffer, unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err != nil || n <= 0:
		return nothingArrived
	case !isWholeRequest(buffer[:n]):
		return partArrived
	}
	if n, err = unix.Read(fd, buffer[:n]); err != nil || n <= 0 {
		return nothingArrived
	}
	// A new connection has room for the answer. If it has none, the caller does not read.
	_, _ = unix.Write(fd, overloadAnswer())
	return wholeArrived
}

// isWholeRequest reports whether data begins with a request whose head and body are complete.
func isWholeRequest(data []byte) bool {
	if !bytes.Contains(data, []byte("\r\n\r\n")) {
		return false
	}
	source := bytes.NewReader(data)
	reader := bufio.NewReader(source)
	r, err := http.ReadRequest(reader)
	if err != nil || r.ContentLength < 0 || r.Method == http.MethodHead || r.Header.Get("Expect") != "" {
		return false
	}
	return int64(reader.Buffered()+source.Len()) >= r.ContentLength
}

// overloadAnswer returns the answer to a request at accept time. It promises that the request was not
// executed: nothing else has seen it.
func overloadAnswer() []byte {
	return refusalAnswer(code.Overloaded, gateway.RetryAfter(code.Overloaded, 0), true)
}

// refusalAnswer returns a whole answer with a result code, after which the connection is closed.
func refusalAnswer(c code.Code, retryAfter time.Duration, withBody bool) []byte {
	body, err := json.Marshal(wire.NewErrorBody(code.New(c, "request not served")))
	if err != nil {
		panic(err) // a struct of strings and numbers
	}
	status := c.Lookup().Status
	out := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if retryAfter > 0 {
		out = fmt.Appendf(out, "Retry-After: %.3f\r\n", retryAfter.Seconds())
	}
	out = append(out, "\r\n"...)
	if withBody {
		out = append(out, body...)
	}
	return out
}

// lingering keeps refused connections open for a moment: bytes that arrive on a closed one reset it, and
// a reset can take away the answer. It is not safe for concurrent use.
type lingering struct{ recent, older []net.Conn }

// add keeps c, or closes it if too many are kept.
func (l *lingering) add(c net.Conn) {
	if len(l.recent)+len(l.older) >= maxLingering {
		_ = c.Close()
		return
	}
	l.recent = append(l.recent, c)
}

// closeOlder closes the connections that were there at the last call.
func (l *lingering) closeOlder() {
	for _, c := range l.older {
		_ = c.Close()
	}
	l.older, l.recent = l.recent, l.older[:0]
}
