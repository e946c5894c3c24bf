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

// observer follows one request as its caller and the targets see it.
type observer struct {
	m               *attempt.Machine
	idempotent      bool
	attempt         int
	dispatched      bool
	written         bool // the current attempt is past its point of no return
	answering       bool // the current attempt has a partial answer
	mayHaveExecuted bool // an attempt passed that point, and its target did not refuse it
	forwarded       []int
	finish          *attempt.Action
	violation       string
}

func newObserver(idempotent bool) *observer {
	return &observer{idempotent: idempotent, m: attempt.New(attempt.Spec{Idempotent: idempotent, MaxAttempts: 4})}
}

// step passes an event to the machine and checks its action.
func (o *observer) step(ev attempt.Event) attempt.Action {
	if w, ok := ev.(attempt.WriteStarted); ok && o.dispatched && w.Attempt == o.attempt {
		o.written = true
	}
	if w, ok := ev.(attempt.TargetRefused); ok && o.dispatched && w.Attempt == o.attempt && !o.answering {
		o.written = false
	}
	if w, ok := ev.(attempt.NotForwarded); ok && o.dispatched && w.Attempt == o.attempt && !o.answering {
		o.written = false
	}
	a := o.m.Step(ev)
	switch a.Kind {
	case attempt.Dispatch:
		if o.mayHaveExecuted && !o.idempotent {
			o.violation = "a request that is not idempotent was sent again"
		}
		if a.Offset != len(o.forwarded) {
			o.violation = fmt.Sprintf("resumed at %d after %d parts", a.Offset, len(o.forwarded))
		}
		o.attempt, o.dispatched, o.written, o.answering = a.Attempt, true, false, false
	case attempt.Forward:
		if part, ok := ev.(attempt.Part); ok && part.Echo != o.attempt {
			o.violation = "a part of another attempt's answer was forwarded"
		}
		if a.Offset != len(o.forwarded) {
			o.violation = fmt.Sprintf("part %d forwarded after %d parts", a.Offset, len(o.forwarded))
		}
		o.forwarded = append(o.forwarded, a.Offset)
		o.written, o.answering = true, true
	case attempt.RequestTicket, attempt.Finish:
		o.mayHaveExecuted = o.mayHaveExecuted || o.written
		o.dispatched, o.written = false, false
	}
	if a.Kind == attempt.Finish {
		o.checkFinish(a)
	}
	return a
}

func (o *observer) checkFinish(a attempt.Action) {
	if o.finish != nil {
		o.violation = "finished twice"
	}
	o.finish = &a
	execution := a.Code.Lookup().Execution
	if a.Code != code.OK && execution == code.NotExecuted && o.mayHaveExecuted {
		o.violation = fmt.Sprintf("code %d promises not executed for a request that may have been executed", a.Code)
	}
}

// states are the states of a request in which a fault can occur, as the events that lead there.
var states = []struct {
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

// faults are the possible faults, as events of the current attempt.
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
	{"target refuses the request", func(n int) attempt.Event { return attempt.TargetRefused{Attempt: n} }},
	{"no router forwards the request", func(n int) attempt.Event { return attempt.NotForwarded{Attempt: n} }},
	{"no ticket", func(int) attempt.Event { return attempt.TicketRefused{Code: code.QueueFull} }},
	{"router stale", func(int) attempt.Event { return attempt.TicketRefused{Code: code.StaleConfig} }},
	{"retry budget spent", func(int) attempt.Event { return attempt.TicketRefused{Code: code.RetryBudget} }},
	{"deadline", func(int) attempt.Event { return attempt.DeadlinePassed{} }},
	{"caller disconnected", func(int) attempt.Event { return attempt.CallerDisconnected{} }},
	{"router stopping", func(int) attempt.Event { return attempt.RouterStopping{} }},
}

// complete leads an unfinished request to a whole answer of four parts.
func (o *observer) complete() {
	for o.finish == nil && o.attempt < 4 {
		if o.m.State() == attempt.Waiting {
			o.step(attempt.TicketGranted{Target: 9})
		}
		n := o.attempt
		o.step(attempt.WriteStarted{Attempt: n})
		for i := len(o.forwarded); i < 4; i++ {
			o.step(attempt.Part{Attempt: n, Echo: n, Offset: i})
		}
		o.step(attempt.End{Attempt: n, Echo: n, Total: 4})
	}
}

var _ = Describe("fault matrix of a request", func() {
	// Every fault in every state, for requests that are idempotent and that are not. Guards against
	// answers that are cut, crossed or forwarded twice, against a request that is executed twice,
	// and against "not executed" for a request that was sent. The table is the product of both
	// lists.
	for _, idempotent := range []bool{true, false} {
		for _, state := range states {
			for _, fault := range faults {
				It(fmt.Sprintf("%s, %s, idempotent=%t", state.name, fault.name, idempotent), func() {
					o := newObserver(idempotent)
					for _, ev := range state.events() {
						o.step(ev)
					}
					o.step(fault.event(o.attempt))
					o.complete()
					Expect(o.violation).To(BeEmpty())
					Expect(o.finish).NotTo(BeNil(), "the request has an answer")
					if o.finish.Code == code.OK {
						Expect(o.forwarded).To(Equal([]int{0, 1, 2, 3}))
					}
				})
			}
		}
	}
})

var _ = Describe("a request", func() {
	It("is answered consistently after any sequence of events", func() {
		testkit.Check("2000", func(t *rapid.T) {
			o := newObserver(rapid.Bool().Draw(t, "idempotent"))
			for range 25 {
				n := o.attempt - rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "age")
				echo := n - rapid.SampledFrom([]int{0, 0, 0, 0, 1}).Draw(t, "echo")
				ev := rapid.SampledFrom([]attempt.Event{
					attempt.TicketGranted{Target: rapid.Uint64Range(1, 5).Draw(t, "target")},
					attempt.TicketRefused{Code: code.QueueFull}, attempt.NotSent{Attempt: n}, attempt.WriteStarted{Attempt: n},
					attempt.TargetRefused{Attempt: n}, attempt.ConnectionFailed{Attempt: n}, attempt.NotForwarded{Attempt: n},
					attempt.Part{Attempt: n, Echo: echo, Offset: rapid.IntRange(0, 4).Draw(t, "offset")},
					attempt.End{Attempt: n, Echo: echo, Total: rapid.IntRange(0, 4).Draw(t, "total")},
					attempt.DeadlinePassed{}, attempt.CallerDisconnected{}, attempt.RouterStopping{},
				}).Draw(t, "event")
				if _, ok := ev.(attempt.NotSent); ok && o.written {
					continue // the adapter sends NotSent only before WriteStarted
				}
				o.step(ev)
				if o.violation != "" {
					t.Fatal(o.violation)
				}
			}
		})
	})

	// Guards against callers that repeat a request which a target may have executed. The request is
	// written, the connection fails, no other target is free, and the code of the refused second
	// ticket guarantees that no target has executed the request.
	It("that may have been executed is never reported as not executed", func() {
		o := newObserver(true)
		o.step(attempt.TicketGranted{Target: 1})
		o.step(attempt.WriteStarted{Attempt: 1})
		o.step(attempt.ConnectionFailed{Attempt: 1})
		a := o.step(attempt.TicketRefused{Code: code.QueueFull})
		Expect(a.Code).To(Equal(code.AttemptsSpent))
	})

	It("that a target refused may go to another target even if it is not idempotent", func() {
		o := newObserver(false)
		o.step(attempt.TicketGranted{Target: 1})
		o.step(attempt.WriteStarted{Attempt: 1})
		Expect(o.step(attempt.TargetRefused{Attempt: 1}).Kind).To(Equal(attempt.RequestTicket))
		Expect(o.step(attempt.TicketRefused{Code: code.QueueFull}).Code).To(Equal(code.QueueFull))
	})

	// Guards against a budget that is used up by attempts which no target has seen.
	It("has arrived only once a byte may have reached a target", func() {
		o := newObserver(false)
		o.step(attempt.TicketGranted{Target: 1})
		o.step(attempt.NotSent{Attempt: 1})
		o.step(attempt.TicketGranted{Target: 2})
		o.step(attempt.WriteStarted{Attempt: 2})
		o.step(attempt.NotForwarded{Attempt: 2})
		Expect(o.m.HasArrived()).To(BeFalse())
		o.step(attempt.TicketGranted{Target: 3})
		o.step(attempt.WriteStarted{Attempt: 3})
		o.step(attempt.TargetRefused{Attempt: 3})
		Expect(o.m.HasArrived()).To(BeTrue(), "the target has seen it, although it did not execute it")
	})
})
