// Package eventlog writes the JSON lines from which a failure is explained afterwards:
// one for each decision that touches a request or changes what a router believes.
// Volume is bounded for each kind and second, and a writer that stalls blocks nobody.
package eventlog

import "github.com/rs/zerolog"

// Kind is one kind of line. docs/LOGS.md lists all of them.
type Kind struct {
	Name  string
	Level zerolog.Level
	// MaxPerSecond bounds the lines of one second. What happens to every request has more
	// room than a router carries today; what is left out is counted.
	MaxPerSecond int
	// Meaning says what happened, for docs/LOGS.md.
	Meaning string
}

// The kinds of lines that touch a request. Failures and refusals have their own kinds,
// so that a flood of good lines never takes their room.
var (
	TicketRefused = Kind{"ticket_refused", zerolog.WarnLevel, 400, "the owner of the pool granted no ticket: the code, how long it took, and when to come back"}
	Placed        = Kind{"placed", zerolog.InfoLevel, 400, "an attempt goes to a target: by which rule, what the fleet had open there, how old that view is"}
	AttemptFailed = Kind{"attempt_failed", zerolog.WarnLevel, 400, "an attempt ended without a good answer, and why"}
	RetryDenied   = Kind{"repeat_denied", zerolog.WarnLevel, 200, "the shared budget of repeats has no room"}
	NotAdmitted   = Kind{"not_admitted", zerolog.WarnLevel, 400, "refused before it was sent: the wait is too long for its time, objective and rank"}
	Finished      = Kind{"finished", zerolog.InfoLevel, 400, "the caller has a target's answer"}
	PoisonRefused = Kind{"poison_refused", zerolog.WarnLevel, 200, "refused before it was sent: targets have ended under this request"}
	Failed        = Kind{"failed", zerolog.WarnLevel, 400, "the caller got a result code of the router, a cut answer, or left"}
)

// The kinds of lines that change what a router believes.
var (
	Started               = Kind{"started", zerolog.InfoLevel, 10, "the process serves"}
	Stopping              = Kind{"stopping", zerolog.InfoLevel, 10, "a graceful shutdown begins"}
	Stopped               = Kind{"stopped", zerolog.InfoLevel, 10, "the process ends"}
	Reloaded              = Kind{"reloaded", zerolog.InfoLevel, 10, "the settings file was read again"}
	ReloadRejected        = Kind{"reload_rejected", zerolog.ErrorLevel, 10, "the settings file is bad; the last good settings stay"}
	RequestsCut           = Kind{"requests_cut", zerolog.ErrorLevel, 10, "the grace time ended with requests open"}
	ReadyChanged          = Kind{"ready", zerolog.InfoLevel, 20, "the answer to the balancer's checks changed"}
	Evacuation            = Kind{"evacuation", zerolog.InfoLevel, 20, "an operator's order to evacuate a data centre is in force, or was taken back"}
	TargetCold            = Kind{"target_cold", zerolog.InfoLevel, 50, "a target that was taken for warm says that it is cold"}
	StaleChanged          = Kind{"stale", zerolog.WarnLevel, 20, "this router serves nobody, as others have had a newer desired state for too long, or serves again"}
	DesiredState          = Kind{"desired_state", zerolog.InfoLevel, 50, "a desired state is in force: its version, the row's, and who it came from"}
	DesiredStateRejected  = Kind{"desired_state_rejected", zerolog.ErrorLevel, 20, "a desired state can't be decoded; the last good one stays in force"}
	TargetsChanged        = Kind{"targets", zerolog.InfoLevel, 50, "a list of targets is in force"}
	TargetRejected        = Kind{"target_rejected", zerolog.ErrorLevel, 20, "a version of an entry of the list can't be trusted and names no target; the others stay"}
	TargetRestarted       = Kind{"target_restarted", zerolog.WarnLevel, 50, "a target has started again under its id: when its earlier lifetime began, and how many attempts ended with that"}
	TargetDeparted        = Kind{"target_left", zerolog.InfoLevel, 50, "another router tells that a target leaves or is gone, before the list that says so is here; `said`: by the target's own answer, `ended`: its process has ended"}
	StoreChanged          = Kind{"store", zerolog.InfoLevel, 50, "this router began or ceased to read the store, or the store was lost or regained"}
	StoreReadFailed       = Kind{"store_read_failed", zerolog.WarnLevel, 50, "a call to the store failed"}
	TableCopyFailed       = Kind{"copy_failed", zerolog.WarnLevel, 50, "another router did not answer a copy request"}
	TableCopyRefused      = Kind{"copy_refused", zerolog.InfoLevel, 50, "another router's link has no room for a copy now; one of the others that have it is asked"}
	TableCopied           = Kind{"copied", zerolog.InfoLevel, 50, "another router answered a copy request: what of which table, how large, and how long it took"}
	LinkUse               = Kind{"link", zerolog.InfoLevel, 1, "what the routers' own messages took of this VM's link since the last such line, and whom this router hears"}
	RouterListFailed      = Kind{"list_failed", zerolog.WarnLevel, 20, "the store's list of routers could not be read or written"}
	SuspectStoreFailed    = Kind{"keep_failed", zerolog.WarnLevel, 20, "the suspected requests that the store keeps could not be read or written"}
	PeerUp                = Kind{"peer_up", zerolog.InfoLevel, 100, "another router was heard for the first time, or again"}
	PeerDown              = Kind{"peer_down", zerolog.WarnLevel, 100, "another router has been silent for too long; its requests no longer count"}
	PeerUnlisted          = Kind{"peer_unlisted", zerolog.InfoLevel, 20, "a router of which there was no sign for long was taken out of the store's list"}
	TargetSuspended       = Kind{"target_suspended", zerolog.WarnLevel, 100, "a target gets no new work for a while, and what it did; `outlier`: by what all routers saw"}
	TargetNotice          = Kind{"target_said", zerolog.InfoLevel, 50, "a target's answer says that it leaves, or for how long it wants nothing from this router"}
	TargetExited          = Kind{"target_ended", zerolog.WarnLevel, 50, "a target's connections broke and its port refuses: how many requests of this router it ended under"}
	PoisonChanged         = Kind{"poison", zerolog.WarnLevel, 50, "a request under which targets end is refused from now on, was let through and ended one again, was answered, or is forgotten"}
	RoleChanged           = Kind{"role", zerolog.InfoLevel, 20, "this router began or ceased to be a relay of its data centre, or another relay feeds it from now on"}
	PeerCallFailed        = Kind{"peer_call_failed", zerolog.WarnLevel, 50, "a call to another router failed"}
	ListenerFailed        = Kind{"listener_failed", zerolog.ErrorLevel, 10, "a listener broke; the process stops"}
	ChangeAccepted        = Kind{"change_accepted", zerolog.InfoLevel, 100, "an operator's change is accepted: its operation and revision"}
	PlannedChangeProgress = Kind{"planned_change", zerolog.InfoLevel, 100, "a planned change went on: its phase, and what it waits for"}
	PlannedChangeFailed   = Kind{"planned_change_failed", zerolog.WarnLevel, 50, "a planned change could not go on, or none could be read"}
	ClaimUnsettled        = Kind{"claim_unsettled", zerolog.ErrorLevel, 100, "the outcome of a keyed request could not be recorded, or the row of a refused one not removed"}
	BurnIncomplete        = Kind{"burn_incomplete", zerolog.WarnLevel, 10, "a histogram could not be encoded; the burn report lacks it"}
	LinesDropped          = Kind{"left_out", zerolog.WarnLevel, 100, "lines of a kind that were not written, and how many"}
)

// Kinds lists every kind.
func Kinds() []Kind {
	return []Kind{
		TicketRefused, Placed, AttemptFailed, RetryDenied, NotAdmitted, PoisonRefused, Finished, Failed,
		Started, Stopping, Stopped, Reloaded, ReloadRejected, RequestsCut, ReadyChanged, StaleChanged, DesiredState, Evacuation, TargetCold,
		DesiredStateRejected, TargetsChanged, TargetRejected, TargetRestarted, TargetDeparted, StoreChanged, StoreReadFailed, TableCopyFailed, TableCopyRefused, TableCopied, LinkUse, RouterListFailed, SuspectStoreFailed,
		PeerUp, PeerDown, PeerUnlisted, RoleChanged, TargetSuspended, TargetNotice, TargetExited, PoisonChanged, PeerCallFailed, ListenerFailed,
		ChangeAccepted, PlannedChangeProgress, PlannedChangeFailed, ClaimUnsettled, BurnIncomplete, LinesDropped,
	}
}
