// Package engine is a small stand-in for a model engine: continuous batching, a
// prefix cache in limited memory, streams that resume at an offset, and faults
// that are switched on over HTTP. Its answer is a function of the prompt, so
// that a caller can check that it got its own answer whole.
package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
	"github.com/hemlockdyke/hemlockdyke/internal/standin/fault"
	"github.com/hemlockdyke/hemlockdyke/internal/wire"
)

// Settings describe one engine.
type Settings struct {
	Name string
	// Step is the time between tokens.
	Step time.Duration
	// CacheTokens is how many prompt tokens the prefix cache holds.
	CacheTokens int
	// PrefillPerSecond is how many uncached prompt tokens are processed a second.
	PrefillPerSecond int
	// ChecksFencing refuses orders whose fencing number is older than the last.
	ChecksFencing bool
}

// Faults are the faults in force.
type Faults struct {
	Refuse      bool `json:"refuse"`      // turn requests away, promising that they did not run
	Silent      bool `json:"silent"`      // read requests and never answer
	CutAfter    int  `json:"cutAfter"`    // close the connection after this many tokens, once
	CrossOnce   bool `json:"crossOnce"`   // answer one request with another attempt's id
	StallMillis int  `json:"stallMillis"` // pause before the first token
}

// Order tells an engine to change.
type Order struct {
	Fencing  uint64    `json:"fencing"`
	Action   string    `json:"action"`
	Argument string    `json:"argument"`
	Expires  time.Time `json:"expires"`
}

// Status is what an engine reports of itself.
type Status struct {
	Name        string            `json:"name"`
	Open        int               `json:"open"`
	MaxOpen     int               `json:"maxOpen"`
	Served      int               `json:"served"`
	Prompt      int               `json:"promptTokens"`
	Reusable    int               `json:"reusableTokens"`
	Cached      int               `json:"cachedTokens"`
	State       map[string]string `json:"state"`
	Fencing     uint64            `json:"fencing"`
	OrdersDone  int               `json:"ordersDone"`
	OrdersStale int               `json:"ordersStale"`
}

// Server is one engine. It is safe for concurrent use.
type Server struct {
	settings Settings
	faults   fault.Switch[Faults]
	mu       sync.Mutex
	status   Status
	cache    prefixCache
	built    map[string]int // prompt tokens ever built for a chat, anywhere here
}

// New returns an idle engine.
func New(s Settings) *Server {
	return &Server{
		settings: s,
		status:   Status{Name: s.Name, State: map[string]string{}},
		cache:    newPrefixCache(s.CacheTokens),
		built:    make(map[string]int),
	}
}

// Handler returns the engine's HTTP interface.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", s.complete).Methods(http.MethodPost)
	r.HandleFunc("/status", s.getStatus).Methods(http.MethodGet)
	r.HandleFunc("/orders", s.order).Methods(http.MethodPost)
	r.Handle("/faults", &s.faults).Methods(http.MethodPut)
	return r
}

// Word returns token i of the answer to a prompt.
func Word(prompt string, i int) string {
	return fmt.Sprintf("%06x ", rendezvous.Mix(rendezvous.Hash(prompt), uint64(i))&0xffffff)
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	var req wire.ChatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults := s.takeFaults()
	if faults.Refuse {
		w.Header().Set(wire.HeaderNotExecuted, "true")
		http.Error(w, "not run", http.StatusServiceUnavailable)
		return
	}
	if faults.Silent {
		<-r.Context().Done()
		return
	}
	s.enter()
	defer s.leave()
	prompt := req.Prompt()
	wait := s.prefill(r.Header.Get(wire.HeaderChatID), len(prompt)/4+1)
	wait += time.Duration(faults.StallMillis) * time.Millisecond
	if !sleep(r, wait) {
		return
	}
	s.stream(w, r, req, prompt, faults)
}

// takeFaults returns the faults for one request; a fault that strikes once is
// switched off by it.
func (s *Server) takeFaults() Faults {
	return s.faults.Take(func(f *Faults) {
		f.CutAfter = 0
		f.CrossOnce = false
	})
}

func (s *Server) enter() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.Open++
	s.status.MaxOpen = max(s.status.MaxOpen, s.status.Open)
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.Open--
	s.status.Served++
}

// prefill looks the chat up in the prefix cache and returns the time that the
// missing tokens take.
func (s *Server) prefill(chat string, tokens int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	cached := min(s.cache.use(chat, tokens), tokens)
	s.status.Prompt += tokens
	s.status.Cached += cached
	s.status.Reusable += min(s.built[chat], tokens)
	s.built[chat] = max(s.built[chat], tokens)
	if s.settings.PrefillPerSecond == 0 {
		return 0
	}
	return time.Duration(float64(tokens-cached) / float64(s.settings.PrefillPerSecond) * float64(time.Second))
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, req wire.ChatRequest, prompt string, faults Faults) {
	from, _ := strconv.Atoi(r.Header.Get(wire.HeaderResumeFrom))
	echo := r.Header.Get(wire.HeaderAttemptID)
	if faults.CrossOnce {
		echo = "crossed-" + echo
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	for i := from; i < req.AnswerTokens(); i++ {
		if !sleep(r, s.settings.Step) {
			return
		}
		if faults.CutAfter > 0 && i-from >= faults.CutAfter {
			panic(http.ErrAbortHandler)
		}
		chunk := wire.NewChunk(echo, req.Model, Word(prompt, i), i)
		if err := wire.WriteEvent(w, chunk); err != nil {
			return
		}
		_ = flusher.Flush()
	}
	_ = wire.WriteEvent(w, wire.NewLastChunk(echo, req.Model, req.AnswerTokens()))
	_ = wire.WriteEndMarker(w)
}

func sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return r.Context().Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Server) getStatus(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.status)
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	stale := s.settings.ChecksFencing && o.Fencing < s.status.Fencing
	if stale || time.Now().After(o.Expires) {
		s.status.OrdersStale++
		http.Error(w, "old fencing number or expired order", http.StatusConflict)
		return
	}
	s.status.Fencing = max(s.status.Fencing, o.Fencing)
	s.status.OrdersDone++
	s.status.State[o.Action] = o.Argument
	w.WriteHeader(http.StatusNoContent)
}
