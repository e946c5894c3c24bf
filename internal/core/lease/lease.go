// Package lease decides who may work on something, from rows in the table
// service that carry fencing numbers. Clocks of different VMs are never
// compared: a holder counts from before it sent its last renewal, everybody else
// from when they last saw the row change.
package lease

import "time"

// Row is a lease as stored.
type Row struct {
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fencing"`
	// Renewals changes with every renewal, so that others see the holder live.
	Renewals uint64 `json:"renewals"`
}

// Settings of a Lease.
type Settings struct {
	Holder string
	// Duration is how long a renewal lasts.
	Duration time.Duration
	// TakeoverDelay is waited in addition before a lease is taken over. For targets that
	// ignore fencing numbers it is the longest delay of an order under way: an
	// old holder's order must have expired before the new holder's first one.
	TakeoverDelay time.Duration
}

// ActionKind says what a Lease needs next.
type ActionKind int

// The actions.
const (
	// Wait: somebody else holds the lease.
	Wait ActionKind = iota
	// WriteRow the row on condition that its version is still Version.
	WriteRow
	// KeepLease: the lease is held and needs no renewal yet.
	KeepLease
)

// Action is the answer to an observation.
type Action struct {
	Kind    ActionKind
	Row     Row
	Version uint64
}

// Lease is one process's view of one lease. It is not safe for concurrent use.
type Lease struct {
	settings Settings
	seen     Row
	version  uint64
	changed  time.Time // when seen last changed, on the local monotonic clock
	observed bool
	sent     time.Time // when the last successful write was sent
	fencing  uint64    // of the lease held, 0 if none
}

// New returns a Lease that has observed nothing.
func New(s Settings) *Lease { return &Lease{settings: s} }

// ObserveRow takes in the row as just read; version 0 means that there is none.
func (l *Lease) ObserveRow(now time.Time, row Row, version uint64) Action {
	if !l.observed || version != l.version {
		l.seen, l.version, l.changed, l.observed = row, version, now, true
	}
	switch {
	case version == 0:
		return Action{Kind: WriteRow, Row: Row{Holder: l.settings.Holder, FencingToken: 1}}
	case row.Holder == l.settings.Holder && row.FencingToken == l.fencing:
		return l.renew(now, row, version)
	case now.Sub(l.changed) > l.settings.Duration+l.settings.TakeoverDelay:
		return Action{Kind: WriteRow, Version: version, Row: Row{Holder: l.settings.Holder, FencingToken: row.FencingToken + 1}}
	default:
		return Action{Kind: Wait}
	}
}

func (l *Lease) renew(now time.Time, row Row, version uint64) Action {
	if now.Sub(l.sent) < l.settings.Duration/3 {
		return Action{Kind: KeepLease}
	}
	row.Renewals++
	return Action{Kind: WriteRow, Version: version, Row: row}
}

// RecordWrite records that the row of a Write action is stored. sent is the time
// before the write was sent, so a slow reply shortens the lease instead of
// stretching it beyond what others believe.
func (l *Lease) RecordWrite(sent time.Time, row Row) {
	l.sent = sent
	l.fencing = row.FencingToken
}

// RecordLoss records that another process has the lease.
func (l *Lease) RecordLoss() { l.fencing = 0 }

// HeldFencingToken returns the fencing number and true while the lease certainly holds. It
// has to be asked right before each order: the process may have been paused
// since the last time.
func (l *Lease) HeldFencingToken(now time.Time) (uint64, bool) {
	if l.fencing == 0 || now.Sub(l.sent) >= l.settings.Duration {
		return 0, false
	}
	return l.fencing, true
}

// RemainingTime returns how much of the lease is left.
func (l *Lease) RemainingTime(now time.Time) time.Duration {
	if _, ok := l.HeldFencingToken(now); !ok {
		return 0
	}
	return l.settings.Duration - now.Sub(l.sent)
}
