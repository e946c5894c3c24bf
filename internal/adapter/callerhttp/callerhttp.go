// Package callerhttp is the HTTP interface for callers of the router outside the users' platform;
// package gatewayhttp is that of the router on it. It serves chat completions of model pools,
// requests to service pools, and the health checks of the platform's balancer.
package callerhttp

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/target"
	"github.com/hemlockdyke/hemlockdyke/internal/app/router"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fairqueue"
	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	"github.com/hemlockdyke/hemlockdyke/internal/core/routing"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
	"github.com/hemlockdyke/hemlockdyke/internal/wire"
)

// Settings limits requests of callers.
type Settings struct {
	MaxBodyBytes    int64
	DefaultDeadline time.Duration // from the arrival of a request that sets no deadline
}

// Observer records the result of each request.
type Observer interface {
	RecordResult(req router.Request, result router.Result)
}

// Server serves callers. It is safe for concurrent use.
type Server struct {
	settings  Settings
	control   *router.Control
	forwarder *router.Forwarder
	claims    *router.Claims
	observer  Observer
	log       *eventlog.Log
	now       func() time.Time
}

// New returns a Server.
func New(s Settings, control *router.Control, forwarder *router.Forwarder, claims *router.Claims, observer Observer, log *eventlog.Log, now func() time.Time) *Server {
	return &Server{settings: s, control: control, forwarder: forwarder, claims: claims, observer: observer, log: log, now: now}
}

// Handler returns the HTTP handler for callers and the balancer.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	r.HandleFunc("/readyz", s.readyz)
	r.HandleFunc("/v1/chat/completions", s.serveChat).Methods(http.MethodPost)
	r.HandleFunc("/services/{pool}/{path:.*}", s.serveService)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.fail(w, requestID(r), code.New(code.NotFound, "no such path"), 0)
	})
	return s.closeWhenShuttingDown(r)
}

// closeWhenShuttingDown closes each connection after its next answer while the router is
// shutting down. If the server closed all idle connections at once, some would be closed while a
// request is on its way, and the caller couldn't know whether that request was executed.
func (s *Server) closeWhenShuttingDown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.control.Ready().Reason == code.ShuttingDown {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// readyz serves the readiness check of the balancer.
func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	ready := s.control.Ready()
	if !ready.Ready {
		s.fail(w, "", code.New(ready.Reason, "not ready"), 0)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

// maxIDBytes bounds the request ids and idempotency keys that callers choose.
const maxIDBytes = 128

// requestID returns the id that the caller chose, or a new one.
func requestID(r *http.Request) string {
	id := r.Header.Get(wire.HeaderRequestID)
	if id == "" {
		return uuid.NewString()
	}
	return id
}

// parseRequest reads the headers and the body that chat and service requests have in common. On
// an error the returned request still has its ID.
func (s *Server) parseRequest(r *http.Request) (router.Request, error) {
	req := router.Request{ID: requestID(r), Team: r.Header.Get(wire.HeaderTeam), Method: r.Method}
	if len(req.ID) > maxIDBytes {
		return req, code.New(code.BadHeader, "%s is longer than %d bytes", wire.HeaderRequestID, maxIDBytes)
	}
	if _, ok := s.control.Table().Team(req.Team); !ok {
		return req, code.New(code.UnknownTeam, "no team %q", req.Team)
	}
	priority, err := parsePriority(r.Header.Get(wire.HeaderPriority))
	if err != nil {
		return req, err
	}
	req.Priority = priority
	deadline, err := s.parseDeadline(r.Header.Get(wire.HeaderDeadline))
	if err != nil {
		return req, err
	}
	req.Deadline = s.now().Add(deadline)
	if chat := r.Header.Get(wire.HeaderChatID); chat != "" {
		req.Chat = rendezvous.Hash(req.Team + "/" + chat)
	} else {
		req.Chat = rendezvous.Hash(req.ID)
	}
	req.Body, err = s.readBody(r)
	return req, err
}

func parsePriority(v string) (fairqueue.Priority, error) {
	switch v {
	case "urgent":
		return fairqueue.Urgent, nil
	case "", "normal":
		return fairqueue.Normal, nil
	case "bulk":
		return fairqueue.Bulk, nil
	}
	return 0, code.New(code.BadHeader, "%s is not urgent, normal or bulk", wire.HeaderPriority)
}

// maxDeadline is the longest deadline that a caller may set.
const maxDeadline = time.Hour

// parseDeadline returns the time from the arrival of a request to its deadline.
func (s *Server) parseDeadline(v string) (time.Duration, error) {
	if v == "" {
		return s.settings.DefaultDeadline, nil
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return 0, code.New(code.BadHeader, "%s is not between 1 and %d ms", wire.HeaderDeadline, maxDeadline.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func (s *Server) readBody(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, s.settings.MaxBodyBytes+1))
	if err != nil {
		return nil, code.New(code.BadBody, "can't read body: %s", err)
	}
	if int64(len(body)) > s.settings.MaxBodyBytes {
		return nil, code.New(code.BodyTooLarge, "body is larger than %d bytes", s.settings.MaxBodyBytes)
	}
	return body, nil
}

// serveChat serves requests to model pools.
func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	req, err := s.parseRequest(r)
	if err != nil {
		s.fail(w, req.ID, err, 0)
		return
	}
	var body wire.ChatRequest
	if err := json.Unmarshal(req.Body, &body); err != nil {
		s.fail(w, req.ID, code.New(code.BadBody, "%s", err), 0)
		return
	}
	pool, ok := s.control.Table().PoolForModel(body.Model)
	if !ok {
		s.fail(w, req.ID, code.New(code.UnknownPool, "no pool serves model %q", body.Model), 0)
		return
	}
	req.Pool, req.Idempotent, req.Stream = pool, true, true
	req.Path = "/v1/chat/completions"
	req.Header = forwardHeader(r, wire.HeaderChatID, wire.HeaderPriority, "Content-Type")
	if body.Stream {
		s.streamChat(w, r, req, body.Model)
	} else {
		s.unstreamedChat(w, r, req, body.Model)
	}
}

// forwardHeader returns the named headers of a request, to be sent to a target.
func forwardHeader(r *http.Request, names ...string) http.Header {
	h := make(http.Header)
	for _, name := range names {
		if v := r.Header.Get(name); v != "" {
			h.Set(name, v)
		}
	}
	return h
}

// callerWriteTimeout bounds each write to a caller. If a middlebox has dropped the connection,
// writes neither fail nor complete, and the request would count as open at its target forever.
const callerWriteTimeout = 30 * time.Second

// streamChat answers with server-sent events, one for each token as it arrives.
func (s *Server) streamChat(w http.ResponseWriter, r *http.Request, req router.Request, model string) {
	controller := http.NewResponseController(w)
	parts := 0
	result := s.forwarder.Forward(r.Context(), req, func(a target.Answer) error {
		if parts == 0 {
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set(wire.HeaderRequestID, req.ID)
			w.WriteHeader(http.StatusOK)
		}
		_ = controller.SetWriteDeadline(s.now().Add(callerWriteTimeout))
		if err := wire.WriteEvent(w, wire.NewChunk(req.ID, model, a.Text, parts)); err != nil {
			return err
		}
		parts++
		return controller.Flush()
	})
	// Later requests on this connection must not inherit the write deadline.
	_ = controller.SetWriteDeadline(time.Time{})
	s.recordResult(req, result)
	switch {
	case result.Code == code.OK:
		_ = wire.WriteEvent(w, wire.NewLastChunk(req.ID, model, parts))
		_ = wire.WriteEndMarker(w)
	case parts == 0:
		s.fail(w, req.ID, code.New(result.Code, "request %s failed", req.ID), result.RetryAfter)
	default:
		// The status has been sent. An error event instead of the end marker tells the caller
		// that the answer is incomplete.
		_ = wire.WriteEvent(w, wire.NewErrorBody(code.New(result.Code, "request %s failed", req.ID)))
	}
}

// unstreamedChat answers with a single JSON body when all tokens have arrived.
func (s *Server) unstreamedChat(w http.ResponseWriter, r *http.Request, req router.Request, model string) {
	var text strings.Builder
	result := s.forwarder.Forward(r.Context(), req, func(a target.Answer) error {
		text.WriteString(a.Text)
		return nil
	})
	s.recordResult(req, result)
	if result.Code != code.OK {
		s.fail(w, req.ID, code.New(result.Code, "request %s failed", req.ID), result.RetryAfter)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(wire.HeaderRequestID, req.ID)
	_ = json.NewEncoder(w).Encode(wire.NewCompletion(req.ID, model, text.String()))
}

// serveService serves requests to service pools.
func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	req, err := s.parseRequest(r)
	if err != nil {
		s.fail(w, req.ID, err, 0)
		return
	}
	name := mux.Vars(r)["pool"]
	pool, ok := s.control.Table().Pool(name)
	if !ok || pool.Spec.Protocol != resource.ProtocolService {
		s.fail(w, req.ID, code.New(code.UnknownPool, "no service pool %q", name), 0)
		return
	}
	req.Pool = pool
	req.Idempotent = isIdempotent(r.Method, pool)
	req.Path = "/" + mux.Vars(r)["path"]
	if r.URL.RawQuery != "" {
		req.Path += "?" + r.URL.RawQuery
	}
	req.Header = forwardHeader(r, "Content-Type", "Accept", wire.HeaderIdempotencyKey)
	key := r.Header.Get(wire.HeaderIdempotencyKey)
	if key == "" || req.Idempotent {
		answer, result := s.runService(r, req)
		s.writeResult(w, req, answer, result)
		return
	}
	s.serveKeyed(w, r, req, key)
}

// isIdempotent reports whether a request may be executed more than once.
func isIdempotent(method string, pool *routing.Pool) bool {
	return method == http.MethodGet || method == http.MethodHead || pool.Spec.IdempotentWrites
}

// runService sends a request to a service pool and returns the target's answer.
func (s *Server) runService(r *http.Request, req router.Request) (target.Answer, router.Result) {
	var answer target.Answer
	result := s.forwarder.Forward(r.Context(), req, func(a target.Answer) error {
		answer = a
		return nil
	})
	s.recordResult(req, result)
	return answer, result
}

// writeResult answers with the target's answer, or with the result code if there is none.
func (s *Server) writeResult(w http.ResponseWriter, req router.Request, answer target.Answer, result router.Result) {
	if result.Code != code.OK {
		s.fail(w, req.ID, code.New(result.Code, "request %s failed", req.ID), result.RetryAfter)
		return
	}
	writeAnswer(w, req.ID, answer.Status, answer.Header.Get("Content-Type"), answer.Body)
}

func writeAnswer(w http.ResponseWriter, id string, status int, contentType string, body []byte) {
	if contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
	w.Header().Set(wire.HeaderRequestID, id)
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// recordResult reports the result of a request to the observer and logs it.
func (s *Server) recordResult(req router.Request, result router.Result) {
	s.observer.RecordResult(req, result)
	kind, info := eventlog.Finished, result.Code.Lookup()
	if result.Code != code.OK {
		kind = eventlog.Failed
	}
	s.log.Line(kind).Str("request", req.ID).Str("route", req.Pool.Name).Uint64("chat", req.Chat).Str("team", req.Team).
		Int("code", int(result.Code)).Str("name", info.Name).Str("ran", info.Execution.String()).Str("target", result.Target).
		Int("attempts", result.Attempts).Dur("first", result.FirstPartLatency).Dur("total", result.TotalDuration).
		Dur("budget", req.Deadline.Sub(s.now().Add(-result.TotalDuration))).Msg("")
}

// defaultRetryAfter is sent with status 503 if fail is called without a delay.
const defaultRetryAfter = time.Second

// fail answers with the result code of err. It sets a Retry-After header if retryAfter is not
// 0 or the status is 503. An error without a code is answered as code.OutcomeUnknown.
func (s *Server) fail(w http.ResponseWriter, id string, err error, retryAfter time.Duration) {
	var coded *code.Error
	if !errors.As(err, &coded) {
		coded = code.New(code.OutcomeUnknown, "%s", err)
	}
	if id != "" {
		w.Header().Set(wire.HeaderRequestID, id)
	}
	status := coded.Code.Lookup().Status
	if retryAfter == 0 && status == http.StatusServiceUnavailable {
		retryAfter = defaultRetryAfter
	}
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	wire.WriteError(w, coded)
}
