package poison

import (
	"slices"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
)

const (
	// soloTrialDelay is the time between the suspicion of a group and the first trial of one of it alone.
	// The requests that were open when it began have ended by then.
	soloTrialDelay = time.Second
	// soloTrialStagger is the time after which one more router may try a suspect alone. The home router of
	// a suspect in a large fleet may seldom get such a request.
	soloTrialStagger = 2 * time.Second
	// maxSoloTrialShift bounds the delay between trials without an outcome, which doubles each time.
	maxSoloTrialShift = 10
)

// Decision says whether a request is sent.
type Decision struct {
	Refused    bool
	RetryAfter time.Duration // when the caller should retry, if refused
	// Trial is true if the request is the trial of the suspects that it carries. EndTrial must be called
	// when it is over.
	Trial bool
	// Suspect is one of the suspects that the request carries; 0 if it carries none. Exits is the number
	// of targets that exited under it, as far as this router knows, Age how long it has known of that.
	Suspect Fingerprint
	Exits   int
	Age     time.Duration
}

// Admit decides whether a request is sent. After their refusal periods what carries suspects is sent as
// a trial, one at a time and only by one home router: if each router tried on its own, each would make a
// target exit. A request that carries one suspect of a group alone tells it apart from the others, so it is
// tried sooner. rank returns how many routers come before this one in the order of a fingerprint; it is
// called only when a trial is due.
func (d *Detector) Admit(now time.Time, c Contents, rank func(Fingerprint) int) Decision {
	suspects := d.suspectsIn(c)
	if len(suspects) == 0 {
		return Decision{}
	}
	first := slices.Min(suspects)
	decision := Decision{Refused: true, RetryAfter: trialRetryAfter, Suspect: first, Exits: len(d.suspects[first].exits), Age: now.Sub(d.suspects[first].since)}
	isTrialOpen := false
	remaining := time.Duration(0)
	for _, f := range suspects {
		s := d.suspects[f]
		s.extendExpiry(now)
		isTrialOpen = isTrialOpen || s.trialOpen
		remaining = max(remaining, s.refusedUntil.Sub(now))
	}
	mayTryAlone := len(suspects) == 1 && d.isOneOfGroup(first)
	switch {
	case isTrialOpen:
	case mayTryAlone:
		if d.suspects[first].isSoloTrialDue(now, rank(first)) {
			d.suspects[first].triedAlone = true
			decision.Refused, decision.Trial = false, true
		}
	case remaining > 0:
		decision.RetryAfter = remaining
	case rank(first) == 0:
		decision.Refused, decision.Trial = false, true
	}
	for _, f := range suspects {
		d.suspects[f].trialOpen = d.suspects[f].trialOpen || decision.Trial
	}
	return decision
}

// isOneOfGroup reports whether a suspect may be harmless, as it was suspected together with others that
// still are suspects.
func (d *Detector) isOneOfGroup(f Fingerprint) bool {
	s := d.suspects[f]
	if s.group == 0 || s.proved {
		return false
	}
	for g, o := range d.suspects {
		if g != f && o.group == s.group && o.level > 0 {
			return true
		}
	}
	return false
}

// isSoloTrialDue reports whether the router with a rank may try one suspect of a group alone.
func (s *suspect) isSoloTrialDue(now time.Time, rank int) bool {
	due := s.since.Add(soloTrialDelay + time.Duration(rank)*soloTrialStagger)
	return !now.Before(due) && !now.Before(s.soloTrialAt)
}

// trialRetryAfter is when callers should retry while a trial is open here, or may be at another
// router.
const trialRetryAfter = time.Second

// EndTrial records that a trial is over. If the request was neither answered nor made its target exit,
// the first refusal period begins again before the next trial.
func (d *Detector) EndTrial(now time.Time, c Contents) {
	for _, f := range c {
		s := d.suspects[f]
		if s == nil || !s.trialOpen {
			continue
		}
		s.trialOpen = false
		if s.group != 0 {
			s.soloTrialAt = now.Add(soloTrialDelay << min(s.soloTrials, maxSoloTrialShift))
			s.soloTrials++
		}
		if s.level > 0 && !now.Before(s.refusedUntil) {
			s.refusedUntil = now.Add(refusalPeriods[0])
		}
	}
}

// Rank returns how many of the other routers come before the router self in the rendezvous order of a
// fingerprint, which all routers compute alike. The home router, with rank 0, sends a suspect's trials and
// alone writes it to the store.
func (f Fingerprint) Rank(self string, others []string) int {
	own, n := rendezvous.Mix(uint64(f), rendezvous.Hash(self)), 0
	for _, o := range others {
		if rendezvous.Mix(uint64(f), rendezvous.Hash(o)) > own {
			n++
		}
	}
	return n
}
