// Package gatewayhttp serves callers of the plain HTTP interface, and the
// balancer's readiness checks.
package gatewayhttp

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/wire"
)

// Decoder decodes what callers send.
type Decoder interface {
	// Call decodes a request without its body.
	Call(r *http.Request) *gateway.Call
}

// Server serves callers. It is safe for concurrent use.
type Server struct {
	relay   *gateway.Relay
	control *gateway.Control
	decoder Decoder
	now     func() time.Time
	refused func(c code.Code) // counts refusals before a route is known
}

// New returns a Server.
func New(relay *gateway.Relay, control *gateway.Control, decoder Decoder, now func() time.Time, refused func(code.Code)) *Server {
	return &Server{relay: relay, control: control, decoder: decoder, now: now, refused: refused}
}

// defaultMaxBody applies while the desired state names no limit.
const defaultMaxBody = 4 << 20

// ServeHTTP carries one request. It is no mux: paths go to targets as they came,
// and a mux would redirect those that it finds unclean.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.control.Leaving() {
		// Connections end one by one, each with its next answer. Closing idle ones at
		// once would cross requests that are on their way.
		w.Header().Set("Connection", "close")
	}
	out := &responder{w: w, flush: http.NewResponseController(w), now: s.now}
	call := s.decoder.Call(r)
	match, refusal := s.relay.Match(call)
	if refusal != code.OK {
		s.refuse(out, call, refusal)
		return
	}
	limit := match.MaxBodyBytes
	if limit == 0 {
		limit = defaultMaxBody
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	switch {
	case err != nil:
		s.refuse(out, call, code.BadBody)
		return
	case int64(len(body)) > limit:
		s.refuse(out, call, code.BodyTooLarge)
		return
	}
	s.relay.Serve(r.Context(), match, body, out)
	if out.cut {
		panic(http.ErrAbortHandler) // closes the connection without ending the answer
	}
}

func (s *Server) refuse(out *responder, call *gateway.Call, c code.Code) {
	s.refused(c)
	out.Refuse(c, gateway.RetryAfter(c, call.Budget))
}

// ReadinessHandler serves the balancer's check at a path.
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

// responder writes answers to one caller.
type responder struct {
	w         http.ResponseWriter
	flush     *http.ResponseController
	now       func() time.Time
	streaming bool // the body has no length
	cut       bool
}

// callerStall is how long a caller may take no bytes before its request counts as
// given up. A connection that something between the ends has forgotten neither
// takes bytes nor fails.
const callerStall = 5 * time.Second

// hopByHop are headers that concern one connection only, and those that this side
// sets itself.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Transfer-Encoding": true,
	"Te": true, "Trailer": true, "Upgrade": true, "Content-Length": true,
}

// Begin sends status and header.
func (o *responder) Begin(status int, header http.Header, length int64) {
	h := o.w.Header()
	for name, values := range header {
		if !hopByHop[name] {
			h[name] = values
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // or the server would guess one
	}
	o.streaming = length < 0
	if !o.streaming {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	o.w.WriteHeader(status)
}

// Write sends part of the body.
func (o *responder) Write(p []byte) error {
	_ = o.flush.SetWriteDeadline(o.now().Add(callerStall))
	if _, err := o.w.Write(p); err != nil {
		return err
	}
	if o.streaming {
		return o.flush.Flush()
	}
	return nil
}

// Refuse answers with a result code.
func (o *responder) Refuse(c code.Code, retryAfter time.Duration) {
	if c == code.CallerGone {
		o.cut = true // nobody reads an answer
		return
	}
	if retryAfter > 0 {
		o.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	wire.WriteError(o.w, code.New(c, "request not served"))
}

// Cut closes the connection so that the answer has no end.
func (o *responder) Cut() { o.cut = true }
