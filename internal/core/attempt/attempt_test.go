package attempt_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/attempt"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

// book follows one request as the outside world sees it.
type book struct {
	m          *attempt.Machine
	idempotent bool
	attempt    int
	dispatched bool
	written    bool // the present attempt passed the point of no return
	answering  bool // the present attempt has answered in part
	mayHaveRun bool // some attempt did and no target took it back
	forwarded  []int
	finish     *attempt.Action
	broken     string
}

func newBook(idempotent bool) *book {
	return &book{idempotent: idempotent, m: attempt.New(attempt.Spec{Idempotent: idempotent, MaxAttempts: 4})}
}

// step hands an event to the machine and checks its action against the books.
func (b *book) step(ev attempt.Event) attempt.Action {
	if w, ok := ev.(attempt.WriteStarted); ok && b.dispatched && w.Attempt == b.attempt {
		b.written = true
	}
	if w, ok := ev.(attempt.TargetRefused); ok && b.dispatched && w.Attempt == b.attempt && !b.answering {
		b.written = false
	}
	a := b.m.Step(ev)
	switch a.Kind {
	case attempt.Dispatch:
		if b.mayHaveRun && !b.idempotent {
			b.broken = "a request that is not idempotent was sent again"
		}
		if a.Offset != len(b.forwarded) {
			b.broken = fmt.Sprintf("resumed at %d after %d parts", a.Offset, len(b.forwarded))
		}
		b.attempt, b.dispatched, b.written, b.answering = a.Attempt, true, false, false
	case attempt.Forward:
		if part, ok := ev.(attempt.Part); ok && part.Echo != b.attempt {
			b.broken = "a part of another attempt's answer was forwarded"
		}
		if a.Offset != len(b.forwarded) {
			b.broken = fmt.Sprintf("part %d forwarded after %d parts", a.Offset, len(b.forwarded))
		}
		b.forwarded = append(b.forwarded, a.Offset)
		b.written, b.answering = true, true
	case attempt.RequestTicket, attempt.Finish:
		b.mayHaveRun = b.mayHaveRun || b.written
		b.dispatched, b.written = false, false
	}
	if a.Kind == attempt.Finish {
		b.finished(a)
	}
	return a
}

func (b *book) finished(a attempt.Action) {
	if b.finish != nil {
		b.broken = "finished twice"
	}
	b.finish = &a
	ran := a.Code.Lookup().Execution
	if a.Code != code.OK && ran == code.NotExecuted && b.mayHaveRun {
		b.broken = fmt.Sprintf("said %d, not run, for a request that may have run", a.Code)
	}
}

// steps are the points at which a fault can strike, as the events that lead there.
var steps = []struct {
	name   string
	events func() []attempt.Event
}{
	{"waiting for a ticket", func() []attempt.Event { return nil }},
	{"dispatched", func() []attempt.Event { return []attempt.Event{attempt.TicketGranted{Target: 1}} }},
	{"sent", func() []attempt.Event {
		return []attempt.Event{attempt.TicketGranted{Target: 1}, attempt.WriteStarted{Attempt: 1}}
	}},
	{"answering", func() []attempt.Event {
		return []attempt.Event{
			attempt.TicketGranted{Target: 1}, attempt.WriteStarted{Attempt: 1},
			attempt.Part{Attempt: 1, Echo: 1, Offset: 0}, attempt.Part{Attempt: 1, Echo: 1, Offset: 1},
		}
	}},
	{"second attempt sent", func() []attempt.Event {
		return []attempt.Event{
			attempt.TicketGranted{Target: 1}, attempt.NotSent{Attempt: 1},
			attempt.TicketGranted{Target: 2}, attempt.WriteStarted{Attempt: 2},
		}
	}},
}

// faults are what can strike, as events for the attempt that is under way.
var faults = []struct {
	name  string
	event func(n int) attempt.Event
}{
	{"target killed before a byte was written", func(n int) attempt.Event { return attempt.NotSent{Attempt: n} }},
	{"connection cut", func(n int) attempt.Event { return attempt.ConnectionFailed{Attempt: n} }},
	{"silence", func(n int) attempt.Event { return attempt.ConnectionFailed{Attempt: n} }},
	{"late answer of an earlier attempt", func(n int) attempt.Event { return attempt.Part{Attempt: n - 1, Echo: n - 1} }},
	{"late end of an earlier attempt", func(n int) attempt.Event { return attempt.End{Attempt: n - 1, Echo: n - 1} }},
	{"crossed answer", func(n int) attempt.Event { return attempt.Part{Attempt: n, Echo: -1} }},
	{"crossed end", func(n int) attempt.Event { return attempt.End{Attempt: n, Echo: -1, Total: 2} }},
	{"duplicate part", func(n int) attempt.Event { return attempt.Part{Attempt: n, Echo: n, Offset: 0} }},
	{"gap in the parts", func(n int) attempt.Event { return attempt.Part{Attempt: n, Echo: n, Offset: 7} }},
	{"end before the last part", func(n int) attempt.Event { return attempt.End{Attempt: n, Echo: n, Total: 9} }},
	{"target turns the request away", func(n int) attempt.Event { return attempt.TargetRefused{Attempt: n} }},
	{"no ticket", func(int) attempt.Event { return attempt.TicketRefused{Code: code.QueueFull} }},
	{"router stale", func(int) attempt.Event { return attempt.TicketRefused{Code: code.StaleConfig} }},
	{"retry budget spent", func(int) attempt.Event { return attempt.TicketRefused{Code: code.RetryBudget} }},
	{"deadline", func(int) attempt.Event { return attempt.DeadlinePassed{} }},
	{"caller gone", func(int) attempt.Event { return attempt.CallerDisconnected{} }},
}

// answer carries a request to a whole answer of four parts if it is still open.
func (b *book) answer() {
	for b.finish == nil && b.attempt < 4 {
		if b.m.State() == attempt.Waiting {
			b.step(attempt.TicketGranted{Target: 9})
		}
		n := b.attempt
		b.step(attempt.WriteStarted{Attempt: n})
		for i := len(b.forwarded); i < 4; i++ {
			b.step(attempt.Part{Attempt: n, Echo: n, Offset: i})
		}
		b.step(attempt.End{Attempt: n, Echo: n, Total: 4})
	}
}

var _ = Describe("fault matrix of a request", func() {
	// Every fault at every step, for requests that are idempotent and that are not.
	// Symptoms: an answer cut, crossed or doubled; a notice sent twice; "not run"
	// for a notice that was sent. The table is made of the two lists, so no cell is
	// left out unseen.
	for _, idempotent := range []bool{true, false} {
		for _, step := range steps {
			for _, fault := range faults {
				It(fmt.Sprintf("%s, %s, idempotent=%t", step.name, fault.name, idempotent), func() {
					b := newBook(idempotent)
					for _, ev := range step.events() {
						b.step(ev)
					}
					b.step(fault.event(b.attempt))
					b.answer()
					Expect(b.broken).To(BeEmpty())
					Expect(b.finish).NotTo(BeNil(), "the request has an answer")
					if b.finish.Code == code.OK {
						Expect(b.forwarded).To(Equal([]int{0, 1, 2, 3}))
					}
				})
			}
		}
	}
})

var _ = Describe("a request", func() {
	It("keeps its promises in any sequence of events", func() {
		testkit.Check("2000", func(t *rapid.T) {
			b := newBook(rapid.Bool().Draw(t, "idempotent"))
			for range 25 {
				n := b.attempt - rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "age")
				echo := n - rapid.SampledFrom([]int{0, 0, 0, 0, 1}).Draw(t, "echo")
				ev := rapid.SampledFrom([]attempt.Event{
					attempt.TicketGranted{Target: rapid.Uint64Range(1, 5).Draw(t, "target")},
					attempt.TicketRefused{Code: code.QueueFull}, attempt.NotSent{Attempt: n}, attempt.WriteStarted{Attempt: n},
					attempt.TargetRefused{Attempt: n}, attempt.ConnectionFailed{Attempt: n},
					attempt.Part{Attempt: n, Echo: echo, Offset: rapid.IntRange(0, 4).Draw(t, "offset")},
					attempt.End{Attempt: n, Echo: echo, Total: rapid.IntRange(0, 4).Draw(t, "total")},
					attempt.DeadlinePassed{}, attempt.CallerDisconnected{},
				}).Draw(t, "event")
				if _, ok := ev.(attempt.NotSent); ok && b.written {
					continue // the adapter sends it only before Wrote
				}
				b.step(ev)
				if b.broken != "" {
					t.Fatal(b.broken)
				}
			}
		})
	})

	// Symptom: the caller repeats a recall notice that was sent. Sequence: the
	// notice is written, the connection breaks, and no other target is free.
	// Cause: the refusal of the second ticket is passed on as "not run".
	It("that may have run is never reported as not run", func() {
		b := newBook(true)
		b.step(attempt.TicketGranted{Target: 1})
		b.step(attempt.WriteStarted{Attempt: 1})
		b.step(attempt.ConnectionFailed{Attempt: 1})
		a := b.step(attempt.TicketRefused{Code: code.QueueFull})
		Expect(a.Code).To(Equal(code.AttemptsSpent))
	})

	It("that a target turned away may go elsewhere even if it is not idempotent", func() {
		b := newBook(false)
		b.step(attempt.TicketGranted{Target: 1})
		b.step(attempt.WriteStarted{Attempt: 1})
		Expect(b.step(attempt.TargetRefused{Attempt: 1}).Kind).To(Equal(attempt.RequestTicket))
		Expect(b.step(attempt.TicketRefused{Code: code.QueueFull}).Code).To(Equal(code.QueueFull))
	})
})
