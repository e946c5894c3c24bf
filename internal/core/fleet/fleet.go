package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/poison"
	"github.com/hemlockdyke/hemlockdyke/internal/core/replica"
)

// Protocol is the version of digests and copies. Others are ignored: they may mean
// something else by the same fields.
const Protocol = 3

// TickInterval is how often the core expects a Tick, in which it sends a digest if
// loads changed. In a tenth of a second one or two new requests come for each target of
// a pool of twelve at today's rate, about the placement's margin.
const TickInterval = 100 * time.Millisecond

const (
	// heartbeatEvery is how long a router without news stays silent.
	heartbeatEvery = 400 * time.Millisecond
	// silentAfter is when a silent router counts as down: three heartbeats lost in
	// a row happen once in tens of thousands at 3% loss. Readers are replaced then,
	// well within the two seconds in which a change has to be in force.
	silentAfter = 1300 * time.Millisecond
	// outcomesEvery is how often a router tells what came of its requests at failing targets. With
	// every digest they would double its bytes where all of a large pool fails.
	outcomesEvery = 300 * time.Millisecond
	// forgetAfter is when a silent router is no longer looked for.
	forgetAfter = 60 * time.Second
	// readers is how many routers follow the store. Two may fail at the same moment
	// before a change is delayed by silentAfter.
	readers = 3
	// briefShare is the part of InForceWithin for which the first reader waits for a
	// change of the desired state, longWait the wait of every other call. A reader that
	// is cut off in silence hears nothing and can't tell that from a store without news;
	// the first one notices after its wait and the call's margin, and the next router
	// in rank begins to read, all before a change has to be in force. Brief waits of all
	// readers would be three times the calls, which are paid for.
	briefShare = 0.5
	longWait   = 15 * time.Second
	// joinPatience is how long routers leave those that rank before them the time to
	// replace a reader: the time for a call and a digest, and little of the two
	// seconds in which a change has to be in force.
	joinPatience = 250 * time.Millisecond
	// startDelay is how long a router leaves others the time to tell of themselves, and of relays, before it becomes
	// a reader, when all start for the first time; and half as much again at the most, so that of many that start
	// together the first ones spare the rest their calls.
	startDelay = 600 * time.Millisecond
	// restartDelay is the same while others may be running: a seed that runs has answered by then. restartDelayMost holds
	// while some are missing that a greeting told of: many start again at once.
	restartDelay     = 130 * time.Millisecond
	restartDelayMost = 500 * time.Millisecond
	// firstStartPatience is how long a router waits for others' copies before it reads tables for itself, when all start for
	// the first time, well before there are requests. One that starts again reads them at once: callers wait.
	firstStartPatience = 3 * time.Second
	// retryMin and retryMax bound the pause after a failed call to the store: calls
	// are paid for, refused ones too, and the fleet shares a limit on them.
	retryMin = 150 * time.Millisecond
	retryMax = time.Second
	// retryMinFed and retryMaxFed are the same for routers that relays feed. They read only while no relay can, which after their
	// first calls means that the store is away for all: the relays find it back.
	retryMinFed = time.Second
	retryMaxFed = 6 * time.Second
	// copyTimeout is when an unanswered copy request is given up and followed by another. It doubles with
	// each one that follows, up to copyTimeoutMost: on a link that is full a copy takes longer than
	// the first, and what is left of copies that were given up fills it further, so that
	// with one timeout for all of them none would ever arrive.
	copyTimeout     = 500 * time.Millisecond
	copyTimeoutMost = 2 * time.Second
)

// Settings configure a Core.
type Settings struct {
	Self        Address
	Incarnation uint64
	// DataCentre is where this router runs.
	DataCentre string
	// Strength is how much this router's VM bears against others': strong ones are relays first. Any unit does.
	Strength uint32
	Seed     uint64
	// StartsFirst routers read the store soon after their start, if nobody gives them copies. The others leave
	// them the time to pass on what they read.
	StartsFirst bool
	// InForceWithin is the time in which a desired state has to be in force.
	InForceWithin time.Duration
	// LeftWithin is the time in which a leaving target has to be left alone.
	LeftWithin time.Duration
}

// reader is the state of following one table at the store.
type reader struct {
	waiting  bool // a call is under way
	position uint64
	failures int // in a row
	retryAt  time.Time
	needAll  bool
	ok       bool      // the last call succeeded
	heardAt  time.Time // of the last answer
	// pausedUntil is when to ask for more, so that changes come together.
	pausedUntil time.Time
	// doubtedAt is since when the call that waits should have ended; zero if it need not have.
	doubtedAt time.Time
	probe     bool      // the next call does not wait
	aloneAt   time.Time // when the table was read for this router alone
	largeAt   time.Time // when it turned out to be large; zero if it did not
}

// Core is the state of one router. It is not safe for concurrent use.
type Core struct {
	settings Settings
	own      candidate // this router, in rank
	rand     *rand.Rand
	tables   [Tables]*replica.Table
	readers  [Tables]reader
	peers    map[Address]*peer

	started time.Time

	startSpread float64 // times startDelay
	// missingSince is since when there are too few readers; zero while there are enough.
	missingSince time.Time
	reading      bool
	first        bool // of the readers, as far as this router knows
	reachable    bool
	watch        storeWatch
	leaving      bool

	sequence   uint64
	lastDigest time.Time
	lastLoads  []placement.Load
	outcomes   []placement.TargetOutcomes
	prompts    []placement.PrefixRead // not told yet
	departures []placement.Departure
	poison     poison.News
	suspects   suspects
	differ     []Address // hold other suspects, and are told of all

	toldOutcomes time.Time
	news         bool // something that the others should hear at once
	urgent       bool // the digest under way was asked for by news
	moved        bool // what this router passes on differs from what it told last
	copying      [Tables]copying

	centres      map[string]*centre // those with routers that run
	unarranged   bool               // centres are out of date
	relay        bool
	announce     int     // digests that still go to all of the own data centre
	feeder       Address // empty if there is none
	fedAt        time.Time
	askedAt      time.Time // since when the feeder is asked
	heardAt      time.Time // of the last digest from anywhere
	soughtAt     time.Time
	probedAt     time.Time
	contact      []Address // to be told with the next digest
	greet        []Address // know too little, and are told of relays at once
	sums         map[string]*reported
	toCentres    outbox
	toFollowers  outbox
	order        []*peer // all peers, see all
	reordered    bool
	readersKnown int
	behind       bool // another router tells of a newer desired state
	// outdatedSince is since when half of the others do; zero if fewer do.
	outdatedSince time.Time

	actions []Action
}

// New returns a Core that knows nothing.
func New(now time.Time, s Settings) *Core {
	c := &Core{
		settings: s, own: candidate{rankOf(s.Self, s.Strength), s.Self}, started: now, rand: rand.New(rand.NewPCG(s.Seed, s.Incarnation)), peers: make(map[Address]*peer),
		centres: make(map[string]*centre), sums: make(map[string]*reported),
	}
	c.startSpread = 1 + 0.5*c.rand.Float64()
	for i := range c.tables {
		c.tables[i] = replica.New()
		c.readers[i].needAll = true
	}
	c.arrange(now)
	c.actions, c.news = nil, false
	return c
}

// Rows returns the content of a copy and its version.
func (c *Core) Rows(t Table) ([]replica.Row, uint64) {
	return c.tables[t].Rows(), c.tables[t].Version()
}

// Known reports whether a table has been read or copied.
func (c *Core) Known(t Table) bool { return c.tables[t].Known() }

// Reading reports whether this router reads the store, or tries to.
func (c *Core) Reading() bool { return c.reading }

// First reports whether this router is the first of those that read the store, as far as it knows.
func (c *Core) First() bool { return c.reading && c.first }

// Step takes one event and returns the actions that follow. The slice is valid
// until the next call.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.actions = c.actions[:0]
	recount := true
	switch ev := ev.(type) {
	case FollowRead:
		c.followRead(now, ev)
	case WholeRead:
		c.wholeRead(now, ev)
	case ReadFailed:
		c.readFailed(now, ev)
	case DigestIn:
		recount = c.digestIn(now, ev)
	case Copied:
		c.copied(now, ev)
	case Found:
		c.found(now, ev)
	case Tick:
		c.tick(now, ev)
	case Learned:
		c.learned(ev.News)
		c.news = true
		if len(ev.Departures) > 0 || len(ev.Poison.Suspects) > 0 {
			c.announce = max(c.announce, 1)
		}
	case Leave:
		c.leaving, c.news = true, true
	}
	if recount {
		c.countReaders(now)
	}
	c.read(now)
	c.readAlone(now)
	if c.news {
		c.digest(now, c.lastLoads)
	}
	c.tellRelays(now)
	c.tellSuspects(now)
	return c.actions
}

// watchVersions notes since when others tell of a desired state that this router lacks. It looks at
// all of them, so not at every digest.
func (c *Core) watchVersions(now time.Time) {
	alive, ahead := 0, 0
	var newest [Tables]uint64
	for _, p := range c.all() {
		if p.direct(now) {
			for t := range newest {
				newest[t] = max(newest[t], p.told[t])
			}
			alive++
			if p.told[Desired] > c.tables[Desired].Version() {
				ahead++
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
	c.behind = ahead > 0
	switch {
	case ahead == 0 || 2*ahead < alive:
		c.outdatedSince = time.Time{}
	case c.outdatedSince.IsZero():
		c.outdatedSince = now
	}
}

// Behind reports whether a router that is alive tells of a newer desired state than this router's.
func (c *Core) Behind() bool { return c.behind }

// Outdated returns for how long half or more of the others that are alive have had a newer desired
// state. If only a few have it, they can't pass it on, and nobody would be left to serve.
func (c *Core) Outdated(now time.Time) time.Duration {
	if c.outdatedSince.IsZero() {
		return 0
	}
	return now.Sub(c.outdatedSince)
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) tick(now time.Time, ev Tick) {
	c.expirePeers(now)
	c.arrange(now)
	c.endDoubted(now)
	c.watch.tick(now, c.readsKnown(now))
	c.watchVersions(now)
	c.outcomes, c.prompts = ev.Outcomes, append(c.prompts, ev.Prompts...)
	c.learned(ev.News)
	heartbeat, passesOn := heartbeatEvery, false
	if c.relay && c.centres[c.settings.DataCentre].hasMembers() {
		heartbeat, passesOn = relayHeartbeat, c.moved || len(c.toFollowers.prompts) > 0
	}
	if c.seeks(now) || c.announce > 0 {
		heartbeat = min(heartbeat, seekEvery)
	}
	if len(c.prompts) > 0 || c.hasNews() || passesOn || !equalLoads(ev.Loads, c.lastLoads) || now.Sub(c.lastDigest) >= heartbeat {
		c.digest(now, ev.Loads)
	}
	c.probe(now)
	for t := range c.copying {
		if !c.copying[t].behindSince.IsZero() {
			c.copyIfBehind(now)
			break
		}
	}
}

// learned notes what the next digest tells.
func (c *Core) learned(n News) {
	c.departures, c.poison = n.Departures, n.Poison
	c.hold(n)
}

func equalLoads(a, b []placement.Load) bool {
	if len(a) != len(b) {
		return false
	}
	open := make(map[uint64]int, len(a))
	for _, l := range a {
		open[l.Target] = l.Open
	}
	for _, l := range b {
		if open[l.Target] != l.Open {
			return false
		}
	}
	return true
}

// changed passes a change of content on. The digest goes at once: the others copy
// as soon as they hear of the version.
func (c *Core) changed(t Table, source string) {
	c.news = true
	c.announce = max(c.announce, 1)
	if t == Desired {
		c.behind = false // as far as is known; the next tick looks at all
	}
	c.emit(Changed{Table: t, Version: c.tables[t].Version(), Source: source})
}
