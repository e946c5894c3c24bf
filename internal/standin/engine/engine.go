// Package engine is a small stand-in for a model engine. It simulates prompt and token times and a
// prefix cache of limited size, resumes streams at an offset, and has faults that are set over
// HTTP. Its answer is a function of the prompt, so that a caller can check that an answer is
// complete and belongs to its own request.
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

// Settings are the settings of one engine.
type Settings struct {
	Name string
	// TimePerToken is the time between two tokens of an answer.
	TimePerToken time.Duration
	// CacheTokens is the capacity of the prefix cache in prompt tokens.
	CacheTokens int
	// PrefillTokensPerSecond is the rate at which uncached prompt tokens are processed; 0 means at
	// once.
	PrefillTokensPerSecond int
	// ChecksFencing makes the engine refuse orders whose fencing token is lower than the highest
	// one that it has accepted.
	ChecksFencing bool
}

// Faults are the injected faults of an engine.
type Faults struct {
	Refuse         bool `json:"refuse"`      // refuse requests and mark them as not executed
	Silent         bool `json:"silent"`      // read requests but never answer
	CutAfterTokens int  `json:"cutAfter"`    // close the connection after this many tokens, for one request
	MismatchOnce   bool `json:"crossOnce"`   // answer one request with the ID of another attempt
	StallMillis    int  `json:"stallMillis"` // additional delay before the first token
}

// Order is an instruction to an engine, such as to load a model version or to drain. An engine
// refuses an order after ExpiresAt.
type Order struct {
	FencingToken uint64    `json:"fencing"`
	Action       string    `json:"action"`
	Argument     string    `json:"argument"`
	ExpiresAt    time.Time `json:"expires"`
}

// Status is the state and the counters that an engine reports. State holds the argument of the
// last order of each action.
type Status struct {
	Name            string            `json:"name"`
	OpenRequests    int               `json:"open"`
	MaxOpenRequests int               `json:"maxOpen"`
	ServedRequests  int               `json:"served"`
	PromptTokens    int               `json:"promptTokens"`
	ReusableTokens  int               `json:"reusableTokens"`
	CachedTokens    int               `json:"cachedTokens"`
	State           map[string]string `json:"state"`
	FencingToken    uint64            `json:"fencing"`
	OrdersExecuted  int               `json:"ordersDone"`
	OrdersRefused   int               `json:"ordersStale"`
}

// Server is one engine. It is safe for concurrent use.
type Server struct {
	settings       Settings
	faults         fault.Setting[Faults]
	mu             sync.Mutex
	status         Status
	cache          prefixCache
	longestPrompts map[string]int // longest prompt of each chat so far, in tokens
}

// New returns an engine without requests.
func New(s Settings) *Server {
	return &Server{
		settings:       s,
		status:         Status{Name: s.Name, State: map[string]string{}},
		cache:          newPrefixCache(s.CacheTokens),
		longestPrompts: make(map[string]int),
	}
}

// Handler returns the HTTP handler of the engine.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", s.handleCompletion).Methods(http.MethodPost)
	r.HandleFunc("/status", s.handleStatus).Methods(http.MethodGet)
	r.HandleFunc("/orders", s.handleOrder).Methods(http.MethodPost)
	r.Handle("/faults", &s.faults).Methods(http.MethodPut)
	return r
}

// AnswerToken returns token i of the answer to a prompt.
func AnswerToken(prompt string, i int) string {
	return fmt.Sprintf("%06x ", rendezvous.Mix(rendezvous.Hash(prompt), uint64(i))&0xffffff)
}

func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var req wire.ChatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults := s.nextFaults()
	if faults.Refuse {
		w.Header().Set(wire.HeaderNotExecuted, "true")
		http.Error(w, "request not executed", http.StatusServiceUnavailable)
		return
	}
	if faults.Silent {
		<-r.Context().Done()
		return
	}
	s.beginRequest()
	defer s.endRequest()
	prompt := req.Prompt()
	wait := s.prefill(r.Header.Get(wire.HeaderChatID), len(prompt)/4+1)
	wait += time.Duration(faults.StallMillis) * time.Millisecond
	if !sleep(r, wait) {
		return
	}
	s.stream(w, r, req, prompt, faults)
}

// nextFaults returns the faults that apply to the next request and clears those that affect a
// single request.
func (s *Server) nextFaults() Faults {
	return s.faults.GetAndUpdate(func(f *Faults) {
		f.CutAfterTokens = 0
		f.MismatchOnce = false
	})
}

// beginRequest counts a request as open.
func (s *Server) beginRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.OpenRequests++
	s.status.MaxOpenRequests = max(s.status.MaxOpenRequests, s.status.OpenRequests)
}

// endRequest counts an open request as served.
func (s *Server) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.OpenRequests--
	s.status.ServedRequests++
}

// prefill stores the prompt in the prefix cache and returns the time that its uncached tokens take.
func (s *Server) prefill(chat string, tokens int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	cached := min(s.cache.getAndPut(chat, tokens), tokens)
	s.status.PromptTokens += tokens
	s.status.CachedTokens += cached
	s.status.ReusableTokens += min(s.longestPrompts[chat], tokens)
	s.longestPrompts[chat] = max(s.longestPrompts[chat], tokens)
	if s.settings.PrefillTokensPerSecond == 0 {
		return 0
	}
	return time.Duration(float64(tokens-cached) / float64(s.settings.PrefillTokensPerSecond) * float64(time.Second))
}

// stream writes the answer from the offset that the request asks for.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, req wire.ChatRequest, prompt string, faults Faults) {
	from, _ := strconv.Atoi(r.Header.Get(wire.HeaderResumeFrom))
	attemptID := r.Header.Get(wire.HeaderAttemptID)
	if faults.MismatchOnce {
		attemptID = "crossed-" + attemptID
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	for i := from; i < req.AnswerTokens(); i++ {
		if !sleep(r, s.settings.TimePerToken) {
			return
		}
		if faults.CutAfterTokens > 0 && i-from >= faults.CutAfterTokens {
			panic(http.ErrAbortHandler)
		}
		chunk := wire.NewChunk(attemptID, req.Model, AnswerToken(prompt, i), i)
		if err := wire.WriteEvent(w, chunk); err != nil {
			return
		}
		_ = flusher.Flush()
	}
	_ = wire.WriteEvent(w, wire.NewLastChunk(attemptID, req.Model, req.AnswerTokens()))
	_ = wire.WriteEndMarker(w)
}

// sleep waits for d and reports whether the request is still open.
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

func (s *Server) handleStatus(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.status)
}

// handleOrder executes an order, unless it has expired or its fencing token is out of date.
func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	stale := s.settings.ChecksFencing && o.FencingToken < s.status.FencingToken
	if stale || time.Now().After(o.ExpiresAt) {
		s.status.OrdersRefused++
		http.Error(w, "order expired or its fencing token is out of date", http.StatusConflict)
		return
	}
	s.status.FencingToken = max(s.status.FencingToken, o.FencingToken)
	s.status.OrdersExecuted++
	s.status.State[o.Action] = o.Argument
	w.WriteHeader(http.StatusNoContent)
}
