package replica_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/replica"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

// history is a table at the store: every transaction, and the content after each.
type history struct {
	log     []replica.Row
	content []map[string]replica.Row // by version
}

func newHistory() *history { return &history{content: []map[string]replica.Row{{}}} }

func (h *history) version() uint64 { return uint64(len(h.content) - 1) }

// transact changes some rows in one transaction.
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

func row(key, value string) replica.Row { return replica.Row{Key: key, Value: []byte(value)} }

var _ = Describe("a copy of a table", func() {
	// Symptom: routers at the same version that hold different rows, or one that goes
	// back to an older state. Sequence: any mixture of reads, changes and copies from
	// other routers, late and doubled. Cause would be a merge by anything but versions.
	It("is the table as of its version, whichever way the content came", func() {
		testkit.Check("300", func(t *rapid.T) {
			h := newHistory()
			copies := []*replica.Table{replica.New(), replica.New(), replica.New()}
			asOf := make([]uint64, len(copies))
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				i := rapid.IntRange(0, len(copies)-1).Draw(t, "copy")
				c := copies[i]
				before := c.Version()
				switch rapid.IntRange(0, 3).Draw(t, "what") {
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
				if c.Version() < before {
					t.Fatalf("version fell from %d to %d", before, c.Version())
				}
				asOf[i] = c.Version()
				if !c.Loaded() {
					continue
				}
				want := h.content[c.Version()]
				if len(c.Rows()) != len(want) {
					t.Fatalf("at version %d: %v, want %v", c.Version(), c.Rows(), want)
				}
				for _, r := range c.Rows() {
					if want[r.Key].Version != r.Version {
						t.Fatalf("at version %d: row %q of version %d, want %d", c.Version(), r.Key, r.Version, want[r.Key].Version)
					}
				}
			}
		})
	})

	// Symptom: all routers answer "not ready" for good, though the desired state is
	// written. Sequence: the table is read while the store has no transaction yet, then
	// the first one writes the row. Cause: the empty table counted as version 1, and the
	// first row as known.
	It("takes in the first transaction after an empty read", func() {
		t := replica.New()
		t.Load(0, nil)
		Expect(t.Loaded()).To(BeTrue())
		r := row("config", "first")
		r.Version = 1
		Expect(t.Apply([]replica.Row{r}, 0)).To(BeTrue())
		Expect(t.Rows()).To(HaveLen(1))
	})

	// Symptom: two routers copy the same table from each other without end. Sequence:
	// one reads the whole table again after its history was dropped, with equal content
	// and a newer version. Cause: the other kept its older version after the copy.
	It("rises to the version of an equal table", func() {
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

	It("hands out the whole table to a copy that lags beyond the removals it keeps", func() {
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

var _ = Describe("a table that was read in pages while it changed", func() {
	// Symptom: a target that said it leaves gets requests from some routers until its entry changes again. Sequence: a list
	// of more than one page is read while it changes: a row of a later page is newer than the first page, and a
	// row of the first page changes in between. A router copies the newer row and takes itself to be as new as that. Cause:
	// a copy was given rows that are newer than the version up to which the table is whole.
	It("gives others nothing newer than what it has whole", func() {
		ahead, other := replica.New(), replica.New()
		other.Load(10, []replica.Row{{Key: "a", Value: []byte("ready"), Version: 5}, {Key: "k", Value: []byte("old"), Version: 6}})
		ahead.Load(10, []replica.Row{{Key: "a", Value: []byte("ready"), Version: 5}, {Key: "k", Value: []byte("new"), Version: 12}})
		copyTo := func() {
			rows, whole := ahead.ChangesSince(other.Version())
			if whole {
				other.Load(ahead.Version(), rows)
			} else {
				other.Apply(rows, ahead.Version())
			}
		}
		copyTo()
		Expect(other.Version()).To(Equal(uint64(10)))
		ahead.Apply([]replica.Row{{Key: "a", Value: []byte("leaving"), Version: 11}, {Key: "k", Value: []byte("new"), Version: 12}}, 0)
		copyTo()
		Expect(other.Rows()).To(Equal(ahead.Rows()))
	})
})
