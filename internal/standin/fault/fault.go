// Package fault holds values of a stand-in that tests set over HTTP, mostly its injected faults.
package fault

import (
	"encoding/json"
	"net/http"
	"sync"
)

// Setting holds one value of type T, such as the injected faults of a stand-in. It is an
// http.Handler that replaces the value by the JSON body of a request. It is safe for concurrent
// use.
type Setting[T any] struct {
	mu    sync.Mutex
	value T
}

// Current returns the current value.
func (s *Setting[T]) Current() T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value
}

// GetAndUpdate atomically returns the current value and applies update to it. It serves faults that
// affect a single request.
func (s *Setting[T]) GetAndUpdate(update func(*T)) T {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.value
	update(&s.value)
	return before
}

// ServeHTTP replaces the value by the JSON body of the request.
func (s *Setting[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
