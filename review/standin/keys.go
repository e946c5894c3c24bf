package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The keys case: the operator takes away the keys of the only tenant, one after the other.

const (
	keyOne      = "n2ctnfzs989anu6wsjnb"
	keyTwo      = "anfqasnmgkcuyj8pjbvk"
	keyStranger = "zzzzzzzzzzzzzzzzzzzz" // no desired state ever held it
)

// configurationMs is ConfigurationMs of the settings.
const configurationMs = 2000

type sentRequest struct {
	key string
	at  time.Time
}

func keysCase(c *caseRun) bool {
	rec := c.record
	var mu sync.Mutex
	sent := map[string]sentRequest{}
	var revokedAt = map[string]time.Time{} // the store's confirmation
	broken := newCounts()
	onRun := func(r *http.Request, id string) {
		mu.Lock()
		defer mu.Unlock()
		s := sent[id]
		at, revoked := revokedAt[s.key]
		switch {
		case s.key == keyStranger:
			broken.add("ROUTE")
			rec.line("BROKEN   ROUTE: %s runs with a key that no desired state ever held", id)
		case revoked && s.at.Sub(at) > configurationMs*time.Millisecond:
			broken.add("CONFIG")
			rec.line("BROKEN   CONFIG: %s runs, sent %.1f s after the confirmation of the version that dropped its key", id, s.at.Sub(at).Seconds())
		}
	}
	version := 7
	writeConfig := func(keys []string) {
		c.store.put("op", "config", map[string]any{
			"Version": version,
			"Routes": []any{
				routeDoc("r-safe", "/cufi504/", "safe", "recall", 1000, false),
				routeDoc("r-unsafe", "/puxa403/", "unsafe", "recall", 1000, false),
			},
			"Services": []any{map[string]any{"Name": "recall", "HealthCheckPath": "/health", "ConnectionLimit": 110, "Protocol": "h1", "Tls": false}},
			"Limits":   limitsDoc(),
			"Tenants":  []any{map[string]any{"Name": "hule930", "ApiKeys": keys, "Priority": 1}},
		})
		rec.line("operator version %d, keys of the tenant hule930: %q", version, keys)
		version += 3
	}
	writeConfig([]string{keyOne, keyTwo})
	for i := range 3 {
		w := newPlainWorker(fmt.Sprintf("i-7f3a91c%d", i), c.machines.ips[0], 6, 24, 15*time.Millisecond, rec, onRun)
		c.store.put("servers", w.id, entry{Service: "recall", Address: w.address, Zone: "hall-a", Version: "v1", Slots: 6, State: "ready", Seq: 1})
	}
	c.startRouters()
	until := time.Now().Add(20 * time.Second)
	statuses := newCounts()
	var wg sync.WaitGroup
	for _, r := range c.routers {
		for _, key := range []string{keyOne, keyTwo, keyStranger} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				caller := newCaller(r.front, rec)
				for n := 0; time.Now().Before(until); n++ {
					s := callerSpec{method: "GET", path: "/cufi504/fi50/2f", key: key, deadline: time.Second}
					if n%2 == 1 {
						s = callerSpec{method: "POST", path: "/puxa403/2f", key: key, body: 600, deadline: time.Second}
					}
					id := newID()
					mu.Lock()
					sent[id] = sentRequest{key: key, at: time.Now()}
					mu.Unlock()
					statuses.add(fmt.Sprintf("key %s: %d", key[:4], caller.send(id, s)))
					time.Sleep(150 * time.Millisecond)
				}
			}()
		}
	}
	time.Sleep(5 * time.Second)
	if c.trouble {
		// revoke: count 2, gap_s 1.5, how last: first of all, a tenant loses all its keys.
		for _, step := range []struct {
			dropped string
			left    []string
		}{{keyOne, []string{keyTwo}}, {keyTwo, []string{}}} {
			writeConfig(step.left)
			mu.Lock()
			revokedAt[step.dropped] = time.Now()
			mu.Unlock()
			time.Sleep(1500 * time.Millisecond)
		}
	}
	wg.Wait()
	rec.line("result   answers: %v", statuses.n)
	rec.line("result   broken: ROUTE %d, CONFIG %d", broken.get("ROUTE"), broken.get("CONFIG"))
	fmt.Printf("answers: %v\nrequests that broke ROUTE: %d, CONFIG: %d\n", statuses.n, broken.get("ROUTE"), broken.get("CONFIG"))
	if statuses.get("key n2ct: 200") == 0 {
		cannotRun("no request was served")
	}
	return broken.get("ROUTE") > 0 || broken.get("CONFIG") > 0
}
