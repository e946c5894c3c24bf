package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/answerconn"
)

// conn is a connection to a target. It carries one request at a time.
type conn struct {
	*answerconn.Conn
	tcp    *net.TCPConn // under Conn
	source *limitedReader
	reader *bufio.Reader // reads from source
	// usableUntil is the time after which the idle connection is no longer reused, since the target
	// may close it then. Answer.Close sets it.
	usableUntil time.Time
	close       sync.Once
	onClose     func()
}

// Close closes the connection. It may be called more than once.
func (c *conn) Close() error {
	err := net.ErrClosed
	c.close.Do(func() {
		err = c.Conn.Close()
		c.onClose()
	})
	return err
}

// Limits after which the kernel breaks a dead connection. A connection can go silent without a
// reset while new ones still work, and a VM that loses power sends nothing at all. Keep-alive
// probes detect this while a request waits for its answer. TCP_USER_TIMEOUT detects that the bytes
// of a request are not acknowledged. Without both only the request's deadline would end the wait.
// The kernel takes the probe times in whole seconds, and ignores keepAliveProbes while
// TCP_USER_TIMEOUT is set, so only one of the two is on at a time, see watch.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	userTimeout       = 1500 * time.Millisecond
)

var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}

func newDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:   timeout,
		KeepAlive: -1, // see watch
		Control:   func(_, _ string, raw syscall.RawConn) error { return setOptions(raw) },
	}
}

// setOptions makes each close a reset, whether by this process or by the kernel at its end, so that
// bytes which were not delivered are discarded. After an orderly close the kernel goes on delivering
// them: a request that was given up during a partition would be executed after it.
//
// The receive buffer is fixed, so that the kernel keeps no more of an answer that its caller does not take.
func setOptions(raw syscall.RawConn) error {
	var timeoutErr, lingerErr, bufferErr error
	err := raw.Control(func(fd uintptr) {
		timeoutErr = setUserTimeout(fd, userTimeout)
		lingerErr = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1, Linger: 0})
		bufferErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, ReceiveBufferBytes)
	})
	return errors.Join(err, timeoutErr, lingerErr, bufferErr)
}

// setUserTimeout sets TCP_USER_TIMEOUT; 0 turns it off.
func setUserTimeout(fd uintptr, d time.Duration) error {
	return unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
}

// dial opens a connection. onClose is called when it is closed.
func dial(ctx context.Context, d *net.Dialer, address string, onClose func()) (*conn, error) {
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	cn := &conn{Conn: answerconn.New(c), tcp: c.(*net.TCPConn), onClose: onClose}
	cn.source = &limitedReader{reader: cn.Conn, remaining: unlimited}
	cn.reader = bufio.NewReaderSize(cn.source, readBufferBytes)
	return cn, nil
}

// beginAnswer has the head of the next answer checked as it is read. Its error is an ErrConnectionBroken.
func (c *conn) beginAnswer() error {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // all of them are there
	return errors.Mark(c.BeginAnswer(buffered), ErrConnectionBroken)
}

// ReceiveBufferBytes is how much of an answer the kernel keeps for a connection, about: it also counts its
// bookkeeping. It lets a target in another region send a megabyte in a second.
const ReceiveBufferBytes = 64 << 10

// readBufferBytes is enough for the header and the first events of an answer.
const readBufferBytes = 4 << 10

// isReusable reports whether an idle connection is open and has no unread bytes. Bytes that
// arrive between two requests are a second answer to the earlier request, which the next request
// must not read as its own. If the target has closed the connection, its end can be read as well.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, sockErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = sockErr == unix.EAGAIN
		return true
	})
	return err == nil && open
}
