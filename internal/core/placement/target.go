package placement

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/lineage"
	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
	"github.com/hemlockdyke/hemlockdyke/internal/core/targetload"
	"github.com/hemlockdyke/hemlockdyke/internal/core/warmup"
)

// Target is one lifetime of a back end, with the properties that placement needs.
type Target struct {
	// UID identifies the lifetime. All state about a target is kept by UID, so none of it carries
	// over to the next lifetime.
	UID        uint64
	ID         string // the name by which the target identifies itself in its answers
	Address    string
	DataCentre string
	Leaving    bool
	// RemovedAt is when the target was removed from the target list; zero while it is listed. It
	// may still be used for a while, see TargetSet.
	RemovedAt  time.Time
	RowVersion uint64 // version of its entry
	Slots      int    // how many requests it executes at once; 0 if unknown
	// ColdRemaining is how long the target stays cold, as its entry says.
	ColdRemaining time.Duration
	// StartedAtMs is when the lifetime began, in Unix milliseconds; 0 if unknown. A target that
	// starts again keeps its ID, by which its chats find it, and no other state.
	StartedAtMs int64
	// SoftwareVersion is the version of the software that the lifetime runs.
	SoftwareVersion string
}

// UID returns the UID of a target's lifetime, given its ID, its start in Unix milliseconds and its
// software version. All routers compute the same value. The version tells lifetimes apart whose start
// is unknown.
func UID(id string, startedAtMs int64, softwareVersion string) uint64 {
	return rendezvous.Mix(rendezvous.Mix(rendezvous.Hash(id), uint64(startedAtMs)), rendezvous.Hash(softwareVersion))
}

// Request describes a request that needs a target.
type Request struct {
	Pool string
	// ChatHash is the hash of the longest prompt prefix that other requests may share; 0 if there
	// is none. It identifies the chat.
	ChatHash uint64
	// PromptPrefixes are the prefixes of the prompt that other requests may share, shortest first;
	// empty if unknown.
	PromptPrefixes []Prefix
	// PromptTokens is the number of tokens in the whole prompt, including those of this request
	// alone; 0 if it has none.
	PromptTokens int
	// MemoryTokens is the estimated number of tokens that the request will hold in the target's memory; 0
	// if unknown.
	MemoryTokens int
	// Objective is the route's objective for the time to the answer, or to the first event of a
	// stream; 0 if it has none.
	Objective time.Duration
	Excluded  []uint64 // UIDs of targets that must not be chosen
	// PreferredTarget is chosen if it is usable and within the load bound; 0 if there is none.
	PreferredTarget uint64
	// Software is the only version whose targets may be chosen; 0 if all may.
	Software lineage.Software
	// limited is set if targets above the load bound must not be chosen, see Balancer.chooseByVersion.
	limited bool
	// LoadsOutdated is true if requests of the pool take less time than the load reports of other
	// routers, so that the reported loads are of no use.
	LoadsOutdated bool
}

// Load is the number of requests that one router has open at a target.
type Load struct {
	Target uint64
	Open   int
	// Silent is how many of them have waited so long for their first event that the target may no
	// longer hold them: their answers may be lost.
	Silent int
	// The following are reported for pools that are scheduled by work only, see
	// Balancer.IsScheduledByWork. Unread is how many prompt tokens the target has yet to read for the open
	// requests without a first event, and Memory how many tokens the open ones are estimated to hold in its
	// memory.
	Unread, Memory int
	// Pace is the target's newest pace, see targetload.Report; 0 if unknown.
	Pace float64
}

// Rule names why a target was chosen, for the log.
type Rule string

const (
	RuleHome               Rule = "home"         // first in the chat's order
	RuleSpill              Rule = "spill"        // later: the ones before are at the load bound or skipped
	RuleFaster             Rule = "faster"       // later: the ones before would answer late
	RuleLeastLoaded        Rule = "least_loaded" // no chat, or no target below the load bound
	RuleRandom             Rule = "random"       // like least_loaded, but the reported loads are outdated
	RuleCold               Rule = "cold"         // a cold one: the others have no free slot
	RuleSuspendedOrEjected Rule = "suspect"      // only suspended or ejected ones are left; or an ejected one, as the others are at the load bound
	RuleReader             Rule = "reader"       // the request waited for it to read the prompt's beginning
	// RuleTicket marks requests placed by a ticket from the pool's owner, not by a Balancer.
	RuleTicket Rule = "ticket"
)

// Choice is a placement, with the figures that it was based on.
type Choice struct {
	Target Target
	Rule   Rule
	Open   int     // the fleet's open requests at the target, without this one
	Bound  float64 // the load bound of the target
	// HeldOpen is Open, raised by the target's own report if that is newer and larger; it is Open unless the
	// pool is scheduled by work.
	HeldOpen int
	// CacheSource is the address of a target that probably holds cached prefixes of the prompt that
	// the chosen one lacks; empty if there is none.
	CacheSource string

	sequence     uint64
	memoryTokens int // counted in ownMemory of the target
}

type target struct {
	Target
	// joinedAt is when it was first listed; zero if that was in the first list of this router.
	joinedAt time.Time
	usedAt   time.Time // when a request was first seen at it; zero if never
	seed     uint64    // hash of its ID, for the chats' orders
	software lineage.Software
	ownOpen  int
	peerOpen int // reported by all other routers
	// ownSilent and peerSilent are how many of these are silent, see Load.
	ownSilent  int
	peerSilent int
	// ownUnread and peerUnread, ownMemory and peerMemory are the sums of Load.Unread and Load.Memory. They
	// and the paces stand here, as a load report changes them together with the counts above: apart, each
	// would cost a cache miss per target.
	ownUnread, peerUnread int
	ownMemory, peerMemory int
	peerPaces             peerPaces
	reported              targetload.State // by the target itself
	health                health
	pause                 pause
	exitedAt              time.Time // when its process was last reported to have exited; zero if it was not
	// probedAt is when its port was last probed, see TakeExitedTargetsToProbe.
	probedAt  time.Time
	witnessAt time.Time // when it was last a witness, see TakeWitnesses
	sending   int       // attempts that this router sends itself, see AcquireSend
	// ownQuota is this router's quota among the routers of quotaFleet, for quotaSlots slots.
	ownQuota, quotaSlots int
	quotaFleet           *warmup.Fleet

	cold coldState
	// evacuated is true if operators have ordered the evacuation of its data centre.
	evacuated bool

	pool            *pool
	poolIndex       int  // index into pool.targets; notListed if it is not among them
	dataCentreIndex int  // index into pool.dataCentres
	countedActive   bool // it counts as active there
	pending         pendingRequests
	counts          outcomeCounts // by this router's requests
	// peerCounts are the sums reported by all other routers.
	peerCounts outcomeCounts
	ejection   ejection
	// failuresReportedAt is when another router last reported failures of the target.
	failuresReportedAt time.Time
	outlierCheckedAt   time.Time // when a report last caused an outlier check
}

// notListed is the poolIndex of a target that was removed from its pool.
const notListed = -1

func (t *target) isListed() bool { return t.poolIndex != notListed }

// addPeerLoad adds a load that a source reported at a time, or removes it if sign is -1.
func (t *target) addPeerLoad(source uint32, receivedAt time.Time, l *Load, sign int) {
	t.peerOpen += sign * l.Open
	t.peerSilent += sign * l.Silent
	if l.Unread|l.Memory != 0 {
		t.peerUnread += sign * l.Unread
		t.peerMemory += sign * l.Memory
	}
	switch {
	case l.Pace == 0:
	case sign > 0:
		t.peerPaces.add(source, l.Pace, receivedAt)
	default:
		t.peerPaces.remove(source)
	}
}

func (t *target) totalOpen() int { return t.ownOpen + t.peerOpen }

// heldOpen returns how many requests the target holds for certain: the open ones that are not
// silent.
func (t *target) heldOpen() int { return max(t.totalOpen()-t.ownSilent-t.peerSilent, 0) }

// recordServing records that the target has requests.
func (t *target) recordServing(now time.Time) {
	if t.usedAt.IsZero() {
		t.usedAt = now
	}
}

// servedBefore reports whether the target was seen with requests before a time.
func (t *target) servedBefore(at time.Time) bool { return !t.usedAt.IsZero() && t.usedAt.Before(at) }

// hasRoom reports whether the target stays within the load bound with one more request.
func (t *target) hasRoom(bound float64) bool { return float64(t.totalOpen()+1) <= bound }

// hasFreeSlot reports whether the target has free slots, as far as the fleet knows.
func (t *target) hasFreeSlot() bool { return t.Slots > 0 && t.totalOpen() < t.Slots }
