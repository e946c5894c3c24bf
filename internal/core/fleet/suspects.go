package fleet

import (
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/poison"
)

const (
	// differEvery is how often a router is told of all suspects at the most, and suspectsPerDigest how many one digest tells.
	differEvery       = 400 * time.Millisecond
	suspectsPerDigest = 32
	// differTold is how many of a relay's followers tell it what it lacks, in the mean: each hears the same difference.
	differTold = 3
)

// suspects is what a router holds of requests that are refused. News of them is told a few times; a router that
// was not there then, as it started, was cut off or frozen, shows it by its sum.
type suspects struct {
	held  []poison.Suspect
	sum   uint64
	known bool // this router holds what the others do, or what the store has
}

func (c *Core) hold(n News) {
	c.suspects = suspects{held: n.Held, sum: poison.Sum(n.Held), known: n.HeldKnown}
}

// compareSuspects notes whether the sender of a digest holds the same suspects as this router.
func (c *Core) compareSuspects(now time.Time, p *peer, d *peerv1.Digest) {
	own := &c.suspects
	switch {
	case d.GetSuspectsSum() == own.sum:
		if !own.known && !d.GetSuspectsUnknown() {
			own.known = true
			c.emit(SuspectsKnown{})
		}
		return
	case len(own.held) == 0, now.Sub(p.toldSuspects) < differEvery:
		return
	case d.GetScope() == peerv1.Scope_SCOPE_FLEET && c.rand.IntN(c.Alive(now)+1) >= differTold:
		return
	}
	p.toldSuspects = now
	c.differ = append(c.differ, p.address)
}

// tellSuspects tells those that hold other suspects of all that this router holds.
func (c *Core) tellSuspects(now time.Time) {
	to := c.differ
	if len(to) == 0 {
		return
	}
	c.differ = nil
	held := c.suspects.held
	for len(held) > 0 {
		n := min(len(held), suspectsPerDigest)
		d := c.compose(now)
		d.Suspects = encodeSuspects(held[:n])
		held = held[n:]
		c.emit(SendDigest{To: to, Digest: d})
	}
}

// hasNews reports whether there is something that is told at once.
func (c *Core) hasNews() bool { return len(c.departures) > 0 || !c.poison.Empty() }

// setNews adds what is told at once.
func (c *Core) setNews(d *peerv1.Digest) {
	for _, left := range c.departures {
		d.LeftTarget = append(d.LeftTarget, left.Target)
		d.LeftList = append(d.LeftList, left.ListVersion)
		d.LeftGone = append(d.LeftGone, left.Removed)
		d.LeftSaid = append(d.LeftSaid, left.Announced)
		d.LeftEnded = append(d.LeftEnded, left.Exited)
	}
	for _, e := range c.poison.Ends {
		d.EndedRequest = append(d.EndedRequest, uint64(e.Request))
		d.EndedTarget = append(d.EndedTarget, e.Target)
	}
	for _, f := range c.poison.Ran {
		d.RanRequest = append(d.RanRequest, uint64(f))
	}
	d.Suspects = encodeSuspects(c.poison.Suspects)
}

func encodeSuspects(in []poison.Suspect) []*peerv1.Suspect {
	var out []*peerv1.Suspect
	for _, s := range in {
		out = append(out, &peerv1.Suspect{
			Request: uint64(s.Request), Generation: s.Generation, Level: uint32(s.Level),
			WaitMillis: uint32(s.Wait.Milliseconds()), LastsMillis: uint32(s.Lasts.Milliseconds()),
		})
	}
	return out
}

// poisonOf decodes the news of requests under which targets end.
func poisonOf(d *peerv1.Digest) poison.News {
	var n poison.News
	for i := range min(len(d.GetEndedRequest()), len(d.GetEndedTarget())) {
		n.Ends = append(n.Ends, poison.End{Request: poison.Fingerprint(d.GetEndedRequest()[i]), Target: d.GetEndedTarget()[i]})
	}
	for _, f := range d.GetRanRequest() {
		n.Ran = append(n.Ran, poison.Fingerprint(f))
	}
	for _, s := range d.GetSuspects() {
		n.Suspects = append(n.Suspects, poison.Suspect{
			Request: poison.Fingerprint(s.GetRequest()), Generation: s.GetGeneration(), Level: int(s.GetLevel()),
			Wait: time.Duration(s.GetWaitMillis()) * time.Millisecond, Lasts: time.Duration(s.GetLastsMillis()) * time.Millisecond,
		})
	}
	return n
}
