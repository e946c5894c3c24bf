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

// rowTable is a fake table with one row and the faults of the real table: it may be unavailable,
// and an insert whose reply is lost may take effect at once, later or never.
type rowTable struct {
	row     *claim.Record
	delayed []claim.Record
}

func (t *rowTable) insert(r claim.Record) claim.InsertResult {
	if t.row != nil {
		return claim.Conflict
	}
	t.row = &r
	return claim.Committed
}

// insertWithFault applies an insert under a fault.
func (t *rowTable) insertWithFault(r claim.Record, fault string) claim.InsertResult {
	switch fault {
	case "down":
		return claim.Unavailable
	case "reply lost":
		t.insert(r)
		return claim.NoReply
	case "write lost":
		return claim.NoReply
	case "write late":
		t.delayed = append(t.delayed, r)
		return claim.NoReply
	}
	return t.insert(r)
}

func (t *rowTable) applyDelayedInserts() {
	for _, r := range t.delayed {
		t.insert(r)
	}
	t.delayed = nil
}

// contender is one router's attempt to claim the key.
type contender struct {
	machine *claim.Machine
	action  claim.Action
	done    bool
}

func record(i int, fingerprint string) claim.Record {
	return claim.Record{ID: fmt.Sprint(i), Router: uint32(i), Incarnation: 1, Fingerprint: fingerprint, State: claim.Started}
}

func newContender(i int) *contender {
	machine, a := claim.New(record(i, "same"))
	return &contender{machine: machine, action: a}
}

func (c *contender) step(t *rowTable, fault string) {
	switch c.action.Kind {
	case claim.InsertRow:
		c.action = c.machine.HandleInsert(t.insertWithFault(c.action.Record, fault))
	case claim.ReadRow:
		switch {
		case fault == "down" || fault == "reply lost":
			c.action = c.machine.HandleReadFailure()
		case t.row == nil:
			c.action = c.machine.HandleRowDeleted()
		default:
			c.action = c.machine.HandleRow(*t.row, true)
		}
	}
	c.done = c.action.Kind != claim.InsertRow && c.action.Kind != claim.ReadRow
}

var _ = Describe("claims", func() {
	// Guards against executing a request twice: a caller retries through other routers while the
	// table refuses calls, loses replies or applies writes late, and two routers both believe
	// that they hold the claim.
	It("let at most one contender dispatch, whatever faults the table has", func() {
		testkit.Check("3000", func(t *rapid.T) {
			table := &rowTable{}
			var all []*contender
			for i := range 4 {
				all = append(all, newContender(i+1))
			}
			for range 40 {
				if rapid.IntRange(0, 3).Draw(t, "late writes arrive") == 0 {
					table.applyDelayedInserts()
				}
				c := all[rapid.IntRange(0, 3).Draw(t, "contender")]
				if !c.done {
					c.step(table, rapid.SampledFrom([]string{"", "", "down", "reply lost", "write lost", "write late"}).Draw(t, "fault"))
				}
			}
			dispatching := 0
			for _, c := range all {
				if c.action.Kind == claim.Dispatch {
					dispatching++
				}
				if c.action.Kind == claim.RefuseRequest && c.action.Code == code.ClaimStoreDown {
					table.applyDelayedInserts()
					if table.row != nil && table.row.ID == c.machine.Record().ID && !c.action.NeedsCleanup {
						t.Fatal("a refused claim left its row in the table without asking for cleanup")
					}
				}
			}
			if dispatching > 1 {
				t.Fatalf("%d contenders dispatch the request", dispatching)
			}
		})
	})

	handleRow := func(row claim.Record, alive bool) claim.Action {
		machine, _ := claim.New(record(1, "same"))
		Expect(machine.HandleInsert(claim.Conflict).Kind).To(Equal(claim.ReadRow))
		return machine.HandleRow(row, alive)
	}

	It("replay a recorded answer", func() {
		row := record(2, "same")
		row.State, row.Status = claim.Done, 200
		a := handleRow(row, true)
		Expect(a.Kind).To(Equal(claim.ReplayAnswer))
		Expect(a.Record.Status).To(Equal(200))
	})

	// Guards against executing a request twice: its router stalls beyond every timeout, a second
	// router takes over the claim, and the first one continues and dispatches.
	It("are never taken over", func() {
		Expect(handleRow(record(2, "same"), false).Code).To(Equal(code.OutcomeUnknown))
		Expect(handleRow(record(2, "same"), true).Code).To(Equal(code.InProgress))
	})

	It("refuse a key that was used for another request", func() {
		Expect(handleRow(record(2, "other"), true).Code).To(Equal(code.KeyReused))
	})

	It("recognise their own row after a lost reply", func() {
		machine, _ := claim.New(record(1, "same"))
		Expect(machine.HandleInsert(claim.NoReply).Kind).To(Equal(claim.InsertRow))
		Expect(machine.HandleInsert(claim.Conflict).Kind).To(Equal(claim.ReadRow))
		Expect(machine.HandleRow(record(1, "same"), true).Kind).To(Equal(claim.Dispatch))
	})
})
