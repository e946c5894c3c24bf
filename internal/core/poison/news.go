package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
)

// Exit is the news that a target ended under a request.
type Exit struct {
	Request Fingerprint
	Target  uint64 // its lifetime
}

// Report is what routers tell each other at once. Whoever hears something new tells it on.
type Report struct {
	Exits    []Exit
	Answered []Fingerprint // answered, whatever ended under them
	Suspects []Suspect
}

// IsEmpty reports whether there is nothing to tell.
func (n Report) IsEmpty() bool {
	return len(n.Exits) == 0 && len(n.Answered) == 0 && len(n.Suspects) == 0
}

const (
	// newsTold is in how many digests a router tells something: with three in ten lost, one of each router arrives in 97 of 100
	// cases.
	newsTold = 3
	// What one digest tells: 16 bytes an end, 8 an answer, some 25 a suspect. The rest follows with the next.
	endsPerDigest     = 32
	ranPerDigest      = 32
	suspectsPerDigest = 12
	// newsWaiting bounds what waits. What has the fewest ends is left out.
	newsWaiting = 1024
)

type itemKind int

const (
	itemSuspect itemKind = iota
	itemRan
	itemEnded
	itemKinds
)

// item is something that is still to be told.
type item struct {
	kind    itemKind
	request Fingerprint
	target  uint64
	urgency int // ends under the request
	left    int // how many digests are still to tell it
}

func (i item) same(o item) bool {
	return i.kind == o.kind && i.request == o.request && i.target == o.target
}

// newsQueue holds what is still to be told.
type newsQueue struct {
	waiting []item
	// fresh: a suspicion has never been told. Ends and answers wait for the next digest: many requests are at a target that
	// ends, each at another router, and a digest for each of them to all would fill relays' links.
	fresh bool
}

func (q *newsQueue) add(one item) {
	one.left = newsTold
	q.fresh = q.fresh || one.kind == itemSuspect
	if i := slices.IndexFunc(q.waiting, one.same); i >= 0 {
		q.waiting[i] = one
		return
	}
	q.waiting = append(q.waiting, one)
	if len(q.waiting) > newsWaiting {
		q.sort()
		q.waiting = q.waiting[:newsWaiting]
	}
}

// sort puts first what decides most: a request under which more targets have ended.
func (q *newsQueue) sort() {
	slices.SortStableFunc(q.waiting, func(a, b item) int { return cmp.Compare(b.urgency, a.urgency) })
}

// take returns what the next digest tells, at most so many of each kind.
func (q *newsQueue) take(most [itemKinds]int) []item {
	q.fresh = false
	if len(q.waiting) == 0 {
		return nil
	}
	q.sort()
	var out, later, again []item
	for _, one := range q.waiting {
		if most[one.kind] == 0 {
			later = append(later, one)
			continue
		}
		most[one.kind]--
		out = append(out, one)
		if one.left--; one.left > 0 {
			again = append(again, one)
		}
	}
	q.waiting = append(later, again...)
	return out
}

// HasUrgentReport reports whether there is something that is to be told at once.
func (d *Detector) HasUrgentReport() bool { return d.news.fresh }

// NextReport returns what the next digest tells.
func (d *Detector) NextReport(now time.Time) Report {
	var n Report
	for _, one := range d.news.take([itemKinds]int{itemSuspect: suspectsPerDigest, itemRan: ranPerDigest, itemEnded: endsPerDigest}) {
		switch one.kind {
		case itemEnded:
			n.Exits = append(n.Exits, Exit{Request: one.request, Target: one.target})
		case itemRan:
			n.Answered = append(n.Answered, one.request)
		case itemSuspect:
			if s := d.suspects[one.request]; s != nil {
				n.Suspects = append(n.Suspects, s.tell(now, one.request))
			}
		}
	}
	return n
}

func (s *suspect) tell(now time.Time, f Fingerprint) Suspect {
	return Suspect{
		Request: f, Generation: s.generation, Level: s.level,
		RefusedFor: max(s.until.Sub(now), 0), ExpiresIn: max(s.lasts.Sub(now), 0),
	}
}

// ReceiveReport takes in what another router tells. What is new is told on.
func (d *Detector) ReceiveReport(now time.Time, n Report) {
	for _, f := range n.Answered {
		d.heardRan(now, f)
	}
	for _, s := range n.Suspects {
		d.heardSuspect(now, s)
	}
	for _, e := range n.Exits {
		d.ended(now, e.Request, e.Target, true)
	}
}

func (d *Detector) heardRan(now time.Time, f Fingerprint) {
	known := d.ran.has(now, f)
	d.RecordAnswer(now, f)
	if !known {
		d.news.add(item{kind: itemRan, request: f})
	}
}

// heardSuspect takes in another router's word if it is newer. Of two changes at once, that it was answered counts.
func (d *Detector) heardSuspect(now time.Time, t Suspect) {
	s, ok := d.suspects[t.Request]
	lasts := now.Add(min(t.ExpiresIn, waits[len(waits)-1]+probation))
	switch {
	case !ok && t.ExpiresIn < nearlyForgotten:
		return
	case ok && (t.Generation < s.generation || (t.Generation == s.generation && (s.level == 0 || t.Level > 0))):
		if t.Generation == s.generation && lasts.After(s.lasts) {
			s.lasts = lasts
		}
		return
	case !ok:
		d.makeSuspectRoom()
		s = &suspect{}
		d.suspects[t.Request] = s
	}
	before := s.level
	s.generation, s.level, s.lasts, s.probation = t.Generation, max(t.Level, 0), lasts, false
	s.until = now.Add(min(max(t.RefusedFor, 0), waits[len(waits)-1]))
	if e, held := d.evidence[t.Request]; held {
		delete(d.evidence, t.Request)
		s.ends = e.ends
		for _, target := range s.ends {
			d.explain(target)
		}
	}
	switch {
	case s.level > before && before > 0:
		d.changed(t.Request, s, TrialFailed)
	case s.level > 0:
		d.changed(t.Request, s, Suspected)
	case before > 0:
		s.trial = false
		d.changed(t.Request, s, Cleared)
	default:
		d.news.add(item{kind: itemSuspect, request: t.Request})
	}
}

// Restore takes in suspects that the store has kept. Their waits begin anew: nothing tells how long ago they were written.
func (d *Detector) Restore(now time.Time, kept []Suspect) {
	for _, s := range kept {
		if s.Level > 0 {
			s.RefusedFor = wait(s.Level)
			s.ExpiresIn = s.RefusedFor + probation
			d.heardSuspect(now, s)
		}
	}
}

// nearlyForgotten is for how long before its end a suspicion is no longer passed on: routers forget it some
// tenths of a second apart, and would tell each other of it for ever.
const nearlyForgotten = 5 * time.Second

// ListSuspects returns what this router holds of suspects, for one that holds something else.
func (d *Detector) ListSuspects(now time.Time) []Suspect {
	out := make([]Suspect, 0, len(d.suspects))
	for f, s := range d.suspects {
		if s.lasts.Sub(now) >= nearlyForgotten {
			out = append(out, s.tell(now, f))
		}
	}
	slices.SortFunc(out, func(a, b Suspect) int { return cmp.Compare(a.Request, b.Request) })
	return out
}

// Checksum returns a number that differs if two routers hold different suspects; 0 if there are none.
func Checksum(held []Suspect) uint64 {
	sum := uint64(0)
	for _, s := range held {
		sum ^= rendezvous.Mix(uint64(s.Request), uint64(s.Generation)<<8|uint64(min(s.Level, 255)))
	}
	return sum
}
