package gatewayhttp_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/gatewayhttp"
)

var _ = Describe("a router with more work than its processor can do", func() {
	// Guards against accepting what can't be served: nothing is served then, neither new nor open connections.
	It("closes new connections unread, serves open ones, and accepts all again later", func() {
		var closed, handled atomic.Int64
		var limited atomic.Bool
		gate := gatewayhttp.NewLoadGate(func() int { return 8 }, func(bool) { closed.Add(1) }, func() {}, limited.Store)
		tracker := gatewayhttp.NewConnTracker(newAccount(), gate.RecordBegun, gate.TurnAway)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &httptest.Server{Listener: tracker.Wrap(gate.Wrap(l)), Config: &http.Server{
			ConnState: tracker.OnStateChange,
			Handler:   http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { handled.Add(1); _, _ = io.WriteString(w, "ok") }),
		}}
		server.Start()
		defer server.Close()
		kept := &http.Client{Transport: &http.Transport{}}
		get := func(c *http.Client) error {
			resp, err := c.Get(server.URL)
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			_, err = io.Copy(io.Discard, resp.Body)
			return err
		}
		fresh := func() error { return get(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}) }
		Expect(get(kept)).To(Succeed())
		Expect(fresh()).To(Succeed())

		for range 4 {
			gate.Observe(400 * time.Millisecond)
		}
		Expect(limited.Load()).To(BeTrue())
		before := handled.Load()
		Expect(fresh()).To(Succeed(), "one a period is left")
		silent, err := net.Dial("tcp", l.Addr().String()) // a request might have arrived before it is accepted
		Expect(err).NotTo(HaveOccurred())
		defer silent.Close()
		_ = silent.SetReadDeadline(time.Now().Add(2 * time.Second))
		_, err = silent.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF), "closed without an answer")
		Expect(handled.Load()).To(Equal(before+1), "not read")
		Expect(closed.Load()).To(BeEquivalentTo(1))
		Expect(get(kept)).To(Succeed())

		for range 12 {
			gate.Observe(0)
		}
		Expect(limited.Load()).To(BeFalse())
		Expect(fresh()).To(Succeed())
		Expect(fresh()).To(Succeed())
	})

	// Guards against counting a request that was sent and closed like a connection that never carried one.
	It("tells closed connections on which bytes had arrived from others", func() {
		arrived := make(chan bool, 2)
		gate := gatewayhttp.NewLoadGate(func() int { return 8 }, func(bytes bool) { arrived <- bytes }, func() {}, func(bool) {})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		for range 4 {
			gate.Observe(400 * time.Millisecond)
		}
		connect := func(text string) {
			c, err := net.Dial("tcp", l.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(c.Close)
			_, err = io.WriteString(c, text)
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(50 * time.Millisecond) // until it has arrived
		}
		connect("") // the one that is accepted
		connect("GET / HT")
		connect("")
		gated := gate.Wrap(l)
		go func() {
			for {
				if _, err := gated.Accept(); err != nil {
					return
				}
			}
		}()
		Eventually(arrived).Should(Receive(BeTrue()))
		Eventually(arrived).Should(Receive(BeFalse()))
	})
})
