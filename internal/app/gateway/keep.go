package gateway

import (
	"context"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/poison"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// keptPerCall bounds the suspects that one call writes, and those that it drops.
const keptPerCall = 50

// keeper keeps in the store which requests are suspected. Routers tell each other, so the store is read only after all of
// them were lost at once: without it each suspect would end three more targets then. One router, its home, writes it.
type keeper struct {
	control *Control
	kept    map[poison.Fingerprint]int // levels, as this router wrote or read them
	retryAt time.Time
	retry   time.Duration
}

const (
	// learnPause is how often a router that has started looks whether it knows whom the others suspect.
	learnPause = 400 * time.Millisecond
	// keepPause is how often it looks while there are suspects: one whose home has ended has another one.
	keepPause = 2 * time.Second
)

// keepSuspects runs until ctx ends.
func (c *Control) keepSuspects(ctx context.Context) {
	k := &keeper{control: c, kept: make(map[poison.Fingerprint]int), retry: keepPause}
	for k.wait(ctx) {
		k.look(ctx)
	}
}

// wait waits until there may be something to do, and reports whether ctx still runs.
func (k *keeper) wait(ctx context.Context) bool {
	guard := k.control.view.guard
	var due <-chan time.Time
	switch {
	case !guard.isKnown():
		due = time.After(learnPause)
	case guard.suspects.Load() > 0 || len(k.kept) > 0:
		due = time.After(keepPause)
	}
	select {
	case <-due:
	case <-k.control.keepWake:
	case <-ctx.Done():
		return false
	}
	return true
}

func (k *keeper) look(ctx context.Context) {
	c := k.control
	now := c.now()
	if now.Before(k.retryAt) {
		return
	}
	var err error
	if !c.view.guard.isKnown() {
		reads := false
		c.query(func(time.Time) { reads = c.core.ReadsStore() })
		if !reads {
			return // whoever reads the store tells the others
		}
		err = k.load(ctx)
	} else {
		err = k.write(ctx, now)
	}
	if err != nil {
		c.log.Line(eventlog.SuspectStoreFailed).Err(err).Msg("")
		k.retryAt = now.Add(k.retry)
		k.retry = min(2*k.retry, listRetryMax)
		return
	}
	k.retry = keepPause
}

// load takes in what an earlier fleet kept.
func (k *keeper) load(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kept, err := k.control.store.Suspects(call)
	if err != nil {
		return err
	}
	for _, s := range kept {
		k.kept[s.Request] = s.Level
	}
	k.control.view.guard.restore(k.control.now(), kept)
	return nil
}

// write brings the store in line with what this router has to keep there.
func (k *keeper) write(ctx context.Context, now time.Time) error {
	put, held := k.control.view.guard.toKeep(now, k.kept)
	var drop []poison.Fingerprint
	for f := range k.kept {
		if !held[f] {
			drop = append(drop, f)
		}
	}
	if len(put)+len(drop) == 0 {
		return nil
	}
	put, drop = put[:min(len(put), keptPerCall)], drop[:min(len(drop), keptPerCall)] // the rest follows
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := k.control.store.KeepSuspects(call, put, drop); err != nil {
		return err
	}
	for _, s := range put {
		k.kept[s.Request] = s.Level
	}
	for _, f := range drop {
		delete(k.kept, f)
	}
	return nil
}

// isKnown reports whether this router knows whom the others suspect.
func (g *guard) isKnown() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.known
}

// restore takes in what the store has kept.
func (g *guard) restore(now time.Time, kept []poison.Suspect) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.Restore(now, kept)
	g.known = true
	g.count()
}

// toKeep returns the suspects that this router has to write, and all that are refused. kept are the levels that it wrote.
func (g *guard) toKeep(now time.Time, kept map[poison.Fingerprint]int) (put []poison.Suspect, held map[poison.Fingerprint]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	held = make(map[poison.Fingerprint]bool)
	for _, s := range g.detector.ListSuspects(now) {
		if s.Level == 0 {
			continue
		}
		held[s.Request] = true
		if kept[s.Request] != s.Level && s.Request.IsHomeRouter(g.self, g.others) {
			put = append(put, s)
		}
	}
	return put, held
}
