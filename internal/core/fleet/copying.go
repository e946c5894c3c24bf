package fleet

import (
	"cmp"
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/replica"
)

// copying is the state of copying one table.
type copying struct {
	until    time.Time // when the request under way is given up; zero if there is none
	failures int       // in a row
	// behindSince is since when others tell of a newer version; zero if none does.
	behindSince time.Time
}

// timeout returns how long the next request may take.
func (c *copying) timeout() time.Duration {
	return min(copyTimeout<<min(c.failures, 8), copyTimeoutMost)
}

// copyIfBehind asks a router whose copy is newer for what this one lacks.
func (c *Core) copyIfBehind(now time.Time) {
	for i := range c.tables {
		t := Table(i)
		copying := &c.copying[t]
		if now.Before(copying.until) {
			continue
		}
		if from, ok := c.newest(now, t); ok {
			c.copyFrom(now, t, from)
		}
	}
}

func (c *Core) copyFrom(now time.Time, t Table, from Address) {
	timeout := c.copying[t].timeout()
	c.copying[t].until = now.Add(timeout)
	c.emit(RequestCopy{Peer: from, Table: t, After: c.tables[t].Version(), Timeout: timeout})
}

// holdersNamed is how many others that have a copy a busy router names.
const holdersNamed = 3

// TableHolders returns some of the routers that have as new a copy as this one. A router hears of its relays' copies only; if
// these alone passed a large desired state on, a data centre would wait for their links.
func (c *Core) TableHolders(now time.Time, t Table, asker Address) []Address {
	var out []Address
	for _, p := range c.all() {
		if p.address != asker && !p.leaving && p.direct(now) && p.told[t] >= c.tables[t].Version() {
			out = append(out, p.address)
		}
	}
	c.rand.Shuffle(len(out), func(i, k int) { out[i], out[k] = out[k], out[i] })
	return out[:min(len(out), holdersNamed)]
}

// EncodeAddresses and DecodeHolders carry the addresses of holders in a reply.
func EncodeAddresses(holders []Address) [][]byte {
	var out [][]byte
	for _, a := range holders {
		if b := a.encode(); b != nil {
			out = append(out, b)
		}
	}
	return out
}

// DecodeAddresses leaves out what is no address.
func DecodeAddresses(holders [][]byte) []Address {
	var out []Address
	for _, b := range holders {
		if a, ok := decodeAddress(b); ok {
			out = append(out, a)
		}
	}
	return out
}

// newest returns a router with the newest copy of a table, if it is newer than this
// router's. Of several one is drawn, so that they share the work.
func (c *Core) newest(now time.Time, t Table) (Address, bool) {
	best := c.tables[t].Version()
	var at []Address
	for _, p := range c.all() {
		if !p.direct(now) {
			continue
		}
		switch cmp.Compare(p.versions[t], best) {
		case 1:
			best, at = p.versions[t], []Address{p.address}
		case 0:
			at = append(at, p.address)
		}
	}
	if best == c.tables[t].Version() || len(at) == 0 {
		return "", false
	}
	return at[c.rand.IntN(len(at))], true
}

func (c *Core) copied(now time.Time, ev CopyCompleted) {
	c.copying[ev.Table].until = time.Time{}
	if ev.Reply == nil {
		if p, ok := c.peers[ev.From]; ok {
			p.versions[ev.Table] = 0 // ask another one until its next digest
		}
		switch {
		case !ev.Busy:
			c.copying[ev.Table].failures++
		case len(ev.Holders) > 0:
			c.copyFrom(now, ev.Table, ev.Holders[c.rand.IntN(len(ev.Holders))])
		default:
			c.copyIfBehind(now)
		}
		return
	}
	c.copying[ev.Table].failures = 0
	rows := make([]replica.Row, len(ev.Reply.GetRows()))
	for i, r := range ev.Reply.GetRows() {
		rows[i] = replica.Row{Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion(), Removed: r.GetRemoved()}
	}
	table := c.tables[ev.Table]
	changed := false
	if ev.Reply.GetWhole() {
		changed = table.Load(ev.Reply.GetVersion(), rows)
	} else {
		changed = table.Apply(rows, ev.Reply.GetVersion())
	}
	if changed {
		c.readers[ev.Table].needAll = false
		c.changed(ev.Table, string(ev.From))
	}
}

// ServeCopy answers another router's copy request.
func (c *Core) ServeCopy(req *peerv1.CopyRequest) *peerv1.CopyResponse {
	t := Table(req.GetTable())
	if req.GetProtocol() != Protocol || t < 0 || t >= TableCount || !c.tables[t].Loaded() {
		return &peerv1.CopyResponse{}
	}
	rows, whole := c.tables[t].ChangesSince(req.GetAfter())
	resp := &peerv1.CopyResponse{Version: c.tables[t].Version(), Whole: whole}
	for _, r := range rows {
		resp.Rows = append(resp.Rows, &peerv1.Row{Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed})
	}
	return resp
}
