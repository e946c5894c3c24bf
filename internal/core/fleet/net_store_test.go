package fleet_test

import (
	"math"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/core/replica"
)

// waiting is a call that waits for a change.
type waiting struct {
	node  *node
	table fleet.Table
	after uint64
	calls int // the node's generation of calls
	// lost: the store's answer got lost on the way; the channel delivers nothing more.
	lost bool
}

// store is a platform store whose rows have one counter of versions.
type store struct {
	version uint64
	rows    [fleet.TableCount]map[string]replica.Row
	log     [fleet.TableCount][]replica.Row
	waiting []*waiting
	calls   int
	// rowsRead are those that calls for whole tables returned.
	rowsRead int

	// silent calls hang, refused ones fail at once, for the nodes named.
	silent, refused map[fleet.Address]bool
	down            bool
}

// refuses answers a call if the store does not serve its node.
func (n *net) refuses(x *node, t fleet.Table, wait time.Duration) bool {
	n.store.calls++
	x.pending[t]++
	calls := x.calls[t]
	fail := func() { n.end(x, calls, t, fleet.ReadFailed{Table: t}) }
	switch {
	case n.store.down || n.store.refused[x.address]:
		n.after(storeTime, fail)
	case n.store.silent[x.address]:
		n.after(wait+callMargin, fail)
	default:
		return false
	}
	return true
}

func (n *net) whole(x *node, a fleet.ReadTable) {
	if n.refuses(x, a.Table, time.Second) {
		return
	}
	calls := x.calls[a.Table]
	n.after(storeTime, func() {
		n.store.rowsRead += min(len(n.store.rows[a.Table]), orAll(a.MaxRows))
		if a.MaxRows > 0 && len(n.store.rows[a.Table]) > a.MaxRows {
			n.end(x, calls, a.Table, fleet.ReadFailed{Table: a.Table, TooLarge: true})
			return
		}
		var rows []replica.Row
		for _, r := range n.store.rows[a.Table] {
			rows = append(rows, r)
		}
		n.end(x, calls, a.Table, fleet.TableRead{Table: a.Table, Position: n.store.version, Rows: rows})
	})
}

// orAll returns a limit, or one that nothing reaches.
func orAll(most int) int {
	if most == 0 {
		return math.MaxInt
	}
	return most
}

func (n *net) follow(x *node, a fleet.ReadChanges) {
	if n.refuses(x, a.Table, a.Wait) {
		return
	}
	w := &waiting{node: x, table: a.Table, after: a.After, calls: x.calls[a.Table]}
	n.store.waiting = append(n.store.waiting, w)
	n.after(storeTime, func() { n.answer(w, false) })
	n.after(a.Wait, func() { n.answer(w, true) })
	n.after(a.Wait+callMargin, func() { n.expire(w) })
}

// answer ends a waiting call if there are changes, or if its time is over. What is
// sent to a node that is cut off is lost.
func (n *net) answer(w *waiting, over bool) {
	if w.node == nil || w.lost || n.store.down {
		return
	}
	var rows []replica.Row
	for _, r := range n.store.log[w.table] {
		if r.Version > w.after {
			rows = append(rows, r)
		}
	}
	if len(rows) == 0 && !over {
		return
	}
	if n.store.silent[w.node.address] {
		w.lost = true
		return
	}
	x := w.node
	w.node = nil
	if n.store.refused[x.address] {
		n.end(x, w.calls, w.table, fleet.ReadFailed{Table: w.table})
		return
	}
	n.end(x, w.calls, w.table, fleet.ChangesRead{Table: w.table, Position: n.store.version, Rows: rows})
}

func (n *net) expire(w *waiting) {
	if w.node == nil {
		return
	}
	x := w.node
	w.node = nil
	n.end(x, w.calls, w.table, fleet.ReadFailed{Table: w.table})
}

// write is a transaction of the operator or a target.
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
		n.after(storeTime, func() { n.answer(w, false) })
	}
	return n.store.version
}
