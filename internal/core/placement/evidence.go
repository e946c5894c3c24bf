package placement

import (
	"math"
	"time"
)

// Evidence is what came of the requests at a target, as one router saw it. Both counts fade:
// what ended a half-life ago counts half.
type Evidence struct {
	Target        uint64
	Ended, Failed float64
}

const (
	// evidenceHalfLife is long enough for a dozen requests at a target that gets ten a second
	// from the whole fleet, and short enough to find one that fails a third within a second
	// or two, and to forget it as soon.
	evidenceHalfLife = 2 * time.Second
	// leastEvidence is how many ends make a share: of fewer, chance alone fails a third of
	// the requests to plain services that answer one in seven with a failure of their own.
	leastEvidence = 12
	// greyShare is the share of failures above which a target rests. Plain services answer up
	// to 0.14 of some requests with a failure of their own.
	greyShare = 0.3
	// outlier is how many times the mean share of the others in its pool a target has to fail
	// to rest. If all fail alike, resting some moves their chats and helps nobody.
	outlier = 1.5
	// lostWeight is what a lost answer counts against one failure that the target owned up
	// to: its caller waits for long, and a request that may not be repeated is lost.
	lostWeight = 2
	// restBase and restMax bound how long a failing target rests. Trouble of this kind lasts for
	// seconds; each rest that follows soon after another is twice as long.
	restBase = time.Second
	restMax  = 4 * time.Second
	// restsForgotten is how long after a rest the next one is short again.
	restsForgotten = 10 * time.Second
	// reportLeast is the faded count of failures from which a router tells of a target.
	reportLeast = 0.5
)

// tally adds up evidence of one target.
type tally struct {
	ended, failed float64
	at            time.Time // until when it has faded
}

func faded(since time.Duration) float64 {
	return math.Exp2(-since.Seconds() / evidenceHalfLife.Seconds())
}

func (t *tally) fade(now time.Time) {
	if since := now.Sub(t.at); since > 0 {
		keep := faded(since)
		t.ended *= keep
		t.failed *= keep
		t.at = now
	}
}

// share returns the share of failures; 0 if next to nothing has ended.
func (t *tally) share() float64 {
	if t.ended < 1 {
		return 0
	}
	return t.failed / t.ended
}

func (t *tally) add(now time.Time, failed float64) {
	t.fade(now)
	t.ended++
	t.failed += failed
}

// weightOf returns what an outcome counts as a failure; false if it says nothing.
func weightOf(o Outcome) (weight float64, counts bool) {
	switch o {
	case Answered:
		return 0, true
	case Errored:
		return 1, true
	case Failed:
		return lostWeight, true
	default:
		return 0, false
	}
}

// rest is the time for which a failing target gets no new work.
type rest struct {
	times int // lately
	until time.Time
}

func (r *rest) begin(now time.Time) {
	if now.Sub(r.until) > restsForgotten {
		r.times = 0
	}
	r.until = now.Add(min(restBase<<min(r.times, 8), restMax))
	r.times++
}

// judge lets a target rest if the whole fleet's evidence says that it fails much of what it
// gets, and reports whether a rest begins. One router sees a sliver of the requests to a
// target; alone it would find a grey one after most of a minute.
func (b *Board) judge(now time.Time, t *target) bool {
	if t.resting(now) {
		return false
	}
	seen := b.seen(now, t)
	t.judged.fade(now)
	fresh := tally{ended: seen.ended - t.judged.ended, failed: seen.failed - t.judged.failed}
	if fresh.ended < leastEvidence || fresh.share() <= greyShare || fresh.share() <= outlier*b.othersShare(now, t) {
		return false
	}
	t.judged = seen
	t.rest.begin(now)
	return true
}

// othersShare returns the mean share of failures of the other targets of a pool.
func (b *Board) othersShare(now time.Time, t *target) float64 {
	sum, n := 0.0, 0
	for _, o := range t.pool.targets {
		if o != t {
			seen := b.seen(now, o)
			sum += seen.share()
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// seen adds up what this router and the others saw of a target.
func (b *Board) seen(now time.Time, t *target) tally {
	t.tally.fade(now)
	sum := t.tally
	for _, p := range b.peers {
		if e, ok := p.evidence[t.UID]; ok {
			keep := faded(now.Sub(p.heard))
			sum.ended += keep * e.Ended
			sum.failed += keep * e.Failed
		}
	}
	return sum
}

// Evidence returns what this router tells of the targets that it or another router has
// seen failing: once one tells of a target all do, so that the successes count as well.
func (b *Board) Evidence(now time.Time) []Evidence {
	var out []Evidence
	for uid, t := range b.byUID {
		t.tally.fade(now)
		if t.tally.ended < reportLeast {
			continue
		}
		if t.tally.failed >= reportLeast || b.accused(uid) {
			out = append(out, Evidence{Target: uid, Ended: t.tally.ended, Failed: t.tally.failed})
		}
	}
	return out
}

// accused reports whether another router has seen a target fail.
func (b *Board) accused(uid uint64) bool {
	for _, p := range b.peers {
		if p.evidence[uid].Failed >= reportLeast {
			return true
		}
	}
	return false
}
