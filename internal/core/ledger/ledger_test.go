package ledger_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/ledger"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	"github.com/hemlockdyke/hemlockdyke/internal/core/routing"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

const (
	bulk   = 0
	normal = 1
	urgent = 2
)

var start = time.Unix(1000, 0)

// testLedger is a ledger together with the exchanges of its followers.
type testLedger struct {
	*ledger.Ledger
	now      time.Time
	sequence map[uint32]uint64
	nextID   uint64
	routerOf map[uint64]uint32 // the router of each request
}

func newTable(targets int, pool string, leaving ...int) *routing.Table {
	resources := []resource.Resource{
		{Kind: resource.KindPool, Metadata: resource.Metadata{Name: "p", UID: 1}, Spec: []byte(pool)},
		{Kind: resource.KindTeam, Metadata: resource.Metadata{Name: "hot", UID: 2}, Spec: []byte(`{}`)},
		{Kind: resource.KindTeam, Metadata: resource.Metadata{Name: "calm", UID: 3}, Spec: []byte(`{}`)},
		{Kind: resource.KindTeam, Metadata: resource.Metadata{Name: "limited", UID: 4}, Spec: []byte(`{"maxOutstanding":2}`)},
	}
	for i := range targets {
		isLeaving := false
		for _, l := range leaving {
			isLeaving = isLeaving || l == i
		}
		resources = append(resources, resource.Resource{
			Kind: resource.KindTarget, Metadata: resource.Metadata{Name: fmt.Sprintf("t%d", i), UID: uint64(100 + i)},
			Spec: fmt.Appendf(nil, `{"pool":"p","address":"127.0.0.1:1","leaving":%t}`, isLeaving),
		})
	}
	return routing.Build(1, resources)
}

const (
	busyTeam    = 2
	quietTeam   = 3
	limitedTeam = 4
)

func newTestLedger(t *routing.Table, fleet int, configure func(*ledger.Settings)) *testLedger {
	s := ledger.DefaultSettings(fleet)
	s.BaseReleaseMargin = 0
	if configure != nil {
		configure(&s)
	}
	p, _ := t.Pool("p")
	return &testLedger{
		Ledger: ledger.New(start, s, p, t, rand.New(rand.NewPCG(1, 1))), now: start,
		sequence: make(map[uint32]uint64), routerOf: make(map[uint64]uint32),
	}
}

func (b *testLedger) sendExchange(router uint32, exchange *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, []ledger.Delivery) {
	b.sequence[router]++
	exchange.Router, exchange.Sequence = router, b.sequence[router]
	if exchange.Incarnation == 0 {
		exchange.Incarnation = 1
	}
	resp, deferred, err := b.HandleExchange(b.now, exchange)
	Expect(err).NotTo(HaveOccurred())
	return resp, deferred
}

func (b *testLedger) addFollowers(routers ...uint32) {
	for _, r := range routers {
		b.sendExchange(r, &peerv1.ExchangeRequest{HasInventory: true})
	}
}

// requestTicket sends a request for a ticket. It returns the request's ID and the answer, which
// is nil if the request is queued.
func (b *testLedger) requestTicket(router uint32, a *peerv1.Ask) (uint64, *peerv1.Grant) {
	b.nextID++
	a.Id = b.nextID
	b.routerOf[a.Id] = router
	if a.Chat == 0 {
		a.Chat = b.nextID
	}
	if a.DeadlineMillis == 0 {
		a.DeadlineMillis = 60_000
	}
	resp, _ := b.sendExchange(router, &peerv1.ExchangeRequest{Asks: []*peerv1.Ask{a}})
	if len(resp.GetGrants()) == 0 {
		return a.Id, nil
	}
	return a.Id, resp.GetGrants()[0]
}

// fillSlots requests n tickets and expects each to be granted at once.
func (b *testLedger) fillSlots(router uint32, n int, team uint64) (ids []uint64) {
	for range n {
		id, g := b.requestTicket(router, &peerv1.Ask{Team: team, Priority: normal})
		Expect(g.GetTarget()).NotTo(BeZero())
		ids = append(ids, id)
	}
	return ids
}

func (b *testLedger) releaseTicket(id uint64, outcome peerv1.Outcome) []ledger.Delivery {
	resp, deferred := b.sendExchange(b.routerOf[id], &peerv1.ExchangeRequest{Releases: []*peerv1.Release{{Id: id, Outcome: outcome}}})
	for _, g := range resp.GetGrants() {
		deferred = append(deferred, ledger.Delivery{Router: b.routerOf[id], Grant: g})
	}
	return deferred
}

func (b *testLedger) advance(d time.Duration) []ledger.Delivery {
	b.now = b.now.Add(d)
	return b.Tick(b.now)
}

const (
	modelPool     = `{"protocol":"model"}`
	poolCapOfFour = `{"protocol":"model","boundMultiple":10,"maxPerTarget":4}`
)

var _ = Describe("the load bound", func() {
	// Guards against overloading one target while others are idle. Any mix of requests and releases
	// must keep the bound. The limit must be computed from the same counts that the grant changes.
	It("holds at every grant of one owner", func() {
		testkit.Check("200", func(t *rapid.T) {
			targets := rapid.IntRange(2, 6).Draw(t, "targets")
			b := newTestLedger(newTable(targets, modelPool), 1, nil)
			b.addFollowers(1)
			open := make(map[uint64]int)
			targetOf := make(map[uint64]uint64)
			t.Repeat(map[string]func(*rapid.T){
				"ask": func(t *rapid.T) {
					id, g := b.requestTicket(1, &peerv1.Ask{Team: busyTeam, Chat: rapid.Uint64Range(1, 9).Draw(t, "chat"), Priority: urgent})
					if g.GetTarget() == 0 {
						t.Fatalf("no target was granted although the pool has no cap")
					}
					open[g.GetTarget()]++
					targetOf[id] = g.GetTarget()
					limit := int(math.Ceil(1.25 * float64(len(targetOf)) / float64(targets)))
					if open[g.GetTarget()] > limit {
						t.Fatalf("target %d has %d open requests, bound %d", g.GetTarget(), open[g.GetTarget()], limit)
					}
				},
				"release": func(*rapid.T) {
					for id, uid := range targetOf {
						b.releaseTicket(id, peerv1.Outcome_OUTCOME_DONE)
						open[uid]--
						delete(targetOf, id)
						return
					}
				},
			})
		})
	})

	// Guards against a target with twice the bound: views differ, and two routers both own the pool
	// and both have followers. Each includes only its own followers' tickets in its mean, so the
	// two bounds add up to the bound of the whole pool.
	It("is exceeded by at most one request when two owners exist at once", func() {
		testkit.Check("200", func(t *rapid.T) {
			const targets = 4
			table := newTable(targets, modelPool)
			owners := []*testLedger{newTestLedger(table, 2, nil), newTestLedger(table, 2, nil)}
			owners[0].addFollowers(1)
			owners[1].addFollowers(2)
			open := make(map[uint64]int)
			total := 0
			for range rapid.IntRange(10, 120).Draw(t, "requests") {
				o := rapid.IntRange(0, 1).Draw(t, "owner")
				_, g := owners[o].requestTicket(uint32(o+1), &peerv1.Ask{Team: busyTeam, Chat: rapid.Uint64Range(1, 5).Draw(t, "chat"), Priority: urgent})
				total++
				open[g.GetTarget()]++
				limit := int(math.Ceil(1.25*float64(total)/targets)) + 1
				if open[g.GetTarget()] > limit {
					t.Fatalf("target %d has %d open requests, limit %d", g.GetTarget(), open[g.GetTarget()], limit)
				}
			}
		})
	})

	// Guards against a pool that grants nothing at low load: with as many open requests as
	// targets, the release margin lowers the mean until no target has room.
	It("always leaves room for one more request", func() {
		b := newTestLedger(newTable(4, modelPool), 1, func(s *ledger.Settings) { s.BaseReleaseMargin = 3 })
		b.addFollowers(1)
		b.fillSlots(1, 50, busyTeam)
	})

	// Guards against exceeding MaxPerTarget in total: only some routers follow this owner, and
	// the others may follow another owner that uses its share too.
	It("limits an owner to its followers' share of the cap per target", func() {
		b := newTestLedger(newTable(1, poolCapOfFour), 4, nil)
		b.addFollowers(1)
		_, g := b.requestTicket(1, &peerv1.Ask{Team: busyTeam, Priority: urgent})
		Expect(g.GetTarget()).NotTo(BeZero())
		_, g = b.requestTicket(1, &peerv1.Ask{Team: busyTeam, Priority: urgent})
		Expect(g).To(BeNil())
	})
})

var _ = Describe("exchanges of a follower", func() {
	// Guards against leaking tickets until the pool is full: a router resends an exchange because
	// the reply is slow, gets the reply and releases the ticket. Then the duplicate arrives and
	// must not be taken for a new request.
	It("change nothing when a late duplicate arrives", func() {
		b := newTestLedger(newTable(2, modelPool), 1, nil)
		b.addFollowers(1)
		id, g := b.requestTicket(1, &peerv1.Ask{Team: busyTeam})
		exchangeSequence := b.sequence[1]
		b.releaseTicket(id, peerv1.Outcome_OUTCOME_DONE)
		_, _, err := b.HandleExchange(b.now, &peerv1.ExchangeRequest{
			Router: 1, Incarnation: 1, Sequence: exchangeSequence, Asks: []*peerv1.Ask{{Id: id, DeadlineMillis: 1000}},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(b.TicketCount(g.GetTarget())).To(BeZero())
	})

	// Guards against requests that wait for ever: the reply with the grant is lost and the router
	// resends the exchange. The duplicate must be answered.
	It("get the recorded reply when the sequence number is repeated", func() {
		b := newTestLedger(newTable(2, modelPool), 1, nil)
		b.addFollowers(1)
		exchange := &peerv1.ExchangeRequest{Router: 1, Incarnation: 1, Sequence: 7, Asks: []*peerv1.Ask{{Id: 1, Chat: 1, DeadlineMillis: 1000}}}
		first, _, err := b.HandleExchange(b.now, exchange)
		Expect(err).NotTo(HaveOccurred())
		again, _, err := b.HandleExchange(b.now, exchange)
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(first))
		Expect(b.TicketCount(100) + b.TicketCount(101)).To(Equal(1))
	})

	// Guards against two tickets for one request: the router is asked for its inventory and
	// repeats a request whose grant is on its way.
	It("grant a repeated request the same target", func() {
		b := newTestLedger(newTable(4, modelPool), 1, nil)
		b.addFollowers(1)
		id, g := b.requestTicket(1, &peerv1.Ask{Team: busyTeam})
		resp, _ := b.sendExchange(1, &peerv1.ExchangeRequest{HasInventory: true, Asks: []*peerv1.Ask{{Id: id, Chat: 99}}})
		Expect(resp.GetGrants()).To(HaveLen(1))
		Expect(resp.GetGrants()[0].GetTarget()).To(Equal(g.GetTarget()))
	})

	// Guards against a count that stays too high after a release is lost: the inventory of the
	// router corrects the owner's tickets.
	It("remove tickets that the inventory does not list", func() {
		b := newTestLedger(newTable(2, modelPool), 1, nil)
		b.addFollowers(1)
		b.fillSlots(1, 3, busyTeam)
		b.sendExchange(1, &peerv1.ExchangeRequest{HasInventory: true})
		Expect(b.TicketCount(100) + b.TicketCount(101)).To(BeZero())
	})

	// Guards against confusing two processes of a router after a restart: the requests of the
	// old process must not count as the new one's, and a late message of the old process must
	// not change the new one's tickets.
	It("are assigned to the right process of a restarted router", func() {
		b := newTestLedger(newTable(2, modelPool), 1, nil)
		b.addFollowers(1)
		b.fillSlots(1, 2, busyTeam)
		b.sendExchange(1, &peerv1.ExchangeRequest{Incarnation: 2, HasInventory: true})
		Expect(b.TicketCount(100)+b.TicketCount(101)).To(Equal(2), "the old process's tickets are orphans")
		_, _, err := b.HandleExchange(b.now, &peerv1.ExchangeRequest{Router: 1, Incarnation: 1, Sequence: 99, HasInventory: true})
		Expect(err).To(BeAssignableToTypeOf(&code.Error{}))
		b.advance(6 * time.Second)
		Expect(b.TicketCount(100) + b.TicketCount(101)).To(BeZero())
	})
})
