package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/app/configstore"
	"github.com/hemlockdyke/hemlockdyke/internal/core/lease"
	"github.com/hemlockdyke/hemlockdyke/internal/core/plannedchange"
	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
	"github.com/hemlockdyke/hemlockdyke/internal/port"
)

const (
	leasePrefix  = "lease/plannedchange/"
	statusPrefix = "status/plannedchange/"
)

// TargetOrders observes targets and sends them orders.
type TargetOrders interface {
	// Observe returns a target's open requests and state.
	Observe(ctx context.Context, address string) (open int, state map[string]string, err error)
	// Order sends an order that expires. The target may refuse an old fencing number.
	Order(ctx context.Context, address string, fencing uint64, action, argument string, expires time.Time) error
}

// Reconciler carries out planned changes. Every controller runs one; a lease per
// change decides which of them works on it.
type Reconciler struct {
	controller *Controller
	table      port.Table
	orders     TargetOrders
	self       uint32
	holder     string
	duration   time.Duration
	passes     uint
	log        *eventlog.Log
	now        func() time.Time
	leases     map[string]*lease.Lease
	// done holds the generation at which a change was found done, by UID.
	done map[uint64]uint64
	// looking holds when this process first looked for a revision at the routers.
	looking map[uint64]time.Time
}

// NewReconciler returns the Reconciler of controller self. holder must be unique to
// this process.
func NewReconciler(c *Controller, table port.Table, orders TargetOrders, self uint32, holder string, duration time.Duration, log *eventlog.Log, now func() time.Time) *Reconciler {
	return &Reconciler{
		controller: c, table: table, orders: orders, self: self, holder: holder, duration: duration,
		log: log, now: now, leases: make(map[string]*lease.Lease), looking: make(map[uint64]time.Time), done: make(map[uint64]uint64),
	}
}

// Pass looks at every planned change once. It reads the planned changes only, and
// of those that are done not even the status again.
func (r *Reconciler) Pass(ctx context.Context) error {
	changes, err := r.controller.store.List(ctx, resource.KindPlannedChange)
	if err != nil {
		return err
	}
	r.passes++
	for _, res := range changes {
		if r.done[res.Metadata.UID] == res.Metadata.Generation || !r.due(res.Metadata.Name) {
			continue
		}
		if err := r.advance(ctx, res); err != nil {
			r.log.Line(eventlog.PlannedChangeFailed).Str("change", res.Metadata.Name).Err(err).Msg("")
		}
	}
	return nil
}

// maxSkip bounds the passes between two looks at a change, as a power of two.
const maxSkip = 6

// due reports whether this pass looks at a change. The controllers that rank first
// for it look often, the others seldom: if all looked each second, the waiting
// ones alone would read more than the table service serves.
func (r *Reconciler) due(name string) bool {
	rank := rendezvous.Rank(rendezvous.Hash(name), r.self, r.controller.routers)
	return r.passes%(1<<min(rank, maxSkip)) == 0
}

// fetch reads a resource and its spec.
func fetch[T any](ctx context.Context, store *configstore.Store, kind resource.Kind, name string) (T, resource.Resource, error) {
	var spec T
	r, err := store.Get(ctx, resource.Key{Kind: kind, Name: name})
	if err != nil {
		return spec, r, err
	}
	return spec, r, resource.Decode(r.Spec, &spec)
}

func (r *Reconciler) advance(ctx context.Context, res resource.Resource) error {
	name := res.Metadata.Name
	var spec resource.PlannedChangeSpec
	if err := resource.Decode(res.Spec, &spec); err != nil {
		return err
	}
	status, version, err := r.readStatus(ctx, name)
	if err != nil {
		return err
	}
	if status.Phase == plannedchange.Done && status.ObservedGeneration == res.Metadata.Generation {
		r.done[res.Metadata.UID] = res.Metadata.Generation
		return nil
	}
	targetSpec, target, err := fetch[resource.TargetSpec](ctx, r.controller.store, resource.KindTarget, spec.Target)
	if err != nil {
		return err
	}
	pool, _, err := fetch[resource.PoolSpec](ctx, r.controller.store, resource.KindPool, targetSpec.Pool)
	if err != nil {
		return err
	}
	held, err := r.hold(ctx, name, pool.ChecksFencing)
	if err != nil || held == nil {
		return err
	}
	next, action := plannedchange.Step(spec, res.Metadata.Generation, status, r.observe(ctx, target, targetSpec))
	if err := r.act(ctx, action, held, spec, target, targetSpec, &next); err != nil {
		return err
	}
	if next == status {
		return nil
	}
	return r.writeStatus(ctx, name, next, version)
}

func (r *Reconciler) observe(ctx context.Context, target resource.Resource, spec resource.TargetSpec) plannedchange.Observation {
	o := plannedchange.Observation{Leaving: spec.Leaving}
	o.InForce = r.inForce(ctx, target)
	open, state, err := r.orders.Observe(ctx, spec.Address)
	if err == nil {
		o.Reachable, o.Open, o.State = true, open, state
	}
	return o
}

// silentAfter is how long routers that can't be reached are waited for. By then
// they have heard of the change by way of others or turned unready, since it is
// longer than a router may serve without the store and without a majority.
const silentAfter = 15 * time.Second

// inForce reports whether no router sends new work to a target that was changed.
// The wait for silent routers is measured on the local clock from when this
// process first looked; clocks of different VMs are not compared.
func (r *Reconciler) inForce(ctx context.Context, target resource.Resource) bool {
	force := r.controller.InForce(ctx, target.Metadata.ResourceVersion)
	if force.Routers == force.Listed {
		return true
	}
	since, ok := r.looking[target.Metadata.ResourceVersion]
	if !ok {
		r.looking[target.Metadata.ResourceVersion] = r.now()
		return false
	}
	return force.Routers*2 > force.Listed && r.now().Sub(since) > silentAfter
}

func (r *Reconciler) act(ctx context.Context, action plannedchange.ActionKind, held *lease.Lease, spec resource.PlannedChangeSpec, target resource.Resource, targetSpec resource.TargetSpec, next *plannedchange.Status) error {
	switch action {
	case plannedchange.MarkLeaving:
		return r.markLeaving(ctx, target, targetSpec)
	case plannedchange.Order:
		return r.order(ctx, held, spec, targetSpec, next)
	}
	return nil
}

func (r *Reconciler) markLeaving(ctx context.Context, target resource.Resource, spec resource.TargetSpec) error {
	if spec.Leaving {
		return nil
	}
	spec.Leaving = true
	encoded, err := json.Marshal(spec)
	if err != nil {
		return errors.Wrap(err, "encode target")
	}
	target.Spec = encoded
	operation := fmt.Sprintf("leaving-%s-%d", target.Metadata.Name, target.Metadata.ResourceVersion)
	_, err = r.controller.Apply(ctx, operation, []resource.Resource{target})
	return err
}

// order sends the order if the lease lasts longer than the order does. The check
// comes last before sending: a process that was paused after it still can't do
// harm, since the target drops an expired order.
func (r *Reconciler) order(ctx context.Context, held *lease.Lease, spec resource.PlannedChangeSpec, target resource.TargetSpec, next *plannedchange.Status) error {
	now := r.now()
	fencing, ok := held.Held(now)
	if !ok || held.Remaining(now) < plannedchange.OrderLife {
		return nil
	}
	next.Fencing = fencing
	action, argument := plannedchange.Wanted(spec)
	return r.orders.Order(ctx, target.Address, fencing, action, argument, now.Add(plannedchange.OrderLife))
}

// hold takes or renews the lease of a change; nil means that another process has it.
func (r *Reconciler) hold(ctx context.Context, name string, checksFencing bool) (*lease.Lease, error) {
	l, ok := r.leases[name]
	if !ok {
		s := lease.Settings{Holder: r.holder, Duration: r.duration}
		if !checksFencing {
			s.Extra = plannedchange.OrderLife
		}
		l = lease.New(s)
		r.leases[name] = l
	}
	var row lease.Row
	version, err := r.readJSON(ctx, leasePrefix+name, &row)
	if err != nil {
		return nil, err
	}
	action := l.Observe(r.now(), row, version)
	if action.Kind == lease.Write {
		return r.writeLease(ctx, l, name, action)
	}
	if _, held := l.Held(r.now()); !held {
		return nil, nil
	}
	return l, nil
}

func (r *Reconciler) writeLease(ctx context.Context, l *lease.Lease, name string, action lease.Action) (*lease.Lease, error) {
	sent := r.now()
	err := r.put(ctx, leasePrefix+name, action.Row, action.Version)
	switch {
	case err == nil:
		l.Written(sent, action.Row)
		return l, nil
	case errors.Is(err, port.ErrConflict):
		l.Lost()
		return nil, nil
	default:
		// The write may have taken effect. Not using it is always safe: the row
		// then runs out like that of a dead holder.
		return nil, err
	}
}

func (r *Reconciler) readStatus(ctx context.Context, name string) (plannedchange.Status, uint64, error) {
	var s plannedchange.Status
	version, err := r.readJSON(ctx, statusPrefix+name, &s)
	return s, version, err
}

// writeStatus stores a status unless another process has stored one since it was read.
func (r *Reconciler) writeStatus(ctx context.Context, name string, s plannedchange.Status, version uint64) error {
	r.log.Line(eventlog.PlannedChangeProgress).Str("change", name).Str("phase", string(s.Phase)).Str("why", s.Message).Msg("")
	return r.put(ctx, statusPrefix+name, s, version)
}

func (r *Reconciler) readJSON(ctx context.Context, key string, into any) (uint64, error) {
	row, err := r.table.Get(ctx, key)
	if errors.Is(err, port.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return row.Version, errors.Wrapf(json.Unmarshal(row.Value, into), "row %s", key)
}

func (r *Reconciler) put(ctx context.Context, key string, v any, version uint64) error {
	value, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode row")
	}
	return r.table.Commit(ctx, port.Txn{
		Conditions: []port.Condition{{Key: key, Version: version}},
		Writes:     []port.Write{{Key: key, Value: value}},
	})
}

// Status returns the stored status of a planned change.
func (r *Reconciler) Status(ctx context.Context, name string) (plannedchange.Status, error) {
	s, _, err := r.readStatus(ctx, name)
	return s, err
}
