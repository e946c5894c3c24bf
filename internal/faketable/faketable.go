// Package faketable provides an in-memory table service for tests. It can fail calls in the ways
// in which the real service fails.
package faketable

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/hemlockdyke/hemlockdyke/internal/port"
)

// Fault is the failure of one call.
type Fault int

// The faults. Reads fail with port.ErrUnavailable under every fault but NoFault.
const (
	// NoFault: the call succeeds.
	NoFault Fault = iota
	// Refused: the service is down and the write is not applied.
	Refused
	// ReplyLost: the write is applied but its reply is lost.
	ReplyLost
	// WriteLost: the write is lost before it is applied, so there is no reply either.
	WriteLost
	// WriteDelayed: the write is applied at the start of the next call; its reply is lost.
	WriteDelayed
)

// Table is an in-memory implementation of port.Table. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	rows    map[string]port.Row
	version uint64
	delayed []port.Txn
	// ChooseFault returns the fault of each call; write is true for commits. Nil means NoFault.
	ChooseFault func(write bool) Fault
	// BeforeCommit runs before each commit, without the lock, so that it can commit a concurrent
	// write. Nil means that nothing runs.
	BeforeCommit func()
	// Commits is the number of transactions that were applied.
	Commits int
}

var _ port.Table = (*Table)(nil)

// New returns an empty Table.
func New() *Table { return &Table{rows: make(map[string]port.Row)} }

// nextFault returns the fault of the next call.
func (t *Table) nextFault(write bool) Fault {
	if t.ChooseFault == nil {
		return NoFault
	}
	return t.ChooseFault(write)
}

// applyDelayed applies the writes of earlier calls that had the fault WriteDelayed.
func (t *Table) applyDelayed() {
	delayed := t.delayed
	t.delayed = nil
	for _, txn := range delayed {
		_ = t.apply(txn)
	}
}

// Get returns the row of a key.
func (t *Table) Get(_ context.Context, key string) (port.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyDelayed()
	if t.nextFault(false) != NoFault {
		return port.Row{}, port.ErrUnavailable
	}
	row, ok := t.rows[key]
	if !ok {
		return port.Row{}, port.ErrNotFound
	}
	return row, nil
}

// Scan returns the rows whose keys begin with prefix, sorted by key.
func (t *Table) Scan(_ context.Context, prefix string) ([]port.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyDelayed()
	if t.nextFault(false) != NoFault {
		return nil, port.ErrUnavailable
	}
	var rows []port.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, nil
}

// Commit applies txn under the fault that ChooseFault returns. It returns port.ErrUnavailable for
// Refused and port.ErrOutcomeUnknown for a lost reply, a lost write or a delayed write.
func (t *Table) Commit(_ context.Context, txn port.Txn) error {
	if t.BeforeCommit != nil {
		t.BeforeCommit()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyDelayed()
	switch t.nextFault(true) {
	case Refused:
		return port.ErrUnavailable
	case ReplyLost:
		_ = t.apply(txn)
		return port.ErrOutcomeUnknown
	case WriteLost:
		return port.ErrOutcomeUnknown
	case WriteDelayed:
		t.delayed = append(t.delayed, txn)
		return port.ErrOutcomeUnknown
	}
	return t.apply(txn)
}

// apply executes a transaction and returns port.ErrConflict if one of its conditions fails.
func (t *Table) apply(txn port.Txn) error {
	for _, c := range txn.Conditions {
		if t.rows[c.Key].Version != c.Version {
			return port.ErrConflict
		}
	}
	t.Commits++
	t.version++
	for _, w := range txn.Writes {
		if w.Delete {
			delete(t.rows, w.Key)
		} else {
			t.rows[w.Key] = port.Row{Key: w.Key, Value: w.Value, Version: t.version}
		}
	}
	return nil
}
