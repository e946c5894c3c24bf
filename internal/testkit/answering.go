package testkit

import (
	"bufio"
	"net"
	"net/http"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// StartAnsweringServer starts a server that reads the header of one request on each connection and passes the
// connection to answer, with the body unread. It closes the connection afterwards. It returns the server's address.
func StartAnsweringServer(answer func(c *net.TCPConn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReaderSize(c, 16)); err == nil {
					answer(c.(*net.TCPConn))
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Reset closes a connection with a reset.
func Reset(c *net.TCPConn) {
	_ = c.SetLinger(0) // fails if the connection is closed already
	_ = c.Close()
}
