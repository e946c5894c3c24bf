// Package member tracks which of the listed routers are alive, using heartbeats that spread by
// gossip. It provides no agreement: views may differ for seconds, and everything that uses them
// must remain safe meanwhile.
package member

import (
	"math/rand/v2"
	"sort"
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
)

// peer is the state of one listed router.
type peer struct {
	incarnation uint64
	counter     uint64
	revision    uint64
	leaving     bool
	advancedAt  time.Time // when the counter last increased, on the local clock
}

// View is one router's view of the fleet. It is not safe for concurrent use.
type View struct {
	self           uint32
	ids            []uint32
	peers          map[uint32]*peer
	suspectTimeout time.Duration
	startedAt      time.Time
	rand           *rand.Rand
}

// New returns the view of router self over the listed ids.
func New(now time.Time, self uint32, incarnation uint64, ids []uint32, suspectTimeout time.Duration, rnd *rand.Rand) *View {
	v := &View{startedAt: now, self: self, peers: make(map[uint32]*peer), suspectTimeout: suspectTimeout, rand: rnd}
	v.ids = append(v.ids, ids...)
	sort.Slice(v.ids, func(i, j int) bool { return v.ids[i] < v.ids[j] })
	for _, id := range v.ids {
		v.peers[id] = &peer{}
	}
	v.peers[self].incarnation = incarnation
	return v
}

// AdvanceHeartbeat increments the router's own heartbeat counter and sets its configuration
// revision.
func (v *View) AdvanceHeartbeat(now time.Time, revision uint64) {
	own := v.peers[v.self]
	own.counter++
	own.advancedAt = now
	own.revision = revision
}

// MarkLeaving marks this router as shutting down. The mark is part of its heartbeat.
func (v *View) MarkLeaving() { v.peers[v.self].leaving = true }

// Heartbeats returns the latest known heartbeat of every router that has sent one, for a gossip
// message.
func (v *View) Heartbeats() []*peerv1.Heartbeat {
	out := make([]*peerv1.Heartbeat, 0, len(v.ids))
	for _, id := range v.ids {
		p := v.peers[id]
		if p.counter == 0 {
			continue
		}
		out = append(out, &peerv1.Heartbeat{
			Router: id, Incarnation: p.incarnation, Counter: p.counter, Revision: p.revision, Leaving: p.leaving,
		})
	}
	return out
}

// MergeHeartbeats processes heartbeats and returns the routers that restarted, which is seen
// from a higher incarnation. A heartbeat that is not newer changes nothing: a delayed heartbeat
// can't make a dead router look alive.
func (v *View) MergeHeartbeats(now time.Time, heartbeats []*peerv1.Heartbeat) (restarted []uint32) {
	for _, heartbeat := range heartbeats {
		p, ok := v.peers[heartbeat.GetRouter()]
		if !ok || heartbeat.GetRouter() == v.self || !isNewer(heartbeat, p) {
			continue
		}
		if p.incarnation != 0 && heartbeat.GetIncarnation() > p.incarnation {
			restarted = append(restarted, heartbeat.GetRouter())
		}
		*p = peer{
			incarnation: heartbeat.GetIncarnation(),
			counter:     heartbeat.GetCounter(),
			revision:    heartbeat.GetRevision(),
			leaving:     heartbeat.GetLeaving(),
			advancedAt:  now,
		}
	}
	return restarted
}

// isNewer reports whether a heartbeat is newer than the state of its router.
func isNewer(heartbeat *peerv1.Heartbeat, p *peer) bool {
	if heartbeat.GetIncarnation() != p.incarnation {
		return heartbeat.GetIncarnation() > p.incarnation
	}
	return heartbeat.GetCounter() > p.counter
}

// Incarnation returns the latest known incarnation of a router, or 0 if it is unknown.
func (v *View) Incarnation(id uint32) uint64 {
	if p, ok := v.peers[id]; ok {
		return p.incarnation
	}
	return 0
}

// IsListed reports whether id is a listed router of the fleet.
func (v *View) IsListed(id uint32) bool {
	_, ok := v.peers[id]
	return ok
}

// IsAlive reports whether a router's heartbeat advanced within the suspect timeout. The router
// itself is always alive. A router without a heartbeat yet counts as alive for the suspect timeout
// after the start. Otherwise a starting router would consider itself the only live one, own every
// pool, count only its own requests and exceed the bound until heartbeats of the others arrived.
func (v *View) IsAlive(now time.Time, id uint32) bool {
	if id == v.self {
		return true
	}
	p, ok := v.peers[id]
	if !ok {
		return false
	}
	since := p.advancedAt
	if p.counter == 0 {
		since = v.startedAt
	}
	return now.Sub(since) <= v.suspectTimeout
}

// LiveRouters returns the routers that are alive and not shutting down, in ascending order. This
// router is included unless it is shutting down.
func (v *View) LiveRouters(now time.Time) []uint32 {
	out := make([]uint32, 0, len(v.ids))
	for _, id := range v.ids {
		if v.IsAlive(now, id) && !v.peers[id].leaving {
			out = append(out, id)
		}
	}
	return out
}

// HasHeardMajority reports whether the heartbeats of more than half of the listed routers,
// including this one, advanced at most maxAge ago.
func (v *View) HasHeardMajority(now time.Time, maxAge time.Duration) bool {
	heard := 0
	for _, id := range v.ids {
		p := v.peers[id]
		if id == v.self || (p.counter > 0 && now.Sub(p.advancedAt) <= maxAge) {
			heard++
		}
	}
	return heard*2 > len(v.ids)
}

// HighestRevision returns the highest revision in the heartbeats of other routers and the router
// that has it.
func (v *View) HighestRevision() (uint64, uint32) {
	var best uint64
	var at uint32
	for _, id := range v.ids {
		if p := v.peers[id]; id != v.self && p.revision > best {
			best, at = p.revision, id
		}
	}
	return best, at
}

// Revisions returns the last known revision of every listed router.
func (v *View) Revisions() map[uint32]uint64 {
	out := make(map[uint32]uint64, len(v.ids))
	for _, id := range v.ids {
		out[id] = v.peers[id].revision
	}
	return out
}

// RandomPeers returns up to n distinct other routers, chosen at random. Silent routers are
// included, since gossip with them is how a recovered router is detected.
func (v *View) RandomPeers(n int) []uint32 {
	others := make([]uint32, 0, len(v.ids))
	for _, id := range v.ids {
		if id != v.self {
			others = append(others, id)
		}
	}
	v.rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(n, len(others))]
}

// Size returns the number of listed routers.
func (v *View) Size() int { return len(v.ids) }
