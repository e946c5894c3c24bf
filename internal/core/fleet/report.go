package fleet

import (
	"math"
	"slices"
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/shedding"
)

// sourceReport is the last report of a source.
type sourceReport struct {
	at             time.Time // when the loads were reported; zero if there are none
	loads          []placement.Load
	outcomes       []placement.TargetOutcomes
	outcomesAt     time.Time // when outcomes were reported
	teams          []shedding.TeamWork
	countedRouters int // number of routers that a data centre's sum covers
}

// reportTTL is how long a report counts. It equals LoadReportTTL in placement.DefaultSettings,
// which applies to the loads that placement receives.
const reportTTL = 1500 * time.Millisecond

func (r *sourceReport) fresh(now time.Time) bool { return !r.at.IsZero() && now.Sub(r.at) < reportTTL }

// update replaces the loads, and the outcomes unless they are nil. It reports whether the loads
// changed.
func (r *sourceReport) update(now time.Time, loads []placement.Load, outcomes []placement.TargetOutcomes) bool {
	differ := !r.fresh(now) || !equalLoads(r.loads, loads)
	r.at, r.loads = now, loads
	if outcomes != nil {
		r.outcomesAt, r.outcomes = now, outcomes
	}
	return differ
}

// tally adds up the reports of several sources. It keeps targets in the order of arrival, so equal
// reports give equal sums.
type tally struct {
	loadPos  map[uint64]int // index of each target in loads
	loads    []placement.Load
	outcomes []placement.TargetOutcomes
	outPos   map[uint64]int // index of each target in outcomes
	teams    teamTally
}

func newTally() *tally { return &tally{loadPos: make(map[uint64]int), outPos: make(map[uint64]int)} }

// addLoads adds loads, or subtracts them if sign is -1. The pace is the largest of the added ones: it is not
// known which sources a pace is from, so it can't be subtracted.
func (s *tally) addLoads(loads []placement.Load, sign int) {
	for _, l := range loads {
		i, ok := s.loadPos[l.Target]
		if !ok {
			i = len(s.loads)
			s.loadPos[l.Target] = i
			s.loads = append(s.loads, placement.Load{Target: l.Target})
		}
		s.loads[i].Open = max(s.loads[i].Open+sign*l.Open, 0)
		s.loads[i].Silent = max(s.loads[i].Silent+sign*l.Silent, 0)
		s.loads[i].Unread = max(s.loads[i].Unread+sign*l.Unread, 0)
		s.loads[i].Memory = max(s.loads[i].Memory+sign*l.Memory, 0)
		if sign > 0 {
			s.loads[i].Pace = max(s.loads[i].Pace, l.Pace)
		}
	}
}

func (s *tally) addOutcomes(outcomes []placement.TargetOutcomes, weight float64) {
	for _, o := range outcomes {
		i, ok := s.outPos[o.Target]
		if !ok {
			i = len(s.outcomes)
			s.outPos[o.Target] = i
			s.outcomes = append(s.outcomes, placement.TargetOutcomes{Target: o.Target})
		}
		s.outcomes[i].Add(o, weight)
	}
}

// add adds the parts of a report that still count. Outcomes are weighted by their age.
func (s *tally) add(now time.Time, r *sourceReport) {
	if r.fresh(now) {
		s.addLoads(r.countedLoads(now), 1)
		s.teams.add(r.teams, 1)
	}
	if !r.outcomesAt.IsZero() && now.Sub(r.outcomesAt) < reportTTL {
		s.addOutcomes(r.outcomes, placement.DecayFactor(now.Sub(r.outcomesAt)))
	}
}

// subtract returns loads and outcomes without a part that is counted elsewhere. Its outcomes are
// nil if outcomes is nil.
func subtract(loads, part []placement.Load, outcomes, partOutcomes []placement.TargetOutcomes) ([]placement.Load, []placement.TargetOutcomes) {
	sum := newTally()
	sum.addLoads(loads, 1)
	sum.addLoads(part, -1)
	if outcomes == nil {
		return sum.loads, nil
	}
	sum.outcomes = make([]placement.TargetOutcomes, 0, len(outcomes))
	sum.addOutcomes(outcomes, 1)
	sum.addOutcomes(partOutcomes, -1)
	return sum.loads, sum.outcomes
}

// encodeReport encodes loads and, if includeOutcomes is set, outcomes.
func encodeReport(loads []placement.Load, outcomes []placement.TargetOutcomes, includeOutcomes bool) *peerv1.Report {
	r := &peerv1.Report{TellsOutcomes: includeOutcomes}
	includeSilent := slices.ContainsFunc(loads, func(l placement.Load) bool { return l.Silent > 0 })
	var schedule scheduleColumns
	for _, l := range loads {
		if l.Open > 0 {
			schedule.add(l)
			r.LoadTarget = append(r.LoadTarget, l.Target)
			r.LoadOpen = append(r.LoadOpen, uint32(l.Open))
			if includeSilent {
				r.LoadSilent = append(r.LoadSilent, uint32(l.Silent))
			}
		}
	}
	schedule.writeTo(r)
	if !includeOutcomes {
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

func decodeLoads(r *peerv1.Report) []placement.Load {
	n := min(len(r.GetLoadTarget()), len(r.GetLoadOpen()))
	out := make([]placement.Load, n)
	for i := range n {
		out[i] = placement.Load{Target: r.GetLoadTarget()[i], Open: int(r.GetLoadOpen()[i])}
		if i < len(r.GetLoadSilent()) { // absent if none is silent, and in digests of earlier releases
			out[i].Silent = min(int(r.GetLoadSilent()[i]), out[i].Open)
		}
		decodeSchedule(r, i, &out[i])
	}
	return out
}

// isValidSum reports whether v is non-negative and finite, so that it can be added to other sums.
func isValidSum(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }

// decodeOutcomes returns nil if the report does not include outcomes.
func decodeOutcomes(r *peerv1.Report) []placement.TargetOutcomes {
	if !r.GetTellsOutcomes() {
		return nil
	}
	n := min(len(r.GetOutcomeTarget()), len(r.GetOutcomeEnded()), len(r.GetOutcomeFailed()))
	slow := min(len(r.GetSlowTarget()), len(r.GetSlowTook()), len(r.GetSlowExpected()))
	out := make([]placement.TargetOutcomes, 0, n+slow)
	for i := range n {
		ended, failed := float64(r.GetOutcomeEnded()[i]), float64(r.GetOutcomeFailed()[i])
		if isValidSum(ended) && isValidSum(failed) {
			out = append(out, placement.TargetOutcomes{Target: r.GetOutcomeTarget()[i], Ended: ended, Failed: failed})
		}
	}
	for i := range slow {
		took, expected := float64(r.GetSlowTook()[i]), float64(r.GetSlowExpected()[i])
		if isValidSum(took) && isValidSum(expected) {
			out = append(out, placement.TargetOutcomes{Target: r.GetSlowTarget()[i], FirstEventSeconds: took, ExpectedSeconds: expected})
		}
	}
	return out
}

func decodePrefixReads(d *peerv1.Digest) []placement.PrefixRead {
	n := min(len(d.GetPromptPart()), len(d.GetPromptTarget()))
	out := make([]placement.PrefixRead, n)
	for i := range n {
		out[i] = placement.PrefixRead{Prefix: d.GetPromptPart()[i], Target: d.GetPromptTarget()[i]}
	}
	return out
}

func decodeDepartures(d *peerv1.Digest) []placement.Departure {
	n := min(len(d.GetLeftTarget()), len(d.GetLeftList()), len(d.GetLeftGone()))
	if n == 0 {
		return nil
	}
	out := make([]placement.Departure, n)
	for i := range n {
		out[i] = placement.Departure{Target: d.GetLeftTarget()[i], ListVersion: d.GetLeftList()[i], Removed: d.GetLeftGone()[i]}
		if i < len(d.GetLeftSaid()) { // absent in digests of earlier releases
			out[i].Announced = d.GetLeftSaid()[i]
		}
		if i < len(d.GetLeftEnded()) {
			out[i].Exited = d.GetLeftEnded()[i]
		}
	}
	return out
}
