package fleet

import "time"

// storeSource is the source of content that this router read itself.
const storeSource = "store"

func (c *Core) followRead(now time.Time, ev ChangesRead) {
	r := &c.readers[ev.Table]
	c.succeeded(r)
	r.position, r.heardAt = max(r.position, ev.Position), now
	c.doubt(now, ev.Position)
	if len(ev.Rows) > 0 {
		r.pausedUntil = now.Add(c.batchPause(ev.Table))
	}
	if c.tables[ev.Table].Apply(ev.Rows, 0) {
		c.changed(ev.Table, storeSource)
	}
}

func (c *Core) wholeRead(now time.Time, ev TableRead) {
	r := &c.readers[ev.Table]
	c.succeeded(r)
	r.heardAt = now
	r.needAll = false
	r.position = max(r.position, ev.Position)
	if c.tables[ev.Table].Load(ev.Position, ev.Rows) {
		c.changed(ev.Table, storeSource)
	}
}

func (c *Core) succeeded(r *reader) {
	r.waiting, r.failures, r.ok = false, 0, c.reading
	r.doubtedAt = time.Time{}
	c.storeState()
}

const (
	// listBatchShare is the part of LeftWithin for which the first reader lets changes of the list come together before
	// it asks for more, standbyBatchShare the part of each table's bound for which the other readers do. Where many
	// targets come or change one after another each change was an answer to three readers; calls are paid for. The
	// others are there for the case that the first one hears nothing, and ask at once when they become the first.
	// 62 changes in four seconds take 39 calls instead of 190, on a simulated network.
	listBatchShare    = 0.05
	standbyBatchShare = 0.25
)

// batchPause returns how long to wait after changes of a table before asking for more.
func (c *Core) batchPause(t Table) time.Duration {
	bound := c.settings.MaxApplyDelay
	if t == TargetsTable {
		bound = c.settings.MaxLeavingDelay
	}
	switch {
	case !c.first:
		return time.Duration(standbyBatchShare * float64(bound))
	case t == TargetsTable:
		return time.Duration(listBatchShare * float64(bound))
	}
	return 0
}

// answerTime is how long a change may take to end a call that waits for it, after another call has shown that
// there was some change: an answer of the store takes 4 ms, of a slow one 300 ms.
const answerTime = 300 * time.Millisecond

// doubtShare is the part of InForceWithin for which a call is not doubted after the last answer. While desired
// states come in quick succession each of them is a reason to; one doubt in half of a brief wait costs a third
// of the calls, and a lost answer still shows well before a leaving target has to be left alone.
const doubtShare = 0.25

// doubt notes the first reader's call for the list of targets if it waits although the store has changed since, as
// the answer to its brief call for the desired state shows: either another table changed, or the call's answer got
// lost, and then it would hear nothing until its wait ends. Meanwhile all routers would send new work to
// a target that has said that it leaves. Nothing else shows a lost answer: the connection is sound, and
// this router tells the others that it reads. Brief waits for this table as well would cost half as many calls again
// on a calm day; doubts cost two for each change of another table. The other readers need none: the first one hears.
func (c *Core) doubt(now time.Time, newest uint64) {
	r := &c.readers[TargetsTable]
	if c.first && r.waiting && r.position < newest && r.doubtedAt.IsZero() {
		r.doubtedAt = now
	}
}

// endDoubted ends a call that has been doubted for long enough. The next one goes on where it began, and
// does not wait: if its answer is lost as well, that shows at once.
func (c *Core) endDoubted(now time.Time) {
	r := &c.readers[TargetsTable]
	if !r.waiting || r.doubtedAt.IsZero() || now.Sub(r.heardAt) < time.Duration(doubtShare*float64(c.settings.MaxApplyDelay)) {
		return
	}
	if now.Sub(r.doubtedAt) >= answerTime {
		r.doubtedAt, r.probe = time.Time{}, true
		c.emit(CancelReadChanges{Table: TargetsTable})
	}
}

func (c *Core) readFailed(now time.Time, ev ReadFailed) {
	r := &c.readers[ev.Table]
	r.waiting, r.doubtedAt = false, time.Time{}
	switch {
	case ev.Cancelled:
		return
	case ev.HistoryLost:
		r.needAll = true
		return
	case ev.TooLarge:
		r.largeAt = now
		return
	}
	r.ok = false
	r.failures++
	c.watch.failedAt = now
	least, most := retryMin, retryMax
	if !c.relay {
		least, most = retryMinFed, retryMaxFed
	}
	pause := min(least<<min(r.failures-1, 8), most)
	r.retryAt = now.Add(time.Duration(float64(pause) * (0.5 + c.rand.Float64())))
	c.storeState()
}

// storeState tells when the store is lost or regained.
func (c *Core) storeState() {
	if reachable := c.healthy(); reachable != c.reachable {
		c.reachable = reachable
		c.news = true
		c.emit(StoreStateChanged{Reading: c.reading, Reachable: reachable})
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

// countReaders makes this router one of the readers or ends that. It looks at all routers, so not at every digest but
// at those that change who reads, and at each tick: at each digest it would take more than all else there.
func (c *Core) countReaders(now time.Time) {
	before, missing, ahead := c.otherReaders(now)
	should := !c.leaving && before < readers
	if !c.reading {
		should = !c.leaving && c.mayJoin(now, missing, ahead)
	}
	if should != c.reading {
		c.reading = should
		c.news = true
		for i := range c.readers {
			r := &c.readers[i]
			r.ok = should && !r.heardAt.IsZero() && now.Sub(r.heardAt) < noReaderFor // it has just been reached
		}
		c.emit(StoreStateChanged{Reading: should, Reachable: c.reachable})
		if !should {
			c.stopReading()
		}
	}
	if first := should && before == 0; first != c.first {
		c.first = first
		if first {
			c.stopFollowing() // the calls that wait would do so for long
		}
	}
}

// read keeps a call under way for each table while this router is a reader.
func (c *Core) read(now time.Time) {
	if !c.reading {
		return
	}
	for i := range c.readers {
		c.call(now, Table(i))
	}
}

func (c *Core) stopFollowing() {
	for i := range c.readers {
		c.readers[i].pausedUntil = time.Time{}
		c.emit(CancelReadChanges{Table: Table(i)})
	}
}

func (c *Core) stopReading() {
	c.stopFollowing()
	for i := range c.readers {
		c.readers[i].ok = false
	}
	c.reachable = false
}

func (c *Core) call(now time.Time, t Table) {
	r := &c.readers[t]
	if r.waiting || now.Before(r.retryAt) || now.Before(r.pausedUntil) {
		return
	}
	if !c.relay && t != DesiredTable && c.readers[DesiredTable].failures > 0 {
		return // one table tells when the store is back
	}
	r.waiting = true
	// A copy from another router may be newer than what this one read last.
	r.position = max(r.position, c.tables[t].Version())
	if r.needAll {
		c.emit(ReadTable{Table: t})
		return
	}
	wait := longWait
	switch {
	case !r.ok || r.probe:
		r.probe = false
		wait = 0 // the answer shows at once that the store is within reach
	case c.first && t == DesiredTable:
		wait = time.Duration(briefShare * float64(c.settings.MaxApplyDelay))
	}
	c.emit(ReadChanges{Table: t, After: r.position, Wait: wait})
}

// mayJoin reports whether this router should begin to read, if so many readers are
// missing and so many routers that don't read rank before it. Those that rank first
// join, lest all of them call the store at once; the rest follow after a moment,
// since the first may not reach the store either. Routers that are fed read only if nobody does, those that rank first
// sooner. A starting router leaves others the time to tell of themselves.
func (c *Core) mayJoin(now time.Time, missing, ahead int) bool {
	if missing <= 0 || (!c.relay && missing < readers) || now.Sub(c.started) < c.startDelay(now) {
		c.missingSince = time.Time{}
		return false
	}
	if c.missingSince.IsZero() {
		c.missingSince = now
	}
	if !c.relay {
		return now.Sub(c.missingSince) >= joinPatience*time.Duration(2+ahead/relaysPerCentre)
	}
	return ahead < missing || now.Sub(c.missingSince) >= joinPatience
}

// startDelay returns how long after its start this router may become a reader. One that has been told of nobody
// waits for nobody.
func (c *Core) startDelay(now time.Time) time.Duration {
	delay := startDelay
	if c.settings.ReadsAtStart {
		delay = min(restartDelay, restartDelay*time.Duration(len(c.peers)))
		for _, p := range c.all() {
			if p.placed && !p.alive(now) {
				delay = restartDelayMost
			}
		}
	}
	return time.Duration(float64(delay) * c.startSpread)
}

// otherReaders returns how many routers that rank before this one read the store
// successfully, how many readers are missing, and how many routers that could read and don't
// rank before this one. Nobody is the reader for good: readers are killed, cut off
// and refused by the store, and others take over without asking anyone. Relays hear each other; all others go
// by what the one that feeds them tells.
func (c *Core) otherReaders(now time.Time) (before, missing, ahead int) {
	own := c.own.rank
	others := 0
	for _, p := range c.all() {
		switch {
		case p.leaving || !p.direct(now):
		case p.reading:
			others++
			if p.rank.compare(own) < 0 {
				before++
			}
		case c.centres[p.dataCentre].isRelay(p.address) && p.rank.compare(own) < 0:
			ahead++
		}
	}
	self := 0
	if c.reading && c.healthy() {
		self = 1
	}
	if p, ok := c.peers[c.feeder]; ok && p.direct(now) {
		others = max(p.readers-self, 0)
		before, ahead = others, c.ahead(now)
	}
	c.readersKnown = others + self
	return before, readers - others, ahead
}

// behindShare is the part of InForceWithin for which a router tries to get a newer copy from others before it reads the
// store itself. Copies of a large desired state reach most of a fleet in a third of two seconds.
const behindShare = 0.4

const (
	// aloneRows is the most rows that a router reads for itself at once. All routers of a fleet that have started together would
	// move a large list over the store's link and over their own, one each, and be slower by it than by copies.
	aloneRows = 250
	// largePatience is how long a router waits for copies of a larger table before it reads that for itself.
	largePatience = 3 * time.Second
)

// readAlone reads tables that this router lacks, or has an old copy of, and that nobody gives it, whether it is
// one of the readers or not. A router that hears others and isn't heard would wait for their copies for ever.
func (c *Core) readAlone(now time.Time) {
	if c.reading {
		return
	}
	for i := range c.readers {
		if r := &c.readers[i]; !r.waiting && now.Sub(r.aloneAt) >= retryMax && c.lacks(now, Table(i)) {
			r.waiting, r.aloneAt = true, now
			most := aloneRows
			if !r.largeAt.IsZero() {
				most = 0
			}
			c.emit(ReadTable{Table: Table(i), MaxRows: most})
		}
	}
}

func (c *Core) lacks(now time.Time, t Table) bool {
	copying := &c.copying[t]
	if !c.tables[t].Loaded() {
		waited := c.settings.ReadsAtStart || now.Sub(c.started) >= firstStartPatience
		if large := c.readers[t].largeAt; !large.IsZero() {
			waited = now.Sub(large) >= largePatience
		}
		return waited && !now.Before(copying.until)
	}
	behind := copying.behindSince
	return !behind.IsZero() && now.Sub(behind) >= time.Duration(behindShare*float64(c.settings.MaxApplyDelay))
}
