package router_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fairqueue"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	core "github.com/hemlockdyke/hemlockdyke/internal/core/router"
	"github.com/hemlockdyke/hemlockdyke/internal/core/ticket"
	"github.com/hemlockdyke/hemlockdyke/internal/fakenet"
)

const (
	poolName = "drafting"
	teamName = "dealers"
	// maxPerTarget is the cap of open requests per target that the fleet must keep.
	maxPerTarget = 6
	// requestTimeout is the time from a request's arrival to its deadline.
	requestTimeout = 8 * time.Second
)

// store is a fake table service that holds the list of accepted changes.
type store struct {
	down    bool
	changes []resource.Change
}

func (s *store) readAfter(after uint64) core.StoreReadCompleted {
	if s.down {
		return core.StoreReadCompleted{Failed: true}
	}
	if after >= uint64(len(s.changes)) {
		return core.StoreReadCompleted{}
	}
	return core.StoreReadCompleted{Changes: s.changes[after:]}
}

// openRequest is a request that was granted a target.
type openRequest struct {
	router int
	id     uint64
	target uint64
}

// fleet is a fleet of router cores. It records what each of them was granted.
type fleet struct {
	clock    *fakenet.Clock
	net      *fakenet.Net
	store    *store
	rand     *rand.Rand
	routers  []uint32
	settings func(*core.Settings)

	nextID     uint64
	undecided  map[uint64]int // the router of each request that is neither granted nor refused
	decided    map[uint64]bool
	open       map[uint64]openRequest
	violations []string // violated invariants
	history    []string // steps of the schedule, printed on failure

	leaving      map[uint64]time.Time // when a target was marked as leaving
	cut          map[[2]int]bool      // cut links, by sender and receiver
	loss         float64              // fraction of messages that are lost
	incarnations uint64
	// allowedExcess is the number of requests by which the cap may be exceeded while routers
	// can't reach their owner and the owner has not detected it yet.
	allowedExcess int
	// maxLeavingGrantDelay is how long after it was marked as leaving a target may still be
	// granted.
	maxLeavingGrantDelay time.Duration
}

func newFleet(routers, targets int, configure func(*core.Settings)) *fleet {
	f := &fleet{
		clock: fakenet.NewClock(), store: &store{}, rand: rand.New(rand.NewPCG(1, 2)), settings: configure,
		undecided: make(map[uint64]int), decided: make(map[uint64]bool), open: make(map[uint64]openRequest),
		leaving: make(map[uint64]time.Time), cut: make(map[[2]int]bool), maxLeavingGrantDelay: 6 * time.Second,
	}
	f.net = fakenet.New(f.clock, func(int, int) time.Duration { return time.Millisecond })
	f.net.IsLost = func(a, b int) bool { return f.cut[[2]int{a, b}] || (f.loss > 0 && f.rand.Float64() < f.loss) }
	f.net.Hooks = fakenet.Hooks{
		GrantTarget: f.onGrant, RefuseRequest: f.onRefuse, ProbeTarget: f.onProbe,
		ReadStore: func(node int, a core.ReadStore) {
			f.clock.AfterFunc(time.Millisecond, func() { f.net.Step(node, f.store.readAfter(a.AfterRevision)) })
		},
	}
	f.acceptChange(baseResources(targets))
	for i := range routers {
		f.routers = append(f.routers, uint32(i+1))
	}
	for i := range routers {
		f.net.AddNode(f.newCore(i), time.Duration(i)*time.Millisecond)
	}
	return f
}

func (f *fleet) newCore(i int) *core.Core {
	f.incarnations++
	s := core.DefaultSettings(f.routers[i], f.routers)
	s.Incarnation, s.Seed = f.incarnations, f.incarnations
	f.settings(&s)
	return core.New(f.clock.Now(), s)
}

func newResource(kind resource.Kind, name string, uid uint64, spec any) resource.Resource {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return resource.Resource{Kind: kind, Spec: encoded, Metadata: resource.Metadata{Name: name, UID: uid}}
}

func targetResource(uid uint64, leaving bool) resource.Resource {
	return newResource(resource.KindTarget, fmt.Sprintf("engine-%d", uid), uid, resource.TargetSpec{
		Pool: poolName, Address: "127.0.0.1:1", Leaving: leaving,
	})
}

func baseResources(targets int) []resource.Resource {
	out := []resource.Resource{
		newResource(resource.KindPool, poolName, 1, resource.PoolSpec{Protocol: resource.ProtocolModel, MaxPerTarget: maxPerTarget}),
		newResource(resource.KindTeam, teamName, 2, resource.TeamSpec{Weight: 1}),
	}
	for i := range targets {
		out = append(out, targetResource(uint64(100+i), false))
	}
	return out
}

// acceptChange stores a change, as a controller would.
func (f *fleet) acceptChange(resources []resource.Resource) resource.Change {
	change := resource.Change{Revision: uint64(len(f.store.changes)) + 1, Resources: resources}
	f.store.changes = append(f.store.changes, change)
	return change
}

// pushChange sends a change to some routers, as the controller that accepted it would.
func (f *fleet) pushChange(change resource.Change, to ...int) {
	m := &peerv1.PushRequest{Protocol: ticket.ProtocolVersion, Changes: core.EncodeChanges([]resource.Change{change})}
	for _, node := range to {
		f.net.Deliver(fakenet.OutsideCaller, node, m, func(core.ReplyToCall) {})
	}
}

// drainTarget marks a target as leaving and pushes the change to every router.
func (f *fleet) drainTarget(uid uint64) {
	if _, ok := f.leaving[uid]; ok {
		return
	}
	f.recordStep("drain target %d", uid)
	f.leaving[uid] = f.clock.Now()
	change := f.acceptChange([]resource.Resource{targetResource(uid, true)})
	for i := range f.routers {
		f.pushChange(change, i)
	}
}

func (f *fleet) sendRequest(node int, priority fairqueue.Priority) uint64 {
	f.nextID++
	f.recordStep("request %d at router %d, priority %d", f.nextID, node+1, priority)
	if !f.net.IsUp(node) {
		return f.nextID
	}
	f.undecided[f.nextID] = node
	f.net.Step(node, core.RequestArrived{
		ID: f.nextID, Pool: poolName, Team: teamName, Chat: f.nextID % 17, Priority: priority,
		Deadline: f.clock.Now().Add(requestTimeout),
	})
	return f.nextID
}

func (f *fleet) onGrant(node int, a core.GrantTarget) {
	f.recordDecision(a.ID)
	f.recordStep("granted %d: target %d", a.ID, a.Target.UID)
	f.open[a.ID] = openRequest{router: node, id: a.ID, target: a.Target.UID}
	if n := f.openRequestsAt(a.Target.UID); n > maxPerTarget+f.allowedExcess {
		f.reportViolation("target %d has %d open requests, limit %d", a.Target.UID, n, maxPerTarget+f.allowedExcess)
	}
	if since, ok := f.leaving[a.Target.UID]; ok && f.clock.Now().Sub(since) > f.maxLeavingGrantDelay {
		f.reportViolation("target %d was granted %s after it was marked as leaving", a.Target.UID, f.clock.Now().Sub(since))
	}
}

func (f *fleet) onRefuse(_ int, a core.RefuseRequest) {
	f.recordStep("refused %d: %d", a.ID, a.Code)
	f.recordDecision(a.ID)
}

func (f *fleet) recordDecision(id uint64) {
	if f.decided[id] {
		f.reportViolation("request %d was decided twice", id)
	}
	f.decided[id] = true
	delete(f.undecided, id)
}

func (f *fleet) recordStep(format string, args ...any) {
	f.history = append(f.history, fmt.Sprintf("%s: ", f.clock.Elapsed())+fmt.Sprintf(format, args...))
}

func (f *fleet) reportViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf("%s: ", f.clock.Elapsed())+fmt.Sprintf(format, args...))
}

// openRequestsAt returns the actual number of open requests at a target.
func (f *fleet) openRequestsAt(uid uint64) int {
	n := 0
	for _, r := range f.open {
		if r.target == uid {
			n++
		}
	}
	return n
}

func (f *fleet) onProbe(node int, a core.ProbeTarget) {
	open := f.openRequestsAt(a.Target.UID)
	f.clock.AfterFunc(2*time.Millisecond, func() {
		f.net.Step(node, core.LoadReported{Pool: poolName, Target: a.Target.UID, OpenRequests: open})
	})
}

// endRequest ends the open request with index choice modulo their number.
func (f *fleet) endRequest(choice int, outcome peerv1.Outcome) {
	if len(f.open) == 0 {
		return
	}
	ids := make([]uint64, 0, len(f.open))
	for id := range f.open {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	r := f.open[ids[choice%len(ids)]]
	delete(f.open, r.id)
	f.recordStep("ended %d", r.id)
	f.net.Step(r.router, core.RequestEnded{ID: r.id, Outcome: outcome})
}

// kill ends a router's process; its requests end with it.
func (f *fleet) kill(node int) {
	if !f.net.IsUp(node) {
		return
	}
	f.recordStep("kill router %d", node+1)
	f.net.Kill(node)
	for id, r := range f.open {
		if r.router == node {
			delete(f.open, id)
		}
	}
	for id, router := range f.undecided {
		if router == node {
			delete(f.undecided, id)
		}
	}
}

func (f *fleet) restart(node int) {
	if !f.net.IsUp(node) {
		f.recordStep("restart router %d", node+1)
		f.net.Restart(node, f.newCore(node))
	}
}

func (f *fleet) stall(node int) {
	if f.net.IsUp(node) {
		f.recordStep("stall router %d", node+1)
		f.net.Stall(node)
	}
}

func (f *fleet) resume(node int) {
	if f.net.IsUp(node) && f.net.IsStalled(node) {
		f.recordStep("resume router %d", node+1)
		f.net.Resume(node)
	}
}

func (f *fleet) advance(d time.Duration) { f.clock.RunUntil(f.clock.Elapsed() + d) }

// endFaults ends every fault and lets all requests end.
func (f *fleet) endFaults() {
	f.recordStep("end all faults")
	f.loss = 0
	clear(f.cut)
	f.store.down = false
	for i := range f.routers {
		f.restart(i)
		f.resume(i)
	}
	f.advance(requestTimeout + time.Second) // grants or refuses every waiting request
	for len(f.open) > 0 {
		f.endRequest(0, peerv1.Outcome_OUTCOME_DONE)
		f.advance(10 * time.Millisecond)
	}
	f.advance(15 * time.Second)
}
