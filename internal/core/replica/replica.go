// Package replica holds one router's copy of a platform table. Each copy is the table as of one
// version, so copies of different routers agree: a copy with a higher version replaces an older
// one, whichever way it arrives, and never the reverse.
package replica

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
)

// Row is one row of a table.
type Row struct {
	Key     string
	Value   []byte
	Version uint64 // version of the transaction that wrote the row
	Removed bool
}

// maxRemoved is how many removed rows are kept for routers with older copies. A router whose copy
// is older than these receives the whole table.
const maxRemoved = 512

// Table is a router's copy of one table. It is not safe for concurrent use.
type Table struct {
	rows         map[string]Row
	sorted       []Row  // rows sorted by key
	removed      []Row  // in order of version
	version      uint64 // the copy is the table as of this version
	removedSince uint64 // removed holds all removals after this version
	loaded       bool
}

// New returns an empty copy that has not been loaded.
func New() *Table { return &Table{rows: make(map[string]Row)} }

// Loaded reports whether the table has been loaded at least once.
func (t *Table) Loaded() bool { return t.loaded }

// Version returns the version as of which the copy equals the table, or 0 if the table has not been
// loaded. It increases without a change of the content if the table was unchanged at a newer
// version.
func (t *Table) Version() uint64 { return t.version }

// Rows returns the rows sorted by key.
func (t *Table) Rows() []Row {
	return slices.Clone(t.sorted)
}

func sortedByKey(rows map[string]Row) []Row {
	return slices.SortedFunc(maps.Values(rows), func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
}

// Load replaces the copy with the whole table as of version. It reports whether the content
// changed. A version that is not newer than the copy is ignored.
func (t *Table) Load(version uint64, rows []Row) bool {
	if t.loaded && version <= t.version {
		return false
	}
	next := make(map[string]Row, len(rows))
	for _, r := range rows {
		next[r.Key] = r
	}
	if t.loaded && t.hasSameRows(next) {
		t.version = version
		return false
	}
	t.rows, t.sorted, t.removed = next, sortedByKey(next), nil
	t.version, t.removedSince, t.loaded = version, version, true
	return true
}

func (t *Table) hasSameRows(rows map[string]Row) bool {
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

// Apply applies changes, which are sorted by version, and reports whether the content changed. Rows
// that are not newer than the copy are ignored. The copy's version is then at least version, the
// one up to which the changes are complete; 0 if that is unknown.
func (t *Table) Apply(rows []Row, version uint64) bool {
	changed := false
	versionBefore := t.version // rows of one transaction share a version
	for _, r := range rows {
		if r.Version <= versionBefore {
			continue
		}
		t.applyRow(r)
		changed = true
	}
	t.version = max(t.version, version)
	return changed
}

func (t *Table) applyRow(r Row) {
	t.version = r.Version
	at, found := slices.BinarySearchFunc(t.sorted, r.Key, func(row Row, key string) int { return cmp.Compare(row.Key, key) })
	if !r.Removed {
		t.rows[r.Key] = r
		if found {
			t.sorted[at] = r
		} else {
			t.sorted = slices.Insert(t.sorted, at, r)
		}
		return
	}
	delete(t.rows, r.Key)
	if found {
		t.sorted = slices.Delete(t.sorted, at, at+1)
	}
	t.removed = append(t.removed, r)
	if len(t.removed) > maxRemoved {
		cut := len(t.removed) - maxRemoved/2
		t.removedSince = t.removed[cut-1].Version
		t.removed = slices.Clone(t.removed[cut:])
	}
}

// ChangesSince returns what a copy of version after lacks: the later changes sorted by version, or
// the whole table if removals may be missing from the changes. A read in several pages can leave
// rows newer than the table's version; these are omitted, because a copy that received them would
// wrongly skip all older changes.
func (t *Table) ChangesSince(after uint64) (rows []Row, whole bool) {
	if after == 0 || after < t.removedSince {
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
