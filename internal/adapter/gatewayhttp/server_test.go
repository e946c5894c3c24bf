package gatewayhttp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/gatewayhttp"
	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
	"github.com/hemlockdyke/hemlockdyke/internal/memory"
)

// stubTimeout is the timeout of the requests in these tests.
const stubTimeout = 10 * time.Second

// newAccount returns an account with the memory of a small VM.
func newAccount() *memory.Account { return memory.NewAccount(48<<20, time.Second, time.Now) }

func closeConn(c net.Conn) { _ = c.Close() }

// stubProxy serves each request with a function.
type stubProxy struct {
	serve func(ctx context.Context, responder gateway.Responder)
}

func (p stubProxy) Match(*gateway.Call) (*gateway.MatchedRequest, code.Code) {
	return &gateway.MatchedRequest{Deadline: time.Now().Add(stubTimeout)}, code.OK
}

func (p stubProxy) Serve(ctx context.Context, _ *gateway.MatchedRequest, _ [][]byte, responder gateway.Responder) {
	p.serve(ctx, responder)
}

type alwaysReady struct{}

func (alwaysReady) Ready() bool        { return true }
func (alwaysReady) ShuttingDown() bool { return false }

type pathDecoder struct{}

func (pathDecoder) DecodeCall(r *http.Request) *gateway.Call {
	return &gateway.Call{ID: strings.TrimPrefix(r.URL.Path, "/")}
}

// counts is an Observer. It is safe for concurrent use.
type counts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *counts) add(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[string]int)
	}
	c.counts[key]++
}

func (c *counts) get(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[key]
}

func (c *counts) CountRefusal(k code.Code)      { c.add(k.Lookup().Name) }
func (c *counts) CountIncomplete(reason string) { c.add(reason) }

// lineBuffer collects log lines. It is safe for concurrent use.
type lineBuffer struct {
	mu  sync.Mutex
	buf strings.Builder
}

func (l *lineBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *lineBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// callerServer is a running server for callers.
type callerServer struct {
	address string
	server  *http.Server
	tracker *gatewayhttp.ConnTracker
	handler *gatewayhttp.Server
	closed  chan struct{} // closed when a connection is
	close   sync.Once
	counts  counts
	lines   lineBuffer
}

// startCallerServer starts a server whose requests are served by a function. wrap, if set, wraps the
// connections below the tracker. configure is called before the server starts.
func startCallerServer(serve func(context.Context, gateway.Responder), wrap func(net.Conn) net.Conn, configure ...func(*callerServer)) *callerServer {
	return startServer(stubProxy{serve}, newAccount(), wrap, configure...)
}

// startServer is startCallerServer with a proxy and an account of memory.
func startServer(proxy gatewayhttp.Proxy, account *memory.Account, wrap func(net.Conn) net.Conn, configure ...func(*callerServer)) *callerServer {
	s := &callerServer{closed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s.address = l.Addr().String()
	log := eventlog.New(zerolog.New(&s.lines), time.Now)
	log.OnPanic(func(where string) { s.counts.add("panic at " + where) })
	s.tracker = gatewayhttp.NewConnTracker(account, func() {}, closeConn)
	s.handler = gatewayhttp.New(proxy, alwaysReady{}, pathDecoder{}, &s.counts, gatewayhttp.Resources{Memory: account}, log, time.Now)
	s.server = &http.Server{
		Handler: s.tracker.Handler(s.handler),
		ConnState: func(c net.Conn, state http.ConnState) {
			s.tracker.OnStateChange(c, state)
			if state == http.StateClosed {
				s.close.Do(func() { close(s.closed) })
			}
		},
		ConnContext: s.tracker.ConnContext, ErrorLog: eventlog.NewServerLog(log, "callers"),
	}
	gatewayhttp.LimitHeaders(s.server)
	if wrap == nil {
		wrap = func(c net.Conn) net.Conn { return c }
	}
	for _, f := range configure {
		f(s)
	}
	go func() { _ = s.server.Serve(s.tracker.Wrap(wrappingListener{l, wrap})) }()
	DeferCleanup(s.server.Close)
	return s
}

type wrappingListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

func (l wrappingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(c), nil
}

func (s *callerServer) dial() *net.TCPConn {
	c, err := net.Dial("tcp", s.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	return c.(*net.TCPConn)
}

func sendRequest(c net.Conn, id string) {
	_, err := io.WriteString(c, "GET /"+id+" HTTP/1.1\r\nHost: h\r\n\r\n")
	Expect(err).NotTo(HaveOccurred())
}

// readAnswer reads an answer and its body.
func readAnswer(r *bufio.Reader) (status int, header http.Header, body string, err error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, nil, "", err
	}
	if resp.Close { // ReadResponse removes the header
		resp.Header.Set("Connection", "close")
	}
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(b), err
}

// failingConn fails writes once failWrites is set.
type failingConn struct {
	net.Conn
	failWrites *atomic.Bool
}

func (c failingConn) Write(p []byte) (int, error) {
	if c.failWrites.Load() {
		return 0, io.ErrClosedPipe
	}
	return c.Conn.Write(p)
}
