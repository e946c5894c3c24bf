// Package faketable is an in-memory table service with the faults of the real
// one, for tests.
package faketable

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/hemlockdyke/hemlockdyke/internal/port"
)

// Fault is what happens to one call.
type Fault int

// The faults.
const (
	// NoFault: the call works.
	NoFault Fault = iota
	// Refused: the service is down; nothing is written.
	Refused
	// ReplyLost: the write takes effect, its reply is lost.
	ReplyLost
	// WriteLost: neither does the write take effect nor a reply arrive.
	WriteLost
	// WriteDelayed: the write takes effect at the next call, its reply is lost.
	WriteDelayed
)

// Table implements port.Table. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	rows    map[string]port.Row
	version uint64
	late    []port.Txn
	// ChooseFault chooses the fault of each call; nil means none.
	ChooseFault func(write bool) Fault
	// BeforeCommit runs before each commit, outside the lock: a rival's chance.
	BeforeCommit func()
	Commits      int
}

var _ port.Table = (*Table)(nil)

// New returns an empty Table.
func New() *Table { return &Table{rows: make(map[string]port.Row)} }

func (t *Table) fault(write bool) Fault {
	if t.ChooseFault == nil {
		return NoFault
	}
	return t.ChooseFault(write)
}

func (t *Table) arrive() {
	late := t.late
	t.late = nil
	for _, txn := range late {
		_ = t.apply(txn)
	}
}

// Get returns one row.
func (t *Table) Get(_ context.Context, key string) (port.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arrive()
	if t.fault(false) != NoFault {
		return port.Row{}, port.ErrUnavailable
	}
	row, ok := t.rows[key]
	if !ok {
		return port.Row{}, port.ErrNotFound
	}
	return row, nil
}

// Scan returns the rows under a prefix.
func (t *Table) Scan(_ context.Context, prefix string) ([]port.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arrive()
	if t.fault(false) != NoFault {
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

// Commit applies txn under the fault chosen for it.
func (t *Table) Commit(_ context.Context, txn port.Txn) error {
	if t.BeforeCommit != nil {
		t.BeforeCommit()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arrive()
	switch t.fault(true) {
	case Refused:
		return port.ErrUnavailable
	case ReplyLost:
		_ = t.apply(txn)
		return port.ErrOutcomeUnknown
	case WriteLost:
		return port.ErrOutcomeUnknown
	case WriteDelayed:
		t.late = append(t.late, txn)
		return port.ErrOutcomeUnknown
	}
	return t.apply(txn)
}

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
