package placement

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
)

// Target is one lifetime of a back end as a placement sees it.
type Target struct {
	// UID names the lifetime: all that is believed of a target is kept by it, so that nothing
	// of it is believed of the next one.
	UID        uint64
	ID         string // the name that the target gives itself in its answers
	Address    string
	DataCentre string
	Leaving    bool
	// RemovedAt is when the target left the list; zero while it is listed. It may be used for a while after.
	RemovedAt  time.Time
	RowVersion uint64 // version of its entry
	Slots      int    // 0 if unknown
	// ColdRemaining is how long the target stays cold, as its entry says.
	ColdRemaining time.Duration
	// StartedAtMs is the Unix millisecond at which the lifetime began, 0 if it is not known. A target that
	// starts again keeps its ID, its chats find it by that, and nothing else of it is the same.
	StartedAtMs int64
}

// UID returns the UID of a target's lifetime. All routers compute the same.
func UID(id string, started int64) uint64 {
	return rendezvous.Mix(rendezvous.Hash(id), uint64(started))
}

// Request is one request that needs a target.
type Request struct {
	Pool string
	// Chat is the hash of what the request shares with earlier ones; 0 if nothing.
	Chat uint64
	// PromptPrefixes are the beginnings of the prompt that other requests share, the shortest first;
	// empty if it is not known.
	PromptPrefixes []Prefix
	// PromptTokens are those of the whole prompt, what belongs to the request alone included; 0 if it has none.
	PromptTokens int
	// Objective is the time to the first event that the route aims at; 0 if none.
	Objective time.Duration
	Excluded  []uint64
	// LoadsOutdated: a request of the pool takes less time than the news of what others have open there.
	LoadsOutdated bool
}

// Load is how many requests one router has open at a target.
type Load struct {
	Target uint64
	Open   int
}

// Rule names why a target was chosen, for the log.
type Rule string

// The rules.
const (
	RuleHome        Rule = "home"         // first in the chat's order
	RuleSpill       Rule = "spill"        // a later one: those before it are at the bound or suspended
	RuleFaster      Rule = "faster"       // a later one: those before it would answer late
	RuleLeastLoaded Rule = "least_loaded" // no chat, or every target at the bound
	RuleRandom      Rule = "random"       // no chat, and what is known of the others' requests is out of date
	RuleCold        Rule = "cold"         // a cold one: the others have no place free
	RuleSuspect     Rule = "suspect"      // all others are suspended or have failed the request
	// RuleTicket is that of routers that place by tickets of a pool's owner.
	RuleTicket Rule = "ticket"
)

// Choice is a placement with the figures that decided.
type Choice struct {
	Target Target
	Rule   Rule
	Open   int     // what the fleet had open at the target, this request not counted
	Bound  float64 // what it may hold
	// CacheSource is the address of a target that probably holds the chat's cache while
	// the chosen one does not; empty if there is none.
	CacheSource string

	sequence uint64
}

type target struct {
	Target
	joined time.Time
	served time.Time // when it was seen with a request first; zero if never
	seed   uint64
	own    int
	peers  int // of all other routers, from their last digests
	health health
	pause  pause
	ended  time.Time // when its process was told to have ended; zero if it was not
	// askedEnded is when its port was asked last whether it has.
	askedEnded time.Time

	cold cold
	// evacuated: operators want nothing sent to its data centre.
	evacuated bool

	pool    *pool
	centre  int // index of its data centre in the pool
	waiting waiting
	counts  counts // of this router's requests
	// peerCounts are those of all other routers, from their last digests with outcomes.
	peerCounts counts
	ejection   ejection
	// reportedAt is when another router told last that the target failed it.
	reportedAt time.Time
	detectedAt time.Time // when what others told was looked at last
}

func (t *target) open() int { return t.own + t.peers }

// serves notes that the target has requests.
func (t *target) serves(now time.Time) {
	if t.served.IsZero() {
		t.served = now
	}
}

// servedBefore reports whether the target was seen with requests before a time.
func (t *target) servedBefore(at time.Time) bool { return !t.served.IsZero() && t.served.Before(at) }

// hasRoom reports whether the target has places free as far as the fleet knows.
func (t *target) hasRoom() bool { return t.Slots > 0 && t.open() < t.Slots }
