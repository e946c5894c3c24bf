package fleet

import (
	"math"
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
)

// reported is what a source told last.
type reported struct {
	at       time.Time // of the loads; zero if there are none
	loads    []placement.Load
	outcomes []placement.TargetOutcomes
	told     time.Time // of the outcomes
	counted  int       // routers, in a sum
}

// reportLasts is how long a report counts, as long as for placements.
const reportLasts = 1500 * time.Millisecond

func (r *reported) fresh(now time.Time) bool { return !r.at.IsZero() && now.Sub(r.at) < reportLasts }

// take replaces the loads, and the outcomes if there are any, and reports whether the loads differ.
func (r *reported) take(now time.Time, loads []placement.Load, outcomes []placement.TargetOutcomes) bool {
	differ := !r.fresh(now) || !equalLoads(r.loads, loads)
	r.at, r.loads = now, loads
	if outcomes != nil {
		r.told, r.outcomes = now, outcomes
	}
	return differ
}

// tally adds up reports. It keeps the order in which targets came, so that equal reports make equal sums.
type tally struct {
	at       map[uint64]int
	loads    []placement.Load
	outcomes []placement.TargetOutcomes
	seen     map[uint64]int
}

func newTally() *tally { return &tally{at: make(map[uint64]int), seen: make(map[uint64]int)} }

func (t *tally) addLoads(loads []placement.Load, sign int) {
	for _, l := range loads {
		i, ok := t.at[l.Target]
		if !ok {
			i = len(t.loads)
			t.at[l.Target] = i
			t.loads = append(t.loads, placement.Load{Target: l.Target})
		}
		t.loads[i].Open = max(t.loads[i].Open+sign*l.Open, 0)
	}
}

func (t *tally) addOutcomes(outcomes []placement.TargetOutcomes, weight float64) {
	for _, o := range outcomes {
		i, ok := t.seen[o.Target]
		if !ok {
			i = len(t.outcomes)
			t.seen[o.Target] = i
			t.outcomes = append(t.outcomes, placement.TargetOutcomes{Target: o.Target})
		}
		t.outcomes[i].Add(o, weight)
	}
}

// add counts a report as of now.
func (t *tally) add(now time.Time, r *reported) {
	if r.fresh(now) {
		t.addLoads(r.loads, 1)
	}
	if !r.told.IsZero() && now.Sub(r.told) < reportLasts {
		t.addOutcomes(r.outcomes, placement.DecayFactor(now.Sub(r.told)))
	}
}

// without returns loads and outcomes of which a part belongs to somebody else.
func without(loads, part []placement.Load, outcomes, ofThose []placement.TargetOutcomes) ([]placement.Load, []placement.TargetOutcomes) {
	t := newTally()
	t.addLoads(loads, 1)
	t.addLoads(part, -1)
	if outcomes == nil {
		return t.loads, nil
	}
	t.outcomes = make([]placement.TargetOutcomes, 0, len(outcomes))
	t.addOutcomes(outcomes, 1)
	t.addOutcomes(ofThose, -1)
	return t.loads, t.outcomes
}

// encode returns loads and, if they are to be told, outcomes.
func encode(loads []placement.Load, outcomes []placement.TargetOutcomes, tells bool) *peerv1.Report {
	r := &peerv1.Report{TellsOutcomes: tells}
	for _, l := range loads {
		if l.Open > 0 {
			r.LoadTarget = append(r.LoadTarget, l.Target)
			r.LoadOpen = append(r.LoadOpen, uint32(l.Open))
		}
	}
	if !tells {
		return r
	}
	for _, o := range outcomes {
		if o.Ended > 0 {
			r.OutcomeTarget = append(r.OutcomeTarget, o.Target)
			r.OutcomeEnded = append(r.OutcomeEnded, float32(o.Ended))
			r.OutcomeFailed = append(r.OutcomeFailed, float32(o.Failed))
		}
		if o.FirstEventSeconds > 0 {
			r.SlowTarget = append(r.SlowTarget, o.Target)
			r.SlowTook = append(r.SlowTook, float32(o.FirstEventSeconds))
			r.SlowExpected = append(r.SlowExpected, float32(o.ExpectedSeconds))
		}
	}
	return r
}

func loadsOf(r *peerv1.Report) []placement.Load {
	n := min(len(r.GetLoadTarget()), len(r.GetLoadOpen()))
	out := make([]placement.Load, n)
	for i := range n {
		out[i] = placement.Load{Target: r.GetLoadTarget()[i], Open: int(r.GetLoadOpen()[i])}
	}
	return out
}

// sensible reports whether a sum is a number that can be added to others.
func sensible(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }

// outcomesOf returns nil if the report tells none.
func outcomesOf(r *peerv1.Report) []placement.TargetOutcomes {
	if !r.GetTellsOutcomes() {
		return nil
	}
	n := min(len(r.GetOutcomeTarget()), len(r.GetOutcomeEnded()), len(r.GetOutcomeFailed()))
	slow := min(len(r.GetSlowTarget()), len(r.GetSlowTook()), len(r.GetSlowExpected()))
	out := make([]placement.TargetOutcomes, 0, n+slow)
	for i := range n {
		ended, failed := float64(r.GetOutcomeEnded()[i]), float64(r.GetOutcomeFailed()[i])
		if sensible(ended) && sensible(failed) {
			out = append(out, placement.TargetOutcomes{Target: r.GetOutcomeTarget()[i], Ended: ended, Failed: failed})
		}
	}
	for i := range slow {
		took, expected := float64(r.GetSlowTook()[i]), float64(r.GetSlowExpected()[i])
		if sensible(took) && sensible(expected) {
			out = append(out, placement.TargetOutcomes{Target: r.GetSlowTarget()[i], FirstEventSeconds: took, ExpectedSeconds: expected})
		}
	}
	return out
}

func promptsOf(d *peerv1.Digest) []placement.PrefixRead {
	n := min(len(d.GetPromptPart()), len(d.GetPromptTarget()))
	out := make([]placement.PrefixRead, n)
	for i := range n {
		out[i] = placement.PrefixRead{Prefix: d.GetPromptPart()[i], Target: d.GetPromptTarget()[i]}
	}
	return out
}

func departuresOf(d *peerv1.Digest) []placement.Departure {
	n := min(len(d.GetLeftTarget()), len(d.GetLeftList()), len(d.GetLeftGone()))
	if n == 0 {
		return nil
	}
	out := make([]placement.Departure, n)
	for i := range n {
		out[i] = placement.Departure{Target: d.GetLeftTarget()[i], ListVersion: d.GetLeftList()[i], Removed: d.GetLeftGone()[i]}
		if i < len(d.GetLeftSaid()) { // routers of earlier releases tell none
			out[i].Announced = d.GetLeftSaid()[i]
		}
		if i < len(d.GetLeftEnded()) {
			out[i].Exited = d.GetLeftEnded()[i]
		}
	}
	return out
}
