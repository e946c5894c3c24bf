package placement

import "time"

// leavingNotice is a target's own announcement of its shutdown, made in an answer. It arrives
// before the target list shows the shutdown and takes precedence over the list: there may be a
// store outage, or the list may contain an earlier write of the target.
type leavingNotice struct {
	receivedAt time.Time
	rowVersion uint64 // version of the target's entry at that time
	// contradictedSince is when a later entry without the leaving state was first seen; zero if
	// there is none.
	contradictedSince time.Time
}

const (
	// contradictionPeriod is how long later entries must contradict a notice before it is dropped.
	// Entries written before the notice may arrive long after it.
	contradictionPeriod = time.Minute
	// leavingNoticeTTL is how long the notice of a target that is not listed is kept.
	leavingNoticeTTL = 10 * time.Minute
	// maxLeavingNotices limits the number of notices. Further ones are ignored.
	maxLeavingNotices = 8192
)

// MarkLeaving records that a target announced its shutdown, to this router or to another one. It
// gets no more requests. isNew reports whether that was unknown before.
func (b *Balancer) MarkLeaving(now time.Time, uid uint64) (isNew bool) {
	if notice, ok := b.leavingNotices[uid]; ok {
		notice.receivedAt, notice.contradictedSince = now, time.Time{}
		return false
	}
	if len(b.leavingNotices) >= maxLeavingNotices {
		return false
	}
	notice := &leavingNotice{receivedAt: now}
	b.leavingNotices[uid] = notice
	if t, ok := b.byUID[uid]; ok {
		notice.rowVersion = t.RowVersion
		if t.Leaving {
			return false
		}
		t.Leaving = true
		t.pool.recount(t)
	}
	return true
}

// applyLeavingNotice marks a target as leaving if it announced its shutdown, whatever its new entry
// says.
func (b *Balancer) applyLeavingNotice(now time.Time, t *target) {
	notice, ok := b.leavingNotices[t.UID]
	if !ok {
		return
	}
	switch {
	case t.Leaving, t.RowVersion <= notice.rowVersion:
		notice.contradictedSince = time.Time{}
	case notice.contradictedSince.IsZero():
		notice.contradictedSince = now
	}
	t.Leaving = true
}

// expireLeavingNotices drops the notices that later entries have contradicted for long enough, and
// old ones of targets that are not listed.
func (b *Balancer) expireLeavingNotices(now time.Time) {
	for uid, notice := range b.leavingNotices {
		t, listed := b.byUID[uid]
		switch {
		case !listed && now.Sub(notice.receivedAt) >= leavingNoticeTTL:
			delete(b.leavingNotices, uid)
		case listed && !notice.contradictedSince.IsZero() && now.Sub(notice.contradictedSince) >= contradictionPeriod:
			delete(b.leavingNotices, uid)
			t.Leaving = false
			t.pool.recount(t)
		}
	}
}
