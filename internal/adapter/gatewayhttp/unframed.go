package gatewayhttp

import "net/http"

// unframedConnection returns the connection of a request whose caller can't read chunks, so that a body without a length
// ends with the connection; nil if the caller can.
func unframedConnection(r *http.Request) *connection {
	if r.ProtoAtLeast(1, 1) {
		return nil
	}
	return trackedConnection(r)
}

// setResetOnClose sets whether the connection is reset when it is closed, also by the kernel at the end of the process.
// A body that ends with the connection looks whole to its caller otherwise, wherever it breaks off.
func (c *connection) setResetOnClose(on bool) {
	tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return
	}
	seconds := -1
	if on {
		seconds = 0
	}
	_ = tcp.SetLinger(seconds) // fails only if the connection is closed already
}
