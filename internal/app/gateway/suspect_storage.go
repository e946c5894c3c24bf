package gateway

import (
	"context"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/poison"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// maxSuspectsPerCall bounds the suspects that one store call writes, and those that it deletes.
const maxSuspectsPerCall = 50

// suspectStorage keeps a copy of the suspects in the store. Routers normally get them from each
// other. The copy is read only after all routers were lost at once; without it, each suspect would
// make three more targets exit. Only the home router of a suspect writes it.
type suspectStorage struct {
	control       *Control
	storedLevels  map[poison.Fingerprint]int // levels that this router last wrote or read
	retryAt       time.Time
	retryInterval time.Duration
}

const (
	// suspectLoadInterval is how often a starting router checks whether it has received the fleet's
	// suspects, and otherwise reads them from the store if it is a store reader.
	suspectLoadInterval = 100 * time.Millisecond
	// startCallTimeout bounds the calls of a router that takes no requests yet: the store may be back before
	// it replies to an earlier one.
	startCallTimeout = 400 * time.Millisecond
	// suspectSaveInterval is how often a router checks, while there are suspects, whether it must
	// write any. A suspect gets a new home router when its home router stops.
	suspectSaveInterval = 2 * time.Second
)

// maintainStoredSuspects reads and writes the suspects in the store until ctx ends.
func (c *Control) maintainStoredSuspects(ctx context.Context) {
	st := &suspectStorage{control: c, storedLevels: make(map[poison.Fingerprint]int), retryInterval: suspectSaveInterval}
	if c.settings.ReadStoreAtStart {
		st.loadAtStart(ctx)
	}
	for st.awaitWork(ctx) {
		c.log.Guard(whereSuspects, func() { st.update(ctx) })
	}
}

// loadAtStart reads the suspects until this router has them, for maxSuspectsWait: all routers may have been
// lost, and this one takes no requests before it knows.
func (st *suspectStorage) loadAtStart(ctx context.Context) {
	c := st.control
	for !c.traffic.poisonGuard.hasSyncedSuspects() && c.now().Sub(c.startedAt) < maxSuspectsWait && ctx.Err() == nil {
		if err := st.loadSuspects(ctx, startCallTimeout); err != nil {
			c.log.Line(eventlog.SuspectStoreFailed).Err(err).Msg("")
			select {
			case <-time.After(suspectLoadInterval):
			case <-ctx.Done():
			}
		}
	}
}

// awaitWork waits until suspects may have to be read or written. It returns false if ctx ends
// first.
func (st *suspectStorage) awaitWork(ctx context.Context) bool {
	guard := st.control.traffic.poisonGuard
	var due <-chan time.Time
	switch {
	case !guard.hasSyncedSuspects():
		due = time.After(suspectLoadInterval)
	case guard.refusedCount.Load() > 0 || len(st.storedLevels) > 0:
		due = time.After(suspectSaveInterval)
	}
	select {
	case <-due:
	case <-st.control.suspectsChanged:
	case <-ctx.Done():
		return false
	}
	return true
}

func (st *suspectStorage) update(ctx context.Context) {
	c := st.control
	now := c.now()
	if now.Before(st.retryAt) {
		return
	}
	var err error
	if !c.traffic.poisonGuard.hasSyncedSuspects() {
		isReader := false
		c.submitAndWait(func(time.Time) { isReader = c.core.ReadsStore() })
		if !isReader {
			return // the store reader sends the suspects to the others
		}
		err = st.loadSuspects(ctx, storeCallTimeout)
	} else {
		err = st.saveSuspects(ctx, now)
	}
	if err != nil {
		c.log.Line(eventlog.SuspectStoreFailed).Err(err).Msg("")
		st.retryAt = now.Add(st.retryInterval)
		st.retryInterval = min(2*st.retryInterval, maxStoreRetryInterval)
		return
	}
	st.retryInterval = suspectSaveInterval
}

// loadSuspects reads the suspects that earlier routers stored.
func (st *suspectStorage) loadSuspects(ctx context.Context, timeout time.Duration) error {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	stored, err := st.control.store.LoadSuspects(callCtx)
	if err != nil {
		return err
	}
	for _, s := range stored {
		st.storedLevels[s.Fingerprint] = s.Level
	}
	st.control.traffic.poisonGuard.restore(st.control.now(), stored)
	st.control.submit(func(now time.Time) { st.control.updateReady(now) })
	return nil
}

// saveSuspects writes the changes of this router's suspects to the store.
func (st *suspectStorage) saveSuspects(ctx context.Context, now time.Time) error {
	put, refused := st.control.traffic.poisonGuard.suspectsToSave(now, st.storedLevels)
	var drop []poison.Fingerprint
	for f := range st.storedLevels {
		if !refused[f] {
			drop = append(drop, f)
		}
	}
	if len(put)+len(drop) == 0 {
		return nil
	}
	// The next call writes and deletes the rest.
	put, drop = put[:min(len(put), maxSuspectsPerCall)], drop[:min(len(drop), maxSuspectsPerCall)]
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	if err := st.control.store.SaveSuspects(callCtx, put, drop); err != nil {
		return err
	}
	for _, s := range put {
		st.storedLevels[s.Fingerprint] = s.Level
	}
	for _, f := range drop {
		delete(st.storedLevels, f)
	}
	return nil
}

// hasSyncedSuspects reports whether this router has received the fleet's suspects, from other
// routers or from the store.
func (g *poisonGuard) hasSyncedSuspects() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.suspectsSynced
}

// restore adds the suspects read from the store.
func (g *poisonGuard) restore(now time.Time, stored []poison.Suspect) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.Restore(now, stored)
	g.suspectsSynced = true
	g.publish()
}

// suspectsToSave returns the suspects that this router must write because it is their home router,
// and the fingerprints of all refused requests. stored has the levels in the store.
func (g *poisonGuard) suspectsToSave(now time.Time, stored map[poison.Fingerprint]int) (put []poison.Suspect, refused map[poison.Fingerprint]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	refused = make(map[poison.Fingerprint]bool)
	for _, s := range g.detector.ListSuspects(now) {
		if s.Level == 0 {
			continue
		}
		refused[s.Fingerprint] = true
		if stored[s.Fingerprint] != s.Level && s.Fingerprint.Rank(g.self, g.aliveRouters) == 0 {
			put = append(put, s)
		}
	}
	return put, refused
}
