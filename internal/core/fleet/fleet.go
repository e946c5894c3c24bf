package fleet

import (
	"math/rand/v2"
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/replica"
)

// Protocol is the version of digests and copies. Others are ignored: they may mean
// something else by the same fields.
const Protocol = 2

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
	// forgetAfter is when a silent router is no longer sent digests. Until then they
	// tell a process that starts at its address who else runs.
	forgetAfter = 60 * time.Second
	// knownEvery is how many digests apart the list of routers is sent.
	knownEvery = 10
	// knownFrom is from how many routers one that starts hears who runs, in the mean, beside those that it
	// tells that it knows few: three may be lost.
	knownFrom = 4
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
	// startDelay is how long a starting router leaves others the time to tell of
	// themselves before it reads the store, and half as much again at the most, so
	// that of many that start together the first ones spare the rest their calls.
	startDelay = 300 * time.Millisecond
	// retryMin and retryMax bound the pause after a failed call to the store: calls
	// are paid for, refused ones too, and the fleet shares a limit on them.
	retryMin = 150 * time.Millisecond
	retryMax = time.Second
	// noReaderFor is how long nobody has to read the store before it counts as away:
	// others take over from readers that are refused within a few digests.
	noReaderFor = 600 * time.Millisecond
	// outageLasts is how long the store counts as away after a router reads it
	// again. The readers see within 1.5 s what expired meanwhile.
	outageLasts = 3 * time.Second
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
	Seed        uint64
	// StartsFirst routers read the store as soon as they start. The others leave
	// them a moment to pass on what they read.
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
	probe     bool // the next call does not wait
}

// Core is the state of one router. It is not safe for concurrent use.
type Core struct {
	settings Settings
	rand     *rand.Rand
	tables   [Tables]*replica.Table
	readers  [Tables]reader
	peers    map[Address]*peer

	started time.Time

	startDelay time.Duration
	// missingSince is since when there are too few readers; zero while there are enough.
	missingSince time.Time
	reading      bool
	first        bool // of the readers, as far as this router knows
	reachable    bool
	lastRead     time.Time // when some router read the store; zero if never
	outageAt     time.Time // when no router read it last; zero if never
	leaving      bool

	sequence   uint64
	lastDigest time.Time
	lastLoads  []placement.Load
	outcomes   []placement.Outcomes
	prompts    []placement.Read // not told yet
	departures []placement.Departure

	toldOutcomes time.Time
	news         bool      // something that the others should hear at once
	greet        []Address // routers that have started: each is told at once what this one holds
	greetKnown   bool      // one of them tells that it knows few others
	copying      [Tables]copying
	behind       bool // another router tells of a newer desired state
	// outdatedSince is since when half of the others do; zero if fewer do.
	outdatedSince time.Time

	actions []Action
}

// copying is the state of copying one table.
type copying struct {
	until    time.Time // when the request under way is given up; zero if there is none
	failures int       // in a row
}

// timeout returns how long the next request may take.
func (c *copying) timeout() time.Duration {
	return min(copyTimeout<<min(c.failures, 8), copyTimeoutMost)
}

// New returns a Core that knows nothing.
func New(now time.Time, s Settings) *Core {
	c := &Core{
		settings: s, started: now, rand: rand.New(rand.NewPCG(s.Seed, s.Incarnation)), peers: make(map[Address]*peer),
	}
	c.startDelay = time.Duration(float64(startDelay) * (1 + 0.5*c.rand.Float64()))
	for i := range c.tables {
		c.tables[i] = replica.New()
		c.readers[i].needAll = true
	}
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

// StoreAway reports whether no router reads the store, or none did a moment ago.
// Entries of targets expire while the store is away, so a removal says less then.
// A store that refuses some routers and serves others is not away.
func (c *Core) StoreAway(now time.Time) bool {
	return !c.outageAt.IsZero() && now.Sub(c.outageAt) < outageLasts
}

// watchStore notes the moments in which no router reads the store. Before the
// first read there is nothing that could have expired.
func (c *Core) watchStore(now time.Time) {
	read := c.reading && c.healthy()
	for _, p := range c.peers {
		read = read || (p.reading && p.alive(now))
	}
	switch {
	case read:
		c.lastRead = now
	case !c.lastRead.IsZero() && now.Sub(c.lastRead) >= noReaderFor:
		c.outageAt = now
	}
}

// Step takes one event and returns the actions that follow. The slice is valid
// until the next call.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.actions = c.actions[:0]
	recount := true
	switch ev := ev.(type) {
	case FollowRead:
		c.followRead(now, ev)
	case WholeRead:
		c.wholeRead(ev)
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
	case Leave:
		c.leaving, c.news = true, true
	}
	if recount {
		c.countReaders(now)
	}
	c.read(now)
	if c.news {
		c.digest(now, c.lastLoads)
	}
	c.greetStarted(now)
	return c.actions
}

// greetStarted tells routers that have started what this one holds, and some of them who else runs. Only
// they are told: were all told of each, as many start again a fleet's bytes would grow with the third power of its
// size, links would lose what fills them, and routers whose digests are lost are taken for down. Half of 62 routers
// starting again: 269 KB of digests out of a router in the first second instead of 5,185, on a simulated network.
func (c *Core) greetStarted(now time.Time) {
	if len(c.greet) == 0 {
		return
	}
	to := c.greet
	c.greet = nil
	d := c.compose(c.lastLoads)
	if c.greetKnown || c.rand.Float64()*float64(c.Alive(now)) < knownFrom {
		d.Known = c.known(now)
	}
	c.greetKnown = false
	c.emit(SendDigest{To: to, Digest: d})
}

// known returns the routers that are worth telling of.
func (c *Core) known(now time.Time) []string {
	var out []string
	for _, a := range c.addressees(now) {
		out = append(out, string(a))
	}
	return out
}

// watchVersions notes since when others tell of a desired state that this router lacks. It looks at
// all of them, so not at every digest.
func (c *Core) watchVersions(now time.Time) {
	alive, ahead := 0, 0
	for _, p := range c.peers {
		if p.alive(now) {
			alive++
			if p.desired > c.tables[Desired].Version() {
				ahead++
			}
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
	c.endDoubted(now)
	c.watchStore(now)
	c.watchVersions(now)
	c.outcomes, c.prompts = ev.Outcomes, append(c.prompts, ev.Prompts...)
	c.departures = ev.Departures
	if len(c.prompts) > 0 || len(c.departures) > 0 || !equalLoads(ev.Loads, c.lastLoads) || now.Sub(c.lastDigest) >= heartbeatEvery {
		c.digest(now, ev.Loads)
	}
	c.copyIfBehind(now)
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

// digest tells every known router what this one holds.
func (c *Core) digest(now time.Time, loads []placement.Load) {
	c.news = false
	c.lastDigest, c.lastLoads = now, loads
	d := c.compose(loads)
	if now.Sub(c.toldOutcomes) >= outcomesEvery {
		c.toldOutcomes = now
		c.tellOutcomes(d)
	}
	for _, s := range c.prompts {
		d.PromptPart = append(d.PromptPart, s.Part)
		d.PromptTarget = append(d.PromptTarget, s.Target)
	}
	c.prompts = c.prompts[:0]
	for _, left := range c.departures {
		d.LeftTarget = append(d.LeftTarget, left.Target)
		d.LeftList = append(d.LeftList, left.List)
		d.LeftGone = append(d.LeftGone, left.Gone)
	}
	c.departures = nil
	to := c.addressees(now)
	if c.sequence%knownEvery == 1 {
		d.Known = c.known(now)
	}
	if len(to) > 0 {
		c.emit(SendDigest{To: to, Digest: d})
	}
}

// compose returns the next digest, with what every digest tells.
func (c *Core) compose(loads []placement.Load) *peerv1.Digest {
	c.sequence++
	d := &peerv1.Digest{
		Protocol: Protocol, Incarnation: c.settings.Incarnation, Sequence: c.sequence,
		Reading: c.reading && c.healthy(), Leaving: c.leaving,
	}
	for _, t := range c.tables {
		d.Versions = append(d.Versions, t.Version())
	}
	for _, l := range loads {
		d.LoadTarget = append(d.LoadTarget, l.Target)
		d.LoadOpen = append(d.LoadOpen, uint32(l.Open))
	}
	return d
}

func (c *Core) tellOutcomes(d *peerv1.Digest) {
	d.TellsOutcomes = true
	for _, o := range c.outcomes {
		if o.Ended > 0 {
			d.OutcomeTarget = append(d.OutcomeTarget, o.Target)
			d.OutcomeEnded = append(d.OutcomeEnded, float32(o.Ended))
			d.OutcomeFailed = append(d.OutcomeFailed, float32(o.Failed))
		}
		if o.Took > 0 {
			d.SlowTarget = append(d.SlowTarget, o.Target)
			d.SlowTook = append(d.SlowTook, float32(o.Took))
			d.SlowExpected = append(d.SlowExpected, float32(o.Expected))
		}
	}
}

// changed passes a change of content on. The digest goes at once: the others copy
// as soon as they hear of the version.
func (c *Core) changed(t Table, source string) {
	c.news = true
	if t == Desired {
		c.behind = false // as far as is known; the next tick looks at all
	}
	c.emit(Changed{Table: t, Version: c.tables[t].Version(), Source: source})
}
