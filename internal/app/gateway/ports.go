// Package gateway forwards HTTP requests from callers to targets on a platform that stores the
// desired state and the target list. One goroutine owns the control state; request goroutines carry
// the traffic.
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
	"github.com/hemlockdyke/hemlockdyke/internal/core/targetload"
)

// ErrHistoryLost is returned when the store no longer has the changes after a position.
var ErrHistoryLost = errors.New("change history is no longer available")

// ErrTooLarge is returned when a table has more rows than maxRows.
var ErrTooLarge = errors.New("table too large")

// ErrReplyTooLarge is returned when a reply of the store is larger than a router takes. It is marked as an
// error of package port as well.
var ErrReplyTooLarge = errors.New("reply of the store too large")

// Store accesses the platform's tables. Implementations are safe for concurrent use.
type Store interface {
	// ReadTable returns all rows of a table and the position from which to follow changes. It fails
	// with ErrTooLarge if the table has more than maxRows rows; 0 means no limit.
	ReadTable(ctx context.Context, t fleet.Table, maxRows int) (position uint64, rows []replica.Row, err error)
	// AwaitChanges waits for changes after a position. It returns them with the next position, or
	// no rows if nothing changed within wait. It fails with ErrHistoryLost if the changes are no
	// longer available.
	AwaitChanges(ctx context.Context, t fleet.Table, after uint64, wait time.Duration) (position uint64, rows []replica.Row, err error)
	// RegisterRouters adds router addresses to the store's router list. Entries that exist are left
	// unchanged.
	RegisterRouters(ctx context.Context, addresses []string) error
	// RegisteredRouters returns the addresses in the store's router list.
	RegisteredRouters(ctx context.Context) ([]string, error)
	// LoadSuspects returns the stored suspected requests with their levels and generations.
	LoadSuspects(ctx context.Context) ([]poison.Suspect, error)
	// SaveSuspects writes the suspects in put and deletes those in drop in one transaction, which
	// may contain at most 100 changes.
	SaveSuspects(ctx context.Context, put []poison.Suspect, drop []poison.Fingerprint) error
	// UnregisterRouter deletes a router's address from the store's router list.
	UnregisterRouter(ctx context.Context, address string) error
}

// Decoder decodes rows of the platform's tables.
type Decoder interface {
	// DesiredState returns the newest desired state, or nil if none has been written.
	DesiredState(rows []replica.Row) (*route.DesiredState, error)
	// EvacuatedDataCentres returns the data centres that must not get requests. The rows are those
	// of the table that also holds the desired state.
	EvacuatedDataCentres(rows []replica.Row) []string
	// Targets returns the targets by pool, and the rows that could not be decoded. The ID of a
	// target is the key of its row.
	Targets(rows []replica.Row) (map[string][]placement.Target, []RejectedEntry)
}

// RejectedEntry is an invalid row of the target list.
type RejectedEntry struct {
	Key        string
	RowVersion uint64      // version of the row
	Err        *code.Error // names the invalid field
}

// Peers sends messages to other routers.
type Peers interface {
	// SendDigest sends a digest to every address without waiting and without retransmission. If
	// recipientReports is not nil, recipientReports[i] is added to the digest for to[i].
	SendDigest(to []string, digest *peerv1.Digest, recipientReports []*peerv1.Report)
	// RequestCopy requests a table copy from the router at address.
	RequestCopy(ctx context.Context, address string, req *peerv1.CopyRequest) (*peerv1.CopyResponse, error)
	// Forward asks the router at address to send an attempt to a target. The end of ctx ends the
	// attempt. An error marked as ErrNotForwarded means that the router did not get the request.
	Forward(ctx context.Context, address string, req *peerv1.ForwardRequest) (ForwardStream, error)
	// FindStreams asks the router at address at which software versions streams began.
	FindStreams(ctx context.Context, address string, req *peerv1.FindStreamsRequest) (*peerv1.FindStreamsResponse, error)
	// ClaimRead asks the router at address to have a target read a prompt prefix.
	ClaimRead(ctx context.Context, address string, req *peerv1.ClaimReadRequest) (*peerv1.ClaimReadResponse, error)
}

// ErrNotForwarded means that no router sent the request, and none will.
var ErrNotForwarded = errors.New("request not forwarded")

// ForwardStream is the answer to a forwarded attempt.
type ForwardStream interface {
	// Receive returns the next part, or io.EOF after the last one.
	Receive() (*peerv1.ForwardResponse, error)
	// Close must follow the end of the call's context, which ends an unfinished answer.
	Close() error
}

// Upstream sends attempts to targets.
type Upstream interface {
	// Do sends one attempt and returns the answer when its header has been read.
	Do(ctx context.Context, r upstream.Request) (*upstream.Answer, error)
	// Probe opens a connection to an address and closes it without sending a request. It fails with
	// syscall.ECONNREFUSED if no process listens there.
	Probe(ctx context.Context, address string) error
	// Prune closes idle connections whose idle timeout has passed, and those to lifetimes for which
	// isUsed returns false.
	Prune(isUsed func(uid uint64) bool)
}

// Call is a request from a caller, without its connection-level headers.
type Call struct {
	ID      string
	APIKey  string        // API key of the caller; empty if none was sent
	Timeout time.Duration // how long the caller waits; 0 if unknown
	// ChatHash is the hash of the longest prompt prefix that other requests may share; 0 if there
	// is none.
	ChatHash uint64
	// PromptPrefixes are the prefixes of the prompt that other requests may share, shortest first.
	PromptPrefixes []placement.Prefix
	PromptTokens   int // tokens in the whole prompt; 0 if there is no prompt
	// MaxOutputTokens is the largest number of tokens that the caller accepts, and OutputHint its
	// estimate of how many there will be; 0 if unknown.
	MaxOutputTokens, OutputHint int
	// PromptParts are the IDs of the parts of the prompt that other requests may share, each once, in
	// one spelling, whatever stands before them.
	PromptParts []string
	// LastEventID is the ID of the event after which the caller resumes a stream.
	LastEventID string
	// ResumedID is the ID of the request that brought the first event of the stream that the caller
	// resumes; empty if the caller named none.
	ResumedID string
	Method    string
	Host      string
	URI       string // path and query as received
	Path      string
	Header    http.Header // headers to forward to the target
}

// Attempt contains the values that an attempt adds to the caller's request.
type Attempt struct {
	Remaining   time.Duration // time until the request's deadline
	TargetID    string        // only the target with this ID may execute the request
	Team        string
	Priority    int    // 0 is the most urgent
	LastEventID string // ID of the last event that the caller has; empty if none
	// CacheSource is the address of the target from which to fetch cached prompt prefixes; empty if
	// there is none.
	CacheSource string
}

// AnswerInfo contains the routing information in the header of a target's answer.
type AnswerInfo struct {
	// NotExecuted is true if the target guarantees that it did not execute the request.
	NotExecuted bool
	// WrongTarget is true if the address now belongs to another target.
	WrongTarget bool
	// Sealed is true if the header proves that the answer was made by the target itself.
	Sealed bool
	// Leaving is true if the target announces its shutdown.
	Leaving bool
	// PauseDuration is how long this router must send no requests to the target; 0 if the target
	// announced no pause.
	PauseDuration time.Duration
	// ColdDuration is how long the target remains cold; 0 if the target announced nothing.
	ColdDuration time.Duration
	// BrittleLimit is how many requests a second the target bears to refuse; 0 if it does not say that
	// it is brittle.
	BrittleLimit int
	// InvalidPause is the announced pause as received if it is invalid or too long; empty
	// otherwise. PauseDuration is limited if the pause is too long.
	InvalidPause string
	// Load is the load that the target reports of itself; nil if it reports none or an invalid one.
	Load *targetload.Report
	// InvalidLoad is the reported load as received if it is invalid, and LoadFault what is wrong with it;
	// empty otherwise.
	InvalidLoad string
	LoadFault   targetload.Fault
}

// HeaderCodec translates between gateway values and the platform's HTTP headers.
type HeaderCodec interface {
	// PrepareHeader returns a copy of the header of call with the headers of the attempt added.
	PrepareHeader(call *Call, a Attempt) http.Header
	// MatchesCall reports whether an answer with header h belongs to call.
	MatchesCall(call *Call, h http.Header) bool
	// DecodeAnswer decodes the status and header of an answer.
	DecodeAnswer(status int, h http.Header) AnswerInfo
	// StripRouterHeaders deletes the headers that targets send to routers only.
	StripRouterHeaders(h http.Header)
}

// Responder sends the answer to the caller.
type Responder interface {
	// SendHeader sends the status and header of an answer. length is -1 if unknown.
	SendHeader(status int, header http.Header, length int64)
	// Write sends part of the body without buffering.
	Write(p []byte) error
	// SendError answers with a result code. retryAfter is 0 if the caller should not retry.
	SendError(c code.Code, retryAfter time.Duration)
	// Abort terminates a partly sent answer so that the caller can't mistake it for a complete one.
	Abort()
}
