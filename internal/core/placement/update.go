package placement

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/lineage"
	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
)

// PoolTarget is a target and the pool that it belongs to.
type PoolTarget struct {
	Pool   string
	Target Target
}

// TargetChanges are the differences between two states of the targets that may be used.
type TargetChanges struct {
	Updated []PoolTarget // targets that are new or changed
	Dropped []uint64     // UIDs of the lifetimes that may no longer be used
}

// UpdateTargets applies changes of the targets. Its cost depends on the number of changes and of
// reported loads, not on that of the targets. A dropped target keeps its count until its last
// request ends.
func (b *Balancer) UpdateTargets(now time.Time, changes TargetChanges) {
	joinedAt := now
	if len(b.byUID) == 0 {
		joinedAt = time.Time{} // the targets of the first list were there before this router
	}
	for _, uid := range changes.Dropped {
		b.drop(uid)
	}
	added := make(map[uint64]*target)
	for _, u := range changes.Updated {
		if t, isNew := b.update(now, joinedAt, u); isNew {
			added[u.Target.UID] = t
		}
	}
	b.addReportedLoads(added)
	for uid, t := range b.unlisted {
		if t.ownOpen == 0 {
			b.forget(uid)
		}
	}
	for name, p := range b.pools {
		if len(p.targets) == 0 {
			delete(b.pools, name)
			continue
		}
		p.updateSizes()
	}
}

// update applies a new or changed target and reports whether it is new.
func (b *Balancer) update(now, joinedAt time.Time, u PoolTarget) (t *target, isNew bool) {
	t, ok := b.byUID[u.Target.UID]
	if !ok {
		t = &target{joinedAt: joinedAt, seed: rendezvous.Hash(u.Target.ID), poolIndex: notListed}
		b.byUID[u.Target.UID] = t
	}
	if t.isListed() {
		t.pool.remove(t)
	}
	if u.Target.RowVersion > t.RowVersion {
		if !t.exitedAt.IsZero() {
			// The target is running, since it has written its entry again.
			t.exitedAt, t.probedAt, t.health = time.Time{}, time.Time{}, health{}
			delete(b.exited, u.Target.UID)
		}
		t.cold.extend(now, u.Target.ColdRemaining)
	}
	t.Target, t.software = u.Target, lineage.SoftwareOf(u.Pool, u.Target.SoftwareVersion)
	t.evacuated = b.evacuationOrders.IsEvacuated(t.DataCentre)
	b.applyLeavingNotice(now, t)
	b.poolNamed(u.Pool).add(t)
	delete(b.unlisted, t.UID)
	return t, !ok
}

// drop removes a target from its pool.
func (b *Balancer) drop(uid uint64) {
	t, ok := b.byUID[uid]
	if !ok || !t.isListed() {
		return
	}
	t.pool.remove(t)
	b.unlisted[uid] = t
}

// forget deletes all state about a lifetime.
func (b *Balancer) forget(uid uint64) {
	delete(b.byUID, uid)
	delete(b.unlisted, uid)
	delete(b.open, uid)
	delete(b.counted, uid)
	delete(b.exited, uid)
}

// addReportedLoads adds the loads that other routers reported before a target was listed.
func (b *Balancer) addReportedLoads(added map[uint64]*target) {
	if len(added) == 0 {
		return
	}
	for source, p := range b.reports {
		for i := range p.loads {
			l := &p.loads[i]
			if t, ok := added[l.Target]; ok {
				t.addPeerLoad(source, p.receivedAt, l, 1)
			}
		}
	}
}
