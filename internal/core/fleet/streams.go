package fleet

import (
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/lineage"
	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
)

// A caller may come back to any router, after the one that began its stream has exited. So each router
// tells the records of its streams to the relays of its data centre, with its own digest. Where a data
// centre has followers, one of its relays passes each record on to a relay of another data centre, as
// a data centre may fail as a whole; where it has none, the relays of the others get that digest as
// well. A router that lacks a record asks the relays.

const (
	// maxStreamsPerDigest limits the records in one digest, at 8 bytes each.
	maxStreamsPerDigest = 256
	// maxQueuedStreams limits the records that wait to be sent; the oldest are dropped.
	maxQueuedStreams = 8192
)

// streamQueue are records that have still to be sent.
type streamQueue []lineage.Record

func (q *streamQueue) add(records ...lineage.Record) {
	*q = append(*q, records...)
	if over := len(*q) - maxQueuedStreams; over > 0 {
		*q = append((*q)[:0], (*q)[over:]...)
	}
}

// moveTo moves the oldest records into a digest.
func (q *streamQueue) moveTo(d *peerv1.Digest) {
	n := min(len(*q), maxStreamsPerDigest)
	byVersion := make(map[lineage.Software]*peerv1.BegunStreams)
	for _, r := range (*q)[:n] {
		b, ok := byVersion[r.Software]
		if !ok {
			b = &peerv1.BegunStreams{Software: uint64(r.Software)}
			byVersion[r.Software] = b
			d.Begun = append(d.Begun, b)
		}
		b.Stream = append(b.Stream, uint64(r.Stream))
	}
	*q = (*q)[n:]
}

func decodeStreams(d *peerv1.Digest) []lineage.Record {
	var out []lineage.Record
	for _, b := range d.GetBegun() {
		for _, s := range b.GetStream() {
			out = append(out, lineage.Record{Stream: lineage.Stream(s), Software: lineage.Software(b.GetSoftware())})
		}
	}
	return out
}

// sendOwnStreams sends the records that no other digest of this tick had room for or cause to be sent.
func (c *Core) sendOwnStreams(now time.Time) {
	if len(c.streams) == 0 {
		return
	}
	if to := c.ownDigestRecipients(now); len(to) > 0 {
		d := c.newDigest(now)
		c.moveStreamsTo(d, to)
		c.emit(SendDigest{To: to, Digest: d})
	}
}

// moveStreamsTo moves records into a digest to relays. If one of them has started since it was sent some,
// it lacks those of before.
func (c *Core) moveStreamsTo(d *peerv1.Digest, to []Address) {
	c.streams.moveTo(d)
	missed := false
	for _, a := range to {
		p, ok := c.peers[a]
		if ok && p.incarnation != 0 && c.streamKeepers[a] != p.incarnation {
			missed = missed || len(c.streamKeepers) > 0
			c.streamKeepers[a] = p.incarnation
		}
	}
	for a := range c.streamKeepers {
		if _, ok := c.peers[a]; !ok {
			delete(c.streamKeepers, a)
		}
	}
	if missed {
		c.emit(StreamsMissed{})
	}
}

// passStreamsOn queues the records of this data centre that this relay has to pass on. Its relays
// divide them by hash.
func (c *Core) passStreamsOn(records []lineage.Record) {
	own := c.centres[c.settings.DataCentre]
	if !c.relay || !own.hasFollowers() {
		return
	}
	relays := own.relays()
	for _, r := range records {
		if relays[uint64(r.Stream)%uint64(len(relays))].address == c.settings.Self {
			c.streamsElsewhere.add(r)
		}
	}
}

// sendStreamsElsewhere sends the queued records to a relay of another data centre.
func (c *Core) sendStreamsElsewhere(now time.Time) {
	if len(c.streamsElsewhere) == 0 {
		return
	}
	var to Address
	var weight uint64
	for _, a := range c.remoteRelays(now) {
		if w := rendezvous.Mix(c.own.rank.hash, rendezvous.Hash(string(a))); to == "" || w > weight {
			to, weight = a, w
		}
	}
	if to == "" {
		return
	}
	d := c.newDigest(now)
	c.streamsElsewhere.moveTo(d)
	c.emit(SendDigest{To: []Address{to}, Digest: d})
}

// StreamKeepers returns the routers that know the streams of others: the relays of this data centre,
// and those of the other data centres.
func (c *Core) StreamKeepers(now time.Time) (near, far []Address) {
	for _, r := range c.centres[c.settings.DataCentre].relays() {
		near = c.appendPeer(near, r.address)
	}
	return near, c.remoteRelays(now)
}
