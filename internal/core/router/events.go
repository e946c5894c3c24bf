// Package router is the decision core of one router: it joins configuration,
// membership, load bounding and retry budgets behind one function,
// Core.Step(now, event) []Action. It does no I/O, starts no goroutine, reads no
// clock and draws randomness only from its seed, so the same code runs in the
// daemon and, many times over, inside one test process.
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
	// RequestArrived: a request needs a target. The same ID arrives again for a retry.
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
	// RequestEnded: the request no longer needs its ticket, or its ask is withdrawn.
	RequestEnded struct {
		ID      uint64
		Outcome peerv1.Outcome
	}
	// LoadReported: a target answered a Probe with its own count of open requests.
	LoadReported struct {
		Pool         string
		Target       uint64
		OpenRequests int
	}
)

// CallID identifies an incoming call that waits for a Respond action.
type CallID uint64

// Events from other processes.
type (
	// CallReceived: a peer calls. Message is one of the peer service's requests.
	CallReceived struct {
		Call    CallID
		Message proto.Message
	}
	// CallCompleted: a call that the core asked for has ended, with a Reply or failed.
	CallCompleted struct {
		To      uint32
		Request proto.Message
		Reply   proto.Message // nil if the call failed
	}
)

// Events from the platform and the clock.
type (
	// StoreReadCompleted: the configuration store was read.
	StoreReadCompleted struct {
		Failed   bool
		Changes  []resource.Change
		Snapshot *Snapshot // set when the changes are no longer kept
	}
	// Tick: time has passed. The core expects one every TickInterval.
	Tick struct{}
	// Shutdown: this router is to stop.
	Shutdown struct{}
)

// Snapshot is a whole configuration.
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
	// GrantTarget gives a request its target.
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
	// CallPeer calls a peer. The result comes back as CallOut.
	CallPeer struct {
		To      uint32
		Message proto.Message
	}
	// AnswerCall answers a CallIn. Err is nil or a *code.Error.
	AnswerCall struct {
		Call    CallID
		Message proto.Message
		Err     error
	}
	// ProbeTarget asks for a target's own count of open requests.
	ProbeTarget struct {
		Pool   string
		Target routing.Target
	}
	// ReadStore asks for the configuration after a revision.
	ReadStore struct{ AfterRevision uint64 }
	// PublishTable puts a routing table in force for traffic.
	PublishTable struct{ Table *routing.Table }
	// Readiness tells the balancer whether to send traffic here.
	Readiness struct {
		Ready  bool
		Reason code.Code
	}
)

func (GrantTarget) isAction()   {}
func (RefuseRequest) isAction() {}
func (CallPeer) isAction()      {}
func (AnswerCall) isAction()    {}
func (ProbeTarget) isAction()   {}
func (ReadStore) isAction()     {}
func (PublishTable) isAction()  {}
func (Readiness) isAction()     {}
