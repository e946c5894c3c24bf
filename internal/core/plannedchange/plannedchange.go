// Package plannedchange is the state machine of a planned change to a target. Another VM can
// continue it from any phase: each step compares the desired state with the observed state
// before it acts.
package plannedchange

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
)

// Phase is the progress of a planned change.
type Phase string

// The phases.
const (
	Pending      Phase = "Pending"
	Draining     Phase = "Draining" // the target is marked as leaving; its open requests finish
	SendingOrder Phase = "Ordering" // the order is sent until the target's state shows it
	Done         Phase = "Done"
)

// Status is the stored state of a planned change.
type Status struct {
	Phase              Phase  `json:"phase"`
	ObservedGeneration uint64 `json:"observedGeneration"`
	// FencingToken is the fencing token of the last order that was sent.
	FencingToken uint64 `json:"fencing,omitempty"`
	Message      string `json:"message,omitempty"`
}

// Observation is the observed state of the target and the fleet at a step.
type Observation struct {
	// Leaving is true if the target is marked as leaving.
	Leaving bool
	// AppliedEverywhere is true if every listed router has applied the mark, or has been silent
	// for so long that it accepts no new requests.
	AppliedEverywhere bool
	// Reachable is true if the target answered. OpenRequests is then the target's own count of
	// open requests, and State the state that its last orders produced, by action.
	Reachable    bool
	OpenRequests int
	State        map[string]string
}

// ActionKind is the next action of a planned change.
type ActionKind int

// The actions.
const (
	// Wait: observe again later.
	Wait ActionKind = iota
	// MarkLeaving: mark the target as leaving in the configuration.
	MarkLeaving
	// SendOrder: send the order to the target.
	SendOrder
	// Finish: the change is complete.
	Finish
)

// OrderValidity is how long an order in transit to the target stays valid. No order may be sent
// under a lease with less remaining time.
const OrderValidity = 2 * time.Second

// drainOrder is the order that permits a drained target to exit.
const drainOrder = "drain"

// Step returns the next status and action for an observation. A new generation of the spec
// starts the change over.
func Step(spec resource.PlannedChangeSpec, generation uint64, s Status, o Observation) (Status, ActionKind) {
	if s.Phase == "" || s.ObservedGeneration != generation {
		s = Status{Phase: Pending, ObservedGeneration: generation}
	}
	switch s.Phase {
	case Pending:
		return startChange(spec, s)
	case Draining:
		return stepDrain(s, o)
	case SendingOrder:
		return stepOrder(spec, s, o)
	default:
		return s, Finish
	}
}

func startChange(spec resource.PlannedChangeSpec, s Status) (Status, ActionKind) {
	if spec.Action == resource.ActionDrain {
		s.Phase, s.Message = Draining, "marking the target as leaving"
		return s, MarkLeaving
	}
	s.Phase, s.Message = SendingOrder, "sending the order"
	return s, SendOrder
}

// stepDrain waits until every router has applied the mark and the target's open requests have
// finished. A target that does not answer is not assumed to be idle, since requests may still
// run there.
func stepDrain(s Status, o Observation) (Status, ActionKind) {
	switch {
	case !o.Leaving:
		return s, MarkLeaving
	case !o.AppliedEverywhere:
		s.Message = "waiting for every router to have the change"
		return s, Wait
	case !o.Reachable:
		s.Message = "the target does not answer"
		return s, Wait
	case o.OpenRequests > 0:
		s.Message = "open requests are finishing"
		return s, Wait
	}
	s.Phase, s.Message = SendingOrder, "sending the order"
	return s, SendOrder
}

// stepOrder repeats the order until the target's state shows it, since an order or its reply may
// be lost.
func stepOrder(spec resource.PlannedChangeSpec, s Status, o Observation) (Status, ActionKind) {
	if !o.Reachable {
		s.Message = "the target does not answer"
		return s, Wait
	}
	action, argument := DesiredState(spec)
	if current, ok := o.State[action]; !ok || current != argument {
		return s, SendOrder
	}
	s.Phase, s.Message = Done, "the target shows the change"
	return s, Finish
}

// DesiredState returns the action and argument that the target's state has to show.
func DesiredState(spec resource.PlannedChangeSpec) (action, argument string) {
	if spec.Action == resource.ActionDrain {
		return drainOrder, "true"
	}
	return string(spec.Action), spec.Argument
}
