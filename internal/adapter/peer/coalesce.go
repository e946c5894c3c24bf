package peer

import (
	"net"
	"sync"
)

// coalescer joins small writes to a connection that follow each other at once.
// HTTP/2 writes the headers and the data of a short message separately; sent
// apart, the packet headers of the second cost more than the message. Handing
// the bytes to a goroutine gives the second write the time to join the first;
// a timer would take about a millisecond.
type coalescer struct {
	net.Conn
	wake    chan struct{}
	mu      sync.Mutex
	pending []byte
	closed  bool
	failed  error
}

func newCoalescer(c net.Conn) *coalescer {
	w := &coalescer{Conn: c, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

func (w *coalescer) run() {
	for range w.wake {
		w.mu.Lock()
		w.flush()
		w.mu.Unlock()
	}
}

// Write queues p. An error of a queued write is returned by the next Write; the
// reader sees the broken connection sooner.
func (w *coalescer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return 0, net.ErrClosed
	}
	if w.failed != nil {
		return 0, w.failed
	}
	w.pending = append(w.pending, p...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

func (w *coalescer) flush() {
	if len(w.pending) == 0 || w.failed != nil {
		return
	}
	_, w.failed = w.Conn.Write(w.pending)
	w.pending = w.pending[:0]
}

// Close sends what is pending and closes the connection.
func (w *coalescer) Close() error {
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

// WrapListener wraps a listener of the peer service, so that replies are coalesced.
func WrapListener(l net.Listener) net.Listener { return coalescingListener{l} }

type coalescingListener struct{ net.Listener }

func (l coalescingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newCoalescer(c), nil
}
