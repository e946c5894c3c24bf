package fakenet

import (
	"time"

	"google.golang.org/protobuf/proto"

	core "github.com/hemlockdyke/hemlockdyke/internal/core/router"
)

// callTimeout is when a call whose request or reply was lost counts as failed.
const callTimeout = time.Second

// Hooks are called for the actions that leave the control plane. Nil ones are skipped.
type Hooks struct {
	GrantTarget   func(node int, a core.GrantTarget)
	RefuseRequest func(node int, a core.RefuseRequest)
	ProbeTarget   func(node int, a core.ProbeTarget)
	ReadStore     func(node int, a core.ReadStore)
	PublishTable  func(node int, a core.PublishTable)
	Readiness     func(node int, a core.Readiness)
	// AnswerCall sees each reply as it leaves a node, with the node that called.
	AnswerCall func(node, caller int, a core.AnswerCall)
	// CallPeer sees each call as it leaves a node.
	CallPeer func(node int, a core.CallPeer)
}

// OutsideCaller is the number of a caller that is not a router.
const OutsideCaller = -1

// Node is one router.
type Node struct {
	Core   *core.Core
	down   bool
	paused bool
	held   []core.Event // events that wait for a paused node
	epoch  int          // counts restarts; replies to an earlier process are lost
	calls  map[core.CallID]call
}

type call struct {
	from    int
	epoch   int // of the caller
	respond func(core.AnswerCall)
}

// Net is a network of routers. Router numbers are the node's index plus one.
type Net struct {
	Clock *Clock
	Hooks Hooks
	// Delay returns the one-way delay between two nodes.
	Delay func(a, b int) time.Duration
	// IsLost decides whether a message from a to b is lost on its way.
	IsLost func(a, b int) bool
	nodes  []*Node
	calls  core.CallID
}

// New returns a network without nodes, in which nothing is lost.
func New(clock *Clock, delay func(a, b int) time.Duration) *Net {
	return &Net{Clock: clock, Delay: delay, IsLost: func(int, int) bool { return false }}
}

// AddNode adds a node and starts its ticks. The phase spreads the ticks of nodes.
func (n *Net) AddNode(c *core.Core, phase time.Duration) int {
	n.nodes = append(n.nodes, &Node{Core: c, calls: make(map[core.CallID]call)})
	i := len(n.nodes) - 1
	n.Clock.AfterFunc(phase, func() { n.tick(i, n.nodes[i].epoch) })
	return i
}

// NodeCount returns the number of nodes.
func (n *Net) NodeCount() int { return len(n.nodes) }

// Core returns a node's core.
func (n *Net) Core(node int) *core.Core { return n.nodes[node].Core }

// IsUp reports whether a node's process runs; a paused one does.
func (n *Net) IsUp(node int) bool { return !n.nodes[node].down }

// IsStalled reports whether a node is paused.
func (n *Net) IsStalled(node int) bool { return n.nodes[node].paused }

func (n *Net) tick(node, epoch int) {
	if n.nodes[node].epoch != epoch || n.nodes[node].down {
		return
	}
	if !n.nodes[node].paused {
		n.Step(node, core.Tick{})
	}
	n.Clock.AfterFunc(core.TickInterval, func() { n.tick(node, epoch) })
}

// Kill ends a node's process. Its calls and replies are lost.
func (n *Net) Kill(node int) {
	n.nodes[node].down = true
	n.nodes[node].paused = false
	n.nodes[node].held = nil
	n.nodes[node].epoch++
}

// Restart starts a node's next process.
func (n *Net) Restart(node int, c *core.Core) {
	nd := n.nodes[node]
	nd.Core, nd.down, nd.calls = c, false, make(map[core.CallID]call)
	nd.epoch++
	n.tick(node, nd.epoch)
}

// Stall stops a node without its noticing; events wait for it.
func (n *Net) Stall(node int) { n.nodes[node].paused = true }

// Resume lets a paused node go on with what waited for it.
func (n *Net) Resume(node int) {
	nd := n.nodes[node]
	nd.paused = false
	held := nd.held
	nd.held = nil
	for _, ev := range held {
		n.Step(node, ev)
	}
}

// Step hands an event to a node and carries out the actions that follow.
func (n *Net) Step(node int, ev core.Event) {
	nd := n.nodes[node]
	if nd.down {
		return
	}
	if nd.paused {
		nd.held = append(nd.held, ev)
		return
	}
	// The core reuses its slice of actions, and an action may lead to a step.
	for _, a := range append([]core.Action(nil), nd.Core.Step(n.Clock.Now(), ev)...) {
		n.act(node, a)
	}
}

func (n *Net) act(node int, a core.Action) {
	h := n.Hooks
	switch a := a.(type) {
	case core.GrantTarget:
		run(h.GrantTarget, node, a)
	case core.RefuseRequest:
		run(h.RefuseRequest, node, a)
	case core.ProbeTarget:
		run(h.ProbeTarget, node, a)
	case core.ReadStore:
		run(h.ReadStore, node, a)
	case core.PublishTable:
		run(h.PublishTable, node, a)
	case core.Readiness:
		run(h.Readiness, node, a)
	case core.AnswerCall:
		n.respond(node, a)
	case core.CallPeer:
		run(h.CallPeer, node, a)
		n.send(node, a)
	}
}

func run[A any](hook func(int, A), node int, a A) {
	if hook != nil {
		hook(node, a)
	}
}

func (n *Net) respond(node int, a core.AnswerCall) {
	c, ok := n.nodes[node].calls[a.Call]
	if !ok {
		return
	}
	delete(n.nodes[node].calls, a.Call)
	if n.Hooks.AnswerCall != nil {
		n.Hooks.AnswerCall(node, c.from, a)
	}
	c.respond(a)
}

// send carries a call to its node and the reply back. A call that gets no reply
// fails after the timeout; one to a dead process fails at once.
func (n *Net) send(from int, a core.CallPeer) {
	epoch := n.nodes[from].epoch
	answered := false
	done := func(reply proto.Message) {
		if answered || n.nodes[from].epoch != epoch {
			return
		}
		answered = true
		n.Step(from, core.CallCompleted{To: a.To, Request: a.Message, Reply: reply})
	}
	to := int(a.To) - 1
	if n.nodes[to].down {
		n.Clock.AfterFunc(2*n.Delay(from, to), func() { done(nil) })
		return
	}
	n.Clock.AfterFunc(callTimeout, func() { done(nil) })
	n.Deliver(from, to, a.Message, func(r core.AnswerCall) {
		if r.Err != nil {
			done(nil)
			return
		}
		done(r.Message)
	})
}

// Deliver carries one message to a node and its reply to respond, with the
// network's delays and losses. from may be Outside.
func (n *Net) Deliver(from, to int, m proto.Message, respond func(core.AnswerCall)) {
	if n.IsLost(from, to) {
		return
	}
	n.Clock.AfterFunc(n.Delay(from, to), func() {
		nd := n.nodes[to]
		if nd.down {
			return
		}
		n.calls++
		id := n.calls
		epoch := nd.epoch
		nd.calls[id] = call{from: from, epoch: epoch, respond: func(r core.AnswerCall) {
			if nd.epoch != epoch || n.IsLost(to, from) {
				return
			}
			n.Clock.AfterFunc(n.Delay(to, from), func() { respond(r) })
		}}
		// The message is copied, as the wire would: the sender may change its own.
		n.Step(to, core.CallReceived{Call: id, Message: proto.Clone(m)})
	})
}
