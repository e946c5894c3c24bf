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
	// Arrived: a request needs a target. The same ID arrives again for a retry.
	Arrived struct {
		ID       uint64
		Pool     string
		Team     string
		Chat     uint64
		Priority fairqueue.Priority
		Deadline time.Time
		Excluded []uint64
		Retry    bool
	}
	// Ended: the request no longer needs its ticket, or its ask is withdrawn.
	Ended struct {
		ID      uint64
		Outcome peerv1.Outcome
	}
	// Reported: a target answered a Probe with its own count of open requests.
	Reported struct {
		Pool   string
		Target uint64
		Open   int
	}
)

// Call identifies an incoming call that waits for a Respond action.
type Call uint64

// Events from other processes.
type (
	// CallIn: a peer calls. Message is one of the peer service's requests.
	CallIn struct {
		Call    Call
		Message proto.Message
	}
	// CallOut: a call that the core asked for has ended, with a Reply or failed.
	CallOut struct {
		To      uint32
		Request proto.Message
		Reply   proto.Message // nil if the call failed
	}
)

// Events from the platform and the clock.
type (
	// StoreRead: the configuration store was read.
	StoreRead struct {
		Err      bool
		Changes  []resource.Change
		Snapshot *Snapshot // set when the changes are no longer kept
	}
	// Tick: time has passed. The core expects one every TickInterval.
	Tick struct{}
	// Leave: this router is to stop.
	Leave struct{}
)

// Snapshot is a whole configuration.
type Snapshot struct {
	Revision  uint64
	Resources []resource.Resource
}

func (Arrived) isEvent()   {}
func (Ended) isEvent()     {}
func (Reported) isEvent()  {}
func (CallIn) isEvent()    {}
func (CallOut) isEvent()   {}
func (StoreRead) isEvent() {}
func (Tick) isEvent()      {}
func (Leave) isEvent()     {}

// Action is an output of the core.
type Action interface{ isAction() }

// The actions.
type (
	// Grant gives a request its target.
	Grant struct {
		ID     uint64
		Target routing.Target
		Pool   *routing.Pool
	}
	// Refuse ends a request that gets no target.
	Refuse struct {
		ID         uint64
		Code       code.Code
		RetryAfter time.Duration
	}
	// Send calls a peer. The result comes back as CallOut.
	Send struct {
		To      uint32
		Message proto.Message
	}
	// Respond answers a CallIn. Err is nil or a *code.Error.
	Respond struct {
		Call    Call
		Message proto.Message
		Err     error
	}
	// Probe asks for a target's own count of open requests.
	Probe struct {
		Pool   string
		Target routing.Target
	}
	// ReadStore asks for the configuration after a revision.
	ReadStore struct{ After uint64 }
	// Publish puts a routing table in force for traffic.
	Publish struct{ Table *routing.Table }
	// Ready tells the balancer whether to send traffic here.
	Ready struct {
		Ready  bool
		Reason code.Code
	}
)

func (Grant) isAction()     {}
func (Refuse) isAction()    {}
func (Send) isAction()      {}
func (Respond) isAction()   {}
func (Probe) isAction()     {}
func (ReadStore) isAction() {}
func (Publish) isAction()   {}
func (Ready) isAction()     {}
