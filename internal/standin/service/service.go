// Package service is a small stand-in for a plain application service. It counts
// how often each request ran, so that a test can see one that ran twice.
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

// Faults are the faults in force.
type Faults struct {
	Refuse        bool `json:"refuse"`        // turn requests away, promising that they did not run
	DropAfterRead bool `json:"dropAfterRead"` // run the request, then close without an answer
	Silent        bool `json:"silent"`        // run the request, then never answer
	DelayMillis   int  `json:"delayMillis"`   // answer late
}

// Server is the service; all its instances share the counts. It is safe for concurrent use.
type Server struct {
	faults fault.Switch[Faults]
	mu     sync.Mutex
	runs   map[string]int
}

// New returns a service that has run nothing.
func New() *Server { return &Server{runs: make(map[string]int)} }

// Handler returns the service's HTTP interface.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.Handle("/faults", &s.faults).Methods(http.MethodPut)
	r.HandleFunc("/runs", s.getRuns).Methods(http.MethodGet)
	r.PathPrefix("/").HandlerFunc(s.run)
	return r
}

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f := s.faults.Get()
	if f.Refuse {
		w.Header().Set(wire.HeaderNotExecuted, "true")
		http.Error(w, "not run", http.StatusServiceUnavailable)
		return
	}
	n := s.count(runKey(r))
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

// runKey is what makes two requests the same: the caller's key if there is one.
func runKey(r *http.Request) string {
	if key := r.Header.Get(wire.HeaderIdempotencyKey); key != "" {
		return "key/" + key
	}
	return "request/" + r.Header.Get(wire.HeaderRequestID)
}

func (s *Server) count(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key]++
	return s.runs[key]
}

func (s *Server) getRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.runs)
}
