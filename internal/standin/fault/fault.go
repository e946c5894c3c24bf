// Package fault holds the injected faults of a stand-in. Tests set them over HTTP.
package fault

import (
	"encoding/json"
	"net/http"
	"sync"
)

// Switch holds the injected faults of one stand-in as a value of type T. It is an http.Handler
// that replaces the value by the JSON body of a request. It is safe for concurrent use.
type Switch[T any] struct {
	mu    sync.Mutex
	value T
}

// Current returns the current faults.
func (s *Switch[T]) Current() T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value
}

// GetAndUpdate atomically returns the current faults and applies update to them. It serves faults
// that affect a single request.
func (s *Switch[T]) GetAndUpdate(update func(*T)) T {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.value
	update(&s.value)
	return before
}

// ServeHTTP replaces the faults by the JSON body of the request.
func (s *Switch[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var v T
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.value = v
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
