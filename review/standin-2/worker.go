//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is a request that a worker began to work on.
type run struct {
	worker  string
	id      string
	at      time.Time
	method  string
	uri     string
	header  http.Header
	bodyLen int
}

// worker is a stand-in for a worker of a service. It speaks HTTP/1.1 by hand, so that a case may let it
// answer in each way that the pages allow.
type worker struct {
	rig      *rig
	id       string
	service  string
	slots    int
	listener net.Listener
	// answer writes the answer to a request that the worker runs, and reports whether the channel stays open.
	// Nil is a plain sealed 200.
	answer func(w *worker, c net.Conn, r *run) bool

	mu    sync.Mutex
	conns map[net.Conn]bool
	seq   int
	runs  []*run
	state string
	gone  chan struct{}
}

func (g *rig) newWorker(id, service string, slots int) *worker {
	l, err := net.Listen("tcp", g.ip(200)+":0")
	check(err)
	w := &worker{rig: g, id: id, service: service, slots: slots, listener: l, conns: make(map[net.Conn]bool), state: "ready", gone: make(chan struct{})}
	g.workers = append(g.workers, w)
	w.beat()
	go w.serve()
	go func() {
		for {
			select {
			case <-time.After(heartbeat):
				w.beat()
			case <-w.gone:
				return
			}
		}
	}()
	return w
}

const heartbeat = 1200 * time.Millisecond

// beat writes the worker's entry into the store.
func (w *worker) beat() {
	w.mu.Lock()
	w.seq++
	entry := map[string]any{
		"Service": w.service, "Address": w.listener.Addr().String(), "Zone": "hall-a", "Version": "v1", "Slots": w.slots,
		"State": w.state, "ColdRemainingMs": 0, "Seq": w.seq,
	}
	first := w.seq == 1
	w.mu.Unlock()
	if first { // the entry changes when more than Seq changes
		w.rig.store.put("servers", w.id, entry)
	}
}

func (w *worker) serve() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = true
		w.mu.Unlock()
		go w.serveChannel(c)
	}
}

func (w *worker) serveChannel(c net.Conn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		n, err := io.Copy(io.Discard, req.Body)
		if err != nil {
			return
		}
		id := req.Header.Get("Hemlockdyke-Request-Id")
		if expected := req.Header.Get("Hemlockdyke-Expected-Instance"); expected != "" && expected != w.id {
			if _, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nHemlockdyke-Instance: %s\r\nContent-Length: 0\r\n\r\n", w.id); err != nil {
				return
			}
			continue
		}
		if req.URL.Path == "/health" {
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nHemlockdyke-Instance: %s\r\nContent-Length: 0\r\n\r\n", w.id); err != nil {
				return
			}
			continue
		}
		r := &run{worker: w.id, id: id, at: time.Now(), method: req.Method, uri: req.RequestURI, header: req.Header, bodyLen: int(n)}
		w.mu.Lock()
		w.runs = append(w.runs, r)
		answer := w.answer
		w.mu.Unlock()
		w.rig.note("worker %s runs %s %s %s tenant=%q body=%d", w.id, r.id, r.method, r.uri, r.header.Get("Hemlockdyke-Tenant"), n)
		if answer == nil {
			answer = plainAnswer(15*time.Millisecond, "ok")
		}
		if !answer(w, c, r) {
			return
		}
	}
}

const seal = "Hemlockdyke-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"

// plainAnswer works for a time and answers with a sealed 200.
func plainAnswer(work time.Duration, body string) func(*worker, net.Conn, *run) bool {
	return func(_ *worker, c net.Conn, r *run) bool {
		time.Sleep(work)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nHemlockdyke-Request-Id: %s\r\n%sKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s", r.id, seal, len(body), body)
		return err == nil
	}
}

// exit ends the worker as the end of its process does: its port refuses channels, and the open ones are closed.
func (w *worker) exit() {
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}
