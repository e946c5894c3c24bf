// Package resource defines the resources that operators declare and validates them.
package resource

import (
	"encoding/json"
	"regexp"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
)

// Kind names a resource type.
type Kind string

// The resource kinds.
const (
	KindPool          Kind = "Pool"
	KindTeam          Kind = "Team"
	KindTarget        Kind = "Target"
	KindPlannedChange Kind = "PlannedChange"
)

// Kinds lists every kind in the order in which references allow creation.
func Kinds() []Kind { return []Kind{KindPool, KindTeam, KindTarget, KindPlannedChange} }

// Protocol is the protocol that the targets of a pool speak.
type Protocol string

// The pool protocols.
const (
	ProtocolModel   Protocol = "model"   // chat completions with streams
	ProtocolService Protocol = "service" // plain HTTP
)

// DefaultBoundMultiple is the BoundMultiple of a pool that does not set it.
const DefaultBoundMultiple = 1.25

// PoolSpec declares a routing pool.
type PoolSpec struct {
	Protocol Protocol `json:"protocol"`
	// Model is the model name in chat completion requests; defaults to the pool's name.
	Model string `json:"model,omitempty"`
	// BoundMultiple caps a target's open requests at this multiple of the pool's mean.
	BoundMultiple float64 `json:"boundMultiple,omitempty"`
	// MaxPerTarget caps a target's open requests regardless of the mean; 0 means no cap.
	MaxPerTarget int `json:"maxPerTarget,omitempty"`
	// ChecksFencing is true if the targets refuse orders with an old fencing token.
	ChecksFencing bool `json:"checksFencing,omitempty"`
	// IdempotentWrites allows retries of service calls other than GET and HEAD.
	IdempotentWrites bool `json:"idempotentWrites,omitempty"`
}

// TeamSpec declares a team, its share and limit, and its service level objective.
type TeamSpec struct {
	// Weight is the team's share in weighted fair queueing; defaults to 1.
	Weight int `json:"weight,omitempty"`
	// MaxOutstanding caps the team's open requests over the whole fleet; 0 means no cap.
	MaxOutstanding int `json:"maxOutstanding,omitempty"`
	// FirstTokenMillis is the objective for the time to the first token, in milliseconds.
	FirstTokenMillis int `json:"firstTokenMillis,omitempty"`
	// ObjectivePercent is the percentage of requests that must meet FirstTokenMillis, such as
	// 99.
	ObjectivePercent float64 `json:"objectivePercent,omitempty"`
}

// TargetSpec declares one target of a pool.
type TargetSpec struct {
	Pool       string `json:"pool"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre,omitempty"`
	// Leaving stops new requests to the target; open requests finish.
	Leaving bool `json:"leaving,omitempty"`
}

// ChangeAction is the action of a planned change.
type ChangeAction string

// The planned change actions.
const (
	ActionDrain ChangeAction = "drain"
	ActionRole  ChangeAction = "role"
	ActionLoad  ChangeAction = "load"
)

// PlannedChangeSpec declares a change to one target.
type PlannedChangeSpec struct {
	Target string       `json:"target"`
	Action ChangeAction `json:"action"`
	// Argument is the new role for "role" and the version of the model or adapter for "load".
	Argument string `json:"argument,omitempty"`
}

// Metadata identifies a resource and its versions.
type Metadata struct {
	Name string `json:"name"`
	// Generation counts changes of the spec.
	Generation uint64 `json:"generation,omitempty"`
	// ResourceVersion is the configuration revision of the last change. A write that carries it
	// is refused if the resource has changed since.
	ResourceVersion uint64 `json:"resourceVersion,omitempty"`
	// UID is unique among all resources ever created. Peers refer to a target by its UID, since
	// a deleted and recreated target must not inherit tickets.
	UID uint64 `json:"uid,omitempty"`
}

// Resource is one operator resource with its encoded spec.
type Resource struct {
	Kind     Kind            `json:"kind"`
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Deleted  bool            `json:"deleted,omitempty"`
}

// Key identifies a resource.
type Key struct {
	Kind Kind
	Name string
}

// Key returns the identity of r.
func (r Resource) Key() Key { return Key{Kind: r.Kind, Name: r.Metadata.Name} }

// Change holds the resources of one accepted configuration revision.
type Change struct {
	Revision  uint64     `json:"revision"`
	Resources []Resource `json:"resources"`
}

// Operation records an accepted request of an operator and the revision that it produced.
type Operation struct {
	Name       string    `json:"name"`
	Revision   uint64    `json:"revision"`
	AcceptedAt time.Time `json:"accepted"`
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// Validate checks one resource on its own. References are checked by CheckReferences.
func Validate(r Resource) error {
	if !namePattern.MatchString(r.Metadata.Name) {
		return code.NewFieldError(code.BadResource, "metadata.name", "%q is not lower-case letters, digits, dots and dashes, 1 to 63 long", r.Metadata.Name)
	}
	switch r.Kind {
	case KindPool:
		return validatePool(r)
	case KindTeam:
		return validateTeam(r)
	case KindTarget:
		return validateTarget(r)
	case KindPlannedChange:
		return validatePlannedChange(r)
	default:
		return code.NewFieldError(code.BadResource, "kind", "%q is not Pool, Team, Target or PlannedChange", r.Kind)
	}
}

func validatePool(r Resource) error {
	var spec PoolSpec
	if err := DecodeSpec(r.Spec, &spec); err != nil {
		return err
	}
	if spec.Protocol != ProtocolModel && spec.Protocol != ProtocolService {
		return code.NewFieldError(code.BadResource, "spec.protocol", "%q is not model or service", spec.Protocol)
	}
	if spec.BoundMultiple != 0 && (spec.BoundMultiple < 1.05 || spec.BoundMultiple > 10) {
		return code.NewFieldError(code.BadResource, "spec.boundMultiple", "%v is not between 1.05 and 10", spec.BoundMultiple)
	}
	if spec.MaxPerTarget < 0 {
		return code.NewFieldError(code.BadResource, "spec.maxPerTarget", "%d is negative", spec.MaxPerTarget)
	}
	return nil
}

func validateTeam(r Resource) error {
	var spec TeamSpec
	if err := DecodeSpec(r.Spec, &spec); err != nil {
		return err
	}
	if spec.Weight < 0 || spec.Weight > 1000 {
		return code.NewFieldError(code.BadResource, "spec.weight", "%d is not between 0 and 1000", spec.Weight)
	}
	if spec.MaxOutstanding < 0 {
		return code.NewFieldError(code.BadResource, "spec.maxOutstanding", "%d is negative", spec.MaxOutstanding)
	}
	if spec.FirstTokenMillis < 0 {
		return code.NewFieldError(code.BadResource, "spec.firstTokenMillis", "%d is negative", spec.FirstTokenMillis)
	}
	if spec.ObjectivePercent < 0 || spec.ObjectivePercent >= 100 {
		return code.NewFieldError(code.BadResource, "spec.objectivePercent", "%v must be at least 0 and below 100", spec.ObjectivePercent)
	}
	return nil
}

var addressPattern = regexp.MustCompile(`^(\d{1,3}\.\d{1,3}\.\d{1,3}\.\d{1,3}|\[[0-9a-fA-F:]+\]):\d{1,5}$`)

func validateTarget(r Resource) error {
	var spec TargetSpec
	if err := DecodeSpec(r.Spec, &spec); err != nil {
		return err
	}
	if spec.Pool == "" {
		return code.NewFieldError(code.BadResource, "spec.pool", "is empty")
	}
	if !addressPattern.MatchString(spec.Address) {
		return code.NewFieldError(code.BadResource, "spec.address", "%q is not an IP address and port", spec.Address)
	}
	return nil
}

func validatePlannedChange(r Resource) error {
	var spec PlannedChangeSpec
	if err := DecodeSpec(r.Spec, &spec); err != nil {
		return err
	}
	if spec.Target == "" {
		return code.NewFieldError(code.BadResource, "spec.target", "is empty")
	}
	switch spec.Action {
	case ActionDrain:
	case ActionRole, ActionLoad:
		if spec.Argument == "" {
			return code.NewFieldError(code.BadResource, "spec.argument", "is empty, but action %q needs one", spec.Action)
		}
	default:
		return code.NewFieldError(code.BadResource, "spec.action", "%q is not drain, role or load", spec.Action)
	}
	return nil
}
