package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	usualGrace   = 8 // GracePeriodS at the start
	shorterGrace = 5 // after the settings file has changed
	idleChannels = 700
	channelPause = 8 * time.Second // under four fifths of IdleTimeoutMs
)

// graceCase: the settings file of a machine changes, with a SIGHUP; seconds later the machine is stopped, with
// the grace period that its settings file says.
func graceCase(c *caseRun) bool {
	rec := c.record
	c.store.put("op", "config", map[string]any{
		"Version": 7,
		"Routes":  []any{routeDoc("r-draft", "/lohu930/", "streaming", "pool", 10000, true), routeDoc("r-receipt", "/puxa403/", "unsafe", "recall", 1000, false)},
		"Services": []any{
			map[string]any{"Name": "pool", "HealthCheckPath": "/health", "ConnectionLimit": 370, "Protocol": "h1", "Tls": false, "Engine": map[string]any{
				"Slots": 64, "KvCacheTokens": 444000, "KvTokenBytes": 131072, "LinkBandwidthMbps": 550000.0, "Stride": 9, "Models": []any{map[string]any{"Name": "m"}}}},
			map[string]any{"Name": "recall", "HealthCheckPath": "/health", "ConnectionLimit": 110, "Protocol": "h1", "Tls": false},
		},
		"Limits":  limitsDoc(),
		"Tenants": []any{map[string]any{"Name": "hule930", "ApiKeys": []string{keyOne}, "Priority": 1}},
	})
	for i := range 4 {
		e := newEngine(fmt.Sprintf("i-7f3a91%02x", i), c.machines.ips[0], 64, 42, 155*time.Millisecond, rec)
		c.store.put("servers", e.id, entry{Service: "pool", Address: e.address, Zone: "hall-a", Version: "v1", Slots: 64, State: "ready", Seq: 1})
	}
	ran := newCounts()
	for i := range 3 {
		w := newPlainWorker(fmt.Sprintf("i-02d9e6%02x", i), c.machines.ips[0], 6, 24, 100*time.Millisecond, rec, func(_ *http.Request, id string) { ran.add(id) })
		c.store.put("servers", w.id, entry{Service: "recall", Address: w.address, Zone: "hall-a", Version: "v1", Slots: 6, State: "ready", Seq: 1})
	}
	c.startRouters()
	first := c.routers[0]
	b := newBalancer(c.routers)
	var over atomic.Bool
	var clients sync.WaitGroup
	free := &pacer{rate: 1e9}
	for range 6 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			cl := &client{path: "/lohu930/2f", bytes: 2000, record: rec, pacer: free}
			defer cl.close()
			for !over.Load() {
				if cl.conn == nil {
					cl.target = c.routers[b.choose(0)].front
				}
				if cl.send(10*time.Second) != "200" {
					time.Sleep(300 * time.Millisecond)
				}
			}
		}()
	}
	type cut struct {
		id     string
		sentAt time.Time
		after  time.Duration
	}
	var mu sync.Mutex
	var cuts []cut
	var answered atomic.Int64
	for range idleChannels {
		clients.Add(1)
		go func() {
			defer clients.Done()
			cl := newCaller("", rec)
			time.Sleep(time.Duration(rand.Float64() * float64(channelPause)))
			for !over.Load() {
				if cl.target == "" {
					cl.target = c.routers[b.choose(0)].front
				}
				id, sentAt := newID(), time.Now()
				status := cl.send(id, callerSpec{method: "POST", path: "/puxa403/2f", key: keyOne, body: 600, deadline: time.Second})
				if after := time.Since(sentAt); status == 0 && cl.target == first.front && after < time.Second {
					mu.Lock()
					cuts = append(cuts, cut{id, sentAt, after})
					mu.Unlock()
				}
				if status == 200 {
					answered.Add(1)
				}
				if status == 0 || cl.closed {
					cl.target = "" // the next channel goes where the balancer says
				}
				for end := time.Now().Add(channelPause); time.Now().Before(end) && !over.Load(); time.Sleep(100 * time.Millisecond) {
				}
			}
		}()
	}
	time.Sleep(channelPause + 2*time.Second)
	grace := usualGrace
	if c.trouble {
		grace = shorterGrace
		changed := strings.Replace(c.machines.settingsText(0, false), "GracePeriodS = 8", fmt.Sprintf("GracePeriodS = %d", grace), 1)
		if err := os.WriteFile(first.settings, []byte(changed), 0o600); err != nil {
			cannotRun("settings: %v", err)
		}
		first.signal(syscall.SIGHUP)
		rec.line("trouble  the settings file of %s changes: GracePeriodS = %d, SIGHUP", first.name, grace)
	}
	time.Sleep(4 * time.Second)
	rec.line("platform SIGTERM to %s, SIGKILL after %d s", first.name, grace)
	termAt := time.Now()
	first.signal(syscall.SIGTERM)
	select {
	case <-first.exited:
		rec.line("platform %s has ended %.1f s after SIGTERM", first.name, time.Since(termAt).Seconds())
	case <-time.After(time.Duration(grace) * time.Second):
		first.signal(syscall.SIGKILL)
		<-first.exited
		rec.line("platform SIGKILL to %s", first.name)
	}
	endedAt := time.Now()
	time.Sleep(1500 * time.Millisecond)
	over.Store(true)
	clients.Wait()
	lost := 0
	for _, x := range cuts {
		since := x.sentAt.Sub(termAt)
		if since > 3*time.Second && ran.get(x.id) > 0 {
			lost++
			rec.line("BROKEN   LOST: %s, sent %.2f s after SIGTERM, was passed on to a worker and ran; its channel ended %d ms later without an answer", x.id, since.Seconds(), x.after.Milliseconds())
		}
	}
	rec.line("result   receipts answered: %d; lost: %d; the process ended %.1f s after SIGTERM", answered.Load(), lost, endedAt.Sub(termAt).Seconds())
	fmt.Printf("receipts answered: %d; lost: %d; the process ended %.1f s after SIGTERM\n", answered.Load(), lost, endedAt.Sub(termAt).Seconds())
	if answered.Load() == 0 {
		cannotRun("no request was served")
	}
	return lost > 0
}
