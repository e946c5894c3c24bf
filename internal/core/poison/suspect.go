package poison

import (
	"slices"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
)

// waits is for how long a suspect is refused, by its level. After that one router lets one through; if its target
// ends, the next wait follows. The first one is short, so that a proper request that was blamed is cleared soon.
var waits = []time.Duration{10 * time.Second, 5 * time.Minute, time.Hour}

const (
	// probation is for how long after its wait a suspect is remembered that nobody sends.
	probation = 10 * time.Minute
	// clearedLasts is for how long it is remembered that one was cleared: routers that were cut off may tell of the suspicion.
	clearedLasts = time.Minute
	// suspectsMost bounds the suspects. Each has ended three targets.
	suspectsMost = 256
)

// suspect is a request that is refused, or was until it was cleared.
type suspect struct {
	// generation rises with each change, so that routers agree on the newest.
	generation uint32
	level      int       // 0: cleared
	until      time.Time // refused until then
	lasts      time.Time // forgotten then
	probation  bool      // until has passed since the level began
	trial      bool      // this router has let one through, which is under way
	ends       []uint64  // targets that ended under it
}

// Suspect is what a router tells of one.
type Suspect struct {
	Request    Fingerprint
	Generation uint32
	Level      int // 0: cleared
	RefusedFor time.Duration
	ExpiresIn  time.Duration
}

func wait(level int) time.Duration { return waits[min(level, len(waits))-1] }

// set puts a level in force.
func (s *suspect) set(now time.Time, level int) {
	s.generation++
	s.level, s.probation = level, false
	s.until = now.Add(wait(level))
	s.lasts = s.until.Add(probation)
}

// begin makes a request a suspect.
func (d *Detector) begin(now time.Time, f Fingerprint, ends []uint64) {
	s, ok := d.suspects[f]
	if !ok {
		d.makeSuspectRoom()
		s = &suspect{}
		d.suspects[f] = s
	}
	s.ends = slices.Clone(ends)
	s.set(now, 1)
	delete(d.evidence, f)
	d.changed(f, s, Suspected)
}

func (d *Detector) changed(f Fingerprint, s *suspect, kind ChangeKind) {
	c := Change{Request: f, Kind: kind, Exits: len(s.ends), Level: s.level}
	if s.level > 0 {
		c.RefusedFor = wait(s.level)
	}
	d.changes = append(d.changes, c)
	d.news.add(item{kind: itemSuspect, request: f})
}

// makeSuspectRoom forgets the one that would be forgotten first.
func (d *Detector) makeSuspectRoom() {
	if len(d.suspects) < suspectsMost {
		return
	}
	var first Fingerprint
	for f, s := range d.suspects {
		if held, ok := d.suspects[first]; !ok || s.lasts.Before(held.lasts) {
			first = f
		}
	}
	d.forget(first)
}

func (d *Detector) forget(f Fingerprint) {
	s := d.suspects[f]
	delete(d.suspects, f)
	if s.level > 0 {
		d.changes = append(d.changes, Change{Request: f, Kind: Forgotten, Exits: len(s.ends), Level: s.level})
	}
}

// endedAgain takes in one more end under a suspect. Copies that were under way when the suspicion began say nothing
// new; one that was let through since does.
func (d *Detector) endedAgain(now time.Time, f Fingerprint, s *suspect, target uint64) {
	if slices.Contains(s.ends, target) {
		return
	}
	s.ends = append(s.ends, target)
	if over := len(s.ends) - endsKept; over > 0 {
		s.ends = slices.Delete(s.ends, 0, over)
	}
	d.explain(target)
	d.news.add(item{kind: itemEnded, request: f, target: target, urgency: endsNeeded})
	s.refresh(now)
	if s.probation {
		s.set(now, s.level+1)
		d.changed(f, s, TrialFailed)
	}
}

// refresh puts off that a suspect is forgotten: it still comes.
func (s *suspect) refresh(now time.Time) {
	if lasts := now.Add(probation); lasts.After(s.lasts) {
		s.lasts = lasts
	}
}

func (d *Detector) clear(now time.Time, f Fingerprint, s *suspect) {
	s.generation++
	s.level, s.trial, s.until, s.lasts = 0, false, now, now.Add(clearedLasts)
	d.changed(f, s, Cleared)
}

func (d *Detector) expire(now time.Time) {
	for f, s := range d.suspects {
		switch {
		case !now.Before(s.lasts):
			d.forget(f)
		case !now.Before(s.until):
			s.probation = true
		}
	}
}

// Decision says what becomes of a request.
type Decision struct {
	Refused    bool
	RetryAfter time.Duration // until it makes sense to come back, if refused
	// Trial: it is a suspect, and the one that is let through; TrialOver has to follow.
	Trial bool
}

// Admit decides whether a request is sent. After its wait a suspect is tried once at a time, by the router that is its home
// alone, which home is asked for only then: each router trying for itself would end a target each.
func (d *Detector) Admit(now time.Time, f Fingerprint, home func() bool) Decision {
	s := d.suspects[f]
	if s == nil || s.level == 0 {
		return Decision{}
	}
	s.refresh(now)
	left := s.until.Sub(now)
	switch {
	case left > 0:
		return Decision{Refused: true, RetryAfter: left}
	case s.trial || !home():
		return Decision{Refused: true, RetryAfter: trialLasts}
	}
	s.trial = true
	return Decision{Trial: true}
}

// trialLasts is when to come back while another one is tried, or may be at another router.
const trialLasts = time.Second

// EndTrial takes in that the one that was let through has ended. If it was neither answered nor ended its target, the
// next one waits as at first.
func (d *Detector) EndTrial(now time.Time, f Fingerprint) {
	s := d.suspects[f]
	if s == nil || !s.trial {
		return
	}
	s.trial = false
	if s.level > 0 && !now.Before(s.until) {
		s.until = now.Add(waits[0])
	}
}

// SuspectCount reports how many requests are refused.
func (d *Detector) SuspectCount() int {
	n := 0
	for _, s := range d.suspects {
		if s.level > 0 {
			n++
		}
	}
	return n
}

// IsHomeRouter reports whether a router is the one of several that tries a suspect and keeps it in the store: the first in
// rendezvous order, which all routers compute alike.
func (f Fingerprint) IsHomeRouter(self string, others []string) bool {
	own := rendezvous.Mix(uint64(f), rendezvous.Hash(self))
	return !slices.ContainsFunc(others, func(o string) bool {
		return rendezvous.Mix(uint64(f), rendezvous.Hash(o)) > own
	})
}
