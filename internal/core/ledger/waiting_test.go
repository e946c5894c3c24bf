package ledger_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
)

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
		for b.TicketCount(first.GetTarget()) < 1 {
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
