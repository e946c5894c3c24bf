package router

import (
	"slices"
	"sort"
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/ledger"
	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
	"github.com/hemlockdyke/hemlockdyke/internal/core/retry"
	"github.com/hemlockdyke/hemlockdyke/internal/core/routing"
	"github.com/hemlockdyke/hemlockdyke/internal/core/ticket"
)

// failedOwnerTimeout is how long a router that left exchanges unanswered is not used as an
// owner.
const failedOwnerTimeout = 5 * time.Second

// defaultRetryAfter is the Retry-After of refusals that are not caused by a queue.
const defaultRetryAfter = time.Second

func (c *Core) handleRequestArrived(now time.Time, ev RequestArrived) {
	if refusal, refused := c.checkRequest(ev); refused {
		c.emit(RefuseRequest{ID: ev.ID, Code: refusal, RetryAfter: c.jitter(defaultRetryAfter)})
		return
	}
	team, _ := c.table.Team(ev.Team)
	c.requests[ev.ID] = &request{event: ev, pool: ev.Pool}
	c.clientFor(ev.Pool).Ask(&peerv1.Ask{
		Id: ev.ID, Chat: ev.Chat, Team: team.UID, Priority: uint32(ev.Priority), Excluded: ev.Excluded,
	}, ev.Deadline)
}

// checkRequest reports whether a request is refused, and with which code. Retries are checked
// against their retry budgets. New requests are also checked against this router's readiness. A
// router that is shutting down still serves requests, since the balancer keeps sending them for
// a while.
func (c *Core) checkRequest(ev RequestArrived) (code.Code, bool) {
	if !ev.Retry && c.readinessSent && !c.readiness.Ready && c.readiness.Reason != code.ShuttingDown {
		return c.readiness.Reason, true
	}
	if _, ok := c.table.Pool(ev.Pool); !ok {
		return code.UnknownPool, true
	}
	if _, ok := c.table.Team(ev.Team); !ok {
		return code.UnknownTeam, true
	}
	pool, team := c.retryBudget("pool/"+ev.Pool), c.retryBudget("team/"+ev.Team)
	if !ev.Retry {
		pool.Deposit()
		team.Deposit()
		return code.OK, false
	}
	if !pool.HasTokens() || !team.HasTokens() {
		return code.RetryBudget, true
	}
	pool.Withdraw()
	team.Withdraw()
	return code.OK, false
}

func (c *Core) retryBudget(key string) *retry.Budget {
	b, ok := c.retryBudgets[key]
	if !ok {
		b = retry.NewBudget()
		c.retryBudgets[key] = b
	}
	return b
}

func (c *Core) handleRequestEnded(ev RequestEnded) {
	r, ok := c.requests[ev.ID]
	if !ok {
		return
	}
	delete(c.requests, ev.ID)
	c.clientFor(r.pool).ReleaseTicket(ev.ID, ev.Outcome)
}

// refuseExpired refuses requests that still wait at their deadline. The owner refuses them too, but
// the request or the refusal may be delayed in transit, or no owner may reply.
func (c *Core) refuseExpired(now time.Time) {
	var expired []uint64
	for id, r := range c.requests {
		if r.grantedTarget == 0 && !r.event.Deadline.After(now) {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		c.handleRequestEnded(RequestEnded{ID: id, Outcome: peerv1.Outcome_OUTCOME_UNUSED})
		c.emit(RefuseRequest{ID: id, Code: code.DeadlineTooShort, RetryAfter: c.jitter(defaultRetryAfter)})
	}
}

func (c *Core) handleLoadReport(now time.Time, ev LoadReported) {
	if l, ok := c.ledgers[ev.Pool]; ok {
		c.deliverGrants(now, ev.Pool, l.ApplyLoadReport(ev.Target, ev.OpenRequests, now))
	}
}

func (c *Core) clientFor(pool string) *ticket.Client {
	cl, ok := c.clients[pool]
	if !ok {
		cl = ticket.New(pool, c.settings.Self, c.settings.Incarnation, c.settings.ReleaseDelay)
		c.clients[pool] = cl
	}
	return cl
}

// updateOwners makes each pool's client follow the live router that ranks first for the pool.
// Routers with different views follow different owners for a while. The ledger keeps the bound
// in that case.
func (c *Core) updateOwners(now time.Time) {
	pools := c.table.PoolNames()
	if len(pools) == 0 {
		return
	}
	live := c.reachableRouters(now)
	for _, name := range pools {
		owner, ok := rendezvous.Highest(rendezvous.Hash(name), live)
		if !ok {
			owner = c.settings.Self
		}
		cl := c.clientFor(name)
		old := cl.Owner()
		if old == owner {
			continue
		}
		cl.SetOwner(owner)
		c.unfollowOwner(now, name, old)
	}
}

// reachableRouters returns the live routers except those that recently left exchanges unanswered.
func (c *Core) reachableRouters(now time.Time) []uint32 {
	live := c.members.LiveRouters(now)
	out := live[:0]
	for _, id := range live {
		if now.Before(c.avoidOwnerUntil[id]) {
			continue
		}
		out = append(out, id)
	}
	return out
}

// unfollowOwner tells the old owner that this router follows another one. The router's tickets
// there become orphans: they still count against their targets but are no longer included in the
// old owner's mean.
func (c *Core) unfollowOwner(now time.Time, pool string, old uint32) {
	switch old {
	case 0:
	case c.settings.Self:
		if l, ok := c.ledgers[pool]; ok {
			c.deliverGrants(now, pool, l.RemoveFollower(now, c.settings.Self, true))
		}
	default:
		c.emit(CallPeer{To: old, Message: &peerv1.ExchangeRequest{
			Protocol: ticket.ProtocolVersion, Pool: pool, Router: c.settings.Self,
			Incarnation: c.settings.Incarnation, Sequence: c.clientFor(pool).LastSequence(), Unfollow: true,
		}})
	}
}

// sendExchanges sends the exchanges of all clients. The router's own ledgers are called
// directly.
func (c *Core) sendExchanges(now time.Time) {
	for _, name := range c.clientPools() {
		cl := c.clients[name]
		if cl.HasOwnerFailed() && cl.Owner() != c.settings.Self {
			c.avoidOwnerUntil[cl.Owner()] = now.Add(failedOwnerTimeout)
			c.updateOwners(now)
		}
		for {
			req := cl.NextExchange(now)
			if req == nil {
				break
			}
			if cl.Owner() != c.settings.Self {
				c.emit(CallPeer{To: cl.Owner(), Message: req})
				break
			}
			if !c.exchangeWithSelf(now, name, req) {
				break
			}
		}
	}
}

// exchangeWithSelf processes an exchange in this router's own ledger. It returns false if there is
// no such pool or the ledger refuses the exchange.
func (c *Core) exchangeWithSelf(now time.Time, pool string, req *peerv1.ExchangeRequest) bool {
	l, ok := c.ledgerFor(now, pool)
	if !ok {
		return false
	}
	resp, deliveries, err := l.HandleExchange(now, req)
	if err != nil {
		return false
	}
	c.handleGrants(now, pool, c.clients[pool].HandleReply(now, c.settings.Self, resp))
	c.deliverGrants(now, pool, deliveries)
	return true
}

// ledgerFor returns the ledger of a pool and creates it if necessary. It returns false if the pool
// does not exist.
func (c *Core) ledgerFor(now time.Time, pool string) (*ledger.Ledger, bool) {
	if l, ok := c.ledgers[pool]; ok {
		return l, true
	}
	p, ok := c.table.Pool(pool)
	if !ok {
		return nil, false
	}
	s := c.settings.Ledger
	s.ReleaseDelay = c.settings.ReleaseDelay
	l := ledger.New(now, s, p, c.table, c.rand)
	c.ledgers[pool] = l
	c.nextProbeAt = now // the targets report what earlier owners granted
	return l, true
}

// refuseStaleGrant refuses a request although a target was granted. This router may have stalled
// since it last received a configuration, and the target may have been drained and reassigned
// meanwhile.
func (c *Core) refuseStaleGrant(pool string, r *request) {
	delete(c.requests, r.event.ID)
	c.clientFor(pool).ReleaseTicket(r.event.ID, peerv1.Outcome_OUTCOME_UNUSED)
	c.emit(RefuseRequest{ID: r.event.ID, Code: code.StaleConfig, RetryAfter: c.jitter(defaultRetryAfter)})
}

// handleGrants turns grants and refusals of the owner into actions. A ticket for a target that
// this router knows to be leaving or removed from the target list is released: the owner may
// have an older configuration.
func (c *Core) handleGrants(now time.Time, pool string, grants []*peerv1.Grant) {
	for _, g := range grants {
		r, ok := c.requests[g.GetId()]
		if !ok {
			continue
		}
		if g.GetTarget() == 0 {
			delete(c.requests, g.GetId())
			c.emit(RefuseRequest{
				ID: g.GetId(), Code: code.Code(g.GetCode()),
				RetryAfter: time.Duration(g.GetRetryAfterMillis()) * time.Millisecond,
			})
			continue
		}
		if !c.isConfigFresh(now) {
			c.refuseStaleGrant(pool, r)
			continue
		}
		p, target, usable := c.usableTarget(pool, g.GetTarget())
		if !usable {
			c.requestAnotherTicket(pool, r, g.GetTarget())
			continue
		}
		r.grantedTarget = g.GetTarget()
		c.emit(GrantTarget{ID: g.GetId(), Target: target, Pool: p})
	}
}

// usableTarget returns a target and its pool, and whether the target is listed and not leaving.
func (c *Core) usableTarget(pool string, uid uint64) (*routing.Pool, routing.Target, bool) {
	p, ok := c.table.Pool(pool)
	if !ok {
		return nil, routing.Target{}, false
	}
	i, ok := p.TargetIndex(uid)
	if !ok || p.Targets[i].Leaving {
		return nil, routing.Target{}, false
	}
	return p, p.Targets[i], true
}

// maxExcludedTargets is the maximum number of targets that a request may exclude. Each ticket
// for a target that is not usable excludes one more. If the routers still disagree about the
// configuration after that, the request is refused with code.NoTarget.
const maxExcludedTargets = 5

// requestAnotherTicket releases the ticket for an unusable target and requests one for another
// target.
func (c *Core) requestAnotherTicket(pool string, r *request, uid uint64) {
	c.clientFor(pool).ReleaseTicket(r.event.ID, peerv1.Outcome_OUTCOME_UNUSED)
	r.event.Excluded = append(r.event.Excluded, uid)
	if len(r.event.Excluded) > maxExcludedTargets {
		delete(c.requests, r.event.ID)
		c.emit(RefuseRequest{ID: r.event.ID, Code: code.NoTarget, RetryAfter: c.jitter(defaultRetryAfter)})
		return
	}
	team, _ := c.table.Team(r.event.Team)
	c.clientFor(pool).Ask(&peerv1.Ask{
		Id: r.event.ID, Chat: r.event.Chat, Team: team.UID,
		Priority: uint32(r.event.Priority), Excluded: r.event.Excluded,
	}, r.event.Deadline)
}

// deliverGrants sends the grants and refusals of queued requests to their routers.
func (c *Core) deliverGrants(now time.Time, pool string, deliveries []ledger.Delivery) {
	byRouter := make(map[uint32]*peerv1.DeliverRequest)
	var order []uint32
	for _, d := range deliveries {
		if d.Router == c.settings.Self {
			c.handleGrants(now, pool, c.clientFor(pool).HandleDelivery(now, c.settings.Self, []*peerv1.Grant{d.Grant}))
			continue
		}
		m, ok := byRouter[d.Router]
		if !ok {
			m = &peerv1.DeliverRequest{
				Protocol: ticket.ProtocolVersion, Pool: pool, Owner: c.settings.Self, Incarnation: d.Incarnation,
			}
			byRouter[d.Router] = m
			order = append(order, d.Router)
		}
		m.Grants = append(m.Grants, d.Grant)
	}
	for _, to := range order {
		c.emit(CallPeer{To: to, Message: byRouter[to]})
	}
}

func (c *Core) clientPools() []string { return sortedNames(c.clients) }
func (c *Core) ledgerPools() []string { return sortedNames(c.ledgers) }

// sortedNames returns the keys in ascending order, which makes the order of actions
// deterministic.
func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
