package controller_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/app/configstore"
	"github.com/hemlockdyke/hemlockdyke/internal/app/controller"
	"github.com/hemlockdyke/hemlockdyke/internal/core/plannedchange"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
	"github.com/hemlockdyke/hemlockdyke/internal/faketable"
)

const leaseDuration = 3 * time.Second

// fakeFleet is a fleet of two controllers with fake routers, one fake target and a fake table
// service. A drain of the target is the only planned change.
type fakeFleet struct {
	now         time.Time
	clockSkew   []time.Duration // of each controller's clock
	table       *faketable.Table
	store       *configstore.Store
	reconcilers []*controller.Reconciler
	stopped     []bool // by controller

	mu                  sync.Mutex        // guards appliedRevisions, as calls are concurrent
	appliedRevisions    map[uint32]uint64 // by router
	unreachable         map[uint32]bool   // by router
	unreachableSince    map[uint32]time.Time
	openRequests        int    // at the target
	checksFencing       bool   // the target checks fencing tokens
	highestFencingToken uint64 // highest fencing token of an order that the target accepted
	orders              []order
	refusedOrders       int
	targetState         map[string]string
	targetSilent        bool
	loseNextReply       bool
	duringSendOrder     func() // called once, before the next order arrives

	duringReadStatus func() // called once, before the next status of an idle target is returned
	violation        string // violated rule; empty if there is none
}

// order is an order that the target accepted.
type order struct {
	fencingToken uint64
	action       string
	at           time.Time
}

var errNoReply = errors.New("no reply")

// Call implements controller.PeerCaller. It answers for the fake routers.
func (f *fakeFleet) Call(_ context.Context, to uint32, m proto.Message) (proto.Message, error) {
	if f.unreachable[to] {
		return nil, errNoReply
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch m := m.(type) {
	case *peerv1.PushRequest:
		for _, ch := range m.GetChanges() {
			f.appliedRevisions[to] = max(f.appliedRevisions[to], ch.GetRevision())
		}
		return &peerv1.PushResponse{Router: to, Revision: f.appliedRevisions[to]}, nil
	case *peerv1.PullRequest:
		return &peerv1.PullResponse{Head: f.appliedRevisions[to]}, nil
	}
	return nil, errNoReply
}

// ReadStatus implements controller.TargetClient. It answers for the fake target.
func (f *fakeFleet) ReadStatus(context.Context, string) (int, map[string]string, error) {
	if f.targetSilent {
		return 0, nil, errNoReply
	}
	open, state := f.openRequests, f.targetState
	if stall := f.duringReadStatus; stall != nil && open == 0 {
		f.duringReadStatus = nil
		stall()
	}
	return open, state, nil
}

// SendOrder implements controller.TargetClient. It accepts an order for the fake target and records
// a violation if the target must not be ordered to exit yet.
func (f *fakeFleet) SendOrder(_ context.Context, _ string, fencingToken uint64, action, argument string, expires time.Time) error {
	if f.targetSilent {
		return errNoReply
	}
	if f.duringSendOrder != nil {
		stall := f.duringSendOrder
		f.duringSendOrder = nil
		stall()
	}
	if f.checksFencing && (f.now.After(expires) || fencingToken < f.highestFencingToken) {
		f.refusedOrders++
		return errors.New("refused")
	}
	if action == "drain" && f.openRequests > 0 {
		f.violation = "a target with open requests was ordered to exit"
	}
	if f.hasOutdatedRouter() {
		f.violation = "a target was ordered to exit while a router may still send it requests"
	}
	f.highestFencingToken = max(f.highestFencingToken, fencingToken)
	f.orders = append(f.orders, order{fencingToken, action, f.now})
	f.targetState = map[string]string{action: argument}
	if f.loseNextReply {
		f.loseNextReply = false
		return errNoReply
	}
	return nil
}

// hasOutdatedRouter reports whether a router that has been unreachable for less than 10 seconds,
// or not at all, has not applied the current version of the target.
func (f *fakeFleet) hasOutdatedRouter() bool {
	target, err := f.store.Get(context.Background(), resource.Key{Kind: resource.KindTarget, Name: "t"})
	if err != nil {
		return false
	}
	for id, revision := range f.appliedRevisions {
		since, silent := f.unreachableSince[id]
		if revision < target.Metadata.ResourceVersion && (!silent || f.now.Sub(since) < 10*time.Second) {
			return true
		}
	}
	return false
}

// disconnect makes routers unreachable.
func (f *fakeFleet) disconnect(ids ...uint32) {
	for _, id := range ids {
		f.unreachable[id] = true
		f.unreachableSince[id] = f.now
	}
}

func newFakeFleet(checksFencing bool) *fakeFleet {
	f := &fakeFleet{
		now: time.Unix(100_000, 0), clockSkew: make([]time.Duration, 2), stopped: make([]bool, 2), table: faketable.New(),
		appliedRevisions: map[uint32]uint64{1: 0, 2: 0, 3: 0}, unreachable: make(map[uint32]bool), unreachableSince: make(map[uint32]time.Time), openRequests: 2, checksFencing: checksFencing,
		targetState: map[string]string{},
	}
	f.store = configstore.New(f.table, func() time.Time { return f.now })
	ids := []uint32{1, 2, 3}
	ctl := controller.New(f.store, f, ids, eventlog.Nop())
	for i := range 2 {
		clock := func() time.Time { return f.now.Add(f.clockSkew[i]) }
		f.reconcilers = append(f.reconcilers, controller.NewReconciler(ctl, f.table, f, uint32(i+1), fmt.Sprint(i), leaseDuration, eventlog.Nop(), clock))
	}
	_, err := ctl.Apply(context.Background(), "base", []resource.Resource{
		{Kind: resource.KindPool, Metadata: resource.Metadata{Name: "p"}, Spec: fmt.Appendf(nil, `{"protocol":"model","checksFencing":%t}`, checksFencing)},
		{Kind: resource.KindTarget, Metadata: resource.Metadata{Name: "t"}, Spec: []byte(`{"pool":"p","address":"127.0.0.1:1"}`)},
		{Kind: resource.KindPlannedChange, Metadata: resource.Metadata{Name: "c"}, Spec: []byte(`{"target":"t","action":"drain"}`)},
	})
	Expect(err).NotTo(HaveOccurred())
	return f
}

func (f *fakeFleet) phase() plannedchange.Phase {
	s, err := f.reconcilers[0].Status(context.Background(), "c")
	if err != nil {
		return ""
	}
	return s.Phase
}

// runPass advances the clock by a second, lets the reachable routers poll the store and runs one
// pass of each running controller. It ignores errors: the faults cause them, and the next pass must
// recover from them.
func (f *fakeFleet) runPass() {
	f.now = f.now.Add(time.Second)
	if config, err := f.store.Load(context.Background()); err == nil {
		for id := range f.appliedRevisions {
			if !f.unreachable[id] {
				f.appliedRevisions[id] = config.Revision
			}
		}
	}
	f.openRequests = max(f.openRequests-1, 0)
	for i, r := range f.reconcilers {
		if !f.stopped[i] {
			_ = r.Reconcile(context.Background())
		}
	}
}

// faultPoints are the steps of a planned change at which a fault is injected.
var faultPoints = []struct {
	name    string
	reached func(f *fakeFleet) bool
}{
	{"before the first step", func(*fakeFleet) bool { return true }},
	{"marked as leaving", func(f *fakeFleet) bool { return f.phase() == plannedchange.Draining }},
	{"applied by the routers", func(f *fakeFleet) bool { return f.appliedRevisions[1] >= 2 }},
	{"ordered", func(f *fakeFleet) bool { return len(f.orders) > 0 }},
	{"done", func(f *fakeFleet) bool { return f.phase() == plannedchange.Done }},
}

// applyFor injects a fault, runs a number of passes and ends the fault.
func (f *fakeFleet) applyFor(passes int, begin, end func()) {
	begin()
	for range passes {
		f.runPass()
	}
	end()
}

// applyTableFault makes the calls of the table service fail for a number of passes: all calls if
// the fault is Refused, else the writes.
func (f *fakeFleet) applyTableFault(passes int, fault faketable.Fault) {
	f.applyFor(passes, func() {
		f.table.ChooseFault = func(write bool) faketable.Fault {
			if write || fault == faketable.Refused {
				return fault
			}
			return faketable.NoFault
		}
	}, func() { f.table.ChooseFault = nil })
}

// faults are the faults that are injected.
var faults = []struct {
	name  string
	apply func(f *fakeFleet)
}{
	{"first controller killed", func(f *fakeFleet) { f.stopped[0] = true }},
	{"first controller stalled until its lease has expired", func(f *fakeFleet) {
		f.applyFor(8, func() { f.stopped[0] = true }, func() { f.stopped[0] = false })
	}},
	{"both controllers stalled for two seconds", func(f *fakeFleet) {
		f.applyFor(2, func() { f.stopped[0], f.stopped[1] = true, true }, func() { f.stopped[0], f.stopped[1] = false, false })
	}},
	{"two routers unreachable for a while", func(f *fakeFleet) {
		f.applyFor(6, func() { f.disconnect(2, 3) }, func() { clear(f.unreachable); clear(f.unreachableSince) })
	}},
	{"one router permanently unreachable", func(f *fakeFleet) { f.disconnect(3) }},
	{"target unreachable for a while", func(f *fakeFleet) { f.applyFor(5, func() { f.targetSilent = true }, func() { f.targetSilent = false }) }},
	{"reply to an order lost", func(f *fakeFleet) { f.loseNextReply = true }},
	{"table service down", func(f *fakeFleet) { f.applyTableFault(6, faketable.Refused) }},
	{"replies to writes lost", func(f *fakeFleet) { f.applyTableFault(4, faketable.ReplyLost) }},
	{"writes lost", func(f *fakeFleet) { f.applyTableFault(4, faketable.WriteLost) }},
	{"writes delayed", func(f *fakeFleet) { f.applyTableFault(4, faketable.WriteDelayed) }},
	{"every second write refused, as at the write limit", func(f *fakeFleet) {
		n := 0
		f.applyFor(8, func() {
			f.table.ChooseFault = func(write bool) faketable.Fault {
				if write {
					n++
				}
				if write && n%2 == 0 {
					return faketable.Refused
				}
				return faketable.NoFault
			}
		}, func() { f.table.ChooseFault = nil })
	}},
	{"another operator changes the target", func(f *fakeFleet) {
		target, err := f.store.Get(context.Background(), resource.Key{Kind: resource.KindTarget, Name: "t"})
		Expect(err).NotTo(HaveOccurred())
		_, _, _ = f.store.AcceptChange(context.Background(), "rival", []resource.Resource{target})
	}},
	{"clock of the first controller steps forward", func(f *fakeFleet) { f.clockSkew[0] = time.Second }},
	{"clock of the first controller steps back", func(f *fakeFleet) { f.clockSkew[0] = -time.Second }},
}

var _ = Describe("fault matrix of a planned change", func() {
	// Each fault is injected at each step of a drain that two controllers carry out, with targets
	// that check fencing tokens and targets that don't. Guards against a drain that hangs, an order
	// to exit for a target with open requests, and an order of the previous lease holder that
	// arrives after an order of the next one.
	for _, fencing := range []bool{true, false} {
		for _, step := range faultPoints {
			for _, fault := range faults {
				It(fmt.Sprintf("%s, %s, fencing=%t", step.name, fault.name, fencing), func() {
					f := newFakeFleet(fencing)
					for n := 0; !step.reached(f) && n < 60; n++ {
						f.runPass()
					}
					Expect(step.reached(f)).To(BeTrue(), "the step was not reached")
					fault.apply(f)
					for n := 0; f.phase() != plannedchange.Done && n < 90; n++ {
						f.runPass()
					}
					Expect(f.phase()).To(Equal(plannedchange.Done))
					Expect(f.violation).To(BeEmpty())
					Expect(f.targetState).To(HaveKeyWithValue("drain", "true"))
					for i := 1; i < len(f.orders); i++ {
						Expect(f.orders[i].fencingToken).To(BeNumerically(">=", f.orders[i-1].fencingToken), "%v", f.orders)
					}
				})
			}
		}
	}
})

var _ = Describe("targets that ignore fencing tokens and expiry", func() {
	// Guards against a target that carries out an order of a previous lease holder. The holder
	// stalls around its order and its lease expires. The next holder sends its order, and then the
	// first holder continues.
	expectAscendingTokens := func(seconds int, injectStall func(f *fakeFleet, stall func())) {
		f := newFakeFleet(false)
		for n := 0; f.appliedRevisions[1] < 2 && n < 60; n++ {
			f.runPass()
		}
		stalled := false
		injectStall(f, func() {
			stalled, f.stopped[0] = true, true
			for range seconds {
				f.runPass()
			}
			f.stopped[0] = false
		})
		for n := 0; f.phase() != plannedchange.Done && n < 60; n++ {
			f.runPass()
		}
		Expect(stalled).To(BeTrue())
		for i := 1; i < len(f.orders); i++ {
			Expect(f.orders[i].fencingToken).To(BeNumerically(">=", f.orders[i-1].fencingToken), "%v", f.orders)
		}
	}

	// The order arrives late if the next holder doesn't wait until orders in transit have expired.
	It("get no order of a previous holder after one of the next if the previous holder stalls for 6 seconds while it sends the order", func() {
		expectAscendingTokens(6, func(f *fakeFleet, stall func()) { f.duringSendOrder = stall })
	})

	// The order arrives late if the lease is checked only before the holder observes the target.
	It("get no order of a holder that stalled while it observed the target", func() {
		expectAscendingTokens(12, func(f *fakeFleet, stall func()) { f.duringReadStatus = stall })
	})
})
