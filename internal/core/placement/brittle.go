package placement

import "time"

// A brittle target crashes if it has to refuse too many requests within a second, from all routers
// together. It says so in its answers, and lets few requests wait meanwhile. Each router then sends to
// it within a quota of its slots only, see warmup.Fleet; what is beyond, another router sends within
// its own. So the target is never asked for more than it has, whatever the routers know of each
// other's requests. A router that is refused all the same pauses for so long that the trials of all
// stay below the limit.

// brittleMargin is how far the trials of all routers stay below the refusals that a target bears.
const brittleMargin = 2

// MarkBrittle records how many requests a second the targets of a pool bear to refuse, as one of them
// says; 0 if they are not brittle. isNew reports whether they were not known to be brittle before, or
// are not brittle any more.
func (b *Balancer) MarkBrittle(uid uint64, refusalsPerSecond int) (isNew bool) {
	t, ok := b.byUID[uid]
	if !ok {
		return false
	}
	isNew = (t.pool.brittleLimit > 0) != (refusalsPerSecond > 0)
	t.pool.brittleLimit = refusalsPerSecond
	return isNew
}

// IsBrittle reports whether the targets of a pool say that they are brittle.
func (b *Balancer) IsBrittle(pool string) bool {
	p, ok := b.pools[pool]
	return ok && p.brittleLimit > 0
}

// AcquireSend counts an attempt that this router sends to a target itself, for its own caller or for
// another router. It returns false, and counts nothing, if that is beyond this router's quota of a
// brittle target. ReleaseSend must follow if it returns true.
func (b *Balancer) AcquireSend(uid uint64) bool {
	t, ok := b.byUID[uid]
	if !ok {
		return true
	}
	if t.pool.brittleLimit > 0 && t.Slots > 0 && t.sending >= b.quota(t) {
		return false
	}
	t.sending++
	return true
}

// ReleaseSend undoes AcquireSend.
func (b *Balancer) ReleaseSend(uid uint64) {
	if t, ok := b.byUID[uid]; ok && t.sending > 0 {
		t.sending--
	}
}

// QuotaHolders returns the other routers that have a quota of a brittle target's slots; nil if it is
// not brittle, or the routers are unknown.
func (b *Balancer) QuotaHolders(uid uint64) []string {
	t, ok := b.byUID[uid]
	if !ok || b.fleet == nil || t.pool.brittleLimit == 0 || t.Slots == 0 {
		return nil
	}
	return b.fleet.Holders(uid, t.Slots)
}

// quotaOfUnknownFleet is a router's quota until it knows the others.
const quotaOfUnknownFleet = 1

// quota returns how many of a target's slots are this router's own.
func (b *Balancer) quota(t *target) int {
	if b.fleet == nil {
		return quotaOfUnknownFleet
	}
	if t.quotaFleet != b.fleet || t.quotaSlots != t.Slots {
		t.quotaFleet, t.quotaSlots, t.ownQuota = b.fleet, t.Slots, b.fleet.Quota(t.UID, t.Slots)
	}
	return t.ownQuota
}

// isFull reports whether a brittle target has no free slot, as far as the fleet knows. loadsOutdated is
// as in Request.
func (t *target) isFull(loadsOutdated bool) bool {
	return t.pool.brittleLimit > 0 && t.Slots > 0 && !loadsOutdated && !t.hasFreeSlot()
}

// pauseBrittle pauses a brittle target that has refused a request of this router.
func (b *Balancer) pauseBrittle(now time.Time, t *target) {
	limit, routers := t.pool.brittleLimit, 1
	if b.fleet != nil {
		routers = b.fleet.Size()
	}
	if limit > 0 {
		b.MarkPaused(now, t.UID, max(time.Second, brittleMargin*time.Duration(routers)*time.Second/time.Duration(limit)))
	}
}
