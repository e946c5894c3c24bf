// Package table is a small stand-in for the platform's transactional table
// service, object store and VM list. Its faults are switched on over HTTP.
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

// Faults are the faults in force.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// DropReplies applies writes but closes the connection instead of replying.
	DropReplies bool `json:"dropReplies"`
	// DelayMillis is added before every call.
	DelayMillis int `json:"delayMillis"`
	// WritesPerSecond limits commits; 0 means no limit.
	WritesPerSecond int `json:"writesPerSecond"`
}

// Counts are the calls served so far.
type Counts struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Refused int `json:"refused"`
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	mu      sync.Mutex
	rows    map[string]port.Row
	objects map[string][]byte
	vms     fault.Switch[[]port.VM]
	version uint64
	faults  fault.Switch[Faults]
	counts  Counts
	second  time.Time
	inSec   int
}

// New returns an empty Server.
func New() *Server {
	return &Server{rows: make(map[string]port.Row), objects: make(map[string][]byte)}
}

// RegisterRoutes adds the stand-in's paths to r.
func (s *Server) RegisterRoutes(r *mux.Router) {
	r.HandleFunc("/table/get", s.get).Methods(http.MethodGet)
	r.HandleFunc("/table/scan", s.scan).Methods(http.MethodGet)
	r.HandleFunc("/table/commit", s.commit).Methods(http.MethodPost)
	r.HandleFunc("/objects/{name:.+}", s.getObject).Methods(http.MethodGet)
	r.HandleFunc("/objects/{name:.+}", s.putObject).Methods(http.MethodPut)
	r.HandleFunc("/vms", s.getVMs).Methods(http.MethodGet)
	r.Handle("/vms", &s.vms).Methods(http.MethodPut)
	r.Handle("/faults/platform", &s.faults).Methods(http.MethodPut)
	r.HandleFunc("/counts/platform", s.getCounts).Methods(http.MethodGet)
}

// Commit applies txn under the service's rules and returns ErrConflict if a condition fails.
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

// admit applies the faults common to all calls and reports whether to go on.
func (s *Server) admit(w http.ResponseWriter, write bool) (Faults, bool) {
	f := s.faults.Current()
	s.mu.Lock()
	refused := f.Down || (write && s.overLimit(f))
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

func (s *Server) overLimit(f Faults) bool {
	if f.WritesPerSecond == 0 {
		return false
	}
	now := time.Now().Truncate(time.Second)
	if !now.Equal(s.second) {
		s.second, s.inSec = now, 0
	}
	s.inSec++
	return s.inSec > f.WritesPerSecond
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.admit(w, false); !ok {
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

func (s *Server) scan(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.admit(w, false); !ok {
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

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	var txn port.Txn
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f, ok := s.admit(w, true)
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

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.admit(w, false); !ok {
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

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if _, ok := s.admit(w, true); !ok {
		return
	}
	s.mu.Lock()
	s.objects[mux.Vars(r)["name"]] = data
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getVMs(w http.ResponseWriter, _ *http.Request) {
	if _, ok := s.admit(w, false); !ok {
		return
	}
	writeJSON(w, s.vms.Current())
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.counts)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
