package poison

import (
	"slices"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
)

// refusalPeriods is how long a suspect is refused, by its level. After the period one router sends
// one request as a trial; if its target exits, the next period begins. The first period is short,
// so that a harmless request that became a suspect is cleared soon.
var refusalPeriods = []time.Duration{10 * time.Second, 5 * time.Minute, time.Hour}

const (
	// probationPeriod is how long after its refusal period a suspect is kept that nobody sends.
	probationPeriod = 10 * time.Minute
	// clearedRetention is how long a cleared suspect is kept: routers that were cut off may still
	// report the suspicion.
	clearedRetention = time.Minute
	// maxSuspects bounds the suspects. Each has made three targets exit.
	maxSuspects = 256
)

// suspect is a request that is refused, or was refused until it was cleared.
type suspect struct {
	// generation rises with each change, so that all routers keep the newest state.
	generation   uint32
	level        int       // see refusalPeriod; 0 if cleared
	refusedUntil time.Time // end of the refusal period
	expiresAt    time.Time // when the suspicion is forgotten
	probation    bool      // the refusal period of this level is over
	trialOpen    bool      // this router has sent a trial that is still open
	exits        []uint64  // UIDs of the targets that exited while they executed the request
}

// Suspect is a suspicion as routers report it to each other and as the store keeps it.
type Suspect struct {
	Request    Fingerprint
	Generation uint32
	Level      int           // 0 if cleared
	RefusedFor time.Duration // remaining refusal period
	ExpiresIn  time.Duration // remaining time until the suspicion is forgotten
}

func refusalPeriod(level int) time.Duration { return refusalPeriods[min(level, len(refusalPeriods))-1] }

// setLevel sets the level and starts its refusal period.
func (s *suspect) setLevel(now time.Time, level int) {
	s.generation++
	s.level, s.probation = level, false
	s.refusedUntil = now.Add(refusalPeriod(level))
	s.expiresAt = s.refusedUntil.Add(probationPeriod)
}

// startSuspicion makes a request a suspect.
func (d *Detector) startSuspicion(now time.Time, f Fingerprint, exits []uint64) {
	s, ok := d.suspects[f]
	if !ok {
		d.evictSuspect()
		s = &suspect{}
		d.suspects[f] = s
	}
	s.exits = slices.Clone(exits)
	s.setLevel(now, 1)
	delete(d.evidence, f)
	d.recordChange(f, s, Suspected)
}

func (d *Detector) recordChange(f Fingerprint, s *suspect, kind ChangeKind) {
	c := Change{Request: f, Kind: kind, Exits: len(s.exits), Level: s.level}
	if s.level > 0 {
		c.RefusedFor = refusalPeriod(s.level)
	}
	d.changes = append(d.changes, c)
	d.queue.add(queueEntry{kind: entrySuspect, request: f})
}

// evictSuspect drops the suspect that would expire first if there are too many.
func (d *Detector) evictSuspect() {
	if len(d.suspects) < maxSuspects {
		return
	}
	var first Fingerprint
	for f, s := range d.suspects {
		if current, ok := d.suspects[first]; !ok || s.expiresAt.Before(current.expiresAt) {
			first = f
		}
	}
	d.forget(first)
}

func (d *Detector) forget(f Fingerprint) {
	s := d.suspects[f]
	delete(d.suspects, f)
	if s.level > 0 {
		d.changes = append(d.changes, Change{Request: f, Kind: Forgotten, Exits: len(s.exits), Level: s.level})
	}
}

// recordSuspectExit records another exit under a suspect. It raises the level only after the
// refusal period: requests that were open when the suspicion began don't count, the trial does.
func (d *Detector) recordSuspectExit(now time.Time, f Fingerprint, s *suspect, target uint64) {
	if slices.Contains(s.exits, target) {
		return
	}
	s.exits = append(s.exits, target)
	if excess := len(s.exits) - maxExits; excess > 0 {
		s.exits = slices.Delete(s.exits, 0, excess)
	}
	d.explainExit(target)
	d.queue.add(queueEntry{kind: entryExit, request: f, target: target, priority: exitsToSuspect})
	s.extendExpiry(now)
	if s.probation {
		s.setLevel(now, s.level+1)
		d.recordChange(f, s, TrialFailed)
	}
}

// extendExpiry keeps a suspect for another probationPeriod, since callers still send it.
func (s *suspect) extendExpiry(now time.Time) {
	if expiresAt := now.Add(probationPeriod); expiresAt.After(s.expiresAt) {
		s.expiresAt = expiresAt
	}
}

func (d *Detector) clear(now time.Time, f Fingerprint, s *suspect) {
	s.generation++
	s.level, s.trialOpen, s.refusedUntil, s.expiresAt = 0, false, now, now.Add(clearedRetention)
	d.recordChange(f, s, Cleared)
}

func (d *Detector) expireSuspects(now time.Time) {
	for f, s := range d.suspects {
		switch {
		case !now.Before(s.expiresAt):
			d.forget(f)
		case !now.Before(s.refusedUntil):
			s.probation = true
		}
	}
}

// Decision says whether a request is sent.
type Decision struct {
	Refused    bool
	RetryAfter time.Duration // when the caller should retry, if refused
	// Trial is true if the request is the trial of a suspect. EndTrial must be called when it is
	// over.
	Trial bool
}

// Admit decides whether a request is sent. After its refusal period a suspect is sent as a trial,
// one at a time and only by its home router: if each router tried on its own, each would make a
// target exit. isHome is called only when a trial is due.
func (d *Detector) Admit(now time.Time, f Fingerprint, isHome func() bool) Decision {
	s := d.suspects[f]
	if s == nil || s.level == 0 {
		return Decision{}
	}
	s.extendExpiry(now)
	remaining := s.refusedUntil.Sub(now)
	switch {
	case remaining > 0:
		return Decision{Refused: true, RetryAfter: remaining}
	case s.trialOpen || !isHome():
		return Decision{Refused: true, RetryAfter: trialRetryAfter}
	}
	s.trialOpen = true
	return Decision{Trial: true}
}

// trialRetryAfter is when callers should retry while a trial is open here, or may be at another
// router.
const trialRetryAfter = time.Second

// EndTrial records that the trial is over. If it was neither answered nor made its target exit, the
// first refusal period begins again before the next trial.
func (d *Detector) EndTrial(now time.Time, f Fingerprint) {
	s := d.suspects[f]
	if s == nil || !s.trialOpen {
		return
	}
	s.trialOpen = false
	if s.level > 0 && !now.Before(s.refusedUntil) {
		s.refusedUntil = now.Add(refusalPeriods[0])
	}
}

// RefusedCount returns the number of requests that are refused.
func (d *Detector) RefusedCount() int {
	n := 0
	for _, s := range d.suspects {
		if s.level > 0 {
			n++
		}
	}
	return n
}

// IsHomeRouter reports whether the router self is the home router of a suspect, which alone sends
// its trials and writes it to the store: the first in rendezvous order, which all routers compute
// alike.
func (f Fingerprint) IsHomeRouter(self string, others []string) bool {
	own := rendezvous.Mix(uint64(f), rendezvous.Hash(self))
	return !slices.ContainsFunc(others, func(o string) bool {
		return rendezvous.Mix(uint64(f), rendezvous.Hash(o)) > own
	})
}
