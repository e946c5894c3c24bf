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

const leaseTime = 3 * time.Second

// world is a fleet of two controllers before fake routers, one target and a table.
type world struct {
	now     time.Time
	skew    []time.Duration // of each controller's clock
	table   *faketable.Table
	store   *configstore.Store
	workers []*controller.Reconciler
	down    []bool

	mu       sync.Mutex        // guards routers: they are called at the same time
	routers  map[uint32]uint64 // revision in force
	unheard  map[uint32]bool   // routers that can't be reached
	cutSince map[uint32]time.Time
	open     int
	fencing  bool
	lastOld  uint64
	orders   []order
	refused  int
	state    map[string]string
	silent   bool
	loseNext bool
	stall    func() // runs while the next order is on its way

	stallObserve func() // runs while an idle target is looked at
	broken       string
}

type order struct {
	fencing uint64
	action  string
	at      time.Time
}

var errSilent = errors.New("no answer")

// Call plays the routers.
func (w *world) Call(_ context.Context, to uint32, m proto.Message) (proto.Message, error) {
	if w.unheard[to] {
		return nil, errSilent
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch m := m.(type) {
	case *peerv1.PushRequest:
		for _, ch := range m.GetChanges() {
			w.routers[to] = max(w.routers[to], ch.GetRevision())
		}
		return &peerv1.PushResponse{Router: to, Revision: w.routers[to]}, nil
	case *peerv1.PullRequest:
		return &peerv1.PullResponse{Head: w.routers[to]}, nil
	}
	return nil, errSilent
}

// Observe and Order play the target.
func (w *world) Observe(context.Context, string) (int, map[string]string, error) {
	if w.silent {
		return 0, nil, errSilent
	}
	open, state := w.open, w.state
	if stall := w.stallObserve; stall != nil && open == 0 {
		w.stallObserve = nil
		stall()
	}
	return open, state, nil
}

func (w *world) Order(_ context.Context, _ string, fencing uint64, action, argument string, expires time.Time) error {
	if w.silent {
		return errSilent
	}
	if w.stall != nil {
		stall := w.stall
		w.stall = nil
		stall()
	}
	if w.fencing && (w.now.After(expires) || fencing < w.lastOld) {
		w.refused++
		return errors.New("refused")
	}
	if action == "drain" && w.open > 0 {
		w.broken = "a target with open requests was ordered to go"
	}
	if w.uninformed() {
		w.broken = "a target was ordered to go while a router may still send it work"
	}
	w.lastOld = max(w.lastOld, fencing)
	w.orders = append(w.orders, order{fencing, action, w.now})
	w.state = map[string]string{action: argument}
	if w.loseNext {
		w.loseNext = false
		return errSilent
	}
	return nil
}

// uninformed reports whether a router that has not been silent for long lacks the
// target's mark.
func (w *world) uninformed() bool {
	target, err := w.store.Get(context.Background(), resource.Key{Kind: resource.KindTarget, Name: "t"})
	if err != nil {
		return false
	}
	for id, revision := range w.routers {
		since, cut := w.cutSince[id]
		if revision < target.Metadata.ResourceVersion && (!cut || w.now.Sub(since) < 10*time.Second) {
			return true
		}
	}
	return false
}

// cut makes routers unreachable.
func (w *world) cut(ids ...uint32) {
	for _, id := range ids {
		w.unheard[id] = true
		w.cutSince[id] = w.now
	}
}

func newWorld(fencing bool) *world {
	w := &world{
		now: time.Unix(100_000, 0), skew: make([]time.Duration, 2), down: make([]bool, 2), table: faketable.New(),
		routers: map[uint32]uint64{1: 0, 2: 0, 3: 0}, unheard: make(map[uint32]bool), cutSince: make(map[uint32]time.Time), open: 2, fencing: fencing,
		state: map[string]string{},
	}
	w.store = configstore.New(w.table, func() time.Time { return w.now })
	ids := []uint32{1, 2, 3}
	ctl := controller.New(w.store, w, ids, eventlog.Nop())
	for i := range 2 {
		clock := func() time.Time { return w.now.Add(w.skew[i]) }
		w.workers = append(w.workers, controller.NewReconciler(ctl, w.table, w, uint32(i+1), fmt.Sprint(i), leaseTime, eventlog.Nop(), clock))
	}
	_, err := ctl.Apply(context.Background(), "base", []resource.Resource{
		{Kind: resource.KindPool, Metadata: resource.Metadata{Name: "p"}, Spec: fmt.Appendf(nil, `{"protocol":"model","checksFencing":%t}`, fencing)},
		{Kind: resource.KindTarget, Metadata: resource.Metadata{Name: "t"}, Spec: []byte(`{"pool":"p","address":"127.0.0.1:1"}`)},
		{Kind: resource.KindPlannedChange, Metadata: resource.Metadata{Name: "c"}, Spec: []byte(`{"target":"t","action":"drain"}`)},
	})
	Expect(err).NotTo(HaveOccurred())
	return w
}

func (w *world) phase() plannedchange.Phase {
	s, err := w.workers[0].Status(context.Background(), "c")
	if err != nil {
		return ""
	}
	return s.Phase
}

// pass lets a second go by, the routers poll, and every running controller look
// once. An error of a pass is what faults are about; the next pass goes on.
func (w *world) pass() {
	w.now = w.now.Add(time.Second)
	if conf, err := w.store.Load(context.Background()); err == nil {
		for id := range w.routers {
			if !w.unheard[id] {
				w.routers[id] = conf.Revision
			}
		}
	}
	w.open = max(w.open-1, 0)
	for i, r := range w.workers {
		if !w.down[i] {
			_ = r.Pass(context.Background())
		}
	}
}

// controlSteps are the points at which a fault can strike.
var controlSteps = []struct {
	name    string
	reached func(w *world) bool
}{
	{"before anything", func(*world) bool { return true }},
	{"marked as leaving", func(w *world) bool { return w.phase() == plannedchange.Draining }},
	{"in force at the routers", func(w *world) bool { return w.routers[1] >= 2 }},
	{"ordered", func(w *world) bool { return len(w.orders) > 0 }},
	{"done", func(w *world) bool { return w.phase() == plannedchange.Done }},
}

// hold keeps a fault for some passes and then ends it.
func (w *world) hold(passes int, begin, end func()) {
	begin()
	for range passes {
		w.pass()
	}
	end()
}

func (w *world) tableFault(passes int, fault faketable.Fault) {
	w.hold(passes, func() {
		w.table.ChooseFault = func(write bool) faketable.Fault {
			if write || fault == faketable.Refused {
				return fault
			}
			return faketable.NoFault
		}
	}, func() { w.table.ChooseFault = nil })
}

// controlFaults are what can strike.
var controlFaults = []struct {
	name  string
	apply func(w *world)
}{
	{"first controller killed", func(w *world) { w.down[0] = true }},
	{"first controller paused beyond the lease", func(w *world) {
		w.hold(8, func() { w.down[0] = true }, func() { w.down[0] = false })
	}},
	{"both controllers replaced", func(w *world) {
		w.hold(2, func() { w.down[0], w.down[1] = true, true }, func() { w.down[0], w.down[1] = false, false })
	}},
	{"routers cut off for a while", func(w *world) {
		w.hold(6, func() { w.cut(2, 3) }, func() { clear(w.unheard); clear(w.cutSince) })
	}},
	{"one router dead for good", func(w *world) { w.cut(3) }},
	{"target cut off for a while", func(w *world) { w.hold(5, func() { w.silent = true }, func() { w.silent = false }) }},
	{"reply of an order lost", func(w *world) { w.loseNext = true }},
	{"table down", func(w *world) { w.tableFault(6, faketable.Refused) }},
	{"replies of the table lost", func(w *world) { w.tableFault(4, faketable.ReplyLost) }},
	{"writes of the table lost", func(w *world) { w.tableFault(4, faketable.WriteLost) }},
	{"writes of the table late", func(w *world) { w.tableFault(4, faketable.WriteDelayed) }},
	{"write limit: every second write refused", func(w *world) {
		n := 0
		w.hold(8, func() {
			w.table.ChooseFault = func(write bool) faketable.Fault {
				if write {
					n++
				}
				if write && n%2 == 0 {
					return faketable.Refused
				}
				return faketable.NoFault
			}
		}, func() { w.table.ChooseFault = nil })
	}},
	{"racing operator changes the target", func(w *world) {
		target, err := w.store.Get(context.Background(), resource.Key{Kind: resource.KindTarget, Name: "t"})
		Expect(err).NotTo(HaveOccurred())
		_, _, _ = w.store.Accept(context.Background(), "rival", []resource.Resource{target})
	}},
	{"clock of the first controller steps forward", func(w *world) { w.skew[0] = time.Second }},
	{"clock of the first controller steps back", func(w *world) { w.skew[0] = -time.Second }},
}

var _ = Describe("fault matrix of a planned change", func() {
	// Every fault at every step of a drain that two controllers carry out, with
	// targets that check fencing numbers and that do not. Symptoms: the drain hangs;
	// a target with open requests is ordered to go; after a take-over, an order of the
	// old holder comes after one of the new holder.
	for _, fencing := range []bool{true, false} {
		for _, step := range controlSteps {
			for _, fault := range controlFaults {
				It(fmt.Sprintf("%s, %s, fencing=%t", step.name, fault.name, fencing), func() {
					w := newWorld(fencing)
					for n := 0; !step.reached(w) && n < 60; n++ {
						w.pass()
					}
					Expect(step.reached(w)).To(BeTrue(), "the step is reached")
					fault.apply(w)
					for n := 0; w.phase() != plannedchange.Done && n < 90; n++ {
						w.pass()
					}
					Expect(w.phase()).To(Equal(plannedchange.Done))
					Expect(w.broken).To(BeEmpty())
					Expect(w.state).To(HaveKeyWithValue("drain", "true"))
					for i := 1; i < len(w.orders); i++ {
						Expect(w.orders[i].fencing).To(BeNumerically(">=", w.orders[i-1].fencing), "%v", w.orders)
					}
				})
			}
		}
	}
})

var _ = Describe("targets that ignore fencing numbers and expiry", func() {
	// Symptom: a target does what an old holder ordered. Sequence: the holder is paused
	// around its order, its lease runs out, the next holder orders, the first wakes.
	overtaken := func(seconds int, pause func(w *world, stall func())) {
		w := newWorld(false)
		for n := 0; w.routers[1] < 2 && n < 60; n++ {
			w.pass()
		}
		stalled := false
		pause(w, func() {
			stalled, w.down[0] = true, true
			for range seconds {
				w.pass()
			}
			w.down[0] = false
		})
		for n := 0; w.phase() != plannedchange.Done && n < 60; n++ {
			w.pass()
		}
		Expect(stalled).To(BeTrue())
		for i := 1; i < len(w.orders); i++ {
			Expect(w.orders[i].fencing).To(BeNumerically(">=", w.orders[i-1].fencing), "%v", w.orders)
		}
	}

	// Cause: the next holder does not wait for orders that are still under way.
	It("get no order of an old holder after one of the next, for pauses up to an order's life", func() {
		overtaken(6, func(w *world, stall func()) { w.stall = stall })
	})

	// Cause: the lease is checked before the holder looks at the target, not after.
	It("get no order of a holder that was paused while it looked at them", func() {
		overtaken(12, func(w *world, stall func()) { w.stallObserve = stall })
	})
})
