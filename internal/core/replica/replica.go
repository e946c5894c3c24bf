// Package replica holds one router's copy of a platform table. Copies of different
// routers agree because each is the table as of one version: the copy with the
// higher version replaces the other, whichever way it arrives, and never the
// reverse.
package replica

import (
	"bytes"
	"cmp"
	"slices"
)

// Row is one row of a table.
type Row struct {
	Key     string
	Value   []byte
	Version uint64 // of the transaction that wrote it
	Removed bool
}

// maxRemoved is how many removed rows are kept for routers that lag. Those that
// lag by more get the whole table.
const maxRemoved = 512

// Table is a copy of one table. It is not safe for concurrent use.
type Table struct {
	rows    map[string]Row
	removed []Row  // by version
	version uint64 // of the last change of content
	floor   uint64 // all removals after this version are in removed
	known   bool
}

// New returns the copy of a table of which nothing is known.
func New() *Table { return &Table{rows: make(map[string]Row)} }

// Loaded reports whether the table has been read at all.
func (t *Table) Loaded() bool { return t.known }

// Version returns the version of the last change of content, 0 if unknown.
func (t *Table) Version() uint64 { return t.version }

// Rows returns the rows in the order of their keys.
func (t *Table) Rows() []Row {
	out := make([]Row, 0, len(t.rows))
	for _, r := range t.rows {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// Load replaces the copy by the whole table as of a version and reports whether
// the content changed. An older one changes nothing.
func (t *Table) Load(version uint64, rows []Row) bool {
	if t.known && version <= t.version {
		return false
	}
	next := make(map[string]Row, len(rows))
	for _, r := range rows {
		next[r.Key] = r
	}
	if t.known && t.equals(next) {
		t.version = version
		return false
	}
	t.rows, t.removed = next, nil
	t.version, t.floor, t.known = version, version, true
	return true
}

func (t *Table) equals(rows map[string]Row) bool {
	if len(rows) != len(t.rows) {
		return false
	}
	for key, r := range rows {
		old, ok := t.rows[key]
		if !ok || old.Version != r.Version || !bytes.Equal(old.Value, r.Value) {
			return false
		}
	}
	return true
}

// Apply takes in changes in the order of their versions and reports whether the
// content changed. Rows that the copy has already change nothing. The copy is then
// as of version at least; 0 if that is not known.
func (t *Table) Apply(rows []Row, version uint64) bool {
	changed := false
	before := t.version // several rows of one transaction share their version
	for _, r := range rows {
		if r.Version <= before {
			continue
		}
		t.put(r)
		changed = true
	}
	t.version = max(t.version, version)
	return changed
}

func (t *Table) put(r Row) {
	t.version = r.Version
	if !r.Removed {
		t.rows[r.Key] = r
		return
	}
	delete(t.rows, r.Key)
	t.removed = append(t.removed, r)
	if len(t.removed) > maxRemoved {
		cut := len(t.removed) - maxRemoved/2
		t.floor = t.removed[cut-1].Version
		t.removed = slices.Clone(t.removed[cut:])
	}
}

// ChangesSince returns what another copy lacks: the changes after its version in order,
// or the whole table if removals may be missing from those. Rows newer than the table's version, as a read in
// several pages brings, are left out: a copy that had them would take itself to have all that is older.
func (t *Table) ChangesSince(after uint64) (rows []Row, whole bool) {
	if after == 0 || after < t.floor {
		return t.Rows(), true
	}
	for _, r := range t.rows {
		if r.Version > after && r.Version <= t.version {
			rows = append(rows, r)
		}
	}
	for _, r := range t.removed {
		if r.Version > after {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
	return rows, false
}
