package poison

import (
	"slices"
	"time"
)

// A request is suspected once endsNeeded targets have ended under it with no run answered in between, by the
// count of the whole fleet. Others that run on a target when it ends are nearly always answered elsewhere, which clears
// them; and an end that a suspect explains counts against nobody else.
const (
	endsNeeded = 3
	// objection is how long routers that have had an answer to the request may say so: news takes some tenths of a
	// second across the fleet.
	objection = 250 * time.Millisecond
	// evidenceLasts bounds how far apart the ends may be, evidenceMost how many requests are remembered for them.
	evidenceLasts = 10 * time.Minute
	evidenceMost  = 4096
	// endsKept bounds the targets that are remembered for one request.
	endsKept = 32
)

// evidence is what is held against a request that is not suspected.
type evidence struct {
	ends []uint64  // targets that ended under it
	last time.Time // of the newest end
	due  time.Time // when it becomes a suspect; zero while too few targets ended
}

// Change is something that an operator sees.
type Change struct {
	Request    Fingerprint
	Kind       ChangeKind
	Exits      int           // targets that ended under it
	RefusedFor time.Duration // for which it is refused
	Level      int           // how often it was tried again and ended a target, from 1
}

// ChangeKind says what happened to a suspicion.
type ChangeKind string

// The changes.
const (
	Suspected   ChangeKind = "suspected" // refused from now on
	TrialFailed ChangeKind = "again"     // it was tried, and ended a target again
	Cleared     ChangeKind = "cleared"   // it was answered
	Forgotten   ChangeKind = "forgotten" // nobody sent it for long
)

// Detector counts which requests targets end under. It is not safe for concurrent use.
type Detector struct {
	ran      memory
	evidence map[Fingerprint]*evidence
	suspects map[Fingerprint]*suspect
	news     newsQueue
	changes  []Change
}

// NewDetector returns a Detector that suspects nobody.
func NewDetector() *Detector {
	return &Detector{evidence: make(map[Fingerprint]*evidence), suspects: make(map[Fingerprint]*suspect)}
}

// RecordAnswer takes in that a request was answered by a target that went on running.
func (d *Detector) RecordAnswer(now time.Time, f Fingerprint) {
	s := d.suspects[f]
	_, held := d.evidence[f]
	d.ran.add(now, f)
	delete(d.evidence, f)
	if s != nil && s.level > 0 {
		d.clear(now, f, s)
	}
	if held {
		d.news.add(item{kind: itemRan, request: f})
	}
}

// RecordExit takes in that a target ended while a request was under way there, as this router saw it.
func (d *Detector) RecordExit(now time.Time, f Fingerprint, target uint64) {
	d.ended(now, f, target, false)
}

func (d *Detector) ended(now time.Time, f Fingerprint, target uint64, told bool) {
	if s := d.suspects[f]; s != nil && s.level > 0 {
		d.endedAgain(now, f, s, target)
		return
	}
	switch {
	case d.ran.has(now, f):
		if told { // and held against the request by whoever hears of it
			d.news.add(item{kind: itemRan, request: f})
		}
		return
	case d.explained(target):
		return
	}
	e, ok := d.evidence[f]
	if !ok {
		d.makeRoom()
		e = &evidence{}
		d.evidence[f] = e
	}
	if slices.Contains(e.ends, target) {
		return
	}
	if !e.last.IsZero() && now.Sub(e.last) > evidenceLasts {
		e.ends = nil
	}
	e.ends, e.last = append(e.ends, target), now
	if len(e.ends) >= endsNeeded && e.due.IsZero() {
		e.due = now.Add(objection)
	}
	d.news.add(item{kind: itemEnded, request: f, target: target, urgency: len(e.ends)})
}

// explained reports whether a target ended under a request that is suspected.
func (d *Detector) explained(target uint64) bool {
	for _, s := range d.suspects {
		if s.level > 0 && slices.Contains(s.ends, target) {
			return true
		}
	}
	return false
}

// makeRoom forgets the evidence that says least if there is too much of it: of the requests with the fewest ends the one
// whose last is the oldest. A flood of requests under which one target ended pushes out none with two.
func (d *Detector) makeRoom() {
	if len(d.evidence) < evidenceMost {
		return
	}
	var least Fingerprint
	for f, e := range d.evidence {
		held, ok := d.evidence[least]
		if !ok || len(e.ends) < len(held.ends) || (len(e.ends) == len(held.ends) && e.last.Before(held.last)) {
			least = f
		}
	}
	delete(d.evidence, least)
}

// Tick lets time pass and returns what has changed since the last one.
func (d *Detector) Tick(now time.Time) []Change {
	d.suspect(now)
	for f, e := range d.evidence {
		if now.Sub(e.last) > evidenceLasts {
			delete(d.evidence, f)
		}
	}
	d.expire(now)
	out := d.changes
	d.changes = nil
	return out
}

// suspect begins the suspicions that are due, those with most ends first: what they explain is not held against others.
// Requests that the same targets ended under can't be told apart. All of them are refused, and each is tried.
func (d *Detector) suspect(now time.Time) {
	for {
		var worst *evidence
		for _, e := range d.evidence {
			if e.isDue(now) && (worst == nil || len(e.ends) > len(worst.ends)) {
				worst = e
			}
		}
		if worst == nil {
			return
		}
		var alike []Fingerprint
		for f, e := range d.evidence {
			if e.isDue(now) && sameTargets(e.ends, worst.ends) {
				alike = append(alike, f)
			}
		}
		slices.Sort(alike)
		for _, f := range alike {
			d.begin(now, f, worst.ends)
		}
		for _, target := range worst.ends {
			d.explain(target)
		}
	}
}

func (e *evidence) isDue(now time.Time) bool { return !e.due.IsZero() && !now.Before(e.due) }

func sameTargets(a, b []uint64) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(t uint64) bool { return !slices.Contains(b, t) })
}

// explain takes a target's end off all requests but suspects.
func (d *Detector) explain(target uint64) {
	for f, e := range d.evidence {
		e.ends = slices.DeleteFunc(e.ends, func(t uint64) bool { return t == target })
		if len(e.ends) < endsNeeded {
			e.due = time.Time{}
		}
		if len(e.ends) == 0 {
			delete(d.evidence, f)
		}
	}
}
