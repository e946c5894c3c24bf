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
	// relayHeartbeatInterval is the longest time between two digests of a relay. feedTimeout spans
	// three of them.
	relayHeartbeatInterval = 200 * time.Millisecond
	// listInterval is how often relays send the list of the routers that are alive. Three lists in
	// a row may be lost before vouchTTL ends.
	listInterval = 400 * time.Millisecond
	// otherRelaySumInterval is how often relays other than the first of a data centre send its sum.
	// They only cover a failure of the first. If all three sent it every time, the mean would be
	// 31 KB/s per router at 340 routers.
	otherRelaySumInterval = 400 * time.Millisecond
	// relayOutcomesInterval is how often a relay sends outcomes. It is shorter than
	// outcomesInterval, because each level adds to the delay of outcomes.
	relayOutcomesInterval = 200 * time.Millisecond
	// maxRelayPrefixReadsPerDigest limits the prefix reads in a relay's digest, at 16 bytes each.
	// maxQueuedPrefixReads limits the queue. The oldest reads are dropped: they are lost for the
	// recipients, because no other router reports them.
	maxRelayPrefixReadsPerDigest = 64
	maxQueuedPrefixReads         = 1024
)

// outbox holds the prefix reads that a relay has to pass on to one group of routers, and when it
// last sent them the list of routers, a sum and outcomes.
type outbox struct {
	prefixReads    []placement.PrefixRead
	listSentAt     time.Time
	sumSentAt      time.Time
	outcomesSentAt time.Time
}

func (o *outbox) add(prefixReads []placement.PrefixRead) {
	o.prefixReads = append(o.prefixReads, prefixReads...)
	if over := len(o.prefixReads) - maxQueuedPrefixReads; over > 0 {
		o.prefixReads = slices.Delete(o.prefixReads, 0, over)
	}
}

// takePrefixReads removes and returns the prefix reads of the next digest.
func (o *outbox) takePrefixReads() []placement.PrefixRead {
	n := min(len(o.prefixReads), maxRelayPrefixReadsPerDigest)
	out := o.prefixReads[:n:n]
	o.prefixReads = o.prefixReads[n:]
	return out
}

// due reports whether interval has passed since last, and if so sets last to now.
func due(now time.Time, last *time.Time, interval time.Duration) bool {
	if now.Sub(*last) < interval {
		return false
	}
	*last = now
	return true
}

// sendDigests sends all digests that this router's role requires.
func (c *Core) sendDigests(now time.Time, loads []placement.Load) {
	c.urgent, c.digestPending, c.reportsChanged = c.digestPending, false, false
	c.lastSentAt, c.lastLoads = now, loads
	c.sendOwnDigest(now)
	if c.relay {
		c.sendCentreDigest(now)
		c.sendFleetDigest(now)
	}
	c.prefixReads, c.departures, c.poison = c.prefixReads[:0], nil, poison.Report{}
}

// sendOwnDigest reports this router's open requests to the relays of its data centre, and to those
// of the other data centres if its own has relays only. A router that needs relays also sends it to
// one other router at random, which replies with a greeting.
func (c *Core) sendOwnDigest(now time.Time) {
	own := c.centres[c.settings.DataCentre]
	to := c.contacts
	c.contacts = nil
	keepers := c.ownDigestRecipients(now)
	for _, a := range keepers {
		to = c.appendPeer(to, a)
	}
	if c.remainingAnnouncements > 0 {
		c.remainingAnnouncements--
		to = c.appendAnnouncementRecipients(now, to)
	}
	if c.needsRelays(now) && due(now, &c.relaySearchAt, relaySearchInterval) {
		if a, ok := c.randomPeer(); ok {
			to = c.appendPeer(to, a)
		}
	}
	if len(to) == 0 {
		return
	}
	d := c.newDigest(now)
	d.Seeks = c.needsRelays(now)
	d.Report = encodeReport(c.lastLoads, c.outcomes, due(now, &c.outcomesSentAt, outcomesInterval))
	encodeTeams(d.Report, c.teams)
	setPrefixReads(d, c.prefixReads)
	if len(keepers) > 0 {
		c.moveStreamsTo(d, keepers)
	}
	c.addUrgentReports(d)
	if c.relay && !own.hasFollowers() && due(now, &c.centreOutbox.listSentAt, listInterval) {
		c.addPeerList(now, d, func(p *peer) bool { return p.isHeard(now) })
	}
	c.emit(SendDigest{To: to, Digest: d})
}

// ownDigestRecipients returns the relays to which this router reports.
func (c *Core) ownDigestRecipients(now time.Time) []Address {
	own := c.centres[c.settings.DataCentre]
	var to []Address
	for _, r := range own.relays() {
		to = c.appendPeer(to, r.address)
	}
	if c.relay && !own.hasFollowers() {
		to = append(to, c.remoteRelays(now)...)
	}
	return to
}

// sendCentreDigest reports the sum of this data centre's open requests to the relays of the others.
func (c *Core) sendCentreDigest(now time.Time) {
	to := c.remoteRelays(now)
	if !c.centres[c.settings.DataCentre].hasFollowers() || len(to) == 0 {
		return
	}
	c.centreOutbox.add(c.prefixReads)
	interval := otherRelaySumInterval
	if c.centres[c.settings.DataCentre].relays()[0].address == c.settings.Self {
		interval = 0
	}
	sendSum := due(now, &c.centreOutbox.sumSentAt, interval)
	if !sendSum && len(c.centreOutbox.prefixReads) == 0 && !c.hasUrgentReports() && !c.urgent {
		return
	}
	d := c.newDigest(now)
	d.Scope = peerv1.Scope_SCOPE_DATA_CENTRE
	if sendSum {
		sum := newTally()
		c.addOwnCentre(now, sum)
		d.Report = encodeReport(sum.loads, sum.outcomes, due(now, &c.centreOutbox.outcomesSentAt, relayOutcomesInterval))
		encodeTeams(d.Report, sum.teams.list)
		d.Counted = uint32(c.countedRouters(now))
	}
	setPrefixReads(d, c.centreOutbox.takePrefixReads())
	c.addUrgentReports(d)
	if due(now, &c.centreOutbox.listSentAt, listInterval) {
		c.addPeerList(now, d, func(p *peer) bool { return p.isHeard(now) })
	}
	c.emit(SendDigest{To: to, Digest: d})
}

// sendFleetDigest reports the fleet's open requests to the followers of this relay, and each
// follower's own part of the sum.
func (c *Core) sendFleetDigest(now time.Time) {
	to := c.followers(now)
	if len(to) == 0 {
		c.followerOutbox.prefixReads = nil
		return
	}
	c.followerOutbox.add(c.prefixReads)
	sum := newTally()
	c.addOwnCentre(now, sum)
	c.addOtherCentres(now, sum)
	includeOutcomes := due(now, &c.followerOutbox.outcomesSentAt, relayOutcomesInterval)
	report, prefixReads := encodeReport(sum.loads, sum.outcomes, includeOutcomes), c.followerOutbox.takePrefixReads()
	encodeTeams(report, sum.teams.list)
	listed, others := c.splitByListDue(now, to)
	for _, part := range []struct {
		to          []Address
		includeList bool
	}{{listed, true}, {others, false}} {
		if len(part.to) == 0 {
			continue
		}
		d := c.newDigest(now)
		d.Scope, d.Report = peerv1.Scope_SCOPE_FLEET, report
		setPrefixReads(d, prefixReads)
		c.addUrgentReports(d)
		if part.includeList {
			c.addPeerList(now, d, func(p *peer) bool { return p.isAlive(now) })
		}
		c.emit(SendDigest{To: part.to, Digest: d, RecipientReports: c.recipientReports(now, part.to, includeOutcomes)})
	}
}

// followers returns the routers that this relay feeds, starting at a random one. A full link queue
// loses the last digests, and must not always lose those of the same routers.
func (c *Core) followers(now time.Time) []Address {
	var to []Address
	for _, p := range c.sortedPeers() {
		if p.feeder == c.own.rank.hash && p.dataCentre == c.settings.DataCentre && p.isHeard(now) {
			to = append(to, p.address)
		}
	}
	if len(to) == 0 {
		return nil
	}
	first := c.rand.IntN(len(to))
	return append(to[first:len(to):len(to)], to[:first]...)
}

// listRounds is the number of digests over which the list of routers is spread. The list is larger
// than all other content: sent to all followers at once, at 340 routers it exceeded the queue of a
// small link.
const listRounds = 3

// splitByListDue splits the recipients into those that receive the list of routers with this digest
// and the others. The list goes to at most one in listRounds, to those first that have waited
// longest.
func (c *Core) splitByListDue(now time.Time, to []Address) (listed, others []Address) {
	listSlots := (len(to) + listRounds - 1) / listRounds
	byListAge := slices.SortedStableFunc(slices.Values(to), func(a, b Address) int {
		return c.peers[a].listSentAt.Compare(c.peers[b].listSentAt)
	})
	for i, a := range byListAge {
		if i < listSlots && due(now, &c.peers[a].listSentAt, listInterval) {
			listed = append(listed, a)
		} else {
			others = append(others, a)
		}
	}
	return listed, others
}

// recipientReports returns each recipient's own part of the sum.
func (c *Core) recipientReports(now time.Time, to []Address, includeOutcomes bool) []*peerv1.Report {
	out := make([]*peerv1.Report, len(to))
	for i, a := range to {
		own := newTally()
		own.add(now, &c.peers[a].report)
		out[i] = encodeReport(own.loads, own.outcomes, includeOutcomes)
		encodeTeams(out[i], own.teams.list)
	}
	return out
}

// addOwnCentre adds the reports of this data centre's routers to sum.
func (c *Core) addOwnCentre(now time.Time, sum *tally) {
	sum.addLoads(c.lastLoads, 1)
	sum.addOutcomes(c.outcomes, 1)
	sum.teams.add(c.teams, 1)
	for _, p := range c.sortedPeers() {
		if p.dataCentre == c.settings.DataCentre {
			sum.add(now, &p.report)
		}
	}
}

// countedRouters returns how many routers the sum of this data centre covers.
func (c *Core) countedRouters(now time.Time) int {
	return 1 + c.countPeers(func(p *peer) bool { return p.dataCentre == c.settings.DataCentre && p.report.fresh(now) })
}

// addOtherCentres adds the reports of the other data centres to sum: a data centre's sum or the
// reports of its routers.
func (c *Core) addOtherCentres(now time.Time, sum *tally) {
	for _, dc := range c.centresWithSums() {
		if s := c.centreSums[dc]; s != nil {
			sum.add(now, s)
		}
	}
	for _, p := range c.sortedPeers() {
		if p.dataCentre != c.settings.DataCentre {
			sum.add(now, &p.report)
		}
	}
}

// newDigest returns a digest with the fields that every digest has.
func (c *Core) newDigest(now time.Time) *peerv1.Digest {
	c.sequence++
	d := &peerv1.Digest{
		Protocol: Protocol, Incarnation: c.settings.Incarnation, Sequence: c.sequence,
		Reading: c.reading && c.storeReachable(), Leaving: c.leaving, Readers: uint32(c.knownReaders),
		DataCentre: c.settings.DataCentre, Strength: c.settings.Strength, Relay: c.relay,
		SuspectsSum: c.suspects.sum, SuspectsUnknown: !c.suspects.synced,
	}
	c.outages.writeTo(now, d)
	if p, ok := c.peers[c.feeder]; ok {
		d.Feeder = p.rank.hash
	}
	for _, t := range c.tables {
		d.Versions = append(d.Versions, t.Version())
	}
	return d
}

func setPrefixReads(d *peerv1.Digest, prefixReads []placement.PrefixRead) {
	for _, r := range prefixReads {
		d.PromptPart = append(d.PromptPart, r.Prefix)
		d.PromptTarget = append(d.PromptTarget, r.Target)
	}
}

// appendPeer appends an address unless it is already present or this router's own.
func (c *Core) appendPeer(to []Address, a Address) []Address {
	if a == c.settings.Self || slices.Contains(to, a) {
		return to
	}
	return append(to, a)
}

// remoteRelays returns the relays of the other data centres, sorted: the highest-ranked routers,
// and standbys whose digests say that they are relays. Such a standby replaced a relay whose exit
// this router has not detected yet.
func (c *Core) remoteRelays(now time.Time) []Address {
	var out []Address
	for dc, entry := range c.centres {
		if dc == c.settings.DataCentre {
			continue
		}
		for _, r := range entry.relays() {
			out = append(out, r.address)
		}
		for _, r := range entry.standbys() {
			if p := c.peers[r.address]; p.relay && p.isHeard(now) {
				out = append(out, r.address)
			}
		}
	}
	slices.Sort(out)
	return out
}

// sortedPeers returns the other routers sorted by address, because messages must not depend on map
// order.
func (c *Core) sortedPeers() []*peer {
	if len(c.peerOrder) != len(c.peers) || c.peersChanged {
		c.peerOrder, c.peersChanged = make([]*peer, 0, len(c.peers)), false
		for _, p := range c.peers {
			c.peerOrder = append(c.peerOrder, p)
		}
		slices.SortFunc(c.peerOrder, func(a, b *peer) int { return cmp.Compare(a.address, b.address) })
	}
	return c.peerOrder
}
