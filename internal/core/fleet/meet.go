package fleet

import (
	"slices"
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
)

// greetedMost is how many routers a greeting tells of beside the relays.
const greetedMost = 8

// tellRelays tells those that know too little which routers are relays, and of some others. Were all told of all, a
// fleet that starts at one moment would fill the links of those that it asks.
func (c *Core) tellRelays(now time.Time) {
	if len(c.greet) == 0 {
		return
	}
	to := c.greet
	c.greet = nil
	d := c.compose(now)
	told := 0
	c.list(now, d, func(p *peer) bool {
		if !p.alive(now) {
			return false
		}
		if c.centres[p.dataCentre].ranks(p.rank) {
			return true
		}
		told++
		return told <= greetedMost
	})
	d.Vouches = false
	c.emit(SendDigest{To: to, Digest: d})
}

func (c *centre) ranks(r rank) bool {
	return c != nil && slices.ContainsFunc(c.relays(), func(n candidate) bool { return n.rank == r })
}

// list adds the routers for which ok holds.
func (c *Core) list(now time.Time, d *peerv1.Digest, ok func(*peer) bool) {
	d.Vouches = true
	place := make(map[string]uint32)
	for _, p := range c.all() {
		if !p.placed || !ok(p) {
			continue
		}
		address := p.address.encode()
		if address == nil {
			continue
		}
		at, known := place[p.dataCentre]
		if !known {
			at = uint32(len(d.Centres))
			place[p.dataCentre] = at
			d.Centres = append(d.Centres, p.dataCentre)
		}
		d.Known = append(d.Known, address)
		d.KnownCentre = append(d.KnownCentre, at)
		d.KnownStrength = append(d.KnownStrength, p.rank.strength)
	}
}

// probe tells some routers that have fallen silent of this relay.
func (c *Core) probe(now time.Time) {
	if !c.relay || !due(now, &c.probedAt, probeEvery) {
		return
	}
	first := make(map[string]candidate)
	var lost []Address
	for _, p := range c.all() {
		if p.alive(now) || p.sign().IsZero() {
			continue
		}
		lost = append(lost, p.address)
		at := c.centres[p.dataCentre]
		n, ok := first[p.dataCentre]
		if at == nil && (!ok || p.rank.compare(n.rank) < 0) {
			first[p.dataCentre] = candidate{p.rank, p.address}
		}
	}
	if len(lost) == 0 {
		return
	}
	var to []Address
	for _, n := range first {
		to = append(to, n.address)
	}
	for range probes {
		to = c.with(to, lost[c.rand.IntN(len(lost))])
	}
	slices.Sort(to)
	c.emit(SendDigest{To: to, Digest: c.compose(now)})
}

// announceTo adds all routers of the own data centre, and the next in rank of the others.
func (c *Core) announceTo(now time.Time, to []Address) []Address {
	if !c.relay {
		return to
	}
	for _, p := range c.all() {
		if p.placed && p.dataCentre == c.settings.DataCentre && p.alive(now) {
			to = c.with(to, p.address)
		}
	}
	var elsewhere []Address
	for dc, at := range c.centres {
		if dc != c.settings.DataCentre {
			for _, r := range at.next() {
				elsewhere = append(elsewhere, r.address)
			}
		}
	}
	slices.Sort(elsewhere)
	return append(to, elsewhere...)
}

// anyPeer returns one of the routers that this one knows of, whether it runs or not.
func (c *Core) anyPeer() (Address, bool) {
	all := c.all()
	if len(all) == 0 {
		return "", false
	}
	return all[c.rand.IntN(len(all))].address, true
}
