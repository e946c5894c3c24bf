package shedding

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
)

const (
	// maxTeams bounds the teams that are told apart in a pool. Any others are never over their share.
	maxTeams = 64
	// MaxReportedTeams is how many teams a report contains.
	MaxReportedTeams = 8
	// usualSpan is the time constant of a team's usual work. It also bounds how long a team without
	// requests counts as active: a router sees few requests of a small team.
	usualSpan = 20 * time.Second
	// minUsualSpan is how long a team must have been observed before its usual work counts.
	minUsualSpan = 2 * time.Second
	// meanMultiple and usualMultiple limit a team's work: the larger of meanMultiple times the mean of
	// the active teams and usualMultiple times its own usual work. The latter grows with the mean of
	// the teams: a rise of the whole load is no surge of the largest teams.
	meanMultiple  = 2.0
	usualMultiple = 1.5
	// offerSpan is the time constant of what teams ask for and of the excess that is refused.
	offerSpan = 2 * time.Second
	// maxTeamWork bounds reported work, in seconds of one slot, so that sums stay finite.
	maxTeamWork = 1e7
)

// TeamWork is the work of the open requests of one team.
type TeamWork struct {
	Team uint64 // see TeamHash
	Work time.Duration
}

// TeamHash identifies a team in a pool.
func TeamHash(pool, team string) uint64 {
	return rendezvous.Mix(rendezvous.Hash(pool), rendezvous.Hash(team))
}

// Largest sorts work in descending order and returns the first MaxReportedTeams entries.
func Largest(work []TeamWork) []TeamWork {
	slices.SortFunc(work, func(a, b TeamWork) int {
		return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.Team, b.Team))
	})
	return work[:min(len(work), MaxReportedTeams)]
}

type team struct {
	hash          uint64
	open          int
	work          float64 // of the open requests of this router, in seconds of one slot
	lastRequestAt time.Time
	// usual is the sum of samples of the fleet's work, and observed their weight; see usualWork.
	usual, observed float64
	// offered and excessRefused count this router's recent requests and decay with offerSpan.
	offered, excessRefused float64
	countedAt              time.Time
	excessDebt             float64 // fraction of a request still to be marked as excess
}

// usualWork returns the team's usual work in the fleet; 0 if it is unknown.
func (t *team) usualWork() float64 {
	if t.observed < 1-math.Exp(-minUsualSpan.Seconds()/usualSpan.Seconds()) {
		return 0
	}
	return t.usual / t.observed
}

// sample adds the team's work during a time to its usual work.
func (t *team) sample(elapsed time.Duration, work float64) {
	weight := 1 - math.Exp(-elapsed.Seconds()/usualSpan.Seconds())
	t.usual += weight * (work - t.usual)
	t.observed += weight * (1 - t.observed)
}

func (t *team) decayCounts(now time.Time) {
	if elapsed := now.Sub(t.countedAt); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / offerSpan.Seconds())
		t.offered, t.excessRefused, t.countedAt = t.offered*factor, t.excessRefused*factor, now
	}
}

// demandFactor returns what the team asks for as a multiple of what it would have open if excess were
// not refused. Without it, the refusals of a team's excess would bring its work down to the limit and
// end the excess, and the team would get up to the geometric mean of its limit and its demand.
func (t *team) demandFactor() float64 {
	if t.offered == 0 {
		return 1
	}
	return 1 / max(1-t.excessRefused/t.offered, 0.1)
}

// teams are the teams of a pool.
type teams struct {
	pool   string
	byName map[string]*team
	mean   float64 // see updateMean
	meanAt time.Time
	// smallestReported is the least work that a team in the reports has; infinite if they name fewer
	// teams than they may.
	smallestReported float64
	// all holds the usual mean of the teams.
	all team
}

// meanInterval is how long the mean of the teams is used; computing it visits all teams. Reports
// arrive every 100 ms.
const meanInterval = 20 * time.Millisecond

// team returns the state of a team; nil if there are too many active ones.
func (s *teams) team(now time.Time, name string) *team {
	t, ok := s.byName[name]
	if ok {
		return t
	}
	if len(s.byName) >= maxTeams && !s.dropInactive(now) {
		return nil
	}
	t = &team{hash: TeamHash(s.pool, name), countedAt: now}
	s.byName[name] = t
	return t
}

// dropInactive drops the team that has been inactive for longest, and reports whether there was one.
func (s *teams) dropInactive(now time.Time) bool {
	oldest, found := "", false
	for name, t := range s.byName {
		if !t.isActive(now) && (!found || t.lastRequestAt.Before(s.byName[oldest].lastRequestAt)) {
			oldest, found = name, true
		}
	}
	if found {
		delete(s.byName, oldest)
	}
	return found
}

func (t *team) isActive(now time.Time) bool {
	return t.open > 0 || now.Sub(t.lastRequestAt) <= usualSpan
}

// fleetWork returns a team's work in the fleet, in seconds of one slot. For a team that no report
// names, this router stands for all others, but the team has no more work than those that are named:
// one request at one of 72 routers would count as 72.
func (s *teams) fleetWork(t *team, l *Load) float64 {
	if reported, ok := l.TeamWork[t.hash]; ok {
		return min(max(reported.Seconds(), 0), maxTeamWork) + t.work
	}
	return min(t.work*float64(max(l.Routers, 1)), s.smallestReported+t.work)
}

// updateMean computes the mean work of the active teams. Without a shortage it also adds to the usual
// work of each: samples at the requests of a small team only would be few.
func (s *teams) updateMean(now time.Time, l *Load, shortage bool) {
	elapsed := now.Sub(s.meanAt)
	switch {
	case s.meanAt.IsZero(), elapsed < 0:
		elapsed = 0
	case elapsed < meanInterval:
		return
	}
	s.smallestReported = math.Inf(1)
	if len(l.TeamWork) >= MaxReportedTeams {
		for _, work := range l.TeamWork {
			s.smallestReported = min(s.smallestReported, max(work.Seconds(), 0))
		}
	}
	sum, active := 0.0, 0
	for _, t := range s.byName {
		if t.isActive(now) {
			work := s.fleetWork(t, l)
			sum += work
			active++
			if !shortage {
				t.sample(elapsed, work)
			}
		}
	}
	s.mean, s.meanAt = sum/float64(max(active, 1)), now
	if !shortage {
		s.all.sample(elapsed, s.mean)
	}
}

// growth returns the mean of the teams as a multiple of its usual value, at least 1.
func (s *teams) growth() float64 {
	if usual := s.all.usualWork(); usual > 0 {
		return max(s.mean/usual, 1)
	}
	return 1
}

// isExcess counts a request of a team and reports whether it belongs to the part of the team's work
// that is over its share. The usual work of the team is updated only while there is no shortage.
func (s *teams) isExcess(now time.Time, t *team, l *Load, shortage bool) bool {
	s.updateMean(now, l, shortage)
	t.decayCounts(now)
	t.offered++
	if !shortage {
		t.excessDebt = 0
		return false
	}
	work := s.fleetWork(t, l)
	limit := max(meanMultiple*s.mean, usualMultiple*t.usualWork()*s.growth())
	demand := work * t.demandFactor()
	if demand <= limit {
		return false
	}
	if t.excessDebt += 1 - limit/demand; t.excessDebt >= 1 {
		t.excessDebt--
		return true
	}
	return false
}
