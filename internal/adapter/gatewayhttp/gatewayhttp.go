// Package gatewayhttp is the HTTP interface of a router on the users' platform. It serves callers
// and the balancer's readiness checks.
package gatewayhttp

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/upstream"
	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
	"github.com/hemlockdyke/hemlockdyke/internal/memory"
	"github.com/hemlockdyke/hemlockdyke/internal/wire"
)

// Decoder decodes callers' requests.
type Decoder interface {
	// DecodeCall decodes the request line and the headers of r into a gateway.Call.
	DecodeCall(r *http.Request) *gateway.Call
}

// Proxy matches and forwards requests.
type Proxy interface {
	// Match finds the route and team of a request. If the code is not code.OK, there is no match.
	Match(call *gateway.Call) (*gateway.MatchedRequest, code.Code)
	// Serve forwards a matched request, whose body comes in pieces, and answers the caller. ctx ends when the caller disconnects.
	Serve(ctx context.Context, m *gateway.MatchedRequest, body [][]byte, responder gateway.Responder)
}

// Lifecycle tells whether the router accepts requests.
type Lifecycle interface {
	Ready() bool
	ShuttingDown() bool
}

// Observer counts requests.
type Observer interface {
	// CountRefusal counts a request that the Server refuses itself.
	CountRefusal(c code.Code)
	// CountIncomplete counts a request that ends without a complete answer, by one of the reasons
	// IncompleteCallerLeft, IncompleteReadFailed, IncompleteWriteFailed, IncompleteAborted and IncompletePanic.
	CountIncomplete(reason string)
}

// Server serves callers. It is safe for concurrent use.
type Server struct {
	proxy    Proxy
	control  Lifecycle
	decoder  Decoder
	now      func() time.Time
	observer Observer
	log      *eventlog.Log
	memory   *memory.Account
	framing  framingMeter
	// linkBytesPerSecond is the bandwidth of the VM's link; 0 if unknown.
	linkBytesPerSecond int64
	lingering          atomic.Int64 // connections in linger
	// writeTimeout bounds each write to a caller, see callerWriteTimeout.
	writeTimeout time.Duration
}

// Resources are what a Server may use of its VM.
type Resources struct {
	// Memory counts what callers make the process hold.
	Memory *memory.Account
	// Cores is the capacity of the processor; 0 if unknown.
	Cores float64
	// LinkBytesPerSecond is the bandwidth of the link in each direction; 0 if unknown.
	LinkBytesPerSecond int64
}

// New returns a Server.
func New(proxy Proxy, control Lifecycle, decoder Decoder, observer Observer, resources Resources, log *eventlog.Log, now func() time.Time) *Server {
	return &Server{
		proxy: proxy, control: control, decoder: decoder, now: now, observer: observer, log: log, writeTimeout: callerWriteTimeout,
		memory: resources.Memory, framing: newFramingMeter(resources.Cores), linkBytesPerSecond: resources.LinkBytesPerSecond,
	}
}

// ServeHTTP forwards one request. It does not use a mux, which would redirect paths that are not in
// canonical form, whereas targets get the path unchanged.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.control.ShuttingDown() {
		// Each connection is closed after its next answer. If all idle connections were closed at
		// once, requests that are already on their way would be lost.
		w.Header().Set("Connection", "close")
	}
	held := s.memory.Reserve(memory.Request, "")
	defer held.Release()
	out := &responder{w: w, controller: http.NewResponseController(w), now: s.now, writeTimeout: s.writeTimeout, held: &held, unframed: unframedConnection(r)}
	defer out.endTransfer()
	// The server writes what is buffered, and the end of a body without a length, after this function.
	defer out.extendDeadline()
	id := ""
	defer func() {
		if value := recover(); value != nil {
			s.handlePanic(r, id, out, value)
		}
	}()
	call := s.decoder.DecodeCall(r)
	id = call.ID
	match, refusal := s.proxy.Match(call)
	if refusal != code.OK {
		s.refuse(out, r, call, refusal)
		return
	}
	if held.Grow(r.Context(), requestBytes+headerMemory(r.Header)) != nil {
		s.refuse(out, r, call, code.NoMemory)
		return
	}
	body := s.memory.Reserve(memory.Body, match.Team())
	defer body.Release()
	pieces, refusal := s.receiveBody(r, match, &body, out)
	if refusal != code.OK {
		body.Release()
		s.refuse(out, r, call, refusal)
		return
	}
	s.proxy.Serve(r.Context(), match, pieces, out)
	if out.aborted || out.writeError != nil {
		s.logIncomplete(r, call.ID, out)
	}
	if out.aborted {
		panic(http.ErrAbortHandler) // closes the connection without completing the answer
	}
	out.endUnframed()
}

// ReadinessHandler returns the handler of the balancer's readiness check at a path.
func (s *Server) ReadinessHandler(path string) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
		if !s.control.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	}).Methods(http.MethodGet)
	return r
}

// responder writes the answer to one request.
type responder struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	now        func() time.Time
	// writeTimeout bounds each write.
	writeTimeout time.Duration
	streaming    bool  // the length of the body is not known
	panicked     bool  // the handler panicked
	aborted      bool  // the connection is closed without completing the answer
	status       int   // that was sent; 0 if none
	bodyBytes    int64 // of the body that were written
	writeError   error // of the first write that failed
	// held is the memory of the request, and transfer the answer that the caller takes; nil before its first part.
	held     *memory.Reservation
	transfer *memory.Transfer
	// unframed is the connection if a body without a length ends with it; nil otherwise.
	unframed *connection
	// hasWaited is true if the body waited for memory in vain.
	hasWaited bool
}

// callerWriteTimeout bounds each write to a caller, after which the caller counts as
// disconnected. If a middlebox has dropped the connection, writes neither fail nor complete.
const callerWriteTimeout = 5 * time.Second

// unforwardedHeaders are the headers of a target's answer that are not sent to the caller:
// hop-by-hop headers, and those that the router sets itself.
var unforwardedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Transfer-Encoding": true,
	"Te": true, "Trailer": true, "Upgrade": true, "Content-Length": true,
}

// SendHeader sends the status and the header. A negative length means that the length is not known.
func (o *responder) SendHeader(status int, header http.Header, length int64) {
	h := o.w.Header()
	for name, values := range header {
		if !unforwardedHeaders[name] {
			h[name] = values
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps the server from detecting one
	}
	o.streaming = length < 0
	if o.streaming && o.unframed != nil {
		o.unframed.setResetOnClose(true)
	}
	if !o.streaming {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	o.status = status
	o.w.WriteHeader(status)
}

// endUnframed has the connection end in order if the body is complete.
func (o *responder) endUnframed() {
	if o.streaming && o.unframed != nil && o.writeError == nil {
		o.unframed.setResetOnClose(false)
	}
}

// Write sends a part of the body. It flushes each part of a body without a known length.
func (o *responder) Write(p []byte) error {
	o.extendDeadline()
	o.beginTransfer()
	n, err := o.w.Write(p)
	o.bodyBytes += int64(n)
	if err == nil && o.streaming {
		err = o.controller.Flush()
	}
	o.transfer.Pause()
	if o.writeError == nil {
		o.writeError = err
	}
	return err
}

// beginTransfer records that the process waits for the caller to take a part of the answer.
func (o *responder) beginTransfer() {
	if o.transfer != nil {
		o.transfer.Resume()
		return
	}
	o.transfer = o.held.BeginAnswer(upstream.ReceiveBufferBytes, func() { _ = o.controller.SetWriteDeadline(time.Unix(1, 0)) })
}

// endTransfer must follow the last Write.
func (o *responder) endTransfer() {
	if o.transfer != nil {
		o.transfer.Done()
	}
}

// extendDeadline gives the next write writeTimeout from now.
func (o *responder) extendDeadline() {
	_ = o.controller.SetWriteDeadline(o.now().Add(o.writeTimeout)) // fails if the connection is closed already
}

// SendError answers with a result code. If the caller has disconnected, it aborts the connection
// instead.
func (o *responder) SendError(c code.Code, retryAfter time.Duration) {
	if c == code.CallerGone {
		o.aborted = true
		return
	}
	if retryAfter > 0 {
		o.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	o.status = c.Lookup().Status
	wire.WriteError(o.w, code.New(c, "request not served"))
}

// Abort marks the answer as truncated. ServeHTTP then closes the connection without completing it.
func (o *responder) Abort() { o.aborted = true }
