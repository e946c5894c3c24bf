// Package router is the decision core of one router. It combines configuration, membership, load
// bounding and retry budgets behind one function, Core.Step(now, event) []Action. It does no
// I/O, starts no goroutines, reads no clock and draws randomness only from its seed. The same
// code therefore runs in the daemon and, in many instances, inside one test process.
package router

import (
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fairqueue"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	"github.com/hemlockdyke/hemlockdyke/internal/core/routing"
)

// Event is an input of the core.
type Event interface{ isEvent() }

// Events from the traffic path.
type (
	// RequestArrived reports a request that needs a target. A retry has the ID of the first
	// attempt.
	RequestArrived struct {
		ID       uint64
		Pool     string
		Team     string
		Chat     uint64
		Priority fairqueue.Priority
		Deadline time.Time
		Excluded []uint64
		Retry    bool
	}
	// RequestEnded reports that a request no longer needs its ticket or no longer waits for one.
	RequestEnded struct {
		ID      uint64
		Outcome peerv1.Outcome
	}
	// LoadReported reports a target's own count of open requests, which ProbeTarget requested.
	LoadReported struct {
		Pool         string
		Target       uint64
		OpenRequests int
	}
)

// CallID identifies an incoming call. A ReplyToCall action replies to it.
type CallID uint64

// Events from other processes.
type (
	// CallReceived reports a call of a peer. Message is one of the peer service's requests.
	CallReceived struct {
		Call    CallID
		Message proto.Message
	}
	// CallCompleted reports that a call requested by CallPeer succeeded with a Reply or failed.
	CallCompleted struct {
		To      uint32
		Request proto.Message
		Reply   proto.Message // nil if the call failed
	}
)

// Events from the platform and the clock.
type (
	// StoreReadCompleted reports the result of ReadStore.
	StoreReadCompleted struct {
		Failed   bool
		Changes  []resource.Change
		Snapshot *Snapshot // set if the store no longer keeps the changes
	}
	// Tick reports that time has passed. The core expects one every TickInterval.
	Tick struct{}
	// Shutdown reports that this router is to stop.
	Shutdown struct{}
)

// Snapshot is a complete configuration at a revision.
type Snapshot struct {
	Revision  uint64
	Resources []resource.Resource
}

func (RequestArrived) isEvent()     {}
func (RequestEnded) isEvent()       {}
func (LoadReported) isEvent()       {}
func (CallReceived) isEvent()       {}
func (CallCompleted) isEvent()      {}
func (StoreReadCompleted) isEvent() {}
func (Tick) isEvent()               {}
func (Shutdown) isEvent()           {}

// Action is an output of the core.
type Action interface{ isAction() }

// The actions.
type (
	// GrantTarget assigns a target to a request.
	GrantTarget struct {
		ID     uint64
		Target routing.Target
		Pool   *routing.Pool
	}
	// RefuseRequest ends a request that gets no target.
	RefuseRequest struct {
		ID         uint64
		Code       code.Code
		RetryAfter time.Duration
	}
	// CallPeer calls a peer. The result is returned as CallCompleted.
	CallPeer struct {
		To      uint32
		Message proto.Message
	}
	// ReplyToCall replies to a CallReceived. Err is nil or a *code.Error.
	ReplyToCall struct {
		Call    CallID
		Message proto.Message
		Err     error
	}
	// ProbeTarget requests a target's own count of open requests. The result is returned as
	// LoadReported; a failed probe has no result.
	ProbeTarget struct {
		Pool   string
		Target routing.Target
	}
	// ReadStore requests the configuration changes after a revision. The result is returned as
	// StoreReadCompleted.
	ReadStore struct{ AfterRevision uint64 }
	// PublishTable applies a routing table to traffic.
	PublishTable struct{ Table *routing.Table }
	// Readiness tells the balancer whether to send traffic to this router.
	Readiness struct {
		Ready  bool
		Reason code.Code
	}
)

func (GrantTarget) isAction()   {}
func (RefuseRequest) isAction() {}
func (CallPeer) isAction()      {}
func (ReplyToCall) isAction()   {}
func (ProbeTarget) isAction()   {}
func (ReadStore) isAction()     {}
func (PublishTable) isAction()  {}
func (Readiness) isAction()     {}
