package gatewayhttp_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/gatewayhttp"
)

// closedGate returns a gate that accepts nothing more, and its listener.
func closedGate(closed func(bool), refused func()) (*gatewayhttp.LoadGate, net.Listener, error) {
	gate := gatewayhttp.NewLoadGate(func() int { return 8 }, closed, refused, func(bool) {})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	for range 4 {
		gate.Observe(400 * time.Millisecond)
	}
	return gate, l, err
}

var _ = Describe("a router that is late to accept connections", func() {
	var gate *gatewayhttp.LoadGate
	var l net.Listener
	var closed, refused atomic.Int64
	// connect sends text on new connections, and lets the router accept only after it has arrived. One
	// connection a period is accepted.
	connect := func(texts ...string) (conns []net.Conn) {
		for _, text := range append([]string{""}, texts...) {
			c, err := net.Dial("tcp", l.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(func() { _ = c.Close() })
			_, err = io.WriteString(c, text)
			Expect(err).NotTo(HaveOccurred())
			conns = append(conns, c)
		}
		time.Sleep(50 * time.Millisecond)
		gated := gate.Wrap(l)
		go func() {
			for {
				if _, err := gated.Accept(); err != nil {
					return
				}
			}
		}()
		return conns[1:]
	}
	BeforeEach(func() {
		closed.Store(0)
		refused.Store(0)
		var err error
		gate, l, err = closedGate(func(bool) { closed.Add(1) }, func() { refused.Add(1) })
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = l.Close() })
	})
	const get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
	post := func(contentLength int, body string) string {
		return "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + strconv.Itoa(contentLength) + "\r\n\r\n" + body
	}

	// Guards against a whole request that gets neither an answer nor a refusal, as its router closes the
	// connection that it accepts too late.
	It("refuses requests that have arrived as a whole, with a promise and a time to come back", func() {
		for _, c := range connect(get, post(4, "body")) {
			_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
			status, header, body, err := readAnswer(bufio.NewReader(c))
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(http.StatusServiceUnavailable))
			Expect(header.Get("Connection")).To(Equal("close"))
			Expect(strconv.ParseFloat(header.Get("Retry-After"), 64)).To(BeNumerically(">", 0))
			Expect(body).To(MatchRegexp(`"code":2017,"name":"overloaded".*"ran":"no"`))
		}
		Eventually(refused.Load).Should(BeEquivalentTo(2))
		Expect(closed.Load()).To(BeZero())
	})

	// Guards against an answer that is lost to a reset, as its caller sent more than one request.
	It("delivers the refusal to a caller that goes on sending", func() {
		c := connect(get)[0]
		Eventually(refused.Load).Should(BeEquivalentTo(1))
		_, err := io.WriteString(c, get)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(50 * time.Millisecond)
		status, _, _, err := readAnswer(bufio.NewReader(c))
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		gate.Observe(0)
		gate.Observe(0)
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		_, err = io.ReadAll(c)
		Expect(err).NotTo(MatchError(ContainSubstring("timeout")), "closed after two periods")
	})

	// Guards against a promise or a read where the request may still be on its way.
	It("closes the others unread", func() {
		conns := connect("", "GET /a HT", post(4, "bod"), post(maxRequest, strings.Repeat("x", maxRequest)),
			"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "not http\r\n\r\n")
		Eventually(closed.Load).Should(BeEquivalentTo(len(conns)))
		for _, c := range conns {
			_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
			n, err := c.Read(make([]byte, 1))
			Expect(n).To(BeZero())
			Expect(err).NotTo(MatchError(ContainSubstring("timeout")))
		}
		Expect(refused.Load()).To(BeZero())
	})

	// Guards against refused connections that use up the descriptors.
	It("keeps few refused connections open", func() {
		texts := make([]string, 100)
		for i := range texts {
			texts[i] = get
		}
		conns := connect(texts...)
		Eventually(refused.Load).Should(BeEquivalentTo(len(conns)))
		stillOpen := 0
		for _, c := range conns {
			reader := bufio.NewReader(c)
			status, _, _, err := readAnswer(reader)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(http.StatusServiceUnavailable))
			_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			if _, err = reader.ReadByte(); err != io.EOF {
				stillOpen++
			}
		}
		Expect(stillOpen).To(Equal(64))
	})
})

// maxRequest is more than what is read at accept time.
const maxRequest = 20 << 10

// BenchmarkTurnAway measures the router's part of a connection that its gate turns away.
func BenchmarkTurnAway(b *testing.B) {
	for _, text := range []string{"", "GET /a HTTP/1.1\r\nHost: h\r\n", "POST /a HTTP/1.1\r\nHost: h\r\nX-Api-Key: abcdefgh\r\nContent-Length: 1024\r\n\r\n" + strings.Repeat("x", 1024)} {
		b.Run(strconv.Itoa(len(text))+" bytes", func(b *testing.B) {
			gate, l, err := closedGate(func(bool) {}, func() {})
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			const batch = 100
			conns := make([]net.Conn, 0, batch)
			turned := make([]net.Conn, 0, batch)
			for done := 0; done < b.N; done += batch {
				b.StopTimer()
				gate.Observe(400 * time.Millisecond)
				gate.Observe(400 * time.Millisecond)
				for range batch {
					c, err := net.Dial("tcp", l.Addr().String())
					if err != nil {
						b.Fatal(err)
					}
					_, _ = io.WriteString(c, text)
					conns = append(conns, c)
					accepted, err := l.Accept()
					if err != nil {
						b.Fatal(err)
					}
					turned = append(turned, accepted)
				}
				b.StartTimer()
				for _, c := range turned {
					gate.TurnAway(c)
				}
				b.StopTimer()
				for _, c := range conns {
					_ = c.Close()
				}
				conns, turned = conns[:0], turned[:0]
				b.StartTimer()
			}
		})
	}
}
