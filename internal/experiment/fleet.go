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

// callBytes is the size of a peer call on the wire without its two messages: frames, compressed
// headers, packet headers and an acknowledgement. `make capacity` measures it on loopback.
const callBytes = 260

const poolName = "drafting"

// firstTargetUID is added to the number of an engine to get the UID of its target, so that UIDs of
// targets and teams differ.
const firstTargetUID = 1000

// fleet is the policy of this project: it runs one router core per simulated router.
type fleet struct {
	sim            *simulation
	net            *fakenet.Net
	requests       map[attemptKey]*request // open requests
	grantedTargets map[attemptKey]uint64   // target UID of each counted grant; 0 once its request is refused or its router killed
	lastAttemptID  uint64
	revision       uint64
	lastSpecs      map[string]string     // last spec of each resource, by name
	runningEngines map[attemptKey]uint64 // engine that runs each request
	changes        []resource.Change
	newCore        func(i int) *core.Core
}

// attemptKey identifies an attempt of a request: the router and the ID that it was given there.
type attemptKey struct {
	router int
	id     uint64
}

// newFleet starts all router cores with settings that configureCore has changed.
func newFleet(s *simulation, seed uint64, configureCore func(*core.Settings)) *fleet {
	f := &fleet{
		sim: s, net: fakenet.New(s.clock, s.delay), requests: make(map[attemptKey]*request),
		grantedTargets: make(map[attemptKey]uint64), lastSpecs: make(map[string]string),
		runningEngines: make(map[attemptKey]uint64),
	}
	f.net.Hooks = fakenet.Hooks{
		GrantTarget: f.onGrantTarget, RefuseRequest: f.onRefuseRequest, CallPeer: f.onCallPeer, ReplyToCall: f.onReplyToCall,
		ProbeTarget: f.onProbeTarget, ReadStore: f.onReadStore,
	}
	ids := make([]uint32, s.scenario.Routers)
	for i := range ids {
		ids[i] = uint32(i + 1)
	}
	startCount := uint64(0)
	f.newCore = func(i int) *core.Core {
		startCount++
		settings := core.DefaultSettings(ids[i], ids)
		settings.Seed, settings.Incarnation = seed, startCount
		configureCore(&settings)
		return core.New(s.clock.Now(), settings)
	}
	for i := range ids {
		f.net.AddNode(f.newCore(i), core.TickInterval)
		f.net.Step(i, core.StoreReadCompleted{})
	}
	if s.scenario.OwnerKillInterval > 0 {
		f.scheduleOwnerKills()
	}
	return f
}

// restartDelay is the time from the kill of a router to its restart.
const restartDelay = 8 * time.Second

// scheduleOwnerKills kills the router that owns the pool at OwnerKillInterval and restarts it.
func (f *fleet) scheduleOwnerKills() {
	f.sim.clock.AfterFunc(f.sim.scenario.OwnerKillInterval, func() {
		ids := make([]uint32, f.net.NodeCount())
		for i := range ids {
			ids[i] = uint32(i + 1)
		}
		owner, _ := rendezvous.Highest(rendezvous.Hash(poolName), ids)
		f.killRouter(int(owner) - 1)
		f.sim.clock.AfterFunc(restartDelay, func() { f.net.Restart(int(owner)-1, f.newCore(int(owner)-1)) })
		f.scheduleOwnerKills()
	})
}

// killRouter kills a router. Its open requests are sent again through other routers, as their
// callers would do.
func (f *fleet) killRouter(router int) {
	f.net.Kill(router)
	var keys []attemptKey
	for key := range f.requests {
		if key.router == router {
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].id < keys[j].id })
	for _, key := range keys {
		r := f.requests[key]
		if uid := f.grantedTargets[key]; uid != 0 {
			f.sim.recorder.recordEnd(uid - firstTargetUID)
		}
		if uid, ok := f.runningEngines[key]; ok {
			f.sim.engines[uid].cancel(r)
		}
		f.grantedTargets[key] = 0
		delete(f.requests, key)
		delete(f.runningEngines, key)
		f.route(r)
	}
}

// delay returns the one-way delay between two routers. Routers are spread over the data centres in
// turn.
func (s *simulation) delay(a, b int) time.Duration {
	if a%s.scenario.DataCentres == b%s.scenario.DataCentres {
		return s.scenario.LocalDelay
	}
	return s.scenario.RemoteDelay
}

// configure accepts the engines as a new configuration revision and pushes it to every router.
func (f *fleet) configure(engines []engineEntry) {
	f.revision++
	change := resource.Change{Revision: f.revision}
	f.addResource(&change, resource.KindPool, poolName, 1, resource.PoolSpec{
		Protocol: resource.ProtocolModel, MaxPerTarget: f.sim.scenario.Slots,
	})
	for i := range f.sim.scenario.Teams {
		f.addResource(&change, resource.KindTeam, fmt.Sprintf("team-%d", i), uint64(10+i), resource.TeamSpec{Weight: 1})
	}
	for _, e := range engines {
		f.addResource(&change, resource.KindTarget, e.name, firstTargetUID+e.uid, resource.TargetSpec{
			Pool: poolName, Address: "127.0.0.1:1", Leaving: e.leaving,
		})
	}
	f.changes = append(f.changes, change)
	push := &peerv1.PushRequest{Protocol: ticket.ProtocolVersion, Changes: core.EncodeChanges([]resource.Change{change})}
	for i := range f.net.NodeCount() {
		f.net.Deliver(0, i, push, func(core.ReplyToCall) {})
	}
}

// addResource adds a resource to a change unless its spec is the same as before.
func (f *fleet) addResource(change *resource.Change, kind resource.Kind, name string, uid uint64, spec any) {
	encoded, err := json.Marshal(spec)
	if err != nil || f.lastSpecs[name] == string(encoded) {
		return
	}
	f.lastSpecs[name] = string(encoded)
	change.Resources = append(change.Resources, resource.Resource{
		Kind: kind, Spec: encoded, Metadata: resource.Metadata{Name: name, UID: uid, ResourceVersion: change.Revision},
	})
}

// route sends a request to its router, or to the next router that is up, as a load balancer would.
func (f *fleet) route(r *request) {
	for !f.net.IsUp(r.router) {
		r.router = (r.router + 1) % f.net.NodeCount()
	}
	f.startAttempt(r, nil, false)
}

// startAttempt starts an attempt of a request. excluded holds the targets on which it has failed.
func (f *fleet) startAttempt(r *request, excluded []uint64, retry bool) {
	f.lastAttemptID++
	f.requests[attemptKey{r.router, f.lastAttemptID}] = r
	f.net.Step(r.router, core.RequestArrived{
		ID: f.lastAttemptID, Pool: poolName, Team: r.team, Chat: rendezvous.Mix(uint64(r.chat.id), 1),
		Priority: r.priority, Deadline: r.deadline, Excluded: excluded, Retry: retry,
	})
}

// onReadStore answers a store read with the changes accepted after the requested revision.
func (f *fleet) onReadStore(router int, a core.ReadStore) {
	read := core.StoreReadCompleted{}
	if a.AfterRevision < uint64(len(f.changes)) {
		read.Changes = f.changes[a.AfterRevision:]
	}
	f.sim.clock.AfterFunc(f.sim.scenario.RemoteDelay, func() { f.net.Step(router, read) })
}

// onProbeTarget reports the open requests of an engine to a router.
func (f *fleet) onProbeTarget(router int, a core.ProbeTarget) {
	open := len(f.sim.engines[a.Target.UID-firstTargetUID].open)
	f.sim.recorder.controlBytes += loadReportBytes
	f.sim.clock.AfterFunc(f.sim.scenario.RemoteDelay, func() {
		f.net.Step(router, core.LoadReported{Pool: poolName, Target: a.Target.UID, OpenRequests: open})
	})
}

// onCallPeer counts the bytes of a call and the grants in it.
func (f *fleet) onCallPeer(_ int, a core.CallPeer) {
	if m, ok := a.Message.(*peerv1.DeliverRequest); ok {
		f.countGrants(int(a.To)-1, m.GetGrants())
	}
	f.sim.recorder.controlBytes += callBytes + float64(proto.Size(a.Message))
}

// onReplyToCall counts the bytes of a reply and the grants in it.
func (f *fleet) onReplyToCall(_, caller int, a core.ReplyToCall) {
	if a.Err != nil {
		return
	}
	if resp, ok := a.Message.(*peerv1.ExchangeResponse); ok {
		f.countGrants(caller, resp.GetGrants())
	}
	f.sim.recorder.controlBytes += float64(proto.Size(a.Message))
}

// onRefuseRequest ends a request that was refused, either as failed or as shed.
func (f *fleet) onRefuseRequest(router int, a core.RefuseRequest) {
	key := attemptKey{router, a.ID}
	r := f.requests[key]
	delete(f.requests, key)
	if uid := f.grantedTargets[key]; uid != 0 {
		// The grant had left the owner before the router refused the request.
		f.sim.recorder.recordEnd(uid - firstTargetUID)
	}
	f.grantedTargets[key] = 0
	if a.Code == code.RetryBudget || a.Code == code.NoTarget {
		f.sim.recorder.failed++
	} else {
		f.sim.recorder.shed++
	}
	f.sim.finishRequest(r)
}

// onGrantTarget sends a request to the engine that was granted.
func (f *fleet) onGrantTarget(router int, a core.GrantTarget) {
	key := attemptKey{router, a.ID}
	f.countGrants(router, []*peerv1.Grant{{Id: a.ID, Target: a.Target.UID}})
	r := f.requests[key]
	f.runningEngines[key] = a.Target.UID - firstTargetUID
	f.sim.engines[a.Target.UID-firstTargetUID].submit(r, func(ok bool) { f.requestEnded(key, r, a.Target.UID, ok) })
}

// countGrants counts each grant once: when the message with it leaves the owner or, if the router
// itself is the owner, when the request gets it.
func (f *fleet) countGrants(router int, grants []*peerv1.Grant) {
	for _, g := range grants {
		key := attemptKey{router, g.GetId()}
		if _, seen := f.grantedTargets[key]; seen || g.GetTarget() == 0 {
			continue
		}
		f.grantedTargets[key] = g.GetTarget()
		f.sim.recorder.recordGrant(g.GetTarget() - firstTargetUID)
	}
}

// requestEnded reports the end of an attempt to its router, which retries a failed request.
func (f *fleet) requestEnded(key attemptKey, r *request, uid uint64, ok bool) {
	if f.requests[key] != r {
		return // the router was killed
	}
	delete(f.runningEngines, key)
	f.sim.recorder.recordEnd(uid - firstTargetUID)
	delete(f.requests, key)
	outcome := peerv1.Outcome_OUTCOME_DONE
	if !ok {
		outcome = peerv1.Outcome_OUTCOME_FAILED
	}
	f.net.Step(key.router, core.RequestEnded{ID: key.id, Outcome: outcome})
	if ok {
		f.sim.finishRequest(r)
		return
	}
	f.startAttempt(r, []uint64{uid}, true)
}

// newPartitionedFleet returns a fleet in which no router reaches another. Every router then owns a
// part of each pool by itself, which is the fallback without a reachable owner.
func newPartitionedFleet(s *simulation, seed uint64) *fleet {
	return newFleet(s, seed, func(c *core.Settings) {
		c.Routers = []uint32{c.Self}
	})
}
