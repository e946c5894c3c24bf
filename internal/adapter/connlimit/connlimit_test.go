package connlimit_test

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/connlimit"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func TestSuite(t *testing.T) { testkit.Run(t, "connlimit") }

// manualClock is a clock that the test sets. It is safe for concurrent use.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *manualClock) read() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

var _ = Describe("a listener with a limit of its connections", func() {
	const maxOpen = 3
	var clock *manualClock
	var dial func() net.Conn
	BeforeEach(func() {
		clock = &manualClock{now: time.Unix(1e9, 0)}
		limiter := connlimit.NewLimiter(clock.read)
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
			clock.advance(time.Millisecond)
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
			clock.advance(time.Second)
		}
		Expect(isOpen(dial())).To(BeFalse())
		clock.advance(3 * time.Second)
		Expect(isOpen(dial())).To(BeTrue())
		Expect(isOpen(conns[0])).To(BeFalse())
		Expect(isOpen(conns[2])).To(BeTrue())
	})
})
