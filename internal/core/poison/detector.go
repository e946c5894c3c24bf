package poison

import (
	"cmp"
	"slices"
	"time"
)

// A fingerprint becomes a suspect once exitsToSuspect targets of the whole fleet have exited while they
// executed requests that carry it and no target has answered one in between. What other requests on
// these targets carry is nearly always answered by another target, which clears it. An exit that a
// suspect explains does not count against anything else.
const (
	exitsToSuspect = 3
	// objectionPeriod is the time between the last of these exits and the suspicion. A router that
	// has seen an answer can report it until then. A report reaches the whole fleet
	// within some tenths of a second.
	objectionPeriod = 250 * time.Millisecond
	// exitsToConfine is the number of exits from which on all routers send what carries a fingerprint to
	// the same target: a second one rarely counts against something harmless.
	exitsToConfine = 2
	// evidenceMaxAge bounds the time between two exits that count together, maxEvidence the number
	// of fingerprints with evidence.
	evidenceMaxAge = 10 * time.Minute
	maxEvidence    = 4096
	// evictedShare is the inverse of the share of the evidence that is dropped when there is too much.
	evictedShare = 8
	// maxExits bounds the exited targets that are stored for one suspect.
	maxExits = 32
)

// evidence lists the exits that count against a fingerprint that is not a suspect.
type evidence struct {
	exits      []uint64  // UIDs of the targets that exited while they executed requests that carry it
	lastExitAt time.Time // time of the newest exit
	dueAt      time.Time // when it becomes a suspect; zero while there are too few exits
}

// Change is a change of a suspicion, for the operator's log.
type Change struct {
	Fingerprint Fingerprint
	Kind        ChangeKind
	Exits       int           // number of targets that exited while they executed such requests
	RefusedFor  time.Duration // how long such requests are refused from now on
	Level       int           // 1 plus the number of trials in which a target exited
	Group       Fingerprint   // see Suspect
}

// ChangeKind is what happened to a suspicion. Its value is the field change of log lines.
type ChangeKind string

// The kinds of change.
const (
	Suspected   ChangeKind = "suspected" // such requests are refused from now on
	TrialFailed ChangeKind = "again"     // one was tried, and its target exited
	Cleared     ChangeKind = "cleared"   // one was answered
	Forgotten   ChangeKind = "forgotten" // the suspicion expired, as nobody sent such a request
)

// Detector finds out what makes targets exit. It is not safe for concurrent use.
type Detector struct {
	answers  answerHistory
	evidence map[Fingerprint]*evidence
	suspects map[Fingerprint]*suspect
	queue    reportQueue
	changes  []Change
}

// NewDetector returns a Detector without suspects.
func NewDetector() *Detector {
	return &Detector{evidence: make(map[Fingerprint]*evidence), suspects: make(map[Fingerprint]*suspect)}
}

// RecordAnswer records that a target answered a request and went on running. That clears all that the
// request carries.
func (d *Detector) RecordAnswer(now time.Time, c Contents) {
	for _, f := range c {
		d.recordAnswer(now, f)
	}
}

func (d *Detector) recordAnswer(now time.Time, f Fingerprint) {
	s := d.suspects[f]
	_, hasEvidence := d.evidence[f]
	d.answers.add(now, f)
	delete(d.evidence, f)
	if s != nil && s.level > 0 {
		d.clear(now, f, s)
	}
	if hasEvidence {
		d.queue.add(queueEntry{kind: entryAnswer, fingerprint: f})
	}
}

// RecordExit records that this router saw a target exit while requests were open there. Suspects among
// what they carry come first: they explain the exit.
func (d *Detector) RecordExit(now time.Time, target uint64, requests []Contents) {
	for _, c := range requests {
		suspects := d.suspectsIn(c)
		for _, f := range suspects {
			d.recordSuspectExit(now, f, d.suspects[f], target, len(suspects) == 1)
		}
	}
	for _, c := range requests {
		for _, f := range c {
			if !d.isSuspect(f) {
				d.accuse(now, f, target, false)
			}
		}
	}
}

// receiveExit applies an exit that another router reported.
func (d *Detector) receiveExit(now time.Time, e Exit) {
	if d.isSuspect(e.Fingerprint) {
		d.recordSuspectExit(now, e.Fingerprint, d.suspects[e.Fingerprint], e.Target, false)
		return
	}
	d.accuse(now, e.Fingerprint, e.Target, true)
}

func (d *Detector) isSuspect(f Fingerprint) bool {
	s := d.suspects[f]
	return s != nil && s.level > 0
}

// suspectsIn returns the suspects that a request carries.
func (d *Detector) suspectsIn(c Contents) (out []Fingerprint) {
	if len(d.suspects) == 0 {
		return nil
	}
	for _, f := range c {
		if d.isSuspect(f) {
			out = append(out, f)
		}
	}
	return out
}

// accuse counts a target's exit against a fingerprint that is not a suspect.
func (d *Detector) accuse(now time.Time, f Fingerprint, target uint64, reported bool) {
	switch {
	case d.answers.has(now, f):
		if reported { // the router that reported the exit has not seen the answer
			d.queue.add(queueEntry{kind: entryAnswer, fingerprint: f})
		}
		return
	case d.isExplained(target):
		return
	}
	e, ok := d.evidence[f]
	if !ok {
		d.evictEvidence()
		e = &evidence{}
		d.evidence[f] = e
	}
	if slices.Contains(e.exits, target) {
		return
	}
	if !e.lastExitAt.IsZero() && now.Sub(e.lastExitAt) > evidenceMaxAge {
		e.exits = nil
	}
	e.exits, e.lastExitAt = append(e.exits, target), now
	if len(e.exits) >= exitsToSuspect && e.dueAt.IsZero() {
		e.dueAt = now.Add(objectionPeriod)
	}
	d.queue.add(queueEntry{kind: entryExit, fingerprint: f, target: target, priority: len(e.exits)})
}

// Knows reports whether a fingerprint is a suspect, or exits count against it.
func (d *Detector) Knows(f Fingerprint) bool {
	return d.suspects[f] != nil || d.evidence[f] != nil
}

// HasEvidence reports whether exits count against anything that is not a suspect.
func (d *Detector) HasEvidence() bool { return len(d.evidence) > 0 }

// Confine returns the part of a request's prompt with the most exits if all routers have to send the
// requests that carry it to the same target, as it may be the cause; 0 otherwise. One target at a time
// exits then, and what it executes is of the same kind.
func (d *Detector) Confine(c Contents) Fingerprint {
	var most Fingerprint
	exits := exitsToConfine - 1
	for _, f := range c[min(1, len(c)):] {
		if e := d.evidence[f]; e != nil && (len(e.exits) > exits || (most != 0 && len(e.exits) == exits && f < most)) {
			most, exits = f, len(e.exits)
		}
	}
	return most
}

// isExplained reports whether a target exited while it executed a request that carries a suspect.
func (d *Detector) isExplained(target uint64) bool {
	for _, s := range d.suspects {
		if s.level > 0 && slices.Contains(s.exits, target) {
			return true
		}
	}
	return false
}

// evictEvidence drops the weakest evidence if there is too much: that of the fingerprints with the fewest
// exits, those whose last exit is the oldest first. So a flood of new ones with one exit each can't evict
// one with two. It drops a share at a time, as it looks at all.
func (d *Detector) evictEvidence() {
	if len(d.evidence) < maxEvidence {
		return
	}
	all := make([]Fingerprint, 0, len(d.evidence))
	for f := range d.evidence {
		all = append(all, f)
	}
	slices.SortFunc(all, func(f, g Fingerprint) int {
		a, b := d.evidence[f], d.evidence[g]
		return cmp.Or(cmp.Compare(len(a.exits), len(b.exits)), a.lastExitAt.Compare(b.lastExitAt), cmp.Compare(f, g))
	})
	for _, f := range all[:maxEvidence/evictedShare] {
		delete(d.evidence, f)
	}
}

// Tick starts and expires suspicions that are due, and returns the changes since the last call.
func (d *Detector) Tick(now time.Time) []Change {
	d.startDueSuspicions(now)
	for f, e := range d.evidence {
		if now.Sub(e.lastExitAt) > evidenceMaxAge {
			delete(d.evidence, f)
		}
	}
	d.expireSuspects(now)
	out := d.changes
	d.changes = nil
	return out
}

// startDueSuspicions turns fingerprints whose objection period has passed into suspects, those with the
// most exits first, so that their exits do not count against others. Those with the same exited targets
// can't be distinguished: all of them become suspects, until requests that carry one of them alone tell
// them apart, see Suspect.Group.
func (d *Detector) startDueSuspicions(now time.Time) {
	for {
		var worst *evidence
		for _, e := range d.evidence {
			if e.isDue(now) && (worst == nil || len(e.exits) > len(worst.exits)) {
				worst = e
			}
		}
		if worst == nil {
			return
		}
		var indistinguishable []Fingerprint
		for f, e := range d.evidence {
			if e.isDue(now) && sameTargets(e.exits, worst.exits) {
				indistinguishable = append(indistinguishable, f)
			}
		}
		slices.Sort(indistinguishable)
		group := Fingerprint(0)
		if len(indistinguishable) > 1 {
			group = indistinguishable[0]
		}
		for _, f := range indistinguishable {
			d.startSuspicion(now, f, worst.exits, group)
		}
		for _, target := range worst.exits {
			d.explainExit(target)
		}
	}
}

func (e *evidence) isDue(now time.Time) bool { return !e.dueAt.IsZero() && !now.Before(e.dueAt) }

func sameTargets(a, b []uint64) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(t uint64) bool { return !slices.Contains(b, t) })
}

// explainExit removes a target's exit from all evidence.
func (d *Detector) explainExit(target uint64) {
	for f, e := range d.evidence {
		e.exits = slices.DeleteFunc(e.exits, func(t uint64) bool { return t == target })
		if len(e.exits) < exitsToSuspect {
			e.dueAt = time.Time{}
		}
		if len(e.exits) == 0 {
			delete(d.evidence, f)
		}
	}
}
