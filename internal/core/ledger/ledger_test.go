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
	resp, late, err := b.Exchange(b.now, req)
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
		_, _, err := b.Exchange(b.now, &peerv1.ExchangeRequest{
			Router: 1, Incarnation: 1, Sequence: asked, Asks: []*peerv1.Ask{{Id: id, DeadlineMillis: 1000}},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Open(g.GetTarget())).To(BeZero())
	})

	// Symptom: a request waits for ever. Sequence: the reply with its grant is lost,
	// the router sends the exchange again. Cause: the repeat is dropped unanswered.
	It("answer a repeated sequence number with the first reply", func() {
		b := newBook(table(2, model), 1, nil)
		b.follow(1)
		req := &peerv1.ExchangeRequest{Router: 1, Incarnation: 1, Sequence: 7, Asks: []*peerv1.Ask{{Id: 1, Chat: 1, DeadlineMillis: 1000}}}
		first, _, err := b.Exchange(b.now, req)
		Expect(err).NotTo(HaveOccurred())
		again, _, err := b.Exchange(b.now, req)
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(first))
		Expect(b.Open(100) + b.Open(101)).To(Equal(1))
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
		Expect(b.Open(100) + b.Open(101)).To(BeZero())
	})

	// Symptom: a new process is charged for requests of the old one, or an old one's
	// late message undoes the new one's. Sequence: restart, then a late exchange.
	It("tell processes of the same router apart", func() {
		b := newBook(table(2, model), 1, nil)
		b.follow(1)
		b.fill(1, 2, hot)
		b.send(1, &peerv1.ExchangeRequest{Incarnation: 2, HasInventory: true})
		Expect(b.Open(100)+b.Open(101)).To(Equal(2), "the old process's tickets are ghosts")
		_, _, err := b.Exchange(b.now, &peerv1.ExchangeRequest{Router: 1, Incarnation: 1, Sequence: 99, HasInventory: true})
		Expect(err).To(BeAssignableToTypeOf(&code.Error{}))
		b.wait(6 * time.Second)
		Expect(b.Open(100) + b.Open(101)).To(BeZero())
	})
})

var _ = Describe("departed routers", func() {
	fullOfGhosts := func() *book {
		b := newBook(table(1, capOfFour), 2, nil)
		b.follow(1, 2)
		b.fill(1, 3, hot)
		b.Depart(b.now, 1, false)
		return b
	}

	// Symptom: an engine is overrun after a router went silent. Sequence: the
	// router is paused, its requests still run. Cause: its places are granted anew.
	It("leave ghosts that hold their places until a time has passed", func() {
		b := fullOfGhosts()
		_, g := b.ask(2, &peerv1.Ask{Team: hot, Priority: normal})
		Expect(g).To(BeNil())
		Expect(b.wait(6 * time.Second)).To(HaveLen(1))
	})

	// Symptom: as above, later. Sequence: the silent router's requests are long.
	// Cause: time alone settles the ghosts although the target reports them.
	It("leave ghosts for as long as the target reports them", func() {
		b := fullOfGhosts()
		b.now = b.now.Add(time.Second)
		b.Report(100, 3, b.now)
		b.wait(6 * time.Second)
		Expect(b.Open(100)).To(Equal(3))
		b.Report(100, 1, b.now)
		Expect(b.Open(100)).To(Equal(1))
	})

	// Symptom: ghosts vanish although their requests run. Sequence: a report comes
	// right after a grant whose request has not arrived. Cause: it fills the gap.
	It("are not settled by a report right after a grant", func() {
		b := newBook(table(1, `{"protocol":"model","boundMultiple":10,"maxPerTarget":20}`), 2, nil)
		b.follow(1, 2)
		b.fill(1, 3, hot)
		b.Depart(b.now, 1, false)
		b.now = b.now.Add(time.Second)
		b.fill(2, 1, hot)
		b.Report(100, 3, b.now.Add(10*time.Millisecond))
		Expect(b.Open(100)).To(Equal(4))
	})

	// Symptom: places are lost for seconds after a false alarm. Sequence: a router
	// is suspected, then goes on. Cause: its tickets count as ghosts and as tickets.
	It("that return take their ghosts back", func() {
		b := fullOfGhosts()
		b.send(1, &peerv1.ExchangeRequest{HasInventory: true, Inventory: []*peerv1.OpenTicket{{Id: 1, Target: 100, Team: hot}}})
		Expect(b.Open(100)).To(Equal(1))
	})
})

var _ = Describe("waiting asks", func() {
	full := func(fleet int) *book {
		b := newBook(table(1, `{"protocol":"model","boundMultiple":10,"maxPerTarget":8}`), fleet, nil)
		b.follow(1)
		return b
	}

	// Symptom: another team's lookups wait behind a hot team. Sequence: the hot
	// team queues 50, then a calm one asks. Cause: first come, first served.
	It("share places between teams, and serve urgent ones first", func() {
		b := full(1)
		ids := b.fill(1, 7, hot)
		for range 50 {
			_, g := b.ask(1, &peerv1.Ask{Team: hot, Priority: normal})
			Expect(g).To(BeNil())
		}
		calmID, g := b.ask(1, &peerv1.Ask{Team: calm, Priority: normal})
		Expect(g).To(BeNil())
		_, g = b.ask(1, &peerv1.Ask{Team: calm, Priority: urgent})
		Expect(g.GetTarget()).NotTo(BeZero(), "a place is kept for urgent requests")
		b.release(ids[0], peerv1.Outcome_OUTCOME_DONE)
		served := b.release(ids[1], peerv1.Outcome_OUTCOME_DONE)
		served = append(served, b.release(ids[2], peerv1.Outcome_OUTCOME_DONE)...)
		var got []uint64
		for _, d := range served {
			got = append(got, d.Grant.GetId())
		}
		Expect(got).To(ContainElement(calmID))
	})

	// Symptom: chats wait behind bulk work. Sequence: bulk asks queue first.
	It("are served by class", func() {
		b := newBook(table(2, model), 1, nil)
		b.follow(1)
		ids := b.fill(1, 2, limited)
		_, g := b.ask(1, &peerv1.Ask{Team: limited, Priority: bulk})
		Expect(g).To(BeNil())
		urgentID, g := b.ask(1, &peerv1.Ask{Team: limited, Priority: urgent})
		Expect(g).To(BeNil())
		served := b.release(ids[0], peerv1.Outcome_OUTCOME_DONE)
		Expect(served).To(HaveLen(1))
		Expect(served[0].Grant.GetId()).To(Equal(urgentID))
	})

	// Symptom: a caller waits a minute for a refusal. Sequence: the queue is longer
	// than the deadline. Cause: the answer is held back although it is certain.
	It("that can't be served in time are refused at once, with the time to come back", func() {
		b := full(1)
		ids := b.fill(1, 7, hot)
		for range 10 {
			b.ask(1, &peerv1.Ask{Team: hot, Priority: normal})
		}
		b.now = b.now.Add(2 * time.Second)
		b.release(ids[0], peerv1.Outcome_OUTCOME_DONE)
		_, g := b.ask(1, &peerv1.Ask{Team: hot, Priority: normal, DeadlineMillis: 1000})
		Expect(code.Code(g.GetCode())).To(Equal(code.DeadlineTooShort))
		Expect(g.GetRetryAfterMillis()).To(BeNumerically(">", 1000))
	})

	It("are refused at their deadline", func() {
		b := full(1)
		b.fill(1, 7, hot)
		_, g := b.ask(1, &peerv1.Ask{Team: hot, Priority: normal, DeadlineMillis: 500})
		Expect(g).To(BeNil())
		late := b.wait(time.Second)
		Expect(late).To(HaveLen(1))
		Expect(code.Code(late[0].Grant.GetCode())).To(Equal(code.DeadlineTooShort))
	})

	// Symptom: a team exceeds its limit by the number of routers. Sequence: it asks
	// through several. Cause: each router knows only its own sliver.
	It("keep a team's limit over the whole fleet", func() {
		b := newBook(table(2, model), 2, nil)
		b.follow(1, 2)
		b.fill(1, 1, limited)
		ids := b.fill(2, 1, limited)
		_, g := b.ask(1, &peerv1.Ask{Team: limited, Priority: urgent})
		Expect(g).To(BeNil())
		Expect(b.fill(1, 1, calm)).To(HaveLen(1), "other teams go on")
		Expect(b.release(ids[0], peerv1.Outcome_OUTCOME_DONE)).To(HaveLen(1))
	})

	// Symptom: a long prefix is built anew although its engine frees a place at
	// once. Cause: the request spills without a wait.
	It("wait a little for the target that holds their chat's cache", func() {
		b := newBook(table(2, `{"protocol":"model","boundMultiple":1.25,"maxPerTarget":2}`), 1, nil)
		b.follow(1)
		id, first := b.ask(1, &peerv1.Ask{Team: hot, Chat: 42, Priority: normal})
		for b.Open(first.GetTarget()) < 1 {
			b.fill(1, 1, hot)
		}
		_, g := b.ask(1, &peerv1.Ask{Team: hot, Chat: 42, Priority: normal})
		Expect(g).To(BeNil())
		served := b.release(id, peerv1.Outcome_OUTCOME_DONE)
		Expect(served).To(HaveLen(1))
		Expect(served[0].Grant.GetTarget()).To(Equal(first.GetTarget()))
	})

	It("spill to another target when the wait is over", func() {
		b := newBook(table(2, `{"protocol":"model","boundMultiple":1.25,"maxPerTarget":2}`), 1, nil)
		b.follow(1)
		_, first := b.ask(1, &peerv1.Ask{Team: hot, Chat: 42, Priority: normal})
		_, g := b.ask(1, &peerv1.Ask{Team: hot, Chat: 42, Priority: normal})
		Expect(g).To(BeNil())
		served := b.wait(400 * time.Millisecond)
		Expect(served).To(HaveLen(1))
		Expect(served[0].Grant.GetTarget()).NotTo(Equal(first.GetTarget()))
	})
})

var _ = Describe("targets", func() {
	// Symptom: an engine that comes and goes takes chats each time. Cause: it is
	// used again at once and in full.
	It("that fail are suspended, longer each time, and return slowly", func() {
		b := newBook(table(2, model), 1, nil)
		b.follow(1)
		failing := uint64(100)
		fail := func() {
			for range 20 {
				id, g := b.ask(1, &peerv1.Ask{Team: hot, Priority: urgent})
				if g.GetTarget() == failing {
					b.release(id, peerv1.Outcome_OUTCOME_FAILED)
				} else {
					b.release(id, peerv1.Outcome_OUTCOME_DONE)
				}
			}
		}
		used := func() bool {
			for range 4 {
				id, g := b.ask(1, &peerv1.Ask{Team: hot, Priority: urgent})
				b.release(id, peerv1.Outcome_OUTCOME_UNUSED)
				if g.GetTarget() == failing {
					return true
				}
			}
			return false
		}
		fail()
		Expect(used()).To(BeFalse())
		b.wait(1100 * time.Millisecond)
		Expect(used()).To(BeTrue())
		fail()
		b.wait(1100 * time.Millisecond)
		Expect(used()).To(BeFalse(), "the second suspension is longer")
		b.wait(1100 * time.Millisecond)
		Expect(used()).To(BeTrue())
	})

	// Symptom: new work at a target that is to be switched off.
	It("that are leaving get no new work", func() {
		b := newBook(table(2, model), 1, nil)
		b.follow(1)
		t := table(2, model, 0)
		p, _ := t.Pool("p")
		b.SetPool(p, t)
		for range 10 {
			_, g := b.ask(1, &peerv1.Ask{Team: hot, Priority: urgent})
			Expect(g.GetTarget()).To(Equal(uint64(101)))
		}
	})

	It("that join take one request at first", func() {
		b := newBook(table(1, model), 1, nil)
		b.follow(1)
		b.fill(1, 10, hot)
		t := table(2, model)
		p, _ := t.Pool("p")
		b.SetPool(p, t)
		b.fill(1, 1, hot)
		Expect(b.Open(101)).To(Equal(1))
		_, g := b.ask(1, &peerv1.Ask{Team: hot, Priority: urgent})
		Expect(g.GetTarget()).NotTo(Equal(uint64(101)))
	})

	It("are all tried before an ask without any is refused", func() {
		b := newBook(table(2, model), 1, nil)
		b.follow(1)
		_, g := b.ask(1, &peerv1.Ask{Team: hot, Priority: urgent, Excluded: []uint64{100}})
		Expect(g.GetTarget()).To(Equal(uint64(101)))
	})
})
