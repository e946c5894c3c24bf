package fleet

import (
	"slices"
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/shedding"
)

const (
	// teamWorkUnit is the unit of work in digests.
	teamWorkUnit = 100 * time.Millisecond
	// maxTeamWorkUnits is the largest valid figure: more than 10,000 targets can have open.
	maxTeamWorkUnits = 1 << 24
)

// teamTally adds up the work of teams. It keeps teams in the order of arrival, so equal reports give
// equal sums.
type teamTally struct{ list []shedding.TeamWork }

func (s *teamTally) add(work []shedding.TeamWork, sign int) {
	for _, w := range work {
		i := slices.IndexFunc(s.list, func(o shedding.TeamWork) bool { return o.Team == w.Team })
		if i < 0 {
			i = len(s.list)
			s.list = append(s.list, shedding.TeamWork{Team: w.Team})
		}
		s.list[i].Work = max(s.list[i].Work+time.Duration(sign)*w.Work, 0)
	}
}

// subtractTeams returns work without a part that is counted elsewhere.
func subtractTeams(work, part []shedding.TeamWork) []shedding.TeamWork {
	var sum teamTally
	sum.add(work, 1)
	for _, w := range part {
		// The part of a team that is not among the largest of the sum is not in the sum.
		if slices.ContainsFunc(sum.list, func(o shedding.TeamWork) bool { return o.Team == w.Team }) {
			sum.add([]shedding.TeamWork{w}, -1)
		}
	}
	return sum.list
}

// encodeTeams adds the teams with the most work to a report. Work is rounded.
func encodeTeams(r *peerv1.Report, work []shedding.TeamWork) {
	for _, w := range shedding.Largest(slices.Clone(work)) {
		if units := (w.Work + teamWorkUnit/2) / teamWorkUnit; units > 0 {
			r.Team = append(r.Team, w.Team)
			r.TeamWork = append(r.TeamWork, uint32(min(units, maxTeamWorkUnits)))
		}
	}
}

// decodeTeams drops invalid entries, and those beyond the number that a report may have.
func decodeTeams(r *peerv1.Report) []shedding.TeamWork {
	n := min(len(r.GetTeam()), len(r.GetTeamWork()), shedding.MaxReportedTeams)
	var out []shedding.TeamWork
	for i := range n {
		if units := r.GetTeamWork()[i]; units > 0 && units <= maxTeamWorkUnits {
			out = append(out, shedding.TeamWork{Team: r.GetTeam()[i], Work: time.Duration(units) * teamWorkUnit})
		}
	}
	return out
}
