//go:build review

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

var cases = map[string]func(*rig) int{"gone-unread": goneUnread}

// goneUnread: all routers that read the store are killed at once; at that moment a worker's entry is removed, as it
// leaves without having reported that it drains.
func goneUnread(g *rig) int {
	const (
		drainMs  = 2000 * time.Millisecond // of the settings
		exitsAt  = drainMs + 60*time.Millisecond
		work     = 30 * time.Millisecond
		rounds   = 13
		dark     = 3 * time.Second // for_s of herd_kill
		inTouch  = 3 * time.Second // StabilityWindowMs
		watching = 2800 * time.Millisecond
	)
	for i := range 3 {
		g.newWorker(fmt.Sprintf("i-%d", i), "recall-api", 6).answer = plainAnswer(work, "ok")
	}
	g.writeConfig(desired{
		"Routes":   []any{newRoute("receipt", "unsafe", "recall-api", 1000, map[string]any{"MaxAttempts": 1})},
		"Services": []any{service("recall-api", 110)},
		"Tenants":  []any{map[string]any{"Name": "hule930", "ApiKeys": []string{"key-hule930"}}},
	})
	for n := 1; n <= 4; n++ {
		g.addRouter(n)
	}
	if !g.awaitReady() {
		return exitNotRun
	}
	time.Sleep(inTouch + time.Second)
	late, lost, played := 0, 0, 0
	for round := 1; round <= rounds; round++ {
		leaving := g.newWorker(fmt.Sprintf("leaving-%d", round), "recall-api", 6)
		leaving.answer = plainAnswer(work, "ok")
		time.Sleep(time.Second)
		readers, calm := g.byReading()
		if len(readers) != 3 || len(calm) != 1 {
			g.note("round %d: %d routers read the store; not played", round, len(readers))
			continue
		}
		played++
		var stop atomic.Bool
		var clients sync.WaitGroup
		var mu sync.Mutex
		var results []result
		for _, r := range g.routers {
			for range 2 {
				clients.Add(1)
				go func() {
					defer clients.Done()
					for !stop.Load() && !r.hasEnded() {
						res := r.send(call{path: "/receipt/1", key: "key-hule930"})
						mu.Lock()
						results = append(results, res)
						mu.Unlock()
						time.Sleep(10 * time.Millisecond)
					}
				}()
			}
		}
		time.Sleep(500 * time.Millisecond)
		if g.trouble {
			for _, r := range readers {
				r.signal(syscall.SIGKILL)
			}
		}
		g.store.remove("servers", leaving.id)
		gone := time.Now()
		g.note("round %d: the store has confirmed that %s is gone; router %d is in touch", round, leaving.id, calm[0].n)
		time.Sleep(time.Until(gone.Add(exitsAt)))
		leaving.exit()
		g.note("round %d: %s has exited", round, leaving.id)
		time.Sleep(time.Until(gone.Add(watching)))
		stop.Store(true)
		clients.Wait()
		last := time.Duration(0)
		lateIDs := make(map[string]bool)
		for _, run := range leaving.runs {
			at := run.at.Sub(gone)
			last = max(last, at)
			if at > drainMs {
				lateIDs[run.id] = true
			}
		}
		lostHere := 0
		for _, res := range results {
			if lateIDs[res.id] && res.status != 200 {
				lostHere++
			}
		}
		late, lost = late+len(lateIDs), lost+lostHere
		g.note("round %d: the last request reached %s %v after the confirmation; %d later than DrainMs, %d of them ran and were lost", round, leaving.id, last.Round(time.Millisecond), len(lateIDs), lostHere)
		if g.trouble {
			time.Sleep(time.Until(gone.Add(dark)))
			for _, r := range readers {
				<-r.done
				r.start()
			}
			if !g.awaitReady() {
				return exitNotRun
			}
		}
		time.Sleep(2200 * time.Millisecond)
	}
	g.note("%d rounds: %d requests reached a worker later than DrainMs, %d of them were lost", played, late, lost)
	switch {
	case late > 0:
		g.note("BROKEN: DRAIN")
		return exitBroken
	case played == 0:
		return exitNotRun
	}
	return exitHeld
}

// byReading returns the routers that read the store, and the others.
func (g *rig) byReading() (readers, others []*router) {
	for _, r := range g.routers {
		if r.metric("store_reading") == 1 {
			readers = append(readers, r)
		} else {
			others = append(others, r)
		}
	}
	return readers, others
}
