// Package burn measures how fast teams use up their error budgets over several windows, based on
// counts and histograms of the routers that can be merged.
package burn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Windows returns the windows over which burn rates are computed, shortest first. A high rate
// over the short window shows an acute problem. A high rate over the long window shows that the
// problem is not just a short spike.
func Windows() []time.Duration {
	return []time.Duration{5 * time.Minute, time.Hour}
}

// slotsPerWindow is the number of buckets in a window.
const slotsPerWindow = 30

// The histogram holds first-token times from 1 ms to 2 minutes with two significant digits.
const (
	minMs  = 1
	maxMs  = 120_000
	digits = 2
)

// Key identifies a series.
type Key struct {
	Pool string
	Team string
}

// bucket holds the counts of one slot, a fixed part of a window.
type bucket struct {
	slotNumber int64 // slot to which the counts belong; an older number marks an outdated bucket
	good, bad  uint64
}

// window counts requests in a ring of buckets. slot is the time that one bucket
// covers.
type window struct {
	slot    time.Duration
	buckets [slotsPerWindow]bucket
}

func (w *window) addRequest(age time.Duration, good bool) {
	slotNumber := w.slotNumber(age)
	b := &w.buckets[slotNumber%slotsPerWindow]
	if b.slotNumber != slotNumber {
		*b = bucket{slotNumber: slotNumber}
	}
	if good {
		b.good++
	} else {
		b.bad++
	}
}

// slotNumber returns the number of the slot at an age, the time since the tracker's start. It
// counts from one window before the start: an empty bucket has number 0, which then never
// belongs to a current slot.
func (w *window) slotNumber(age time.Duration) int64 { return int64(age/w.slot) + slotsPerWindow }

func (w *window) sum(age time.Duration) (good, bad uint64) {
	oldest := w.slotNumber(age) - slotsPerWindow
	for _, b := range w.buckets {
		if b.slotNumber > oldest {
			good += b.good
			bad += b.bad
		}
	}
	return good, bad
}

// NewHistogram returns an empty histogram of first-token times in milliseconds. All samples have
// its range and precision.
func NewHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(minMs, maxMs, digits) }

// series holds the counts and the histogram of one key. The counts are kept per window; the
// histogram covers all requests since the tracker's start.
type series struct {
	windows   []window
	histogram *hdrhistogram.Histogram
}

// Tracker counts the requests of one router. It is not safe for concurrent use.
type Tracker struct {
	startedAt time.Time // ages are measured from here, since the wall clock may jump
	max       int
	series    map[Key]*series
}

// OtherTeams is the team name of the series that collects the requests of teams beyond the
// maximum number of series.
const OtherTeams = "(other teams)"

// NewTracker returns an empty Tracker with at most max series, in addition to one series for
// OtherTeams in each pool. At 31,000 teams, one series for each team would exceed the memory of a
// small VM.
func NewTracker(now time.Time, max int) *Tracker {
	return &Tracker{startedAt: now, max: max, series: make(map[Key]*series)}
}

// RecordRequest counts one request. firstToken is the time to its first token, or 0 if it had
// none.
func (t *Tracker) RecordRequest(now time.Time, key Key, good bool, firstToken time.Duration) {
	s := t.seriesFor(key)
	for i := range s.windows {
		s.windows[i].addRequest(now.Sub(t.startedAt), good)
	}
	if firstToken > 0 {
		ms := min(max(firstToken.Milliseconds(), minMs), maxMs)
		_ = s.histogram.RecordValue(ms) // always in range
	}
}

// seriesFor returns the series of a key and creates it if necessary.
func (t *Tracker) seriesFor(key Key) *series {
	if s, ok := t.series[key]; ok {
		return s
	}
	if len(t.series) >= t.max {
		key.Team = OtherTeams
		if s, ok := t.series[key]; ok {
			return s
		}
	}
	s := &series{histogram: NewHistogram()}
	for _, w := range Windows() {
		s.windows = append(s.windows, window{slot: w / slotsPerWindow})
	}
	t.series[key] = s
	return s
}

// Count holds the numbers of good and bad requests in one window.
type Count struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}

// Sample is the state of one series at one time.
type Sample struct {
	Key       Key
	Counts    []Count // one per window, in the order of Windows
	Histogram *hdrhistogram.Histogram
}

// Samples returns a sample of every series. The histograms are not copied.
func (t *Tracker) Samples(now time.Time) []Sample {
	out := make([]Sample, 0, len(t.series))
	for key, s := range t.series {
		sample := Sample{Key: key, Histogram: s.histogram}
		for i := range s.windows {
			good, bad := s.windows[i].sum(now.Sub(t.startedAt))
			sample.Counts = append(sample.Counts, Count{Good: good, Bad: bad})
		}
		out = append(out, sample)
	}
	return out
}

// MetServiceLevel reports whether a request met its service level: it was answered, and the
// first part of the answer came within the objective. An objective of 0 means that none is set.
func MetServiceLevel(answered bool, first, objective time.Duration) bool {
	return answered && (objective <= 0 || first <= objective)
}

// Rate returns the burn rate: how many times faster than allowed the error budget is used up.
// objectivePercent is the percentage of requests that must be good. A rate of 1 uses up the
// budget exactly over its period.
func Rate(c Count, objectivePercent float64) float64 {
	total := c.Good + c.Bad
	if total == 0 || objectivePercent <= 0 || objectivePercent >= 100 {
		return 0
	}
	return float64(c.Bad) / float64(total) / (1 - objectivePercent/100)
}
