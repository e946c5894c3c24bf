// Package eventlog writes JSON log lines from which a failure can be explained afterwards: one
// line for each decision about a request and for each change of a router's state. The number of
// lines per kind and second is limited, and a stalled writer blocks no request.
package eventlog

import "github.com/rs/zerolog"

// Kind is a kind of log line. docs/LOGS.md lists all kinds.
type Kind struct {
	Name  string
	Level zerolog.Level
	// MaxPerSecond limits the lines per second. Kinds that occur with each request have a limit
	// above the rate of requests that a router carries. Lines beyond the limit are dropped and
	// counted.
	MaxPerSecond int
	// Meaning describes the event. docs/LOGS.md repeats it.
	Meaning string
}

// Kinds of decisions about a request. Failures and refusals have kinds of their own, since a
// flood of lines about successful requests must not use up their limits.
var (
	TicketRefused = Kind{"ticket_refused", zerolog.WarnLevel, 400, "the pool's owner refused a ticket: the result code, how long it took and when to retry"}
	Placed        = Kind{"placed", zerolog.InfoLevel, 400, "an attempt is sent to a target: by which rule, how many requests the fleet has open there, and how old that figure is"}
	AttemptFailed = Kind{"attempt_failed", zerolog.WarnLevel, 400, "an attempt failed, and why"}
	RetryDenied   = Kind{"repeat_denied", zerolog.WarnLevel, 200, "a retry was denied, since the fleet's retry budget is used up"}
	NotAdmitted   = Kind{"not_admitted", zerolog.WarnLevel, 400, "a request was refused before it was sent: the expected wait is too long for its remaining time, objective and rank"}
	Forwarded     = Kind{"forwarded", zerolog.InfoLevel, 400, "another router is asked to send an attempt, since this one's own path to the pool's targets is cut"}
	NotForwarded  = Kind{"not_forwarded", zerolog.WarnLevel, 400, "another router did not send an attempt, or was lost with it, and why"}
	Forwarding    = Kind{"forwarding", zerolog.InfoLevel, 400, "this router sends an attempt of another router to its target"}
	StreamRefused = Kind{"stream_refused", zerolog.WarnLevel, 400, "a stream can't go on, and why: no router knows the software version that began it, or no target of that version takes it"}
	Finished      = Kind{"finished", zerolog.InfoLevel, 400, "the caller has a target's answer"}
	PrefillWait   = Kind{"prefill_wait", zerolog.InfoLevel, 200, "a request waited while a target read the beginning of its prompt for another request: how long, for which target, and what ended the wait"}
	PoisonRefused = Kind{"poison_refused", zerolog.WarnLevel, 200, "a request was refused before it was sent: targets have exited while they executed requests with the same content or the same part of their prompts"}
	Incomplete    = Kind{"incomplete", zerolog.WarnLevel, 400, "the caller's connection ends without a complete answer, and why"}
	Failed        = Kind{"failed", zerolog.WarnLevel, 400, "the caller got a result code of the router or a truncated answer, or disconnected"}
)

// Kinds of changes of a router's state.
var (
	Started               = Kind{"started", zerolog.InfoLevel, 10, "the process serves"}
	Stopping              = Kind{"stopping", zerolog.InfoLevel, 10, "a graceful shutdown begins"}
	Stopped               = Kind{"stopped", zerolog.InfoLevel, 10, "the process ends"}
	Reloaded              = Kind{"reloaded", zerolog.InfoLevel, 10, "the settings file was read again"}
	ReloadRejected        = Kind{"reload_rejected", zerolog.ErrorLevel, 10, "the settings file is bad; the last good settings stay"}
	RequestsEnded         = Kind{"requests_ended", zerolog.WarnLevel, 10, "a stopping router answers the requests that are still open"}
	RequestsCut           = Kind{"requests_cut", zerolog.ErrorLevel, 10, "the grace time ended with requests open"}
	ReadyChanged          = Kind{"ready", zerolog.InfoLevel, 20, "the answer to the balancer's checks changed"}
	Evacuation            = Kind{"evacuation", zerolog.InfoLevel, 20, "an operator's order to evacuate a data centre was applied or withdrawn"}
	TargetCold            = Kind{"target_cold", zerolog.InfoLevel, 50, "a target that was considered warm reports that it is cold"}
	TargetBrittle         = Kind{"target_brittle", zerolog.WarnLevel, 20, "a target says that its pool crashes if it has to refuse more requests a second than `refusals`, or, with 0, that it does not any more"}
	TargetLoadIgnored     = Kind{"target_load_ignored", zerolog.WarnLevel, 20, "the load that a target reported of itself was ignored, and why; `bad`: the report, if it is invalid"}
	StaleChanged          = Kind{"stale", zerolog.WarnLevel, 20, "this router stopped serving, since others have had a newer desired state for too long, or it serves again"}
	DesiredState          = Kind{"desired_state", zerolog.InfoLevel, 50, "a desired state was applied: its version, the version of its row, and its source"}
	DesiredStateRejected  = Kind{"desired_state_rejected", zerolog.ErrorLevel, 20, "a desired state can't be decoded; the last good one stays applied"}
	TargetsChanged        = Kind{"targets", zerolog.InfoLevel, 50, "a target list was applied"}
	TargetRejected        = Kind{"target_rejected", zerolog.ErrorLevel, 20, "an entry of the target list is invalid in this version and adds no target; the other entries stay"}
	TargetRestarted       = Kind{"target_restarted", zerolog.WarnLevel, 50, "a target restarted under the same id: when its previous lifetime began, and how many attempts ended with it"}
	TargetDeparted        = Kind{"target_left", zerolog.InfoLevel, 50, "another router reported that a target is leaving or was removed, before the target list showed it; `said`: the target announced it, `ended`: its process exited"}
	StoreChanged          = Kind{"store", zerolog.InfoLevel, 50, "this router began or stopped reading the store, or a store outage began or ended"}
	StoreReadFailed       = Kind{"store_read_failed", zerolog.WarnLevel, 50, "a call to the store failed"}
	TableCopyFailed       = Kind{"copy_failed", zerolog.WarnLevel, 50, "another router did not answer a copy request"}
	TableCopyRefused      = Kind{"copy_refused", zerolog.InfoLevel, 50, "another router refused a table copy, since its link is busy; a different router is asked"}
	TableCopied           = Kind{"copied", zerolog.InfoLevel, 50, "another router sent a table copy: the table, its version, whether it is complete, its size, and how long it took"}
	LinkUse               = Kind{"link", zerolog.InfoLevel, 1, "how many bytes of messages between routers this VM's link carried since the last such line, and how many routers this one receives digests from"}
	MemoryShare           = Kind{"memory", zerolog.WarnLevel, 5, "the memory of this process passed a share of its limit, or is below all such shares again: with what is known to hold it"}
	RouterListFailed      = Kind{"list_failed", zerolog.WarnLevel, 20, "the store's list of routers could not be read or written"}
	SuspectStoreFailed    = Kind{"keep_failed", zerolog.WarnLevel, 20, "the suspected requests in the store could not be read or written"}
	PeerUp                = Kind{"peer_up", zerolog.InfoLevel, 100, "another router is alive: seen for the first time, or again"}
	PeerDown              = Kind{"peer_down", zerolog.WarnLevel, 100, "another router has been silent for too long; its open requests no longer count"}
	PeerUnlisted          = Kind{"peer_unlisted", zerolog.InfoLevel, 20, "a router that was silent for long was removed from the store's list of routers"}
	TargetSuspended       = Kind{"target_suspended", zerolog.WarnLevel, 100, "a target was suspended, and why; `outlier`: it was ejected by the reports of all routers"}
	TargetNotice          = Kind{"target_said", zerolog.InfoLevel, 50, "a target's answer announced that it is leaving, or a pause for this router"}
	TargetExited          = Kind{"target_ended", zerolog.WarnLevel, 50, "a target exited: its connections broke and its port refuses new ones; how many requests of this router it was executing"}
	PoisonChanged         = Kind{"poison", zerolog.WarnLevel, 50, "requests that carry a suspect are refused from now on, one was let through and a target exited again or it was answered, or the suspicion is forgotten"}
	PathChanged           = Kind{"path", zerolog.WarnLevel, 20, "this router's own path to the targets of a pool is cut, or works again: how many targets were tried, and how many accepted a connection"}
	Overload              = Kind{"overload", zerolog.WarnLevel, 20, "this router has more work than its processor can do and closes a part of its new connections, or accepts all again"}
	RoleChanged           = Kind{"role", zerolog.InfoLevel, 20, "this router began or stopped being a relay of its data centre, or another relay feeds it from now on"}
	PeerCallFailed        = Kind{"peer_call_failed", zerolog.WarnLevel, 50, "a call to another router failed"}
	Panic                 = Kind{"panic", zerolog.ErrorLevel, 10, "the code panicked: where, the request that it ended, if any, and the stack"}
	ServerError           = Kind{"server_error", zerolog.WarnLevel, 20, "what the HTTP server of a port reports of a connection, in its own words"}
	ListenerFailed        = Kind{"listener_failed", zerolog.ErrorLevel, 10, "a listener failed; the process stops"}
	ChangeAccepted        = Kind{"change_accepted", zerolog.InfoLevel, 100, "an operator's change is accepted: its operation and revision"}
	PlannedChangeProgress = Kind{"planned_change", zerolog.InfoLevel, 100, "a planned change progressed: its phase, and what it waits for"}
	PlannedChangeFailed   = Kind{"planned_change_failed", zerolog.WarnLevel, 50, "a planned change could not progress, or the planned changes could not be read"}
	ClaimUnsettled        = Kind{"claim_unsettled", zerolog.ErrorLevel, 100, "the outcome of a request with an idempotency key could not be recorded, or the claim of a refused one could not be removed"}
	BurnIncomplete        = Kind{"burn_incomplete", zerolog.WarnLevel, 10, "a histogram could not be encoded; the burn report lacks it"}
	LinesDropped          = Kind{"left_out", zerolog.WarnLevel, 100, "lines of a kind were dropped, and how many"}
)

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{
		TicketRefused, Placed, AttemptFailed, RetryDenied, NotAdmitted, PrefillWait, PoisonRefused, Forwarded, NotForwarded, Forwarding, StreamRefused, Finished, Failed, Incomplete,
		Started, Stopping, Stopped, Reloaded, ReloadRejected, RequestsEnded, RequestsCut, ReadyChanged, StaleChanged, DesiredState, Evacuation, TargetCold, TargetBrittle, TargetLoadIgnored,
		DesiredStateRejected, TargetsChanged, TargetRejected, TargetRestarted, TargetDeparted, StoreChanged, StoreReadFailed, TableCopyFailed, TableCopyRefused, TableCopied, LinkUse, MemoryShare, RouterListFailed, SuspectStoreFailed,
		PeerUp, PeerDown, PeerUnlisted, PathChanged, Overload, RoleChanged, TargetSuspended, TargetNotice, TargetExited, PoisonChanged, PeerCallFailed, Panic, ServerError, ListenerFailed,
		ChangeAccepted, PlannedChangeProgress, PlannedChangeFailed, ClaimUnsettled, BurnIncomplete, LinesDropped,
	}
}
