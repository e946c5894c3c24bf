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

// minLogged is how many changes are kept at least for routers with older copies, and
// loggedShare of the number of rows if that is more: a longer list of changes costs as much as the
// whole table. A router whose copy is older than the kept changes receives the whole table.
const (
	minLogged   = 512
	loggedShare = 0.5
)

// Table is a router's copy of one table. It is not safe for concurrent use.
type Table struct {
	rows     map[string]Row
	sorted   []Row  // rows sorted by key
	log      []Row  // the changes after logSince, in order of version
	logSince uint64 // log is complete after this version
	version  uint64 // the copy is the table as of this version
	loaded   bool

	untaken      []Row // changes that TakeChanges has not returned yet, in order
	wholeUntaken bool  // all rows have changed since the last TakeChanges
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

// Len returns how many rows there are.
func (t *Table) Len() int { return len(t.sorted) }

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
	if t.loaded {
		return t.loadDifference(version, next)
	}
	t.rows, t.sorted = next, sortedByKey(next)
	t.version, t.logSince, t.loaded, t.wholeUntaken = version, version, true, true
	return true
}

// loadDifference replaces the rows of a loaded copy. The difference is no log for other routers: it
// lacks the removals of rows that were put and removed between the two versions, which some of them
// may hold.
func (t *Table) loadDifference(version uint64, next map[string]Row) bool {
	var changes []Row
	for key, r := range next {
		old, ok := t.rows[key]
		if !ok || old.Version != r.Version || !bytes.Equal(old.Value, r.Value) {
			changes = append(changes, r)
		}
	}
	for key := range t.rows {
		if _, ok := next[key]; !ok {
			changes = append(changes, Row{Key: key, Version: version, Removed: true})
		}
	}
	t.version = version
	if len(changes) == 0 {
		return false
	}
	t.rows, t.sorted, t.log, t.logSince = next, sortedByKey(next), nil, version
	t.untaken = append(t.untaken, changes...)
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
	t.trimLog()
	return changed
}

func (t *Table) applyRow(r Row) {
	t.version = r.Version
	t.log = append(t.log, r)
	t.untaken = append(t.untaken, r)
	at, found := slices.BinarySearchFunc(t.sorted, r.Key, func(row Row, key string) int { return cmp.Compare(row.Key, key) })
	switch {
	case r.Removed:
		delete(t.rows, r.Key)
		if found {
			t.sorted = slices.Delete(t.sorted, at, at+1)
		}
		return
	case found:
		t.sorted[at] = r
	default:
		t.sorted = slices.Insert(t.sorted, at, r)
	}
	t.rows[r.Key] = r
}

// trimLog drops the oldest changes if there are too many, down to half of the limit: each time it
// copies the log.
func (t *Table) trimLog() {
	limit := max(minLogged, int(loggedShare*float64(len(t.rows))))
	if len(t.log) <= limit {
		return
	}
	cut := len(t.log) - limit/2
	t.logSince = t.log[cut-1].Version
	for cut < len(t.log) && t.log[cut].Version == t.logSince {
		cut++ // the rest of a transaction of which a part is dropped
	}
	t.log = slices.Clone(t.log[cut:])
}

// TakeChanges returns the rows that were put or removed since the last call, in order, or whole if
// the first content has been loaded since then.
func (t *Table) TakeChanges() (changes []Row, whole bool) {
	changes, whole = t.untaken, t.wholeUntaken
	t.untaken, t.wholeUntaken = nil, false
	if whole {
		return nil, true
	}
	return changes, false
}

// ChangesSince returns what a copy of version after lacks: the later changes sorted by version, or
// the whole table if the changes kept do not reach back to that version.
func (t *Table) ChangesSince(after uint64) (rows []Row, whole bool) {
	if after == 0 || after < t.logSince {
		return t.Rows(), true
	}
	first, _ := slices.BinarySearchFunc(t.log, after, func(r Row, v uint64) int {
		if r.Version <= v {
			return -1
		}
		return 1
	})
	return slices.Clone(t.log[first:]), false
}
