package upstream

import (
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// unackedInterval is the time between the two looks at a request's unacknowledged bytes. Both end
// before userTimeout.
const unackedInterval = 700 * time.Millisecond

// watch looks after a connection that waits for the answer to a request.
//
// It resets a connection whose target has stopped to acknowledge the request, as during a partition.
// If the kernel's own timeouts ended the connection instead, bytes that a partition holds up would
// still arrive after it, and the target would execute a request that was given up. So keep-alive
// probes start only once the request is acknowledged, and take the place of TCP_USER_TIMEOUT: that
// would end the connection after the first probe, and a sound target may be silent for a second.
type watch struct {
	conn  *conn
	timer *time.Timer

	mu      sync.Mutex
	ended   bool
	probing bool // keep-alive probes are on
}

// startWatch starts a watch, which must be ended before the connection carries another request.
func startWatch(c *conn) *watch {
	w := &watch{conn: c}
	w.timer = time.AfterFunc(unackedInterval, w.check)
	return w
}

// check resets the connection if bytes are unacknowledged and remain so, or turns on the probes.
func (w *watch) check() {
	before := w.probeIfAcked()
	if before == 0 {
		return
	}
	time.Sleep(unackedInterval)
	if after := w.probeIfAcked(); after < before {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended {
		_ = w.conn.Close()
	}
}

// probeIfAcked returns the number of unacknowledged bytes and turns on the probes if there are none.
func (w *watch) probeIfAcked() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return 0
	}
	n := w.conn.unackedBytes()
	if n == 0 {
		w.probing = true
		w.conn.startProbes()
	}
	return n
}

func (w *watch) end() {
	w.timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.probing {
		w.conn.stopProbes()
	}
	w.ended = true
}

// control passes the connection's socket to f. It does nothing if the connection is closed already.
func (c *conn) control(f func(fd uintptr)) {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(f) // fails only if the connection is closed already
}

// unackedBytes returns how many bytes the kernel holds that the target has not acknowledged; 0 if
// that is unknown.
func (c *conn) unackedBytes() int {
	n := 0
	c.control(func(fd uintptr) {
		if held, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			n = held
		}
	})
	return n
}

// startProbes turns keep-alive probes on in place of TCP_USER_TIMEOUT.
func (c *conn) startProbes() {
	c.control(func(fd uintptr) { _ = setUserTimeout(fd, 0) })
	c.setKeepAlive(keepAliveConfig)
}

// stopProbes undoes startProbes.
func (c *conn) stopProbes() {
	c.setKeepAlive(net.KeepAliveConfig{Enable: false})
	c.control(func(fd uintptr) { _ = setUserTimeout(fd, userTimeout) })
}

func (c *conn) setKeepAlive(config net.KeepAliveConfig) {
	_ = c.tcp.SetKeepAliveConfig(config) // fails only if the connection is closed already
}
