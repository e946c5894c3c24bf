package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// plainWorker is a worker of a plain service. It runs a request for a fixed time, and runs as many at
// once as it has slots; it refuses what does not fit into its queue.
type plainWorker struct {
	id, address string
	slots       chan struct{}
	queue       int64
	work        time.Duration
	record      *record
	onRun       func(r *http.Request, id string)
	waiting     atomic.Int64
}

func newPlainWorker(id, ip string, slots, queue int, work time.Duration, rec *record, onRun func(*http.Request, string)) *plainWorker {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannotRun("worker: %v", err)
	}
	w := &plainWorker{id: id, address: l.Addr().String(), slots: make(chan struct{}, slots), queue: int64(queue), work: work, record: rec, onRun: onRun}
	s := &http.Server{Handler: w, IdleTimeout: 5 * time.Second}
	go func() { _ = s.Serve(l) }()
	return w
}

func (p *plainWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Hemlockdyke-Request-Id")
	h := w.Header()
	h.Set("Hemlockdyke-Request-Id", id)
	h.Set("Keep-Alive", "timeout=5")
	if r.Header.Get("Hemlockdyke-Expected-Instance") != p.id {
		h.Set("Hemlockdyke-Instance", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if p.waiting.Add(1) > p.queue+int64(cap(p.slots)) {
		p.waiting.Add(-1)
		h.Set("Hemlockdyke-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.slots <- struct{}{}
	defer func() { <-p.slots; p.waiting.Add(-1) }()
	p.onRun(r, id)
	p.record.line("run      %s at %s: %s %s, tenant %q, body %d bytes", id, p.id, r.Method, r.URL.Path, r.Header.Get("Hemlockdyke-Tenant"), len(body))
	time.Sleep(p.work)
	h.Set("Hemlockdyke-Response-Seal", "seal-"+id)
	_, _ = io.WriteString(w, strings.Repeat("r", 800))
}

// callerSpec is one request of a caller.
type callerSpec struct {
	method, path, key string
	body              int
	deadline          time.Duration
}

// caller sends requests on kept channels.
type caller struct {
	target string
	record *record
	http   *http.Client
	closed bool // the last answer closed its channel
}

func newCaller(target string, rec *record) *caller {
	return &caller{target: target, record: rec, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 12 * time.Second}}}
}

func newID() string { return fmt.Sprintf("%016x", 0x1c41d07be2000000+requestCount.Add(1)) }

// send sends a request and returns its status; 0 if there was no whole answer.
func (c *caller) send(id string, s callerSpec) int {
	req, err := http.NewRequest(s.method, "http://"+c.target+s.path, bytes.NewReader(make([]byte, s.body)))
	if err != nil {
		cannotRun("request: %v", err)
	}
	req.GetBody = nil
	req.Host = "ficu95.example"
	req.Header.Set("Hemlockdyke-Request-Id", id)
	req.Header.Set("Hemlockdyke-Deadline-Ms", fmt.Sprint(s.deadline.Milliseconds()))
	if s.key != "" {
		req.Header.Set("X-Api-Key", s.key)
	}
	c.http.Timeout = s.deadline
	c.record.line("sent     %s to %s: %s %s, key %q", id, c.target, s.method, s.path, s.key)
	resp, err := c.http.Do(req)
	if err != nil {
		c.record.line("answered %s: none, %v", id, err)
		return 0
	}
	defer resp.Body.Close()
	c.closed = resp.Close
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil {
		c.record.line("answered %s: %d, cut", id, resp.StatusCode)
		return 0
	}
	c.record.line("answered %s: %d, %d bytes, seal %q", id, resp.StatusCode, n, resp.Header.Get("Hemlockdyke-Response-Seal"))
	return resp.StatusCode
}

// counts counts by name.
type counts struct {
	mu sync.Mutex
	n  map[string]int
}

func newCounts() *counts { return &counts{n: map[string]int{}} }

func (c *counts) add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n[name]++
}

func (c *counts) get(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n[name]
}
