// Package reach tells the failures of targets from those of this router's own path to them, and
// chooses the routers that send this router's requests while its path is cut. A router judges each
// target by its own connections, so to a router that has lost its links all targets look dead,
// although the other routers reach them.
package reach

import "time"

// Failure is how an attempt failed, as far as the path to its target may be at fault.
type Failure int

const (
	// NoConnection: the target did not accept a connection.
	NoConnection Failure = iota
	// NoAnswer: the connection broke, or nothing arrived on it for too long.
	NoAnswer
)

const (
	// checkInterval is the least time between two checks of a path, and how often a cut path is
	// checked again.
	checkInterval = 250 * time.Millisecond
	// Witnesses is how many targets a check tries to connect to. One that accepts shows that the path
	// is not cut.
	Witnesses = 3
)

// Monitor judges this router's path to the targets of each pool. A path is cut if an attempt failed,
// nothing was seen of any target of the pool since, and none of several other targets accepts a
// connection. It is not safe for concurrent use.
type Monitor struct {
	pools map[string]*poolPath
}

// poolPath is the path to the targets of a pool.
type poolPath struct {
	heardAt     time.Time // when bytes last arrived from any target; zero if never
	connectedAt time.Time // when any target last accepted a connection; zero if never
	checking    bool
	checkedAt   time.Time // when the last check began
	cut         bool
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

// RecordFailure records a failed attempt that began at startedAt. It reports whether the path must be
// checked, and counts that check as begun. Connections may go on while new ones are refused, so
// arriving bytes show nothing about a failed connection.
func (m *Monitor) RecordFailure(now time.Time, pool string, f Failure, startedAt time.Time) (mustCheck bool) {
	p := m.pool(pool)
	seenAt := p.connectedAt
	if f == NoAnswer && p.heardAt.After(seenAt) {
		seenAt = p.heardAt
	}
	return !p.cut && !seenAt.After(startedAt) && p.beginCheck(now)
}

func (p *poolPath) beginCheck(now time.Time) bool {
	if p.checking || now.Sub(p.checkedAt) < checkInterval {
		return false
	}
	p.checking, p.checkedAt = true, now
	return true
}

// BeginCheck reports whether a path is to be checked for a reason of the caller's, and counts that
// check as begun.
func (m *Monitor) BeginCheck(now time.Time, pool string) bool { return m.pool(pool).beginCheck(now) }

// EndCheck records how many of the targets that a check tried to connect to accepted. It reports
// whether the path is cut or restored with it. A check without targets shows nothing.
func (m *Monitor) EndCheck(now time.Time, pool string, tried, accepted int) (changed bool) {
	p := m.pool(pool)
	p.checking = false
	if accepted > 0 {
		p.connectedAt = now
	}
	if tried == 0 || p.cut == (accepted == 0) {
		return false
	}
	p.cut = accepted == 0
	return true
}

// IsCut reports whether the path to the targets of a pool is cut.
func (m *Monitor) IsCut(pool string) bool {
	p, ok := m.pools[pool]
	return ok && p.cut
}

// CutPools returns the pools to whose targets the path is cut, in no particular order.
func (m *Monitor) CutPools() []string {
	var out []string
	for name, p := range m.pools {
		if p.cut {
			out = append(out, name)
		}
	}
	return out
}

// Forget drops what is known of the pools for which isUsed returns false.
func (m *Monitor) Forget(isUsed func(pool string) bool) {
	for name := range m.pools {
		if !isUsed(name) {
			delete(m.pools, name)
		}
	}
}
