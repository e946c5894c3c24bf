package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
)

// Exit reports that a target exited while it executed a request that carries a fingerprint.
type Exit struct {
	Fingerprint Fingerprint
	Target      uint64 // the UID of its lifetime
}

// Report is a poison report: the entries that one digest takes to another router. A router that
// receives a new entry sends it on.
type Report struct {
	Exits    []Exit
	Answers  []Fingerprint // carried by requests that a target answered, whatever exits they have
	Suspects []Suspect
}

// Empty reports whether the report has no entries.
func (r Report) Empty() bool { return len(r.Exits) == 0 && len(r.Answers) == 0 && len(r.Suspects) == 0 }

const (
	// digestsPerEntry is the number of digests that contain an entry. With three in ten digests
	// lost, at least one of three arrives in 97 of 100 cases. A first exit is in one digest: a target has
	// many requests when it exits, and where one is lost, the suspicion arrives.
	digestsPerEntry     = 3
	digestsPerFirstExit = 1
	// Limits of the entries in one digest: an exit takes 16 bytes, an answer 8, a suspect about 25.
	// Further entries wait for the next digest.
	maxExitsPerDigest    = 32
	maxAnswersPerDigest  = 32
	maxSuspectsPerDigest = 12
	// maxWaitingEntries bounds the queue. The entries with the lowest priority are dropped, once there are
	// twice as many.
	maxWaitingEntries = 1024
)

type entryKind int

const (
	entrySuspect entryKind = iota
	entryAnswer
	entryExit
	entryKindCount
)

// queueEntry is an entry of a report that waits to be sent.
type queueEntry struct {
	kind             entryKind
	fingerprint      Fingerprint
	target           uint64
	priority         int // number of exits of the fingerprint; 0 for suspects and answers
	remainingDigests int // number of further digests that are to contain the entry
}

func (i queueEntry) hasSameKey(o queueEntry) bool {
	return i.kind == o.kind && i.fingerprint == o.fingerprint && i.target == o.target
}

// reportQueue holds the entries that wait to be sent.
type reportQueue struct {
	waiting []queueEntry
	// urgent is true while a change of a suspicion has not been in any digest. Exits and answers
	// wait for the next regular digest: a target that exits has many open requests, each of another
	// router, and an extra digest to all routers for each would fill the relays' links.
	urgent bool
}

func (q *reportQueue) add(entry queueEntry) {
	entry.remainingDigests = digestsPerEntry
	if entry.kind == entryExit && entry.priority <= 1 {
		entry.remainingDigests = digestsPerFirstExit
	}
	q.urgent = q.urgent || entry.kind == entrySuspect
	if entry.kind != entryExit { // an exit counts once, so it is new
		if i := slices.IndexFunc(q.waiting, entry.hasSameKey); i >= 0 {
			q.waiting[i] = entry
			return
		}
	}
	q.waiting = append(q.waiting, entry)
	if len(q.waiting) > 2*maxWaitingEntries {
		q.sort()
		q.waiting = q.waiting[:maxWaitingEntries]
	}
}

// sort puts the entries with the highest priority first.
func (q *reportQueue) sort() {
	slices.SortStableFunc(q.waiting, func(a, b queueEntry) int { return cmp.Compare(b.priority, a.priority) })
}

// take returns the entries for the next digest, at most the given number of each kind.
func (q *reportQueue) take(limits [entryKindCount]int) []queueEntry {
	q.urgent = false
	if len(q.waiting) == 0 {
		return nil
	}
	q.sort()
	var out, deferred, resend []queueEntry
	for _, entry := range q.waiting {
		if limits[entry.kind] == 0 {
			deferred = append(deferred, entry)
			continue
		}
		limits[entry.kind]--
		out = append(out, entry)
		if entry.remainingDigests--; entry.remainingDigests > 0 {
			resend = append(resend, entry)
		}
	}
	q.waiting = append(deferred, resend...)
	return out
}

// HasUrgentReport reports whether an entry waits that should be sent before the next regular digest
// is due.
func (d *Detector) HasUrgentReport() bool { return d.queue.urgent }

// TakeReport returns the entries for the next digest, and counts them as sent once more.
func (d *Detector) TakeReport(now time.Time) Report {
	var r Report
	for _, entry := range d.queue.take([entryKindCount]int{entrySuspect: maxSuspectsPerDigest, entryAnswer: maxAnswersPerDigest, entryExit: maxExitsPerDigest}) {
		switch entry.kind {
		case entryExit:
			r.Exits = append(r.Exits, Exit{Fingerprint: entry.fingerprint, Target: entry.target})
		case entryAnswer:
			r.Answers = append(r.Answers, entry.fingerprint)
		case entrySuspect:
			if s := d.suspects[entry.fingerprint]; s != nil {
				r.Suspects = append(r.Suspects, s.report(now, entry.fingerprint))
			}
		}
	}
	return r
}

func (s *suspect) report(now time.Time, f Fingerprint) Suspect {
	return Suspect{
		Fingerprint: f, Generation: s.generation, Level: s.level, Group: s.group, Proved: s.proved,
		RefusedFor: max(s.refusedUntil.Sub(now), 0), ExpiresIn: max(s.expiresAt.Sub(now), 0),
	}
}

// ReceiveReport applies a report of another router. New entries are queued to be sent on.
func (d *Detector) ReceiveReport(now time.Time, r Report) {
	for _, f := range r.Answers {
		d.receiveAnswer(now, f)
	}
	for _, s := range r.Suspects {
		d.receiveSuspect(now, s)
	}
	for _, e := range r.Exits {
		d.receiveExit(now, e)
	}
}

func (d *Detector) receiveAnswer(now time.Time, f Fingerprint) {
	known := d.answers.has(now, f)
	d.recordAnswer(now, f)
	if !known {
		d.queue.add(queueEntry{kind: entryAnswer, fingerprint: f})
	}
}

// receiveSuspect applies another router's entry if its generation is newer than the local one. If
// two routers changed the suspicion at the same time, a clearance wins.
func (d *Detector) receiveSuspect(now time.Time, received Suspect) {
	s, ok := d.suspects[received.Fingerprint]
	expiresAt := now.Add(min(received.ExpiresIn, refusalPeriods[len(refusalPeriods)-1]+probationPeriod))
	switch {
	case !ok && received.ExpiresIn < minReportedExpiry:
		return
	case ok && (received.Generation < s.generation || (received.Generation == s.generation && (s.level == 0 || received.Level > 0))):
		if received.Generation == s.generation && expiresAt.After(s.expiresAt) {
			s.expiresAt = expiresAt
		}
		return
	case !ok:
		d.evictSuspect()
		s = &suspect{since: now}
		d.suspects[received.Fingerprint] = s
	}
	previousLevel := s.level
	s.generation, s.level, s.group, s.proved = received.Generation, max(received.Level, 0), received.Group, received.Proved
	s.expiresAt, s.probation = expiresAt, false
	s.refusedUntil = now.Add(min(max(received.RefusedFor, 0), refusalPeriods[len(refusalPeriods)-1]))
	if e, hasEvidence := d.evidence[received.Fingerprint]; hasEvidence {
		delete(d.evidence, received.Fingerprint)
		s.exits = e.exits
		for _, target := range s.exits {
			d.explainExit(target)
		}
	}
	switch {
	case s.level > previousLevel && previousLevel > 0:
		d.recordChange(received.Fingerprint, s, TrialFailed)
	case s.level > 0:
		d.recordChange(received.Fingerprint, s, Suspected)
	case previousLevel > 0:
		s.trialOpen = false
		d.recordChange(received.Fingerprint, s, Cleared)
	default:
		d.queue.add(queueEntry{kind: entrySuspect, fingerprint: received.Fingerprint})
	}
}

// Restore adds suspects that were read from the store. Each is refused for its whole period again,
// as the store does not record when they were written.
func (d *Detector) Restore(now time.Time, stored []Suspect) {
	for _, s := range stored {
		if s.Level > 0 {
			s.RefusedFor = refusalPeriod(s.Level)
			s.ExpiresIn = s.RefusedFor + probationPeriod
			d.receiveSuspect(now, s)
		}
	}
}

// minReportedExpiry is the shortest remaining time for which a suspicion is still sent to other
// routers. Routers forget it some tenths of a second apart, and would otherwise bring it back to
// each other for ever.
const minReportedExpiry = 5 * time.Second

// ListSuspects returns the suspects that do not expire soon, cleared ones included, ordered by
// fingerprint. They are kept in the store and sent to routers with another Checksum.
func (d *Detector) ListSuspects(now time.Time) []Suspect {
	out := make([]Suspect, 0, len(d.suspects))
	for f, s := range d.suspects {
		if s.expiresAt.Sub(now) >= minReportedExpiry {
			out = append(out, s.report(now, f))
		}
	}
	slices.SortFunc(out, func(a, b Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// Checksum returns a number that differs if two routers have different suspects; 0 if there are
// none.
func Checksum(suspects []Suspect) uint64 {
	sum := uint64(0)
	for _, s := range suspects {
		sum ^= rendezvous.Mix(uint64(s.Fingerprint), uint64(s.Generation)<<8|uint64(min(s.Level, 255)))
	}
	return sum
}
