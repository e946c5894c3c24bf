package fleet

import (
	"net/netip"
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/reach"
	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
)

// peer is what this router knows of another router.
type peer struct {
	address             Address
	incarnation         uint64
	previousIncarnation uint64 // incarnation of the process before the current one
	sequence            uint64
	heardAt             time.Time // time of the last digest from it; zero if none
	vouchedAt           time.Time // when a relay last vouched for it; zero if never
	voucher             Address   // the relay that last vouched for it
	knownSince          time.Time // when it became known, or was listed again while not alive
	// availableVersions are the table versions that can be copied from it: those in its last
	// digest, or 0 after a failed copy until its next digest.
	availableVersions [TableCount]uint64
	reportedVersions  [TableCount]uint64 // versions in its last digest
	reading           bool
	leaving           bool
	up                bool // PeerUp was emitted, and no PeerDown since

	relay      bool // its last digest said that it is a relay
	located    bool // its data centre and strength are known
	dataCentre string
	rank       rank
	feeder     uint64    // hash of the address of its feeder
	readers    int       // number of store readers it knows of
	greetedAt  time.Time // time of the last greeting to it
	listSentAt time.Time // when it was last sent the list of running routers
	// suspectsSentAt is when it was last sent all suspects.
	suspectsSentAt time.Time
	distrustedAt   time.Time // when it fell silent as this router's feeder
	report         sourceReport
}

// isHeard reports whether the peer is heard: a digest from it arrived within peerTimeout.
func (p *peer) isHeard(now time.Time) bool {
	return !p.heardAt.IsZero() && now.Sub(p.heardAt) < peerTimeout
}

// isAlive reports whether the peer is heard, or a relay vouched for it within vouchTTL.
func (p *peer) isAlive(now time.Time) bool {
	return p.isHeard(now) || (!p.vouchedAt.IsZero() && now.Sub(p.vouchedAt) < vouchTTL)
}

// isNew reports whether the peer became known so recently that it may run although no digest of it
// has arrived yet.
func (p *peer) isNew(now time.Time) bool { return now.Sub(p.knownSince) < peerTimeout }

// failedAsFeeder reports whether the peer did not respond as this router's feeder. Other routers
// may still vouch for it for a while; if they still do after vouchTTL, it runs.
func (p *peer) failedAsFeeder(now time.Time) bool {
	return !p.distrustedAt.IsZero() && now.Sub(p.distrustedAt) < distrustPeriod && p.heardAt.Before(p.distrustedAt) &&
		p.vouchedAt.Sub(p.distrustedAt) < vouchTTL
}

// hasNewerCopy reports whether the peer reported a newer copy of some table.
func (p *peer) hasNewerCopy(c *Core) bool {
	for t, table := range c.tables {
		if p.reportedVersions[t] > table.Version() {
			return true
		}
	}
	return false
}

// lastSeenAt returns when the peer last sent a digest or was vouched for; zero if never.
func (p *peer) lastSeenAt() time.Time { return latest(p.heardAt, p.vouchedAt) }

// RouterSourceID returns the ID of a router as a source of load reports.
func RouterSourceID(a Address) uint32 { return uint32(rendezvous.Hash(string(a))) }

// fleetSourceID is the source ID of the fleet's sum in a relay's report.
const fleetSourceID = 1

// centreSourceID returns the ID of a data centre as a source of load reports.
func centreSourceID(name string) uint32 { return uint32(rendezvous.Hash("data centre " + name)) }

// digestReceived processes a digest. It reports whether the digest may change which routers read
// the store.
func (c *Core) digestReceived(now time.Time, ev DigestReceived) bool {
	d := ev.Digest
	if d.GetProtocol() != Protocol || ev.From == c.settings.Self {
		return false
	}
	p := c.getOrAddPeer(now, ev.From)
	if !p.accepts(now, d) {
		return false
	}
	readersMayChange := !p.isHeard(now) || p.reading != d.GetReading() || p.leaving != d.GetLeaving()
	firstDigest := p.heardAt.IsZero()
	restarted := p.incarnation != 0 && p.incarnation != d.GetIncarnation()
	if restarted {
		p.previousIncarnation = p.incarnation
	}
	p.update(now, ev.From, d)
	c.lastReceivedAt = now
	c.outages.observe(now, d)
	if !p.up || restarted {
		p.up = true
		c.emit(PeerUp{Peer: ev.From, Restarted: restarted})
	}
	c.addListedPeers(now, ev.From, d)
	if readersMayChange || firstDigest || restarted || c.topologyStale {
		c.updateTopology(now)
	}
	c.handleReport(now, ev.From, p, d)
	c.compareSuspects(now, p, d)
	if c.needsGreeting(p, ev.From, d) && now.Sub(p.greetedAt) >= greetInterval {
		p.greetedAt = now
		c.peersToGreet = append(c.peersToGreet, ev.From)
	}
	c.behind = c.behind || p.reportedVersions[DesiredTable] > c.tables[DesiredTable].Version()
	if p.hasNewerCopy(c) {
		c.copyNewerTables(now)
	}
	return readersMayChange
}

// needsGreeting reports whether the sender of a digest must be sent a greeting. It must if it
// searches for relays, or if it wrongly considers itself or this router a relay.
func (c *Core) needsGreeting(p *peer, from Address, d *peerv1.Digest) bool {
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

// accepts reports whether a digest of the peer is to be processed. It rejects digests that are not
// newer than the last one, and digests of the previous process that arrive after a restart.
// Incarnations are not ordered, and neither does the order of arrival show which of two processes
// is the later one: a router that resumes after a stall receives the queued digests in any order.
// The running process is the one that keeps sending, so the digests of the other are accepted again
// once the peer is no longer alive. If the running process were rejected permanently, both routers
// would consider each other down until the next restart.
func (p *peer) accepts(now time.Time, d *peerv1.Digest) bool {
	switch d.GetIncarnation() {
	case p.incarnation:
		return d.GetSequence() > p.sequence
	case p.previousIncarnation:
		return !p.isAlive(now)
	}
	return true
}

func (p *peer) update(now time.Time, from Address, d *peerv1.Digest) {
	p.incarnation, p.sequence, p.heardAt = d.GetIncarnation(), d.GetSequence(), now
	p.reading, p.leaving, p.relay = d.GetReading(), d.GetLeaving(), d.GetRelay()
	p.availableVersions = [TableCount]uint64{}
	copy(p.availableVersions[:], d.GetVersions())
	p.reportedVersions = p.availableVersions
	p.located, p.dataCentre, p.rank = true, d.GetDataCentre(), rankOf(from, d.GetStrength())
	p.feeder, p.readers = d.GetFeeder(), int(d.GetReaders())
}

// addListedPeers processes the routers that a digest lists. Only relays vouch for the routers in
// their lists: those that the relay hears or, in a list for followers, those that another relay
// which hears them vouches for. If routers repeated what others listed, an exited router would stay
// alive forever.
func (c *Core) addListedPeers(now time.Time, from Address, d *peerv1.Digest) {
	n := min(len(d.GetKnown()), len(d.GetKnownCentre()), len(d.GetKnownStrength()))
	for i := range n {
		a, ok := decodeAddress(d.GetKnown()[i])
		index := int(d.GetKnownCentre()[i])
		if !ok || a == c.settings.Self || index >= len(d.GetCentres()) {
			continue
		}
		p := c.getOrAddPeer(now, a)
		if !p.located {
			p.located, p.dataCentre, p.rank = true, d.GetCentres()[index], rankOf(a, d.GetKnownStrength()[i])
		}
		switch {
		case p.isAlive(now):
		case d.GetVouches():
			c.topologyStale = true
		case !p.isNew(now):
			p.knownSince, c.topologyStale = now, true // the sender or a relay must have heard it
		default:
			// A peer that was added just now changes the topology.
			c.topologyStale = c.topologyStale || p.knownSince.Equal(now)
		}
		if d.GetVouches() {
			p.vouchedAt, p.voucher = now, from
		}
	}
	if d.GetVouches() {
		c.revokeUnlisted(now, from, d.GetScope(), n)
	}
}

// revokeUnlisted revokes the vouches for routers that are missing from a relay's list. Otherwise
// older vouches would count until they expire, and an exited relay would not be replaced meanwhile.
// A data centre's list only revokes vouches of the same relay, because another relay may hear the
// router. A list of the fleet revokes all vouches, unless it has fewer than half as many routers as
// are alive here, which points to a fault at its sender.
func (c *Core) revokeUnlisted(now time.Time, from Address, scope peerv1.Scope, listed int) {
	if scope == peerv1.Scope_SCOPE_FLEET && 2*listed < c.AliveCount(now) {
		return
	}
	for _, p := range c.sortedPeers() {
		unlisted := !p.vouchedAt.Equal(now) && !p.vouchedAt.IsZero()
		if unlisted && (p.voucher == from || scope == peerv1.Scope_SCOPE_FLEET) {
			p.vouchedAt, c.topologyStale = time.Time{}, true
		}
	}
}

// decodeAddress reverses Address.encode.
func decodeAddress(b []byte) (Address, bool) {
	var addrPort netip.AddrPort
	if addrPort.UnmarshalBinary(b) != nil || !addrPort.IsValid() {
		return "", false
	}
	return Address(addrPort.String()), true
}

// encode returns the binary IP address and port, or nil if a is invalid.
func (a Address) encode() []byte {
	addrPort, err := netip.ParseAddrPort(string(a))
	if err != nil {
		return nil
	}
	b, err := addrPort.MarshalBinary()
	if err != nil {
		return nil
	}
	return b
}

func (c *Core) getOrAddPeer(now time.Time, a Address) *peer {
	p, ok := c.peers[a]
	if !ok {
		p = &peer{address: a, knownSince: now}
		if a != c.settings.Self {
			c.peers[a] = p
			c.peersChanged = true
		}
	}
	return p
}

func (c *Core) addressesDiscovered(now time.Time, ev AddressesDiscovered) {
	for _, a := range ev.Addresses {
		if a != c.settings.Self {
			c.getOrAddPeer(now, a)
			c.contacts = append(c.contacts, a)
		}
	}
	c.rand.Shuffle(len(c.contacts), func(i, k int) { c.contacts[i], c.contacts[k] = c.contacts[k], c.contacts[i] })
	c.contacts = c.contacts[:min(len(c.contacts), maxContacts)]
	c.digestPending = true
}

// maxContacts is how many discovered routers are contacted at once. Each of them replies with a
// greeting.
const maxContacts = 8

// expirePeers reports routers that have fallen silent and deletes those silent for peerRetention.
func (c *Core) expirePeers(now time.Time) {
	for _, p := range c.sortedPeers() {
		if p.up && !p.isAlive(now) {
			p.up = false
			c.emit(PeerDown{Peer: p.address, Source: RouterSourceID(p.address), SilentFor: now.Sub(p.heardAt)})
		}
		if now.Sub(latest(p.lastSeenAt(), p.knownSince)) > peerRetention {
			delete(c.peers, p.address)
			c.peersChanged = true
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// RecentRouters returns the routers that were heard or vouched for within peerRetention, and this
// router.
func (c *Core) RecentRouters() map[Address]bool {
	out := map[Address]bool{c.settings.Self: true}
	for _, p := range c.sortedPeers() {
		if !p.lastSeenAt().IsZero() {
			out[p.address] = true
		}
	}
	return out
}

// AliveCount returns how many other routers are alive.
func (c *Core) AliveCount(now time.Time) int {
	return c.countPeers(func(p *peer) bool { return p.isAlive(now) })
}

// AliveAddresses returns the other routers that are alive.
func (c *Core) AliveAddresses(now time.Time) []Address {
	out := make([]Address, 0, len(c.peers))
	for _, p := range c.sortedPeers() {
		if p.isAlive(now) {
			out = append(out, p.address)
		}
	}
	return out
}

// AliveRouters returns the other routers that are alive and not about to stop, with their data
// centres, sorted by address.
func (c *Core) AliveRouters(now time.Time) []reach.Router {
	out := make([]reach.Router, 0, len(c.peers))
	for _, p := range c.sortedPeers() {
		if p.isAlive(now) && !p.leaving {
			out = append(out, reach.Router{Address: string(p.address), DataCentre: p.dataCentre})
		}
	}
	return out
}

// PeerAddresses returns, in order, the other routers that were heard, vouched for or listed within
// peerRetention, whether they run or not.
func (c *Core) PeerAddresses() []Address {
	out := make([]Address, 0, len(c.peers))
	for _, p := range c.sortedPeers() {
		out = append(out, p.address)
	}
	return out
}

// DirectPeerCount returns how many other routers this router receives digests from.
func (c *Core) DirectPeerCount(now time.Time) int {
	return c.countPeers(func(p *peer) bool { return p.isHeard(now) })
}

func (c *Core) countPeers(matches func(*peer) bool) int {
	n := 0
	for _, p := range c.sortedPeers() {
		if matches(p) {
			n++
		}
	}
	return n
}
