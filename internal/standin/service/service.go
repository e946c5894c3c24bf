// Package service is a small stand-in for a plain application service. It counts how often each
// request was executed, so that tests can detect a request that was executed twice.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/hemlockdyke/hemlockdyke/internal/standin/fault"
	"github.com/hemlockdyke/hemlockdyke/internal/wire"
)

// Faults are the injected faults of the service.
type Faults struct {
	Refuse        bool `json:"refuse"`        // refuse requests and mark them as not executed
	DropAfterRead bool `json:"dropAfterRead"` // execute the request, then close the connection without an answer
	Silent        bool `json:"silent"`        // execute the request but never answer
	DelayMillis   int  `json:"delayMillis"`   // delay before the answer
}

// Server is the service. All instances share its counts. It is safe for concurrent use.
type Server struct {
	faults     fault.Setting[Faults]
	mu         sync.Mutex
	executions map[string]int // executions by request key
}

// New returns a service that has executed no request.
func New() *Server { return &Server{executions: make(map[string]int)} }

// Handler returns the HTTP handler of the service.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.Handle("/faults", &s.faults).Methods(http.MethodPut)
	r.HandleFunc("/runs", s.handleExecutions).Methods(http.MethodGet)
	r.PathPrefix("/").HandlerFunc(s.handleRequest)
	return r
}

// handleRequest counts and answers a request of any path.
func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f := s.faults.Current()
	if f.Refuse {
		w.Header().Set(wire.HeaderNotExecuted, "true")
		http.Error(w, "request not executed", http.StatusServiceUnavailable)
		return
	}
	n := s.countExecution(requestKey(r))
	if f.Silent {
		<-r.Context().Done()
		return
	}
	if f.DropAfterRead {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
	w.Header().Set(wire.HeaderAttemptID, r.Header.Get(wire.HeaderAttemptID))
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"path":%q,"bytes":%d,"run":%d}`, r.URL.Path, len(body), n)
}

// requestKey identifies a request: by the idempotency key of the caller if there is one, otherwise
// by the request ID, which all attempts of a request share.
func requestKey(r *http.Request) string {
	if key := r.Header.Get(wire.HeaderIdempotencyKey); key != "" {
		return "key/" + key
	}
	return "request/" + r.Header.Get(wire.HeaderRequestID)
}

// countExecution counts an execution of a request and returns the new count.
func (s *Server) countExecution(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[key]++
	return s.executions[key]
}

func (s *Server) handleExecutions(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.executions)
}
