//go:build review

package main

import (
	"strings"
	"sync"
	"time"
)

var cases = map[string]func(*rig) int{
	"last-key":   lastKey,
	"big-bodies": bigBodies,
}

// lastKey: the operator takes away the keys of both tenants, one after the other.
func lastKey(g *rig) int {
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		g.newWorker(id, "recall-api", 6)
	}
	state := func(first, second []string) desired {
		return desired{
			"Routes":   []any{newRoute("receipt", "unsafe", "recall-api", 1000, map[string]any{"MaxAttempts": 1})},
			"Services": []any{service("recall-api", 110)},
			"Tenants":  []any{map[string]any{"Name": "hule930", "ApiKeys": first}, map[string]any{"Name": "mira177", "ApiKeys": second}},
		}
	}
	g.writeConfig(state([]string{"key-hule930"}, []string{"key-mira177"}))
	for n := 1; n <= 3; n++ {
		g.addRouter(n)
	}
	if !g.awaitReady() {
		return exitNotRun
	}
	const never = "key-nobody-ever-held"
	before := g.routers[0].send(call{path: "/receipt/1", key: "key-hule930"})
	unknown := g.routers[0].send(call{path: "/receipt/2", key: never})
	if before.status != 200 || unknown.status != 401 {
		g.note("the deployment doesn't serve before the change")
		return exitNotRun
	}
	if g.trouble {
		g.writeConfig(state([]string{}, []string{"key-mira177"}))
		time.Sleep(300 * time.Millisecond)
		g.writeConfig(state([]string{}, []string{}))
	}
	time.Sleep(5 * time.Second) // ConfigurationMs is 2 s
	code := exitHeld
	for _, r := range g.routers {
		for _, key := range []string{never, "key-hule930", "key-mira177", ""} {
			if !g.trouble && key != never && key != "" {
				continue // these keys are in force
			}
			res := r.send(call{path: "/receipt/3", key: key})
			for _, run := range g.allRuns() {
				if run.id == res.id {
					g.note("BROKEN: request %s with key %q, which no desired state in force holds, was run by %s as tenant %q", res.id, key, run.worker, run.header.Get("Hemlockdyke-Tenant"))
					code = exitBroken
				}
			}
		}
	}
	return code
}

// bigBodies: one tenant sends 7.5 times its usual, with bodies of the largest size that the desired state allows.
func bigBodies(g *rig) int {
	const (
		usualPerSecond = 2.0
		hotTenant      = 7.5 // the largest x of hot_tenant in the site file
		lasts          = 6500 * time.Millisecond
	)
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		g.newWorker(id, "hemlock-pool", 64).answer = streamAnswer(42, 130*time.Millisecond)
	}
	g.writeConfig(desired{
		"Routes":   []any{newRoute("draft", "streaming", "hemlock-pool", 10000, map[string]any{"TargetLatencyMs": 600, "MaxAttempts": 1})},
		"Services": []any{service("hemlock-pool", 370)},
		"Tenants":  []any{map[string]any{"Name": "hule930", "ApiKeys": []string{"key-hule930"}}},
	})
	for n := 1; n <= 2; n++ {
		g.addRouter(n)
	}
	if !g.awaitReady() {
		return exitNotRun
	}
	r := g.routers[0] // of the tenant's client, by the platform's hash
	limit := int64(g.memoryMb) << 20
	most, killed := int64(0), false
	stop := make(chan struct{})
	var watch sync.WaitGroup
	watch.Add(1)
	go func() { // the platform: a process that exceeds MemoryMb is killed
		defer watch.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			n := r.residentBytes()
			most = max(most, n)
			if n > limit && !killed {
				killed = true
				g.note("platform: router 1 holds %d bytes, over MemoryMb = %d; it is killed", n, g.memoryMb)
				_ = r.cmd.Process.Kill()
				return
			}
		}
	}()
	perSecond := usualPerSecond
	if g.trouble {
		perSecond *= hotTenant
	}
	body := strings.Repeat("x", 4194304)
	n := int(perSecond * lasts.Seconds())
	results := make([]result, n)
	var work sync.WaitGroup
	sent := 0
	for i := range n {
		if r.hasEnded() {
			break
		}
		sent++
		work.Add(1)
		go func() {
			defer work.Done()
			results[i] = r.send(call{path: "/draft/1", key: "key-hule930", body: body, deadline: 10 * time.Second})
		}()
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
	work.Wait()
	close(stop)
	watch.Wait()
	lost, served := 0, 0
	ran := make(map[string]bool)
	for _, run := range g.allRuns() {
		ran[run.id] = true
	}
	for _, res := range results[:sent] {
		switch {
		case res.status == 200 && res.complete:
			served++
		case ran[res.id]:
			lost++
		}
	}
	g.note("most resident memory of router 1: %d MB; of %d requests %d were served, %d ran and have no whole answer", most>>20, sent, served, lost)
	if killed {
		g.note("BROKEN: the process exceeded MemoryMb and ended, with no disturbance on its machine or links; %d requests that ran have no whole answer", lost)
		return exitBroken
	}
	if served < sent {
		return exitNotRun
	}
	return exitHeld
}
