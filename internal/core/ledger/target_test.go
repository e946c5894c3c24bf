package ledger_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
)

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
		Expect(b.TicketCount(101)).To(Equal(1))
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
