package placement

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/lineage"
)

// pause is the time for which a target has asked this router to send it no requests. After a pause
// one trial request is sent, and no other before its first event. Otherwise the requests that
// waited for the end of the pause would arrive all at once at a target that may pause again.
type pause struct {
	until        time.Time
	untested     bool // no request has had its first event since the pause
	trialPending bool // the trial request is in flight
}

const (
	// pauseJitter is the share of a pause by which a router may prolong it at random, and
	// maxPauseJitter limits that. Routers that were refused together would otherwise come back
	// together.
	pauseJitter    = 0.25
	maxPauseJitter = time.Second
)

// isOn reports whether the target gets no requests now: the pause lasts, or has ended and its trial
// request is in flight.
func (p *pause) isOn(now time.Time) bool { return p.until.After(now) || (p.untested && p.trialPending) }

func (p *pause) recordPlacement() { p.trialPending = p.untested }

// recordFirstEvent records the first event of a request, or, if answered is false, that the request
// ended without one. Requests that end during the pause were sent before it and do not count as its
// trial.
func (p *pause) recordFirstEvent(now time.Time, answered bool) {
	if p.trialPending && !p.until.After(now) {
		p.trialPending = false
		p.untested = !answered
	}
}

// MarkPaused records that a target wants no requests from this router for d. Of several pauses, the
// one that ends last counts.
func (b *Balancer) MarkPaused(now time.Time, uid uint64, d time.Duration) {
	t, ok := b.byUID[uid]
	if !ok || d <= 0 {
		return
	}
	until := now.Add(d + time.Duration(b.rand.Float64()*float64(min(time.Duration(pauseJitter*float64(d)), maxPauseJitter))))
	if until.After(t.pause.until) {
		t.pause = pause{until: until, untested: true}
	}
}

// isClosed reports whether a target gets no requests at all: it is leaving, its data centre is
// evacuated, or it is paused.
func (t *target) isClosed(now time.Time) bool { return !t.isActive() || t.pause.isOn(now) }

// ConfirmPlacement reports whether a placed request may still be sent to its target. If so and the
// target is cold, it counts the request as sent.
func (b *Balancer) ConfirmPlacement(now time.Time, c Choice) bool {
	if _, ok := b.MayForward(now, c.Target.UID); !ok {
		return false
	}
	t := b.byUID[c.Target.UID]
	if t.isCold(now) {
		if t.cold.lastSequence != c.sequence && !b.maySendCold(now, t) {
			return false
		}
		t.cold.recordPlacement(now, c.sequence)
	}
	return true
}

// PausedRetryAfter returns the time until the first pause ends if all active targets of a pool that run
// a software version are paused; 0 otherwise.
func (b *Balancer) PausedRetryAfter(now time.Time, pool string, s lineage.Software) time.Duration {
	p, ok := b.pools[pool]
	if !ok {
		return 0
	}
	shortest := time.Duration(0)
	for _, t := range p.targets {
		if !t.isActive() || !t.runs(s) {
			continue
		}
		remaining := t.pause.until.Sub(now)
		if remaining <= 0 {
			return 0
		}
		if shortest == 0 || remaining < shortest {
			shortest = remaining
		}
	}
	return shortest
}
