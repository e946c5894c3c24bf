package placement

import (
	"slices"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/ablate"
	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
)

// loadBound returns the highest number of open requests that a placement may bring a target of the
// pool to, see Settings. The mean covers all targets, also leaving ones: those still hold requests
// although they get no new ones. It leaves out silent requests, which count only as load of their
// own target: whether targets still hold them or not, the bound is not too high.
func (b *Balancer) loadBound(p *pool) float64 {
	if len(p.targets) == 0 {
		return 0
	}
	return max(b.settings.LoadMultiple*p.meanHeld()+b.settings.LoadSlack-b.settings.LoadMargin, 1)
}

// suspensionPanicThreshold is the share of suspended ones among the eligible targets, see
// skipFilter, above which suspensions are ignored, except for targets that accept no connections.
// If most of a pool fails, the targets themselves are often not the cause, and avoiding them would
// overload the remaining targets and lose the caches of the suspended ones. Exactly half of a pool
// does not exceed the threshold: if one of two targets is suspended, the other one is known to
// answer.
const suspensionPanicThreshold = 0.5

// ejectionPanicThreshold is the share of suspended and ejected targets above which ejections are
// ignored. It is higher than suspensionPanicThreshold because ejected targets are known to fail
// more often than the others, so more of them may go without work.
const ejectionPanicThreshold = 0.75

// skipFilter decides which targets get no new requests now.
type skipFilter struct {
	now              time.Time
	applySuspensions bool
	applyEjections   bool
	loadsOutdated    bool // as in Request
}

func newSkipFilter(now time.Time, p *pool) skipFilter {
	// The eligible targets are not closed and accept connections, as far as this router knows.
	eligible, suspended, ejected := 0, 0, 0
	for _, t := range p.targets {
		if t.isClosed(now) || (t.health.unreachable && t.health.isSuspended(now)) {
			continue
		}
		eligible++
		switch {
		case t.health.isSuspended(now):
			suspended++
		case t.isEjected(now):
			ejected++
		}
	}
	ignoreThresholds := ablate.IsOff(ablate.PanicThreshold)
	applySuspensions := ignoreThresholds || float64(suspended) <= suspensionPanicThreshold*float64(eligible)
	applyEjections := ignoreThresholds || float64(suspended+ejected) <= ejectionPanicThreshold*float64(eligible)
	return skipFilter{now: now, applySuspensions: applySuspensions, applyEjections: applyEjections}
}

// skips reports whether a target must get no new requests.
func (f skipFilter) skips(t *target) bool {
	if t.pause.isOn(f.now) || t.isCold(f.now) || t.isFull(f.loadsOutdated) {
		return true
	}
	return f.skipsByHealth(t)
}

// skipsByHealth reports whether a target must get no new requests because it is suspended or ejected.
func (f skipFilter) skipsByHealth(t *target) bool {
	if t.health.isSuspended(f.now) {
		return t.health.unreachable || f.applySuspensions
	}
	return f.applyEjections && t.isEjected(f.now)
}

// choose returns the target for a request and the rule that chose it; nil if there is none. It
// prefers a cold target to a warm one without a free slot. A target that skipFilter skips as
// suspended or ejected is chosen only if there is no other.
func (b *Balancer) choose(now time.Time, p *pool, r Request, bound float64) (*target, Rule) {
	t, rule := b.chooseWarm(now, p, r, bound)
	if t == nil || !t.hasFreeSlot() {
		if c := b.chooseCold(now, p, r, bound); c != nil {
			return c, RuleCold
		}
	}
	if t != nil {
		return t, rule
	}
	return b.chooseLeastLoaded(now, p, r, bound, func(t *target) bool { return t.isFull(r.LoadsOutdated) }), RuleSuspendedOrEjected
}

// chooseWarm chooses among the targets that are not closed and that skipFilter does not skip. An
// ejected one is chosen before another would exceed the load bound: it fails a part of its
// requests, whereas operators guarantee the bound to the others.
func (b *Balancer) chooseWarm(now time.Time, p *pool, r Request, bound float64) (*target, Rule) {
	filter := newSkipFilter(now, p)
	filter.loadsOutdated = r.LoadsOutdated
	t, rule := b.chooseUnskipped(now, p, r, bound, filter.skips)
	if t == nil || rule == RuleRandom || !filter.applyEjections || t.hasRoom(bound) {
		return t, rule
	}
	skipWithoutRoom := func(t *target) bool { return !t.hasRoom(bound) || filter.skips(t) }
	if other := b.chooseLeastLoaded(now, p, r, bound, skipWithoutRoom); other != nil {
		return other, rule
	}
	filter.applyEjections = false
	if ejected, _ := b.chooseUnskipped(now, p, r, bound, skipWithoutRoom); ejected != nil {
		return ejected, RuleSuspendedOrEjected
	}
	return t, rule
}

// chooseUnskipped chooses among the targets that are not closed and not skipped.
func (b *Balancer) chooseUnskipped(now time.Time, p *pool, r Request, bound float64, skip func(*target) bool) (*target, Rule) {
	if r.ChatHash != 0 {
		if t, rule := b.chooseByChat(now, p, r, bound, skip); t != nil {
			return t, rule
		}
	}
	if r.LoadsOutdated && !ablate.IsOff(ablate.ShortWork) {
		return b.chooseRandom(now, p, r, bound, skip), RuleRandom
	}
	return b.chooseLeastLoaded(now, p, r, bound, skip), RuleLeastLoaded
}

// chooseByChat returns the first target in the chat's rendezvous order that is below the load bound
// and not slow. If the chat's home can't take the request, a target that holds the whole prompt
// comes before the others. All routers compute the same order, so a chat that moves to its second
// target gets the same one at every router.
func (b *Balancer) chooseByChat(now time.Time, p *pool, r Request, bound float64, skip func(*target) bool) (*target, Rule) {
	var c candidates
	p.collectCandidates(&c, r, bound, skip)
	if c.n == 0 {
		return nil, ""
	}
	if !c.startsWithHome {
		b.moveHolderFirst(now, r, c.targets[:c.n])
	}
	return b.firstOrFaster(now, r, &c)
}

// candidates are the targets that a chat may go to, in order of preference.
type candidates struct {
	// targets is an array, since a slice would be allocated for each placement.
	targets [rendezvous.MaxTopNodes]*target
	n       int
	// startsWithHome is true if the first candidate is also the first target in the chat's order.
	startsWithHome bool
	// preferred is how many candidates, counted from the first, are the chat's home or hold at most
	// the load given by spillLoadFactor. It is at least 1.
	preferred int
}

// collectCandidates collects the targets that stay within the load bound with one more request, in the
// chat's order. Targets above the load given by spillLoadFactor come last, except the home.
func (p *pool) collectCandidates(c *candidates, r Request, bound float64, skip func(*target) bool) {
	var top rendezvous.Top
	limit := min(bound, p.maxOpen)
	order := p.chatOrder(r.ChatHash, skip)
	for i, t := range p.targets {
		if t.isActive() && !r.excludes(t, bound) {
			top.Insert(int32(i), order.weight(t), rendezvous.MaxTopNodes)
		}
	}
	var crowded [rendezvous.MaxTopNodes]*target
	m := 0
	preferredLoad := spillLoadFactor*p.meanOpen() + 1
	for i := range top.Len {
		t := p.targets[top.Index[i]]
		switch {
		case skip(t) || float64(t.totalOpen()+1) > limit:
		case i > 0 && float64(t.totalOpen()) > preferredLoad:
			crowded[m] = t
			m++
		default:
			c.startsWithHome = c.startsWithHome || i == 0
			c.targets[c.n] = t
			c.n++
		}
	}
	c.preferred = max(c.n, 1)
	c.n += copy(c.targets[c.n:], crowded[:m])
}

// spillLoadFactor is the load, as a multiple of the pool's mean, up to which a target is preferred
// for chats that spill or move. Without it, the few remaining targets of a data centre that lost
// most of its targets would get all of its chats, up to the load bound.
const spillLoadFactor = 1.25

// meanHeld returns the mean number of requests that the pool's targets hold for certain, leaving
// ones included.
func (p *pool) meanHeld() float64 {
	held := 0
	for _, t := range p.targets {
		held += t.heldOpen()
	}
	return float64(held) / float64(max(len(p.targets), 1))
}

// meanOpen returns the mean number of open requests of the pool's targets, leaving ones included.
func (p *pool) meanOpen() float64 {
	open := 0
	for _, t := range p.targets {
		open += t.totalOpen()
	}
	return float64(open) / float64(max(len(p.targets), 1))
}

// moveHolderFirst moves the first target that holds the chat's whole prompt to the front, so a chat
// that spills goes to the target that it spilled to before.
func (b *Balancer) moveHolderFirst(now time.Time, r Request, targets []*target) {
	if len(r.PromptPrefixes) == 0 || ablate.IsOff(ablate.CacheHolders) {
		return
	}
	hash := r.PromptPrefixes[len(r.PromptPrefixes)-1].Hash
	for i, t := range targets {
		if b.inventory.isHeldBy(now, hash, t.UID) {
			copy(targets[1:i+1], targets[:i])
			targets[0] = t
			return
		}
	}
}

// firstOrFaster returns the first candidate. If that one is slow or would answer late, it returns
// the first preferred candidate that is much faster, if there is one.
func (b *Balancer) firstOrFaster(now time.Time, r Request, c *candidates) (*target, Rule) {
	first, rule := c.targets[0], RuleSpill
	if c.startsWithHome {
		rule = RuleHome
	}
	if ablate.IsOff(ablate.TargetSpeed) {
		return first, rule
	}
	expected := b.expectedFirstEvent(now, r, first)
	if (r.Objective == 0 || float64(expected) <= objectiveShare*float64(r.Objective)) && b.slowdown(now, first) < slowdownThreshold {
		return first, rule
	}
	for _, t := range c.targets[1:c.preferred] {
		if float64(b.expectedFirstEvent(now, r, t)) < fasterFactor*float64(expected) {
			return t, RuleFaster
		}
	}
	return first, rule
}

const (
	// objectiveShare is the share of a route's objective that the first event may be expected to
	// take before a chat goes to a later target. Moving a chat loses its cache, which does not pay
	// while the first event comes sooner than that.
	objectiveShare = 0.5
	// slowdownThreshold is the slowdown from which a target is avoided even if the first event
	// would come in time. The later events are delayed as much, and more while the target reads
	// other prompts.
	slowdownThreshold = 3
	// fasterFactor is the share of the first target's expected time that a later target may take to
	// be chosen instead. With a clear difference required, nearly all routers choose the same one:
	// the first in the chat's order that is not slow.
	fasterFactor = 0.5
)

// chooseLeastLoaded returns the target with the lowest cost, see Balancer.cost; nil if there is
// none.
func (b *Balancer) chooseLeastLoaded(now time.Time, p *pool, r Request, bound float64, skip func(*target) bool) *target {
	var best *target
	bestCost := 0.0
	for _, t := range p.targets {
		if t.isClosed(now) || t.isCold(now) || r.excludes(t, bound) || skip(t) || float64(t.totalOpen()+1) > p.maxOpen {
			continue
		}
		cost := b.cost(now, t)
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

// chooseRandom draws a target, weighted by its slots, its slowdown and this router's own open
// requests, and with a preference for this data centre. It is used when load reports are outdated:
// all routers would choose the target that was the least loaded one in the last reports, so their
// requests would arrive there together while the other targets are idle.
func (b *Balancer) chooseRandom(now time.Time, p *pool, r Request, bound float64, skip func(*target) bool) *target {
	var best *target
	earliest := 0.0
	for _, t := range p.targets {
		if t.isClosed(now) || t.isCold(now) || r.excludes(t, bound) || skip(t) || float64(t.ownOpen+1) > p.maxOpen {
			continue
		}
		// The probability that an exponentially distributed time is the shortest is proportional to
		// its rate.
		rate := float64(max(t.Slots, 1)) / b.slowdown(now, t) / float64(1+t.ownOpen)
		if t.DataCentre == b.settings.DataCentre {
			rate *= localWeight
		}
		if at := b.rand.ExpFloat64() / rate; best == nil || at < earliest {
			best, earliest = t, at
		}
	}
	return best
}

// localWeight is how many times as likely a target in this router's data centre is drawn. It
// answers sooner, and traffic between data centres is paid for. A higher weight would overload the
// targets of the data centre with the most callers.
const localWeight = 2

// remoteCost is the cost of a target in another data centre, in open requests. A local target with
// two more requests answers as soon as an idle one across the link, and traffic between data
// centres is paid for.
const remoteCost = 1.5

// cost returns the load of a target for comparison with others: its open requests times its
// slowdown, plus remoteCost in another data centre. A random fraction of a request breaks ties.
func (b *Balancer) cost(now time.Time, t *target) float64 {
	cost := (float64(t.totalOpen()) + b.rand.Float64()) * b.slowdown(now, t)
	if t.DataCentre != b.settings.DataCentre && !ablate.IsOff(ablate.RemoteCost) {
		cost += remoteCost
	}
	return cost
}

func (r *Request) excludes(t *target, bound float64) bool {
	return !t.runs(r.Software) || (r.limited && !t.hasRoom(bound)) || slices.Contains(r.Excluded, t.UID)
}
