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

// book drives one ledger as its followers would.
type book struct {
	*ledger.Ledger
	now      time.Time
	sequence map[uint32]uint64
	nextID   uint64
	asked    map[uint64]uint32 // router of each ask
}

func table(targets int, pool string, leaving ...int) *routing.Table {
	resources := []resource.Resource{
		{Kind: resource.KindPool, Metadata: resource.Metadata{Name: "p", UID: 1}, Spec: []byte(pool)},
		{Kind: resource.KindTeam, Metadata: resource.Metadata{Name: "hot", UID: 2}, Spec: []byte(`{}`)},
		{Kind: resource.KindTeam, Metadata: resource.Metadata{Name: "calm", UID: 3}, Spec: []byte(`{}`)},
		{Kind: resource.KindTeam, Metadata: resource.Metadata{Name: "limited", UID: 4}, Spec: []byte(`{"maxOutstanding":2}`)},
	}
	for i := range targets {
		left := false
		for _, l := range leaving {
			left = left || l == i
		}
		resources = append(resources, resource.Resource{
			Kind: resource.KindTarget, Metadata: resource.Metadata{Name: fmt.Sprintf("t%d", i), UID: uint64(100 + i)},
			Spec: fmt.Appendf(nil, `{"pool":"p","address":"127.0.0.1:1","leaving":%t}`, left),
		})
	}
	return routing.Build(1, resources)
}

const (
	hot     = 2
	calm    = 3
	limited = 4
)

func newBook(t *routing.Table, fleet int, tweak func(*ledger.Settings)) *book {
	s := ledger.DefaultSettings(fleet)
	s.MeanMargin = 0
	if tweak != nil {
		tweak(&s)
	}
	p, _ := t.Pool("p")
	return &book{
		Ledger: ledger.New(start, s, p, t, rand.New(rand.NewPCG(1, 1))), now: start,
		sequence: make(map[uint32]uint64), asked: make(map[uint64]uint32),
	}
}

func (b *book) send(router uint32, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, []ledger.Delivery) {
	b.sequence[router]++
	req.Router, req.Sequence = router, b.sequence[router]
	if req.Incarnation == 0 {
		req.Incarnation = 1
	}
	resp, late, err := b.HandleExchange(b.now, req)
	Expect(err).NotTo(HaveOccurred())
	return resp, late
}

func (b *book) follow(routers ...uint32) {
	for _, r := range routers {
		b.send(r, &peerv1.ExchangeRequest{HasInventory: true})
	}
}

// ask asks for a ticket and returns its id and the answer; nil means queued.
func (b *book) ask(router uint32, a *peerv1.Ask) (uint64, *peerv1.Grant) {
	b.nextID++
	a.Id = b.nextID
	b.asked[a.Id] = router
	if a.Chat == 0 {
		a.Chat = b.nextID
	}
	if a.DeadlineMillis == 0 {
		a.DeadlineMillis = 60_000
	}
	resp, _ := b.send(router, &peerv1.ExchangeRequest{Asks: []*peerv1.Ask{a}})
	if len(resp.GetGrants()) == 0 {
		return a.Id, nil
	}
	return a.Id, resp.GetGrants()[0]
}

// fill asks until n asks have a target.
func (b *book) fill(router uint32, n int, team uint64) (ids []uint64) {
	for range n {
		id, g := b.ask(router, &peerv1.Ask{Team: team, Priority: normal})
		Expect(g.GetTarget()).NotTo(BeZero())
		ids = append(ids, id)
	}
	return ids
}

func (b *book) release(id uint64, outcome peerv1.Outcome) []ledger.Delivery {
	resp, late := b.send(b.asked[id], &peerv1.ExchangeRequest{Releases: []*peerv1.Release{{Id: id, Outcome: outcome}}})
	for _, g := range resp.GetGrants() {
		late = append(late, ledger.Delivery{Router: b.asked[id], Grant: g})
	}
	return late
}

func (b *book) wait(d time.Duration) []ledger.Delivery {
	b.now = b.now.Add(d)
	return b.Tick(b.now)
}

const (
	model     = `{"protocol":"model"}`
	capOfFour = `{"protocol":"model","boundMultiple":10,"maxPerTarget":4}`
)

var _ = Describe("the bound", func() {
	// Symptom: an engine overloaded while others idle. Sequence: any mix of asks
	// and releases. Cause it guards against: a limit computed from another count
	// than the one that the grant changes.
	It("holds at every grant of one owner", func() {
		testkit.Check("200", func(t *rapid.T) {
			targets := rapid.IntRange(2, 6).Draw(t, "targets")
			b := newBook(table(targets, model), 1, nil)
			b.follow(1)
			open := make(map[uint64]int)
			held := make(map[uint64]uint64)
			t.Repeat(map[string]func(*rapid.T){
				"ask": func(t *rapid.T) {
					id, g := b.ask(1, &peerv1.Ask{Team: hot, Chat: rapid.Uint64Range(1, 9).Draw(t, "chat"), Priority: urgent})
					if g.GetTarget() == 0 {
						t.Fatalf("no target although nothing caps the pool")
					}
					open[g.GetTarget()]++
					held[id] = g.GetTarget()
					limit := int(math.Ceil(1.25 * float64(len(held)) / float64(targets)))
					if open[g.GetTarget()] > limit {
						t.Fatalf("target %d at %d, bound %d", g.GetTarget(), open[g.GetTarget()], limit)
					}
				},
				"release": func(*rapid.T) {
					for id, uid := range held {
						b.release(id, peerv1.Outcome_OUTCOME_DONE)
						open[uid]--
						delete(held, id)
						return
					}
				},
			})
		})
	})

	// Symptom: an engine carries twice the bound. Sequence: views differ, two
	// routers both believe that they own the pool, each with followers of its own.
	// Cause: both grant up to the bound of the whole pool. Each counts only its own
	// followers' tickets towards the mean, so the two bounds add up.
	It("is passed by at most one request when two owners exist at once", func() {
		testkit.Check("200", func(t *rapid.T) {
			const targets = 4
			tab := table(targets, model)
			owners := []*book{newBook(tab, 2, nil), newBook(tab, 2, nil)}
			owners[0].follow(1)
			owners[1].follow(2)
			open := make(map[uint64]int)
			total := 0
			for range rapid.IntRange(10, 120).Draw(t, "asks") {
				o := rapid.IntRange(0, 1).Draw(t, "owner")
				_, g := owners[o].ask(uint32(o+1), &peerv1.Ask{Team: hot, Chat: rapid.Uint64Range(1, 5).Draw(t, "chat"), Priority: urgent})
				total++
				open[g.GetTarget()]++
				limit := int(math.Ceil(1.25*float64(total)/targets)) + 1
				if open[g.GetTarget()] > limit {
					t.Fatalf("target %d at %d of %d", g.GetTarget(), open[g.GetTarget()], limit)
				}
			}
		})
	})

	// Symptom: the pool stands still at a small load. Sequence: as many requests
	// open as targets. Cause: the margin lowers the mean until no target has room.
	It("always leaves room for one more request", func() {
		b := newBook(table(4, model), 1, func(s *ledger.Settings) { s.MeanMargin = 3 })
		b.follow(1)
		b.fill(1, 50, hot)
	})

	// Symptom: caps add up to more than the cap. Sequence: only some routers follow
	// this owner. Cause: the others may follow another one that uses the cap too.
	It("gives an owner only its followers' share of the cap", func() {
		b := newBook(table(1, capOfFour), 4, nil)
		b.follow(1)
		_, g := b.ask(1, &peerv1.Ask{Team: hot, Priority: urgent})
		Expect(g.GetTarget()).NotTo(BeZero())
		_, g = b.ask(1, &peerv1.Ask{Team: hot, Priority: urgent})
		Expect(g).To(BeNil())
	})
})

var _ = Describe("exchanges", func() {
	// Symptom: tickets leak until the pool is full. Sequence: a router sends an
	// exchange again because the reply is slow, gets the reply, releases the ticket;
	// then the repeat arrives. Cause: it is taken for a new ask that nobody awaits.
	It("that arrive late a second time change nothing", func() {
		b := newBook(table(2, model), 1, nil)
		b.follow(1)
		id, g := b.ask(1, &peerv1.Ask{Team: hot})
		asked := b.sequence[1]
		b.release(id, peerv1.Outcome_OUTCOME_DONE)
		_, _, err := b.HandleExchange(b.now, &peerv1.ExchangeRequest{
			Router: 1, Incarnation: 1, Sequence: asked, Asks: []*peerv1.Ask{{Id: id, DeadlineMillis: 1000}},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(b.TicketCount(g.GetTarget())).To(BeZero())
	})

	// Symptom: a request waits for ever. Sequence: the reply with its grant is lost,
	// the router sends the exchange again. Cause: the repeat is dropped unanswered.
	It("answer a repeated sequence number with the first reply", func() {
		b := newBook(table(2, model), 1, nil)
		b.follow(1)
		req := &peerv1.ExchangeRequest{Router: 1, Incarnation: 1, Sequence: 7, Asks: []*peerv1.Ask{{Id: 1, Chat: 1, DeadlineMillis: 1000}}}
		first, _, err := b.HandleExchange(b.now, req)
		Expect(err).NotTo(HaveOccurred())
		again, _, err := b.HandleExchange(b.now, req)
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(first))
		Expect(b.TicketCount(100) + b.TicketCount(101)).To(Equal(1))
	})

	// Symptom: one request holds two places. Sequence: the router is asked for its
	// inventory and repeats an ask whose grant is under way. Cause: a second ticket.
	It("grant a repeated ask the same target", func() {
		b := newBook(table(4, model), 1, nil)
		b.follow(1)
		id, g := b.ask(1, &peerv1.Ask{Team: hot})
		resp, _ := b.send(1, &peerv1.ExchangeRequest{HasInventory: true, Asks: []*peerv1.Ask{{Id: id, Chat: 99}}})
		Expect(resp.GetGrants()).To(HaveLen(1))
		Expect(resp.GetGrants()[0].GetTarget()).To(Equal(g.GetTarget()))
	})

	// Symptom: the count of a target stays too high for good. Sequence: a release
	// is lost for good. Cause: nothing compares the two sides' books.
	It("drop tickets that an inventory does not show", func() {
		b := newBook(table(2, model), 1, nil)
		b.follow(1)
		b.fill(1, 3, hot)
		b.send(1, &peerv1.ExchangeRequest{HasInventory: true})
		Expect(b.TicketCount(100) + b.TicketCount(101)).To(BeZero())
	})

	// Symptom: a new process is charged for requests of the old one, or an old one's
	// late message undoes the new one's. Sequence: restart, then a late exchange.
	It("tell processes of the same router apart", func() {
		b := newBook(table(2, model), 1, nil)
		b.follow(1)
		b.fill(1, 2, hot)
		b.send(1, &peerv1.ExchangeRequest{Incarnation: 2, HasInventory: true})
		Expect(b.TicketCount(100)+b.TicketCount(101)).To(Equal(2), "the old process's tickets are ghosts")
		_, _, err := b.HandleExchange(b.now, &peerv1.ExchangeRequest{Router: 1, Incarnation: 1, Sequence: 99, HasInventory: true})
		Expect(err).To(BeAssignableToTypeOf(&code.Error{}))
		b.wait(6 * time.Second)
		Expect(b.TicketCount(100) + b.TicketCount(101)).To(BeZero())
	})
})
