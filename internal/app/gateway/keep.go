package gateway

import (
	"context"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/poison"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// maxSuspectsPerCall bounds the suspects that one store call writes, and those that it deletes.
const maxSuspectsPerCall = 50

// suspectSync keeps a copy of the suspected requests in the store. Routers normally get them from
// each other. The copy is read only after all routers were lost at once; without it, each suspect
// would make three more targets exit. Only the suspect's home router writes it.
type suspectSync struct {
	control       *Control
	storedLevels  map[poison.Fingerprint]int // levels in the store as last written or read by this router
	retryAt       time.Time
	retryInterval time.Duration
}

const (
	// loadInterval is how often a starting router checks whether it knows the fleet's suspects.
	loadInterval = 400 * time.Millisecond
	// saveInterval is how often a router checks the stored suspects while there are any. A suspect
	// gets a new home when its home router stops.
	saveInterval = 2 * time.Second
)

// syncSuspects synchronises suspects with the store until ctx ends.
func (c *Control) syncSuspects(ctx context.Context) {
	k := &suspectSync{control: c, storedLevels: make(map[poison.Fingerprint]int), retryInterval: saveInterval}
	for k.wait(ctx) {
		k.sync(ctx)
	}
}

// wait blocks until there may be work to do and reports whether ctx is still active.
func (k *suspectSync) wait(ctx context.Context) bool {
	guard := k.control.traffic.poisonGuard
	var due <-chan time.Time
	switch {
	case !guard.hasReceivedSuspects():
		due = time.After(loadInterval)
	case guard.suspectCount.Load() > 0 || len(k.storedLevels) > 0:
		due = time.After(saveInterval)
	}
	select {
	case <-due:
	case <-k.control.suspectsChanged:
	case <-ctx.Done():
		return false
	}
	return true
}

func (k *suspectSync) sync(ctx context.Context) {
	c := k.control
	now := c.now()
	if now.Before(k.retryAt) {
		return
	}
	var err error
	if !c.traffic.poisonGuard.hasReceivedSuspects() {
		isReader := false
		c.submitAndWait(func(time.Time) { isReader = c.core.ReadsStore() })
		if !isReader {
			return // the store reader sends the suspects to the others
		}
		err = k.load(ctx)
	} else {
		err = k.save(ctx, now)
	}
	if err != nil {
		c.log.Line(eventlog.KeepFailed).Err(err).Msg("")
		k.retryAt = now.Add(k.retryInterval)
		k.retryInterval = min(2*k.retryInterval, maxStoreRetryInterval)
		return
	}
	k.retryInterval = saveInterval
}

// load reads the suspects that earlier routers stored.
func (k *suspectSync) load(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	stored, err := k.control.store.LoadSuspects(callCtx)
	if err != nil {
		return err
	}
	for _, s := range stored {
		k.storedLevels[s.Request] = s.Level
	}
	k.control.traffic.poisonGuard.restore(k.control.now(), stored)
	return nil
}

// save writes the changes of this router's suspects to the store.
func (k *suspectSync) save(ctx context.Context, now time.Time) error {
	put, refused := k.control.traffic.poisonGuard.suspectsToSave(now, k.storedLevels)
	var drop []poison.Fingerprint
	for f := range k.storedLevels {
		if !refused[f] {
			drop = append(drop, f)
		}
	}
	if len(put)+len(drop) == 0 {
		return nil
	}
	put, drop = put[:min(len(put), maxSuspectsPerCall)], drop[:min(len(drop), maxSuspectsPerCall)] // the next call writes the rest
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	if err := k.control.store.SaveSuspects(callCtx, put, drop); err != nil {
		return err
	}
	for _, s := range put {
		k.storedLevels[s.Request] = s.Level
	}
	for _, f := range drop {
		delete(k.storedLevels, f)
	}
	return nil
}

// hasSuspects reports whether this router has received the fleet's suspects.
func (g *poisonGuard) hasReceivedSuspects() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.suspectsKnown
}

// restore adds the suspects read from the store.
func (g *poisonGuard) restore(now time.Time, stored []poison.Suspect) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.Restore(now, stored)
	g.suspectsKnown = true
	g.updateSuspectCount()
}

// suspectsToSave returns the suspects that this router must write, and the fingerprints of all
// refused requests. stored has the levels in the store.
func (g *poisonGuard) suspectsToSave(now time.Time, stored map[poison.Fingerprint]int) (put []poison.Suspect, refused map[poison.Fingerprint]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	refused = make(map[poison.Fingerprint]bool)
	for _, s := range g.detector.ListSuspects(now) {
		if s.Level == 0 {
			continue
		}
		refused[s.Request] = true
		if stored[s.Request] != s.Level && s.Request.IsHomeRouter(g.self, g.aliveRouters) {
			put = append(put, s)
		}
	}
	return put, refused
}
