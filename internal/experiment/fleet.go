package experiment

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	core "github.com/hemlockdyke/hemlockdyke/internal/core/router"
	"github.com/hemlockdyke/hemlockdyke/internal/core/ticket"
	"github.com/hemlockdyke/hemlockdyke/internal/fakenet"
)

// callBytes is what one peer call costs on the wire beyond its two messages:
// frames, compressed headers, packet headers and an acknowledgement. `make
// capacity` measures it on loopback.
const callBytes = 260

const poolName = "drafting"

// firstTargetUID keeps target UIDs apart from those of teams.
const firstTargetUID = 1000

// fleet runs one router core per simulated router.
type fleet struct {
	sim      *simulation
	net      *fakenet.Net
	requests map[askKey]*request
	granted  map[askKey]uint64 // engine of each grant seen at its owner; 0 after a refusal
	nextID   uint64
	revision uint64
	specs    map[string]string // last spec of each resource, by name
	placed   map[askKey]uint64 // engine of each request that runs
	changes  []resource.Change
	newCore  func(i int) *core.Core
}

type askKey struct {
	router int
	id     uint64
}

func newFleet(s *simulation, seed uint64, tweak func(*core.Settings)) *fleet {
	f := &fleet{
		sim: s, net: fakenet.New(s.clock, s.delay), requests: make(map[askKey]*request),
		granted: make(map[askKey]uint64), specs: make(map[string]string),
		placed: make(map[askKey]uint64),
	}
	f.net.Hooks = fakenet.Hooks{
		GrantTarget: f.onGrant, RefuseRequest: f.onRefuse, CallPeer: f.onSend, AnswerCall: f.onRespond,
		ProbeTarget: f.onProbe, ReadStore: f.onReadStore,
	}
	ids := make([]uint32, s.scenario.Routers)
	for i := range ids {
		ids[i] = uint32(i + 1)
	}
	starts := uint64(0)
	f.newCore = func(i int) *core.Core {
		starts++
		settings := core.DefaultSettings(ids[i], ids)
		settings.Seed, settings.Incarnation = seed, starts
		tweak(&settings)
		return core.New(s.clock.Now(), settings)
	}
	for i := range ids {
		f.net.AddNode(f.newCore(i), core.TickInterval)
		f.net.Step(i, core.StoreReadCompleted{})
	}
	if s.scenario.OwnerKillInterval > 0 {
		f.killOwners()
	}
	return f
}

// restartAfter is how long a killed router stays away.
const restartAfter = 8 * time.Second

// killOwners kills the pool's owner again and again and restarts it.
func (f *fleet) killOwners() {
	f.sim.clock.AfterFunc(f.sim.scenario.OwnerKillInterval, func() {
		ids := make([]uint32, f.net.NodeCount())
		for i := range ids {
			ids[i] = uint32(i + 1)
		}
		owner, _ := rendezvous.Highest(rendezvous.Hash(poolName), ids)
		f.kill(int(owner) - 1)
		f.sim.clock.AfterFunc(restartAfter, func() { f.net.Restart(int(owner)-1, f.newCore(int(owner)-1)) })
		f.killOwners()
	})
}

// kill ends a router; the callers of its requests ask again through others.
func (f *fleet) kill(router int) {
	f.net.Kill(router)
	var keys []askKey
	for key := range f.requests {
		if key.router == router {
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].id < keys[j].id })
	for _, key := range keys {
		r := f.requests[key]
		if uid := f.granted[key]; uid != 0 {
			f.sim.measure.ended(uid - firstTargetUID)
		}
		if uid, ok := f.placed[key]; ok {
			f.sim.engines[uid].cancel(r)
		}
		f.granted[key] = 0
		delete(f.requests, key)
		delete(f.placed, key)
		f.arrive(r)
	}
}

// delay is the one-way delay between two places.
func (s *simulation) delay(a, b int) time.Duration {
	if a%s.scenario.DataCentres == b%s.scenario.DataCentres {
		return s.scenario.LocalDelay
	}
	return s.scenario.RemoteDelay
}

// configure accepts the engines as a new revision and pushes it to every router.
func (f *fleet) configure(engines []engineState) {
	f.revision++
	change := resource.Change{Revision: f.revision}
	f.add(&change, resource.KindPool, poolName, 1, resource.PoolSpec{
		Protocol: resource.ProtocolModel, MaxPerTarget: f.sim.scenario.Slots,
	})
	for i := range f.sim.scenario.Teams {
		f.add(&change, resource.KindTeam, fmt.Sprintf("team-%d", i), uint64(10+i), resource.TeamSpec{Weight: 1})
	}
	for _, e := range engines {
		f.add(&change, resource.KindTarget, e.name, firstTargetUID+e.uid, resource.TargetSpec{
			Pool: poolName, Address: "127.0.0.1:1", Leaving: e.leaving,
		})
	}
	f.changes = append(f.changes, change)
	push := &peerv1.PushRequest{Protocol: ticket.ProtocolVersion, Changes: core.EncodeChanges([]resource.Change{change})}
	for i := range f.net.NodeCount() {
		f.net.Deliver(0, i, push, func(core.AnswerCall) {})
	}
}

// add puts a resource into a change if its spec is new.
func (f *fleet) add(change *resource.Change, kind resource.Kind, name string, uid uint64, spec any) {
	encoded, err := json.Marshal(spec)
	if err != nil || f.specs[name] == string(encoded) {
		return
	}
	f.specs[name] = string(encoded)
	change.Resources = append(change.Resources, resource.Resource{
		Kind: kind, Spec: encoded, Metadata: resource.Metadata{Name: name, UID: uid, ResourceVersion: change.Revision},
	})
}

// arrive hands a request to its router, or to the next one that is up, as the
// balancer would.
func (f *fleet) arrive(r *request) {
	for !f.net.IsUp(r.router) {
		r.router = (r.router + 1) % f.net.NodeCount()
	}
	f.ask(r, nil, false)
}

func (f *fleet) ask(r *request, excluded []uint64, retry bool) {
	f.nextID++
	f.requests[askKey{r.router, f.nextID}] = r
	f.net.Step(r.router, core.RequestArrived{
		ID: f.nextID, Pool: poolName, Team: r.team, Chat: rendezvous.Mix(uint64(r.chat.id), 1),
		Priority: r.priority, Deadline: r.deadline, Excluded: excluded, Retry: retry,
	})
}

// onReadStore answers from the accepted changes.
func (f *fleet) onReadStore(router int, a core.ReadStore) {
	read := core.StoreReadCompleted{}
	if a.AfterRevision < uint64(len(f.changes)) {
		read.Changes = f.changes[a.AfterRevision:]
	}
	f.sim.clock.AfterFunc(f.sim.scenario.RemoteDelay, func() { f.net.Step(router, read) })
}

func (f *fleet) onProbe(router int, a core.ProbeTarget) {
	open := len(f.sim.engines[a.Target.UID-firstTargetUID].open)
	f.sim.measure.control += reportBytes
	f.sim.clock.AfterFunc(f.sim.scenario.RemoteDelay, func() {
		f.net.Step(router, core.LoadReported{Pool: poolName, Target: a.Target.UID, OpenRequests: open})
	})
}

func (f *fleet) onSend(_ int, a core.CallPeer) {
	if m, ok := a.Message.(*peerv1.DeliverRequest); ok {
		f.countGrants(int(a.To)-1, m.GetGrants())
	}
	f.sim.measure.control += callBytes + float64(proto.Size(a.Message))
}

func (f *fleet) onRespond(_, caller int, a core.AnswerCall) {
	if a.Err != nil {
		return
	}
	if resp, ok := a.Message.(*peerv1.ExchangeResponse); ok {
		f.countGrants(caller, resp.GetGrants())
	}
	f.sim.measure.control += float64(proto.Size(a.Message))
}

func (f *fleet) onRefuse(router int, a core.RefuseRequest) {
	key := askKey{router, a.ID}
	r := f.requests[key]
	delete(f.requests, key)
	if uid := f.granted[key]; uid != 0 {
		// The grant was on its way when the router gave the request up.
		f.sim.measure.ended(uid - firstTargetUID)
	}
	f.granted[key] = 0
	if a.Code == code.RetryBudget || a.Code == code.NoTarget {
		f.sim.measure.failed++
	} else {
		f.sim.measure.shed++
	}
	f.sim.finished(r)
}

func (f *fleet) onGrant(router int, a core.GrantTarget) {
	key := askKey{router, a.ID}
	f.countGrants(router, []*peerv1.Grant{{Id: a.ID, Target: a.Target.UID}})
	r := f.requests[key]
	f.placed[key] = a.Target.UID - firstTargetUID
	f.sim.engines[a.Target.UID-firstTargetUID].submit(r, func(ok bool) { f.ended(key, r, a.Target.UID, ok) })
}

// countGrants counts grants once, at the earliest place where they are seen.
func (f *fleet) countGrants(router int, grants []*peerv1.Grant) {
	for _, g := range grants {
		key := askKey{router, g.GetId()}
		if _, seen := f.granted[key]; seen || g.GetTarget() == 0 {
			continue
		}
		f.granted[key] = g.GetTarget()
		f.sim.measure.granted(g.GetTarget() - firstTargetUID)
	}
}

func (f *fleet) ended(key askKey, r *request, uid uint64, ok bool) {
	if f.requests[key] != r {
		return // its router was killed
	}
	delete(f.placed, key)
	f.sim.measure.ended(uid - firstTargetUID)
	delete(f.requests, key)
	outcome := peerv1.Outcome_OUTCOME_DONE
	if !ok {
		outcome = peerv1.Outcome_OUTCOME_FAILED
	}
	f.net.Step(key.router, core.RequestEnded{ID: key.id, Outcome: outcome})
	if ok {
		f.sim.finished(r)
		return
	}
	f.ask(r, []uint64{uid}, true)
}

// newPartition returns a fleet in which every router owns its own part of each
// pool, as when no router reaches another: the fallback without an owner.
func newPartition(s *simulation, seed uint64) *fleet {
	return newFleet(s, seed, func(c *core.Settings) {
		c.Routers = []uint32{c.Self}
	})
}
