package gatewayhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/gatewayhttp"
	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/memory"
)

const (
	crowdMaxBody = 1 << 20
	// refusedHere is the path of requests that the stub refuses before their bodies are read.
	refusedHere = "/refused"
)

// limitedProxy matches requests with a limit of their bodies and a timeout, and answers those that it serves.
type limitedProxy struct {
	timeout time.Duration
	served  atomic.Int64
}

func (p *limitedProxy) Match(call *gateway.Call) (*gateway.MatchedRequest, code.Code) {
	if call.ID == strings.TrimPrefix(refusedHere, "/") {
		return nil, code.NotFound
	}
	return &gateway.MatchedRequest{MaxBodyBytes: crowdMaxBody, Deadline: time.Now().Add(p.timeout)}, code.OK
}

func (p *limitedProxy) Serve(_ context.Context, _ *gateway.MatchedRequest, body [][]byte, responder gateway.Responder) {
	p.served.Add(1)
	length := 0
	for _, piece := range body {
		length += len(piece)
	}
	text := fmt.Sprint(length)
	responder.SendHeader(http.StatusOK, http.Header{}, int64(len(text)))
	_ = responder.Write([]byte(text))
}

// crowdServer is a server for callers with an account of its own.
type crowdServer struct {
	*callerServer
	proxy   *limitedProxy
	account *memory.Account
}

func startCrowdServer(memoryBytes int64, timeout time.Duration) *crowdServer {
	s := &crowdServer{proxy: &limitedProxy{timeout: timeout}, account: memory.NewAccount(memoryBytes, time.Second, time.Now)}
	s.callerServer = startServer(s.proxy, s.account, nil)
	return s
}

// ask writes a request and returns the status and the body of its answer; 0 if there is none.
func ask(c net.Conn, request string) (int, string) {
	if _, err := io.WriteString(c, request); err != nil {
		return 0, err.Error()
	}
	return takeAnswer(c)
}

func takeAnswer(c net.Conn) (int, string) {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err.Error()
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

func post(path string, announced int, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, announced, body)
}

var _ = Describe("a caller whose request is refused while it sends the body", func() {
	// Guards against refusals that are lost by a reset, or come only after the body, and against reading all of it.
	DescribeTable("gets the refusal, and is not read to its end", func(begin, piece string, status int) {
		s := startCrowdServer(48<<20, 10*time.Second)
		c := s.dial()
		var sent atomic.Int64
		go func() {
			_, _ = io.WriteString(c, begin)
			for {
				n, err := io.WriteString(c, piece)
				sent.Add(int64(n))
				if err != nil {
					return
				}
			}
		}()
		got, body := takeAnswer(c)
		Expect(got).To(Equal(status), body)
		Expect(body).To(ContainSubstring(`"ran":"no"`))
		Consistently(sent.Load, "1500ms").Should(BeNumerically("<", 16<<20), "the kernel's buffers included")
		Expect(s.proxy.served.Load()).To(BeZero())
		Eventually(s.account.Held, "5s").Should(BeZero())
	},
		Entry("announced beyond the limit", post("/x", 1<<30, ""), strings.Repeat("b", 32<<10), 413),
		Entry("in chunks without end", "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "8000\r\n"+strings.Repeat("b", 0x8000)+"\r\n", 413),
		Entry("to a path that does not exist", post(refusedHere, 1<<29, ""), strings.Repeat("b", 32<<10), 404),
	)

	// Guards against callers that send a whole legal body before they read, and get a reset for their refusal.
	It("gets the refusal after all of a legal body that waited for memory in vain", func() {
		s := startCrowdServer(4<<20, 400*time.Millisecond)
		other := s.account.Reserve(memory.Body, "other")
		Expect(other.TryGrow(2 << 20)).To(BeTrue())
		got, body := ask(s.dial(), post("/x", crowdMaxBody, strings.Repeat("b", crowdMaxBody)))
		Expect(got).To(Equal(503), body)
		Expect(body).To(MatchRegexp(`"code":2018.*"ran":"no"`))
		other.Release()
		Expect(s.proxy.served.Load()).To(BeZero())
	})

	// Guards against callers of small requests that need a new connection after each refusal.
	It("keeps its connection if the rest is short", func() {
		c := startCrowdServer(48<<20, 10*time.Second).dial()
		for range 3 {
			got, _ := ask(c, post(refusedHere, 600, strings.Repeat("b", 600)))
			Expect(got).To(Equal(404))
		}
		got, body := ask(c, post("/x", 5, "12345"))
		Expect(got).To(Equal(200))
		Expect(body).To(Equal("5"))
	})

	// Guards against refusals that wait for a short body which does not arrive.
	It("gets the refusal at once if the rest of a short body does not arrive", func() {
		c := startCrowdServer(48<<20, 10*time.Second).dial()
		startedAt := time.Now()
		got, _ := ask(c, post(refusedHere, 600, "b"))
		Expect(got).To(Equal(404))
		Expect(time.Since(startedAt)).To(BeNumerically("<", 800*time.Millisecond))
	})
})

var _ = Describe("a body that stops short of its end", func() {
	// Guards against connections and memory that are held for ever by bodies which don't arrive.
	It("is refused at the request's deadline, and not executed", func() {
		s := startCrowdServer(48<<20, 500*time.Millisecond)
		got, body := ask(s.dial(), post("/x", 100_000, "b"))
		Expect(got).To(Equal(http.StatusRequestTimeout))
		Expect(body).To(MatchRegexp(`"code":1009.*"ran":"no"`))
		Expect(s.proxy.served.Load()).To(BeZero())
		Eventually(s.account.Held, "5s").Should(BeZero())
	})

	// Guards against bodies that are kept out by ones that don't arrive.
	It("gives way to one that arrives when memory is short", func() {
		s := startCrowdServer(4<<20, 10*time.Second)
		silent := make([]net.Conn, 4)
		for i := range silent {
			silent[i] = s.dial()
			_, err := io.WriteString(silent[i], post("/x", crowdMaxBody, strings.Repeat("b", crowdMaxBody-1)))
			Expect(err).NotTo(HaveOccurred())
		}
		got, body := ask(s.dial(), post("/x", crowdMaxBody, strings.Repeat("b", crowdMaxBody)))
		Expect(got).To(Equal(200), body)
		Expect(body).To(Equal(fmt.Sprint(crowdMaxBody)))
		got, body = takeAnswer(silent[0])
		Expect(got).To(Equal(503))
		Expect(body).To(MatchRegexp(`"code":2018.*"ran":"no"`))
	})

	// Guards against bodies that wait without need for ones that are complete a moment later.
	It("is not what bodies are that wait for memory: all of them are served", func() {
		s := startCrowdServer(4<<20, 10*time.Second)
		var callers sync.WaitGroup
		for range 12 {
			c := s.dial()
			callers.Go(func() {
				defer GinkgoRecover()
				got, body := ask(c, post("/x", crowdMaxBody, strings.Repeat("b", crowdMaxBody)))
				Expect(got).To(Equal(200), body)
			})
		}
		callers.Wait()
		Expect(s.account.Held()).To(BeNumerically("<=", 12*16<<10), "the connections")
	})
})

var _ = Describe("a router whose connections are all taken", func() {
	const maxOpen = 16
	start := func() *crowdServer {
		s := startCrowdServer(48<<20, 10*time.Second)
		s.tracker.SetMaxOpen(maxOpen)
		return s
	}
	fill := func(s *crowdServer, beginning string) []net.Conn {
		conns := make([]net.Conn, maxOpen)
		for i := range conns {
			conns[i] = s.dial()
			_, err := io.WriteString(conns[i], beginning)
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(5 * time.Millisecond) // in this order
		}
		return conns
	}

	// Guards against connections that say nothing and keep callers out.
	It("closes those that have said nothing for longest, and serves new ones", func() {
		s := start()
		conns := fill(s, "")
		got, _ := ask(s.dial(), post("/x", 1, "b"))
		Expect(got).To(Equal(200))
		_, err := conns[0].Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
		got, _ = ask(conns[maxOpen-1], post("/x", 1, "b"))
		Expect(got).To(Equal(200), "the last one is kept")
	})

	// Guards against connections that send a byte when they are made to close, and are then kept for ever.
	It("closes those later that have said something just then", func() {
		s := start()
		conns := fill(s, "")
		stop := make(chan struct{})
		var senders sync.WaitGroup
		for _, c := range conns {
			senders.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(2 * time.Millisecond):
						if _, err := io.WriteString(c, "G"); err != nil {
							return
						}
					}
				}
			})
		}
		Eventually(func() int {
			got, _ := ask(s.dial(), post("/x", 1, "b"))
			return got
		}, "10s", "20ms").Should(Equal(200))
		close(stop)
		senders.Wait()
	})

	// Guards against callers that begin requests, to look busy, and keep others out.
	DescribeTable("serves new ones though all have begun a request", func(beginning string) {
		s := start()
		fill(s, beginning)
		Eventually(func() int {
			got, _ := ask(s.dial(), post("/x", 1, "b"))
			return got
		}, "5s", "50ms").Should(Equal(200))
	},
		Entry("whose header has no end", "POST /x HTTP/1.1\r\nHost: h\r\n"),
		Entry("whose body has no end", post("/x", 1000, "b")),
	)
})

var _ = Describe("a header of many lines within the limit of bytes", func() {
	// Guards against a limit on the number of lines that the HTTP library sets and the platform does not.
	It("is accepted", func() {
		s := startCrowdServer(64<<20, 10*time.Second)
		got, _ := ask(s.dial(), "GET /x HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 2000)+"\r\n")
		Expect(got).To(Equal(200))
	})
})

var _ = Describe("headers for which there is no memory", func() {
	// Guards against a router whose memory is taken by headers of many short lines.
	It("are refused, and ordinary requests are served", func() {
		s := startCrowdServer(2<<20, 10*time.Second)
		lines := strings.Repeat("a:\r\n", 4000)
		refused := 0
		for range 20 {
			c := s.dial()
			_, _ = io.WriteString(c, "GET /x HTTP/1.1\r\nHost: h\r\n"+lines)
			_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && resp.StatusCode == 503 {
				refused++
			}
		}
		Expect(refused).To(BeNumerically(">", 10))
		Expect(s.account.Held()).To(BeNumerically("<=", 2<<20))
		got, _ := ask(s.dial(), post("/x", 1, "b"))
		Expect(got).To(Equal(200))
	})
})

var _ = Describe("the processor time for the framing of chunks", func() {
	// Guards against bodies in chunks of a byte that together take the processor from all others, and against a
	// single one that is held up.
	It("is spread over time if several bodies need it", func() {
		m := gatewayhttp.NewFramingMeter(0.4)
		now := time.Unix(1e9, 0)
		m.Add(1)
		Expect(m.Count(now, 100<<20)).To(Equal(now))
		m.Add(1)
		var until time.Time
		for range 100 {
			until = m.Count(now, 1<<20)
		}
		Expect(until.Sub(now)).To(BeNumerically("~", 25*time.Second, time.Second), "100 MB at 10 MB a second and core")
		Expect(m.Count(now.Add(time.Minute), 4<<20).Sub(now)).To(BeNumerically("~", 61*time.Second, time.Second))
	})
})
