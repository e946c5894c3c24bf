// Package gateway carries plain HTTP requests of callers to targets on a platform
// that keeps the desired state and the list of targets in its store. One goroutine
// owns the control state; the goroutines of requests carry traffic.
package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/upstream"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/poison"
	"github.com/hemlockdyke/hemlockdyke/internal/core/replica"
	"github.com/hemlockdyke/hemlockdyke/internal/core/route"
)

// ErrHistoryLost: the store no longer has the changes after a position.
var ErrHistoryLost = errors.New("history no longer available")

// ErrTooLarge: a table has more rows than were asked for.
var ErrTooLarge = errors.New("table too large")

// Store reads the platform's tables. Implementations are safe for concurrent use.
type Store interface {
	// ReadTable returns a table and the position from which to follow it. It fails with ErrTooLarge if the table has more rows than
	// most, unless that is 0.
	ReadTable(ctx context.Context, t fleet.Table, most int) (position uint64, rows []replica.Row, err error)
	// AwaitChanges waits for changes after a position and returns them with the next
	// position, without rows if there was none within wait. It fails with
	// ErrHistoryLost if the changes are no longer to be had.
	AwaitChanges(ctx context.Context, t fleet.Table, after uint64, wait time.Duration) (position uint64, rows []replica.Row, err error)
	// RegisterRouters lists routers' addresses; those that are listed already stay as they are.
	RegisterRouters(ctx context.Context, addresses []string) error
	// RegisteredRouters returns the addresses of all routers that are listed.
	RegisteredRouters(ctx context.Context) ([]string, error)
	// LoadSuspects returns the requests that are kept as suspected, with their levels and generations.
	LoadSuspects(ctx context.Context) ([]poison.Suspect, error)
	// SaveSuspects writes suspects and drops others, all or none; a hundred at the most.
	SaveSuspects(ctx context.Context, put []poison.Suspect, drop []poison.Fingerprint) error
	// UnregisterRouter takes a router's address out of the list.
	UnregisterRouter(ctx context.Context, address string) error
}

// Decoder decodes rows of the platform's tables.
type Decoder interface {
	// DesiredState returns the newest desired state, nil if there is none yet.
	DesiredState(rows []replica.Row) (*route.State, error)
	// EvacuatedDataCentres returns the data centres that are to get nothing, by rows of the same table as the desired state.
	EvacuatedDataCentres(rows []replica.Row) []string
	// Targets returns the targets by pool, and the rows that name none.
	Targets(rows []replica.Row) (map[string][]placement.Target, []RejectedEntry)
}

// RejectedEntry is a row of the list of targets that can't be trusted.
type RejectedEntry struct {
	Key     string
	RowVersion uint64      // of the row
	Err     *code.Error // names the field
}

// Peers reaches other routers.
type Peers interface {
	// SendDigest sends a digest to each address, with what is to be added for it in the place of the address; yours may be
	// nil. It does not wait, and nothing is sent again.
	SendDigest(to []string, m *peerv1.Digest, yours []*peerv1.Report)
	RequestCopy(ctx context.Context, address string, req *peerv1.CopyRequest) (*peerv1.CopyResponse, error)
}

// Upstream sends attempts.
type Upstream interface {
	Do(ctx context.Context, r upstream.Request) (*upstream.Answer, error)
	Prune(listed func(target uint64) bool)
}

// Call is one caller's request, without what only concerns its connection.
type Call struct {
	ID     string
	APIKey    string        // the caller's key; empty if it sent none
	Timeout time.Duration // what the caller will wait; 0 if it did not say
	// ChatHash is the hash of the longest prompt part that later requests share; 0 if none.
	ChatHash uint64
	// PromptParts are the beginnings of the prompt that later requests share, the shortest first.
	PromptParts []placement.Part
	PromptTokens int // of the whole prompt; 0 if it has none
	// LastEventID is the event after which the caller wants a stream to go on.
	LastEventID string
	Method      string
	Host        string
	URI         string // path and query, as sent
	Path        string
	Header      http.Header // for targets
}

// Attempt is what a target is told beside the caller's request.
type Attempt struct {
	Remaining       time.Duration // until the request's deadline
	TargetID   string        // the lifetime that is meant; any other must not run it
	Team       string
	Priority   int    // 0 is the most urgent
	LastEventID string // the last event that the caller has; empty if none
	// CacheSource is the address of a target whose cached prompt parts are to be fetched;
	// empty if none.
	CacheSource string
}

// Reply is what a target's answer says beside its content.
type Reply struct {
	// NotExecuted is the target's promise that it did not run the request.
	NotExecuted bool
	// WrongTarget says that another lifetime has the address.
	WrongTarget bool
	// Sealed answers carry the target's proof that they are its own.
	Sealed bool
	// Leaving: the target says that it leaves.
	Leaving bool
	// PauseDuration is for how long the target wants nothing from this router; 0 if it does not say.
	PauseDuration time.Duration
	// ColdDuration is for how long the target says that it is cold; 0 if it does not say.
	ColdDuration time.Duration
	// InvalidPause is what it said instead of a time; empty if nothing.
	InvalidPause string
}

// HeaderCodec speaks the platform's header names.
type HeaderCodec interface {
	// PrepareHeader adds an attempt's headers to those of the call.
	PrepareHeader(call *Call, a Attempt) http.Header
	// MatchesCall reports whether an answer's header belongs to a request.
	MatchesCall(call *Call, h http.Header) bool
	// DecodeReply decodes an answer's header.
	DecodeReply(status int, h http.Header) Reply
	// StripRouterHeaders takes off an answer's header what a target says to routers.
	StripRouterHeaders(h http.Header)
}

// Responder answers the caller.
type Responder interface {
	// SendHeader sends status and header of an answer. length is -1 if it is not known.
	SendHeader(status int, header http.Header, length int64)
	// Write sends part of the body at once.
	Write(p []byte) error
	// SendError answers with a result code. retryAfter is 0 if coming back makes no sense.
	SendError(c code.Code, retryAfter time.Duration)
	// Abort ends an answer so that it can't be taken for a whole one.
	Abort()
}
