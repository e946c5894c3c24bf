// Package port holds the interfaces through which the application reaches the
// outside. Adapters implement them; tests use fakes.
package port

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Errors of the table service and the object store.
var (
	// ErrConflict: a condition of a transaction did not hold; nothing was written.
	ErrConflict = errors.New("condition not met")
	// ErrUnavailable: the service refused the request; nothing was written.
	ErrUnavailable = errors.New("platform service unavailable")
	// ErrOutcomeUnknown: no reply arrived; the write may have taken effect.
	ErrOutcomeUnknown = errors.New("platform write outcome unknown")
	// ErrNotFound: no such row or object.
	ErrNotFound = errors.New("not found")
)

// Row is one row of the table service.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Condition requires a row to have a version when a transaction commits.
// Version 0 requires that the row does not exist.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write puts or deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is applied whole or not at all.
type Txn struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Table is the platform's transactional table service. Implementations are
// safe for concurrent use.
type Table interface {
	// Get returns one row, ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns the rows whose keys start with prefix, in key order, as of one instant.
	Scan(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies txn and returns ErrConflict, ErrUnavailable or ErrOutcomeUnknown.
	Commit(ctx context.Context, txn Txn) error
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	PutObject(ctx context.Context, name string, data []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// VM is an entry of the platform's lagging VM list.
type VM struct {
	ID         uint32 `json:"id"`
	DataCentre string `json:"dataCentre"`
	Leaving    bool   `json:"leaving"`
}

// VMList is the platform's lagging list of live and leaving VMs.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}
