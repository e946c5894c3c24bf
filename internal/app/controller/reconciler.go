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

// TargetClient reads the status of targets and sends them orders.
type TargetClient interface {
	// ReadStatus returns the number of a target's open requests and the state that its last orders
	// set. The keys of the state are actions, its values their arguments.
	ReadStatus(ctx context.Context, address string) (open int, state map[string]string, err error)
	// SendOrder sends an order to a target. The target refuses the order after expires, or, if it
	// checks fencing tokens, when it has accepted a higher one.
	SendOrder(ctx context.Context, address string, fencingToken uint64, action, argument string, expires time.Time) error
}

// Reconciler carries out planned changes. Each controller has one. A change is carried out by the
// Reconciler that holds the change's lease.
type Reconciler struct {
	controller    *Controller
	table         port.Table
	targets       TargetClient
	self          uint32
	holder        string
	leaseDuration time.Duration
	passCount     uint
	log           *eventlog.Log
	now           func() time.Time
	leases        map[string]*lease.Lease
	// doneGenerations has the generation at which a planned change was done, by the UID of the
	// change.
	doneGenerations map[uint64]uint64
	// firstCheckedAt has the time at which this process first checked whether the routers have
	// applied a revision, by revision.
	firstCheckedAt map[uint64]time.Time
}

// NewReconciler returns the Reconciler of the controller with the ID self. holder names the process
// in leases and must be unique to it. leaseDuration is the time that a lease lasts after a renewal.
func NewReconciler(c *Controller, table port.Table, targets TargetClient, self uint32, holder string, leaseDuration time.Duration, log *eventlog.Log, now func() time.Time) *Reconciler {
	return &Reconciler{
		controller: c, table: table, targets: targets, self: self, holder: holder, leaseDuration: leaseDuration,
		log: log, now: now, leases: make(map[string]*lease.Lease), firstCheckedAt: make(map[uint64]time.Time), doneGenerations: make(map[uint64]uint64),
	}
}

// Reconcile advances each planned change that is due by one step. To save reads of the table
// service, it lists no other resources and does not read the status of changes that it knows to be
// done. An error of one change is logged and does not stop the others.
func (r *Reconciler) Reconcile(ctx context.Context) error {
	changes, err := r.controller.store.List(ctx, resource.KindPlannedChange)
	if err != nil {
		return err
	}
	r.passCount++
	for _, res := range changes {
		if r.doneGenerations[res.Metadata.UID] == res.Metadata.Generation || !r.isDue(res.Metadata.Name) {
			continue
		}
		if err := r.advanceChange(ctx, res); err != nil {
			r.log.Line(eventlog.PlannedChangeFailed).Str("change", res.Metadata.Name).Err(err).Msg("")
		}
	}
	return nil
}

// maxIntervalExponent bounds the interval between two checks of a change. The interval is at most 2
// to the power of maxIntervalExponent passes.
const maxIntervalExponent = 6

// isDue reports whether the current pass checks a change. The controller that ranks first for the
// change checks it in each pass. The interval doubles with each rank. If all controllers checked in
// each pass, the reads of those without the lease would exceed the capacity of the table service.
func (r *Reconciler) isDue(name string) bool {
	rank := rendezvous.Rank(rendezvous.Hash(name), r.self, r.controller.routers)
	return r.passCount%(1<<min(rank, maxIntervalExponent)) == 0
}

// getSpec returns the decoded spec of a resource and the resource.
func getSpec[T any](ctx context.Context, store *configstore.Store, kind resource.Kind, name string) (T, resource.Resource, error) {
	var spec T
	r, err := store.Get(ctx, resource.Key{Kind: kind, Name: name})
	if err != nil {
		return spec, r, err
	}
	return spec, r, resource.DecodeSpec(r.Spec, &spec)
}

// advanceChange carries out the next step of a planned change if this process holds the change's
// lease.
func (r *Reconciler) advanceChange(ctx context.Context, res resource.Resource) error {
	name := res.Metadata.Name
	var spec resource.PlannedChangeSpec
	if err := resource.DecodeSpec(res.Spec, &spec); err != nil {
		return err
	}
	status, version, err := r.readStatus(ctx, name)
	if err != nil {
		return err
	}
	if status.Phase == plannedchange.Done && status.ObservedGeneration == res.Metadata.Generation {
		r.doneGenerations[res.Metadata.UID] = res.Metadata.Generation
		return nil
	}
	targetSpec, target, err := getSpec[resource.TargetSpec](ctx, r.controller.store, resource.KindTarget, spec.Target)
	if err != nil {
		return err
	}
	pool, _, err := getSpec[resource.PoolSpec](ctx, r.controller.store, resource.KindPool, targetSpec.Pool)
	if err != nil {
		return err
	}
	heldLease, err := r.acquireLease(ctx, name, pool.ChecksFencing)
	if err != nil || heldLease == nil {
		return err
	}
	next, action := plannedchange.Step(spec, res.Metadata.Generation, status, r.observeTarget(ctx, target, targetSpec))
	if err := r.executeAction(ctx, action, heldLease, spec, target, targetSpec, &next); err != nil {
		return err
	}
	if next == status {
		return nil
	}
	return r.writeStatus(ctx, name, next, version)
}

// observeTarget returns what plannedchange.Step has to know about a target.
func (r *Reconciler) observeTarget(ctx context.Context, target resource.Resource, spec resource.TargetSpec) plannedchange.Observation {
	o := plannedchange.Observation{Leaving: spec.Leaving}
	o.AppliedEverywhere = r.isApplied(ctx, target)
	open, state, err := r.targets.ReadStatus(ctx, spec.Address)
	if err == nil {
		o.Reachable, o.OpenRequests, o.State = true, open, state
	}
	return o
}

// silentRouterTimeout is the time after which a router that does not answer is assumed to send no
// new requests to a changed target. It is longer than a router may serve without the store and
// without a majority. After this time the router has received the change from other routers or is
// unready.
const silentRouterTimeout = 15 * time.Second

// isApplied reports whether no router sends requests by an older version of a target any more. This
// is so if all routers have applied the current version, or if a majority has and
// silentRouterTimeout has passed. The timeout starts when this process first checks the version, as
// the clocks of different VMs are not compared.
func (r *Reconciler) isApplied(ctx context.Context, target resource.Resource) bool {
	rollout := r.controller.RolloutStatus(ctx, target.Metadata.ResourceVersion)
	if rollout.Applied == rollout.Listed {
		return true
	}
	firstChecked, ok := r.firstCheckedAt[target.Metadata.ResourceVersion]
	if !ok {
		r.firstCheckedAt[target.Metadata.ResourceVersion] = r.now()
		return false
	}
	return rollout.Applied*2 > rollout.Listed && r.now().Sub(firstChecked) > silentRouterTimeout
}

func (r *Reconciler) executeAction(ctx context.Context, action plannedchange.ActionKind, heldLease *lease.Lease, spec resource.PlannedChangeSpec, target resource.Resource, targetSpec resource.TargetSpec, next *plannedchange.Status) error {
	switch action {
	case plannedchange.MarkLeaving:
		return r.markLeaving(ctx, target, targetSpec)
	case plannedchange.SendOrder:
		return r.sendOrder(ctx, heldLease, spec, targetSpec, next)
	}
	return nil
}

// markLeaving marks a target as leaving in the configuration. The name of the operation contains
// the target's version, so a repeated operation makes no second change.
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

// sendOrder sends the order if the lease lasts at least as long as the order is valid. The lease is
// checked immediately before the order is sent. A process that stalls after the check does no harm,
// because the target ignores an expired order.
func (r *Reconciler) sendOrder(ctx context.Context, heldLease *lease.Lease, spec resource.PlannedChangeSpec, target resource.TargetSpec, next *plannedchange.Status) error {
	now := r.now()
	fencingToken, ok := heldLease.HeldFencingToken(now)
	if !ok || heldLease.RemainingTime(now) < plannedchange.OrderValidity {
		return nil
	}
	next.FencingToken = fencingToken
	action, argument := plannedchange.DesiredState(spec)
	return r.targets.SendOrder(ctx, target.Address, fencingToken, action, argument, now.Add(plannedchange.OrderValidity))
}

// acquireLease acquires or renews the lease of a change. It returns nil if another process holds
// the lease. If the target doesn't check fencing tokens, an expired lease is taken over only after
// the time for which an order is valid, as all orders of the previous holder have expired by then.
func (r *Reconciler) acquireLease(ctx context.Context, name string, checksFencing bool) (*lease.Lease, error) {
	l, ok := r.leases[name]
	if !ok {
		s := lease.Settings{Holder: r.holder, Duration: r.leaseDuration}
		if !checksFencing {
			s.TakeoverDelay = plannedchange.OrderValidity
		}
		l = lease.New(s)
		r.leases[name] = l
	}
	var row lease.Row
	version, err := r.readJSON(ctx, leasePrefix+name, &row)
	if err != nil {
		return nil, err
	}
	action := l.ObserveRow(r.now(), row, version)
	if action.Kind == lease.WriteRow {
		return r.writeLease(ctx, l, name, action)
	}
	if _, held := l.HeldFencingToken(r.now()); !held {
		return nil, nil
	}
	return l, nil
}

// writeLease writes the row of a lease. It returns nil if another process has changed the row.
func (r *Reconciler) writeLease(ctx context.Context, l *lease.Lease, name string, action lease.Action) (*lease.Lease, error) {
	sentAt := r.now()
	err := r.putJSON(ctx, leasePrefix+name, action.Row, action.Version)
	switch {
	case err == nil:
		l.RecordWrite(sentAt, action.Row)
		return l, nil
	case errors.Is(err, port.ErrConflict):
		l.RecordLoss()
		return nil, nil
	default:
		// The write may have taken effect. It is safe not to use the lease: it then expires like
		// the lease of a holder that has exited.
		return nil, err
	}
}

// readStatus returns the stored status of a planned change and the version of its row.
func (r *Reconciler) readStatus(ctx context.Context, name string) (plannedchange.Status, uint64, error) {
	var s plannedchange.Status
	version, err := r.readJSON(ctx, statusPrefix+name, &s)
	return s, version, err
}

// writeStatus logs and stores a status. version is the version of the status that was read. The
// status is not stored if another process has stored one meanwhile.
func (r *Reconciler) writeStatus(ctx context.Context, name string, s plannedchange.Status, version uint64) error {
	r.log.Line(eventlog.PlannedChangeProgress).Str("change", name).Str("phase", string(s.Phase)).Str("why", s.Message).Msg("")
	return r.putJSON(ctx, statusPrefix+name, s, version)
}

// readJSON decodes a row of the table service and returns its version. A missing row leaves into
// unchanged and has version 0.
func (r *Reconciler) readJSON(ctx context.Context, key string, into any) (uint64, error) {
	row, err := r.table.Get(ctx, key)
	if errors.Is(err, port.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return row.Version, errors.Wrapf(json.Unmarshal(row.Value, into), "decode row %s", key)
}

// putJSON writes a row on the condition that its version is still the given one.
func (r *Reconciler) putJSON(ctx context.Context, key string, v any, version uint64) error {
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
