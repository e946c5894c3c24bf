// Package configstore stores the configuration in the platform's table service. A change is
// accepted in one transaction. It advances the head row from revision N to N+1 and writes a row for
// the change, one for the operation and one for each resource of the change.
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

// retainedChanges is the number of change rows that stay in the table. A router that lacks more
// changes reads the whole configuration instead.
const retainedChanges = 256

// maxAttempts is the largest number of attempts to accept a change or to read the configuration. An
// attempt fails if another change is accepted meanwhile.
const maxAttempts = 20

// Store reads and changes the configuration. It is safe for concurrent use.
type Store struct {
	table port.Table
	now   func() time.Time
}

// New returns a Store that keeps the configuration in table. now is the wall clock for the times of
// operations.
func New(table port.Table, now func() time.Time) *Store {
	return &Store{table: table, now: now}
}

// head is the row with the current revision.
type head struct {
	Revision uint64 `json:"revision"`
}

func changeKey(revision uint64) string { return fmt.Sprintf("%s%016d", changePrefix, revision) }

func resourceKey(k resource.Key) string { return resourcePrefix + string(k.Kind) + "/" + k.Name }

// readHead returns the head and the version of its row. Both are zero if there is no configuration
// yet.
func (s *Store) readHead(ctx context.Context) (head, uint64, error) {
	var h head
	version, err := s.readJSON(ctx, headKey, &h)
	if errors.Is(err, port.ErrNotFound) {
		return h, 0, nil
	}
	return h, version, err
}

// readJSON decodes a row and returns its version.
func (s *Store) readJSON(ctx context.Context, key string, into any) (uint64, error) {
	row, err := s.table.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	return row.Version, errors.Wrapf(json.Unmarshal(row.Value, into), "decode row %s", key)
}

// ChangesSince returns what a router at revision after lacks: the later changes, or the whole
// configuration if not all of these changes are stored any more or after is 0.
func (s *Store) ChangesSince(ctx context.Context, after uint64) ([]resource.Change, *Configuration, error) {
	h, _, err := s.readHead(ctx)
	if err != nil || h.Revision <= after {
		return nil, nil, err
	}
	if h.Revision-after > retainedChanges || after == 0 {
		snapshot, err := s.Load(ctx)
		return nil, snapshot, err
	}
	var changes []resource.Change
	for revision := after + 1; revision <= h.Revision; revision++ {
		var change resource.Change
		if _, err := s.readJSON(ctx, changeKey(revision), &change); err != nil {
			return nil, nil, err
		}
		changes = append(changes, change)
	}
	return changes, nil, nil
}

// Configuration has all resources at one revision.
type Configuration struct {
	Revision  uint64
	Resources []resource.Resource
}

// Load reads the whole configuration. It reads the head before and after the resources. If the head
// has changed, the resources may be of different revisions and are read again.
func (s *Store) Load(ctx context.Context) (*Configuration, error) {
	for range maxAttempts {
		headBefore, _, err := s.readHead(ctx)
		if err != nil {
			return nil, err
		}
		rows, err := s.table.Scan(ctx, resourcePrefix)
		if err != nil {
			return nil, err
		}
		headAfter, _, err := s.readHead(ctx)
		if err != nil {
			return nil, err
		}
		if headBefore != headAfter {
			continue
		}
		return decodeRows(headBefore.Revision, rows)
	}
	return nil, errors.Mark(errors.New("configuration changed during each attempt to read it"), port.ErrUnavailable)
}

// Get returns one resource, or an error with the code NoSuchResource or StoreDown.
func (s *Store) Get(ctx context.Context, k resource.Key) (resource.Resource, error) {
	var r resource.Resource
	_, err := s.readJSON(ctx, resourceKey(k), &r)
	switch {
	case errors.Is(err, port.ErrNotFound):
		return r, code.New(code.NoSuchResource, "no %s %q", k.Kind, k.Name)
	case err != nil:
		return r, storeDownError(err)
	}
	return r, nil
}

// List returns the resources of a kind, sorted by name. It reads only these resources, as a whole
// configuration with 31,000 teams has several megabytes.
func (s *Store) List(ctx context.Context, kind resource.Kind) ([]resource.Resource, error) {
	rows, err := s.table.Scan(ctx, resourcePrefix+string(kind)+"/")
	if err != nil {
		return nil, storeDownError(err)
	}
	config, err := decodeRows(0, rows)
	if err != nil {
		return nil, err
	}
	return config.Resources, nil
}

func decodeRows(revision uint64, rows []port.Row) (*Configuration, error) {
	out := &Configuration{Revision: revision}
	for _, row := range rows {
		var r resource.Resource
		if err := json.Unmarshal(row.Value, &r); err != nil {
			return nil, errors.Wrapf(err, "decode row %s", row.Key)
		}
		out.Resources = append(out.Resources, r)
	}
	return out, nil
}

// Operation returns an accepted operation, or an error with the code NoSuchOperation or StoreDown.
func (s *Store) Operation(ctx context.Context, name string) (resource.Operation, error) {
	var op resource.Operation
	_, err := s.readJSON(ctx, operationPrefix+name, &op)
	switch {
	case errors.Is(err, port.ErrNotFound):
		return op, code.New(code.NoSuchOperation, "no operation %q", name)
	case err != nil:
		return op, storeDownError(err)
	}
	return op, nil
}

// storeDownError returns an error with the code StoreDown.
func storeDownError(err error) error { return code.New(code.StoreDown, "table service: %s", err) }

// AcceptChange writes resources to the configuration. name is the operation name that the
// operator's client has chosen. If an operation of this name has been accepted before, AcceptChange
// returns that operation and no change. Otherwise it returns the new operation and its change.
func (s *Store) AcceptChange(ctx context.Context, name string, resources []resource.Resource) (resource.Operation, *resource.Change, error) {
	if err := checkUnique(resources); err != nil {
		return resource.Operation{}, nil, err
	}
	for range maxAttempts {
		op, err := s.Operation(ctx, name)
		if err == nil {
			return op, nil, nil
		}
		if codeOf(err) != code.NoSuchOperation {
			return op, nil, err
		}
		op, change, err := s.tryAcceptChange(ctx, name, resources)
		if errors.Is(err, errHeadChanged) {
			continue
		}
		return op, change, err
	}
	return resource.Operation{}, nil, code.New(code.Conflict, "other changes were accepted during each attempt; try again")
}

// checkUnique refuses a change that has a resource twice. The result would depend on the order of
// the two, and a target that is created twice would become two targets.
func checkUnique(resources []resource.Resource) error {
	seen := make(map[resource.Key]bool, len(resources))
	for _, r := range resources {
		if seen[r.Key()] {
			return code.New(code.BadResource, "%s %q occurs twice in the change", r.Kind, r.Metadata.Name)
		}
		seen[r.Key()] = true
	}
	return nil
}

// codeOf returns the result code of an error, or code.OK if it has none.
func codeOf(err error) code.Code {
	var coded *code.Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return code.OK
}

// errHeadChanged means that another change was accepted first.
var errHeadChanged = errors.New("configuration head has changed")

// tryAcceptChange makes one attempt to accept a change. It returns errHeadChanged if another change
// was accepted first.
func (s *Store) tryAcceptChange(ctx context.Context, name string, resources []resource.Resource) (resource.Operation, *resource.Change, error) {
	noOperation := resource.Operation{}
	h, headVersion, err := s.readHead(ctx)
	if err != nil {
		return noOperation, nil, storeDownError(err)
	}
	change := resource.Change{Revision: h.Revision + 1}
	for i, r := range resources {
		prepared, err := s.prepareResource(ctx, r, change.Revision, i, resources)
		if err != nil {
			return noOperation, nil, err
		}
		change.Resources = append(change.Resources, prepared)
	}
	op := resource.Operation{Name: name, Revision: change.Revision, AcceptedAt: s.now().UTC()}
	txn, err := newTransaction(headVersion, op, change)
	if err != nil {
		return noOperation, nil, err
	}
	return op, &change, s.commit(ctx, name, txn)
}

// prepareResource checks the precondition and the references of a resource and returns the resource
// with its new metadata. index is the position of the resource in the change, and changed are the
// resources of the change.
func (s *Store) prepareResource(ctx context.Context, r resource.Resource, revision uint64, index int, changed []resource.Resource) (resource.Resource, error) {
	var old resource.Resource
	_, err := s.readJSON(ctx, resourceKey(r.Key()), &old)
	exists := err == nil
	if err != nil && !errors.Is(err, port.ErrNotFound) {
		return r, storeDownError(err)
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
		return r, s.checkPoolUnused(ctx, r, changed)
	}
	if err := resource.Validate(r); err != nil {
		return r, err
	}
	if err := resource.CheckReferences(r, func(k resource.Key) bool { return s.resourceExists(ctx, k, changed) }); err != nil {
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

// uidsPerRevision is the number of UIDs that belong to one revision, and so the largest number of
// resources in a change that keeps UIDs unique.
const uidsPerRevision = 1 << 16

// newUID returns the UID of a resource that is created at a revision. index is the position of the
// resource in the change. UIDs are unique as long as index is less than uidsPerRevision.
func newUID(revision uint64, index int) uint64 { return revision*uidsPerRevision + uint64(index) + 1 }

// resourceExists reports whether a resource exists once the change is accepted. changed are the
// resources of the change. An error of the table service counts as a missing resource.
func (s *Store) resourceExists(ctx context.Context, k resource.Key, changed []resource.Resource) bool {
	for _, r := range changed {
		if r.Key() == k {
			return !r.Deleted
		}
	}
	_, err := s.table.Get(ctx, resourceKey(k))
	return err == nil
}

// checkPoolUnused refuses to delete a pool that still has targets, as requests in progress at these
// targets would lose their pool. r is the deleted resource, and changed are the resources of the
// change.
func (s *Store) checkPoolUnused(ctx context.Context, r resource.Resource, changed []resource.Resource) error {
	if r.Kind != resource.KindPool {
		return nil
	}
	targets, err := s.List(ctx, resource.KindTarget)
	if err != nil {
		return err
	}
	deleted := make(map[resource.Key]bool)
	for _, other := range changed {
		deleted[other.Key()] = other.Deleted
	}
	for _, t := range targets {
		var spec resource.TargetSpec
		if resource.DecodeSpec(t.Spec, &spec) == nil && spec.Pool == r.Metadata.Name && !deleted[t.Key()] {
			return code.New(code.BadReference, "Pool %q still has Target %q", r.Metadata.Name, t.Metadata.Name)
		}
	}
	return nil
}

// newTransaction returns the transaction that accepts a change. Its conditions are that the head
// row still has the given version and that no operation of the same name exists.
func newTransaction(headVersion uint64, op resource.Operation, change resource.Change) (port.Txn, error) {
	var txn port.Txn
	addWrite := func(key string, v any) error {
		value, err := json.Marshal(v)
		txn.Writes = append(txn.Writes, port.Write{Key: key, Value: value})
		return errors.Wrap(err, "encode row")
	}
	txn.Conditions = []port.Condition{
		{Key: headKey, Version: headVersion},
		{Key: operationPrefix + op.Name, Version: 0},
	}
	err := errors.CombineErrors(addWrite(headKey, head{change.Revision}), addWrite(operationPrefix+op.Name, op))
	err = errors.CombineErrors(err, addWrite(changeKey(change.Revision), change))
	for _, r := range change.Resources {
		if r.Deleted {
			txn.Writes = append(txn.Writes, port.Write{Key: resourceKey(r.Key()), Delete: true})
			continue
		}
		err = errors.CombineErrors(err, addWrite(resourceKey(r.Key()), r))
	}
	if change.Revision > retainedChanges {
		txn.Writes = append(txn.Writes, port.Write{Key: changeKey(change.Revision - retainedChanges), Delete: true})
	}
	return txn, err
}

// commit commits a transaction. If the reply is lost, it finds out the outcome.
func (s *Store) commit(ctx context.Context, name string, txn port.Txn) error {
	err := s.table.Commit(ctx, txn)
	if errors.Is(err, port.ErrOutcomeUnknown) {
		err = s.resolveOutcome(ctx, name, txn)
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, port.ErrConflict):
		return errHeadChanged
	case errors.Is(err, port.ErrOutcomeUnknown):
		return code.New(code.ChangeUnknown, "no reply from the table service; look up operation %q", name)
	default:
		return storeDownError(err)
	}
}

// maxResends is the largest number of times that a transaction without a reply is sent again.
const maxResends = 3

// resolveOutcome finds out the outcome of a transaction whose reply was lost. If the operation row
// exists, the transaction has taken effect. If the row does not exist, the transaction may still
// take effect, so it is sent again. The condition on the head lets it take effect only once. After
// a conflict without an operation row it can never take effect, as another change was accepted
// first.
func (s *Store) resolveOutcome(ctx context.Context, name string, txn port.Txn) error {
	for range maxResends {
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
