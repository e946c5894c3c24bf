package fleet

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
)

// storeSource is the source of content that this router read itself.
const storeSource = "store"

func (c *Core) followRead(ev FollowRead) {
	r := &c.readers[ev.Table]
	c.succeeded(r)
	r.position = max(r.position, ev.Position)
	if c.tables[ev.Table].Apply(ev.Rows, 0) {
		c.changed(ev.Table, storeSource)
	}
}

func (c *Core) wholeRead(ev WholeRead) {
	r := &c.readers[ev.Table]
	c.succeeded(r)
	r.needAll = false
	r.position = max(r.position, ev.Position)
	if c.tables[ev.Table].Load(ev.Position, ev.Rows) {
		c.changed(ev.Table, storeSource)
	}
}

func (c *Core) succeeded(r *reader) {
	r.waiting, r.failures, r.ok = false, 0, true
	c.storeState()
}

func (c *Core) readFailed(now time.Time, ev ReadFailed) {
	r := &c.readers[ev.Table]
	r.waiting = false
	switch {
	case ev.Stopped:
		return
	case ev.HistoryLost:
		r.needAll = true
		return
	}
	r.ok = false
	r.failures++
	pause := min(retryMin<<min(r.failures-1, 8), retryMax)
	r.retryAt = now.Add(time.Duration(float64(pause) * (0.5 + c.rand.Float64())))
	c.storeState()
}

// storeState tells when the store is lost or regained.
func (c *Core) storeState() {
	if reachable := c.healthy(); reachable != c.reachable {
		c.reachable = reachable
		c.news = true
		c.emit(StoreChanged{Reading: c.reading, Reachable: reachable})
	}
}

func (c *Core) healthy() bool {
	for i := range c.readers {
		if !c.readers[i].ok {
			return false
		}
	}
	return true
}

// read makes this router one of the readers or ends that, and keeps a call under
// way for each table while it is one.
func (c *Core) read(now time.Time) {
	before, missing, ahead := c.otherReaders(now)
	should := !c.leaving && before < readers
	if !c.reading {
		should = !c.leaving && c.mayJoin(now, missing, ahead)
	}
	if should != c.reading {
		c.reading = should
		c.news = true
		c.emit(StoreChanged{Reading: should, Reachable: c.reachable})
		if !should {
			c.stopReading()
		}
	}
	if first := should && before == 0; first != c.first {
		c.first = first
		if first {
			c.emit(StopFollowing{}) // the call that waits would do so for long
		}
	}
	if !c.reading {
		return
	}
	for i := range c.readers {
		c.call(now, Table(i))
	}
}

func (c *Core) stopReading() {
	c.emit(StopFollowing{})
	for i := range c.readers {
		c.readers[i].ok = false
	}
	c.reachable = false
}

func (c *Core) call(now time.Time, t Table) {
	r := &c.readers[t]
	if r.waiting || now.Before(r.retryAt) {
		return
	}
	r.waiting = true
	// A copy from another router may be newer than what this one read last.
	r.position = max(r.position, c.tables[t].Version())
	if r.needAll {
		c.emit(ReadWhole{Table: t})
		return
	}
	wait := longWait
	switch {
	case !r.ok:
		wait = 0 // the answer shows at once that the store is within reach
	case c.first && t == Desired:
		wait = time.Duration(briefShare * float64(c.settings.InForceWithin))
	}
	c.emit(Follow{Table: t, After: r.position, Wait: wait})
}

// mayJoin reports whether this router should begin to read, if so many readers are
// missing and so many routers that don't read rank before it. Those that rank first
// join, lest all of them call the store at once; the rest follow after a moment,
// since the first may not reach the store either. A starting router leaves others
// the time to tell of themselves.
func (c *Core) mayJoin(now time.Time, missing, ahead int) bool {
	if missing <= 0 {
		c.missingSince = time.Time{}
		return false
	}
	if c.missingSince.IsZero() {
		c.missingSince = now
	}
	if !c.settings.StartsFirst && now.Sub(c.started) < c.startDelay {
		return false
	}
	return ahead < missing || now.Sub(c.missingSince) >= joinPatience
}

// otherReaders returns how many routers that rank before this one read the store
// successfully, how many readers are missing, and how many routers that don't read
// rank before this one. Nobody is the reader for good: readers are killed, cut off
// and refused by the store, and others take over without asking anyone.
func (c *Core) otherReaders(now time.Time) (before, missing, ahead int) {
	own := rank(c.settings.Self)
	missing = readers
	for a, p := range c.peers {
		switch {
		case p.leaving || !p.alive(now):
			continue
		case p.reading:
			missing--
			if rank(a) < own {
				before++
			}
		case rank(a) < own:
			ahead++
		}
	}
	return before, missing, ahead
}

// rank orders routers in a way that all of them compute alike.
func rank(a Address) uint64 { return rendezvous.Hash(string(a)) }
