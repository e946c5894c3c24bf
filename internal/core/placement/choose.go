package placement

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/ablate"
	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
)

// bound is the highest count that a placement may bring a target to. The mean is
// over all targets, leaving ones as well: those still hold requests and receive none.
func (b *Balancer) bound(p *pool) float64 {
	if len(p.targets) == 0 {
		return 0
	}
	return max(b.settings.LoadMultiple*p.mean()+b.settings.LoadSlack-b.settings.LoadMargin, 1)
}

// panicShare is the share of suspended targets above which suspensions are passed
// over, but for targets that accept no connection. If most of a pool fails, the few
// left would be overrun and the caches of the others lost, and often the cause is none
// of theirs. One of two is not most: the other one is known to answer.
const panicShare = 0.5

// ejectShare is the same for ejected targets. They are known to be worse than the others, so
// more of them may go without work while the others take the load.
const ejectShare = 0.75

// passedOver returns which targets get no new work for now.
func passedOver(now time.Time, p *pool) func(*target) bool {
	staying, suspended, ejected := 0, 0, 0
	for _, t := range p.targets {
		if t.closed(now) || (t.health.unreachable && t.health.suspended(now)) {
			continue
		}
		staying++
		switch {
		case t.health.suspended(now):
			suspended++
		case t.ejected(now):
			ejected++
		}
	}
	always := ablate.Off(ablate.PanicShares)
	suspend := always || float64(suspended) <= panicShare*float64(staying)
	eject := always || float64(suspended+ejected) <= ejectShare*float64(staying)
	return func(t *target) bool {
		if t.pause.holds(now) || t.isCold(now) {
			return true
		}
		if t.health.suspended(now) {
			return t.health.unreachable || suspend
		}
		return eject && t.ejected(now)
	}
}

// choose returns the target for an ask and the rule that chose it, nil if there is none.
func (b *Balancer) choose(now time.Time, p *pool, a Request, bound float64) (*target, Rule) {
	t, rule := b.chooseWarm(now, p, a, bound)
	if t == nil || !t.hasRoom() {
		if c := b.coldWithRoom(now, p, a); c != nil {
			return c, RuleCold
		}
	}
	if t != nil {
		return t, rule
	}
	return b.leastLoaded(now, p, a, func(*target) bool { return false }), RuleSuspect
}

// chooseWarm chooses among the targets that nothing speaks against.
func (b *Balancer) chooseWarm(now time.Time, p *pool, a Request, bound float64) (*target, Rule) {
	skip := passedOver(now, p)
	if a.Chat != 0 {
		if t, rule := b.byChat(now, p, a, bound, skip); t != nil {
			return t, rule
		}
	}
	if a.LoadsOutdated && !ablate.Off(ablate.Short) {
		return b.atRandom(now, p, a, skip), RuleRandom
	}
	return b.leastLoaded(now, p, a, skip), RuleLeastLoaded
}

// byChat returns the first target in the chat's rendezvous order that is below the bound and not
// slow. Every router computes the same order, so a chat that spills finds its second target
// whichever router it comes to.
func (b *Balancer) byChat(now time.Time, p *pool, a Request, bound float64, skip func(*target) bool) (*target, Rule) {
	var c candidates
	p.candidates(&c, a, min(bound, p.maxOpen), skip)
	if c.n == 0 {
		return nil, ""
	}
	if !c.home {
		b.holdersFirst(now, a, c.targets[:c.n])
	}
	return b.inTime(now, a, &c)
}

// candidates are targets that a chat may go to, the first one first.
type candidates struct {
	targets [rendezvous.MaxTop]*target // not a slice: every placement would allocate one
	n       int
	// home says that the first is the first in the chat's order.
	home bool
	// roomy is how many, from the first on, are the home or hold no more than spillLevel.
	roomy int
}

// candidates finds the targets that hold less than a limit, in the chat's order but those with room before the
// others.
func (p *pool) candidates(c *candidates, a Request, limit float64, skip func(*target) bool) {
	var top rendezvous.Top
	order := p.order(a.Chat, skip)
	for i, t := range p.targets {
		if t.stays() && !a.excludes(t.UID) {
			top.Offer(int32(i), order.weight(t), rendezvous.MaxTop)
		}
	}
	var crowded [rendezvous.MaxTop]*target
	m := 0
	level := spillLevel*p.mean() + 1
	for i := range top.Len {
		t := p.targets[top.Index[i]]
		switch {
		case skip(t) || float64(t.open()+1) > limit:
		case i > 0 && float64(t.open()) > level:
			crowded[m] = t
			m++
		default:
			c.home = c.home || i == 0
			c.targets[c.n] = t
			c.n++
		}
	}
	c.roomy = max(c.n, 1)
	c.n += copy(c.targets[c.n:], crowded[:m])
}

// spillLevel is how many times the pool's mean a target may hold that a chat spills or moves to. Where a data
// centre loses most of its targets, the few left would get all of its chats, up to the bound.
const spillLevel = 1.25

// mean returns what the pool's targets hold in the mean, leaving ones as well: those still hold requests
// and receive none.
func (p *pool) mean() float64 {
	open := 0
	for _, t := range p.targets {
		open += t.open()
	}
	return float64(open) / float64(max(len(p.targets), 1))
}

// holdersFirst puts the first target that holds the chat's prompt before the others: what spills goes
// where it has spilled to before.
func (b *Balancer) holdersFirst(now time.Time, a Request, targets []*target) {
	if len(a.PromptPrefixes) == 0 || ablate.Off(ablate.Holders) {
		return
	}
	whole := a.PromptPrefixes[len(a.PromptPrefixes)-1].Hash
	for i, t := range targets {
		if b.held.keeps(now, whole, t.UID) {
			copy(targets[1:i+1], targets[:i])
			targets[0] = t
			return
		}
	}
}

// inTime returns the first candidate, or if that is slow or would answer late the first one with room that
// is much faster.
func (b *Balancer) inTime(now time.Time, a Request, c *candidates) (*target, Rule) {
	first, rule := c.targets[0], RuleSpill
	if c.home {
		rule = RuleHome
	}
	if ablate.Off(ablate.Pace) {
		return first, rule
	}
	late := b.expected(now, a, first)
	if (a.Objective == 0 || float64(late) <= lateShare*float64(a.Objective)) && b.pace(now, first) < slowFactor {
		return first, rule
	}
	for _, t := range c.targets[1:c.roomy] {
		if float64(b.expected(now, a, t)) < muchFaster*float64(late) {
			return t, RuleFaster
		}
	}
	return first, rule
}

const (
	// lateShare is the part of a route's objective that the first event may be expected to take before a chat
	// goes to a later target. Moving a chat costs its cache; below that nobody gains by it.
	lateShare = 0.5
	// slowFactor is the pace from which a target is avoided also if the first event would come in time: the
	// events after it come as slowly, and more so while it reads others' prompts.
	slowFactor = 3
	// muchFaster is what the later target has to promise against it. All routers then find the
	// same one, mostly: the first in the chat's order that is not slow.
	muchFaster = 0.5
)

// leastLoaded returns the target with the fewest open requests, of equal ones one
// in this data centre.
func (b *Balancer) leastLoaded(now time.Time, p *pool, a Request, skip func(*target) bool) *target {
	var best *target
	bestCost := 0.0
	for _, t := range p.targets {
		if t.closed(now) || t.isCold(now) || a.excludes(t.UID) || skip(t) || float64(t.open()+1) > p.maxOpen {
			continue
		}
		cost := b.cost(now, t)
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

// atRandom returns a target drawn by its places, its pace and what this router has open there, which it knows at once, those in this
// data centre more often. All routers see the same target as the least loaded one: by the time that they have heard so, its requests
// are answered, and all that they send there next come at once, while the others are idle.
func (b *Balancer) atRandom(now time.Time, p *pool, a Request, skip func(*target) bool) *target {
	var best *target
	first := 0.0
	for _, t := range p.targets {
		if t.closed(now) || t.isCold(now) || a.excludes(t.UID) || skip(t) || float64(t.own+1) > p.maxOpen {
			continue
		}
		// Of times drawn by exponential distributions one is the first as often as its rate is of all rates.
		rate := float64(max(t.Slots, 1)) / b.pace(now, t) / float64(1+t.own)
		if t.DataCentre == b.settings.DataCentre {
			rate *= localPreference
		}
		if at := b.rand.ExpFloat64() / rate; best == nil || at < first {
			best, first = t, at
		}
	}
	return best
}

// localPreference is how many times as often a target in the own data centre is drawn: it answers sooner, and bytes between data centres
// are paid for. More would overrun the targets of the data centre with the most callers.
const localPreference = 2

// remoteCost is what another data centre adds to a target's count: two requests
// more in the own one are answered as soon as none across the link, and bytes
// between data centres are paid for.
const remoteCost = 1.5

func (b *Balancer) cost(now time.Time, t *target) float64 {
	cost := (float64(t.open()) + b.rand.Float64()) * b.pace(now, t)
	if t.DataCentre != b.settings.DataCentre && !ablate.Off(ablate.RemoteCost) {
		cost += remoteCost
	}
	return cost
}

func (a *Request) excludes(uid uint64) bool {
	for _, e := range a.Excluded {
		if e == uid {
			return true
		}
	}
	return false
}
