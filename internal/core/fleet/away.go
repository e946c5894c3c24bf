package fleet

import (
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
)

const (
	// noReaderFor is how long nobody has to read the store before it counts as away:
	// others take over from readers that are refused within a few digests.
	noReaderFor = 600 * time.Millisecond
	// outageLasts is how long the store counts as away after a router reads it
	// again. The readers see within 1.5 s what expired meanwhile.
	outageLasts = 3 * time.Second
	// stoodStillFor is by how much a tick is late if this router stood still. Ticks of a busy process are late by less.
	stoodStillFor = 3 * TickInterval
	// backlogFor is for how long after that others' digests may be those that waited meanwhile.
	backlogFor = 2 * TickInterval
)

// storeWatch is what a router concludes of whether the store is away for all. That it hears of no reader says little: it may have stood
// still, be cut off itself, or the readers have ended. Entries of targets lapse while the store is away, so that a
// removal says less then; one that was taken for a lapse would leave a target in use that is gone for good.
type storeWatch struct {
	tickedAt time.Time
	wokeAt   time.Time // zero if this router never stood still
	// readAt is when some router was known to read the store last; zero if never. After this router stood still it is counted from its waking.
	readAt time.Time
	// readSince is since when readers were known without a gap, by this router or those that it heard of it from; zero if there are none.
	readSince time.Time
	// failedAt is when a call of any router failed last, as far as is known; zero if never.
	failedAt time.Time
	// awaySince and awayAt are the last moments before an outage and in it; zero if there was none.
	awaySince, awayAt time.Time
}

// tick notes whether some router is known to read the store.
func (w *storeWatch) tick(now time.Time, read bool) {
	if w.stoodStill(now) {
		w.wokeAt, w.readSince = now, time.Time{}
		if !w.readAt.IsZero() {
			w.readAt = now
		}
	}
	w.tickedAt = now
	switch {
	case read:
		w.readAt = now
		if w.readSince.IsZero() {
			w.readSince = now
		}
	case w.readAt.IsZero() || now.Sub(w.readAt) < noReaderFor:
	default:
		w.readSince = time.Time{}
		if w.failedAt.After(w.readAt) {
			w.awaySince, w.awayAt = w.readAt, now
		}
	}
}

// stoodStill reports whether the process did not run since the last tick. The steady clock may have stood still with it; the time of
// day goes on, and one that was set forward looks the same.
func (w *storeWatch) stoodStill(now time.Time) bool {
	if w.tickedAt.IsZero() {
		return false
	}
	steady, ofDay := now.Sub(w.tickedAt), now.Round(0).Sub(w.tickedAt.Round(0))
	return max(steady, ofDay) > stoodStillFor
}

// hear takes in what another router knows. If readers were known to it all the while, the store was not away for all.
func (w *storeWatch) hear(now time.Time, d *peerv1.Digest) {
	if !w.wokeAt.IsZero() && now.Sub(w.wokeAt) < backlogFor {
		return
	}
	if age := d.GetStoreFailedMillis(); age > 0 {
		w.failedAt = latest(w.failedAt, now.Add(-time.Duration(age)*time.Millisecond))
	}
	age := d.GetStoreReadMillis()
	if age == 0 {
		return
	}
	since := now.Add(-time.Duration(age) * time.Millisecond)
	if w.readSince.IsZero() || since.Before(w.readSince) {
		w.readSince = since
	}
	if !w.awayAt.IsZero() && since.Before(w.awaySince) {
		w.awaySince, w.awayAt = time.Time{}, time.Time{}
	}
}

// tell writes what this router knows into a digest.
func (w *storeWatch) tell(now time.Time, d *peerv1.Digest) {
	if !w.readSince.IsZero() {
		d.StoreReadMillis = uint32(now.Sub(w.readSince).Milliseconds())
	}
	if !w.failedAt.IsZero() && now.Sub(w.failedAt) < outageLasts {
		d.StoreFailedMillis = uint32(now.Sub(w.failedAt).Milliseconds()) + 1
	}
}

// InStoreOutage reports whether the store is away for all routers, or was a moment ago.
// A store that refuses some routers and serves others is not away.
func (c *Core) InStoreOutage(now time.Time) bool {
	w := &c.watch
	return !w.awayAt.IsZero() && now.Sub(w.awayAt) < outageLasts
}

// LastStoreOutage returns the last moment before the last outage of the store at which it was read, and the last one in it.
func (c *Core) LastStoreOutage() (since, until time.Time) { return c.watch.awaySince, c.watch.awayAt }

// readsKnown reports whether some router is known to read the store.
func (c *Core) readsKnown(now time.Time) bool {
	if c.reading && c.healthy() {
		return true
	}
	for _, p := range c.all() {
		if p.direct(now) && (p.reading || (p.address == c.feeder && p.readers > 0)) {
			return true
		}
	}
	return false
}
