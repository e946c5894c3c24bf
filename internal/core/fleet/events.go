// Package fleet decides how the routers of a fleet keep the same copies of the
// platform's tables without each of them calling the store: who reads, who copies
// from whom, who is alive. It does no I/O, reads no clock and draws randomness only
// from its seed.
package fleet

import (
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/poison"
	"github.com/hemlockdyke/hemlockdyke/internal/core/replica"
)

// Address is where a router receives digests and copy requests, as IP:PORT. It
// names the router: a process that starts at the same address is its successor.
type Address string

// Table is one of the tables that every router has a copy of.
type Table int

// The tables, in the order in which digests carry their versions.
const (
	DesiredTable Table = iota // the operators' desired state
	TargetsTable              // the list of targets
	TableCount               // the number of tables
)

// String returns the table's name in logs.
func (t Table) String() string {
	if t == DesiredTable {
		return "desired"
	}
	return "targets"
}

// Event is an input of the core.
type Event interface{ isEvent() }

// The events.
type (
	// ChangesRead: the store told the changes after a version. Position is where to go on.
	ChangesRead struct {
		Table    Table
		Position uint64
		Rows     []replica.Row
	}
	// TableRead: the store told the whole table as of Position.
	TableRead struct {
		Table    Table
		Position uint64
		Rows     []replica.Row
	}
	// ReadFailed: a call to the store failed. TooLarge says that the table has more rows than were asked for, HistoryLost says that the changes
	// after the position are no longer to be had, Stopped that the core ended the
	// call itself.
	ReadFailed struct {
		Table       Table
		TooLarge    bool
		HistoryLost bool
		Cancelled     bool
	}
	// DigestReceived: a router sent a digest.
	DigestReceived struct {
		From   Address
		Digest *peerv1.Digest
	}
	// CopyCompleted: a router answered a copy request; Reply is nil if the call failed, or if the router
	// is busy with other copies.
	CopyCompleted struct {
		From  Address
		Table Table
		Reply *peerv1.CopyResponse
		Busy  bool
		// Holders are routers that a busy one names.
		Holders []Address
	}
	// AddressesDiscovered: addresses at which routers may run.
	AddressesDiscovered struct{ Addresses []Address }
	// Tick: time has passed. The core expects one every TickInterval.
	Tick struct {
		Loads    []placement.Load
		Outcomes []placement.Outcomes
		// Prompts goes out with the next digest, and with no other.
		Prompts []placement.Read
		UrgentReports
	}
	// ReportsPending: something has just been learned that is told at once.
	ReportsPending struct{ UrgentReports }
	// Shutdown: this router is to stop.
	Shutdown struct{}
)

func (ChangesRead) isEvent() {}
func (TableRead) isEvent()  {}
func (ReadFailed) isEvent() {}
func (DigestReceived) isEvent()   {}
func (CopyCompleted) isEvent()     {}
func (AddressesDiscovered) isEvent()      {}
func (Tick) isEvent()       {}
func (ReportsPending) isEvent()    {}
func (Shutdown) isEvent()      {}

// UrgentReports is what goes out at once, and what this router holds of it.
type UrgentReports struct {
	Departures []placement.Departure
	Poison     poison.News
	// HeldSuspects are all suspects that this router holds, HeldKnown says that it has learned whom the others suspect.
	HeldSuspects      []poison.Suspect
	HeldSynced bool
}

// Action is an output of the core.
type Action interface{ isAction() }

// The actions.
type (
	// SendDigest tells routers. A lost one is not sent again.
	SendDigest struct {
		To     []Address
		Digest *peerv1.Digest
		// RecipientReports are added to the digest, each for the router in its place in To; nil if nothing is.
		RecipientReports []*peerv1.Report
	}
	// ReadChanges asks the store for the changes of a table after a position, waiting
	// for the first for up to Wait; answered by FollowRead or ReadFailed.
	ReadChanges struct {
		Table Table
		After uint64
		Wait  time.Duration
	}
	// ReadTable asks the store for a whole table, if it has no more rows than Most, or 0 for any number; answered by WholeRead
	// or ReadFailed.
	ReadTable struct {
		Table Table
		MaxRows  int
	}
	// CancelReadChanges ends the call to the store that waits for changes of a table.
	CancelReadChanges struct{ Table Table }
	// RequestCopy asks a router for what the copy lacks, for Timeout at most; answered by Copied.
	RequestCopy struct {
		Peer    Address
		Table   Table
		After   uint64
		Timeout time.Duration
	}
	// TableChanged says that the content of a copy changed.
	TableChanged struct {
		Table   Table
		Version uint64
		// Source is "store" or the router that it came from.
		Source string
	}
	// ReportReceived passes on what the routers of a source have open, what they saw of failing targets, which
	// beginnings of prompts were read where, and which targets leave. A report of a source replaces the one before.
	ReportReceived struct {
		// Source names a router, a data centre or the fleet without this router. What sources cover does not
		// overlap, but for those forgotten.
		Source     uint32
		Loads      []placement.Load
		Outcomes   []placement.Outcomes
		Prompts    []placement.Read
		Departures []placement.Departure
		Poison     poison.News
		// Partial: only prompts, departures and poison are told.
		Partial bool
	}
	// ReportsDiscarded: what these sources told no longer counts; all of them if none is named.
	ReportsDiscarded struct{ Sources []uint32 }
	// SuspectsSynced: this router holds the same suspects as another one that knows them.
	SuspectsSynced struct{}
	// RoleChanged: this router began or ceased to be a relay, or is fed by another one from now on.
	RoleChanged struct {
		Relay  bool
		Feeder Address // empty if there is none
	}
	// PeerUp, PeerDown and StoreChanged are for the log.
	PeerUp struct {
		Peer      Address
		Restarted bool
	}
	// PeerDown: a router that this one heard has been silent for too long, and no relay tells of it.
	PeerDown struct {
		Peer   Address
		Source uint32
		SilentFor time.Duration
	}
	// StoreStateChanged: the store was lost or regained, or this router began or ceased to read.
	StoreStateChanged struct{ Reading, Reachable bool }
)

func (SendDigest) isAction()     {}
func (ReadChanges) isAction()         {}
func (ReadTable) isAction()      {}
func (CancelReadChanges) isAction()  {}
func (RequestCopy) isAction()       {}
func (TableChanged) isAction()        {}
func (ReportReceived) isAction()     {}
func (ReportsDiscarded) isAction() {}
func (SuspectsSynced) isAction()  {}
func (RoleChanged) isAction()    {}
func (PeerUp) isAction()         {}
func (PeerDown) isAction()       {}
func (StoreStateChanged) isAction()   {}
