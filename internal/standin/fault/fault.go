// Package fault holds the faults of a stand-in, which are switched on over HTTP.
package fault

import (
	"encoding/json"
	"net/http"
	"sync"
)

// Switch holds the faults in force. PUT replaces them by its JSON body. It is
// safe for concurrent use.
type Switch[T any] struct {
	mu    sync.Mutex
	value T
}

// Current returns the faults in force.
func (s *Switch[T]) Current() T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value
}

// GetAndUpdate returns the faults in force and changes them in the same instant, for
// faults that strike once.
func (s *Switch[T]) GetAndUpdate(change func(*T)) T {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.value
	change(&s.value)
	return before
}

// ServeHTTP replaces the faults.
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
