// Package claim decides whether a request with an Idempotency-Key may be dispatched. A row in
// the table service, inserted before the dispatch, is the only proof of the right to dispatch. A
// claim is never taken over: its holder might only be stalled and dispatch the request later.
package claim

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
)

// State is the state of a claimed request.
type State string

// The states of a Record.
const (
	Started State = "started"
	Done    State = "done"
	Unknown State = "unknown"
)

// Record is the stored row of one claimed request.
type Record struct {
	// ID identifies the claim. By it a holder recognises its own row after a lost reply.
	ID          string    `json:"id"`
	Router      uint32    `json:"router"`
	Incarnation uint64    `json:"incarnation"`
	Fingerprint string    `json:"fingerprint"`
	State       State     `json:"state"`
	ClaimedAt   time.Time `json:"at"`
	// Status, ContentType and Body are the recorded answer to a Done request.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// InsertResult is the result of an insert into the table service.
type InsertResult int

// The insert results. NoReply means that the insert may still take effect.
const (
	Committed InsertResult = iota
	Conflict
	Unavailable
	NoReply
)

// ActionKind is the kind of an Action.
type ActionKind int

// The action kinds.
const (
	// InsertRow inserts the claim's row on condition that the key has no row.
	InsertRow ActionKind = iota
	// ReadRow reads the row.
	ReadRow
	// Dispatch dispatches the request, once.
	Dispatch
	// ReplayAnswer answers with the recorded answer of the target.
	ReplayAnswer
	// RefuseRequest answers with Code. The request was not dispatched under this claim.
	RefuseRequest
)

// Action is the next step of a claim.
type Action struct {
	Kind   ActionKind
	Code   code.Code
	Record Record
	// NeedsCleanup is true if the row of this claim may exist or appear later although the
	// request is refused. The row has to be found and deleted. Otherwise retries of the request
	// would be refused for ever as in progress.
	NeedsCleanup bool
}

// maxInserts is the maximum number of inserts of one claim.
const maxInserts = 3

// Machine is the state machine of one claim. The caller carries out the returned actions and
// passes their results to the Handle methods. It is not safe for concurrent use.
type Machine struct {
	record             Record
	insertCount        int
	insertReplyMissing bool // an insert got no reply
}

// New returns the Machine for a record and its first action.
func New(record Record) (*Machine, Action) {
	m := &Machine{record: record}
	return m, m.insertRow()
}

// Record returns the record of the claim that the Machine tries to insert.
func (m *Machine) Record() Record { return m.record }

func (m *Machine) insertRow() Action {
	m.insertCount++
	return Action{Kind: InsertRow, Record: m.record}
}

// HandleInsert processes the result of an insert and returns the next action. An insert without a
// reply is repeated. If the first insert took effect, the second one conflicts with it, and the ID
// in the row then shows that the row is this claim's. Reading the row instead would not suffice,
// since a row that does not exist yet may still appear.
func (m *Machine) HandleInsert(r InsertResult) Action {
	switch r {
	case Committed:
		return Action{Kind: Dispatch}
	case Conflict:
		return Action{Kind: ReadRow}
	case NoReply:
		m.insertReplyMissing = true
		if m.insertCount < maxInserts {
			return m.insertRow()
		}
	}
	return m.refuseRequest(code.ClaimStoreDown)
}

func (m *Machine) refuseRequest(c code.Code) Action {
	return Action{Kind: RefuseRequest, Code: c, NeedsCleanup: m.insertReplyMissing}
}

// HandleRow processes the row that caused a conflict and returns the next action. holderAlive
// reports whether the process that holds the row's claim still runs.
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

// HandleRowDeleted returns the next action if the conflicting row was deleted meanwhile.
func (m *Machine) HandleRowDeleted() Action {
	if m.insertCount >= maxInserts {
		return m.refuseRequest(code.ClaimStoreDown)
	}
	return m.insertRow()
}

// HandleReadFailure returns the next action if the conflicting row can't be read.
func (m *Machine) HandleReadFailure() Action { return m.refuseRequest(code.ClaimStoreDown) }
