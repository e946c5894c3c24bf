package shedding

import (
	"cmp"
	"slices"
)

// maxPriority is the last priority that is distinguished. It bounds the number of ranks.
const maxPriority = 9

// Urgency orders requests. The zero value is the most urgent.
type Urgency struct {
	Priority      int // the team's priority, or the route's if the team has none
	RoutePriority int // decides between requests of equal Priority
}

// Compare returns a negative number if u is more urgent than o, and 0 if both are equal.
func (u Urgency) Compare(o Urgency) int {
	if c := cmp.Compare(u.Priority, o.Priority); c != 0 {
		return c
	}
	return cmp.Compare(u.RoutePriority, o.RoutePriority)
}

// limited returns the urgency with priorities from 0 to maxPriority.
func (u Urgency) limited() Urgency {
	return Urgency{min(max(u.Priority, 0), maxPriority), min(max(u.RoutePriority, 0), maxPriority)}
}

// Ranking is the order of all urgencies that the desired state allows in a pool. All routers with the
// same desired state have the same Ranking. It is immutable; the zero value has no urgencies.
type Ranking struct{ urgencies []Urgency }

// NewRanking returns the ranking of a pool's urgencies. They may be unsorted and repeated.
func NewRanking(urgencies []Urgency) *Ranking {
	sorted := make([]Urgency, len(urgencies))
	for i, u := range urgencies {
		sorted[i] = u.limited()
	}
	slices.SortFunc(sorted, Urgency.Compare)
	return &Ranking{slices.Compact(sorted)}
}

// Rank returns the position of an urgency; 0 is the first. An urgency that the ranking lacks, as
// between two desired states, has the position of the next one that is as urgent or less.
func (r *Ranking) Rank(u Urgency) int {
	i, _ := slices.BinarySearchFunc(r.urgencies, u.limited(), Urgency.Compare)
	return min(i, max(len(r.urgencies)-1, 0))
}

// TargetPriority returns the priority to send to targets with an admitted request, 0 to 9. A promoted
// request has that of the most urgent route. If the pool has more than ten urgencies, adjacent ones share
// a priority.
func (r *Ranking) TargetPriority(d *Decision) int {
	u := d.Urgency
	if d.Promoted {
		u.RoutePriority = 0
	}
	rank, n := r.Rank(u), len(r.urgencies)
	if n <= maxPriority+1 {
		return rank
	}
	return rank * (maxPriority + 1) / n
}
