// Package lease decides which process may work on a shared object, based on rows in the table
// service that carry fencing tokens. Clocks of different VMs are never compared: a holder
// measures its lease from before it sent the last renewal, other processes measure from when
// they last saw the row change.
package lease

import "time"

// Row is the stored state of a lease.
type Row struct {
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fencing"`
	// Renewals changes with every renewal. It shows other processes that the holder is alive.
	Renewals uint64 `json:"renewals"`
}

// Settings configures a Lease.
type Settings struct {
	Holder string
	// Duration is how long a lease is held after a renewal was sent.
	Duration time.Duration
	// TakeoverDelay is added to Duration before a lease is taken over. For targets that ignore
	// fencing tokens it is the maximum delay of an order in transit: an order of the old holder
	// must have expired before the new holder sends its first one.
	TakeoverDelay time.Duration
}

// ActionKind is the kind of an Action.
type ActionKind int

// The action kinds.
const (
	// Wait: another process holds the lease.
	Wait ActionKind = iota
	// WriteRow: write Row on condition that the stored version is still Version.
	WriteRow
	// KeepLease: the lease is held and needs no renewal yet.
	KeepLease
)

// Action is the next step of a Lease.
type Action struct {
	Kind    ActionKind
	Row     Row
	Version uint64
}

// Lease is one process's view of one lease. The process reads the row periodically, passes it to
// ObserveRow and carries out the returned action. Lease is not safe for concurrent use.
type Lease struct {
	settings    Settings
	lastRow     Row
	lastVersion uint64
	changedAt   time.Time // when lastVersion last changed, on the local monotonic clock
	observed    bool
	sentAt      time.Time // when the last successful write was sent
	heldToken   uint64    // fencing token of the held lease, 0 if it is not held
}

// New returns a Lease that has read no row yet.
func New(s Settings) *Lease { return &Lease{settings: s} }

// ObserveRow processes the row that was just read and returns the next step. Version 0 means
// that the row does not exist.
func (l *Lease) ObserveRow(now time.Time, row Row, version uint64) Action {
	if !l.observed || version != l.lastVersion {
		l.lastRow, l.lastVersion, l.changedAt, l.observed = row, version, now, true
	}
	switch {
	case version == 0:
		return Action{Kind: WriteRow, Row: Row{Holder: l.settings.Holder, FencingToken: 1}}
	case row.Holder == l.settings.Holder && row.FencingToken == l.heldToken:
		return l.renew(now, row, version)
	case now.Sub(l.changedAt) > l.settings.Duration+l.settings.TakeoverDelay:
		return Action{Kind: WriteRow, Version: version, Row: Row{Holder: l.settings.Holder, FencingToken: row.FencingToken + 1}}
	default:
		return Action{Kind: Wait}
	}
}

func (l *Lease) renew(now time.Time, row Row, version uint64) Action {
	if now.Sub(l.sentAt) < l.settings.Duration/3 {
		return Action{Kind: KeepLease}
	}
	row.Renewals++
	return Action{Kind: WriteRow, Version: version, Row: row}
}

// RecordWrite records that the row of a WriteRow action is stored. sentAt is the time before the
// write was sent. A slow reply therefore shortens the lease and never extends it beyond the time
// that other processes assume.
func (l *Lease) RecordWrite(sentAt time.Time, row Row) {
	l.sentAt = sentAt
	l.heldToken = row.FencingToken
}

// RecordLoss records that another process holds the lease.
func (l *Lease) RecordLoss() { l.heldToken = 0 }

// HeldFencingToken returns the fencing token, and true while the lease is certainly held. It has
// to be called right before each order, since the process may have stalled since the last call.
func (l *Lease) HeldFencingToken(now time.Time) (uint64, bool) {
	if l.heldToken == 0 || now.Sub(l.sentAt) >= l.settings.Duration {
		return 0, false
	}
	return l.heldToken, true
}

// RemainingTime returns the remaining time of the lease, or 0 if it is not held.
func (l *Lease) RemainingTime(now time.Time) time.Duration {
	if _, ok := l.HeldFencingToken(now); !ok {
		return 0
	}
	return l.settings.Duration - now.Sub(l.sentAt)
}
