// Package reach tells the failures of targets from those of this router's own path to them. A router
// judges each target by its own connections, so to a router that has lost its links all targets look
// dead, although the other routers reach them.
package reach

import "time"

// Monitor holds what this router has last seen of the targets of each pool. It is not safe for
// concurrent use.
type Monitor struct {
	pools map[string]*poolPath
}

// poolPath is the path to the targets of a pool.
type poolPath struct {
	heardAt     time.Time // when bytes last arrived from any target; zero if never
	connectedAt time.Time // when any target last accepted a connection; zero if never
}

// NewMonitor returns a Monitor that has seen nothing.
func NewMonitor() *Monitor { return &Monitor{pools: make(map[string]*poolPath)} }

func (m *Monitor) pool(name string) *poolPath {
	p, ok := m.pools[name]
	if !ok {
		p = &poolPath{}
		m.pools[name] = p
	}
	return p
}

// RecordBytes records that bytes arrived from a target of a pool.
func (m *Monitor) RecordBytes(now time.Time, pool string) { m.pool(pool).heardAt = now }

// RecordConnection records that a target of a pool accepted a connection.
func (m *Monitor) RecordConnection(now time.Time, pool string) { m.pool(pool).connectedAt = now }

// LastSeen returns when bytes last arrived from any target of a pool, and when one last accepted a
// connection; zero if never.
func (m *Monitor) LastSeen(pool string) (heardAt, connectedAt time.Time) {
	p := m.pool(pool)
	return p.heardAt, p.connectedAt
}
