package fleet

import (
	"cmp"
	"slices"
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/poison"
)

const (
	// relayHeartbeat is how long a relay without news stays silent: feedSilent has three of them.
	relayHeartbeat = 200 * time.Millisecond
	// listEvery is how often relays tell which routers run: three may be lost in a row before vouchLasts is over.
	listEvery = 400 * time.Millisecond
	// standbyEvery is how often relays other than the first of a data centre tell its sum: they are there for the case that
	// the first one fails. All three telling it every time were 31 KB/s a router in the mean at 340 routers.
	standbyEvery = 400 * time.Millisecond
	// relayOutcomesEvery is how often a relay tells outcomes. Each level adds to how late they are.
	relayOutcomesEvery = 200 * time.Millisecond
	// promptsPerRelayDigest bounds what a relay tells of prompts at once, 16 bytes each, and promptsWaiting what waits: the
	// oldest is left out, as a target that has read it says so to nobody else.
	promptsPerRelayDigest = 64
	promptsWaiting        = 1024
)

// outbox is what a relay has to pass on.
type outbox struct {
	prompts  []placement.PrefixRead
	listedAt time.Time
	summedAt time.Time
	toldAt   time.Time // of outcomes
}

func (o *outbox) add(prompts []placement.PrefixRead) {
	o.prompts = append(o.prompts, prompts...)
	if over := len(o.prompts) - promptsWaiting; over > 0 {
		o.prompts = slices.Delete(o.prompts, 0, over)
	}
}

// take returns what the next digest tells.
func (o *outbox) take() []placement.PrefixRead {
	n := min(len(o.prompts), promptsPerRelayDigest)
	out := o.prompts[:n:n]
	o.prompts = o.prompts[n:]
	return out
}

// due reports whether it is time again, and notes it.
func due(now time.Time, last *time.Time, every time.Duration) bool {
	if now.Sub(*last) < every {
		return false
	}
	*last = now
	return true
}

// digest tells those that this router speaks to what it holds.
func (c *Core) digest(now time.Time, loads []placement.Load) {
	c.urgent, c.news, c.moved = c.news, false, false
	c.lastDigest, c.lastLoads = now, loads
	c.digestSelf(now)
	if c.relay {
		c.digestCentre(now)
		c.digestFleet(now)
	}
	c.prompts, c.departures, c.poison = c.prompts[:0], nil, poison.News{}
}

// digestSelf tells the relays of the own data centre what this router has open, and those of the others if all
// routers of the own one do so. One that nobody feeds tells some others as well, which tell it of relays.
func (c *Core) digestSelf(now time.Time) {
	own := c.centres[c.settings.DataCentre]
	to := c.contact
	c.contact = nil
	for _, r := range own.relays() {
		to = c.with(to, r.address)
	}
	if c.relay && !own.hasMembers() {
		to = append(to, c.relaysElsewhere(now)...)
	}
	if c.announce > 0 {
		c.announce--
		to = c.announceTo(now, to)
	}
	if c.seeks(now) && due(now, &c.soughtAt, seekEvery) {
		if a, ok := c.anyPeer(); ok {
			to = c.with(to, a)
		}
	}
	if len(to) == 0 {
		return
	}
	d := c.compose(now)
	d.Seeks = c.seeks(now)
	d.Report = encode(c.lastLoads, c.outcomes, due(now, &c.toldOutcomes, outcomesEvery))
	setPrompts(d, c.prompts)
	c.setNews(d)
	if c.relay && !own.hasMembers() && due(now, &c.toCentres.listedAt, listEvery) {
		c.list(now, d, func(p *peer) bool { return p.direct(now) })
	}
	c.emit(SendDigest{To: to, Digest: d})
}

// digestCentre tells the relays of the other data centres what the own one has open, in all.
func (c *Core) digestCentre(now time.Time) {
	to := c.relaysElsewhere(now)
	if !c.centres[c.settings.DataCentre].hasMembers() || len(to) == 0 {
		return
	}
	c.toCentres.add(c.prompts)
	every := standbyEvery
	if c.centres[c.settings.DataCentre].relays()[0].address == c.settings.Self {
		every = 0
	}
	sums := due(now, &c.toCentres.summedAt, every)
	if !sums && len(c.toCentres.prompts) == 0 && !c.hasNews() && !c.urgent {
		return
	}
	d := c.compose(now)
	d.Scope = peerv1.Scope_SCOPE_DATA_CENTRE
	if sums {
		sum := newTally()
		c.addOwnCentre(now, sum)
		d.Report = encode(sum.loads, sum.outcomes, due(now, &c.toCentres.toldAt, relayOutcomesEvery))
		d.Counted = uint32(c.counted(now))
	}
	setPrompts(d, c.toCentres.take())
	c.setNews(d)
	if due(now, &c.toCentres.listedAt, listEvery) {
		c.list(now, d, func(p *peer) bool { return p.direct(now) })
	}
	c.emit(SendDigest{To: to, Digest: d})
}

// digestFleet feeds the routers that ask this relay what the whole fleet has open, and how much of that is theirs.
func (c *Core) digestFleet(now time.Time) {
	to := c.followers(now)
	if len(to) == 0 {
		c.toFollowers.prompts = nil
		return
	}
	c.toFollowers.add(c.prompts)
	sum := newTally()
	c.addOwnCentre(now, sum)
	c.addElsewhere(now, sum)
	tells := due(now, &c.toFollowers.toldAt, relayOutcomesEvery)
	report, prompts := encode(sum.loads, sum.outcomes, tells), c.toFollowers.take()
	listed, others := c.toList(now, to)
	for _, part := range []struct {
		to    []Address
		lists bool
	}{{listed, true}, {others, false}} {
		if len(part.to) == 0 {
			continue
		}
		d := c.compose(now)
		d.Scope, d.Report = peerv1.Scope_SCOPE_FLEET, report
		setPrompts(d, prompts)
		c.setNews(d)
		if part.lists {
			c.list(now, d, func(p *peer) bool { return p.alive(now) })
		}
		c.emit(SendDigest{To: part.to, Digest: d, Yours: c.yours(now, part.to, tells)})
	}
}

// followers returns the routers that this relay feeds. They begin with another one each time: what a full queue
// loses is the end, and must not be the same ones' for ever.
func (c *Core) followers(now time.Time) []Address {
	var to []Address
	for _, p := range c.all() {
		if p.feeder == c.own.rank.hash && p.dataCentre == c.settings.DataCentre && p.direct(now) {
			to = append(to, p.address)
		}
	}
	if len(to) == 0 {
		return nil
	}
	first := c.rand.IntN(len(to))
	return append(to[first:len(to):len(to)], to[:first]...)
}

// listTurns is over how many digests the list of routers is spread. It is larger than all else: told to all
// followers at once, at 340 routers it took longer than what a small link's queue holds.
const listTurns = 3

// toList returns those that are due to get the list of routers, and the others.
func (c *Core) toList(now time.Time, to []Address) (listed, others []Address) {
	room := (len(to) + listTurns - 1) / listTurns
	longest := slices.SortedStableFunc(slices.Values(to), func(a, b Address) int {
		return c.peers[a].listedAt.Compare(c.peers[b].listedAt)
	})
	for i, a := range longest {
		if i < room && due(now, &c.peers[a].listedAt, listEvery) {
			listed = append(listed, a)
		} else {
			others = append(others, a)
		}
	}
	return listed, others
}

// yours returns what of the sum each router told itself.
func (c *Core) yours(now time.Time, to []Address, tells bool) []*peerv1.Report {
	out := make([]*peerv1.Report, len(to))
	for i, a := range to {
		own := newTally()
		own.add(now, &c.peers[a].report)
		out[i] = encode(own.loads, own.outcomes, tells)
	}
	return out
}

// addOwnCentre adds up what the routers of the own data centre told.
func (c *Core) addOwnCentre(now time.Time, sum *tally) {
	sum.addLoads(c.lastLoads, 1)
	sum.addOutcomes(c.outcomes, 1)
	for _, p := range c.all() {
		if p.dataCentre == c.settings.DataCentre {
			sum.add(now, &p.report)
		}
	}
}

// counted returns how many routers of the own data centre are in its sum.
func (c *Core) counted(now time.Time) int {
	return 1 + c.count(func(p *peer) bool { return p.dataCentre == c.settings.DataCentre && p.report.fresh(now) })
}

// addElsewhere adds up what the other data centres told, each as a sum or by its routers.
func (c *Core) addElsewhere(now time.Time, sum *tally) {
	for _, dc := range c.centreNames() {
		if s := c.sums[dc]; s != nil {
			sum.add(now, s)
		}
	}
	for _, p := range c.all() {
		if p.dataCentre != c.settings.DataCentre {
			sum.add(now, &p.report)
		}
	}
}

// compose returns the next digest, with what every digest tells.
func (c *Core) compose(now time.Time) *peerv1.Digest {
	c.sequence++
	d := &peerv1.Digest{
		Protocol: Protocol, Incarnation: c.settings.Incarnation, Sequence: c.sequence,
		Reading: c.reading && c.healthy(), Leaving: c.leaving, Readers: uint32(c.readersKnown),
		DataCentre: c.settings.DataCentre, Strength: c.settings.Strength, Relay: c.relay,
		SuspectsSum: c.suspects.sum, SuspectsUnknown: !c.suspects.known,
	}
	c.watch.tell(now, d)
	if p, ok := c.peers[c.feeder]; ok {
		d.Feeder = p.rank.hash
	}
	for _, t := range c.tables {
		d.Versions = append(d.Versions, t.Version())
	}
	return d
}

func setPrompts(d *peerv1.Digest, prompts []placement.PrefixRead) {
	for _, s := range prompts {
		d.PromptPart = append(d.PromptPart, s.Prefix)
		d.PromptTarget = append(d.PromptTarget, s.Target)
	}
}

// with adds an address that is not there yet and not this router's.
func (c *Core) with(to []Address, a Address) []Address {
	if a == c.settings.Self || slices.Contains(to, a) {
		return to
	}
	return append(to, a)
}

// relaysElsewhere returns the relays of the other data centres, in order: those that rank first, and those that tell
// this one that they are relays, if the first ones have ended and this router does not know it yet.
func (c *Core) relaysElsewhere(now time.Time) []Address {
	var out []Address
	for dc, at := range c.centres {
		if dc == c.settings.DataCentre {
			continue
		}
		for _, r := range at.relays() {
			out = append(out, r.address)
		}
		for _, r := range at.next() {
			if p := c.peers[r.address]; p.relay && p.direct(now) {
				out = append(out, r.address)
			}
		}
	}
	slices.Sort(out)
	return out
}

// all returns the other routers in order: what is sent must not depend on the order of a map.
func (c *Core) all() []*peer {
	if len(c.order) != len(c.peers) || c.reordered {
		c.order, c.reordered = make([]*peer, 0, len(c.peers)), false
		for _, p := range c.peers {
			c.order = append(c.order, p)
		}
		slices.SortFunc(c.order, func(a, b *peer) int { return cmp.Compare(a.address, b.address) })
	}
	return c.order
}
