// Package claim decides whether a request with an Idempotency-Key may run. A row
// in the table service, inserted before dispatch, is the only proof of the right
// to run. A claim is never taken over: its holder might be paused and still
// dispatch.
package claim

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
)

// State is the state of a claimed request.
type State string

// The states of a record.
const (
	Started State = "started"
	Done    State = "done"
	Unknown State = "unknown"
)

// Record is the row of one claimed request.
type Record struct {
	// ID identifies the claim itself, so that a holder recognises its own row
	// after a lost reply.
	ID          string    `json:"id"`
	Router      uint32    `json:"router"`
	Incarnation uint64    `json:"incarnation"`
	Fingerprint string    `json:"fingerprint"`
	State       State     `json:"state"`
	ClaimedAt   time.Time `json:"at"`
	// Status, ContentType and Body are the recorded answer of a Done request.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// InsertResult is how a call to the table service ended.
type InsertResult int

// The results.
const (
	Committed InsertResult = iota
	Conflict
	Unavailable
	NoReply
)

// ActionKind says what the claim needs next.
type ActionKind int

// The actions.
const (
	// InsertRow the claim's row on condition that no row exists.
	InsertRow ActionKind = iota
	// ReadRow the row.
	ReadRow
	// Dispatch: the request may be dispatched, once.
	Dispatch
	// ReplayAnswer the recorded answer.
	ReplayAnswer
	// RefuseRequest with Code. The request was not dispatched under this claim.
	RefuseRequest
)

// Action is the next step of a claim.
type Action struct {
	Kind   ActionKind
	Code   code.Code
	Record Record
	// NeedsCleanup says that the row of this claim may exist or appear later although
	// the request is refused. It has to be found and deleted, or callers that
	// come again would be told for ever that the request is in progress.
	NeedsCleanup bool
}

// maxInserts bounds how often an insert without a reply is repeated.
const maxInserts = 3

// Machine decides one claim. It is not safe for concurrent use.
type Machine struct {
	record  Record
	inserts int
	unsure  bool // an insert went unanswered
}

// New returns the Machine for a record and its first action.
func New(record Record) (*Machine, Action) {
	m := &Machine{record: record}
	return m, m.insert()
}

// Record returns the claim's own record.
func (m *Machine) Record() Record { return m.record }

func (m *Machine) insert() Action {
	m.inserts++
	return Action{Kind: InsertRow, Record: m.record}
}

// HandleInsert takes the result of an insert. One without a reply is repeated: the
// second insert conflicts with the first if that took effect, and the row then
// shows whose it is. Reading alone would not do, since a row that is not there
// yet may still appear.
func (m *Machine) HandleInsert(r InsertResult) Action {
	switch r {
	case Committed:
		return Action{Kind: Dispatch}
	case Conflict:
		return Action{Kind: ReadRow}
	case NoReply:
		m.unsure = true
		if m.inserts < maxInserts {
			return m.insert()
		}
	}
	return m.refuse(code.ClaimStoreDown)
}

func (m *Machine) refuse(c code.Code) Action {
	return Action{Kind: RefuseRequest, Code: c, NeedsCleanup: m.unsure}
}

// HandleRow takes the row that conflicted. holderAlive says whether the process that
// holds the row's claim still runs.
func (m *Machine) HandleRow(row Record, holderAlive bool) Action {
	switch {
	case row.ID == m.record.ID:
		return Action{Kind: Dispatch}
	case row.Fingerprint != m.record.Fingerprint:
		return Action{Kind: RefuseRequest, Code: code.KeyReused}
	case row.State == Done:
		return Action{Kind: ReplayAnswer, Record: row}
	case row.State == Started && holderAlive:
		return Action{Kind: RefuseRequest, Code: code.InProgress}
	default:
		return Action{Kind: RefuseRequest, Code: code.OutcomeUnknown}
	}
}

// HandleRowDeleted takes the news that the conflicting row has been deleted meanwhile.
func (m *Machine) HandleRowDeleted() Action {
	if m.inserts >= maxInserts {
		return m.refuse(code.ClaimStoreDown)
	}
	return m.insert()
}

// HandleReadFailure takes the news that the row can't be read.
func (m *Machine) HandleReadFailure() Action { return m.refuse(code.ClaimStoreDown) }
