package upstream

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// option returns a socket option of a connection.
func (c *conn) option(level, name int) int {
	value := -1
	c.control(func(fd uintptr) {
		v, err := unix.GetsockoptInt(int(fd), level, name)
		Expect(err).NotTo(HaveOccurred())
		value = v
	})
	return value
}

var _ = Describe("a connection that waits for its answer", func() {
	// Guards against connections to sound targets that end after one probe, since TCP_USER_TIMEOUT
	// decides when the probes give up, whatever their count.
	It("has keep-alive probes or a user timeout, never both", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		c, err := dial(context.Background(), newDialer(time.Second), l.Addr().String(), func() {})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		userTimeoutMs := func() int { return c.option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) }
		probes := func() int { return c.option(unix.SOL_SOCKET, unix.SO_KEEPALIVE) }
		for range 2 {
			Expect(userTimeoutMs()).To(BeEquivalentTo(userTimeout.Milliseconds()))
			Expect(probes()).To(BeZero())
			w := startWatch(c)
			Eventually(probes, 2*unackedInterval).Should(Equal(1))
			Expect(userTimeoutMs()).To(BeZero())
			w.end()
		}
		Expect(userTimeoutMs()).To(BeEquivalentTo(userTimeout.Milliseconds()))
		Expect(probes()).To(BeZero())
	})
})
