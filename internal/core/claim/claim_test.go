package claim_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hemlockdyke/hemlockdyke/internal/core/claim"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

// rowTable is a table with one row and the faults of the real one: refusals, and
// inserts that take effect at once, later or never while their reply is lost.
type rowTable struct {
	row  *claim.Record
	late []claim.Record
}

func (t *rowTable) insert(r claim.Record) claim.InsertResult {
	if t.row != nil {
		return claim.Conflict
	}
	t.row = &r
	return claim.Committed
}

// insertWith applies an insert under a fault.
func (t *rowTable) insertWith(r claim.Record, fault string) claim.InsertResult {
	switch fault {
	case "down":
		return claim.Unavailable
	case "reply lost":
		t.insert(r)
		return claim.NoReply
	case "write lost":
		return claim.NoReply
	case "write late":
		t.late = append(t.late, r)
		return claim.NoReply
	}
	return t.insert(r)
}

func (t *rowTable) arrive() {
	for _, r := range t.late {
		t.insert(r)
	}
	t.late = nil
}

// contender is one router's try at the claim.
type contender struct {
	m      *claim.Machine
	action claim.Action
	done   bool
}

func record(i int, fingerprint string) claim.Record {
	return claim.Record{ID: fmt.Sprint(i), Router: uint32(i), Incarnation: 1, Fingerprint: fingerprint, State: claim.Started}
}

func newContender(i int) *contender {
	m, a := claim.New(record(i, "same"))
	return &contender{m: m, action: a}
}

func (c *contender) step(t *rowTable, fault string) {
	switch c.action.Kind {
	case claim.InsertRow:
		c.action = c.m.HandleInsert(t.insertWith(c.action.Record, fault))
	case claim.ReadRow:
		switch {
		case fault == "down" || fault == "reply lost":
			c.action = c.m.HandleReadFailure()
		case t.row == nil:
			c.action = c.m.HandleRowDeleted()
		default:
			c.action = c.m.HandleRow(*t.row, true)
		}
	}
	c.done = c.action.Kind != claim.InsertRow && c.action.Kind != claim.ReadRow
}

var _ = Describe("claims", func() {
	// Symptom: a recall notice is sent twice. Sequence: a caller asks again through
	// other routers while the table refuses, loses replies or applies writes late.
	// Cause: two routers both take the claim for theirs.
	It("let one of many contenders run, whatever the table does", func() {
		testkit.Check("3000", func(t *rapid.T) {
			tab := &rowTable{}
			var all []*contender
			for i := range 4 {
				all = append(all, newContender(i+1))
			}
			for range 40 {
				if rapid.IntRange(0, 3).Draw(t, "late writes arrive") == 0 {
					tab.arrive()
				}
				c := all[rapid.IntRange(0, 3).Draw(t, "contender")]
				if !c.done {
					c.step(tab, rapid.SampledFrom([]string{"", "", "down", "reply lost", "write lost", "write late"}).Draw(t, "fault"))
				}
			}
			running := 0
			for _, c := range all {
				if c.action.Kind == claim.Dispatch {
					running++
				}
				if c.action.Kind == claim.RefuseRequest && c.action.Code == code.ClaimStoreDown {
					tab.arrive()
					if tab.row != nil && tab.row.ID == c.m.Record().ID && !c.action.NeedsCleanup {
						t.Fatal("a refused claim left its row behind")
					}
				}
			}
			if running > 1 {
				t.Fatalf("%d contenders run", running)
			}
		})
	})

	found := func(row claim.Record, alive bool) claim.Action {
		m, _ := claim.New(record(1, "same"))
		Expect(m.HandleInsert(claim.Conflict).Kind).To(Equal(claim.ReadRow))
		return m.HandleRow(row, alive)
	}

	It("replay a recorded answer", func() {
		row := record(2, "same")
		row.State, row.Status = claim.Done, 200
		a := found(row, true)
		Expect(a.Kind).To(Equal(claim.ReplayAnswer))
		Expect(a.Record.Status).To(Equal(200))
	})

	// Symptom: a notice runs twice. Sequence: its router is paused past every
	// timeout, a second one takes the claim over, the first wakes and dispatches.
	It("are never taken over", func() {
		Expect(found(record(2, "same"), false).Code).To(Equal(code.OutcomeUnknown))
		Expect(found(record(2, "same"), true).Code).To(Equal(code.InProgress))
	})

	It("refuse a key that was used for another request", func() {
		Expect(found(record(2, "other"), true).Code).To(Equal(code.KeyReused))
	})

	It("recognise their own row after a lost reply", func() {
		m, _ := claim.New(record(1, "same"))
		Expect(m.HandleInsert(claim.NoReply).Kind).To(Equal(claim.InsertRow))
		Expect(m.HandleInsert(claim.Conflict).Kind).To(Equal(claim.ReadRow))
		Expect(m.HandleRow(record(1, "same"), true).Kind).To(Equal(claim.Dispatch))
	})
})
