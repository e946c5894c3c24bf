package answerconn_test

import (
	"io"
	"net"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/answerconn"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

const (
	answerPart = "part of an answer"
	// requestBytes is more than the kernel takes of a request that its peer does not read.
	requestBytes = 16 << 20
)

// connect returns a connection and its peer.
func connect() (*answerconn.Conn, *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	peer, err := l.Accept()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = peer.Close() }) // the spec may have closed it
	return answerconn.New(c), peer.(*net.TCPConn)
}

// startWrite writes a request that its peer does not read, in the background, and waits until the write is blocked.
func startWrite(c *answerconn.Conn) <-chan error {
	done := make(chan error, 1)
	go func() {
		done <- c.WriteBuffers(net.Buffers{make([]byte, requestBytes/2), make([]byte, requestBytes/2)})
	}()
	time.Sleep(20 * time.Millisecond)
	return done
}

var _ = Describe("a connection whose peer answers while the request is written", func() {
	// Guards against a part of an answer that looks whole: the write takes the kernel's error of the reset, and the read
	// that follows gets an end of file.
	It("is not read to an end if it was reset, whether a write or a read learns of that first", func() {
		for _, writeIsFirst := range []bool{true, false} {
			c, peer := connect()
			done := startWrite(c)
			_, err := io.WriteString(peer, answerPart)
			Expect(err).NotTo(HaveOccurred())
			testkit.Reset(peer)
			if writeIsFirst {
				Eventually(done).Should(Receive(MatchError(syscall.ECONNRESET)))
			}
			part, err := io.ReadAll(c)
			Expect(err).To(MatchError(syscall.ECONNRESET))
			Expect(answerPart).To(HavePrefix(string(part)))
			_, err = c.Read(make([]byte, 1))
			Expect(err).To(MatchError(syscall.ECONNRESET), "a later read")
		}
	})

	// Guards against a write of several parts that goes on after the one that took the error.
	It("is not read to an end if a later write fails as well", func() {
		c, peer := connect()
		testkit.Reset(peer)
		Eventually(func() error {
			_, err := c.Write([]byte("x"))
			return err
		}).Should(MatchError(syscall.ECONNRESET))
		_, err := c.Write([]byte("x"))
		Expect(err).To(MatchError(syscall.EPIPE))
		_, err = c.Read(make([]byte, 1))
		Expect(err).To(MatchError(syscall.ECONNRESET))
	})

	// Guards against a whole answer that is taken for a broken one, or read late, because its request was not taken.
	It("is read to its end, soon, if the peer ends it in order and does not read the request", func() {
		c, peer := connect()
		done := startWrite(c)
		_, err := io.WriteString(peer, answerPart)
		Expect(err).NotTo(HaveOccurred())
		Expect(peer.CloseWrite()).To(Succeed())
		startedAt := time.Now()
		answer, err := io.ReadAll(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer)).To(Equal(answerPart))
		Expect(time.Since(startedAt)).To(BeNumerically("<", time.Second))
		Eventually(done).Should(Receive(HaveOccurred()))
	})

	// Guards against a whole answer that is taken for a broken one, as its peer resets the connection after its end: it
	// closes it while the request still arrives.
	It("is read to its end if the peer resets it after it has ended it in order", func() {
		c, peer := connect()
		done := startWrite(c)
		_, err := io.WriteString(peer, answerPart)
		Expect(err).NotTo(HaveOccurred())
		Expect(peer.CloseWrite()).To(Succeed())
		testkit.Reset(peer)
		Eventually(done).Should(Receive(MatchError(syscall.EPIPE)))
		answer, err := io.ReadAll(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer)).To(Equal(answerPart))
	})
})
