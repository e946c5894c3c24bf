package fleet_test

import (
	"math"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/core/replica"
)

// pendingCall is a store call that waits for a change.
type pendingCall struct {
	node       *node
	table      fleet.Table
	after      uint64
	generation int // the node's callGeneration when the call started
	// lost is set when the store's answer was lost. The connection delivers nothing after that.
	lost bool
}

// store simulates the platform's store, with one version counter for all rows.
type store struct {
	version uint64
	rows    [fleet.TableCount]map[string]replica.Row
	log     [fleet.TableCount][]replica.Row
	waiting []*pendingCall
	calls   int
	// rowsRead is the number of rows returned by calls for whole tables.
	rowsRead int

	// Calls from silent nodes get no answer; calls from refused nodes fail immediately.
	silent, refused map[fleet.Address]bool
	down            bool
}

// rejectCall counts a call and fails it if the store does not serve its node. It reports whether it
// did so.
func (n *net) rejectCall(x *node, t fleet.Table, wait time.Duration) bool {
	n.store.calls++
	x.pendingCalls[t]++
	generation := x.callGeneration[t]
	fail := func() { n.finishCall(x, generation, t, fleet.ReadFailed{Table: t}) }
	switch {
	case n.store.down || n.store.refused[x.address]:
		n.after(storeDelay, fail)
	case n.store.silent[x.address]:
		n.after(wait+callMargin, fail)
	default:
		return false
	}
	return true
}

func (n *net) readTable(x *node, a fleet.ReadTable) {
	if n.rejectCall(x, a.Table, time.Second) {
		return
	}
	generation := x.callGeneration[a.Table]
	n.after(storeDelay, func() {
		n.store.rowsRead += min(len(n.store.rows[a.Table]), rowLimit(a.MaxRows))
		if a.MaxRows > 0 && len(n.store.rows[a.Table]) > a.MaxRows {
			n.finishCall(x, generation, a.Table, fleet.ReadFailed{Table: a.Table, TooLarge: true})
			return
		}
		var rows []replica.Row
		for _, r := range n.store.rows[a.Table] {
			rows = append(rows, r)
		}
		n.finishCall(x, generation, a.Table, fleet.TableRead{Table: a.Table, Position: n.store.version, Rows: rows})
	})
}

// rowLimit returns limit, or the largest int if limit is 0.
func rowLimit(limit int) int {
	if limit == 0 {
		return math.MaxInt
	}
	return limit
}

func (n *net) readChanges(x *node, a fleet.ReadChanges) {
	if n.rejectCall(x, a.Table, a.Wait) {
		return
	}
	w := &pendingCall{node: x, table: a.Table, after: a.After, generation: x.callGeneration[a.Table]}
	n.store.waiting = append(n.store.waiting, w)
	n.after(storeDelay, func() { n.answer(w, false) })
	n.after(a.Wait, func() { n.answer(w, true) })
	n.after(a.Wait+callMargin, func() { n.expire(w) })
}

// answer ends a pending call if there are changes or if its wait has timed out. An answer to a
// silent node is lost.
func (n *net) answer(w *pendingCall, timedOut bool) {
	if w.node == nil || w.lost || n.store.down {
		return
	}
	var rows []replica.Row
	for _, r := range n.store.log[w.table] {
		if r.Version > w.after {
			rows = append(rows, r)
		}
	}
	if len(rows) == 0 && !timedOut {
		return
	}
	if n.store.silent[w.node.address] {
		w.lost = true
		return
	}
	x := w.node
	w.node = nil
	if n.store.refused[x.address] {
		n.finishCall(x, w.generation, w.table, fleet.ReadFailed{Table: w.table})
		return
	}
	n.finishCall(x, w.generation, w.table, fleet.ChangesRead{Table: w.table, Position: n.store.version, Rows: rows})
}

func (n *net) expire(w *pendingCall) {
	if w.node == nil {
		return
	}
	x := w.node
	w.node = nil
	n.finishCall(x, w.generation, w.table, fleet.ReadFailed{Table: w.table})
}

// write is a transaction of an operator or a target.
func (n *net) write(t fleet.Table, key, value string) uint64 {
	n.store.version++
	r := replica.Row{Key: key, Value: []byte(value), Version: n.store.version, Removed: value == ""}
	if r.Removed {
		delete(n.store.rows[t], key)
	} else {
		n.store.rows[t][key] = r
	}
	n.store.log[t] = append(n.store.log[t], r)
	for _, w := range n.store.waiting {
		n.after(storeDelay, func() { n.answer(w, false) })
	}
	return n.store.version
}
