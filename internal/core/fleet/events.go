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
	Desired Table = iota // the operators' desired state
	Targets              // the list of targets
	Tables               // the number of tables
)

// String returns the table's name in logs.
func (t Table) String() string {
	if t == Desired {
		return "desired"
	}
	return "targets"
}

// Event is an input of the core.
type Event interface{ isEvent() }

// The events.
type (
	// FollowRead: the store told the changes after a version. Position is where to go on.
	FollowRead struct {
		Table    Table
		Position uint64
		Rows     []replica.Row
	}
	// WholeRead: the store told the whole table as of Position.
	WholeRead struct {
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
		Stopped     bool
	}
	// DigestIn: a router sent a digest.
	DigestIn struct {
		From   Address
		Digest *peerv1.Digest
	}
	// Copied: a router answered a copy request; Reply is nil if the call failed, or if the router
	// is busy with other copies.
	Copied struct {
		From  Address
		Table Table
		Reply *peerv1.CopyResponse
		Busy  bool
		// Holders are routers that a busy one names.
		Holders []Address
	}
	// Found: addresses at which routers may run.
	Found struct{ Addresses []Address }
	// Tick: time has passed. The core expects one every TickInterval.
	Tick struct {
		Loads    []placement.Load
		Outcomes []placement.TargetOutcomes
		// Prompts goes out with the next digest, and with no other.
		Prompts []placement.PrefixRead
		News
	}
	// Learned: something has just been learned that is told at once.
	Learned struct{ News }
	// Leave: this router is to stop.
	Leave struct{}
)

func (FollowRead) isEvent() {}
func (WholeRead) isEvent()  {}
func (ReadFailed) isEvent() {}
func (DigestIn) isEvent()   {}
func (Copied) isEvent()     {}
func (Found) isEvent()      {}
func (Tick) isEvent()       {}
func (Learned) isEvent()    {}
func (Leave) isEvent()      {}

// News is what goes out at once, and what this router holds of it.
type News struct {
	Departures []placement.Departure
	Poison     poison.News
	// Held are all suspects that this router holds, HeldKnown says that it has learned whom the others suspect.
	Held      []poison.Suspect
	HeldKnown bool
}

// Action is an output of the core.
type Action interface{ isAction() }

// The actions.
type (
	// SendDigest tells routers. A lost one is not sent again.
	SendDigest struct {
		To     []Address
		Digest *peerv1.Digest
		// Yours are added to the digest, each for the router in its place in To; nil if nothing is.
		Yours []*peerv1.Report
	}
	// Follow asks the store for the changes of a table after a position, waiting
	// for the first for up to Wait; answered by FollowRead or ReadFailed.
	Follow struct {
		Table Table
		After uint64
		Wait  time.Duration
	}
	// ReadWhole asks the store for a whole table, if it has no more rows than Most, or 0 for any number; answered by WholeRead
	// or ReadFailed.
	ReadWhole struct {
		Table Table
		Most  int
	}
	// StopFollowing ends the call to the store that waits for changes of a table.
	StopFollowing struct{ Table Table }
	// CopyFrom asks a router for what the copy lacks, for Timeout at most; answered by Copied.
	CopyFrom struct {
		Peer    Address
		Table   Table
		After   uint64
		Timeout time.Duration
	}
	// Changed says that the content of a copy changed.
	Changed struct {
		Table   Table
		Version uint64
		// Source is "store" or the router that it came from.
		Source string
	}
	// LoadsHeard passes on what the routers of a source have open, what they saw of failing targets, which
	// beginnings of prompts were read where, and which targets leave. A report of a source replaces the one before.
	LoadsHeard struct {
		// Source names a router, a data centre or the fleet without this router. What sources cover does not
		// overlap, but for those forgotten.
		Source     uint32
		Loads      []placement.Load
		Outcomes   []placement.TargetOutcomes
		Prompts    []placement.PrefixRead
		Departures []placement.Departure
		Poison     poison.News
		// Partial: only prompts, departures and poison are told.
		Partial bool
	}
	// LoadsForgotten: what these sources told no longer counts; all of them if none is named.
	LoadsForgotten struct{ Sources []uint32 }
	// SuspectsKnown: this router holds the same suspects as another one that knows them.
	SuspectsKnown struct{}
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
		Silent time.Duration
	}
	// StoreChanged: the store was lost or regained, or this router began or ceased to read.
	StoreChanged struct{ Reading, Reachable bool }
)

func (SendDigest) isAction()     {}
func (Follow) isAction()         {}
func (ReadWhole) isAction()      {}
func (StopFollowing) isAction()  {}
func (CopyFrom) isAction()       {}
func (Changed) isAction()        {}
func (LoadsHeard) isAction()     {}
func (LoadsForgotten) isAction() {}
func (SuspectsKnown) isAction()  {}
func (RoleChanged) isAction()    {}
func (PeerUp) isAction()         {}
func (PeerDown) isAction()       {}
func (StoreChanged) isAction()   {}
