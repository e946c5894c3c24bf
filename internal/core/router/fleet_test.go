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
	// maxPerTarget is the cap that the fleet must keep.
	maxPerTarget = 6
	// patience is the time from a request to its deadline.
	patience = 8 * time.Second
)

// store stands in for the table service: a list of accepted changes.
type store struct {
	down    bool
	changes []resource.Change
}

func (s *store) since(after uint64) core.StoreReadCompleted {
	if s.down {
		return core.StoreReadCompleted{Failed: true}
	}
	if after >= uint64(len(s.changes)) {
		return core.StoreReadCompleted{}
	}
	return core.StoreReadCompleted{Changes: s.changes[after:]}
}

// openRequest is a request that a router has been granted a target for.
type openRequest struct {
	router int
	id     uint64
	target uint64
}

// fleet is a fleet of router cores that keeps books of what each was granted.
type fleet struct {
	clock    *fakenet.Clock
	net      *fakenet.Net
	store    *store
	rand     *rand.Rand
	routers  []uint32
	settings func(*core.Settings)

	nextID  uint64
	waiting map[uint64]int // router of each request without a decision
	decided map[uint64]bool
	open    map[uint64]openRequest
	faults  []string // broken invariants
	history []string // what was done to the fleet, for the report of a failure

	leaving map[uint64]time.Time // since when a target is leaving
	cut     map[[2]int]bool
	loss    float64
	starts  uint64
	// slack is by how much the cap may be passed while routers can't reach their
	// owner and the owner has not noticed yet.
	slack int
	// lateAfter is how long after its mark a leaving target may still be granted.
	lateAfter time.Duration
}

func newFleet(routers, targets int, tweak func(*core.Settings)) *fleet {
	f := &fleet{
		clock: fakenet.NewClock(), store: &store{}, rand: rand.New(rand.NewPCG(1, 2)), settings: tweak,
		waiting: make(map[uint64]int), decided: make(map[uint64]bool), open: make(map[uint64]openRequest),
		leaving: make(map[uint64]time.Time), cut: make(map[[2]int]bool), lateAfter: 6 * time.Second,
	}
	f.net = fakenet.New(f.clock, func(int, int) time.Duration { return time.Millisecond })
	f.net.Lost = func(a, b int) bool { return f.cut[[2]int{a, b}] || (f.loss > 0 && f.rand.Float64() < f.loss) }
	f.net.Hooks = fakenet.Hooks{
		Grant: f.onGrant, Refuse: f.onRefuse, Probe: f.onProbe,
		ReadStore: func(node int, a core.ReadStore) {
			f.clock.After(time.Millisecond, func() { f.net.Step(node, f.store.since(a.AfterRevision)) })
		},
	}
	f.accept(baseResources(targets))
	for i := range routers {
		f.routers = append(f.routers, uint32(i+1))
	}
	for i := range routers {
		f.net.Add(f.newCore(i), time.Duration(i)*time.Millisecond)
	}
	return f
}

func (f *fleet) newCore(i int) *core.Core {
	f.starts++
	s := core.DefaultSettings(f.routers[i], f.routers)
	s.Incarnation, s.Seed = f.starts, f.starts
	f.settings(&s)
	return core.New(f.clock.Now(), s)
}

func res(kind resource.Kind, name string, uid uint64, spec any) resource.Resource {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return resource.Resource{Kind: kind, Spec: encoded, Metadata: resource.Metadata{Name: name, UID: uid}}
}

func targetResource(uid uint64, leaving bool) resource.Resource {
	return res(resource.KindTarget, fmt.Sprintf("engine-%d", uid), uid, resource.TargetSpec{
		Pool: poolName, Address: "127.0.0.1:1", Leaving: leaving,
	})
}

func baseResources(targets int) []resource.Resource {
	out := []resource.Resource{
		res(resource.KindPool, poolName, 1, resource.PoolSpec{Protocol: resource.ProtocolModel, MaxPerTarget: maxPerTarget}),
		res(resource.KindTeam, teamName, 2, resource.TeamSpec{Weight: 1}),
	}
	for i := range targets {
		out = append(out, targetResource(uint64(100+i), false))
	}
	return out
}

// accept stores a change, as a controller would.
func (f *fleet) accept(resources []resource.Resource) resource.Change {
	change := resource.Change{Revision: uint64(len(f.store.changes)) + 1, Resources: resources}
	f.store.changes = append(f.store.changes, change)
	return change
}

// push sends a change to some routers, as the accepting controller would.
func (f *fleet) push(change resource.Change, to ...int) {
	m := &peerv1.PushRequest{Protocol: ticket.ProtocolVersion, Changes: core.EncodeChanges([]resource.Change{change})}
	for _, node := range to {
		f.net.Deliver(fakenet.Outside, node, m, func(core.AnswerCall) {})
	}
}

// drain accepts that a target is leaving and pushes it to every router.
func (f *fleet) drain(uid uint64) {
	if _, ok := f.leaving[uid]; ok {
		return
	}
	f.note("drain target %d", uid)
	f.leaving[uid] = f.clock.Now()
	change := f.accept([]resource.Resource{targetResource(uid, true)})
	for i := range f.routers {
		f.push(change, i)
	}
}

func (f *fleet) ask(node int, priority fairqueue.Priority) uint64 {
	f.nextID++
	f.note("ask %d at router %d, priority %d", f.nextID, node+1, priority)
	if !f.net.Up(node) {
		return f.nextID
	}
	f.waiting[f.nextID] = node
	f.net.Step(node, core.RequestArrived{
		ID: f.nextID, Pool: poolName, Team: teamName, Chat: f.nextID % 17, Priority: priority,
		Deadline: f.clock.Now().Add(patience),
	})
	return f.nextID
}

func (f *fleet) onGrant(node int, a core.GrantTarget) {
	f.decide(a.ID)
	f.note("granted %d: target %d", a.ID, a.Target.UID)
	f.open[a.ID] = openRequest{router: node, id: a.ID, target: a.Target.UID}
	if n := f.openAt(a.Target.UID); n > maxPerTarget+f.slack {
		f.fault("target %d carries %d of at most %d", a.Target.UID, n, maxPerTarget+f.slack)
	}
	if since, ok := f.leaving[a.Target.UID]; ok && f.clock.Now().Sub(since) > f.lateAfter {
		f.fault("target %d got new work %s after it began to leave", a.Target.UID, f.clock.Now().Sub(since))
	}
}

func (f *fleet) onRefuse(_ int, a core.RefuseRequest) {
	f.note("refused %d: %d", a.ID, a.Code)
	f.decide(a.ID)
}

func (f *fleet) decide(id uint64) {
	if f.decided[id] {
		f.fault("request %d was decided twice", id)
	}
	f.decided[id] = true
	delete(f.waiting, id)
}

func (f *fleet) note(format string, args ...any) {
	f.history = append(f.history, fmt.Sprintf("%s: ", f.clock.Elapsed())+fmt.Sprintf(format, args...))
}

func (f *fleet) fault(format string, args ...any) {
	f.faults = append(f.faults, fmt.Sprintf("%s: ", f.clock.Elapsed())+fmt.Sprintf(format, args...))
}

// openAt counts the requests that really are open at a target.
func (f *fleet) openAt(uid uint64) int {
	n := 0
	for _, r := range f.open {
		if r.target == uid {
			n++
		}
	}
	return n
}

func (f *fleet) onProbe(node int, a core.ProbeTarget) {
	open := f.openAt(a.Target.UID)
	f.clock.After(2*time.Millisecond, func() {
		f.net.Step(node, core.LoadReported{Pool: poolName, Target: a.Target.UID, OpenRequests: open})
	})
}

// finish ends one open request, chosen by a number.
func (f *fleet) finish(choice int, outcome peerv1.Outcome) {
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
	f.note("ended %d", r.id)
	f.net.Step(r.router, core.RequestEnded{ID: r.id, Outcome: outcome})
}

// kill ends a router's process; its requests end with it.
func (f *fleet) kill(node int) {
	if !f.net.Up(node) {
		return
	}
	f.note("kill router %d", node+1)
	f.net.Kill(node)
	for id, r := range f.open {
		if r.router == node {
			delete(f.open, id)
		}
	}
	for id, router := range f.waiting {
		if router == node {
			delete(f.waiting, id)
		}
	}
}

func (f *fleet) restart(node int) {
	if !f.net.Up(node) {
		f.note("restart router %d", node+1)
		f.net.Restart(node, f.newCore(node))
	}
}

func (f *fleet) pause(node int) {
	if f.net.Up(node) {
		f.note("pause router %d", node+1)
		f.net.Pause(node)
	}
}

func (f *fleet) resume(node int) {
	if f.net.Up(node) && f.net.Paused(node) {
		f.note("resume router %d", node+1)
		f.net.Resume(node)
	}
}

func (f *fleet) advance(d time.Duration) { f.clock.Run(f.clock.Elapsed() + d) }

// heal ends every fault and lets all requests end.
func (f *fleet) heal() {
	f.note("heal")
	f.loss = 0
	clear(f.cut)
	f.store.down = false
	for i := range f.routers {
		f.restart(i)
		f.resume(i)
	}
	f.advance(patience + time.Second) // waiting requests get a target or pass their deadline
	for len(f.open) > 0 {
		f.finish(0, peerv1.Outcome_OUTCOME_DONE)
		f.advance(10 * time.Millisecond)
	}
	f.advance(15 * time.Second)
}
