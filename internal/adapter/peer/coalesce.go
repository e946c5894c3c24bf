package peer

import (
	"net"
	"sync"
)

// coalescingConn joins small writes that follow each other immediately. HTTP/2 writes the headers
// and the data of a short message separately. In two packets, the packet headers of the second
// would cost more than the message. A separate goroutine writes to the connection, and the
// second write usually joins the first before that goroutine runs. A timer would delay messages by
// about a millisecond.
type coalescingConn struct {
	net.Conn
	wake    chan struct{} // receives a value after each Write; closed by Close
	mu      sync.Mutex
	pending []byte
	closed  bool
	err     error // of the first failed write to Conn, after which nothing is written
}

func newCoalescingConn(c net.Conn) *coalescingConn {
	w := &coalescingConn{Conn: c, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

func (w *coalescingConn) run() {
	for range w.wake {
		w.mu.Lock()
		w.flush()
		w.mu.Unlock()
	}
}

// Write queues p. If a queued write fails, the next Write returns the error. The goroutine that
// reads from the connection usually notices the failure before that.
func (w *coalescingConn) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return 0, net.ErrClosed
	}
	if w.err != nil {
		return 0, w.err
	}
	w.pending = append(w.pending, p...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

// flush writes the pending bytes. It is called with mu held.
func (w *coalescingConn) flush() {
	if len(w.pending) == 0 || w.err != nil {
		return
	}
	_, w.err = w.Conn.Write(w.pending)
	w.pending = w.pending[:0]
}

// Close writes the pending bytes and closes the connection.
func (w *coalescingConn) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return net.ErrClosed
	}
	w.closed = true
	w.flush()
	close(w.wake)
	return w.Conn.Close()
}

// CoalesceWrites returns a listener of the peer service whose connections join small writes, as
// those of a Client do.
func CoalesceWrites(l net.Listener) net.Listener { return coalescingListener{l} }

type coalescingListener struct{ net.Listener }

func (l coalescingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newCoalescingConn(c), nil
}
