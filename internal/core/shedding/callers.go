package shedding

import (
	"math"
	"time"
)

const (
	// returningPart is the part of the usual time budget of a route below which a request counts as
	// one of a caller that returns after a refusal. If the route has an objective, returningObjective of
	// it less than usual is enough: callers may be told to return after a quarter of the objective, and
	// with an objective of 1 s and a budget of 8 s none of them would be recognized otherwise.
	returningPart      = 0.9
	returningObjective = 0.2
	// budgetHalfLife is the half-life of a route's usual time budget. A caller counts as returning by
	// mistake if no request with the full budget came for 9 s.
	budgetHalfLife = 60 * time.Second
	// maxRoutes bounds the routes whose usual time budget is known.
	maxRoutes = 256
)

// budget is the usual time budget of a route.
type budget struct {
	usual time.Duration
	at    time.Time
}

// recordBudget learns the usual time budget of the request's route, and reports whether the request has
// so much less that its caller was probably refused before.
func (c *Cut) recordBudget(now time.Time, r Request) (returning bool) {
	if r.Retry {
		return false
	}
	b, ok := c.budgets[r.Route]
	if !ok {
		if len(c.budgets) >= maxRoutes {
			clear(c.budgets)
		}
		b = &budget{}
		c.budgets[r.Route] = b
	}
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.usual = time.Duration(float64(b.usual) * math.Exp2(-elapsed.Seconds()/budgetHalfLife.Seconds()))
	}
	whole := r.Remaining + r.Elapsed
	b.usual, b.at = max(b.usual, whole), now
	missing := (1 - returningPart) * float64(b.usual)
	if r.Objective > 0 {
		missing = min(missing, returningObjective*float64(r.Objective))
	}
	return float64(whole) < float64(b.usual)-missing
}

// countPriority counts a request for commonPriority.
func (c *Cut) countPriority(now time.Time, priority int) {
	if elapsed := now.Sub(c.countedAt); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / rankWindow.Seconds())
		for i := range c.priorities {
			c.priorities[i] *= factor
		}
		c.countedAt = now
	}
	c.priorities[priority]++
}

// commonPriority returns the most common priority of the recent requests.
func (c *Cut) commonPriority() int {
	best := 0
	for i, n := range c.priorities {
		if n > c.priorities[best] {
			best = i
		}
	}
	return best
}
