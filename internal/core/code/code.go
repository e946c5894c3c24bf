// Package code defines the numbered result codes for callers and operators. docs/ERRORS.md lists
// every code; a test compares it with the table here.
package code

import "fmt"

// Execution is whether a target executed the request that a code answers.
type Execution int

const (
	// NotExecuted guarantees that no target executed the request.
	NotExecuted Execution = iota
	// Executed means that a target executed the request, at least in part.
	Executed
	// ExecutionUnknown means that the request may or may not have been executed.
	ExecutionUnknown
)

// String returns the value of the field ran in answer bodies, as docs/ERRORS.md lists it.
func (e Execution) String() string {
	switch e {
	case NotExecuted:
		return "no"
	case Executed:
		return "yes"
	default:
		return "unknown"
	}
}

// Code is a result code. Its thousands digit is the family: 1 bad request, 2 refused before
// dispatch, 3 failed after dispatch, 4 outcome unknown, 5 operator API, 6 settings, 7 between
// hemlockdyke processes.
type Code int

// The result codes. The numbers are stable: a number never gets another meaning.
const (
	OK Code = 0

	BadBody          Code = 1001
	BodyTooLarge     Code = 1002
	UnknownTeam      Code = 1003
	UnknownPool      Code = 1004
	BadHeader        Code = 1005
	KeyReused        Code = 1006
	NotFound         Code = 1007
	UnknownKey       Code = 1008
	RequestTooSlow   Code = 1009
	HeaderTooLarge   Code = 1010
	NotReady         Code = 2001
	QueueFull        Code = 2002
	DeadlineTooShort Code = 2003
	TeamLimit        Code = 2004
	NoTarget         Code = 2005
	ClaimStoreDown   Code = 2006
	StaleConfig      Code = 2007
	TargetRefused    Code = 2008
	ShuttingDown     Code = 2009
	InProgress       Code = 2010
	Poison           Code = 2011
	TargetsPaused    Code = 2012
	Evacuated        Code = 2013
	TargetsCold      Code = 2014
	UnknownStream    Code = 2015
	NoSuchVersion    Code = 2016
	Overloaded       Code = 2017
	NoMemory         Code = 2018

	AttemptsSpent   Code = 3001
	DeadlinePassed  Code = 3002
	StreamCut       Code = 3003
	RetryBudget     Code = 3004
	AnswerMismatch  Code = 3005
	CallerGone      Code = 3006
	OutcomeUnknown  Code = 4001
	ChangeUnknown   Code = 4002
	InternalError   Code = 4003
	RouterStopped   Code = 4004
	BadResource     Code = 5001
	Conflict        Code = 5002
	NoSuchResource  Code = 5003
	StoreDown       Code = 5004
	BadReference    Code = 5005
	NoSuchOperation Code = 5006
	BadSettings     Code = 6001
	BadUsage        Code = 6002
	BadDesiredState Code = 6003
	BadTargetEntry  Code = 6004
	BadProtocol     Code = 7001
	UnknownRouter   Code = 7002
	OldIncarnation  Code = 7003
	RouterSilent    Code = 7004
)

// Info describes one code.
type Info struct {
	Name      string
	Status    int // HTTP status that is sent with the code; 0 if none
	Execution Execution
	Remedy    string
}

var table = map[Code]Info{
	OK:               {"ok", 200, Executed, "None; the caller has a target's answer."},
	BadBody:          {"bad_body", 400, NotExecuted, "Correct the request body."},
	BodyTooLarge:     {"body_too_large", 413, NotExecuted, "Send a smaller body or raise limits.maxBodyBytes."},
	UnknownTeam:      {"unknown_team", 403, NotExecuted, "Send a known team in X-Team, or create the Team."},
	UnknownPool:      {"unknown_pool", 404, NotExecuted, "Name an existing pool or model, or create the Pool."},
	BadHeader:        {"bad_header", 400, NotExecuted, "Correct the named header."},
	KeyReused:        {"key_reused", 422, NotExecuted, "Use a new Idempotency-Key for a different request."},
	NotFound:         {"not_found", 404, NotExecuted, "Correct the path."},
	UnknownKey:       {"unknown_key", 401, NotExecuted, "Send a key that a team of the desired state holds."},
	RequestTooSlow:   {"request_too_slow", 408, NotExecuted, "Send the request sooner, or allow more time: it can't be complete before its deadline."},
	HeaderTooLarge:   {"header_too_large", 431, NotExecuted, "Send a smaller header or raise the limit of the desired state."},
	NotReady:         {"not_ready", 503, NotExecuted, "Wait for the router to load its configuration."},
	QueueFull:        {"queue_full", 503, NotExecuted, "Come back after Retry-After; add targets if it lasts."},
	DeadlineTooShort: {"deadline_too_short", 503, NotExecuted, "Come back after Retry-After or allow more time."},
	TeamLimit:        {"team_limit", 429, NotExecuted, "Come back after Retry-After or raise the Team's limit."},
	NoTarget:         {"no_target", 503, NotExecuted, "Come back after Retry-After; check the pool's targets."},
	ClaimStoreDown:   {"claim_store_down", 503, NotExecuted, "Come back after Retry-After; the table service is down."},
	StaleConfig:      {"stale_config", 503, NotExecuted, "Use another router; this one may miss a change."},
	TargetRefused:    {"target_refused", 503, NotExecuted, "Come back after Retry-After; the target turned it away."},
	ShuttingDown:     {"shutting_down", 503, NotExecuted, "Use another router; this one is stopping."},
	InProgress:       {"in_progress", 409, ExecutionUnknown, "Ask again later with the same Idempotency-Key."},
	Poison:           {"poison", 503, NotExecuted, "Come back after Retry-After; targets have ended under this request."},
	TargetsPaused:    {"targets_paused", 503, NotExecuted, "Come back after Retry-After; all targets of the pool want nothing for now."},
	Evacuated:        {"evacuated", 503, NotExecuted, "Come back after Retry-After; take the order to evacuate back if the pool is to serve."},
	TargetsCold:      {"targets_cold", 503, NotExecuted, "Come back after Retry-After; all targets of the pool have just started."},
	UnknownStream:    {"unknown_stream", 503, NotExecuted, "Begin the stream anew; no router knows which software version began it."},
	NoSuchVersion:    {"no_such_version", 503, NotExecuted, "Begin the stream anew; no target runs the software version that began it."},
	Overloaded:       {"overloaded", 503, NotExecuted, "Come back after Retry-After; this router has more work than its processor can do."},
	NoMemory:         {"no_memory", 503, NotExecuted, "Come back after Retry-After; this router has no memory left for the request."},
	AttemptsSpent:    {"attempts_spent", 502, Executed, "Ask again; every attempt failed."},
	DeadlinePassed:   {"deadline_passed", 504, Executed, "Ask again with a later deadline."},
	StreamCut:        {"stream_cut", 502, Executed, "Ask again; the stream ended before its end marker."},
	RetryBudget:      {"retry_budget", 503, Executed, "Come back after Retry-After; retries are suspended."},
	AnswerMismatch:   {"answer_mismatch", 502, Executed, "Ask again; the target answered another request."},
	CallerGone:       {"caller_gone", 499, Executed, "None; the caller closed the connection."},
	OutcomeUnknown:   {"outcome_unknown", 502, ExecutionUnknown, "Check at the service before asking again."},
	ChangeUnknown:    {"change_unknown", 503, ExecutionUnknown, "Ask for the named operation until it settles."},
	InternalError:    {"internal_error", 500, ExecutionUnknown, "Ask again if the request may run twice; see the router's panic line."},
	RouterStopped:    {"router_stopped", 502, ExecutionUnknown, "Ask again at another router; this one ended before the target had answered."},
	BadResource:      {"bad_resource", 422, NotExecuted, "Correct the field that the message names."},
	Conflict:         {"conflict", 409, NotExecuted, "Read the resource again and repeat the change on it."},
	NoSuchResource:   {"no_such_resource", 404, NotExecuted, "Check kind and name."},
	StoreDown:        {"store_down", 503, NotExecuted, "Try again when the table service is back."},
	BadReference:     {"bad_reference", 422, NotExecuted, "Create the resource that the field refers to first."},
	NoSuchOperation:  {"no_such_operation", 404, NotExecuted, "The change was not accepted; send it again."},
	BadSettings:      {"bad_settings", 0, NotExecuted, "Correct the settings file at the named line."},
	BadUsage:         {"bad_usage", 0, NotExecuted, "See --help."},
	BadDesiredState:  {"bad_desired_state", 0, NotExecuted, "Correct the desired state; the last good one stays in force."},
	BadTargetEntry:   {"bad_target_entry", 0, NotExecuted, "Correct the named target's entry; the others stay in force."},
	BadProtocol:      {"bad_protocol", 400, NotExecuted, "Run the same release on every VM."},
	UnknownRouter:    {"unknown_router", 403, NotExecuted, "List the router in settings.peers."},
	OldIncarnation:   {"old_incarnation", 409, NotExecuted, "None; an earlier process of the router spoke late."},
	RouterSilent:     {"router_silent", 0, NotExecuted, "Check the URL, and that the router runs; the report lacks its requests."},
}

// Lookup returns the description of c. An unlisted code counts as an unknown outcome, since the
// guarantee "not executed" could be false.
func (c Code) Lookup() Info {
	info, ok := table[c]
	if !ok {
		return Info{Name: "unlisted", Status: 500, Execution: ExecutionUnknown}
	}
	return info
}

// All returns a copy of the code table.
func All() map[Code]Info {
	out := make(map[Code]Info, len(table))
	for c, info := range table {
		out[c] = info
	}
	return out
}

// Error is an error with a code. Field is the path of the invalid field of a resource or of the
// settings, empty if no field is concerned.
type Error struct {
	Code    Code
	Field   string
	Message string
}

// New returns an *Error with a formatted message.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Message: fmt.Sprintf(format, args...)}
}

// NewFieldError returns an *Error about one field.
func NewFieldError(c Code, field, format string, args ...any) *Error {
	return &Error{Code: c, Field: field, Message: fmt.Sprintf(format, args...)}
}

// Error returns the number, name, field and message as one text.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%d %s: %s", int(e.Code), e.Code.Lookup().Name, e.Message)
	}
	return fmt.Sprintf("%d %s: %s: %s", int(e.Code), e.Code.Lookup().Name, e.Field, e.Message)
}
