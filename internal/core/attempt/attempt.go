// Package attempt is the state machine of one request and its attempts at targets. An attempt
// passes its point of no return when the first byte of the request may have reached a target. From
// then on the request is never reported as not executed, and it is never sent again unless it is
// idempotent.
package attempt

import "github.com/hemlockdyke/hemlockdyke/internal/core/code"

// State is the state of a request.
type State int

// The states.
const (
	Waiting    State = iota // waits for a ticket
	Dispatched              // handed to a connection, nothing written yet
	Sent                    // the attempt is past its point of no return
	Answering               // a part of the answer has been forwarded
	Finished
)

// Spec describes a request to the machine.
type Spec struct {
	// Idempotent is true if the request may be sent again after a failure.
	Idempotent bool
	// MaxAttempts bounds the number of targets tried.
	MaxAttempts int
	// MaxNotExecuted is the largest number of attempts that don't count towards MaxAttempts, as no
	// target executed them: a request that a target refused may go to another one.
	MaxNotExecuted int
}

// Event is an input of the machine.
type Event interface{ isEvent() }

// Events of the ticket.
type (
	// TicketGranted means that the owner granted a ticket for a target.
	TicketGranted struct{ Target uint64 }
	// TicketRefused means that there will be no ticket; Code is the reason.
	TicketRefused struct{ Code code.Code }
)

// Events of an attempt. Each has the number of its attempt. An event of an earlier attempt, such as
// an answer that arrives late, has no effect.
type (
	// NotSent means that the attempt ended before any byte was written.
	NotSent struct{ Attempt int }
	// WriteStarted means that the first byte may have been written.
	WriteStarted struct{ Attempt int }
	// NotForwarded means that the router which was to send the attempt guarantees that it wrote no
	// byte.
	NotForwarded struct{ Attempt int }
	// TargetRefused means that the target guarantees that it did not execute the request.
	TargetRefused struct{ Attempt int }
	// Part means that a part of the answer arrived. Echo is the number of the attempt in the
	// answer.
	Part struct {
		Attempt int
		Echo    int
		Offset  int
	}
	// End means that the end marker arrived after Total parts.
	End struct {
		Attempt int
		Echo    int
		Total   int
	}
	// ConnectionFailed means that the connection failed or went silent after WriteStarted.
	ConnectionFailed struct{ Attempt int }
)

// Events of a hedge: an attempt beside one whose target is silent. The first of the two that sends a part
// goes on, the other is abandoned.
type (
	// Silent means that the target of the attempt has sent nothing for too long. The attempt stays open.
	Silent struct{ Attempt int }
	// HedgeGranted means that a ticket was granted for an attempt at Target beside the silent Attempt.
	HedgeGranted struct {
		Attempt int
		Target  uint64
	}
	// HedgeRefused means that there will be no ticket; the silent Attempt goes on alone.
	HedgeRefused struct{ Attempt int }
	// OverlapEnded means that the silent attempt before Attempt must not stay open any longer.
	OverlapEnded struct{ Attempt int }
)

// Events of the caller.
type (
	// DeadlinePassed means that the request's deadline has passed.
	DeadlinePassed struct{}
	// CallerDisconnected means that the caller closed its connection.
	CallerDisconnected struct{}
	// RouterStopping means that this router ends soon, and that the request must be answered now.
	RouterStopping struct{}
)

func (TicketGranted) isEvent()      {}
func (TicketRefused) isEvent()      {}
func (Silent) isEvent()             {}
func (HedgeGranted) isEvent()       {}
func (HedgeRefused) isEvent()       {}
func (OverlapEnded) isEvent()       {}
func (NotSent) isEvent()            {}
func (WriteStarted) isEvent()       {}
func (NotForwarded) isEvent()       {}
func (TargetRefused) isEvent()      {}
func (Part) isEvent()               {}
func (End) isEvent()                {}
func (ConnectionFailed) isEvent()   {}
func (DeadlinePassed) isEvent()     {}
func (CallerDisconnected) isEvent() {}
func (RouterStopping) isEvent()     {}

// ActionKind is the kind of an Action.
type ActionKind int

// The actions.
const (
	// None means that there is nothing to do.
	None ActionKind = iota
	// Dispatch sends the request to Target. The answer resumes at Offset.
	Dispatch
	// Forward passes the part on to the caller.
	Forward
	// RequestTicket gives the ticket back and requests another one, for a target not in Excluded.
	RequestTicket
	// Finish answers the caller with Code and gives the ticket back.
	Finish
)

// Action is what the caller of Step must do after an event.
type Action struct {
	Kind    ActionKind
	Target  uint64
	Attempt int
	Offset  int
	Code    code.Code
	// Abandon is the number of an attempt that must be cancelled, as another one goes on in its place; 0 if
	// there is none.
	Abandon int
	// TargetFailed is true if the attempt that ended counts as a failure of its target.
	TargetFailed bool
	// CloseConnection is true if the attempt's connection must not be used again.
	CloseConnection bool
}

// Machine is the state machine of one request. It is not safe for concurrent use.
type Machine struct {
	spec                Spec
	state               State
	attempt             int // number of dispatches
	current             int // number of the current attempt
	target              uint64
	offset              int
	notExecuted         int  // number of attempts that no target executed
	arrivals            int  // number of attempts that may have reached a target, executed or not
	earlierPastNoReturn bool // an earlier attempt may have been executed
	pastNoReturn        bool // the current attempt is past its point of no return
	excluded            []uint64
	hedge               hedge
}

// New returns a Machine that waits for its first ticket.
func New(spec Spec) *Machine { return &Machine{spec: spec} }

// State returns the state of the request.
func (m *Machine) State() State { return m.state }

// Attempts returns the number of dispatches.
func (m *Machine) Attempts() int { return m.attempt }

// Excluded returns the targets of the attempts that failed, were refused or are silent.
func (m *Machine) Excluded() []uint64 {
	if m.hedge.requested {
		return append(m.excluded[:len(m.excluded):len(m.excluded)], m.target)
	}
	return m.excluded
}

// MayHaveExecuted reports whether a target may have executed the request.
func (m *Machine) MayHaveExecuted() bool {
	return m.earlierPastNoReturn || m.pastNoReturn || m.hedge.silent.pastNoReturn
}

// HasArrived reports whether an attempt may have reached a target, even one that refused it. Until
// then another attempt is no retry for the targets.
func (m *Machine) HasArrived() bool { return m.arrivals > 0 }

// Step handles one event and returns the action that follows.
func (m *Machine) Step(ev Event) Action {
	if m.state == Finished {
		return Action{}
	}
	if a, handled := m.stepHedge(ev); handled {
		return a
	}
	switch ev := ev.(type) {
	case TicketGranted:
		return m.dispatch(ev)
	case TicketRefused:
		return m.finish(m.finalCode(ev.Code))
	case DeadlinePassed:
		return m.deadlinePassed()
	case CallerDisconnected:
		return m.finish(code.CallerGone)
	case RouterStopping:
		return m.routerStopping()
	case NotSent:
		return m.forCurrentAttempt(ev.Attempt, m.notSent)
	case WriteStarted:
		return m.forCurrentAttempt(ev.Attempt, m.writeStarted)
	case NotForwarded:
		return m.forCurrentAttempt(ev.Attempt, m.notForwarded)
	case TargetRefused:
		return m.forCurrentAttempt(ev.Attempt, m.targetRefused)
	case Part:
		return m.forCurrentAttempt(ev.Attempt, func() Action { return m.receivePart(ev) })
	case End:
		return m.forCurrentAttempt(ev.Attempt, func() Action { return m.receiveEnd(ev) })
	case ConnectionFailed:
		return m.forCurrentAttempt(ev.Attempt, func() Action { return m.failAttempt(m.failureCode()) })
	}
	return Action{}
}

func (m *Machine) forCurrentAttempt(attempt int, handle func() Action) Action {
	if attempt != m.current || m.state == Waiting {
		return Action{}
	}
	return handle()
}

func (m *Machine) dispatch(ev TicketGranted) Action {
	if m.state != Waiting {
		return Action{}
	}
	return m.dispatchTo(ev.Target)
}

func (m *Machine) dispatchTo(target uint64) Action {
	m.state = Dispatched
	m.attempt++
	m.current = m.attempt
	m.target = target
	return Action{Kind: Dispatch, Target: target, Attempt: m.attempt, Offset: m.offset}
}

func (m *Machine) writeStarted() Action {
	m.pastNoReturn = true
	if m.state == Dispatched {
		m.state = Sent
		m.arrivals++
	}
	return Action{}
}

// notSent handles an attempt that can't have reached its target, so that any request may go to
// another one. If a byte was written all the same, the attempt counts as failed.
func (m *Machine) notSent() Action {
	if m.state != Dispatched {
		return m.failAttempt(m.failureCode())
	}
	return m.retryOrFinish(code.NoTarget, true)
}

// notForwarded undoes the point of no return, which the attempt passed when it was handed to another
// router.
func (m *Machine) notForwarded() Action {
	if m.state == Answering {
		return m.failAttempt(m.failureCode())
	}
	if m.state == Sent {
		m.arrivals--
	}
	m.pastNoReturn = false
	return m.retryOrFinish(code.NoTarget, false)
}

// targetRefused handles a target's guarantee that it did not execute the request. The guarantee
// undoes the current attempt's point of no return, but not that of earlier attempts.
func (m *Machine) targetRefused() Action {
	if m.state == Answering {
		return m.failAttempt(m.failureCode())
	}
	m.pastNoReturn = false
	return m.retryOrFinish(code.TargetRefused, false)
}

// receivePart forwards each part once and in order. An answer to another attempt shows that answers
// are crossed on the connection, so that none of them can be trusted.
func (m *Machine) receivePart(ev Part) Action {
	switch {
	case ev.Echo != ev.Attempt:
		return m.failAttempt(code.AnswerMismatch)
	case ev.Offset < m.offset:
		return Action{}
	case ev.Offset > m.offset:
		return m.failAttempt(code.StreamCut)
	}
	m.state = Answering
	m.pastNoReturn = true
	m.offset++
	return Action{Kind: Forward, Offset: ev.Offset, Abandon: m.endHedge()}
}

func (m *Machine) receiveEnd(ev End) Action {
	if ev.Echo != ev.Attempt {
		return m.failAttempt(code.AnswerMismatch)
	}
	if ev.Total != m.offset {
		return m.failAttempt(code.StreamCut)
	}
	return m.finish(code.OK)
}

func (m *Machine) failureCode() code.Code {
	if m.offset > 0 {
		return code.StreamCut
	}
	return code.AttemptsSpent
}

// failAttempt ends an attempt that is past its point of no return.
func (m *Machine) failAttempt(c code.Code) Action {
	m.pastNoReturn = true
	if !m.spec.Idempotent {
		a := m.finish(code.OutcomeUnknown)
		a.TargetFailed, a.CloseConnection = true, true
		return a
	}
	return m.retryOrFinish(c, true)
}

// retryOrFinish requests a ticket for another target, or finishes when all attempts are used up.
func (m *Machine) retryOrFinish(c code.Code, failed bool) Action {
	m.excluded = append(m.excluded, m.target)
	if !m.pastNoReturn {
		m.notExecuted++
	}
	m.earlierPastNoReturn = m.earlierPastNoReturn || m.pastNoReturn
	m.pastNoReturn = false
	var a Action
	switch {
	case m.hedge.isOpen():
		m.resumeSilent()
	case !m.hasAttemptsLeft():
		a = m.finish(m.finalCode(c))
	default:
		m.state = Waiting
		m.hedge.requested = false
		a = Action{Kind: RequestTicket}
	}
	a.TargetFailed, a.CloseConnection = failed, failed
	return a
}

func (m *Machine) hasAttemptsLeft() bool {
	return m.attempt-min(m.notExecuted, m.spec.MaxNotExecuted) < m.spec.MaxAttempts
}

// finalCode replaces a code that guarantees "not executed" if an attempt may have been executed.
func (m *Machine) finalCode(c code.Code) code.Code {
	if !m.MayHaveExecuted() || c.Lookup().Execution != code.NotExecuted {
		return c
	}
	switch {
	case !m.spec.Idempotent:
		return code.OutcomeUnknown
	case c == code.DeadlineTooShort:
		return code.DeadlinePassed
	case m.offset > 0:
		return code.StreamCut
	default:
		return code.AttemptsSpent
	}
}

func (m *Machine) deadlinePassed() Action {
	switch {
	case !m.MayHaveExecuted() && m.state != Dispatched:
		return m.finish(code.DeadlineTooShort)
	case !m.spec.Idempotent:
		return m.finish(code.OutcomeUnknown)
	default:
		return m.finish(code.DeadlinePassed)
	}
}

func (m *Machine) routerStopping() Action {
	switch {
	case !m.MayHaveExecuted() && m.state != Dispatched:
		return m.finish(code.ShuttingDown)
	case !m.spec.Idempotent:
		return m.finish(code.OutcomeUnknown)
	case m.offset > 0:
		return m.finish(code.StreamCut)
	}
	return m.finish(code.RouterStopped)
}

func (m *Machine) finish(c code.Code) Action {
	m.state = Finished
	return Action{Kind: Finish, Code: c}
}
