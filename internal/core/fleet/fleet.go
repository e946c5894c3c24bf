package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/poison"
	"github.com/hemlockdyke/hemlockdyke/internal/core/replica"
	"github.com/hemlockdyke/hemlockdyke/internal/core/shedding"
)

// Protocol is the version of digests and copy messages. Messages of other versions are ignored,
// because their fields may have other meanings.
const Protocol = 3

// TickInterval is the interval of Tick events. At a tick the core sends a digest if loads changed.
// In 100 ms one or two new requests arrive for each target of a pool of twelve at the current rate,
// which is about the margin that placement allows.
const TickInterval = 100 * time.Millisecond

// MaxNoticeDelay is the longest time from a change of a table until all routers know it, if all routers that read the store
// are lost at that moment: another one notices at a tick after peerTimeout and reads the table, and the others learn of
// the newer one from its next digest.
const MaxNoticeDelay = peerTimeout + TickInterval + storeReadTime + TickInterval + copyTime

const (
	// heartbeatInterval is the longest time between two digests of a router.
	heartbeatInterval = 400 * time.Millisecond
	// peerTimeout is how long after its last digest a router counts as down. At 3% loss, three
	// heartbeats in a row are lost once in tens of thousands. Store readers are replaced after this
	// time, well within the two seconds in which a change has to be applied.
	peerTimeout = 1300 * time.Millisecond
	// outcomesInterval is how often a router reports the outcomes of its requests at failing
	// targets. Outcomes in every digest would double its size when all targets of a large pool
	// fail.
	outcomesInterval = 300 * time.Millisecond
	// storeReadTime is how long a read of a table takes, and copyTime how long a router takes to get a copy of it from
	// another one, on a store and links that are not disturbed.
	storeReadTime = 50 * time.Millisecond
	copyTime      = 20 * time.Millisecond
	// peerRetention is how long a silent router is remembered.
	peerRetention = 60 * time.Second
	// readerCount is how many routers read the store. Two may fail at the same time before a change
	// is delayed by peerTimeout.
	readerCount = 3
	// shortWaitShare is the share of MaxApplyDelay for which the first reader waits for a change of
	// the desired state; longWait is the wait of all other calls. A reader whose connection is
	// silently cut can't tell this from a store without changes. The first reader notices it after
	// its wait and the call's margin, and the router next in rank starts to read, all before a
	// change has to be applied. Short waits at all readers would triple the number of calls, which
	// cost money.
	shortWaitShare = 0.5
	longWait       = 15 * time.Second
	// readerTakeoverDelay is how long a router waits for those of higher rank to replace a reader:
	// long enough for a store call and a digest, and short against the two seconds in which a
	// change has to be applied.
	readerTakeoverDelay = 250 * time.Millisecond
	// firstStartDelay is how long a router without Settings.ReadStoreAtStart waits for the digests
	// of other routers, relays in particular, before it becomes a reader. Such a router starts
	// together with the whole fleet. A random extra of up to half of the delay spreads the times at
	// which routers may start to read, so that the first ones save the others their calls.
	firstStartDelay = 600 * time.Millisecond
	// restartDelay replaces firstStartDelay for a router with Settings.ReadStoreAtStart. Other
	// routers may be running then, and a running seed has answered by the end of the delay.
	// maxRestartDelay applies while routers that a greeting listed are not alive, because many
	// routers restart at once then.
	restartDelay    = 130 * time.Millisecond
	maxRestartDelay = 500 * time.Millisecond
	// firstStartCopyTimeout is how long a router without Settings.ReadStoreAtStart waits for copies
	// from other routers before it reads tables itself. It can wait, because the whole fleet starts
	// well before requests arrive. A router with Settings.ReadStoreAtStart reads immediately,
	// because callers wait.
	firstStartCopyTimeout = 3 * time.Second
	// minRetryDelay and maxRetryDelay limit the delay after a failed store call. Calls cost money
	// even if refused, and the fleet shares a rate limit.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = time.Second
	// minFedRetryDelay and maxFedRetryDelay apply to routers that are not relays. These read the
	// store only while no relay can. If their own first calls fail as well, there is a store
	// outage, and the relays detect its end.
	minFedRetryDelay = time.Second
	maxFedRetryDelay = 6 * time.Second
	// minCopyTimeout is the timeout of the first copy request. Each failure doubles the timeout up
	// to maxCopyTimeout. On a full link a copy takes longer than the first timeout, and the rest of
	// abandoned copies fills the link further: with a fixed timeout no copy would ever arrive.
	minCopyTimeout = 500 * time.Millisecond
	maxCopyTimeout = 2 * time.Second
)

// Settings configures a Core.
type Settings struct {
	Self        Address
	Incarnation uint64
	// DataCentre is the data centre of this router.
	DataCentre string
	// Strength is the capacity of this router's VM relative to others, in any unit. Strong VMs
	// become relays first.
	Strength uint32
	Seed     uint64
	// ReadStoreAtStart makes the router read the store soon after its start if it receives no
	// copies. Routers that start together with the whole fleet don't have it set: they wait longer
	// for copies from those that read the store first.
	ReadStoreAtStart bool
	// MaxApplyDelay is the time within which a desired state has to be applied.
	MaxApplyDelay time.Duration
	// MaxDepartureDelay is the time within which a leaving target must stop receiving requests.
	MaxDepartureDelay time.Duration
}

// readState is the state of reading one table from the store.
type readState struct {
	callPending   bool
	position      uint64 // version after which the next read of changes starts
	failures      int    // consecutive failures
	retryAt       time.Time
	needsFullRead bool
	lastCallOK    bool      // the last call succeeded; false unless this router is a store reader
	answeredAt    time.Time // time of the last answer
	// batchUntil is the earliest time of the next call, which lets changes accumulate.
	batchUntil time.Time
	// lostSince is since when the pending call's answer may have been lost; zero if there is no
	// sign of it.
	lostSince    time.Time
	noWait       bool      // the next call does not wait for changes
	ownReadAt    time.Time // last read outside the reader role
	foundLargeAt time.Time // when the table turned out to be large; zero if it did not
}

// Core is the state of one router. It is not safe for concurrent use.
type Core struct {
	settings   Settings
	own        candidate // this router with its rank
	rand       *rand.Rand
	tables     [TableCount]*replica.Table
	readStates [TableCount]readState
	peers      map[Address]*peer

	startedAt time.Time

	readDelayFactor float64 // random factor of readDelay, from 1 to 1.5
	// readersMissingSince is since when there have been too few store readers; zero if there are
	// enough.
	readersMissingSince time.Time
	reading             bool
	isFirstReader       bool // this router is the first reader, as far as it knows
	reachable           bool // as last reported; false unless this router is a reader
	outages             outageDetector
	leaving             bool

	sequence    uint64
	lastSentAt  time.Time
	lastLoads   []placement.Load
	outcomes    []placement.TargetOutcomes
	teams       []shedding.TeamWork
	prefixReads []placement.PrefixRead // not yet sent
	departures  []placement.Departure
	poison      poison.Report
	// streams are this router's records that were not sent yet, streamsElsewhere those that this relay
	// has to pass on to another data centre.
	streams, streamsElsewhere streamQueue
	streamKeepers             map[Address]uint64 // incarnations of the routers that were sent records
	suspects                  suspects
	suspectSyncPeers          []Address // routers with other suspects; they receive all of this router's

	outcomesSentAt time.Time
	digestPending  bool // a digest must be sent immediately
	urgent         bool // the digests being sent can't wait for the next tick
	reportsChanged bool // reports changed since they were last passed on
	copying        [TableCount]copyState

	centres                map[string]*centre // data centres with running routers
	topologyStale          bool               // centres must be recomputed
	relay                  bool
	remainingAnnouncements int       // own digests that still go to the whole data centre
	targetsAnnouncedAt     time.Time // when a changed target list last triggered a digest
	feeder                 Address   // empty if there is none
	fedAt                  time.Time
	feedRequestedAt        time.Time // when the feeder was chosen
	lastReceivedAt         time.Time // time of the last digest from any router
	relaySearchAt          time.Time
	probedAt               time.Time
	contacts               []Address // discovered routers that the next digest is sent to
	peersToGreet           []Address
	centreSums             map[string]*sourceReport
	centreOutbox           outbox
	followerOutbox         outbox
	peerOrder              []*peer // result of sortedPeers
	peersChanged           bool
	knownReaders           int
	behind                 bool // a router that is heard reports a newer desired state
	// outdatedSince is since when at least half of the routers that are heard have reported a newer
	// desired state; zero if fewer do.
	outdatedSince time.Time

	actions []Action
}

// SetMaxDelays changes Settings.MaxApplyDelay and Settings.MaxDepartureDelay. Calls to the store that wait keep their times.
func (c *Core) SetMaxDelays(apply, departure time.Duration) {
	c.settings.MaxApplyDelay, c.settings.MaxDepartureDelay = apply, departure
}

// New returns a Core with empty tables.
func New(now time.Time, s Settings) *Core {
	c := &Core{
		settings: s, own: candidate{rankOf(s.Self, s.Strength), s.Self}, startedAt: now, rand: rand.New(rand.NewPCG(s.Seed, s.Incarnation)), peers: make(map[Address]*peer),
		centres: make(map[string]*centre), centreSums: make(map[string]*sourceReport),
		streamKeepers: make(map[Address]uint64),
	}
	c.readDelayFactor = 1 + 0.5*c.rand.Float64()
	for i := range c.tables {
		c.tables[i] = replica.New()
		c.readStates[i].needsFullRead = true
	}
	c.updateTopology(now)
	c.actions, c.digestPending = nil, false
	return c
}

// Rows returns the rows of a table copy and its version.
func (c *Core) Rows(t Table) ([]replica.Row, uint64) {
	return c.tables[t].Rows(), c.tables[t].Version()
}

// RowCount returns how many rows a table copy has.
func (c *Core) RowCount(t Table) int { return c.tables[t].Len() }

// TableVersion returns the version of a table copy.
func (c *Core) TableVersion(t Table) uint64 { return c.tables[t].Version() }

// HasTable reports whether a table has been read or copied.
func (c *Core) HasTable(t Table) bool { return c.tables[t].Loaded() }

// ReadsStore reports whether this router is a store reader, even if the store does not answer.
func (c *Core) ReadsStore() bool { return c.reading }

// IsFirstReader reports whether this router is the highest-ranked store reader, as far as it knows.
func (c *Core) IsFirstReader() bool { return c.reading && c.isFirstReader }

// Step processes one event and returns the resulting actions. The slice is valid until the next
// call.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.actions = c.actions[:0]
	readersMayChange := true
	switch ev := ev.(type) {
	case ChangesRead:
		c.changesRead(now, ev)
	case TableRead:
		c.tableRead(now, ev)
	case ReadFailed:
		c.readFailed(now, ev)
	case DigestReceived:
		readersMayChange = c.digestReceived(now, ev)
	case CopyCompleted:
		c.copyCompleted(now, ev)
	case AddressesDiscovered:
		c.addressesDiscovered(now, ev)
	case Tick:
		c.tick(now, ev)
	case UrgentReportsPending:
		c.setUrgentReports(ev.UrgentReports)
		c.digestPending = true
		if len(ev.Departures) > 0 || len(ev.Poison.Suspects) > 0 {
			c.remainingAnnouncements = max(c.remainingAnnouncements, 1)
		}
	case Shutdown:
		c.leaving, c.digestPending = true, true
	}
	if readersMayChange {
		c.updateReading(now)
	}
	c.startReads(now)
	c.readForSelf(now)
	if c.digestPending {
		c.sendDigests(now, c.lastLoads)
	}
	c.sendGreetings(now)
	c.sendSuspects(now)
	return c.actions
}

// updateVersionLag records since when the routers that are heard have reported newer versions. It
// visits all routers, so it runs once a tick and not at each digest.
func (c *Core) updateVersionLag(now time.Time) {
	heard, newer := 0, 0
	var newest [TableCount]uint64
	for _, p := range c.sortedPeers() {
		if p.isHeard(now) {
			for t := range newest {
				newest[t] = max(newest[t], p.reportedVersions[t])
			}
			heard++
			if p.reportedVersions[DesiredTable] > c.tables[DesiredTable].Version() {
				newer++
			}
		}
	}
	for t := range c.copying {
		switch since := &c.copying[t].behindSince; {
		case newest[t] <= c.tables[t].Version():
			*since = time.Time{}
		case since.IsZero():
			*since = now
		}
	}
	c.behind = newer > 0
	switch {
	case newer == 0 || 2*newer < heard:
		c.outdatedSince = time.Time{}
	case c.outdatedSince.IsZero():
		c.outdatedSince = now
	}
}

// IsBehind reports whether some router that this one receives digests from has a newer desired
// state.
func (c *Core) IsBehind() bool { return c.behind }

// OutdatedFor returns for how long at least half of the routers that this one receives digests from
// have had a newer desired state; 0 if fewer do. A newer state at only a few routers does not
// count: they may be unable to pass it on, and no router would be left to serve.
func (c *Core) OutdatedFor(now time.Time) time.Duration {
	if c.outdatedSince.IsZero() {
		return 0
	}
	return now.Sub(c.outdatedSince)
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) tick(now time.Time, ev Tick) {
	c.expirePeers(now)
	c.updateTopology(now)
	c.cancelLostCall(now)
	c.outages.tick(now, c.hasReader(now))
	c.updateVersionLag(now)
	c.teams = ev.Teams
	c.outcomes, c.prefixReads = ev.Outcomes, append(c.prefixReads, ev.PrefixReads...)
	c.streams.add(ev.Streams...)
	c.passStreamsOn(ev.Streams)
	c.setUrgentReports(ev.UrgentReports)
	heartbeat, reportsToForward := heartbeatInterval, false
	if c.relay && c.centres[c.settings.DataCentre].hasFollowers() {
		heartbeat, reportsToForward = relayHeartbeatInterval, c.reportsChanged || len(c.followerOutbox.prefixReads) > 0
	}
	if c.needsRelays(now) || c.remainingAnnouncements > 0 {
		heartbeat = min(heartbeat, relaySearchInterval)
	}
	if len(c.prefixReads) > 0 || c.hasUrgentReports() || reportsToForward || !equalLoads(ev.Loads, c.lastLoads) || now.Sub(c.lastSentAt) >= heartbeat {
		c.sendDigests(now, ev.Loads)
	}
	c.sendOwnStreams(now)
	c.sendStreamsElsewhere(now)
	c.probe(now)
	for t := range c.copying {
		if !c.copying[t].behindSince.IsZero() {
			c.copyNewerTables(now)
			break
		}
	}
}

// setUrgentReports sets the urgent reports of the next digest and this router's suspects.
func (c *Core) setUrgentReports(reports UrgentReports) {
	c.departures, c.poison = reports.Departures, reports.Poison
	c.setSuspects(reports)
}

func equalLoads(a, b []placement.Load) bool {
	if len(a) != len(b) {
		return false
	}
	byTarget := make(map[uint64]placement.Load, len(a))
	for _, l := range a {
		byTarget[l.Target] = l
	}
	for _, l := range b {
		if other := byTarget[l.Target]; other.Open != l.Open || other.Silent != l.Silent || !equalSchedules(other, l) {
			return false
		}
	}
	return true
}

// tableChanged reports changed content. It triggers a digest immediately, because other routers
// request a copy as soon as they learn of the new version. Of target lists that follow each other
// soon, only the first does so, and the others wait for the next digest: urgent reports spread
// departures, and a digest and a copy per router for each change would grow with the fleet and its
// targets alike.
func (c *Core) tableChanged(now time.Time, t Table, source string) {
	if t == DesiredTable || due(now, &c.targetsAnnouncedAt, c.targetsCopyInterval()) {
		c.digestPending = true
		c.remainingAnnouncements = max(c.remainingAnnouncements, 1)
	}
	c.copying[t].behindSince = time.Time{} // until the next tick compares the versions of all routers
	if t == DesiredTable {
		c.behind = false
	}
	changes, whole := c.tables[t].TakeChanges()
	c.emit(TableChanged{Table: t, Version: c.tables[t].Version(), Source: source, Changes: changes, Whole: whole})
}
