package fleet

import (
	"net/netip"
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
)

// peer is what is known of another router.
type peer struct {
	address     Address
	incarnation uint64
	before      uint64 // incarnation of its last process
	sequence    uint64
	heard       time.Time      // when a digest of it came last; zero if never
	vouched     time.Time      // when a relay told last that it runs; zero if never
	voucher     Address        // that relay
	since       time.Time      // known since, or told of again after a while
	versions    [TableCount]uint64 // to be had from it; 0 after a copy failed, until its next digest
	told        [TableCount]uint64 // versions as it told last
	reading     bool
	leaving     bool
	up          bool

	relay      bool // it says so
	placed     bool // its data centre and its strength are known
	dataCentre string
	rank       rank
	feeder     uint64    // hash of the address of the relay that it asks to be fed by
	readers    int       // how many readers of the store it knows of
	greeted    time.Time // when it was told of relays last
	listedAt   time.Time // when it was told which routers run last
	// toldSuspects is when it was told of all suspects last.
	toldSuspects time.Time
	distrusted   time.Time // when it fell silent while it fed this router
	report       reported
}

// direct reports whether a router is heard by this one.
func (p *peer) direct(now time.Time) bool {
	return !p.heard.IsZero() && now.Sub(p.heard) < silentAfter
}

// alive reports whether a router is heard by this one or by a relay that tells of it.
func (p *peer) alive(now time.Time) bool {
	return p.direct(now) || (!p.vouched.IsZero() && now.Sub(p.vouched) < vouchLasts)
}

// young reports whether a router has been told of so lately that it may run without having been heard yet.
func (p *peer) young(now time.Time) bool { return now.Sub(p.since) < silentAfter }

// lost reports whether a router did not answer this one when it was asked to be its feeder. Others may go on telling of
// it for a while; if they still do after that, it runs.
func (p *peer) lost(now time.Time) bool {
	return !p.distrusted.IsZero() && now.Sub(p.distrusted) < feederDistrusted && p.heard.Before(p.distrusted) &&
		p.vouched.Sub(p.distrusted) < vouchLasts
}

// ahead reports whether a router tells of a newer copy of some table.
func (p *peer) ahead(c *Core) bool {
	for t, table := range c.tables {
		if p.told[t] > table.Version() {
			return true
		}
	}
	return false
}

// sign returns when there was a sign of the router last.
func (p *peer) sign() time.Time { return latest(p.heard, p.vouched) }

// RouterID returns the number that names a router as a source of loads.
func RouterID(a Address) uint32 { return uint32(rendezvous.Hash(string(a))) }

// fleetID is the source of what a relay tells of the whole fleet.
const fleetID = 1

// centreID returns the number that names a data centre as a source of loads.
func centreID(dataCentre string) uint32 { return uint32(rendezvous.Hash("data centre " + dataCentre)) }

// digestIn takes in a digest and reports whether it may change who reads the store.
func (c *Core) digestIn(now time.Time, ev DigestReceived) bool {
	d := ev.Digest
	if d.GetProtocol() != Protocol || ev.From == c.settings.Self {
		return false
	}
	p := c.peer(now, ev.From)
	if !p.accept(now, d) {
		return false
	}
	recount := !p.direct(now) || p.reading != d.GetReading() || p.leaving != d.GetLeaving()
	fresh := p.heard.IsZero()
	restarted := p.incarnation != 0 && p.incarnation != d.GetIncarnation()
	if restarted {
		p.before = p.incarnation
	}
	p.take(now, ev.From, d)
	c.heardAt = now
	c.watch.hear(now, d)
	if !p.up || restarted {
		p.up = true
		c.emit(PeerUp{Peer: ev.From, Restarted: restarted})
	}
	c.takeKnown(now, ev.From, d)
	if recount || fresh || restarted || c.unarranged {
		c.arrange(now)
	}
	c.takeReport(now, ev.From, p, d)
	c.compareSuspects(now, p, d)
	if c.knowsLittle(p, ev.From, d) && now.Sub(p.greeted) >= greetEvery {
		p.greeted = now
		c.greet = append(c.greet, ev.From)
	}
	c.behind = c.behind || p.told[DesiredTable] > c.tables[DesiredTable].Version()
	if p.ahead(c) {
		c.copyIfBehind(now)
	}
	return recount
}

// knowsLittle reports whether a digest shows that its sender has to be told of relays: it says so, or it takes this
// router or itself for a relay that is none.
func (c *Core) knowsLittle(p *peer, from Address, d *peerv1.Digest) bool {
	switch {
	case d.GetSeeks():
		return true
	case d.GetRelay() && !p.leaving && !c.centres[p.dataCentre].isRelay(from):
		return true
	case d.GetScope() == peerv1.Scope_SCOPE_FLEET, d.GetRelay() && p.dataCentre == c.settings.DataCentre:
		return false
	}
	return !c.relay
}

// accept refuses digests that are older than the last, and those of an earlier
// process that were under way while the next one started. Incarnations are not ordered: of
// two, the one that is heard on is the running one. Which came first says little, as a router
// that wakes takes in what waited in any order; a running process that was refused for good
// would be down to this router, and this one to it, until it starts again.
func (p *peer) accept(now time.Time, d *peerv1.Digest) bool {
	switch d.GetIncarnation() {
	case p.incarnation:
		return d.GetSequence() > p.sequence
	case p.before:
		return !p.alive(now)
	}
	return true
}

func (p *peer) take(now time.Time, from Address, d *peerv1.Digest) {
	p.incarnation, p.sequence, p.heard = d.GetIncarnation(), d.GetSequence(), now
	p.reading, p.leaving, p.relay = d.GetReading(), d.GetLeaving(), d.GetRelay()
	p.versions = [TableCount]uint64{}
	copy(p.versions[:], d.GetVersions())
	p.told = p.versions
	p.placed, p.dataCentre, p.rank = true, d.GetDataCentre(), rankOf(from, d.GetStrength())
	p.feeder, p.readers = d.GetFeeder(), int(d.GetReaders())
}

// takeKnown takes in the routers that a digest tells of. Only a relay that hears them itself, or has the word of one
// that does, vouches for them: if routers told on what they were told, one that has ended would be alive for ever.
func (c *Core) takeKnown(now time.Time, from Address, d *peerv1.Digest) {
	n := min(len(d.GetKnown()), len(d.GetKnownCentre()), len(d.GetKnownStrength()))
	for i := range n {
		a, ok := decodeAddress(d.GetKnown()[i])
		at := int(d.GetKnownCentre()[i])
		if !ok || a == c.settings.Self || at >= len(d.GetCentres()) {
			continue
		}
		p := c.peer(now, a)
		if !p.placed {
			p.placed, p.dataCentre, p.rank = true, d.GetCentres()[at], rankOf(a, d.GetKnownStrength()[i])
		}
		switch {
		case p.alive(now):
		case d.GetVouches():
			c.unarranged = true
		case !p.young(now):
			p.since, c.unarranged = now, true // whoever tells of it hears it, or a relay that does
		default:
			c.unarranged = c.unarranged || p.since.Equal(now)
		}
		if d.GetVouches() {
			p.vouched, p.voucher = now, from
		}
	}
	if d.GetVouches() {
		c.dropUnlisted(now, from, d.GetScope(), n)
	}
}

// dropUnlisted takes routers for ended that a relay's list, which has just been taken in, lacks. The word of those that
// told of them before would count for a while, and a relay that has ended would not be replaced meanwhile. The list of a
// data centre says that of those only that the same relay told of before: another one may hear them. One of
// the fleet says it of all, unless it has less than half of those that are known: then it says more of its sender.
func (c *Core) dropUnlisted(now time.Time, from Address, scope peerv1.Scope, listed int) {
	if scope == peerv1.Scope_SCOPE_FLEET && 2*listed < c.AliveCount(now) {
		return
	}
	for _, p := range c.all() {
		unlisted := !p.vouched.Equal(now) && !p.vouched.IsZero()
		if unlisted && (p.voucher == from || scope == peerv1.Scope_SCOPE_FLEET) {
			p.vouched, c.unarranged = time.Time{}, true
		}
	}
}

// decodeAddress is the reverse of Address.encode.
func decodeAddress(b []byte) (Address, bool) {
	var at netip.AddrPort
	if at.UnmarshalBinary(b) != nil || !at.IsValid() {
		return "", false
	}
	return Address(at.String()), true
}

// encode returns the IP number and port, nil if the address has none.
func (a Address) encode() []byte {
	at, err := netip.ParseAddrPort(string(a))
	if err != nil {
		return nil
	}
	b, err := at.MarshalBinary()
	if err != nil {
		return nil
	}
	return b
}

func (c *Core) peer(now time.Time, a Address) *peer {
	p, ok := c.peers[a]
	if !ok {
		p = &peer{address: a, since: now}
		if a != c.settings.Self {
			c.peers[a] = p
			c.reordered = true
		}
	}
	return p
}

func (c *Core) found(now time.Time, ev AddressesDiscovered) {
	for _, a := range ev.Addresses {
		if a != c.settings.Self {
			c.peer(now, a)
			c.contact = append(c.contact, a)
		}
	}
	c.rand.Shuffle(len(c.contact), func(i, k int) { c.contact[i], c.contact[k] = c.contact[k], c.contact[i] })
	c.contact = c.contact[:min(len(c.contact), contactsMost)]
	c.news = true
}

// contactsMost is how many of the routers that were found are told at once: each of them tells of relays.
const contactsMost = 8

// expirePeers notices routers that went silent.
func (c *Core) expirePeers(now time.Time) {
	for _, p := range c.all() {
		if p.up && !p.alive(now) {
			p.up = false
			c.emit(PeerDown{Peer: p.address, Source: RouterID(p.address), SilentFor: now.Sub(p.heard)})
		}
		if now.Sub(latest(p.sign(), p.since)) > forgetAfter {
			delete(c.peers, p.address)
			c.reordered = true
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// RecentRouters returns the routers of which there was a sign within forgetAfter, this one included.
func (c *Core) RecentRouters() map[Address]bool {
	out := map[Address]bool{c.settings.Self: true}
	for _, p := range c.all() {
		if !p.sign().IsZero() {
			out[p.address] = true
		}
	}
	return out
}

// AliveCount returns the number of other routers that are alive.
func (c *Core) AliveCount(now time.Time) int {
	return c.count(func(p *peer) bool { return p.alive(now) })
}

// AliveAddresses returns the other routers that are alive.
func (c *Core) AliveAddresses(now time.Time) []Address {
	out := make([]Address, 0, len(c.peers))
	for _, p := range c.all() {
		if p.alive(now) {
			out = append(out, p.address)
		}
	}
	return out
}

// PeerAddresses returns the other routers of which there was a sign within forgetAfter, or that were told of then, in order, whether they run
// or not.
func (c *Core) PeerAddresses() []Address {
	out := make([]Address, 0, len(c.peers))
	for _, p := range c.all() {
		out = append(out, p.address)
	}
	return out
}

// DirectPeerCount returns the number of other routers that this one hears itself.
func (c *Core) DirectPeerCount(now time.Time) int {
	return c.count(func(p *peer) bool { return p.direct(now) })
}

func (c *Core) count(ok func(*peer) bool) int {
	n := 0
	for _, p := range c.all() {
		if ok(p) {
			n++
		}
	}
	return n
}
