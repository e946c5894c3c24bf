// Package fleet decides how the routers of a fleet keep identical copies of the platform's tables
// without each router calling the store: which routers read the store, which router copies from
// which, and which routers are alive. It does no I/O, reads no clock and takes all randomness from
// its seed.
package fleet

import (
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/lineage"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/poison"
	"github.com/hemlockdyke/hemlockdyke/internal/core/replica"
	"github.com/hemlockdyke/hemlockdyke/internal/core/shedding"
)

// Address is the IP:PORT at which a router receives digests and copy requests. It identifies the
// router: a process that starts at the same address replaces the earlier process.
type Address string

// Table is one of the tables of which every router has a copy.
type Table int

// The tables, in the order in which digests list their versions.
const (
	DesiredTable Table = iota // the operators' desired state
	TargetsTable              // the list of targets
	TableCount                // the number of tables
)

// String returns the table's name for logs.
func (t Table) String() string {
	if t == DesiredTable {
		return "desired"
	}
	return "targets"
}

// Event is an input of a Core.
type Event interface{ isEvent() }

// The events: answers to the actions of a Core, messages from other routers, and changes at this
// router.
type (
	// ChangesRead reports that the store returned the changes after a version. Position is the
	// store version up to which the table has now been read; the next read starts there.
	ChangesRead struct {
		Table    Table
		Position uint64
		Rows     []replica.Row
	}
	// TableRead reports that the store returned the whole table as of version Position.
	TableRead struct {
		Table    Table
		Position uint64
		Rows     []replica.Row
	}
	// ReadFailed reports that a store call failed. TooLarge: the table has more rows than the call
	// allowed. ReplyTooLarge: the reply was larger than a router takes; most such replies have no end.
	// HistoryLost: the store no longer has the changes after the position. Cancelled: the core
	// cancelled the call.
	ReadFailed struct {
		Table         Table
		TooLarge      bool
		ReplyTooLarge bool
		HistoryLost   bool
		Cancelled     bool
	}
	// DigestReceived reports that a router sent a digest.
	DigestReceived struct {
		From   Address
		Digest *peerv1.Digest
	}
	// CopyCompleted reports the end of a copy request. Response is nil if the call failed or if the
	// router is busy with other copies.
	CopyCompleted struct {
		From     Address
		Table    Table
		Response *peerv1.CopyResponse
		Busy     bool
		// Holders are other routers with a copy, named by a busy router.
		Holders []Address
	}
	// AddressesDiscovered lists addresses at which routers may run.
	AddressesDiscovered struct{ Addresses []Address }
	// Tick reports that time has passed. The core expects one every TickInterval.
	Tick struct {
		Loads    []placement.Load
		Outcomes []placement.TargetOutcomes
		// Teams are the teams with the most work at this router, in pools that are scheduled by work.
		Teams []shedding.TeamWork
		// PrefixReads are sent in the next digest only.
		PrefixReads []placement.PrefixRead
		// Streams are the records of this router's streams that other routers have to learn.
		Streams []lineage.Record
		UrgentReports
	}
	// UrgentReportsPending passes reports that the core must send before the next tick.
	UrgentReportsPending struct{ UrgentReports }
	// Shutdown announces that this router is about to stop.
	Shutdown struct{}
)

func (ChangesRead) isEvent()          {}
func (TableRead) isEvent()            {}
func (ReadFailed) isEvent()           {}
func (DigestReceived) isEvent()       {}
func (CopyCompleted) isEvent()        {}
func (AddressesDiscovered) isEvent()  {}
func (Tick) isEvent()                 {}
func (UrgentReportsPending) isEvent() {}
func (Shutdown) isEvent()             {}

// UrgentReports are the reports that are sent without waiting for the next heartbeat, and all
// suspects that this router holds.
type UrgentReports struct {
	Departures []placement.Departure
	Poison     poison.Report
	// HeldSuspects are all suspects that this router holds. SuspectsSynced is set once they include
	// the suspects of the other routers.
	HeldSuspects   []poison.Suspect
	SuspectsSynced bool
}

// Action is an output of a Core.
type Action interface{ isAction() }

// The actions: what the caller of a Core has to do, and what it learns from it.
type (
	// SendDigest sends a digest to routers. A lost digest is not sent again.
	SendDigest struct {
		To     []Address
		Digest *peerv1.Digest
		// RecipientReports holds the report to add to the digest of each router in To, by index;
		// nil if there is nothing to add.
		RecipientReports []*peerv1.Report
	}
	// ReadChanges reads the changes of a table after a position from the store and waits up to Wait
	// for the first one. The answer is ChangesRead or ReadFailed.
	ReadChanges struct {
		Table Table
		After uint64
		Wait  time.Duration
	}
	// ReadTable reads a whole table from the store, if it has at most MaxRows rows; 0 means no
	// limit. The answer is TableRead or ReadFailed.
	ReadTable struct {
		Table   Table
		MaxRows int
	}
	// CancelReadChanges cancels the store call that waits for changes of a table.
	CancelReadChanges struct{ Table Table }
	// RequestCopy asks a router for the changes after a version. The answer is CopyCompleted,
	// within Timeout.
	RequestCopy struct {
		Peer    Address
		Table   Table
		After   uint64
		Timeout time.Duration
	}
	// TableChanged reports that the content of a table copy changed.
	TableChanged struct {
		Table   Table
		Version uint64
		// Source is "store" or the address of the router that the change came from.
		Source string
		// Changes are the rows that were put or removed, in order. If Whole is set, all rows may
		// have changed, and Changes is nil.
		Changes []replica.Row
		Whole   bool
	}
	// ReportReceived passes on what a source reported: open requests, outcomes at failing targets,
	// which targets have read which prompt prefixes, departures and poison reports. Unless Partial
	// is set, it replaces the source's earlier loads and outcomes.
	ReportReceived struct {
		// Source identifies a router, a data centre, or the fleet without this router. No router is
		// covered by two sources, except for those that ReportsDiscarded invalidates.
		Source      uint32
		Loads       []placement.Load
		Outcomes    []placement.TargetOutcomes
		Teams       []shedding.TeamWork
		PrefixReads []placement.PrefixRead
		Departures  []placement.Departure
		Poison      poison.Report
		Streams     []lineage.Record
		// Partial is set if the report has only prefix reads, departures, poison reports and streams.
		Partial bool
	}
	// ReportsDiscarded invalidates the reports of these sources, or of all sources if Sources is
	// empty.
	ReportsDiscarded struct{ Sources []uint32 }
	// SuspectsSynced reports that this router holds the same suspects as a router that is synced.
	SuspectsSynced struct{}
	// StreamsMissed reports that a router which keeps the records of this router's streams has started:
	// they have to be told again.
	StreamsMissed struct{}
	// RoleChanged reports that this router became a relay or stopped being one, or that its feeder
	// changed.
	RoleChanged struct {
		Relay  bool
		Feeder Address // the relay that feeds this router; empty if there is none
	}
	// PeerUp reports that a digest of a router arrived for the first time, again after a silence,
	// or after a restart. It is only logged.
	PeerUp struct {
		Peer      Address
		Restarted bool
	}
	// PeerDown reports that a router has been silent for too long and that no relay vouches for it.
	// The reports of Source no longer count.
	PeerDown struct {
		Peer      Address
		Source    uint32 // the router as a source of load reports
		SilentFor time.Duration
	}
	// StoreStateChanged reports that the store became reachable or unreachable, or that this router
	// started or stopped reading it. It is only logged.
	StoreStateChanged struct{ Reading, Reachable bool }
)

func (SendDigest) isAction()        {}
func (ReadChanges) isAction()       {}
func (ReadTable) isAction()         {}
func (CancelReadChanges) isAction() {}
func (RequestCopy) isAction()       {}
func (TableChanged) isAction()      {}
func (ReportReceived) isAction()    {}
func (ReportsDiscarded) isAction()  {}
func (SuspectsSynced) isAction()    {}
func (StreamsMissed) isAction()     {}
func (RoleChanged) isAction()       {}
func (PeerUp) isAction()            {}
func (PeerDown) isAction()          {}
func (StoreStateChanged) isAction() {}
