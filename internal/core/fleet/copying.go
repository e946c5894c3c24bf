package fleet

import (
	"cmp"
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/replica"
)

// copyState is the state of copying one table from other routers.
type copyState struct {
	deadline  time.Time // deadline of the pending request; zero if there is none
	notBefore time.Time // earliest time of the next request
	failures  int       // consecutive failures
	// behindSince is since when other routers have reported a newer version; zero if none does.
	behindSince time.Time
}

const (
	// targetsCopiesPerSecond is how many copies of the target list the routers of a fleet request
	// together. In a large pool some entry always changes, and a copy per router for each change
	// would grow with the fleet and its targets alike.
	targetsCopiesPerSecond = 1000
	// targetsCopyShare is the largest share of MaxDepartureDelay between two copies.
	targetsCopyShare = 0.2
)

// targetsCopyInterval returns the shortest time between two copies of the target list by a router
// that is no relay.
func (c *Core) targetsCopyInterval() time.Duration {
	interval := time.Second * time.Duration(len(c.peers)+1) / targetsCopiesPerSecond
	return min(interval, time.Duration(targetsCopyShare*float64(c.settings.MaxDepartureDelay)))
}

// timeout returns the timeout of the next copy request.
func (c *copyState) timeout() time.Duration {
	return min(minCopyTimeout<<min(c.failures, 8), maxCopyTimeout)
}

// copyNewerTables requests a copy of each table for which another router has a newer version.
func (c *Core) copyNewerTables(now time.Time) {
	for i := range c.tables {
		t := Table(i)
		copying := &c.copying[t]
		if now.Before(copying.deadline) || now.Before(copying.notBefore) {
			continue
		}
		if from, ok := c.newestHolder(now, t); ok {
			c.requestCopy(now, t, from)
		}
	}
}

func (c *Core) requestCopy(now time.Time, t Table, from Address) {
	timeout := c.copying[t].timeout()
	c.copying[t].deadline = now.Add(timeout)
	c.emit(RequestCopy{Peer: from, Table: t, After: c.tables[t].Version(), Timeout: timeout})
}

// maxHoldersInResponse is how many other holders of a copy a busy router names.
const maxHoldersInResponse = 3

// TableHolders returns some of the routers, other than the requester, whose copy is at least as new
// as this router's. Most routers receive digests only from relays, and so know only of the relays'
// copies: if only relays served a large desired state, a data centre would wait for their links.
func (c *Core) TableHolders(now time.Time, t Table, requester Address) []Address {
	var out []Address
	for _, p := range c.sortedPeers() {
		if p.address != requester && !p.leaving && p.isHeard(now) && p.reportedVersions[t] >= c.tables[t].Version() {
			out = append(out, p.address)
		}
	}
	c.rand.Shuffle(len(out), func(i, k int) { out[i], out[k] = out[k], out[i] })
	return out[:min(len(out), maxHoldersInResponse)]
}

// EncodeAddresses encodes router addresses for a copy response. Invalid addresses are omitted.
func EncodeAddresses(holders []Address) [][]byte {
	var out [][]byte
	for _, a := range holders {
		if b := a.encode(); b != nil {
			out = append(out, b)
		}
	}
	return out
}

// DecodeAddresses decodes router addresses of a copy response. Invalid addresses are omitted.
func DecodeAddresses(holders [][]byte) []Address {
	var out []Address
	for _, b := range holders {
		if a, ok := decodeAddress(b); ok {
			out = append(out, a)
		}
	}
	return out
}

// newestHolder returns a router with the newest copy of a table, if that copy is newer than this
// router's. It picks one of several at random to spread the load.
func (c *Core) newestHolder(now time.Time, t Table) (Address, bool) {
	best := c.tables[t].Version()
	var holders []Address
	for _, p := range c.sortedPeers() {
		if !p.isHeard(now) {
			continue
		}
		switch cmp.Compare(p.availableVersions[t], best) {
		case 1:
			best, holders = p.availableVersions[t], []Address{p.address}
		case 0:
			holders = append(holders, p.address)
		}
	}
	if best == c.tables[t].Version() || len(holders) == 0 {
		return "", false
	}
	return holders[c.rand.IntN(len(holders))], true
}

func (c *Core) copyCompleted(now time.Time, ev CopyCompleted) {
	c.copying[ev.Table].deadline = time.Time{}
	if ev.Response == nil {
		if p, ok := c.peers[ev.From]; ok {
			p.availableVersions[ev.Table] = 0 // don't ask this router again before its next digest
		}
		switch {
		case !ev.Busy:
			c.copying[ev.Table].failures++
		case len(ev.Holders) > 0:
			c.requestCopy(now, ev.Table, ev.Holders[c.rand.IntN(len(ev.Holders))])
		default:
			c.copyNewerTables(now)
		}
		return
	}
	c.copying[ev.Table].failures = 0
	if ev.Table == TargetsTable && !c.relay {
		c.copying[ev.Table].notBefore = now.Add(c.targetsCopyInterval())
	}
	rows := make([]replica.Row, len(ev.Response.GetRows()))
	for i, r := range ev.Response.GetRows() {
		rows[i] = replica.Row{Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion(), Removed: r.GetRemoved()}
	}
	table := c.tables[ev.Table]
	changed := false
	if ev.Response.GetWhole() {
		changed = table.Load(ev.Response.GetVersion(), rows)
	} else {
		changed = table.Apply(rows, ev.Response.GetVersion())
	}
	if changed {
		c.readStates[ev.Table].needsFullRead = false
		c.tableChanged(now, ev.Table, string(ev.From))
	}
}

// ServeCopy returns the response to another router's copy request.
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
