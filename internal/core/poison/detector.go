package poison

import (
	"slices"
	"time"
)

// A request becomes a suspect once exitsToSuspect targets of the whole fleet have exited while they
// executed it and no target has answered it in between. Other requests that run on a target when it
// exits are nearly always answered by another target, which clears them. An exit that a suspect
// explains does not count against any other request.
const (
	exitsToSuspect = 3
	// objectionPeriod is the time between the last of these exits and the suspicion. A router that
	// has seen an answer to the request can report it until then. A report reaches the whole fleet
	// within some tenths of a second.
	objectionPeriod = 250 * time.Millisecond
	// evidenceMaxAge bounds the time between two exits that count together, maxEvidence the number
	// of requests with evidence.
	evidenceMaxAge = 10 * time.Minute
	maxEvidence    = 4096
	// maxExits bounds the exited targets that are stored for one suspect.
	maxExits = 32
)

// evidence lists the exits that count against a request that is not a suspect.
type evidence struct {
	exits      []uint64  // UIDs of the targets that exited while they executed the request
	lastExitAt time.Time // time of the newest exit
	dueAt      time.Time // when the request becomes a suspect; zero while there are too few exits
}

// Change is a change of a suspicion, for the operator's log.
type Change struct {
	Request    Fingerprint
	Kind       ChangeKind
	Exits      int           // number of targets that exited while they executed the request
	RefusedFor time.Duration // how long the request is refused from now on
	Level      int           // 1 plus the number of trials in which a target exited
}

// ChangeKind is what happened to a suspicion. Its value is the field change of log lines.
type ChangeKind string

// The kinds of change.
const (
	Suspected   ChangeKind = "suspected" // the request is refused from now on
	TrialFailed ChangeKind = "again"     // the request was tried, and its target exited
	Cleared     ChangeKind = "cleared"   // the request was answered
	Forgotten   ChangeKind = "forgotten" // the suspicion expired, as nobody sent the request
)

// Detector finds the requests that make targets exit. It is not safe for concurrent use.
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

// RecordAnswer records that a target answered a request and went on running.
func (d *Detector) RecordAnswer(now time.Time, f Fingerprint) {
	s := d.suspects[f]
	_, hasEvidence := d.evidence[f]
	d.answers.add(now, f)
	delete(d.evidence, f)
	if s != nil && s.level > 0 {
		d.clear(now, f, s)
	}
	if hasEvidence {
		d.queue.add(queueEntry{kind: entryAnswer, request: f})
	}
}

// RecordExit records that this router saw a target exit while a request was open there.
func (d *Detector) RecordExit(now time.Time, f Fingerprint, uid uint64) { d.onExit(now, f, uid, false) }

func (d *Detector) onExit(now time.Time, f Fingerprint, target uint64, reported bool) {
	if s := d.suspects[f]; s != nil && s.level > 0 {
		d.recordSuspectExit(now, f, s, target)
		return
	}
	switch {
	case d.answers.has(now, f):
		if reported { // the router that reported the exit has not seen the answer
			d.queue.add(queueEntry{kind: entryAnswer, request: f})
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
	d.queue.add(queueEntry{kind: entryExit, request: f, target: target, priority: len(e.exits)})
}

// isExplained reports whether a target exited while it executed a suspect.
func (d *Detector) isExplained(target uint64) bool {
	for _, s := range d.suspects {
		if s.level > 0 && slices.Contains(s.exits, target) {
			return true
		}
	}
	return false
}

// evictEvidence drops the weakest evidence if there is too much: among the requests with the fewest
// exits the one whose last exit is the oldest. So a flood of requests with one exit each can't
// evict a request with two.
func (d *Detector) evictEvidence() {
	if len(d.evidence) < maxEvidence {
		return
	}
	var least Fingerprint
	for f, e := range d.evidence {
		current, ok := d.evidence[least]
		if !ok || len(e.exits) < len(current.exits) || (len(e.exits) == len(current.exits) && e.lastExitAt.Before(current.lastExitAt)) {
			least = f
		}
	}
	delete(d.evidence, least)
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

// startDueSuspicions turns requests whose objection period has passed into suspects, those with the
// most exits first, so that their exits do not count against others. Requests with the same exited
// targets can't be distinguished: all of them become suspects, and each gets its own trials.
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
		for _, f := range indistinguishable {
			d.startSuspicion(now, f, worst.exits)
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

// explainExit removes a target's exit from the evidence against all requests but suspects.
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
