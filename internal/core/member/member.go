// Package member tracks which of the listed routers are alive, from heartbeats
// that spread by gossip. It agrees on nothing: views may differ for seconds, and
// everything built on them must stay safe while they do.
package member

import (
	"math/rand/v2"
	"sort"
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
)

// peer is what is known of one listed router.
type peer struct {
	incarnation uint64
	counter     uint64
	revision    uint64
	leaving     bool
	advanced    time.Time // when the counter last moved, on the local clock
}

// View is one router's view of the fleet. It is not safe for concurrent use.
type View struct {
	self         uint32
	ids          []uint32
	peers        map[uint32]*peer
	suspectAfter time.Duration
	started      time.Time
	rand         *rand.Rand
}

// New returns the view of router self over the listed ids.
func New(now time.Time, self uint32, incarnation uint64, ids []uint32, suspectAfter time.Duration, rnd *rand.Rand) *View {
	s := &View{started: now, self: self, peers: make(map[uint32]*peer), suspectAfter: suspectAfter, rand: rnd}
	s.ids = append(s.ids, ids...)
	sort.Slice(s.ids, func(i, j int) bool { return s.ids[i] < s.ids[j] })
	for _, id := range s.ids {
		s.peers[id] = &peer{}
	}
	s.peers[self].incarnation = incarnation
	return s
}

// AdvanceHeartbeat advances the router's own heartbeat.
func (s *View) AdvanceHeartbeat(now time.Time, revision uint64) {
	me := s.peers[s.self]
	me.counter++
	me.advanced = now
	me.revision = revision
}

// MarkLeaving marks this router as leaving. The mark is part of its heartbeat.
func (s *View) MarkLeaving() { s.peers[s.self].leaving = true }

// Heartbeats returns the view for a gossip message.
func (s *View) Heartbeats() []*peerv1.Heartbeat {
	out := make([]*peerv1.Heartbeat, 0, len(s.ids))
	for _, id := range s.ids {
		p := s.peers[id]
		if p.counter == 0 {
			continue
		}
		out = append(out, &peerv1.Heartbeat{
			Router: id, Incarnation: p.incarnation, Counter: p.counter, Revision: p.revision, Leaving: p.leaving,
		})
	}
	return out
}

// MergeHeartbeats takes in heartbeats and returns the routers that restarted, that is,
// whose incarnation rose. A heartbeat that is not newer changes nothing, so one
// that travelled slowly can't revive a dead router.
func (s *View) MergeHeartbeats(now time.Time, heartbeats []*peerv1.Heartbeat) (restarted []uint32) {
	for _, hb := range heartbeats {
		p, ok := s.peers[hb.GetRouter()]
		if !ok || hb.GetRouter() == s.self || !newer(hb, p) {
			continue
		}
		if p.incarnation != 0 && hb.GetIncarnation() > p.incarnation {
			restarted = append(restarted, hb.GetRouter())
		}
		*p = peer{
			incarnation: hb.GetIncarnation(),
			counter:     hb.GetCounter(),
			revision:    hb.GetRevision(),
			leaving:     hb.GetLeaving(),
			advanced:    now,
		}
	}
	return restarted
}

func newer(hb *peerv1.Heartbeat, p *peer) bool {
	if hb.GetIncarnation() != p.incarnation {
		return hb.GetIncarnation() > p.incarnation
	}
	return hb.GetCounter() > p.counter
}

// Incarnation returns the latest known incarnation of a router, 0 if none.
func (s *View) Incarnation(id uint32) uint64 {
	if p, ok := s.peers[id]; ok {
		return p.incarnation
	}
	return 0
}

// IsListed reports whether id is a router of the fleet.
func (s *View) IsListed(id uint32) bool {
	_, ok := s.peers[id]
	return ok
}

// IsAlive reports whether a router's heartbeat advanced lately. The router itself is
// alive, and for a while after a start so is everyone: a router that took itself
// for the only one would count the load of every pool on its own and grant past
// the bound until it hears from the others.
func (s *View) IsAlive(now time.Time, id uint32) bool {
	if id == s.self {
		return true
	}
	p, ok := s.peers[id]
	if !ok {
		return false
	}
	since := p.advanced
	if p.counter == 0 {
		since = s.started
	}
	return now.Sub(since) <= s.suspectAfter
}

// LiveRouters returns the routers that are alive and not leaving, in order. This router
// is among them unless it is leaving.
func (s *View) LiveRouters(now time.Time) []uint32 {
	out := make([]uint32, 0, len(s.ids))
	for _, id := range s.ids {
		if s.IsAlive(now, id) && !s.peers[id].leaving {
			out = append(out, id)
		}
	}
	return out
}

// HasHeardMajority reports whether the heartbeats of more than half of the listed
// routers, this one included, advanced within the last span.
func (s *View) HasHeardMajority(now time.Time, span time.Duration) bool {
	heard := 0
	for _, id := range s.ids {
		p := s.peers[id]
		if id == s.self || (p.counter > 0 && now.Sub(p.advanced) <= span) {
			heard++
		}
	}
	return heard*2 > len(s.ids)
}

// HighestRevision returns the highest revision in any heartbeat and the router that has it.
func (s *View) HighestRevision() (uint64, uint32) {
	var best uint64
	var at uint32
	for _, id := range s.ids {
		if p := s.peers[id]; id != s.self && p.revision > best {
			best, at = p.revision, id
		}
	}
	return best, at
}

// Revisions returns the last known revision of every listed router.
func (s *View) Revisions() map[uint32]uint64 {
	out := make(map[uint32]uint64, len(s.ids))
	for _, id := range s.ids {
		out[id] = s.peers[id].revision
	}
	return out
}

// RandomPeers returns up to n distinct other routers to gossip with. Silent ones
// are included, since that is how a recovered router is found again.
func (s *View) RandomPeers(n int) []uint32 {
	others := make([]uint32, 0, len(s.ids))
	for _, id := range s.ids {
		if id != s.self {
			others = append(others, id)
		}
	}
	s.rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(n, len(others))]
}

// Size returns the number of listed routers.
func (s *View) Size() int { return len(s.ids) }
