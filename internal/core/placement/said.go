package placement

import "time"

// said is a target's own word that it leaves, in an answer. It comes before the list's, and counts whatever the list
// says: the store may be away, or late with what the target wrote before.
type said struct {
	at  time.Time
	row uint64 // of the entry that was in force then
	// staysSince is since when a later entry says that the target stays; zero if none does.
	staysSince time.Time
}

const (
	// staysAfter is for how long a later entry has to say that the target stays before that counts: entries that were written
	// before the word may come long after it.
	staysAfter = time.Minute
	// saidLasts is how long the word of a target is remembered that is not listed.
	saidLasts = 10 * time.Minute
	// saidMost bounds the words that are remembered.
	saidMost = 8192
)

// MarkLeaving takes in that a target says that it leaves, to this router or another one. It gets nothing more from now on. news
// reports whether that was not known.
func (b *Balancer) MarkLeaving(now time.Time, uid uint64) (news bool) {
	if s, ok := b.said[uid]; ok {
		s.at, s.staysSince = now, time.Time{}
		return false
	}
	if len(b.said) >= saidMost {
		return false
	}
	s := &said{at: now}
	b.said[uid] = s
	if t, ok := b.byUID[uid]; ok {
		s.row = t.RowVersion
		if t.Leaving {
			return false
		}
		t.Leaving = true
		t.pool.centres = centres(t.pool.targets)
	}
	return true
}

// applySaid has a target leave that said so, whatever its new entry says.
func (b *Balancer) applySaid(now time.Time, t *target) {
	s, ok := b.said[t.UID]
	if !ok {
		return
	}
	switch {
	case t.Leaving, t.RowVersion <= s.row:
		s.staysSince = time.Time{}
	case s.staysSince.IsZero():
		s.staysSince = now
	}
	t.Leaving = true
}

// expireSaid forgets the words of targets that a later entry has told to stay for long, and of those that are gone.
func (b *Balancer) expireSaid(now time.Time) {
	for uid, s := range b.said {
		t, listed := b.byUID[uid]
		switch {
		case !listed && now.Sub(s.at) >= saidLasts:
			delete(b.said, uid)
		case listed && !s.staysSince.IsZero() && now.Sub(s.staysSince) >= staysAfter:
			delete(b.said, uid)
			t.Leaving = false
			t.pool.centres = centres(t.pool.targets)
		}
	}
}
