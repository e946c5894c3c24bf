// Package attempt is the state machine of one request at its targets. It knows
// the point of no return: from the moment a byte of the request may have reached
// a target, the request is never reported as not run, and one that is not
// idempotent is never sent again.
package attempt

import "github.com/hemlockdyke/hemlockdyke/internal/core/code"

// State is where a request stands.
type State int

// The states.
const (
	Waiting    State = iota // for a ticket
	Dispatched              // handed to a connection, nothing written yet
	Sent                    // past the point of no return
	Answering               // part of the answer has been forwarded
	Finished
)

// Spec is what the machine needs to know of a request.
type Spec struct {
	// Idempotent requests may be sent again after a failure.
	Idempotent bool
	// MaxAttempts bounds the number of targets tried.
	MaxAttempts int
	// MaxNotExecuted is how many attempts that no target ran don't count towards
	// MaxAttempts: a request that was turned away may go elsewhere.
	MaxNotExecuted int
}

// Event is something that happened to the request.
type Event interface{ isEvent() }

// Events of the ticket.
type (
	// TicketGranted: the owner granted a ticket for a target.
	TicketGranted struct{ Target uint64 }
	// TicketRefused: no ticket will come; Code says why.
	TicketRefused struct{ Code code.Code }
)

// Events of an attempt. Each carries the number of its attempt: an event of an
// earlier one, such as an answer that arrives late, changes nothing.
type (
	// NotSent: the attempt ended before any byte was written.
	NotSent struct{ Attempt int }
	// WriteStarted: the first byte may have been written.
	WriteStarted struct{ Attempt int }
	// TargetRefused: the target promised that it did not run the request.
	TargetRefused struct{ Attempt int }
	// Part: a part of the answer arrived. Echo is the attempt id in the answer.
	Part struct {
		Attempt int
		Echo    int
		Offset  int
	}
	// End: the end marker arrived after Total parts.
	End struct {
		Attempt int
		Echo    int
		Total   int
	}
	// ConnectionFailed: the connection failed or went silent after Wrote.
	ConnectionFailed struct{ Attempt int }
)

// Events from the caller's side.
type (
	// DeadlinePassed: the request's deadline passed.
	DeadlinePassed struct{}
	// CallerDisconnected: the caller closed its connection.
	CallerDisconnected struct{}
)

func (TicketGranted) isEvent()      {}
func (TicketRefused) isEvent()      {}
func (NotSent) isEvent()            {}
func (WriteStarted) isEvent()       {}
func (TargetRefused) isEvent()      {}
func (Part) isEvent()               {}
func (End) isEvent()                {}
func (ConnectionFailed) isEvent()   {}
func (DeadlinePassed) isEvent()     {}
func (CallerDisconnected) isEvent() {}

// ActionKind says what to do next.
type ActionKind int

// The actions.
const (
	// None: nothing to do.
	None ActionKind = iota
	// Dispatch: send the request to Target, resuming the answer at Offset.
	Dispatch
	// Forward: pass the part on to the caller.
	Forward
	// RequestTicket: give the ticket back and ask for another one, without Excluded.
	RequestTicket
	// Finish: answer the caller with Code and give the ticket back.
	Finish
)

// Action is the machine's answer to an event.
type Action struct {
	Kind    ActionKind
	Target  uint64
	Attempt int
	Offset  int
	Code    code.Code
	// TargetFailed says that the attempt that ended speaks against its target.
	TargetFailed bool
	// CloseConnection says that the attempt's connection must not be used again.
	CloseConnection bool
}

// Machine is the state of one request. It is not safe for concurrent use.
type Machine struct {
	spec     Spec
	state    State
	attempt  int
	target   uint64
	offset   int
	unrun    int  // attempts that no target ran
	earlier  bool // an earlier attempt may have run
	current  bool // the present attempt passed the point of no return
	excluded []uint64
}

// New returns a Machine that waits for its first ticket.
func New(spec Spec) *Machine { return &Machine{spec: spec} }

// State returns where the request stands.
func (m *Machine) State() State { return m.state }

// Attempts returns the number of dispatches.
func (m *Machine) Attempts() int { return m.attempt }

// Excluded returns the targets that failed this request.
func (m *Machine) Excluded() []uint64 { return m.excluded }

// MayHaveExecuted reports whether a target may have run the request.
func (m *Machine) MayHaveExecuted() bool { return m.earlier || m.current }

// Step takes one event and returns what to do.
func (m *Machine) Step(ev Event) Action {
	if m.state == Finished {
		return Action{}
	}
	switch ev := ev.(type) {
	case TicketGranted:
		return m.granted(ev)
	case TicketRefused:
		return m.finish(m.refusal(ev.Code))
	case DeadlinePassed:
		return m.deadline()
	case CallerDisconnected:
		return m.finish(code.CallerGone)
	case NotSent:
		return m.ifCurrent(ev.Attempt, m.notSent)
	case WriteStarted:
		return m.ifCurrent(ev.Attempt, m.wrote)
	case TargetRefused:
		return m.ifCurrent(ev.Attempt, m.turnedAway)
	case Part:
		return m.ifCurrent(ev.Attempt, func() Action { return m.part(ev) })
	case End:
		return m.ifCurrent(ev.Attempt, func() Action { return m.end(ev) })
	case ConnectionFailed:
		return m.ifCurrent(ev.Attempt, func() Action { return m.broken(m.brokenCode()) })
	}
	return Action{}
}

func (m *Machine) ifCurrent(attempt int, do func() Action) Action {
	if attempt != m.attempt || m.state == Waiting {
		return Action{}
	}
	return do()
}

func (m *Machine) granted(ev TicketGranted) Action {
	if m.state != Waiting {
		return Action{}
	}
	m.state = Dispatched
	m.attempt++
	m.target = ev.Target
	return Action{Kind: Dispatch, Target: ev.Target, Attempt: m.attempt, Offset: m.offset}
}

func (m *Machine) wrote() Action {
	m.current = true
	if m.state == Dispatched {
		m.state = Sent
	}
	return Action{}
}

// notSent: the target can't have seen the request, so any request may go
// elsewhere. If a byte was written all the same, the event is not believed.
func (m *Machine) notSent() Action {
	if m.state != Dispatched {
		return m.broken(m.brokenCode())
	}
	return m.again(code.NoTarget, true)
}

// turnedAway: the target's promise takes this attempt back before the point of
// no return. Earlier attempts keep their effect.
func (m *Machine) turnedAway() Action {
	if m.state == Answering {
		return m.broken(m.brokenCode())
	}
	m.current = false
	return m.again(code.TargetRefused, false)
}

// part forwards each part once and in order. An answer to another attempt means
// that the connection's answers are crossed: nothing on it can be trusted.
func (m *Machine) part(ev Part) Action {
	switch {
	case ev.Echo != ev.Attempt:
		return m.broken(code.AnswerMismatch)
	case ev.Offset < m.offset:
		return Action{}
	case ev.Offset > m.offset:
		return m.broken(code.StreamCut)
	}
	m.state = Answering
	m.current = true
	m.offset++
	return Action{Kind: Forward, Offset: ev.Offset}
}

func (m *Machine) end(ev End) Action {
	if ev.Echo != ev.Attempt {
		return m.broken(code.AnswerMismatch)
	}
	if ev.Total != m.offset {
		return m.broken(code.StreamCut)
	}
	return m.finish(code.OK)
}

func (m *Machine) brokenCode() code.Code {
	if m.offset > 0 {
		return code.StreamCut
	}
	return code.AttemptsSpent
}

// broken ends an attempt past the point of no return.
func (m *Machine) broken(c code.Code) Action {
	m.current = true
	if !m.spec.Idempotent {
		a := m.finish(code.OutcomeUnknown)
		a.TargetFailed, a.CloseConnection = true, true
		return a
	}
	return m.again(c, true)
}

// again asks for another target, or finishes when the attempts are used up.
func (m *Machine) again(c code.Code, failed bool) Action {
	m.excluded = append(m.excluded, m.target)
	if !m.current {
		m.unrun++
	}
	m.earlier = m.earlier || m.current
	m.current = false
	var a Action
	if m.attempt-min(m.unrun, m.spec.MaxNotExecuted) >= m.spec.MaxAttempts {
		a = m.finish(m.refusal(c))
	} else {
		m.state = Waiting
		a = Action{Kind: RequestTicket}
	}
	a.TargetFailed, a.CloseConnection = failed, failed
	return a
}

// refusal turns a "not run" code into one that is true after an attempt that
// may have run.
func (m *Machine) refusal(c code.Code) code.Code {
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

func (m *Machine) deadline() Action {
	switch {
	case !m.MayHaveExecuted() && m.state != Dispatched:
		return m.finish(code.DeadlineTooShort)
	case !m.spec.Idempotent:
		return m.finish(code.OutcomeUnknown)
	default:
		return m.finish(code.DeadlinePassed)
	}
}

func (m *Machine) finish(c code.Code) Action {
	m.state = Finished
	return Action{Kind: Finish, Code: c}
}
