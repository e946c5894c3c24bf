package poison

import (
	"slices"
	"time"
)

// refusalPeriods is how long requests that carry a suspect are refused, by its level. After the period
// one router sends one of them as a trial; if its target exits, the next period begins. The first period
// is short, so that a harmless suspect is cleared soon; the last one leaves three trials for a day.
var refusalPeriods = []time.Duration{10 * time.Second, 5 * time.Minute, 12 * time.Hour}

const (
	// probationPeriod is how long after its refusal period a suspect is kept that nobody sends: a day, in which
	// it may come back.
	probationPeriod = 24 * time.Hour
	// clearedRetention is how long a cleared suspect is kept: routers that were cut off may still
	// report the suspicion.
	clearedRetention = time.Minute
	// maxSuspects bounds the suspects. Each has made three targets exit.
	maxSuspects = 256
)

// suspect is a fingerprint whose requests are refused, or were until it was cleared.
type suspect struct {
	// generation rises with each change, so that all routers keep the newest state.
	generation   uint32
	level        int         // see refusalPeriod; 0 if cleared
	refusedUntil time.Time   // end of the refusal period
	expiresAt    time.Time   // when the suspicion is forgotten
	probation    bool        // the refusal period of this level is over
	trialOpen    bool        // this router has sent a trial that is still open
	exits        []uint64    // UIDs of the targets that exited while they executed such requests
	since        time.Time   // when this router learned of the suspicion
	group        Fingerprint // see Suspect
	proved       bool        // see Suspect
	triedAlone   bool        // this router has tried it without other suspects
	soloTrialAt  time.Time   // the next trial without other suspects
	soloTrials   int         // such trials of this router that had neither an answer nor an exit
}

// Suspect is a suspicion as routers report it to each other and as the store keeps it.
type Suspect struct {
	Fingerprint Fingerprint
	Generation  uint32
	Level       int // 0 if cleared
	// Group is the same for suspects under which the same targets had exited when they were suspected: all
	// but one of them may be harmless. It is 0 for a suspect that had no other beside it.
	Group Fingerprint
	// Proved is true if a target has exited under a request that carried no other suspect.
	Proved     bool
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

// startSuspicion makes a fingerprint a suspect.
func (d *Detector) startSuspicion(now time.Time, f Fingerprint, exits []uint64, group Fingerprint) {
	s, ok := d.suspects[f]
	if !ok {
		d.evictSuspect()
		s = &suspect{}
		d.suspects[f] = s
	}
	s.exits, s.since, s.group, s.proved, s.triedAlone = slices.Clone(exits), now, group, false, false
	s.setLevel(now, 1)
	delete(d.evidence, f)
	d.recordChange(f, s, Suspected)
}

func (d *Detector) recordChange(f Fingerprint, s *suspect, kind ChangeKind) {
	c := Change{Fingerprint: f, Kind: kind, Exits: len(s.exits), Level: s.level, Group: s.group}
	if s.level > 0 {
		c.RefusedFor = refusalPeriod(s.level)
	}
	d.changes = append(d.changes, c)
	d.queue.add(queueEntry{kind: entrySuspect, fingerprint: f})
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
		d.changes = append(d.changes, Change{Fingerprint: f, Kind: Forgotten, Exits: len(s.exits), Level: s.level})
	}
}

// recordSuspectExit records another exit under a suspect. It raises the level only after the
// refusal period: requests that were open when the suspicion began don't count, the trial does. alone
// is true if this router knows that the request carried no other suspect.
func (d *Detector) recordSuspectExit(now time.Time, f Fingerprint, s *suspect, target uint64, alone bool) {
	if slices.Contains(s.exits, target) {
		return
	}
	s.exits = append(s.exits, target)
	if excess := len(s.exits) - maxExits; excess > 0 {
		s.exits = slices.Delete(s.exits, 0, excess)
	}
	d.explainExit(target)
	d.queue.add(queueEntry{kind: entryExit, fingerprint: f, target: target, priority: exitsToSuspect})
	s.extendExpiry(now)
	failedAlone := alone && s.triedAlone
	if failedAlone {
		s.proved, s.triedAlone = true, false
	}
	if s.probation || failedAlone {
		s.setLevel(now, s.level+1)
		d.recordChange(f, s, TrialFailed)
	}
}

// extendExpiry keeps a suspect for another probationPeriod, since callers still send such requests.
func (s *suspect) extendExpiry(now time.Time) {
	if expiresAt := now.Add(probationPeriod); expiresAt.After(s.expiresAt) {
		s.expiresAt = expiresAt
	}
}

func (d *Detector) clear(now time.Time, f Fingerprint, s *suspect) {
	s.generation++
	s.level, s.proved, s.triedAlone, s.trialOpen, s.refusedUntil, s.expiresAt = 0, false, false, false, now, now.Add(clearedRetention)
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

// RefusedCount returns the number of suspects whose requests are refused.
func (d *Detector) RefusedCount() int {
	n := 0
	for _, s := range d.suspects {
		if s.level > 0 {
			n++
		}
	}
	return n
}
