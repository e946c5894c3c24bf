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

// ownerPenalty is how long an owner that did not answer is passed over.
const ownerPenalty = 5 * time.Second

// retryLater is the Retry-After of refusals that no queue explains.
const retryLater = time.Second

func (c *Core) arrived(now time.Time, ev RequestArrived) {
	if refusal, bad := c.check(ev); bad {
		c.emit(RefuseRequest{ID: ev.ID, Code: refusal, RetryAfter: c.jittered(retryLater)})
		return
	}
	team, _ := c.table.Team(ev.Team)
	c.requests[ev.ID] = &request{arrived: ev, pool: ev.Pool}
	c.client(ev.Pool).Ask(&peerv1.Ask{
		Id: ev.ID, Chat: ev.Chat, Team: team.UID, Priority: uint32(ev.Priority), Excluded: ev.Excluded,
	}, ev.Deadline)
}

// check refuses what can't or must not go on. Retries are checked against their
// budgets here; new work also against this router's own state. A router that is
// stopping still serves: the balancer keeps sending for a while.
func (c *Core) check(ev RequestArrived) (code.Code, bool) {
	if !ev.Retry && c.readySent && !c.ready.Ready && c.ready.Reason != code.ShuttingDown {
		return c.ready.Reason, true
	}
	if _, ok := c.table.Pool(ev.Pool); !ok {
		return code.UnknownPool, true
	}
	if _, ok := c.table.Team(ev.Team); !ok {
		return code.UnknownTeam, true
	}
	pool, team := c.budget("pool/"+ev.Pool), c.budget("team/"+ev.Team)
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

func (c *Core) budget(key string) *retry.Budget {
	b, ok := c.budgets[key]
	if !ok {
		b = retry.NewBudget()
		c.budgets[key] = b
	}
	return b
}

func (c *Core) ended(ev RequestEnded) {
	r, ok := c.requests[ev.ID]
	if !ok {
		return
	}
	delete(c.requests, ev.ID)
	c.client(r.pool).ReleaseTicket(ev.ID, ev.Outcome)
}

// expire refuses requests that still wait at their deadline. The owner does so
// too, but an ask or its refusal may be under way for long, or no owner answers.
func (c *Core) expire(now time.Time) {
	var late []uint64
	for id, r := range c.requests {
		if r.granted == 0 && !r.arrived.Deadline.After(now) {
			late = append(late, id)
		}
	}
	slices.Sort(late)
	for _, id := range late {
		c.ended(RequestEnded{ID: id, Outcome: peerv1.Outcome_OUTCOME_UNUSED})
		c.emit(RefuseRequest{ID: id, Code: code.DeadlineTooShort, RetryAfter: c.jittered(retryLater)})
	}
}

func (c *Core) reported(now time.Time, ev LoadReported) {
	if l, ok := c.ledgers[ev.Pool]; ok {
		c.deliver(now, ev.Pool, l.ApplyLoadReport(ev.Target, ev.OpenRequests, now))
	}
}

func (c *Core) client(pool string) *ticket.Client {
	cl, ok := c.clients[pool]
	if !ok {
		cl = ticket.New(pool, c.settings.Self, c.settings.Incarnation, c.settings.ReleaseDelay)
		c.clients[pool] = cl
	}
	return cl
}

// followOwners points each pool's client at the live router that ranks first for
// the pool. Routers whose views differ follow different owners for a while; the
// ledger's rules keep the bound meanwhile.
func (c *Core) followOwners(now time.Time) {
	pools := c.table.PoolNames()
	if len(pools) == 0 {
		return
	}
	live := c.ownersInReach(now)
	for _, name := range pools {
		owner, ok := rendezvous.First(rendezvous.Hash(name), live)
		if !ok {
			owner = c.settings.Self
		}
		cl := c.client(name)
		old := cl.Owner()
		if old == owner {
			continue
		}
		cl.SetOwner(owner)
		c.leaveOwner(now, name, old)
	}
}

func (c *Core) ownersInReach(now time.Time) []uint32 {
	live := c.members.LiveRouters(now)
	out := live[:0]
	for _, id := range live {
		if now.Before(c.failedOwner[id]) {
			continue
		}
		out = append(out, id)
	}
	return out
}

// leaveOwner tells the old owner that this router follows another one. Its
// tickets there become ghosts, which still count against their targets but no
// longer feed the old owner's mean.
func (c *Core) leaveOwner(now time.Time, pool string, old uint32) {
	switch old {
	case 0:
	case c.settings.Self:
		if l, ok := c.ledgers[pool]; ok {
			c.deliver(now, pool, l.RemoveFollower(now, c.settings.Self, true))
		}
	default:
		c.emit(CallPeer{To: old, Message: &peerv1.ExchangeRequest{
			Protocol: ticket.ProtocolVersion, Pool: pool, Router: c.settings.Self,
			Incarnation: c.settings.Incarnation, Sequence: c.client(pool).LastSequence(), Unfollow: true,
		}})
	}
}

// exchange sends what the clients have to say. The router's own ledger is
// called directly.
func (c *Core) exchange(now time.Time) {
	for _, name := range c.clientNames() {
		cl := c.clients[name]
		if cl.HasOwnerFailed() && cl.Owner() != c.settings.Self {
			c.failedOwner[cl.Owner()] = now.Add(ownerPenalty)
			c.followOwners(now)
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

func (c *Core) exchangeWithSelf(now time.Time, pool string, req *peerv1.ExchangeRequest) bool {
	l, ok := c.ledger(now, pool)
	if !ok {
		return false
	}
	resp, deliveries, err := l.HandleExchange(now, req)
	if err != nil {
		return false
	}
	c.granted(now, pool, c.clients[pool].HandleReply(now, c.settings.Self, resp))
	c.deliver(now, pool, deliveries)
	return true
}

func (c *Core) ledger(now time.Time, pool string) (*ledger.Ledger, bool) {
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
	c.nextProbe = now // the targets know what earlier owners granted
	return l, true
}

// giveBack refuses a request although it was granted a target: this router may
// have been paused since it last heard of the configuration, and the target may
// have been drained and handed over meanwhile.
func (c *Core) giveBack(pool string, r *request) {
	delete(c.requests, r.arrived.ID)
	c.client(pool).ReleaseTicket(r.arrived.ID, peerv1.Outcome_OUTCOME_UNUSED)
	c.emit(RefuseRequest{ID: r.arrived.ID, Code: code.StaleConfig, RetryAfter: c.jittered(retryLater)})
}

// granted turns the owner's answers into actions. A grant for a target that this
// router knows to be leaving or gone is given back: the owner may have an older
// configuration.
func (c *Core) granted(now time.Time, pool string, grants []*peerv1.Grant) {
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
		if !c.fresh(now) {
			c.giveBack(pool, r)
			continue
		}
		p, target, usable := c.usable(pool, g.GetTarget())
		if !usable {
			c.askAgain(pool, r, g.GetTarget())
			continue
		}
		r.granted = g.GetTarget()
		c.emit(GrantTarget{ID: g.GetId(), Target: target, Pool: p})
	}
}

func (c *Core) usable(pool string, uid uint64) (*routing.Pool, routing.Target, bool) {
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

// maxGivenBack bounds how often one request gives tickets back; a fleet that
// disagrees about the configuration for longer answers "no target".
const maxGivenBack = 5

func (c *Core) askAgain(pool string, r *request, uid uint64) {
	c.client(pool).ReleaseTicket(r.arrived.ID, peerv1.Outcome_OUTCOME_UNUSED)
	r.arrived.Excluded = append(r.arrived.Excluded, uid)
	if len(r.arrived.Excluded) > maxGivenBack {
		delete(c.requests, r.arrived.ID)
		c.emit(RefuseRequest{ID: r.arrived.ID, Code: code.NoTarget, RetryAfter: c.jittered(retryLater)})
		return
	}
	team, _ := c.table.Team(r.arrived.Team)
	c.client(pool).Ask(&peerv1.Ask{
		Id: r.arrived.ID, Chat: r.arrived.Chat, Team: team.UID,
		Priority: uint32(r.arrived.Priority), Excluded: r.arrived.Excluded,
	}, r.arrived.Deadline)
}

// deliver sends late grants to the routers that wait for them.
func (c *Core) deliver(now time.Time, pool string, deliveries []ledger.Delivery) {
	byRouter := make(map[uint32]*peerv1.DeliverRequest)
	var order []uint32
	for _, d := range deliveries {
		if d.Router == c.settings.Self {
			c.granted(now, pool, c.client(pool).HandleDelivery(now, c.settings.Self, []*peerv1.Grant{d.Grant}))
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

func (c *Core) clientNames() []string { return sortedNames(c.clients) }
func (c *Core) ledgerNames() []string { return sortedNames(c.ledgers) }

// sortedNames makes the order of actions the same in every run.
func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
