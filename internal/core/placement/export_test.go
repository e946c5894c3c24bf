package placement

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/targetload"
)

// FinishRequest is FinishPlacement for a request without estimated memory, by the UID of its target.
func (b *Balancer) FinishRequest(now time.Time, uid uint64, o Outcome) (suspended bool) {
	return b.FinishPlacement(now, Choice{Target: Target{UID: uid}}, o)
}

// Pace returns the pace of a target.
func (b *Balancer) Pace(now time.Time, uid uint64) float64 { return b.byUID[uid].pace(now) }

// UnreadBacklog, MemoryOpen and ScheduledOpen return these figures of a target.
func (b *Balancer) UnreadBacklog(uid uint64) int { return b.byUID[uid].unreadBacklog() }

func (b *Balancer) MemoryOpen(uid uint64) int { return b.byUID[uid].memoryOpen() }

func (b *Balancer) ScheduledOpen(now time.Time, uid uint64) int {
	return b.byUID[uid].scheduledOpen(now)
}

// PeerSums returns the sums of the reports of others about a target, and the largest reported pace.
func (b *Balancer) PeerSums(uid uint64) (sums Load) {
	t := b.byUID[uid]
	sums = Load{Target: uid, Open: t.peerOpen, Silent: t.peerSilent, Unread: t.peerUnread, Memory: t.peerMemory}
	for _, s := range t.peerPaces.bySource {
		sums.Pace = max(sums.Pace, s.Value)
	}
	return sums
}

// Reported returns the newest load that a target reported.
func (b *Balancer) Reported(uid uint64) (targetload.Report, bool) {
	return b.byUID[uid].reported.Newest()
}

// SetTargets replaces the targets of all pools.
func (b *Balancer) SetTargets(now time.Time, pools map[string][]Target) {
	var changes TargetChanges
	listed := make(map[uint64]bool)
	for name, targets := range pools {
		for _, t := range targets {
			changes.Updated = append(changes.Updated, PoolTarget{name, t})
			listed[t.UID] = true
		}
	}
	for uid, t := range b.byUID {
		if t.isListed() && !listed[uid] {
			changes.Dropped = append(changes.Dropped, uid)
		}
	}
	b.UpdateTargets(now, changes)
}

// ByPool returns the targets by pool, including removed ones that are still retained.
func (s *TargetSet) ByPool() map[string][]Target {
	out := make(map[string][]Target)
	for _, e := range s.entries {
		out[e.pool] = append(out[e.pool], e.target)
	}
	return out
}

// NonLeavingTargets returns the listed targets that are not leaving, by ID.
func (s *TargetSet) NonLeavingTargets() map[string]Target {
	out := make(map[string]Target)
	for id, e := range s.entries {
		if e.isUsable() {
			out[id] = e.target
		}
	}
	return out
}
