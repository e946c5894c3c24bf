package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/upstream"
)

// listenWithoutBuffer returns a listener whose connections take few bytes that are not read yet.
func listenWithoutBuffer() net.Listener {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	raw, err := l.SyscallConn()
	Expect(err).NotTo(HaveOccurred())
	Expect(raw.Control(func(fd uintptr) {
		Expect(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10)).To(Succeed())
	})).To(Succeed())
	return l
}

// send sends a request with a large body, and returns its error once it has ended.
func send(ctx context.Context, l net.Listener) <-chan error {
	client := upstream.New(upstream.DefaultSettings(), time.Now, nil)
	done := make(chan error, 1)
	go func() {
		_, err := client.Do(ctx, upstream.Request{TargetUID: 1, Address: l.Addr().String(), Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: make([]byte, bodyBytes)})
		done <- err
	}()
	return done
}

const bodyBytes = 200 << 10

// expectDiscarded checks that most of the request of a closed connection never arrives.
func expectDiscarded(target net.Conn) {
	Expect(target.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	received, err := io.Copy(io.Discard, target)
	Expect(received).To(BeNumerically("<", bodyBytes/2))
	Expect(err).To(MatchError(unix.ECONNRESET))
}

var _ = Describe("a request that ends before its target has read it", func() {
	// Guards against a target that executes a request long after it was given up: the kernel went on
	// delivering what the closed connection had not sent yet.
	It("is not delivered when its caller gave up", func() {
		l := listenWithoutBuffer()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		done := send(ctx, l)
		target, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		defer target.Close()
		time.Sleep(300 * time.Millisecond) // the router's kernel holds what the target's does not take
		cancel()
		Eventually(done, 5*time.Second).Should(Receive(HaveOccurred()))
		expectDiscarded(target)
	})

	// Guards against the same when the target stops to acknowledge: the kernel's timeouts end the
	// connection without a reset.
	It("is not delivered when the target stopped to acknowledge it", func() {
		l := listenWithoutBuffer()
		done := send(context.Background(), l)
		target, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		defer target.Close()
		Eventually(done, 1500*time.Millisecond).Should(Receive(HaveOccurred()))
		expectDiscarded(target)
	})

	// Guards against connections that are reset although their target is only slow to answer.
	It("is delivered when the target reads it and answers late", func() {
		l := listenWithoutBuffer()
		done := send(context.Background(), l)
		target, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		defer target.Close()
		_, err = io.CopyN(io.Discard, target, bodyBytes)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(2 * time.Second)
		_, err = io.WriteString(target, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(done, 5*time.Second).Should(Receive(BeNil()))
	})
})
