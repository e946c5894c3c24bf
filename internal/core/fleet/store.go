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
	before, others := c.otherReaders(now)
	should := !c.leaving && others < readers && c.mayStart(now)
	if c.reading {
		should = !c.leaving && before < readers
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
	if c.first && t == Desired {
		wait = briefWait
	}
	c.emit(Follow{Table: t, After: r.position, Wait: wait})
}

// mayStart reports whether a starting router has left others the time to tell of
// themselves.
func (c *Core) mayStart(now time.Time) bool {
	return c.settings.StartsFirst || now.Sub(c.started) >= c.startDelay
}

// otherReaders returns how many other routers read the store successfully, and how
// many of them rank before this one. A router begins to read while fewer than the
// wanted number do, and ends if as many rank before it. Nobody is the reader for
// good: readers are killed, cut off and refused by the store, and others take over
// without asking anyone.
func (c *Core) otherReaders(now time.Time) (before, all int) {
	own := rank(c.settings.Self)
	for a, p := range c.peers {
		if !p.reading || p.leaving || !p.alive(now) {
			continue
		}
		all++
		if rank(a) < own {
			before++
		}
	}
	return before, all
}

// rank orders routers in a way that all of them compute alike.
func rank(a Address) uint64 { return rendezvous.Hash(string(a)) }
