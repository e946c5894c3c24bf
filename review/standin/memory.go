package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// engine is a model engine: it reads a whole request, admits it if a slot is free and streams its events.
type engine struct {
	id, address string
	slots       int
	events      int
	every       time.Duration
	record      *record
	running     atomic.Int64
	mu          sync.Mutex
	ran         map[string]int
}

func newEngine(id, ip string, slots, events int, every time.Duration, rec *record) *engine {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannotRun("engine: %v", err)
	}
	e := &engine{id: id, address: l.Addr().String(), slots: slots, events: events, every: every, record: rec, ran: map[string]int{}}
	s := &http.Server{Handler: e, IdleTimeout: 5 * time.Second}
	go func() { _ = s.Serve(l) }()
	return e
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Hemlockdyke-Request-Id")
	h := w.Header()
	h.Set("Hemlockdyke-Request-Id", id)
	h.Set("Keep-Alive", "timeout=5")
	if want := r.Header.Get("Hemlockdyke-Expected-Instance"); want != e.id {
		w.WriteHeader(421)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	if e.running.Add(1) > int64(e.slots) {
		e.running.Add(-1)
		h.Set("Hemlockdyke-Not-Executed", "1")
		w.WriteHeader(503)
		return
	}
	defer e.running.Add(-1)
	e.mu.Lock()
	e.ran[id]++
	e.mu.Unlock()
	e.record.line("run      %s at %s, body %d bytes", id, e.id, n)
	h.Set("Hemlockdyke-Response-Seal", "seal-"+id)
	h.Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	c := http.NewResponseController(w)
	for i := first + 1; i <= e.events; i++ {
		select {
		case <-time.After(e.every):
		case <-r.Context().Done():
			e.record.line("dropped  %s at %s after %d events", id, e.id, i-1)
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 64))
		if c.Flush() != nil {
			return
		}
	}
}

// pacer bounds the bytes that clients send to one machine to what its link carries.
type pacer struct {
	mu   sync.Mutex
	free time.Time
	rate float64 // bytes a second
}

func (p *pacer) wait(n int) {
	p.mu.Lock()
	now := time.Now()
	if p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(time.Duration(float64(n) / p.rate * float64(time.Second)))
	at := p.free
	p.mu.Unlock()
	time.Sleep(time.Until(at))
}

// client sends requests one after another on a kept channel, and counts how they end.
type client struct {
	target string
	path   string
	bytes  int
	pacer  *pacer
	record *record
	conn   net.Conn
	reader *bufio.Reader
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

var requestCount atomic.Int64

// send sends one request and reads its answer.
func (c *client) send(deadline time.Duration) string {
	id := fmt.Sprintf("%016x", 0x1c41d07be2000000+requestCount.Add(1))
	kind := c.exchange(id, deadline)
	c.record.line("answered %s: %s", id, kind)
	return kind
}

func (c *client) exchange(id string, deadline time.Duration) string {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.target, time.Second)
		if err != nil {
			return "no connection"
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	c.record.line("sent     %s to %s, body %d bytes", id, c.target, c.bytes)
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: ficu95.example\r\nHemlockdyke-Request-Id: %s\r\nHemlockdyke-Model: m\r\nHemlockdyke-Token-Counts: 1460,400\r\nHemlockdyke-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,%s:250\r\nHemlockdyke-Deadline-Ms: %d\r\nX-Api-Key: n2ctnfzs989anu6wsjnb\r\nContent-Length: %d\r\n\r\n",
		c.path, id, id[8:], deadline.Milliseconds(), c.bytes)
	if _, err := io.WriteString(c.conn, head); err != nil {
		c.close()
		return "cut, no answer"
	}
	chunk := bytes.Repeat([]byte("b"), 64<<10)
	for left := c.bytes; left > 0; {
		n := min(left, len(chunk))
		c.pacer.wait(n)
		if _, err := c.conn.Write(chunk[:n]); err != nil {
			c.close()
			return "cut, no answer"
		}
		left -= n
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: "POST"})
	if err != nil {
		c.close()
		if strings.Contains(err.Error(), "timeout") {
			return "deadline"
		}
		return "cut, no answer"
	}
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if err != nil {
		c.close()
		if strings.Contains(err.Error(), "timeout") {
			return "deadline"
		}
		return "cut in the answer"
	}
	if resp.Close {
		c.close()
	}
	return strconv.Itoa(resp.StatusCode)
}

// balancer gives each new channel a machine that is in rotation: two misses of the readiness check in a row
// take a machine out, one answer brings it back.
type balancer struct {
	mu      sync.Mutex
	routers []*router
	out     []bool
}

func newBalancer(routers []*router) *balancer {
	b := &balancer{routers: routers, out: make([]bool, len(routers))}
	for i, r := range routers {
		go func() {
			for misses := 0; ; time.Sleep(time.Second) {
				misses++
				if r.isReady() {
					misses = 0
				}
				b.mu.Lock()
				b.out[i] = misses >= 2
				b.mu.Unlock()
			}
		}()
	}
	return b
}

// choose returns the machine for a new channel of a client.
func (b *balancer) choose(client int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.routers {
		if n := (client + i) % len(b.routers); !b.out[n] {
			return n
		}
	}
	return client % len(b.routers)
}

const (
	documentBytes = 4 << 20 // MaxBodyBytes of the desired state
	usualClients  = 8       // of the large tenant, for each machine
	hotFactor     = 7.5     // hot_tenant: x
	hotTime       = 6500 * time.Millisecond
	hotPeriods    = 4
	calmTime      = 7 * time.Second
)

// memoryCase: a tenant that sends documents of the largest size that the operator allows sends 7.5 times its
// usual. The platform kills each process whose memory exceeds MemoryMb, and starts it again.
func memoryCase(c *caseRun) bool {
	rec := c.record
	route := routeDoc("r-draft", "/lohu930/", "streaming", "pool", 10000, true)
	c.store.put("op", "config", map[string]any{
		"Version": 7,
		"Routes":  []any{route, routeDoc("r-receipt", "/puxa403/", "unsafe", "recall", 1000, false)},
		"Services": []any{
			map[string]any{"Name": "pool", "HealthCheckPath": "/health", "ConnectionLimit": 370, "Protocol": "h1", "Tls": false, "Engine": map[string]any{
				"Slots": 64, "KvCacheTokens": 444000, "KvTokenBytes": 131072, "LinkBandwidthMbps": 550000.0, "Stride": 9, "Models": []any{map[string]any{"Name": "m"}}}},
			map[string]any{"Name": "recall", "HealthCheckPath": "/health", "ConnectionLimit": 110, "Protocol": "h1", "Tls": false},
		},
		"Limits":  limitsDoc(),
		"Tenants": []any{map[string]any{"Name": "hule930", "ApiKeys": []string{keyOne}, "Priority": 1}},
	})
	for i := range 12 {
		e := newEngine(fmt.Sprintf("i-7f3a91%02x", i), c.machines.ips[0], 64, 42, 20*time.Millisecond, rec)
		c.store.put("servers", e.id, entry{Service: "pool", Address: e.address, Zone: "hall-a", Version: "v1", Slots: 64, State: "ready", Seq: 1})
	}
	ran, answered := newCounts(), newCounts()
	for i := range 3 {
		w := newPlainWorker(fmt.Sprintf("i-02d9e6%02x", i), c.machines.ips[0], 6, 24, 15*time.Millisecond, rec, func(_ *http.Request, id string) { ran.add(id) })
		c.store.put("servers", w.id, entry{Service: "recall", Address: w.address, Zone: "hall-a", Version: "v1", Slots: 6, State: "ready", Seq: 1})
	}
	c.startRouters()

	ends := make([]atomic.Int64, len(c.routers))
	peak := make([]atomic.Int64, len(c.routers))
	var over atomic.Bool
	var watchers sync.WaitGroup
	for i, r := range c.routers {
		watchers.Add(1)
		go func() {
			defer watchers.Done()
			for ; !over.Load(); time.Sleep(10 * time.Millisecond) {
				kb := int64(residentKB(r.pid()))
				peak[i].Store(max(peak[i].Load(), kb))
				if kb <= int64(r.memoryMb)<<10 {
					continue
				}
				r.signal(syscall.SIGKILL)
				<-r.exited
				rec.line("platform %s: memory %d MB, over MemoryMb %d: ended, end number %d", r.name, kb>>10, r.memoryMb, ends[i].Add(1))
				time.Sleep(500 * time.Millisecond)
				if !over.Load() {
					c.machines.start(i, r, false)
				}
			}
		}()
	}

	b := newBalancer(c.routers)
	pacers := make([]*pacer, len(c.routers))
	for i := range pacers {
		pacers[i] = &pacer{rate: 100e6} // under LinkBandwidthMbps, so that nothing waits at the link
	}
	outcomes := newCounts()
	var hot atomic.Bool
	var clients sync.WaitGroup
	total := int(usualClients * hotFactor * float64(len(c.routers)))
	for n := range total {
		clients.Add(1)
		go func() {
			defer clients.Done()
			usual := n < usualClients*len(c.routers)
			cl := &client{path: "/lohu930/2f", bytes: documentBytes, record: rec}
			defer cl.close()
			for !over.Load() {
				if !usual && !hot.Load() {
					cl.close()
					time.Sleep(50 * time.Millisecond)
					continue
				}
				if cl.conn == nil {
					at := b.choose(n)
					cl.target, cl.pacer = c.routers[at].front, pacers[at]
				}
				kind := cl.send(10 * time.Second)
				outcomes.add(kind)
				if kind != "200" {
					time.Sleep(300 * time.Millisecond)
				}
			}
		}()
	}
	for n := range 2 * len(c.routers) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for !over.Load() {
				caller := newCaller(c.routers[b.choose(n)].front, rec)
				for k := 0; k < 20 && !over.Load(); k++ {
					id := newID()
					if caller.send(id, callerSpec{method: "POST", path: "/puxa403/2f", key: keyOne, body: 600, deadline: time.Second}) != 0 {
						answered.add(id)
					}
					time.Sleep(20 * time.Millisecond)
				}
				caller.http.CloseIdleConnections()
			}
		}()
	}
	time.Sleep(5 * time.Second)
	for p := range hotPeriods {
		if c.trouble {
			rec.line("trouble  hot_tenant %d: x %.1f for %v", p+1, hotFactor, hotTime)
			hot.Store(true)
		}
		time.Sleep(hotTime)
		hot.Store(false)
		time.Sleep(calmTime)
	}
	over.Store(true)
	clients.Wait()
	watchers.Wait()
	lost := 0
	for id := range ran.n {
		if answered.get(id) == 0 {
			lost++
		}
	}
	thrice := 0
	for i, r := range c.routers {
		if ends[i].Load() >= 3 {
			thrice++
		}
		line := fmt.Sprintf("%s: ended %d times with its memory over %d MB, largest seen %d MB", r.name, ends[i].Load(), r.memoryMb, peak[i].Load()>>10)
		rec.line("result   %s", line)
		fmt.Println(line)
	}
	rec.line("result   documents: %v; receipts that ran and got no answer: %d of %d", outcomes.n, lost, len(ran.n))
	fmt.Printf("documents: %v\nreceipts that ran and got no answer: %d of %d\n", outcomes.n, lost, len(ran.n))
	if outcomes.get("200") == 0 {
		cannotRun("no request was served")
	}
	return thrice >= 2
}
