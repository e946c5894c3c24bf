package gatewayhttp

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// peekArrived copies bytes that have arrived on a connection into buffer and leaves them unread. It
// does not wait. It returns 0 if there are none or the connection does not support it.
func peekArrived(c net.Conn, buffer []byte) int {
	syscallConn, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return 0
	}
	arrived := 0
	// Control fails only if the connection is closed already.
	_ = raw.Control(func(fd uintptr) {
		if n, _, err := unix.Recvfrom(int(fd), buffer, unix.MSG_PEEK|unix.MSG_DONTWAIT); err == nil {
			arrived = n
		}
	})
	return arrived
}

// hasArrivedBytes reports whether bytes have arrived on a connection.
func hasArrivedBytes(c net.Conn) bool { return peekArrived(c, make([]byte, 1)) > 0 }
