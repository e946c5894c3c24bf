package upstream

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is one connection to a target. One request at a time uses it.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// usable is until when the target keeps the connection while it idles.
	usable time.Time
}

// Connections go silent for good without a reset while new ones work, and a VM
// without power answers nothing. Keep-alive probes find the first while an answer
// is awaited, the user timeout finds a request that is never acknowledged; without
// them only the request's deadline would end the wait.
// Probes are counted in whole seconds.
const (
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	userTimeout   = 1500 * time.Millisecond
)

func dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw) },
	}
}

func setUserTimeout(raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

func dial(ctx context.Context, d *net.Dialer, address string) (*conn, error) {
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer)}, nil
}

// readBuffer holds the header and the first events of an answer.
const readBuffer = 4 << 10

// quiet reports whether an idle connection is open and nothing has arrived on it.
// What arrives between two requests is a second answer to the first one, or the end
// of the connection; the next answer must not be read behind it.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failed := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = failed == unix.EAGAIN
		return true
	})
	return err == nil && open
}
