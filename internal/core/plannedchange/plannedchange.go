// Package plannedchange is the state machine of a planned change to a target. It
// can be entered from any phase on another VM: every step states what shall be,
// and looks at what is before it goes on.
package plannedchange

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
)

// Phase is how far a planned change has come.
type Phase string

// The phases.
const (
	Pending  Phase = "Pending"
	Draining Phase = "Draining" // the target is leaving; open work finishes
	Ordering Phase = "Ordering" // the order is sent until the target shows it
	Done     Phase = "Done"
)

// Status is the stored state of a planned change.
type Status struct {
	Phase              Phase  `json:"phase"`
	ObservedGeneration uint64 `json:"observedGeneration"`
	// FencingToken is the fencing number of the last order sent.
	FencingToken uint64 `json:"fencing,omitempty"`
	Message      string `json:"message,omitempty"`
}

// Observation is what the world looks like at a step.
type Observation struct {
	// Leaving says that the target is marked as leaving.
	Leaving bool
	// AppliedEverywhere says that the mark is in force at every listed router, or that the
	// others have been silent for so long that they take no new work.
	AppliedEverywhere bool
	// Reachable says that the target answered; Open is its count of open
	// requests and State what its last orders left it in.
	Reachable    bool
	OpenRequests int
	State        map[string]string
}

// ActionKind says what to do next.
type ActionKind int

// The actions.
const (
	// Wait and look again.
	Wait ActionKind = iota
	// MarkLeaving marks the target in the configuration.
	MarkLeaving
	// SendOrder sends the order to the target.
	SendOrder
	// Finish: nothing is left to do.
	Finish
)

// OrderValidity is how long an order stays valid on its way to the target. A lease
// whose remaining time is shorter must not be used to send one.
const OrderValidity = 2 * time.Second

// drainOrder is the order by which a drained target learns that it may go.
const drainOrder = "drain"

// Step looks at the world and returns the next status and what to do.
func Step(spec resource.PlannedChangeSpec, generation uint64, s Status, o Observation) (Status, ActionKind) {
	if s.Phase == "" || s.ObservedGeneration != generation {
		s = Status{Phase: Pending, ObservedGeneration: generation}
	}
	switch s.Phase {
	case Pending:
		return begin(spec, s)
	case Draining:
		return drain(s, o)
	case Ordering:
		return order(spec, s, o)
	default:
		return s, Finish
	}
}

func begin(spec resource.PlannedChangeSpec, s Status) (Status, ActionKind) {
	if spec.Action == resource.ActionDrain {
		s.Phase, s.Message = Draining, "marking the target as leaving"
		return s, MarkLeaving
	}
	s.Phase, s.Message = Ordering, "sending the order"
	return s, SendOrder
}

// drain waits for the target's open requests. A target that does not answer is
// not taken for an empty one: requests may still run there.
func drain(s Status, o Observation) (Status, ActionKind) {
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
	s.Phase, s.Message = Ordering, "sending the order"
	return s, SendOrder
}

// order repeats the order until the target shows it: an order or its reply may be lost.
func order(spec resource.PlannedChangeSpec, s Status, o Observation) (Status, ActionKind) {
	if !o.Reachable {
		s.Message = "the target does not answer"
		return s, Wait
	}
	action, argument := DesiredState(spec)
	if have, ok := o.State[action]; !ok || have != argument {
		return s, SendOrder
	}
	s.Phase, s.Message = Done, "the target shows the change"
	return s, Finish
}

// DesiredState returns the action and argument that the target shall show.
func DesiredState(spec resource.PlannedChangeSpec) (action, argument string) {
	if spec.Action == resource.ActionDrain {
		return drainOrder, "true"
	}
	return string(spec.Action), spec.Argument
}
