package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
)

// Routers exchange reports on two levels. The highest-ranked routers of each data centre are its
// relays, all others are followers. Each router reports its open requests to the relays of its data
// centre, relays send the sum to those of the other data centres, and each follower is fed by one
// relay, its feeder: it receives digests with the sum over the fleet from it. A router's traffic
// thus grows with the number of relays, and a relay's also with its data centre, whereas all-to-all
// digests would grow with the fleet. Relays are not elected: each router ranks the routers that it
// believes to be running, and omits a relay that falls silent.

const (
	// relaysPerCentre is the number of relays of a data centre. Two may fail at the same time, as
	// with store readers. A data centre with no more routers than this has relays only, which
	// exchange all reports directly.
	relaysPerCentre = 3
	// announcementCount is the number of digests that a new relay sends to its whole data centre
	// and to the standby relays of the others. Routers that consider the new relay to have exited
	// send it nothing, and if all relays exit at once the new ones must find each other.
	announcementCount = 3
	// feedTimeout is how long a router waits for a digest of its feeder before it chooses another.
	// It covers three lost digests in a row and a margin. Loads are then almost a second old, of
	// the 1.5 s for which they count.
	feedTimeout = 700 * time.Millisecond
	// feedRequestTimeout is how long a newly chosen feeder has to send its first digest: the tick
	// at which this router reports its choice, the tick at which the feeder answers, and one lost
	// digest.
	feedRequestTimeout = 400 * time.Millisecond
	// vouchTTL is how long a relay's vouch for another router counts. If all relays of a data
	// centre exit at once, the others need 1.5 s to try each of them as feeder, and must still know
	// of each other then.
	vouchTTL = 2500 * time.Millisecond
	// distrustPeriod is how long a relay that fell silent as this router's feeder is the last
	// choice as feeder. It exceeds the time for which other routers vouch for it.
	distrustPeriod = vouchTTL + 2*time.Second
	// relaySearchInterval is how often a router without a feeder searches for relays: at each tick.
	// When hundreds of routers start at once, their first searches are lost in the queues of the
	// seeds' links. The ticks of the routers are spread over time, so later searches arrive.
	relaySearchInterval = TickInterval
	// greetInterval is the shortest time between two greetings to the same router.
	greetInterval = TickInterval
	// probeInterval is how often a relay sends a digest to some silent routers. Without it, data
	// centres that were cut off from each other would not reconnect.
	probeInterval = time.Second
	// randomProbes is the number of silent routers probed at random, besides the highest-ranked one
	// of each data centre in which no router is known to run.
	randomProbes = 3
)

// rank orders routers by strength, the strongest first, then by hash. All routers compute the same
// order.
type rank struct {
	strength uint32
	hash     uint64
}

func rankOf(a Address, strength uint32) rank {
	return rank{strength: strength, hash: rendezvous.Hash(string(a))}
}

// compare returns a negative number if r is higher than o, a positive one if it is lower.
func (r rank) compare(o rank) int {
	if c := cmp.Compare(o.strength, r.strength); c != 0 {
		return c
	}
	return cmp.Compare(r.hash, o.hash)
}

// candidate is a router that is believed to be running, with its rank.
type candidate struct {
	rank    rank
	address Address
}

// centre is a data centre with running routers.
type centre struct {
	candidates [2 * relaysPerCentre]candidate // highest-ranked routers, in order of rank
	count      int                            // number of entries of candidates
	aliveCount int                            // running routers, candidates or not
}

// relays returns the highest-ranked routers. standbys returns the next ones, which become relays
// when relays exit.
func (c *centre) relays() []candidate   { return c.candidates[:min(c.count, relaysPerCentre)] }
func (c *centre) standbys() []candidate { return c.candidates[min(c.count, relaysPerCentre):c.count] }

func (c *centre) add(n candidate) {
	c.aliveCount++
	pos := c.count
	for pos > 0 && n.rank.compare(c.candidates[pos-1].rank) < 0 {
		pos--
	}
	if pos == len(c.candidates) {
		return
	}
	c.count = min(c.count+1, len(c.candidates))
	copy(c.candidates[pos+1:c.count], c.candidates[pos:])
	c.candidates[pos] = n
}

func (c *centre) hasFollowers() bool { return c.aliveCount > len(c.relays()) }

func (c *centre) isRelay(a Address) bool {
	return c != nil && slices.ContainsFunc(c.relays(), func(r candidate) bool { return r.address == a })
}

// updateTopology ranks the routers that are believed to run, and derives this router's role and
// feeder. Leaving routers can't be relays, but are fed until they exit.
func (c *Core) updateTopology(now time.Time) {
	c.topologyStale = false
	clear(c.centres)
	c.addCandidate(c.settings.DataCentre, c.own, !c.leaving)
	for _, p := range c.sortedPeers() {
		if p.located && (p.isAlive(now) || p.isNew(now)) && !p.failedAsFeeder(now) {
			c.addCandidate(p.dataCentre, candidate{p.rank, p.address}, !p.leaving)
		}
	}
	wasRelay := c.relay
	c.relay = c.centres[c.settings.DataCentre].isRelay(c.settings.Self)
	if wasRelay != c.relay {
		c.discardReports()
		c.digestPending = true
		c.remainingAnnouncements = announcementCount
	}
	feederBefore := c.feeder
	c.chooseFeeder(now)
	if wasRelay != c.relay || feederBefore != c.feeder {
		c.emit(RoleChanged{Relay: c.relay, Feeder: c.feeder})
	}
}

func (c *Core) addCandidate(dataCentre string, n candidate, canRelay bool) {
	entry, ok := c.centres[dataCentre]
	if !ok {
		entry = &centre{}
		c.centres[dataCentre] = entry
	}
	if canRelay {
		entry.add(n)
	} else {
		entry.aliveCount++
	}
}

// chooseFeeder keeps the current feeder, or chooses another relay if the feeder is silent or no
// longer a relay.
func (c *Core) chooseFeeder(now time.Time) {
	own := c.centres[c.settings.DataCentre]
	if c.relay {
		c.feeder = ""
		return
	}
	silent := now.Sub(c.feedRequestedAt) > feedRequestTimeout
	if !c.fedAt.Before(c.feedRequestedAt) {
		silent = now.Sub(c.fedAt) > feedTimeout
	}
	if c.feeder != "" && own.isRelay(c.feeder) && !silent {
		return
	}
	if p, ok := c.peers[c.feeder]; ok && silent {
		// Routers that vouch for it may not know yet that it exited. Without this, if all relays
		// were killed at once, the other routers would wait for them until the last vouch expires.
		p.distrustedAt, p.vouchedAt = now, time.Time{}
	}
	c.feeder, c.feedRequestedAt = "", now
	var best candidate
	for _, r := range own.relays() {
		if c.feeder == "" || c.isBetterFeeder(now, r, best) {
			best, c.feeder = r, r.address
		}
	}
}

// isBetterFeeder orders relays as feeders of this router: trusted ones first, then by strength.
// Among equals, each router has an order of its own, which spreads the load.
func (c *Core) isBetterFeeder(now time.Time, a, b candidate) bool {
	if x, y := c.isDistrusted(now, a.address), c.isDistrusted(now, b.address); x != y {
		return y
	}
	if a.rank.strength != b.rank.strength {
		return a.rank.strength > b.rank.strength
	}
	return rendezvous.Mix(c.own.rank.hash, a.rank.hash) > rendezvous.Mix(c.own.rank.hash, b.rank.hash)
}

// isDistrusted reports whether a router fell silent as this router's feeder within distrustPeriod.
// Unlike peer.failedAsFeeder, it ignores whether the router was heard or vouched for since.
func (c *Core) isDistrusted(now time.Time, a Address) bool {
	p, ok := c.peers[a]
	return ok && !p.distrustedAt.IsZero() && now.Sub(p.distrustedAt) < distrustPeriod
}

// needsRelays reports whether this router must search for relays: no relay feeds it, or it is a
// relay that receives no digests.
func (c *Core) needsRelays(now time.Time) bool {
	if !c.relay {
		return c.fedAt.IsZero() || now.Sub(c.fedAt) > feedTimeout
	}
	return c.lastReceivedAt.IsZero() || now.Sub(c.lastReceivedAt) > peerTimeout
}

// higherRankedCount returns how many running routers of this data centre have a higher rank.
func (c *Core) higherRankedCount(now time.Time) int {
	n := 0
	for _, p := range c.sortedPeers() {
		if p.located && p.dataCentre == c.settings.DataCentre && !p.leaving && p.isAlive(now) && p.rank.compare(c.own.rank) < 0 {
			n++
		}
	}
	return n
}

// Role returns whether this router is a relay of its data centre, and its feeder if it has one.
func (c *Core) Role() (relay bool, feeder Address) { return c.relay, c.feeder }

// FedAt returns when this router's feeder, or an earlier one, last sent the sum over the fleet. It
// is zero if none has since this router last became a relay or stopped being one.
func (c *Core) FedAt() time.Time { return c.fedAt }

// LocalRouters returns the running routers of this data centre that are not leaving. It returns nil
// unless this router is the first relay there.
func (c *Core) LocalRouters(now time.Time) []Address {
	own := c.centres[c.settings.DataCentre]
	if c.leaving || !c.relay || own.relays()[0].address != c.settings.Self {
		return nil
	}
	out := []Address{c.settings.Self}
	for _, p := range c.sortedPeers() {
		if p.located && p.dataCentre == c.settings.DataCentre && !p.leaving && p.isAlive(now) {
			out = append(out, p.address)
		}
	}
	return out
}
