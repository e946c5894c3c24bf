package replica_test

import (
	"fmt"
	"maps"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/replica"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

// history simulates a table of the store: all changes, and the content at each version.
type history struct {
	log     []replica.Row
	content []map[string]replica.Row // indexed by version
}

func newHistory() *history { return &history{content: []map[string]replica.Row{{}}} }

func (h *history) version() uint64 { return uint64(len(h.content) - 1) }

// transact applies changes in one transaction.
func (h *history) transact(rows ...replica.Row) {
	next := make(map[string]replica.Row)
	for k, r := range h.content[h.version()] {
		next[k] = r
	}
	for _, r := range rows {
		r.Version = h.version() + 1
		h.log = append(h.log, r)
		if r.Removed {
			delete(next, r.Key)
		} else {
			next[r.Key] = r
		}
	}
	h.content = append(h.content, next)
}

func (h *history) since(after uint64) (out []replica.Row) {
	for _, r := range h.log {
		if r.Version > after {
			out = append(out, r)
		}
	}
	return out
}

func (h *history) whole() (out []replica.Row) {
	for _, r := range h.content[h.version()] {
		out = append(out, r)
	}
	return out
}

// follow applies to rows the changes of a copy that were not taken yet.
func follow(rows map[string]replica.Row, c *replica.Table) {
	changes, whole := c.TakeChanges()
	if whole {
		clear(rows)
		changes = c.Rows()
	}
	for _, r := range changes {
		rows[r.Key] = r
		if r.Removed {
			delete(rows, r.Key)
		}
	}
}

func row(key, value string) replica.Row { return replica.Row{Key: key, Value: []byte(value)} }

var _ = Describe("a table copy", func() {
	// Guards against routers that hold different rows at the same version, or return to an older
	// state. Reads, changes and copies from other routers arrive in any order, late and more than
	// once. A merge that ignored versions would cause it.
	It("is the table as of its version, whichever way the content arrived", func() {
		testkit.Check("300", func(t *rapid.T) {
			h := newHistory()
			copies := []*replica.Table{replica.New(), replica.New(), replica.New()}
			versions := make([]uint64, len(copies))
			followed := []map[string]replica.Row{{}, {}, {}}
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				i := rapid.IntRange(0, len(copies)-1).Draw(t, "copy")
				c := copies[i]
				versionBefore := c.Version()
				switch rapid.IntRange(0, 3).Draw(t, "operation") {
				case 0:
					key := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key"))
					h.transact(replica.Row{Key: key, Removed: rapid.Bool().Draw(t, "removed")}, row("both", key))
				case 1:
					c.Load(h.version(), h.whole())
				case 2:
					if c.Loaded() {
						c.Apply(h.since(c.Version()), 0)
					}
				case 3:
					from := copies[rapid.IntRange(0, len(copies)-1).Draw(t, "from")]
					if !from.Loaded() {
						continue
					}
					if rows, whole := from.ChangesSince(c.Version()); whole {
						c.Load(from.Version(), rows)
					} else {
						c.Apply(rows, from.Version())
					}
				}
				if c.Version() < versionBefore {
					t.Fatalf("version decreased from %d to %d", versionBefore, c.Version())
				}
				versions[i] = c.Version()
				if !c.Loaded() {
					continue
				}
				want := h.content[c.Version()]
				follow(followed[i], c)
				if !maps.EqualFunc(followed[i], want, func(a, b replica.Row) bool { return a.Version == b.Version }) {
					t.Fatalf("at version %d: its changes lead to %v, want %v", c.Version(), followed[i], want)
				}
				if len(c.Rows()) != len(want) {
					t.Fatalf("at version %d: rows are %v, want %v", c.Version(), c.Rows(), want)
				}
				for _, r := range c.Rows() {
					if want[r.Key].Version != r.Version {
						t.Fatalf("at version %d: row %q has version %d, want %d", c.Version(), r.Key, r.Version, want[r.Key].Version)
					}
				}
			}
		})
	})

	// Guards against routers that answer "not ready" permanently although the desired state is
	// stored. The table is read before the first transaction of the store; if the empty table
	// counted as version 1, the first row would be ignored as already known.
	It("applies the first transaction after a read of an empty store", func() {
		t := replica.New()
		t.Load(0, nil)
		Expect(t.Loaded()).To(BeTrue())
		r := row("config", "first")
		r.Version = 1
		Expect(t.Apply([]replica.Row{r}, 0)).To(BeTrue())
		Expect(t.Rows()).To(HaveLen(1))
	})

	// Guards against two routers that copy the same table from each other without end. One of them
	// reads the table again after its history was dropped, with equal content and a newer version;
	// the other must adopt that version when it copies.
	It("adopts the newer version of a table with equal content", func() {
		a, b := replica.New(), replica.New()
		r := row("k", "v")
		r.Version = 4
		a.Load(4, []replica.Row{r})
		b.Load(4, []replica.Row{r})
		Expect(a.Load(9, []replica.Row{r})).To(BeFalse())
		Expect(a.Version()).To(BeEquivalentTo(9))
		rows, whole := a.ChangesSince(b.Version())
		Expect(whole).To(BeFalse())
		Expect(b.Apply(rows, a.Version())).To(BeFalse())
		Expect(b.Version()).To(BeEquivalentTo(9))
	})

	It("returns the whole table for a version older than the removals it keeps", func() {
		t := replica.New()
		t.Load(1, nil)
		for v := uint64(2); v < 2000; v++ {
			t.Apply([]replica.Row{{Key: fmt.Sprint(v), Version: v, Removed: true}}, 0)
		}
		_, whole := t.ChangesSince(2)
		Expect(whole).To(BeTrue())
		rows, whole := t.ChangesSince(1998)
		Expect(whole).To(BeFalse())
		Expect(rows).To(HaveLen(1))
	})
})

var _ = Describe("a table copy read in pages during a change", func() {
	// Guards against a leaving target that receives requests from some routers until its entry
	// changes again. A list of several pages is read while it changes: a row of a later page is
	// newer than the first page, and a row of the first page changes in between. A router that
	// received the newer row would consider its copy as new as that row.
	It("passes on no rows newer than its complete version", func() {
		source, other := replica.New(), replica.New()
		other.Load(10, []replica.Row{{Key: "a", Value: []byte("ready"), Version: 5}, {Key: "k", Value: []byte("old"), Version: 6}})
		source.Load(10, []replica.Row{{Key: "a", Value: []byte("ready"), Version: 5}, {Key: "k", Value: []byte("new"), Version: 12}})
		copyToOther := func() {
			rows, whole := source.ChangesSince(other.Version())
			if whole {
				other.Load(source.Version(), rows)
			} else {
				other.Apply(rows, source.Version())
			}
		}
		copyToOther()
		Expect(other.Version()).To(Equal(uint64(10)))
		source.Apply([]replica.Row{{Key: "a", Value: []byte("leaving"), Version: 11}, {Key: "k", Value: []byte("new"), Version: 12}}, 0)
		copyToOther()
		Expect(other.Rows()).To(Equal(source.Rows()))
	})
})
