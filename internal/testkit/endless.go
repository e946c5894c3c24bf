package testkit

import (
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// EndlessServer is a TCP server that answers each connection with bytes without end.
type EndlessServer struct {
	Address string
	taken   atomic.Int64
	open    atomic.Int64
	begun   atomic.Int64
}

const (
	// endlessPieceBytes is about the size of each write.
	endlessPieceBytes = 32 << 10
	// endlessPause is the pause between two writes. Without it the kernel of a busy machine takes up to 17 MB
	// more than the client reads, and the count would not show what the client takes.
	endlessPause = time.Millisecond
)

// StartEndlessServer starts a server that waits for the first bytes of a request on each connection,
// writes head once, and then unit until the client closes the connection. It stops with the test.
func StartEndlessServer(head, unit string) *EndlessServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(listener.Close)
	s := &EndlessServer{Address: listener.Addr().String()}
	piece := []byte(strings.Repeat(unit, max(1, endlessPieceBytes/len(unit))))
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.begun.Add(1)
			s.open.Add(1)
			go s.serve(c, []byte(head), piece)
		}
	}()
	return s
}

func (s *EndlessServer) serve(c net.Conn, head, piece []byte) {
	defer s.open.Add(-1)
	defer c.Close()
	// A small send buffer keeps the bytes that the client has not received out of the count.
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(endlessPieceBytes)
	}
	request := make([]byte, 64<<10)
	if _, err := c.Read(request); err != nil {
		return
	}
	for next := head; ; next = piece {
		n, err := c.Write(next)
		s.taken.Add(int64(n))
		if err != nil {
			return
		}
		time.Sleep(endlessPause)
	}
}

// Taken returns the number of bytes that clients have taken.
func (s *EndlessServer) Taken() int64 { return s.taken.Load() }

// Open returns the number of connections that no client has closed.
func (s *EndlessServer) Open() int64 { return s.open.Load() }

// Begun returns the number of connections that were accepted.
func (s *EndlessServer) Begun() int64 { return s.begun.Load() }
