// Package configstore keeps the configuration in the platform's table service.
// Accepting a change is one transaction that moves the head row from revision N
// to N+1 and writes the change, its resources and an operation row.
package configstore

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	"github.com/hemlockdyke/hemlockdyke/internal/port"
)

const (
	headKey         = "config/head"
	changePrefix    = "config/change/"
	resourcePrefix  = "config/resource/"
	operationPrefix = "config/operation/"
)

// keptChanges is how many change rows stay in the table; a router that is
// further behind reads the resources instead.
const keptChanges = 256

// maxTries bounds how often an accept starts over because the head moved.
const maxTries = 20

// Store reads and moves the configuration.
type Store struct {
	table port.Table
	now   func() time.Time
}

// New returns a Store on a table service.
func New(table port.Table, now func() time.Time) *Store {
	return &Store{table: table, now: now}
}

type head struct {
	Revision uint64 `json:"revision"`
}

func changeKey(revision uint64) string { return fmt.Sprintf("%s%016d", changePrefix, revision) }

func resourceKey(k resource.Key) string { return resourcePrefix + string(k.Kind) + "/" + k.Name }

func (s *Store) readHead(ctx context.Context) (head, uint64, error) {
	var h head
	version, err := s.readJSON(ctx, headKey, &h)
	if errors.Is(err, port.ErrNotFound) {
		return h, 0, nil
	}
	return h, version, err
}

func (s *Store) readJSON(ctx context.Context, key string, into any) (uint64, error) {
	row, err := s.table.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	return row.Version, errors.Wrapf(json.Unmarshal(row.Value, into), "row %s", key)
}

// ChangesSince returns what a router at revision after is missing: the changes, or the
// whole configuration if the changes are no longer kept.
func (s *Store) ChangesSince(ctx context.Context, after uint64) ([]resource.Change, *Configuration, error) {
	h, _, err := s.readHead(ctx)
	if err != nil || h.Revision <= after {
		return nil, nil, err
	}
	if h.Revision-after > keptChanges || after == 0 {
		whole, err := s.Load(ctx)
		return nil, whole, err
	}
	var changes []resource.Change
	for revision := after + 1; revision <= h.Revision; revision++ {
		var ch resource.Change
		if _, err := s.readJSON(ctx, changeKey(revision), &ch); err != nil {
			return nil, nil, err
		}
		changes = append(changes, ch)
	}
	return changes, nil, nil
}

// Configuration is every resource at one revision.
type Configuration struct {
	Revision  uint64
	Resources []resource.Resource
}

// Load reads the whole configuration. The head is read before and after: if it
// moved in between, the rows may mix two revisions and are read again.
func (s *Store) Load(ctx context.Context) (*Configuration, error) {
	for range maxTries {
		before, _, err := s.readHead(ctx)
		if err != nil {
			return nil, err
		}
		rows, err := s.table.Scan(ctx, resourcePrefix)
		if err != nil {
			return nil, err
		}
		after, _, err := s.readHead(ctx)
		if err != nil {
			return nil, err
		}
		if before != after {
			continue
		}
		return decodeRows(before.Revision, rows)
	}
	return nil, errors.Mark(errors.New("the configuration keeps changing"), port.ErrUnavailable)
}

// Get returns one resource, or a NoSuchResource or StoreDown error.
func (s *Store) Get(ctx context.Context, k resource.Key) (resource.Resource, error) {
	var r resource.Resource
	_, err := s.readJSON(ctx, resourceKey(k), &r)
	switch {
	case errors.Is(err, port.ErrNotFound):
		return r, code.New(code.NoSuchResource, "no %s %q", k.Kind, k.Name)
	case err != nil:
		return r, storeDown(err)
	}
	return r, nil
}

// List returns the resources of a kind by name. It reads no others: with 31,000
// teams a whole configuration is several megabytes.
func (s *Store) List(ctx context.Context, kind resource.Kind) ([]resource.Resource, error) {
	rows, err := s.table.Scan(ctx, resourcePrefix+string(kind)+"/")
	if err != nil {
		return nil, storeDown(err)
	}
	conf, err := decodeRows(0, rows)
	if err != nil {
		return nil, err
	}
	return conf.Resources, nil
}

func decodeRows(revision uint64, rows []port.Row) (*Configuration, error) {
	out := &Configuration{Revision: revision}
	for _, row := range rows {
		var r resource.Resource
		if err := json.Unmarshal(row.Value, &r); err != nil {
			return nil, errors.Wrapf(err, "row %s", row.Key)
		}
		out.Resources = append(out.Resources, r)
	}
	return out, nil
}

// Operation returns an accepted operation.
func (s *Store) Operation(ctx context.Context, name string) (resource.Operation, error) {
	var op resource.Operation
	_, err := s.readJSON(ctx, operationPrefix+name, &op)
	switch {
	case errors.Is(err, port.ErrNotFound):
		return op, code.New(code.NoSuchOperation, "no operation %q", name)
	case err != nil:
		return op, storeDown(err)
	}
	return op, nil
}

func storeDown(err error) error { return code.New(code.StoreDown, "table service: %s", err) }

// AcceptChange puts resources into the configuration under an operation name chosen by
// the operator's client. The same name again returns the first outcome. It
// returns the operation and, if this call made it, the change.
func (s *Store) AcceptChange(ctx context.Context, name string, resources []resource.Resource) (resource.Operation, *resource.Change, error) {
	if err := checkUnique(resources); err != nil {
		return resource.Operation{}, nil, err
	}
	for range maxTries {
		op, err := s.Operation(ctx, name)
		if err == nil {
			return op, nil, nil
		}
		if codeOf(err) != code.NoSuchOperation {
			return op, nil, err
		}
		op, change, err := s.try(ctx, name, resources)
		if errors.Is(err, errHeadMoved) {
			continue
		}
		return op, change, err
	}
	return resource.Operation{}, nil, code.New(code.Conflict, "the configuration kept changing; try again")
}

// checkUnique refuses a change that names a resource twice: which of the two
// holds would depend on their order, and two targets would be made of one.
func checkUnique(resources []resource.Resource) error {
	seen := make(map[resource.Key]bool, len(resources))
	for _, r := range resources {
		if seen[r.Key()] {
			return code.New(code.BadResource, "%s %q is named twice", r.Kind, r.Metadata.Name)
		}
		seen[r.Key()] = true
	}
	return nil
}

func codeOf(err error) code.Code {
	var coded *code.Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return code.OK
}

var errHeadMoved = errors.New("head moved")

func (s *Store) try(ctx context.Context, name string, resources []resource.Resource) (resource.Operation, *resource.Change, error) {
	none := resource.Operation{}
	h, headVersion, err := s.readHead(ctx)
	if err != nil {
		return none, nil, storeDown(err)
	}
	change := resource.Change{Revision: h.Revision + 1}
	for i, r := range resources {
		next, err := s.next(ctx, r, change.Revision, i, resources)
		if err != nil {
			return none, nil, err
		}
		change.Resources = append(change.Resources, next)
	}
	op := resource.Operation{Name: name, Revision: change.Revision, Accepted: s.now().UTC()}
	txn, err := transaction(headVersion, op, change)
	if err != nil {
		return none, nil, err
	}
	return op, &change, s.commit(ctx, name, txn)
}

// next prepares one resource: checks its precondition and references and counts
// its generation.
func (s *Store) next(ctx context.Context, r resource.Resource, revision uint64, index int, all []resource.Resource) (resource.Resource, error) {
	var old resource.Resource
	_, err := s.readJSON(ctx, resourceKey(r.Key()), &old)
	exists := err == nil
	if err != nil && !errors.Is(err, port.ErrNotFound) {
		return r, storeDown(err)
	}
	if r.Deleted && !exists {
		return r, code.New(code.NoSuchResource, "no %s %q", r.Kind, r.Metadata.Name)
	}
	if r.Metadata.ResourceVersion != old.Metadata.ResourceVersion {
		return r, code.NewFieldError(code.Conflict, "metadata.resourceVersion",
			"%s %q is at version %d, the request has %d", r.Kind, r.Metadata.Name, old.Metadata.ResourceVersion, r.Metadata.ResourceVersion)
	}
	if r.Deleted {
		r.Spec = old.Spec
		r.Metadata = old.Metadata
		r.Metadata.ResourceVersion = revision
		return r, s.checkUnused(ctx, r, all)
	}
	if err := resource.Validate(r); err != nil {
		return r, err
	}
	if err := resource.CheckReferences(r, func(k resource.Key) bool { return s.exists(ctx, k, all) }); err != nil {
		return r, err
	}
	r.Metadata.Generation = old.Metadata.Generation + 1
	r.Metadata.ResourceVersion = revision
	r.Metadata.UID = old.Metadata.UID
	if !exists {
		r.Metadata.UID = newUID(revision, index)
	}
	return r, nil
}

// maxResources is the largest number of resources in one change; UIDs are the
// revision times this plus the position.
const maxResources = 1 << 16

func newUID(revision uint64, index int) uint64 { return revision*maxResources + uint64(index) + 1 }

func (s *Store) exists(ctx context.Context, k resource.Key, all []resource.Resource) bool {
	for _, r := range all {
		if r.Key() == k {
			return !r.Deleted
		}
	}
	_, err := s.table.Get(ctx, resourceKey(k))
	return err == nil
}

// checkUnused refuses to delete a pool that still has targets: their requests
// would lose their pool under way.
func (s *Store) checkUnused(ctx context.Context, r resource.Resource, all []resource.Resource) error {
	if r.Kind != resource.KindPool {
		return nil
	}
	targets, err := s.List(ctx, resource.KindTarget)
	if err != nil {
		return err
	}
	deleted := make(map[resource.Key]bool)
	for _, other := range all {
		deleted[other.Key()] = other.Deleted
	}
	for _, t := range targets {
		var spec resource.TargetSpec
		if resource.Decode(t.Spec, &spec) == nil && spec.Pool == r.Metadata.Name && !deleted[t.Key()] {
			return code.New(code.BadReference, "Pool %q still has Target %q", r.Metadata.Name, t.Metadata.Name)
		}
	}
	return nil
}

func transaction(headVersion uint64, op resource.Operation, change resource.Change) (port.Txn, error) {
	var txn port.Txn
	put := func(key string, v any) error {
		value, err := json.Marshal(v)
		txn.Writes = append(txn.Writes, port.Write{Key: key, Value: value})
		return errors.Wrap(err, "encode row")
	}
	txn.Conditions = []port.Condition{
		{Key: headKey, Version: headVersion},
		{Key: operationPrefix + op.Name, Version: 0},
	}
	err := errors.CombineErrors(put(headKey, head{change.Revision}), put(operationPrefix+op.Name, op))
	err = errors.CombineErrors(err, put(changeKey(change.Revision), change))
	for _, r := range change.Resources {
		if r.Deleted {
			txn.Writes = append(txn.Writes, port.Write{Key: resourceKey(r.Key()), Delete: true})
			continue
		}
		err = errors.CombineErrors(err, put(resourceKey(r.Key()), r))
	}
	if change.Revision > keptChanges {
		txn.Writes = append(txn.Writes, port.Write{Key: changeKey(change.Revision - keptChanges), Delete: true})
	}
	return txn, err
}

// commit applies the transaction and settles a lost reply.
func (s *Store) commit(ctx context.Context, name string, txn port.Txn) error {
	err := s.table.Commit(ctx, txn)
	if errors.Is(err, port.ErrOutcomeUnknown) {
		err = s.settle(ctx, name, txn)
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, port.ErrConflict):
		return errHeadMoved
	case errors.Is(err, port.ErrOutcomeUnknown):
		return code.New(code.ChangeUnknown, "no reply from the table service; ask for operation %q", name)
	default:
		return storeDown(err)
	}
}

// settleTries bounds how often a transaction without a reply is sent again.
const settleTries = 3

// settle finds out what became of a transaction whose reply was lost. If the
// operation row is there, it took effect. If it is not, it may still arrive, so
// the same transaction is sent again: its condition on the head lets it take
// effect once only, and a conflict without an operation row means that another
// operator's change came between and this one never can.
func (s *Store) settle(ctx context.Context, name string, txn port.Txn) error {
	for range settleTries {
		if _, err := s.Operation(ctx, name); err == nil {
			return nil
		}
		err := s.table.Commit(ctx, txn)
		if err == nil {
			return nil
		}
		if !errors.Is(err, port.ErrConflict) {
			continue
		}
		_, err = s.Operation(ctx, name)
		switch codeOf(err) {
		case code.OK:
			return nil
		case code.NoSuchOperation:
			return port.ErrConflict
		}
	}
	return port.ErrOutcomeUnknown
}
