package ledger_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
)

var _ = Describe("the tickets of a departed router", func() {
	fullOfOrphans := func() *testLedger {
		b := newTestLedger(newTable(1, poolCapOfFour), 2, nil)
		b.addFollowers(1, 2)
		b.fillSlots(1, 3, busyTeam)
		b.RemoveFollower(b.now, 1, false)
		return b
	}

	// Guards against overloading a target after a router went silent: the router is only stalled
	// and its requests still run, but their slots are granted again.
	It("hold their slots until a timeout", func() {
		b := fullOfOrphans()
		_, g := b.requestTicket(2, &peerv1.Ask{Team: busyTeam, Priority: normal})
		Expect(g).To(BeNil())
		Expect(b.advance(6 * time.Second)).To(HaveLen(1))
	})

	// Guards against the same overload when the requests of the silent router are long: the
	// timeout must not remove orphans that the target still reports.
	It("hold their slots for as long as the target reports the requests", func() {
		b := fullOfOrphans()
		b.now = b.now.Add(time.Second)
		b.ApplyLoadReport(100, 3, b.now)
		b.advance(6 * time.Second)
		Expect(b.TicketCount(100)).To(Equal(3))
		b.ApplyLoadReport(100, 1, b.now)
		Expect(b.TicketCount(100)).To(Equal(1))
	})

	// Guards against removing orphans whose requests still run: a request granted just before a
	// load report is not included in it yet, so the report must not be compared with all
	// tickets.
	It("are not removed by a load report right after a grant", func() {
		b := newTestLedger(newTable(1, `{"protocol":"model","boundMultiple":10,"maxPerTarget":20}`), 2, nil)
		b.addFollowers(1, 2)
		b.fillSlots(1, 3, busyTeam)
		b.RemoveFollower(b.now, 1, false)
		b.now = b.now.Add(time.Second)
		b.fillSlots(2, 1, busyTeam)
		b.ApplyLoadReport(100, 3, b.now.Add(10*time.Millisecond))
		Expect(b.TicketCount(100)).To(Equal(4))
	})

	// Guards against losing slots for seconds after a false suspicion: a suspected router
	// returns, and its tickets would count both as orphans and as tickets.
	It("belong to the router again if it returns", func() {
		b := fullOfOrphans()
		b.sendExchange(1, &peerv1.ExchangeRequest{HasInventory: true, Inventory: []*peerv1.OpenTicket{{Id: 1, Target: 100, Team: busyTeam}}})
		Expect(b.TicketCount(100)).To(Equal(1))
	})
})
