package experiment

import (
	"encoding/json"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	core "github.com/hemlockdyke/hemlockdyke/internal/core/router"
	"github.com/hemlockdyke/hemlockdyke/internal/core/ticket"
)

// callBytes is what one peer call costs on the wire beyond its two messages:
// frames, compressed headers, packet headers and an acknowledgement. `make
// capacity` measures it on loopback.
const callBytes = 245

const poolName = "drafting"

// fleet runs one router core per simulated router.
type fleet struct {
	sim      *simulation
	cores    []*core.Core
	requests map[askKey]*request
	granted  map[askKey]uint64 // target of grants seen at their owner
	nextID   uint64
	revision uint64
	specs    map[string]string // last spec of each resource, by name
	calls    map[callKey]func(core.Respond)
	callers  map[callKey]int
	tweak    func(*core.Settings)
}

type askKey struct {
	router int
	id     uint64
}

type callKey struct {
	router int
	call   core.Call
}

func newFleet(s *simulation, seed uint64, tweak func(*core.Settings)) *fleet {
	f := &fleet{
		sim: s, requests: make(map[askKey]*request), granted: make(map[askKey]uint64),
		specs: make(map[string]string), calls: make(map[callKey]func(core.Respond)), callers: make(map[callKey]int), tweak: tweak,
	}
	ids := make([]uint32, s.scenario.Routers)
	for i := range ids {
		ids[i] = uint32(i + 1)
	}
	for i := range ids {
		settings := core.DefaultSettings(ids[i], ids)
		settings.Seed = seed
		tweak(&settings)
		f.cores = append(f.cores, core.New(s.clock.Now(), settings))
	}
	for i := range f.cores {
		f.tick(i)
		f.step(i, core.StoreRead{})
	}
	return f
}

func (f *fleet) tick(router int) {
	f.sim.clock.After(core.TickInterval, func() {
		f.step(router, core.Tick{})
		f.tick(router)
	})
}

// configure accepts the engines as a new revision and pushes it to every router.
func (f *fleet) configure(engines []engineState) {
	f.revision++
	change := resource.Change{Revision: f.revision}
	f.add(&change, resource.KindPool, poolName, 1, resource.PoolSpec{
		Protocol: resource.ProtocolModel, MaxPerTarget: f.sim.scenario.Slots,
	})
	for i := range f.sim.scenario.Teams {
		f.add(&change, resource.KindTeam, teamName(i), uint64(10+i), resource.TeamSpec{Weight: 1})
	}
	for _, e := range engines {
		f.add(&change, resource.KindTarget, e.name, 1000+e.uid, resource.TargetSpec{
			Pool: poolName, Address: "127.0.0.1:1", Leaving: e.leaving,
		})
	}
	push := &peerv1.PushRequest{Protocol: ticket.Protocol, Changes: core.ToWire([]resource.Change{change})}
	for i := range f.cores {
		f.deliverCall(0, i, push, func(core.Respond) {})
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

func (f *fleet) arrive(r *request) { f.ask(r, nil, false) }

func (f *fleet) ask(r *request, excluded []uint64, retry bool) {
	f.nextID++
	id := f.nextID
	f.requests[askKey{r.router, id}] = r
	f.step(r.router, core.Arrived{
		ID: id, Pool: poolName, Team: r.team, Chat: rendezvous.Mix(uint64(r.chat.id), 1),
		Priority: r.priority, Deadline: r.deadline, Excluded: excluded, Retry: retry,
	})
}

func (f *fleet) step(router int, ev core.Event) {
	// The core reuses its slice of actions, and an action may lead to a step.
	actions := append([]core.Action(nil), f.cores[router].Step(f.sim.clock.Now(), ev)...)
	for _, a := range actions {
		f.act(router, a)
	}
}

func (f *fleet) act(router int, a core.Action) {
	switch a := a.(type) {
	case core.Grant:
		f.onGrant(router, a)
	case core.Refuse:
		f.onRefuse(router, a)
	case core.Send:
		f.onSend(router, a)
	case core.Respond:
		if resp, ok := a.Message.(*peerv1.ExchangeResponse); ok && resp != nil {
			f.countGrants(f.callers[callKey{router, a.Call}], resp.GetGrants())
		}
		f.calls[callKey{router, a.Call}](a)
		delete(f.calls, callKey{router, a.Call})
		delete(f.callers, callKey{router, a.Call})
	case core.ReadStore:
		// The store is up and holds nothing that the pushes do not bring.
		f.sim.clock.After(f.sim.scenario.OneWay, func() { f.step(router, core.StoreRead{}) })
	case core.Probe:
		uid := a.Target.UID
		open := len(f.sim.engines[uid-1000].open)
		f.sim.clock.After(f.delay(router, int(uid)), func() {
			f.sim.measure.control += reportBytes
			f.step(router, core.Reported{Pool: poolName, Target: uid, Open: open})
		})
	}
}

// delay is the one-way delay between two places.
func (f *fleet) delay(a, b int) time.Duration {
	if a%f.sim.scenario.DataCentres == b%f.sim.scenario.DataCentres {
		return f.sim.scenario.Local
	}
	return f.sim.scenario.OneWay
}

func (f *fleet) onSend(router int, a core.Send) {
	if m, ok := a.Message.(*peerv1.DeliverRequest); ok {
		f.countGrants(int(a.To)-1, m.GetGrants())
	}
	f.sim.measure.control += callBytes + float64(proto.Size(a.Message))
	f.deliverCall(router, int(a.To)-1, a.Message, func(r core.Respond) {
		f.sim.measure.control += float64(proto.Size(r.Message))
		f.sim.clock.After(f.delay(router, int(a.To)-1), func() {
			out := core.CallOut{To: a.To, Request: a.Message}
			if r.Err == nil {
				out.Reply = r.Message
			}
			f.step(router, out)
		})
	})
}

// deliverCall hands a message to a router after the network's delay.
func (f *fleet) deliverCall(from, to int, m proto.Message, respond func(core.Respond)) {
	f.sim.clock.After(f.delay(from, to), func() {
		f.sim.nextID++
		call := core.Call(f.sim.nextID)
		f.calls[callKey{to, call}] = respond
		f.callers[callKey{to, call}] = from
		f.step(to, core.CallIn{Call: call, Message: m})
	})
}

func teamName(i int) string { return "team-" + string(rune('0'+i)) }

func (f *fleet) onRefuse(router int, a core.Refuse) {
	key := askKey{router, a.ID}
	r := f.requests[key]
	delete(f.requests, key)
	if a.Code == code.RetryBudget || a.Code == code.NoTarget {
		f.sim.measure.failed++
	} else {
		f.sim.measure.shed++
	}
	f.sim.finished(r)
}

func (f *fleet) onGrant(router int, a core.Grant) {
	key := askKey{router, a.ID}
	f.countGrants(router, []*peerv1.Grant{{Id: a.ID, Target: a.Target.UID}})
	r := f.requests[key]
	f.sim.engines[a.Target.UID-1000].submit(r, func(ok bool) { f.ended(key, r, a.Target.UID, ok) })
}

// countGrants counts grants once, at the earliest place where they are seen.
func (f *fleet) countGrants(router int, grants []*peerv1.Grant) {
	for _, g := range grants {
		key := askKey{router, g.GetId()}
		if _, seen := f.granted[key]; seen || g.GetTarget() == 0 {
			continue
		}
		f.granted[key] = g.GetTarget()
		f.sim.measure.granted(g.GetTarget() - 1000)
	}
}

func (f *fleet) ended(key askKey, r *request, uid uint64, ok bool) {
	f.sim.measure.ended(uid - 1000)
	delete(f.requests, key)
	outcome := peerv1.Outcome_OUTCOME_DONE
	if !ok {
		outcome = peerv1.Outcome_OUTCOME_FAILED
	}
	f.step(key.router, core.Ended{ID: key.id, Outcome: outcome})
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
