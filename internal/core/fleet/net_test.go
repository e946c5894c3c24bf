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
	"github.com/hemlockdyke/hemlockdyke/internal/core/lineage"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/poison"
	"github.com/hemlockdyke/hemlockdyke/internal/core/replica"
	"github.com/hemlockdyke/hemlockdyke/internal/core/shedding"
)

var start = time.Unix(1000, 0)

// event is a scheduled event of the simulation.
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
	stalled bool
	// startsAt is the start time of its process.
	startsAt time.Time
	// bytesPerSecond is the bandwidth that the node's link has left for copies; 0 means no limit.
	bytesPerSecond int
	linkFreeAt     time.Time
	// link carries digests and copies in both directions; nil means no limit.
	link *link
	// budget limits the copies on the link.
	budget *fleet.CopyBudget
	// loads are the node's open requests. reports are those of other routers, by source.
	loads   []placement.Load
	reports map[uint32]sourceReport
	teams   []shedding.TeamWork // with the most work at the node
	// departures are sent immediately and in the next digests, as the gateway does; the value is
	// the remaining number of digests.
	departures     map[placement.Departure]int
	reportsPending bool
	departuresSeen map[uint64]time.Time // when the node learned of each leaving target

	streams *lineage.Registry
	// streamsPerTick is how many streams begin at the node in each tick.
	streamsPerTick int

	detector       *poison.Detector
	suspectsSynced bool

	callGeneration [fleet.TableCount]int // incremented when calls are cancelled
	pendingCalls   [fleet.TableCount]int
	tableChanges   []fleet.TableChanged
	peerDowns      []fleet.PeerDown
	// appliedVersions are the versions of the desired table in the order in which they were
	// applied.
	appliedVersions []uint64
}

// addLink gives a node a link.
func (n *net) addLink(x *node, bytesPerSecond int) {
	x.link = &link{bytesPerSecond: bytesPerSecond}
	x.budget = fleet.NewCopyBudget(n.now, int64(bytesPerSecond))
}

// net is a fleet of cores with a simulated clock and network.
type net struct {
	now   time.Time
	queue events
	order int
	store *store
	nodes map[fleet.Address]*node
	// cut holds the pairs of routers, sender first, between which all messages are lost. loss is
	// the share of datagrams lost on every path.
	cut    map[[2]fleet.Address]bool
	loss   float64
	rand   *rand.Rand
	starts uint64
	begun  uint64 // streams that began so far
	// centres is the number of data centres, strong the number of strong VMs in each.
	centres, strong int
	// onDigest is called with each digest that a router sends, if it is not nil.
	onDigest func(d *peerv1.Digest)
}

const (
	// startSpread is the period in which the first processes start, in random order.
	startSpread = 300 * time.Millisecond
	// sendBurst and sendBurstDelay are those of the adapter that sends digests.
	sendBurst      = 16
	sendBurstDelay = 5 * time.Millisecond

	hopDelay   = time.Millisecond
	storeDelay = 4 * time.Millisecond
	// callMargin is how much longer than its wait a store call may take.
	callMargin = 600 * time.Millisecond
)

// newNet starts routers on equal VMs in three data centres.
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
	n.write(fleet.DesiredTable, "config", "v1")
	n.write(fleet.TargetsTable, "t1", "ready")
	for i := range routers {
		n.start(address(i))
	}
	return n
}

func address(i int) fleet.Address {
	return fleet.Address(fmt.Sprintf("10.0.%d.%d:7340", i/250, i%250+1))
}

// location returns the data centre and the strength of the VM at an address.
func (n *net) location(a fleet.Address) (dataCentre string, strength uint32) {
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

// start starts a process at an address. Its seeds are the first three addresses.
func (n *net) start(a fleet.Address) *node {
	n.starts++
	x := &node{address: a, up: true, reports: make(map[uint32]sourceReport), departuresSeen: make(map[uint64]time.Time), departures: make(map[placement.Departure]int)}
	dataCentre, strength := n.location(a)
	x.detector, x.suspectsSynced = poison.NewDetector(), n.now.Equal(start)
	x.streams = lineage.NewRegistry(n.now, streamRetention)
	x.startsAt = n.now
	if n.now.Equal(start) {
		x.startsAt = n.now.Add(time.Duration(n.rand.Float64() * float64(startSpread)))
	}
	x.core = fleet.New(x.startsAt, fleet.Settings{
		Self: a, Incarnation: n.starts * 7919, Seed: n.starts, DataCentre: dataCentre, Strength: strength,
		ReadStoreAtStart: n.now.After(start), MaxApplyDelay: maxApplyDelay, MaxDepartureDelay: maxDepartureDelay,
	})
	n.nodes[a] = x
	n.after(x.startsAt.Sub(n.now), func() {
		n.step(x, fleet.AddressesDiscovered{Addresses: []fleet.Address{address(0), address(1), address(2)}})
	})
	n.after(x.startsAt.Sub(n.now)+time.Duration(n.rand.Float64()*float64(fleet.TickInterval)), func() { n.tick(x) })
	return x
}

func (n *net) tick(x *node) {
	n.after(fleet.TickInterval, func() {
		if x.up {
			x.detector.Tick(n.now)
			for range x.streamsPerTick {
				n.begin(x)
			}
			n.step(x, fleet.Tick{Loads: x.loads, Teams: x.teams, Streams: x.streams.TakeUnreported(1024), UrgentReports: x.urgentReports(n.now)})
			n.tick(x)
		}
	})
}

func (n *net) kill(a fleet.Address) { n.nodes[a].up = false }

func (n *net) step(x *node, ev fleet.Event) {
	if !x.up || n.now.Before(x.startsAt) {
		return
	}
	if x.stalled {
		n.after(fleet.TickInterval, func() { n.step(x, ev) })
		return
	}
	for _, a := range append([]fleet.Action(nil), x.core.Step(n.now, ev)...) {
		n.handleAction(x, a)
	}
	if x.reportsPending || x.detector.HasUrgentReport() {
		n.step(x, fleet.UrgentReportsPending{UrgentReports: x.urgentReports(n.now)})
	}
}

// addDeparture queues a departure to be sent, unless it is already known.
func (x *node) addDeparture(now time.Time, d placement.Departure) {
	if _, ok := x.departuresSeen[d.Target]; !ok {
		x.departuresSeen[d.Target], x.departures[d], x.reportsPending = now, 3, true
	}
}

// takeDepartures returns the departures for the next digest.
func (x *node) takeDepartures() (out []placement.Departure) {
	x.reportsPending = false
	for d := range x.departures {
		out = append(out, d)
		if x.departures[d]--; x.departures[d] == 0 {
			delete(x.departures, d)
		}
	}
	slices.SortFunc(out, func(a, b placement.Departure) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

func (n *net) handleAction(x *node, a fleet.Action) {
	switch a := a.(type) {
	case fleet.SendDigest:
		for i, to := range a.To {
			d := a.Digest
			if i < len(a.RecipientReports) && a.RecipientReports[i] != nil {
				d = proto.Clone(d).(*peerv1.Digest)
				d.Yours = a.RecipientReports[i]
			}
			n.after(time.Duration(i/sendBurst)*sendBurstDelay, func() { n.sendDigest(x.address, to, d) })
		}
	case fleet.ReadChanges:
		n.readChanges(x, a)
	case fleet.ReadTable:
		n.readTable(x, a)
	case fleet.CancelReadChanges:
		x.callGeneration[a.Table]++
		for range x.pendingCalls[a.Table] {
			n.after(hopDelay, func() { n.step(x, fleet.ReadFailed{Table: a.Table, Cancelled: true}) })
		}
		x.pendingCalls[a.Table] = 0
	case fleet.RequestCopy:
		n.copy(x, a)
	case fleet.TableChanged:
		x.tableChanges = append(x.tableChanges, a)
		if a.Table == fleet.DesiredTable {
			x.appliedVersions = append(x.appliedVersions, a.Version)
		}
	case fleet.PeerDown:
		x.peerDowns = append(x.peerDowns, a)
		delete(x.reports, a.Source)
	case fleet.ReportsDiscarded:
		if len(a.Sources) == 0 {
			clear(x.reports)
		}
		for _, s := range a.Sources {
			delete(x.reports, s)
		}
	case fleet.SuspectsSynced:
		x.suspectsSynced = true
	case fleet.StreamsMissed:
		x.streams.ReportAgain(n.now)
	case fleet.ReportReceived:
		x.handleReport(n.now, a)
	}
}

// urgentReports returns the reports to be sent immediately.
func (x *node) urgentReports(now time.Time) fleet.UrgentReports {
	return fleet.UrgentReports{Departures: x.takeDepartures(), Poison: x.detector.TakeReport(now), HeldSuspects: x.detector.ListSuspects(now), SuspectsSynced: x.suspectsSynced}
}

// handleReport processes the reports of other routers and passes departures on, as the gateway
// does.
func (x *node) handleReport(now time.Time, a fleet.ReportReceived) {
	if !a.Partial {
		x.reports[a.Source] = sourceReport{now, a.Loads, a.Teams}
	}
	for _, d := range a.Departures {
		x.addDeparture(now, d)
	}
	x.detector.ReceiveReport(now, a.Poison)
	x.streams.Receive(now, a.Streams)
}

// sourceReport is the last report of a source.
type sourceReport struct {
	at    time.Time
	loads []placement.Load
	teams []shedding.TeamWork
}

// openRequests returns the number of other routers' open requests at a target, as placement counts
// them.
func (x *node) openRequests(now time.Time, target uint64) int {
	return x.reportedLoad(now, target).Open
}

// reportedLoad returns the sum of the load reports on a target that count.
func (x *node) reportedLoad(now time.Time, target uint64) (sum placement.Load) {
	for _, h := range x.reports {
		if now.Sub(h.at) > placement.DefaultSettings("").LoadReportTTL {
			continue
		}
		for _, l := range h.loads {
			if l.Target == target {
				sum.Open += l.Open
				sum.Silent += l.Silent
			}
		}
	}
	return sum
}

// connected reports whether messages between two routers arrive in both directions.
func (n *net) connected(a, b fleet.Address) bool {
	return !n.cut[[2]fleet.Address{a, b}] && !n.cut[[2]fleet.Address{b, a}]
}

func (n *net) sendDigest(from, to fleet.Address, d *peerv1.Digest) {
	if n.onDigest != nil {
		n.onDigest(d)
	}
	size := proto.Size(d) + datagramHeader
	if l := n.nodes[from].link; l != nil {
		l.bytesSent += size
	}
	took, lost := n.nodes[from].link.send(n.now, size, true)
	if lost || n.rand.Float64() < n.loss {
		return
	}
	n.after(took+hopDelay, func() {
		x, ok := n.nodes[to]
		if !ok || n.cut[[2]fleet.Address{from, to}] {
			return
		}
		if x.link != nil {
			x.link.bytesReceived += size
		}
		if took, lost := x.link.receive(n.now, size, true); !lost {
			n.after(took, func() { n.step(x, fleet.DigestReceived{From: from, Digest: d}) })
		}
	})
}

// datagramHeader is the size of the network headers of a digest.
const datagramHeader = 28

func (n *net) copy(x *node, a fleet.RequestCopy) {
	n.after(2*hopDelay, func() {
		peer, ok := n.nodes[a.Peer]
		if !ok || !peer.up || peer.stalled || !n.connected(x.address, a.Peer) {
			n.after(a.Timeout, func() { n.step(x, fleet.CopyCompleted{From: a.Peer, Table: a.Table}) })
			return
		}
		response := peer.core.ServeCopy(&peerv1.CopyRequest{Protocol: fleet.Protocol, Table: uint32(a.Table), After: a.After})
		wait := x.receive(n.now, response)
		if peer.link != nil {
			if !peer.budget.Allow(n.now, proto.Size(response)) {
				holders := peer.core.TableHolders(n.now, a.Table, x.address)
				n.after(hopDelay, func() { n.step(x, fleet.CopyCompleted{From: a.Peer, Table: a.Table, Busy: true, Holders: holders}) })
				return
			}
			sent, _ := peer.link.send(n.now, proto.Size(response), false)
			received, _ := x.link.receive(n.now.Add(sent), proto.Size(response), false)
			wait += sent + received
		}
		if wait > a.Timeout {
			wait, response = a.Timeout, nil
		}
		n.after(wait, func() { n.step(x, fleet.CopyCompleted{From: a.Peer, Table: a.Table, Response: response}) })
	})
}

// receive returns the transmission time of a copy response on the node's link. Responses that are
// abandoned use the link as well and delay those that follow.
func (x *node) receive(now time.Time, response *peerv1.CopyResponse) time.Duration {
	if x.bytesPerSecond == 0 {
		return 0
	}
	size := 0
	for _, r := range response.GetRows() {
		size += len(r.GetValue())
	}
	if x.linkFreeAt.Before(now) {
		x.linkFreeAt = now
	}
	x.linkFreeAt = x.linkFreeAt.Add(time.Duration(size) * time.Second / time.Duration(x.bytesPerSecond))
	return x.linkFreeAt.Sub(now)
}

// finishCall passes the outcome of a call to a node, unless the call was cancelled.
func (n *net) finishCall(x *node, generation int, t fleet.Table, ev fleet.Event) {
	if x.callGeneration[t] == generation {
		x.pendingCalls[t]--
		n.step(x, ev)
	}
}

// readers returns the store readers.
func (n *net) readers() (out []fleet.Address) {
	for a, x := range n.nodes {
		if x.up && x.core.ReadsStore() {
			out = append(out, a)
		}
	}
	return out
}

// behind returns the running routers whose table copy is older than version.
func (n *net) behind(t fleet.Table, version uint64) (out []fleet.Address) {
	for a, x := range n.nodes {
		if _, v := x.core.Rows(t); x.up && v < version {
			out = append(out, a)
		}
	}
	return out
}
