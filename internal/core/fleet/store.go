package fleet

import "time"

// storeSource is the source of content that this router read from the store itself.
const storeSource = "store"

func (c *Core) changesRead(now time.Time, ev ChangesRead) {
	r := &c.readStates[ev.Table]
	c.readSucceeded(r)
	r.position, r.answeredAt = max(r.position, ev.Position), now
	c.noteLostAnswer(now, ev.Position)
	if len(ev.Rows) > 0 {
		r.batchUntil = now.Add(c.batchDelay(ev.Table))
	}
	if c.tables[ev.Table].Apply(ev.Rows, 0) {
		c.tableChanged(now, ev.Table, storeSource)
	}
}

func (c *Core) tableRead(now time.Time, ev TableRead) {
	r := &c.readStates[ev.Table]
	c.readSucceeded(r)
	r.answeredAt = now
	r.needsFullRead = false
	r.position = max(r.position, ev.Position)
	if c.tables[ev.Table].Load(ev.Position, ev.Rows) {
		c.tableChanged(now, ev.Table, storeSource)
	}
}

func (c *Core) readSucceeded(r *readState) {
	r.callPending, r.failures, r.lastCallOK = false, 0, c.reading
	r.lostSince = time.Time{}
	c.updateStoreState()
}

const (
	// targetsBatchShare is the share of MaxDepartureDelay for which the first reader lets changes
	// of the target list accumulate before its next call. The other readers do so for
	// otherReaderBatchShare of MaxDepartureDelay for the target list and of MaxApplyDelay for the
	// desired state. Without batching, each of many successive changes is answered to three
	// readers, and calls cost money. The other readers only replace the first one if its answers
	// are lost, and call immediately when they become the first. On a simulated network, 62 changes
	// in four seconds take 39 calls instead of 190.
	targetsBatchShare     = 0.05
	otherReaderBatchShare = 0.25
)

// batchDelay returns the delay of the next call after a table has changed.
func (c *Core) batchDelay(t Table) time.Duration {
	maxDelay := c.settings.MaxApplyDelay
	if t == TargetsTable {
		maxDelay = c.settings.MaxDepartureDelay
	}
	switch {
	case !c.isFirstReader:
		return time.Duration(otherReaderBatchShare * float64(maxDelay))
	case t == TargetsTable:
		return time.Duration(targetsBatchShare * float64(maxDelay))
	}
	return 0
}

// answerTimeout is how long a pending call may take to return a change, from when another call's
// answer shows that the store has changed. The store answers in 4 ms, and in 300 ms when it is
// slow.
const answerTimeout = 300 * time.Millisecond

// lostAnswerShare is the share of MaxApplyDelay that must pass after the last answer before a
// pending call may be cancelled. Otherwise each of several desired states in quick succession would
// cancel a call. The share is half of a short wait, see shortWaitShare. Cancelling at most one call
// in that time costs a third of the calls, and a lost answer is still detected well before a
// leaving target must stop receiving requests.
const lostAnswerShare = 0.25

// noteLostAnswer records that the first reader's call for the target list is still pending although
// the store has changed, which the answer to its short call for the desired state shows. Either
// another table changed, or the answer got lost and the call returns nothing until its wait ends.
// Meanwhile all routers would send requests to a leaving target. A lost answer has no other sign:
// the connection works, and this router reports that it reads the store. Short waits for this table
// as well would cost half as many calls again while little changes; this check costs two calls for
// each change of another table. The other readers don't need it, because the first reader passes
// the change on.
func (c *Core) noteLostAnswer(now time.Time, newest uint64) {
	r := &c.readStates[TargetsTable]
	if c.isFirstReader && r.callPending && r.position < newest && r.lostSince.IsZero() {
		r.lostSince = now
	}
}

// cancelLostCall cancels a call whose answer has probably been lost. The next call starts at the
// same position and does not wait for changes, so a second lost answer is detected immediately.
func (c *Core) cancelLostCall(now time.Time) {
	r := &c.readStates[TargetsTable]
	if !r.callPending || r.lostSince.IsZero() || now.Sub(r.answeredAt) < time.Duration(lostAnswerShare*float64(c.settings.MaxApplyDelay)) {
		return
	}
	if now.Sub(r.lostSince) >= answerTimeout {
		r.lostSince, r.noWait = time.Time{}, true
		c.emit(CancelReadChanges{Table: TargetsTable})
	}
}

func (c *Core) readFailed(now time.Time, ev ReadFailed) {
	r := &c.readStates[ev.Table]
	r.callPending, r.lostSince = false, time.Time{}
	switch {
	case ev.Cancelled:
		return
	case ev.HistoryLost:
		r.needsFullRead = true
		return
	case ev.TooLarge:
		r.foundLargeAt = now
		return
	case ev.ReplyTooLarge:
		r.needsFullRead = true // a sound table comes in pages, whatever its changes have added up to
	}
	r.lastCallOK = false
	r.failures++
	c.outages.lastFailureAt = now
	minDelay, maxDelay := minRetryDelay, maxRetryDelay
	if !c.relay {
		minDelay, maxDelay = minFedRetryDelay, maxFedRetryDelay
	}
	delay := min(minDelay<<min(r.failures-1, 8), maxDelay)
	r.retryAt = now.Add(time.Duration(float64(delay) * (0.5 + c.rand.Float64())))
	c.updateStoreState()
}

// updateStoreState reports when the store becomes reachable or unreachable.
func (c *Core) updateStoreState() {
	if reachable := c.storeReachable(); reachable != c.reachable {
		c.reachable = reachable
		c.digestPending = true
		c.emit(StoreStateChanged{Reading: c.reading, Reachable: reachable})
	}
}

func (c *Core) storeReachable() bool {
	for i := range c.readStates {
		if !c.readStates[i].lastCallOK {
			return false
		}
	}
	return true
}

// updateReading makes this router a store reader or ends that role. It visits all routers, so it
// runs at each tick and only at digests that may change which routers read. At every digest it
// would take longer than all other processing of the digest.
func (c *Core) updateReading(now time.Time) {
	readersAhead, missing, idleAhead := c.otherReaders(now)
	shouldRead := !c.leaving && readersAhead < readerCount
	if !c.reading {
		shouldRead = !c.leaving && c.mayBecomeReader(now, missing, idleAhead)
	}
	if shouldRead != c.reading {
		c.reading = shouldRead
		c.digestPending = true
		for i := range c.readStates {
			r := &c.readStates[i]
			// The store is reachable if an answer has just arrived.
			r.lastCallOK = shouldRead && !r.answeredAt.IsZero() && now.Sub(r.answeredAt) < noReaderTimeout
		}
		c.emit(StoreStateChanged{Reading: shouldRead, Reachable: c.reachable})
		if !shouldRead {
			c.stopReading()
		}
	}
	if first := shouldRead && readersAhead == 0; first != c.isFirstReader {
		c.isFirstReader = first
		if first {
			c.cancelReads() // the pending calls of a reader that was not the first have long waits
		}
	}
}

// startReads keeps a call pending for each table while this router is a store reader.
func (c *Core) startReads(now time.Time) {
	if !c.reading {
		return
	}
	for i := range c.readStates {
		c.startRead(now, Table(i))
	}
}

func (c *Core) cancelReads() {
	for i := range c.readStates {
		c.readStates[i].batchUntil = time.Time{}
		c.emit(CancelReadChanges{Table: Table(i)})
	}
}

func (c *Core) stopReading() {
	c.cancelReads()
	for i := range c.readStates {
		c.readStates[i].lastCallOK = false
	}
	c.reachable = false
}

func (c *Core) startRead(now time.Time, t Table) {
	r := &c.readStates[t]
	if r.callPending || now.Before(r.retryAt) || now.Before(r.batchUntil) {
		return
	}
	if !c.relay && t != DesiredTable && c.readStates[DesiredTable].failures > 0 {
		return // calls for one table are enough to detect the end of an outage
	}
	r.callPending = true
	// A copy from another router may be newer than this router's last read.
	r.position = max(r.position, c.tables[t].Version())
	if r.needsFullRead {
		c.emit(ReadTable{Table: t})
		return
	}
	wait := longWait
	switch {
	case !r.lastCallOK || r.noWait:
		r.noWait = false
		wait = 0 // the answer shows immediately whether the store is reachable
	case c.isFirstReader && t == DesiredTable:
		wait = time.Duration(shortWaitShare * float64(c.settings.MaxApplyDelay))
	}
	c.emit(ReadChanges{Table: t, After: r.position, Wait: wait})
}

// mayBecomeReader reports whether this router should start to read the store. missing is the number
// of missing readers, idleAhead the number of higher-ranked routers that don't read. The
// highest-ranked relays start first, so that not all routers call the store at once. The other
// relays follow after readerTakeoverDelay, because the first may not reach the store either.
// Routers that are not relays read only if no router reads, and wait longer the lower their rank. A
// starting router first waits for the digests of others.
func (c *Core) mayBecomeReader(now time.Time, missing, idleAhead int) bool {
	if missing <= 0 || (!c.relay && missing < readerCount) || now.Sub(c.startedAt) < c.readDelay(now) {
		c.readersMissingSince = time.Time{}
		return false
	}
	if c.readersMissingSince.IsZero() {
		c.readersMissingSince = now
	}
	if !c.relay {
		return now.Sub(c.readersMissingSince) >= readerTakeoverDelay*time.Duration(2+idleAhead/relaysPerCentre)
	}
	return idleAhead < missing || now.Sub(c.readersMissingSince) >= readerTakeoverDelay
}

// readDelay returns how long after its start this router may become a store reader. A router with
// Settings.ReadStoreAtStart that knows of no other router does not wait.
func (c *Core) readDelay(now time.Time) time.Duration {
	delay := firstStartDelay
	if c.settings.ReadStoreAtStart {
		delay = min(restartDelay, restartDelay*time.Duration(len(c.peers)))
		for _, p := range c.sortedPeers() {
			if p.located && !p.isAlive(now) {
				delay = maxRestartDelay
			}
		}
	}
	return time.Duration(float64(delay) * c.readDelayFactor)
}

// otherReaders returns how many higher-ranked routers read the store successfully, how many readers
// are missing, and how many higher-ranked routers could read but don't. The reader role is not
// permanent: readers may be killed, cut off or refused by the store, and others take over without
// coordination. Relays receive each other's digests; all other routers rely on their feeder's
// count.
func (c *Core) otherReaders(now time.Time) (readersAhead, missing, idleAhead int) {
	own := c.own.rank
	others := 0
	for _, p := range c.sortedPeers() {
		switch {
		case p.leaving || !p.isHeard(now):
		case p.reading:
			others++
			if p.rank.compare(own) < 0 {
				readersAhead++
			}
		case c.centres[p.dataCentre].isRelay(p.address) && p.rank.compare(own) < 0:
			idleAhead++
		}
	}
	self := 0
	if c.reading && c.storeReachable() {
		self = 1
	}
	if p, ok := c.peers[c.feeder]; ok && p.isHeard(now) {
		others = max(p.readers-self, 0)
		readersAhead, idleAhead = others, c.higherRankedCount(now)
	}
	c.knownReaders = others + self
	return readersAhead, readerCount - others, idleAhead
}

// ownReadDelayShare is the share of MaxApplyDelay for which a router tries to copy a newer version
// before it reads the store itself. Copies of a large desired state reach most of a fleet in a
// third of two seconds.
const ownReadDelayShare = 0.4

const (
	// maxOwnReadRows is the largest number of rows that a router reads immediately without being a
	// store reader. If all routers of a starting fleet read a large list, it would cross the
	// store's link and their own links once for each router, which takes longer than copies.
	maxOwnReadRows = 250
	// largeCopyTimeout is how long a router waits for a copy of a larger table before it reads the
	// table itself.
	largeCopyTimeout = 3 * time.Second
)

// readForSelf reads tables that this router lacks or has an old copy of, if it receives no copies
// and is not a store reader. A router that receives digests but whose own messages are lost would
// otherwise wait for copies forever.
func (c *Core) readForSelf(now time.Time) {
	if c.reading {
		return
	}
	for i := range c.readStates {
		if r := &c.readStates[i]; !r.callPending && now.Sub(r.ownReadAt) >= maxRetryDelay && c.needsOwnRead(now, Table(i)) {
			r.callPending, r.ownReadAt = true, now
			maxRows := maxOwnReadRows
			if !r.foundLargeAt.IsZero() {
				maxRows = 0
			}
			c.emit(ReadTable{Table: Table(i), MaxRows: maxRows})
		}
	}
}

func (c *Core) needsOwnRead(now time.Time, t Table) bool {
	copying := &c.copying[t]
	if !c.tables[t].Loaded() {
		waited := c.settings.ReadStoreAtStart || now.Sub(c.startedAt) >= firstStartCopyTimeout
		if large := c.readStates[t].foundLargeAt; !large.IsZero() {
			waited = now.Sub(large) >= largeCopyTimeout
		}
		return waited && !now.Before(copying.deadline)
	}
	behind := copying.behindSince
	return !behind.IsZero() && now.Sub(behind) >= time.Duration(ownReadDelayShare*float64(c.settings.MaxApplyDelay))
}
