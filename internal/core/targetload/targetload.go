// Package targetload keeps the load that a target reports of itself in the headers of its answers:
// how many requests it runs and has queued, and its pace.
package targetload

import (
	"strconv"
	"strings"
	"time"
)

// Report is the load that a target reports.
type Report struct {
	Running, Waiting, Slots int
	// Pace is how long work takes at the target, as a multiple of the usual; 0 if it reports none.
	Pace float64
}

// Fault names why a report is ignored, for the log and the metrics.
type Fault string

const (
	FaultMalformed Fault = "malformed" // not three or four integers
	FaultNegative  Fault = "negative"
	FaultTooLarge  Fault = "too_large"
	FaultNoSlots   Fault = "no_slots"
	FaultPace      Fault = "pace" // a pace outside the limits
	// FaultLifetime: the report is not from the lifetime that was asked, or that one is no longer listed.
	FaultLifetime Fault = "lifetime"
	FaultOutdated Fault = "outdated" // older than the newest report
)

const (
	maxFigure        = 1_000_000
	minPace, maxPace = 0.05, 100
	// maxValueLength is the length of the longest value that is parsed, well above that of four figures.
	maxValueLength = 64
)

// Parse decodes the figures running, waiting, slots and, if the target reports it, the pace in percent.
// The Fault is empty if the report is valid.
func Parse(value string) (Report, Fault) {
	if len(value) > maxValueLength {
		return Report{}, FaultMalformed
	}
	var figures [4]int
	n := 0
	for field := range strings.SplitSeq(value, ",") {
		figure, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || n == len(figures) {
			return Report{}, FaultMalformed
		}
		figures[n] = figure
		n++
	}
	if n < 3 {
		return Report{}, FaultMalformed
	}
	r := Report{Running: figures[0], Waiting: figures[1], Slots: figures[2], Pace: float64(figures[3]) / 100}
	if n == len(figures) && figures[3] == 0 {
		return Report{}, FaultPace // a Pace of 0 would mean that the target reports none
	}
	return r, r.Validate()
}

// Validate returns what is wrong with the report; empty if it is valid.
func (r Report) Validate() Fault {
	for _, figure := range [...]int{r.Running, r.Waiting, r.Slots} {
		switch {
		case figure < 0:
			return FaultNegative
		case figure > maxFigure:
			return FaultTooLarge
		}
	}
	// The negation also rejects a pace that is not a number.
	if r.Pace != 0 && !IsValidPace(r.Pace) {
		return FaultPace
	}
	if r.Slots == 0 {
		return FaultNoSlots
	}
	return ""
}

// IsValidPace reports whether a pace is within the limits.
func IsValidPace(pace float64) bool { return pace >= minPace && pace <= maxPace }

const (
	// FreshPeriod is the age up to which a report counts in full, and raises a count of open requests.
	// A target's speed varies at random for about 600 ms at a time.
	FreshPeriod = 300 * time.Millisecond
	// PaceLifetime is the age from which a pace does not count any more.
	PaceLifetime = 1500 * time.Millisecond
)

// Pace is a pace and when it was received. The zero value is unknown.
type Pace struct {
	Value float64
	At    time.Time
}

// Weight returns how much the pace counts: 1 while it is fresh, 0 from PaceLifetime on, and between them
// in proportion. It is 0 if the pace is unknown.
func (p Pace) Weight(now time.Time) float64 {
	age := now.Sub(p.At)
	switch {
	case p.Value == 0 || age >= PaceLifetime:
		return 0
	case age <= FreshPeriod:
		return 1
	}
	return float64(PaceLifetime-age) / float64(PaceLifetime-FreshPeriod)
}

// Decayed returns the pace as it counts at a time: it decays towards 1.
func (p Pace) Decayed(now time.Time) float64 { return 1 + (p.Value-1)*p.Weight(now) }

// State is what is kept of the reports of one lifetime. The zero value has no report.
type State struct {
	newest     Report
	receivedAt time.Time // zero if there is no report
	pace       Pace      // of the newest report that has one
}

// Record keeps a report that was received at a time. It changes nothing if it returns a Fault.
func (s *State) Record(receivedAt time.Time, r Report) Fault {
	if fault := r.Validate(); fault != "" {
		return fault
	}
	if receivedAt.Before(s.receivedAt) {
		return FaultOutdated
	}
	s.newest, s.receivedAt = r, receivedAt
	if r.Pace > 0 {
		s.pace = Pace{Value: r.Pace, At: receivedAt}
	}
	return ""
}

// Newest returns the newest report; false if there is none.
func (s *State) Newest() (Report, bool) { return s.newest, !s.receivedAt.IsZero() }

// Pace returns the newest pace.
func (s *State) Pace() Pace { return s.pace }

// RaiseOpen returns a count of the target's open requests, raised to the running and waiting requests of
// a fresh report. A report never lowers the count, since it lacks the requests that are on their way.
func (s *State) RaiseOpen(now time.Time, open int) int {
	if s.receivedAt.IsZero() || now.Sub(s.receivedAt) > FreshPeriod {
		return open
	}
	return max(open, s.newest.Running+s.newest.Waiting)
}
