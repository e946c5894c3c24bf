//go:build review

package main

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// row is a row of a table of the platform's store.
type row struct {
	Table      string
	Part       string `json:"part"`
	Key        string
	Value      []byte `json:",omitempty"`
	RowVersion uint64 `json:",omitempty"`
	Removed    bool   `json:",omitempty"`
}

// store is a small stand-in for the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	address string
	server  *http.Server
	begin   time.Time

	mu      sync.Mutex
	changed chan struct{} // closed and replaced at each change
	version uint64
	rows    map[[2]string]row
	history []row
}

func newStore(ip string) *store {
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	s := &store{address: l.Addr().String(), begin: time.Now(), changed: make(chan struct{}), rows: make(map[[2]string]row)}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s
}

// put writes a row for the operator or a worker, and returns when the store has confirmed it.
func (s *store) put(table, key string, value any) uint64 {
	data, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(row{Table: table, Key: key, Value: data})
}

// write applies one change. s.mu must be held.
func (s *store) write(r row) uint64 {
	s.version++
	r.RowVersion = s.version
	if r.Removed {
		delete(s.rows, [2]string{r.Table, r.Key})
	} else {
		s.rows[[2]string{r.Table, r.Key}] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	switch r.URL.Path {
	case "/rows-get":
		s.get(w, r)
	case "/rows-feed":
		s.feed(w, r)
	case "/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// reply writes an answer. s.mu must be held.
func (s *store) reply(w http.ResponseWriter, status int, rows []row, more bool) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if rows == nil {
		rows = []row{}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"Rows": rows, "HasMore": more, "RowVersion": s.version, "NowMs": time.Since(s.begin).Milliseconds()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("Limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for k, v := range s.rows {
		if k[0] == q.Get("Table") && v.Part == q.Get("part") && k[1] >= q.Get("From") && (q.Get("To") == "" || k[1] < q.Get("To")) {
			rows = append(rows, v)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	s.reply(w, http.StatusOK, rows, more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	over := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		var rows []row
		for _, h := range s.history {
			if h.RowVersion > after && h.Table == q.Get("Table") {
				rows = append(rows, h)
			}
		}
		if len(rows) > 0 {
			s.reply(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-over:
			s.mu.Lock()
			s.reply(w, http.StatusOK, nil, false)
			s.mu.Unlock()
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct{ Expected, Puts, Remove []row }
	data, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil || json.Unmarshal(data, &tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, list := range [][]row{tx.Puts, tx.Remove} {
		for _, p := range list {
			if p.Table == "op" || p.Table == "servers" {
				w.WriteHeader(http.StatusForbidden)
				return
			}
		}
	}
	for _, e := range tx.Expected {
		if s.rows[[2]string{e.Table, e.Key}].RowVersion != e.RowVersion {
			s.reply(w, http.StatusPreconditionFailed, nil, false)
			return
		}
	}
	for _, p := range tx.Puts {
		s.write(p)
	}
	for _, p := range tx.Remove {
		p.Removed = true
		s.write(p)
	}
	s.reply(w, http.StatusOK, nil, false)
}

// gate is the path of one router to the store. While it is cut, it resets every channel.
type gate struct {
	address string
	cut     atomic.Bool
}

// newGate opens a path to the store.
func (s *store) newGate(ip string) *gate {
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	g := &gate{address: l.Addr().String()}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if g.cut.Load() {
				panic(http.ErrAbortHandler)
			}
			ctx, cancel := context.WithCancel(r.Context())
			defer cancel()
			go func() { // a call that waits for changes ends with the path
				for ctx.Err() == nil {
					if g.cut.Load() {
						cancel()
					}
					time.Sleep(5 * time.Millisecond)
				}
			}()
			s.ServeHTTP(w, r.WithContext(ctx))
			if g.cut.Load() {
				panic(http.ErrAbortHandler)
			}
		}))
	}()
	return g
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Removed: true})
}
