package attempt

// hedge is the state of a second attempt beside one whose target is silent. A silent target may be sound
// and go on: the silent attempt is kept until the other one has sent a part of the answer.
type hedge struct {
	requested bool          // a ticket was requested for the second attempt
	silent    silentAttempt // the first attempt while the second is the current one
}

// silentAttempt is an open attempt whose target is silent.
type silentAttempt struct {
	number       int // 0 if there is none
	target       uint64
	state        State
	pastNoReturn bool
}

func (h *hedge) isOpen() bool { return h.silent.number != 0 }

// IsOpen reports whether an attempt was dispatched and has not ended or been abandoned.
func (m *Machine) IsOpen(attempt int) bool {
	if m.state == Waiting || m.state == Finished {
		return false
	}
	return attempt == m.current || attempt == m.hedge.silent.number
}

// stepHedge handles the events of a hedge, and those of an attempt that is not the current one. It
// reports whether it has handled the event.
func (m *Machine) stepHedge(ev Event) (a Action, handled bool) {
	switch ev := ev.(type) {
	case Silent:
		return m.requestHedge(ev), true
	case HedgeGranted:
		if !m.hedge.requested || ev.Attempt != m.current {
			return Action{}, true
		}
		m.hedge = hedge{silent: silentAttempt{number: m.current, target: m.target, state: m.state, pastNoReturn: m.pastNoReturn}}
		m.pastNoReturn = false
		return m.dispatchTo(ev.Target), true
	case HedgeRefused:
		if ev.Attempt == m.current {
			m.hedge.requested = false
		}
		return Action{}, true
	case OverlapEnded:
		if ev.Attempt != m.current || m.state == Dispatched {
			return Action{}, true
		}
		return Action{Abandon: m.endHedge()}, true
	}
	if !m.hedge.isOpen() {
		return Action{}, false
	}
	switch ev := ev.(type) {
	case Part:
		if ev.Attempt == m.hedge.silent.number && ev.Echo == ev.Attempt {
			return m.answerBySilent(ev), true
		}
	case End:
		if ev.Attempt == m.hedge.silent.number && ev.Echo == ev.Attempt {
			abandoned := m.resumeSilentBefore()
			a := m.receiveEnd(ev)
			a.Abandon = abandoned
			return a, true
		}
	case ConnectionFailed:
		return m.endSilent(ev.Attempt, true)
	case NotSent:
		return m.endSilent(ev.Attempt, true)
	case TargetRefused:
		return m.endSilent(ev.Attempt, false)
	case NotForwarded:
		return m.endSilent(ev.Attempt, false)
	}
	return Action{}, false
}

// requestHedge requests a ticket for an attempt beside the current one, if the request may be sent again.
func (m *Machine) requestHedge(ev Silent) Action {
	sent := m.state == Sent || m.state == Answering
	if ev.Attempt != m.current || !sent || m.hedge.requested || m.hedge.isOpen() || !m.spec.Idempotent || !m.hasAttemptsLeft() {
		return Action{}
	}
	m.hedge.requested = true
	return Action{Kind: RequestTicket}
}

// endHedge gives up the silent attempt, if there is one, and returns its number.
func (m *Machine) endHedge() (abandoned int) {
	m.hedge.requested = false
	s := m.hedge.silent
	if s.number == 0 {
		return 0
	}
	m.excluded = append(m.excluded, s.target)
	m.earlierPastNoReturn = m.earlierPastNoReturn || s.pastNoReturn
	m.hedge.silent = silentAttempt{}
	return s.number
}

// resumeSilent makes the silent attempt the current one.
func (m *Machine) resumeSilent() {
	s := m.hedge.silent
	m.current, m.target, m.state, m.pastNoReturn = s.number, s.target, s.state, s.pastNoReturn
	m.hedge = hedge{}
}

// resumeSilentBefore makes the silent attempt the current one, as it answers first, and returns the number
// of the other one.
func (m *Machine) resumeSilentBefore() (abandoned int) {
	abandoned = m.current
	m.excluded = append(m.excluded, m.target)
	m.earlierPastNoReturn = m.earlierPastNoReturn || m.pastNoReturn
	m.resumeSilent()
	return abandoned
}

func (m *Machine) answerBySilent(ev Part) Action {
	abandoned := m.resumeSilentBefore()
	a := m.receivePart(ev)
	a.Abandon = abandoned
	return a
}

// endSilent handles the end of the silent attempt; the other one goes on.
func (m *Machine) endSilent(number int, mayHaveExecuted bool) (a Action, handled bool) {
	if number != m.hedge.silent.number {
		return Action{}, false
	}
	m.hedge.silent.pastNoReturn = mayHaveExecuted
	if !mayHaveExecuted {
		m.notExecuted++
	}
	m.endHedge()
	return Action{TargetFailed: mayHaveExecuted, CloseConnection: mayHaveExecuted}, true
}
