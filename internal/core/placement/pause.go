package placement

import "time"

// pause is a target's word for how long it wants nothing from this router. After it one request is sent first, and no other before
// that has its first event: requests that waited for the end would come all at once, to a target that may ask again.
type pause struct {
	until   time.Time
	untried bool // nothing has been answered since
	trying  bool // the first request after it is under way
}

const (
	// resumeSpread is the part of a pause by which routers let it last longer, and resumeSpreadMost the most of it: those
	// that were turned away together would come back together.
	resumeSpread     = 0.25
	resumeSpreadMost = time.Second
)

// holds reports whether the target gets nothing now.
func (p *pause) holds(now time.Time) bool { return p.until.After(now) || (p.untried && p.trying) }

func (p *pause) placed() { p.trying = p.untried }

// answered notes the first event of a request, or that it ended without one. A request that was sent before the pause says
// nothing of what comes after it.
func (p *pause) answered(now time.Time, ok bool) {
	if p.trying && !p.until.After(now) {
		p.trying = false
		p.untried = !ok
	}
}

// MarkPaused takes in that a target wants nothing from this router for a time. Of two words the one that lasts longer counts.
func (b *Balancer) MarkPaused(now time.Time, uid uint64, d time.Duration) {
	t, ok := b.byUID[uid]
	if !ok || d <= 0 {
		return
	}
	until := now.Add(d + time.Duration(b.rand.Float64()*float64(min(time.Duration(resumeSpread*float64(d)), resumeSpreadMost))))
	if until.After(t.pause.until) {
		t.pause = pause{until: until, untried: true}
	}
}

// closed reports whether a target gets nothing at all: it leaves, its data centre is evacuated, or it wants nothing for now.
func (t *target) closed(now time.Time) bool { return !t.stays() || t.pause.holds(now) }

// MaySend reports whether a request that was placed may be sent to its target now. If it may and the target is cold, it counts as
// sent from now on.
func (b *Balancer) MaySend(now time.Time, c Choice) bool {
	t, ok := b.byUID[c.Target.UID]
	if !ok || b.IsLeavingOrRemoved(t.UID) || t.evacuated || t.pause.until.After(now) {
		return false
	}
	if t.isCold(now) {
		if t.cold.holder != c.sequence && !b.bears(now, t) {
			return false
		}
		t.cold.placed(now, c.sequence)
	}
	return true
}

// PausedRetryAfter returns in what time the first target of a pool wants requests again, if all of those that stay want none; 0 otherwise.
func (b *Balancer) PausedRetryAfter(now time.Time, name string) time.Duration {
	p, ok := b.pools[name]
	if !ok {
		return 0
	}
	first := time.Duration(0)
	for _, t := range p.targets {
		if !t.stays() {
			continue
		}
		left := t.pause.until.Sub(now)
		if left <= 0 {
			return 0
		}
		if first == 0 || left < first {
			first = left
		}
	}
	return first
}
