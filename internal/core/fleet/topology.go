package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
)

// Routers talk on two levels. The first routers in rank of each data centre are its relays: each router tells its
// relays what it has open, relays tell those of the other data centres the sum, and each router is fed by one relay
// with the sum over the fleet. What a router sends and takes in so follows the number of relays, and of a relay that of its
// data centre, where all telling all grew with the fleet.
// Nobody elects relays: each router ranks those that it knows to run, and a relay that falls silent is left out.

const (
	// relaysPerCentre is how many relays a data centre has: two may fail at the same moment, as with readers. Data centres of so
	// many routers have relays only, which tell each other all themselves.
	relaysPerCentre = 3
	// announceTimes is in how many digests a router that has become a relay tells all of its data centre, and the next in rank
	// of the others: those that know it for ended tell it nothing, and if all relays end at once the new ones must
	// find each other.
	announceTimes = 3
	// feedSilent is how long a router waits for a digest of the relay that feeds it before it asks another one: three
	// lost in a row and a part. Loads are then almost a second old, of the 1.5 s for which they count.
	feedSilent = 700 * time.Millisecond
	// askPatience is how long one that is asked has the time to begin: a tick of each, and one lost digest.
	askPatience = 400 * time.Millisecond
	// vouchLasts is for how long the word of a relay counts that another router runs: if all relays of a data centre end
	// at once, it is 1.5 s before the others have asked each of them, and they have to know of each other then.
	vouchLasts = 2500 * time.Millisecond
	// feederDistrusted is for how long a relay that fell silent is asked last, longer than others tell of it.
	feederDistrusted = vouchLasts + 2*time.Second
	// seekEvery is how often a router that nobody feeds asks others for relays: at each tick. What hundreds that start at one
	// moment ask their seeds first is lost in the queues of these; their ticks are not at one moment.
	seekEvery = TickInterval
	// greetEvery is how often the same router is told of relays at the most.
	greetEvery = TickInterval
	// probeEvery is how often a relay tells some routers that have fallen silent of itself: after a cut between data centres
	// has ended, none would know of the others otherwise.
	probeEvery = time.Second
	// probes is how many it picks at random, beside the first in rank of each data centre of which nobody runs.
	probes = 3
)

// rank orders routers in a way that all of them compute alike: those on strong VMs first.
type rank struct {
	strength uint32
	hash     uint64
}

func rankOf(a Address, strength uint32) rank {
	return rank{strength: strength, hash: rendezvous.Hash(string(a))}
}

func (r rank) compare(o rank) int {
	if c := cmp.Compare(o.strength, r.strength); c != 0 {
		return c
	}
	return cmp.Compare(r.hash, o.hash)
}

// candidate is a router that runs, as far as is known.
type candidate struct {
	rank    rank
	address Address
}

// centre is a data centre with routers that run.
type centre struct {
	first  [2 * relaysPerCentre]candidate // in rank order
	ranked int                            // how many of first there are
	alive  int
}

// relays returns the first in rank, next those that are relays when these have ended.
func (c *centre) relays() []candidate { return c.first[:min(c.ranked, relaysPerCentre)] }
func (c *centre) next() []candidate   { return c.first[min(c.ranked, relaysPerCentre):c.ranked] }

func (c *centre) add(n candidate) {
	c.alive++
	at := c.ranked
	for at > 0 && n.rank.compare(c.first[at-1].rank) < 0 {
		at--
	}
	if at == len(c.first) {
		return
	}
	c.ranked = min(c.ranked+1, len(c.first))
	copy(c.first[at+1:c.ranked], c.first[at:])
	c.first[at] = n
}

func (c *centre) hasMembers() bool { return c.alive > len(c.relays()) }

func (c *centre) isRelay(a Address) bool {
	return c != nil && slices.ContainsFunc(c.relays(), func(r candidate) bool { return r.address == a })
}

// arrange ranks the routers that run. Those that leave are relays no longer, and are fed until they end.
func (c *Core) arrange(now time.Time) {
	c.unarranged = false
	clear(c.centres)
	c.join(c.settings.DataCentre, c.own, !c.leaving)
	for _, p := range c.all() {
		if p.placed && (p.alive(now) || p.young(now)) && !p.lost(now) {
			c.join(p.dataCentre, candidate{p.rank, p.address}, !p.leaving)
		}
	}
	was := c.relay
	c.relay = c.centres[c.settings.DataCentre].isRelay(c.settings.Self)
	if was != c.relay {
		c.forgetReports()
		c.news = true
		c.announce = announceTimes
	}
	before := c.feeder
	c.chooseFeeder(now)
	if was != c.relay || before != c.feeder {
		c.emit(RoleChanged{Relay: c.relay, Feeder: c.feeder})
	}
}

func (c *Core) join(dataCentre string, n candidate, mayRelay bool) {
	at, ok := c.centres[dataCentre]
	if !ok {
		at = &centre{}
		c.centres[dataCentre] = at
	}
	if mayRelay {
		at.add(n)
	} else {
		at.alive++
	}
}

// chooseFeeder keeps the relay that feeds this router, or asks another one if it is silent or relay no longer.
func (c *Core) chooseFeeder(now time.Time) {
	own := c.centres[c.settings.DataCentre]
	if c.relay {
		c.feeder = ""
		return
	}
	silent := now.Sub(c.askedAt) > askPatience
	if !c.fedAt.Before(c.askedAt) {
		silent = now.Sub(c.fedAt) > feedSilent
	}
	if c.feeder != "" && own.isRelay(c.feeder) && !silent {
		return
	}
	if p, ok := c.peers[c.feeder]; ok && silent {
		// Who told that it runs may not know yet that it has ended. Were all relays killed at once, all others
		// would wait for them until the last word has run out.
		p.distrusted, p.vouched = now, time.Time{}
	}
	c.feeder, c.askedAt = "", now
	var best candidate
	for _, r := range own.relays() {
		if c.feeder == "" || c.feedsBefore(now, r, best) {
			best, c.feeder = r, r.address
		}
	}
}

// feedsBefore orders relays for this router: trusted ones first, strong ones first, and of equal ones each
// router prefers another, so that they share the work.
func (c *Core) feedsBefore(now time.Time, a, b candidate) bool {
	if x, y := c.distrusts(now, a.address), c.distrusts(now, b.address); x != y {
		return y
	}
	if a.rank.strength != b.rank.strength {
		return a.rank.strength > b.rank.strength
	}
	return rendezvous.Mix(c.own.rank.hash, a.rank.hash) > rendezvous.Mix(c.own.rank.hash, b.rank.hash)
}

func (c *Core) distrusts(now time.Time, a Address) bool {
	p, ok := c.peers[a]
	return ok && !p.distrusted.IsZero() && now.Sub(p.distrusted) < feederDistrusted
}

// seeks reports whether this router has to ask others for relays: nobody feeds it, or it is a relay and hears nobody.
func (c *Core) seeks(now time.Time) bool {
	if !c.relay {
		return c.fedAt.IsZero() || now.Sub(c.fedAt) > feedSilent
	}
	return c.heardAt.IsZero() || now.Sub(c.heardAt) > silentAfter
}

// ahead returns how many running routers of the own data centre rank before this one.
func (c *Core) ahead(now time.Time) int {
	n := 0
	for _, p := range c.all() {
		if p.placed && p.dataCentre == c.settings.DataCentre && !p.leaving && p.alive(now) && p.rank.compare(c.own.rank) < 0 {
			n++
		}
	}
	return n
}

// Role returns whether this router is a relay of its data centre, and which one feeds it.
func (c *Core) Role() (relay bool, feeder Address) { return c.relay, c.feeder }

// FedAt returns when the relay that feeds this router did so last; zero if never.
func (c *Core) FedAt() time.Time { return c.fedAt }

// LocalRouters returns the routers of the own data centre that run and do not leave, if this one is the first relay there.
func (c *Core) LocalRouters(now time.Time) []Address {
	own := c.centres[c.settings.DataCentre]
	if c.leaving || !c.relay || own.relays()[0].address != c.settings.Self {
		return nil
	}
	out := []Address{c.settings.Self}
	for _, p := range c.all() {
		if p.placed && p.dataCentre == c.settings.DataCentre && !p.leaving && p.alive(now) {
			out = append(out, p.address)
		}
	}
	return out
}
