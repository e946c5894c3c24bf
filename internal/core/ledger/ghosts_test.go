package ledger_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
)

var _ = Describe("departed routers", func() {
	fullOfGhosts := func() *book {
		b := newBook(table(1, capOfFour), 2, nil)
		b.follow(1, 2)
		b.fill(1, 3, hot)
		b.RemoveFollower(b.now, 1, false)
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
		b.ApplyLoadReport(100, 3, b.now)
		b.wait(6 * time.Second)
		Expect(b.TicketCount(100)).To(Equal(3))
		b.ApplyLoadReport(100, 1, b.now)
		Expect(b.TicketCount(100)).To(Equal(1))
	})

	// Symptom: ghosts vanish although their requests run. Sequence: a report comes
	// right after a grant whose request has not arrived. Cause: it fills the gap.
	It("are not settled by a report right after a grant", func() {
		b := newBook(table(1, `{"protocol":"model","boundMultiple":10,"maxPerTarget":20}`), 2, nil)
		b.follow(1, 2)
		b.fill(1, 3, hot)
		b.RemoveFollower(b.now, 1, false)
		b.now = b.now.Add(time.Second)
		b.fill(2, 1, hot)
		b.ApplyLoadReport(100, 3, b.now.Add(10*time.Millisecond))
		Expect(b.TicketCount(100)).To(Equal(4))
	})

	// Symptom: places are lost for seconds after a false alarm. Sequence: a router
	// is suspected, then goes on. Cause: its tickets count as ghosts and as tickets.
	It("that return take their ghosts back", func() {
		b := fullOfGhosts()
		b.send(1, &peerv1.ExchangeRequest{HasInventory: true, Inventory: []*peerv1.OpenTicket{{Id: 1, Target: 100, Team: hot}}})
		Expect(b.TicketCount(100)).To(Equal(1))
	})
})
