package testkit

import (
	"net"
	"strings"
	"sync/atomic"

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

// endlessPieceBytes is about the size of each write.
const endlessPieceBytes = 32 << 10

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
	}
}

// Taken returns the number of bytes that clients have taken.
func (s *EndlessServer) Taken() int64 { return s.taken.Load() }

// Open returns the number of connections that no client has closed.
func (s *EndlessServer) Open() int64 { return s.open.Load() }

// Begun returns the number of connections that were accepted.
func (s *EndlessServer) Begun() int64 { return s.begun.Load() }
