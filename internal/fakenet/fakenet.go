package fakenet

import (
	"time"

	"google.golang.org/protobuf/proto"

	core "github.com/hemlockdyke/hemlockdyke/internal/core/router"
)

// callTimeout is the time after which a caller treats a call without a reply as failed.
const callTimeout = time.Second

// Hooks are callbacks for the actions of a core, one for each type of action; node is the node
// whose core returned the action. A nil hook is skipped. The network itself carries out only
// ReplyToCall and CallPeer; the effects of all other actions are left to the hooks.
type Hooks struct {
	GrantTarget   func(node int, a core.GrantTarget)
	RefuseRequest func(node int, a core.RefuseRequest)
	ProbeTarget   func(node int, a core.ProbeTarget)
	ReadStore     func(node int, a core.ReadStore)
	PublishTable  func(node int, a core.PublishTable)
	Readiness     func(node int, a core.Readiness)
	// ReplyToCall runs before a reply leaves node; caller is the node that receives the reply.
	ReplyToCall func(node, caller int, a core.ReplyToCall)
	// CallPeer runs before a call leaves node.
	CallPeer func(node int, a core.CallPeer)
}

// OutsideCaller is the node index of a caller that is not a router, such as a controller.
const OutsideCaller = -1

// Node is one simulated router process.
type Node struct {
	Core          *core.Core
	isDown        bool
	stalled       bool
	pendingEvents []core.Event         // events that a stalled node receives after it resumes
	incarnation   int                  // counts kills and restarts
	calls         map[core.CallID]call // received calls that are not answered yet
}

// call is a call that a node has received and not answered yet.
type call struct {
	from        int
	incarnation int // of the called node
	respond     func(core.ReplyToCall)
}

// Net is a network of routers. The ID of a router is the index of its node plus one.
type Net struct {
	Clock *Clock
	Hooks Hooks
	// Delay returns the one-way delay between two nodes.
	Delay func(a, b int) time.Duration
	// IsLost decides whether a message from a to b is dropped.
	IsLost     func(a, b int) bool
	nodes      []*Node
	lastCallID core.CallID
}

// New returns a network without nodes that drops no messages.
func New(clock *Clock, delay func(a, b int) time.Duration) *Net {
	return &Net{Clock: clock, Delay: delay, IsLost: func(int, int) bool { return false }}
}

// AddNode adds a node, starts its ticks after phase and returns the index of the node. Different
// phases keep the nodes from ticking at the same time.
func (n *Net) AddNode(c *core.Core, phase time.Duration) int {
	n.nodes = append(n.nodes, &Node{Core: c, calls: make(map[core.CallID]call)})
	i := len(n.nodes) - 1
	n.Clock.AfterFunc(phase, func() { n.tick(i, n.nodes[i].incarnation) })
	return i
}

// NodeCount returns the number of nodes.
func (n *Net) NodeCount() int { return len(n.nodes) }

// Core returns the core of a node.
func (n *Net) Core(node int) *core.Core { return n.nodes[node].Core }

// IsUp reports whether the process of a node runs. It is true for a stalled node.
func (n *Net) IsUp(node int) bool { return !n.nodes[node].isDown }

// IsStalled reports whether a node is stalled.
func (n *Net) IsStalled(node int) bool { return n.nodes[node].stalled }

// tick sends a node a Tick and schedules the next one, until the process of that incarnation ends.
func (n *Net) tick(node, incarnation int) {
	if n.nodes[node].incarnation != incarnation || n.nodes[node].isDown {
		return
	}
	if !n.nodes[node].stalled {
		n.Step(node, core.Tick{})
	}
	n.Clock.AfterFunc(core.TickInterval, func() { n.tick(node, incarnation) })
}

// Kill ends the process of a node. Its pending calls and replies are dropped.
func (n *Net) Kill(node int) {
	n.nodes[node].isDown = true
	n.nodes[node].stalled = false
	n.nodes[node].pendingEvents = nil
	n.nodes[node].incarnation++
}

// Restart starts a new process of a killed node, which runs the core c.
func (n *Net) Restart(node int, c *core.Core) {
	nd := n.nodes[node]
	nd.Core, nd.isDown, nd.calls = c, false, make(map[core.CallID]call)
	nd.incarnation++
	n.tick(node, nd.incarnation)
}

// Stall stops a node, as SIGSTOP does. Events for the node wait until Resume.
func (n *Net) Stall(node int) { n.nodes[node].stalled = true }

// Resume ends a stall and delivers the events that arrived during it.
func (n *Net) Resume(node int) {
	nd := n.nodes[node]
	nd.stalled = false
	pendingEvents := nd.pendingEvents
	nd.pendingEvents = nil
	for _, ev := range pendingEvents {
		n.Step(node, ev)
	}
}

// Step delivers an event to the core of a node and executes the resulting actions. It does nothing
// if the process does not run, and queues the event if the node is stalled.
func (n *Net) Step(node int, ev core.Event) {
	nd := n.nodes[node]
	if nd.isDown {
		return
	}
	if nd.stalled {
		nd.pendingEvents = append(nd.pendingEvents, ev)
		return
	}
	// The slice is copied because the core reuses it, and an action may call Step again.
	for _, a := range append([]core.Action(nil), nd.Core.Step(n.Clock.Now(), ev)...) {
		n.execute(node, a)
	}
}

// execute runs the hook of an action and carries out peer calls and their answers.
func (n *Net) execute(node int, a core.Action) {
	h := n.Hooks
	switch a := a.(type) {
	case core.GrantTarget:
		runHook(h.GrantTarget, node, a)
	case core.RefuseRequest:
		runHook(h.RefuseRequest, node, a)
	case core.ProbeTarget:
		runHook(h.ProbeTarget, node, a)
	case core.ReadStore:
		runHook(h.ReadStore, node, a)
	case core.PublishTable:
		runHook(h.PublishTable, node, a)
	case core.Readiness:
		runHook(h.Readiness, node, a)
	case core.ReplyToCall:
		n.replyToCall(node, a)
	case core.CallPeer:
		runHook(h.CallPeer, node, a)
		n.callPeer(node, a)
	}
}

// runHook calls a hook unless it is nil.
func runHook[A any](hook func(int, A), node int, a A) {
	if hook != nil {
		hook(node, a)
	}
}

// replyToCall sends a reply to the caller of a.Call. A call from before a restart has no entry.
func (n *Net) replyToCall(node int, a core.ReplyToCall) {
	c, ok := n.nodes[node].calls[a.Call]
	if !ok {
		return
	}
	delete(n.nodes[node].calls, a.Call)
	if n.Hooks.ReplyToCall != nil {
		n.Hooks.ReplyToCall(node, c.from, a)
	}
	c.respond(a)
}

// callPeer delivers a call and returns the reply to the caller as CallCompleted. A call without a
// reply fails after callTimeout; a call to a process that does not run fails after one round trip.
func (n *Net) callPeer(from int, a core.CallPeer) {
	incarnation := n.nodes[from].incarnation
	answered := false
	complete := func(reply proto.Message) {
		if answered || n.nodes[from].incarnation != incarnation {
			return
		}
		answered = true
		n.Step(from, core.CallCompleted{To: a.To, Request: a.Message, Reply: reply})
	}
	to := int(a.To) - 1
	if n.nodes[to].isDown {
		n.Clock.AfterFunc(2*n.Delay(from, to), func() { complete(nil) })
		return
	}
	n.Clock.AfterFunc(callTimeout, func() { complete(nil) })
	n.Deliver(from, to, a.Message, func(r core.ReplyToCall) {
		if r.Err != nil {
			complete(nil)
			return
		}
		complete(r.Message)
	})
}

// Deliver carries a message from one node to another and the reply back to respond. Both may be
// delayed or dropped; a message to a process that does not run is dropped. from may be
// OutsideCaller.
func (n *Net) Deliver(from, to int, m proto.Message, respond func(core.ReplyToCall)) {
	if n.IsLost(from, to) {
		return
	}
	n.Clock.AfterFunc(n.Delay(from, to), func() {
		nd := n.nodes[to]
		if nd.isDown {
			return
		}
		n.lastCallID++
		id := n.lastCallID
		incarnation := nd.incarnation
		nd.calls[id] = call{from: from, incarnation: incarnation, respond: func(r core.ReplyToCall) {
			if nd.incarnation != incarnation || n.IsLost(to, from) {
				return
			}
			n.Clock.AfterFunc(n.Delay(to, from), func() { respond(r) })
		}}
		// The message is copied because the sender may modify its own afterwards.
		n.Step(to, core.CallReceived{Call: id, Message: proto.Clone(m)})
	})
}
