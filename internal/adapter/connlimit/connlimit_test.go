package connlimit_test

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/connlimit"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func TestSuite(t *testing.T) { testkit.Run(t, "connlimit") }

var _ = Describe("a listener with a limit of its connections", func() {
	const maxOpen = 3
	var clock *testkit.Clock
	var dial func() net.Conn
	BeforeEach(func() {
		clock = testkit.NewClock()
		limiter := connlimit.NewLimiter(clock.Now)
		limiter.SetMax(maxOpen)
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(inner.Close)
		accepted := make(chan struct{}, 20)
		l := limiter.Wrap(inner)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				accepted <- struct{}{}
				go func() { // echoes what arrives
					defer c.Close()
					_, _ = io.Copy(c, c)
				}()
			}
		}()
		dial = func() net.Conn {
			c, err := net.Dial("tcp", inner.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(c.Close)
			select {
			case <-accepted:
			case <-time.After(200 * time.Millisecond): // closed unread
			}
			clock.Advance(time.Millisecond)
			return c
		}
	})
	isOpen := func(c net.Conn) bool {
		_ = c.SetDeadline(time.Now().Add(2 * time.Second))
		if _, err := c.Write([]byte{1}); err != nil {
			return false
		}
		_, err := c.Read(make([]byte, 1))
		return err == nil
	}

	// Guards against connections that say nothing and take all descriptors.
	It("closes the oldest one that said nothing for a new one", func() {
		conns := []net.Conn{dial(), dial(), dial()}
		Expect(isOpen(conns[0])).To(BeTrue())
		Expect(isOpen(dial())).To(BeTrue())
		Expect(isOpen(conns[1])).To(BeFalse())
		Expect(isOpen(conns[0])).To(BeTrue())
		Expect(isOpen(conns[2])).To(BeTrue())
	})

	// Guards against new connections that end those in use, and against ones that are kept for ever after a single byte.
	It("closes new ones while all are in use, and the one that is quiet for longest later", func() {
		conns := []net.Conn{dial(), dial(), dial()}
		for _, c := range conns {
			Expect(isOpen(c)).To(BeTrue())
			clock.Advance(time.Second)
		}
		Expect(isOpen(dial())).To(BeFalse())
		clock.Advance(3 * time.Second)
		Expect(isOpen(dial())).To(BeTrue())
		Expect(isOpen(conns[0])).To(BeFalse())
		Expect(isOpen(conns[2])).To(BeTrue())
	})
})
