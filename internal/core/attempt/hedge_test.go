package attempt_test

import (
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/attempt"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

// hedgedRequest follows a request whose targets may be silent, with all its open attempts.
type hedgedRequest struct {
	m           *attempt.Machine
	maxAttempts int
	open        []int // numbers of the open attempts
	written     map[int]bool
	parts       int
	waiting     bool // a ticket is requested, and no attempt is open
	asked       int
	finished    bool
}

func newHedgedRequest(idempotent bool, maxAttempts int) *hedgedRequest {
	return &hedgedRequest{
		m: attempt.New(attempt.Spec{Idempotent: idempotent, MaxAttempts: maxAttempts}), maxAttempts: maxAttempts,
		written: make(map[int]bool), waiting: true,
	}
}

func (h *hedgedRequest) remove(number int) {
	h.open = slices.DeleteFunc(h.open, func(n int) bool { return n == number })
}

// step passes an event of an attempt to the machine. It returns what went wrong, or an empty string.
func (h *hedgedRequest) step(ev attempt.Event, of int) string {
	openBefore := len(h.open)
	a := h.m.Step(ev)
	if a.Abandon != 0 {
		if !slices.Contains(h.open, a.Abandon) {
			return "an attempt that is not open was abandoned"
		}
		h.remove(a.Abandon)
	}
	switch ev.(type) {
	case attempt.ConnectionFailed, attempt.NotSent, attempt.TargetRefused, attempt.NotForwarded:
		h.remove(of)
	case attempt.WriteStarted:
		h.written[of] = true
	}
	switch a.Kind {
	case attempt.Dispatch:
		if h.open = append(h.open, a.Attempt); len(h.open) > 2 {
			return "more than two attempts are open"
		}
		if a.Attempt > h.maxAttempts {
			return "more attempts than the route allows"
		}
		h.waiting, h.asked = false, 0
	case attempt.Forward:
		if !slices.Equal(h.open, []int{of}) {
			return "a part was forwarded while another attempt was open, or of an attempt that was not"
		}
		if a.Offset != h.parts {
			return "parts are forwarded twice or out of order"
		}
		h.parts++
		h.asked = 0
	case attempt.RequestTicket:
		if _, silent := ev.(attempt.Silent); silent {
			h.asked = of
			break
		}
		if len(h.open) > 0 {
			return "a ticket was requested although another attempt is open"
		}
		h.waiting, h.asked = true, 0
	case attempt.Finish:
		if _, stopping := ev.(attempt.RouterStopping); !stopping && a.Code != code.OK && a.Code != code.DeadlinePassed && a.Code != code.CallerGone && a.Code != code.OutcomeUnknown && len(h.open) > 0 {
			return "the request was given up although another attempt is open"
		}
		h.finished = true
	case attempt.None:
		if openBefore > 0 && len(h.open) == 0 && !h.waiting {
			return "no attempt is open, and none was requested"
		}
	}
	for _, n := range h.open {
		if !h.finished && !h.m.IsOpen(n) {
			return "an open attempt is not known"
		}
	}
	return ""
}

var _ = Describe("a request whose target is silent", func() {
	sent := func(maxAttempts int) *hedgedRequest {
		h := newHedgedRequest(true, maxAttempts)
		Expect(h.step(attempt.TicketGranted{Target: 1}, 0)).To(BeEmpty())
		Expect(h.step(attempt.WriteStarted{Attempt: 1}, 1)).To(BeEmpty())
		return h
	}
	hedged := func() *hedgedRequest {
		h := sent(2)
		Expect(h.m.Step(attempt.Silent{Attempt: 1}).Kind).To(Equal(attempt.RequestTicket))
		Expect(h.m.Excluded()).To(Equal([]uint64{1}))
		Expect(h.step(attempt.HedgeGranted{Attempt: 1, Target: 2}, 1)).To(BeEmpty())
		Expect(h.step(attempt.WriteStarted{Attempt: 2}, 2)).To(BeEmpty())
		return h
	}

	It("keeps its attempt if no second one is granted", func() {
		h := sent(2)
		h.m.Step(attempt.Silent{Attempt: 1})
		Expect(h.m.Step(attempt.HedgeRefused{Attempt: 1}).Kind).To(Equal(attempt.None))
		Expect(h.m.Step(attempt.Part{Attempt: 1, Echo: 1}).Kind).To(Equal(attempt.Forward))
		Expect(h.m.Step(attempt.End{Attempt: 1, Echo: 1, Total: 1}).Code).To(Equal(code.OK))
	})

	It("goes on at the first target that speaks, and abandons the other", func() {
		h := hedged()
		Expect(h.m.Step(attempt.Part{Attempt: 1, Echo: 1})).To(Equal(attempt.Action{Kind: attempt.Forward, Abandon: 2}))
		Expect(h.m.Step(attempt.Part{Attempt: 2, Echo: 2}).Kind).To(Equal(attempt.None))
		h = hedged()
		Expect(h.m.Step(attempt.Part{Attempt: 2, Echo: 2})).To(Equal(attempt.Action{Kind: attempt.Forward, Abandon: 1}))
		Expect(h.m.Step(attempt.Part{Attempt: 1, Echo: 1}).Kind).To(Equal(attempt.None))
	})

	It("waits for the silent target if the second one fails", func() {
		h := hedged()
		Expect(h.step(attempt.ConnectionFailed{Attempt: 2}, 2)).To(BeEmpty())
		Expect(h.m.Step(attempt.Part{Attempt: 1, Echo: 1}).Kind).To(Equal(attempt.Forward))
	})

	It("is not sent to more targets than its route allows", func() {
		Expect(sent(1).m.Step(attempt.Silent{Attempt: 1}).Kind).To(Equal(attempt.None))
	})

	It("is not sent again if it is not idempotent", func() {
		m := attempt.New(attempt.Spec{MaxAttempts: 3})
		m.Step(attempt.TicketGranted{Target: 1})
		m.Step(attempt.WriteStarted{Attempt: 1})
		Expect(m.Step(attempt.Silent{Attempt: 1}).Kind).To(Equal(attempt.None))
	})

	It("gives the silent attempt up when two targets have worked on it for too long", func() {
		h := hedged()
		Expect(h.m.Step(attempt.OverlapEnded{Attempt: 2})).To(Equal(attempt.Action{Abandon: 1}))
		Expect(h.m.Step(attempt.ConnectionFailed{Attempt: 1}).Kind).To(Equal(attempt.None))
		Expect(h.m.Step(attempt.Part{Attempt: 2, Echo: 2}).Kind).To(Equal(attempt.Forward))
	})

	It("is never reported as not executed after a second target refused it", func() {
		h := hedged()
		Expect(h.step(attempt.TargetRefused{Attempt: 2}, 2)).To(BeEmpty())
		Expect(h.m.Step(attempt.DeadlinePassed{}).Code).To(Equal(code.DeadlinePassed))
	})

	It("has one attempt that answers, and always one that is open, after any sequence of events", func() {
		testkit.Check("4000", func(t *rapid.T) {
			h := newHedgedRequest(rapid.IntRange(0, 3).Draw(t, "idempotent") > 0, rapid.IntRange(1, 4).Draw(t, "attempts"))
			for _, ev := range []attempt.Event{
				attempt.TicketGranted{Target: 1}, attempt.WriteStarted{Attempt: 1}, attempt.Silent{Attempt: 1},
				attempt.HedgeGranted{Attempt: 1, Target: 2}, attempt.WriteStarted{Attempt: 2},
			}[:rapid.IntRange(0, 5).Draw(t, "begun")] {
				h.step(ev, min(len(h.open)+1, 2))
			}
			for range 40 {
				if h.finished {
					return
				}
				n := rapid.IntRange(1, 4).Draw(t, "attempt")
				if len(h.open) > 0 && rapid.IntRange(0, 3).Draw(t, "known") > 0 {
					n = rapid.SampledFrom(h.open).Draw(t, "open")
				}
				open := slices.Contains(h.open, n)
				ev := rapid.SampledFrom([]attempt.Event{
					attempt.TicketGranted{Target: uint64(n)}, attempt.WriteStarted{Attempt: n}, attempt.Silent{Attempt: n},
					attempt.HedgeGranted{Attempt: n, Target: uint64(n)}, attempt.HedgeRefused{Attempt: n}, attempt.OverlapEnded{Attempt: n},
					attempt.Part{Attempt: n, Echo: n, Offset: h.parts}, attempt.End{Attempt: n, Echo: n, Total: h.parts},
					attempt.ConnectionFailed{Attempt: n}, attempt.NotSent{Attempt: n}, attempt.TargetRefused{Attempt: n}, attempt.NotForwarded{Attempt: n},
					attempt.DeadlinePassed{}, attempt.CallerDisconnected{}, attempt.RouterStopping{},
				}).Draw(t, "event")
				switch ev.(type) {
				case attempt.NotSent:
					if h.written[n] {
						continue // the adapter sends NotSent only before WriteStarted
					}
				case attempt.Part, attempt.End, attempt.ConnectionFailed:
					if open && !h.written[n] {
						continue // no answer before the request was written
					}
				}
				if wrong := h.step(ev, n); wrong != "" {
					t.Fatalf("%T of %d: %s", ev, n, wrong)
				}
			}
		})
	})
})
