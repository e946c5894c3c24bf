// Package table is a small stand-in for the platform's transactional table service, object store
// and VM list. Tests set its faults over HTTP.
package table

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/hemlockdyke/hemlockdyke/internal/port"
	"github.com/hemlockdyke/hemlockdyke/internal/standin/fault"
)

// Faults are the injected faults of all three services.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// DropReplies applies commits but closes the connection instead of replying.
	DropReplies bool `json:"dropReplies"`
	// DelayMillis is a delay that is added to every call.
	DelayMillis int `json:"delayMillis"`
	// WritesPerSecond limits the writes of each second; further ones are refused. 0 means no limit.
	WritesPerSecond int `json:"writesPerSecond"`
}

// Counts are the numbers of calls served and refused so far.
type Counts struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Refused int `json:"refused"`
}

// Server is the stand-in of the three services. It is safe for concurrent use.
type Server struct {
	mu             sync.Mutex
	rows           map[string]port.Row
	objects        map[string][]byte
	vms            fault.Setting[[]port.VM] // the VM list, which tests set like the faults
	version        uint64
	faults         fault.Setting[Faults]
	counts         Counts
	currentSecond  time.Time // the second that writesInSecond counts
	writesInSecond int       // writes of this second, while there is a limit
}

// New returns a server without rows, objects and VMs.
func New() *Server {
	return &Server{rows: make(map[string]port.Row), objects: make(map[string][]byte)}
}

// RegisterRoutes adds the HTTP routes of the stand-in to r.
func (s *Server) RegisterRoutes(r *mux.Router) {
	r.HandleFunc("/table/get", s.handleGet).Methods(http.MethodGet)
	r.HandleFunc("/table/scan", s.handleScan).Methods(http.MethodGet)
	r.HandleFunc("/table/commit", s.handleCommit).Methods(http.MethodPost)
	r.HandleFunc("/objects/{name:.+}", s.handleGetObject).Methods(http.MethodGet)
	r.HandleFunc("/objects/{name:.+}", s.handlePutObject).Methods(http.MethodPut)
	r.HandleFunc("/vms", s.handleListVMs).Methods(http.MethodGet)
	r.Handle("/vms", &s.vms).Methods(http.MethodPut)
	r.Handle("/faults/platform", &s.faults).Methods(http.MethodPut)
	r.HandleFunc("/counts/platform", s.handleCounts).Methods(http.MethodGet)
}

// Commit applies txn, or returns port.ErrConflict and writes nothing if a condition fails.
func (s *Server) Commit(txn port.Txn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range txn.Conditions {
		if s.rows[c.Key].Version != c.Version {
			return port.ErrConflict
		}
	}
	s.version++
	for _, w := range txn.Writes {
		if w.Delete {
			delete(s.rows, w.Key)
			continue
		}
		s.rows[w.Key] = port.Row{Key: w.Key, Value: w.Value, Version: s.version}
	}
	return nil
}

// applyFaults applies the faults that are common to all calls and counts the call. It returns the
// faults and false if it has refused the call.
func (s *Server) applyFaults(w http.ResponseWriter, write bool) (Faults, bool) {
	f := s.faults.Current()
	s.mu.Lock()
	refused := f.Down || (write && s.countWrite(f))
	switch {
	case refused:
		s.counts.Refused++
	case write:
		s.counts.Writes++
	default:
		s.counts.Reads++
	}
	s.mu.Unlock()
	if f.DelayMillis > 0 {
		time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
	}
	if refused {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return f, false
	}
	return f, true
}

// countWrite counts a write and reports whether it exceeds the limit of the current second.
func (s *Server) countWrite(f Faults) bool {
	if f.WritesPerSecond == 0 {
		return false
	}
	now := time.Now().Truncate(time.Second)
	if !now.Equal(s.currentSecond) {
		s.currentSecond, s.writesInSecond = now, 0
	}
	s.writesInSecond++
	return s.writesInSecond > f.WritesPerSecond
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.applyFaults(w, false); !ok {
		return
	}
	s.mu.Lock()
	row, ok := s.rows[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such row", http.StatusNotFound)
		return
	}
	writeJSON(w, row)
}

func (s *Server) handleScan(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.applyFaults(w, false); !ok {
		return
	}
	prefix := r.URL.Query().Get("prefix")
	rows := []port.Row{}
	s.mu.Lock()
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	writeJSON(w, rows)
}

func (s *Server) handleCommit(w http.ResponseWriter, r *http.Request) {
	var txn port.Txn
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f, ok := s.applyFaults(w, true)
	if !ok {
		return
	}
	err := s.Commit(txn)
	if f.DropReplies {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleGetObject(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.applyFaults(w, false); !ok {
		return
	}
	s.mu.Lock()
	data, ok := s.objects[mux.Vars(r)["name"]]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	_, _ = w.Write(data)
}

func (s *Server) handlePutObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if _, ok := s.applyFaults(w, true); !ok {
		return
	}
	s.mu.Lock()
	s.objects[mux.Vars(r)["name"]] = data
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleListVMs(w http.ResponseWriter, _ *http.Request) {
	if _, ok := s.applyFaults(w, false); !ok {
		return
	}
	writeJSON(w, s.vms.Current())
}

func (s *Server) handleCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.counts)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
