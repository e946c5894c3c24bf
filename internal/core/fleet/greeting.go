package fleet

import (
	"slices"
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
)

// maxGreetingPeers is how many routers a greeting lists besides the relays.
const maxGreetingPeers = 8

// sendGreetings sends the routers in peersToGreet a digest that lists the relays and some other
// routers. Listing all routers would fill the links of the seeds when a fleet starts at once.
func (c *Core) sendGreetings(now time.Time) {
	if len(c.peersToGreet) == 0 {
		return
	}
	to := c.peersToGreet
	c.peersToGreet = nil
	d := c.newDigest(now)
	listed := 0
	c.addPeerList(now, d, func(p *peer) bool {
		if !p.isAlive(now) {
			return false
		}
		if c.centres[p.dataCentre].hasRelayOfRank(p.rank) {
			return true
		}
		listed++
		return listed <= maxGreetingPeers
	})
	// A greeting does not vouch: only relays may, and the list is incomplete. Recipients revoke a
	// relay's vouches for the routers that its vouching list lacks, see revokeUnlisted.
	d.Vouches = false
	c.emit(SendDigest{To: to, Digest: d})
}

func (c *centre) hasRelayOfRank(r rank) bool {
	return c != nil && slices.ContainsFunc(c.relays(), func(n candidate) bool { return n.rank == r })
}

// addPeerList adds the routers for which include returns true to a digest and marks the digest as
// vouching for them.
func (c *Core) addPeerList(now time.Time, d *peerv1.Digest, include func(*peer) bool) {
	d.Vouches = true
	centreIndex := make(map[string]uint32)
	for _, p := range c.sortedPeers() {
		if !p.located || !include(p) {
			continue
		}
		address := p.address.encode()
		if address == nil {
			continue
		}
		index, known := centreIndex[p.dataCentre]
		if !known {
			index = uint32(len(d.Centres))
			centreIndex[p.dataCentre] = index
			d.Centres = append(d.Centres, p.dataCentre)
		}
		d.Known = append(d.Known, address)
		d.KnownCentre = append(d.KnownCentre, index)
		d.KnownStrength = append(d.KnownStrength, p.rank.strength)
	}
}

// probe sends a digest of this relay to some routers that are no longer alive, so that data centres
// reconnect after a partition.
func (c *Core) probe(now time.Time) {
	if !c.relay || !due(now, &c.probedAt, probeInterval) {
		return
	}
	firstInRank := make(map[string]candidate)
	var silent []Address
	for _, p := range c.sortedPeers() {
		if p.isAlive(now) || p.lastSeenAt().IsZero() {
			continue
		}
		silent = append(silent, p.address)
		entry := c.centres[p.dataCentre]
		n, ok := firstInRank[p.dataCentre]
		if entry == nil && (!ok || p.rank.compare(n.rank) < 0) {
			firstInRank[p.dataCentre] = candidate{p.rank, p.address}
		}
	}
	if len(silent) == 0 {
		return
	}
	var to []Address
	for _, n := range firstInRank {
		to = append(to, n.address)
	}
	for range randomProbes {
		to = c.appendPeer(to, silent[c.rand.IntN(len(silent))])
	}
	slices.Sort(to)
	c.emit(SendDigest{To: to, Digest: c.newDigest(now)})
}

// appendAnnouncementRecipients appends all routers of this relay's data centre and the standby
// relays of the other data centres. It appends nothing if this router is not a relay.
func (c *Core) appendAnnouncementRecipients(now time.Time, to []Address) []Address {
	if !c.relay {
		return to
	}
	for _, p := range c.sortedPeers() {
		if p.located && p.dataCentre == c.settings.DataCentre && p.isAlive(now) {
			to = c.appendPeer(to, p.address)
		}
	}
	var remote []Address
	for dc, entry := range c.centres {
		if dc != c.settings.DataCentre {
			for _, r := range entry.standbys() {
				remote = append(remote, r.address)
			}
		}
	}
	slices.Sort(remote)
	return append(to, remote...)
}

// randomPeer returns one of the known routers, whether it runs or not.
func (c *Core) randomPeer() (Address, bool) {
	all := c.sortedPeers()
	if len(all) == 0 {
		return "", false
	}
	return all[c.rand.IntN(len(all))].address, true
}
