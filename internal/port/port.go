// Package port defines the interfaces of the platform services that the application uses. Adapters
// implement them, and tests use fakes.
package port

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Errors of the table service and the object store.
var (
	// ErrConflict means that a condition of a transaction was not met. Nothing was written.
	ErrConflict = errors.New("condition not met")
	// ErrUnavailable means that the service did not accept the request. Nothing was written.
	ErrUnavailable = errors.New("platform service unavailable")
	// ErrOutcomeUnknown means that no reply arrived. The write may have taken effect or may still
	// take effect.
	ErrOutcomeUnknown = errors.New("platform write outcome unknown")
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = errors.New("not found")
)

// Row is a row of the table service.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Condition requires that a row has a certain version when a transaction is committed. Version 0
// requires that the row does not exist.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write writes or, if Delete is set, deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a transaction. Either all of its writes are applied or none.
type Txn struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Table is the platform's transactional table service. Implementations are safe for concurrent use.
type Table interface {
	// Get returns one row. Its errors are ErrNotFound and ErrUnavailable.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns a consistent snapshot of the rows whose keys start with prefix, sorted by key.
	Scan(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies a transaction. Its errors are ErrConflict, ErrUnavailable and
	// ErrOutcomeUnknown.
	Commit(ctx context.Context, txn Txn) error
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	PutObject(ctx context.Context, name string, data []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// VM is an entry of the platform's VM list.
type VM struct {
	ID         uint32 `json:"id"`
	DataCentre string `json:"dataCentre"`
	Leaving    bool   `json:"leaving"`
}

// VMList is the platform's list of live and leaving VMs. The list lags behind the actual state.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}
