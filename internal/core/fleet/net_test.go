package fleet_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/poison"
	"github.com/hemlockdyke/hemlockdyke/internal/core/replica"
)

var start = time.Unix(1000, 0)

// event is something that is to happen.
type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// node is one router.
type node struct {
	address fleet.Address
	core    *fleet.Core
	up      bool
	frozen  bool
	// startsAt is when its process runs.
	startsAt time.Time
	// bytesPerSecond is what the node's link has left for copies, 0 if there is no limit.
	bytesPerSecond int
	linkFree       time.Time
	// link carries digests and copies, each way; nil if there is no limit.
	link *link
	// budget bounds what copies take of the link.
	budget *fleet.ServeBudget
	// loads are what the node tells of its open requests, told what it knows of others', by source.
	loads []placement.Load
	told  map[uint32]heard
	// departures are told at once and with the next digests, as the gateway does.
	departures map[placement.Departure]int
	fresh      bool
	left       map[uint64]time.Time // targets of whose leaving it heard

	detector      *poison.Detector
	knowsSuspects bool

	calls   [fleet.Tables]int // generation: calls of an earlier one were stopped
	pending [fleet.Tables]int
	changed []fleet.Changed
	downs   []fleet.PeerDown
	// inForce are the versions of the desired table, as they came in force.
	inForce []uint64
}

// limit gives a node a link.
func (n *net) limit(x *node, bytesPerSecond int) {
	x.link = &link{bytesPerSecond: bytesPerSecond}
	x.budget = fleet.NewServeBudget(n.now, int64(bytesPerSecond))
}

// net is a fleet of cores on a simulated clock.
type net struct {
	now   time.Time
	queue events
	order int
	store *store
	nodes map[fleet.Address]*node
	// cut are the ways, from one router to another, on which all is lost; loss is the
	// share of datagrams that are lost on every way.
	cut    map[[2]fleet.Address]bool
	loss   float64
	rand   *rand.Rand
	starts uint64
	// centres is how many data centres there are, strong how many strong VMs each of them has.
	centres, strong int
}

const (
	// startSpread is within what time the first processes start, in any order.
	startSpread = 300 * time.Millisecond
	// burst and burstPause are those of the adapter that sends.
	burst      = 16
	burstPause = 5 * time.Millisecond

	hop       = time.Millisecond
	storeTime = 4 * time.Millisecond
	// callMargin is how much longer than its wait a call to the store may take.
	callMargin = 600 * time.Millisecond
)

// newNet starts routers in three data centres, with VMs that are all alike.
func newNet(routers int) *net { return newNetOf(routers, 3, 0) }

func newNetOf(routers, centres, strong int) *net {
	n := &net{
		centres: centres, strong: strong,
		now: start, nodes: make(map[fleet.Address]*node), cut: make(map[[2]fleet.Address]bool),
		rand:  rand.New(rand.NewPCG(1, uint64(routers))),
		store: &store{silent: make(map[fleet.Address]bool), refused: make(map[fleet.Address]bool)},
	}
	for i := range n.store.rows {
		n.store.rows[i] = make(map[string]replica.Row)
	}
	n.write(fleet.Desired, "config", "v1")
	n.write(fleet.Targets, "t1", "ready")
	for i := range routers {
		n.start(address(i))
	}
	return n
}

func address(i int) fleet.Address {
	return fleet.Address(fmt.Sprintf("10.0.%d.%d:7340", i/250, i%250+1))
}

// place returns the data centre and the strength of the VM at an address.
func (n *net) place(a fleet.Address) (dataCentre string, strength uint32) {
	var high, low int
	if _, err := fmt.Sscanf(string(a), "10.0.%d.%d:", &high, &low); err != nil {
		panic(err)
	}
	i := 250*high + low - 1
	if i/n.centres < n.strong {
		return fmt.Sprint("dc", i%n.centres), 800
	}
	return fmt.Sprint("dc", i%n.centres), 192
}

func (n *net) after(d time.Duration, do func()) {
	n.order++
	heap.Push(&n.queue, event{at: n.now.Add(d), order: n.order, do: do})
}

func (n *net) run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		e.do()
	}
	n.now = end
}

// start starts a process at an address, whose seeds are the first three.
func (n *net) start(a fleet.Address) *node {
	n.starts++
	x := &node{address: a, up: true, told: make(map[uint32]heard), left: make(map[uint64]time.Time), departures: make(map[placement.Departure]int)}
	dataCentre, strength := n.place(a)
	x.detector, x.knowsSuspects = poison.NewDetector(), n.now.Equal(start)
	x.startsAt = n.now
	if n.now.Equal(start) {
		x.startsAt = n.now.Add(time.Duration(n.rand.Float64() * float64(startSpread)))
	}
	x.core = fleet.New(x.startsAt, fleet.Settings{
		Self: a, Incarnation: n.starts * 7919, Seed: n.starts, DataCentre: dataCentre, Strength: strength,
		StartsFirst: n.now.After(start), InForceWithin: inForceWithin, LeftWithin: leftWithin,
	})
	n.nodes[a] = x
	n.after(x.startsAt.Sub(n.now), func() {
		n.step(x, fleet.Found{Addresses: []fleet.Address{address(0), address(1), address(2)}})
	})
	n.after(x.startsAt.Sub(n.now)+time.Duration(n.rand.Float64()*float64(fleet.TickInterval)), func() { n.tick(x) })
	return x
}

func (n *net) tick(x *node) {
	n.after(fleet.TickInterval, func() {
		if x.up {
			x.detector.Tick(n.now)
			n.step(x, fleet.Tick{Loads: x.loads, News: x.news(n.now)})
			n.tick(x)
		}
	})
}

func (n *net) kill(a fleet.Address) { n.nodes[a].up = false }

func (n *net) step(x *node, ev fleet.Event) {
	if !x.up || n.now.Before(x.startsAt) {
		return
	}
	if x.frozen {
		n.after(fleet.TickInterval, func() { n.step(x, ev) })
		return
	}
	for _, a := range append([]fleet.Action(nil), x.core.Step(n.now, ev)...) {
		n.act(x, a)
	}
	if x.fresh || x.detector.Fresh() {
		n.step(x, fleet.Learned{News: x.news(n.now)})
	}
}

// learn notes a departure that is to be told.
func (x *node) learn(now time.Time, d placement.Departure) {
	if _, ok := x.left[d.Target]; !ok {
		x.left[d.Target], x.departures[d], x.fresh = now, 3, true
	}
}

// tell returns the departures for the next digest.
func (x *node) tell() (out []placement.Departure) {
	x.fresh = false
	for d := range x.departures {
		out = append(out, d)
		if x.departures[d]--; x.departures[d] == 0 {
			delete(x.departures, d)
		}
	}
	slices.SortFunc(out, func(a, b placement.Departure) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

func (n *net) act(x *node, a fleet.Action) {
	switch a := a.(type) {
	case fleet.SendDigest:
		for i, to := range a.To {
			d := a.Digest
			if i < len(a.Yours) && a.Yours[i] != nil {
				d = proto.Clone(d).(*peerv1.Digest)
				d.Yours = a.Yours[i]
			}
			n.after(time.Duration(i/burst)*burstPause, func() { n.digest(x.address, to, d) })
		}
	case fleet.Follow:
		n.follow(x, a)
	case fleet.ReadWhole:
		n.whole(x, a)
	case fleet.StopFollowing:
		x.calls[a.Table]++
		for range x.pending[a.Table] {
			n.after(hop, func() { n.step(x, fleet.ReadFailed{Table: a.Table, Stopped: true}) })
		}
		x.pending[a.Table] = 0
	case fleet.CopyFrom:
		n.copy(x, a)
	case fleet.Changed:
		x.changed = append(x.changed, a)
		if a.Table == fleet.Desired {
			x.inForce = append(x.inForce, a.Version)
		}
	case fleet.PeerDown:
		x.downs = append(x.downs, a)
		delete(x.told, a.Source)
	case fleet.LoadsForgotten:
		if len(a.Sources) == 0 {
			clear(x.told)
		}
		for _, s := range a.Sources {
			delete(x.told, s)
		}
	case fleet.SuspectsKnown:
		x.knowsSuspects = true
	case fleet.LoadsHeard:
		x.hear(n.now, a)
	}
}

// news returns what is to be told at once.
func (x *node) news(now time.Time) fleet.News {
	return fleet.News{Departures: x.tell(), Poison: x.detector.TakeNews(now), Held: x.detector.All(now), HeldKnown: x.knowsSuspects}
}

// hear takes in what others told, and passes news of departures on as the gateway does.
func (x *node) hear(now time.Time, a fleet.LoadsHeard) {
	if !a.Partial {
		x.told[a.Source] = heard{now, a.Loads}
	}
	for _, d := range a.Departures {
		x.learn(now, d)
	}
	x.detector.Heard(now, a.Poison)
}

// heard is what a source told last.
type heard struct {
	at    time.Time
	loads []placement.Load
}

// open returns what the node knows that others have open at a target, as a placement counts it.
func (x *node) open(now time.Time, target uint64) int {
	sum := 0
	for _, h := range x.told {
		if now.Sub(h.at) > placement.DefaultSettings("").LoadReportTTL {
			continue
		}
		for _, l := range h.loads {
			if l.Target == target {
				sum += l.Open
			}
		}
	}
	return sum
}

// converse reports whether calls between two routers are answered.
func (n *net) converse(a, b fleet.Address) bool {
	return !n.cut[[2]fleet.Address{a, b}] && !n.cut[[2]fleet.Address{b, a}]
}

func (n *net) digest(from, to fleet.Address, d *peerv1.Digest) {
	size := proto.Size(d) + datagramHeader
	if l := n.nodes[from].link; l != nil {
		l.digests += size
	}
	took, lost := n.nodes[from].link.send(n.now, size, true)
	if lost || n.rand.Float64() < n.loss {
		return
	}
	n.after(took+hop, func() {
		x, ok := n.nodes[to]
		if !ok || n.cut[[2]fleet.Address{from, to}] {
			return
		}
		if x.link != nil {
			x.link.heard += size
		}
		if took, lost := x.link.receive(n.now, size, true); !lost {
			n.after(took, func() { n.step(x, fleet.DigestIn{From: from, Digest: d}) })
		}
	})
}

// datagramHeader is what the network adds to a digest.
const datagramHeader = 28

func (n *net) copy(x *node, a fleet.CopyFrom) {
	n.after(2*hop, func() {
		peer, ok := n.nodes[a.Peer]
		if !ok || !peer.up || peer.frozen || !n.converse(x.address, a.Peer) {
			n.after(a.Timeout, func() { n.step(x, fleet.Copied{From: a.Peer, Table: a.Table}) })
			return
		}
		reply := peer.core.Copy(&peerv1.CopyRequest{Protocol: fleet.Protocol, Table: uint32(a.Table), After: a.After})
		wait := x.receive(n.now, reply)
		if peer.link != nil {
			if !peer.budget.Take(n.now, proto.Size(reply)) {
				holders := peer.core.Holders(n.now, a.Table, x.address)
				n.after(hop, func() { n.step(x, fleet.Copied{From: a.Peer, Table: a.Table, Busy: true, Holders: holders}) })
				return
			}
			sent, _ := peer.link.send(n.now, proto.Size(reply), false)
			received, _ := x.link.receive(n.now.Add(sent), proto.Size(reply), false)
			wait += sent + received
		}
		if wait > a.Timeout {
			wait, reply = a.Timeout, nil
		}
		n.after(wait, func() { n.step(x, fleet.Copied{From: a.Peer, Table: a.Table, Reply: reply}) })
	})
}

// receive returns how long a reply takes on the node's link. What is given up is on its way as well, and what
// follows waits behind it.
func (x *node) receive(now time.Time, reply *peerv1.CopyResponse) time.Duration {
	if x.bytesPerSecond == 0 {
		return 0
	}
	size := 0
	for _, r := range reply.GetRows() {
		size += len(r.GetValue())
	}
	if x.linkFree.Before(now) {
		x.linkFree = now
	}
	x.linkFree = x.linkFree.Add(time.Duration(size) * time.Second / time.Duration(x.bytesPerSecond))
	return x.linkFree.Sub(now)
}

// end gives a node the outcome of a call, unless the call was stopped.
func (n *net) end(x *node, calls int, t fleet.Table, ev fleet.Event) {
	if x.calls[t] == calls {
		x.pending[t]--
		n.step(x, ev)
	}
}

// readers returns the routers that read the store.
func (n *net) readers() (out []fleet.Address) {
	for a, x := range n.nodes {
		if x.up && x.core.Reading() {
			out = append(out, a)
		}
	}
	return out
}

// behind returns the routers that run and lack a version of a table.
func (n *net) behind(t fleet.Table, version uint64) (out []fleet.Address) {
	for a, x := range n.nodes {
		if _, v := x.core.Rows(t); x.up && v < version {
			out = append(out, a)
		}
	}
	return out
}
