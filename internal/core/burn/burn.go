// Package burn measures how fast teams use up their error budgets, over several
// windows, from counts and histograms that routers can merge.
package burn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Windows are the spans over which burn rates are given, shortest first. A high
// rate over the short one shows a fire, over the long one that it is no blip.
func Windows() []time.Duration {
	return []time.Duration{5 * time.Minute, time.Hour}
}

// slots is the number of buckets that make up a window.
const slots = 30

// The histogram holds first-token times from 1 ms to 2 minutes to two digits.
const (
	lowest  = 1
	highest = 120_000
	digits  = 2
)

// Key names a series.
type Key struct {
	Pool string
	Team string
}

type bucket struct {
	number    int64 // of the slot since the tracker's start; tells an old bucket
	good, bad uint64
}

type window struct {
	slot    time.Duration
	buckets [slots]bucket
}

func (w *window) add(age time.Duration, good bool) {
	number := w.number(age)
	b := &w.buckets[number%slots]
	if b.number != number {
		*b = bucket{number: number}
	}
	if good {
		b.good++
	} else {
		b.bad++
	}
}

// number counts slots from one window before the start, so that an empty bucket
// never looks like a present one.
func (w *window) number(age time.Duration) int64 { return int64(age/w.slot) + slots }

func (w *window) sum(age time.Duration) (good, bad uint64) {
	oldest := w.number(age) - slots
	for _, b := range w.buckets {
		if b.number > oldest {
			good += b.good
			bad += b.bad
		}
	}
	return good, bad
}

// NewHistogram returns an empty histogram of first-token times in milliseconds, of
// the shape that all samples share.
func NewHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(lowest, highest, digits) }

// series is the state of one key.
type series struct {
	windows   []window
	histogram *hdrhistogram.Histogram
}

// Tracker counts the requests of one router. It is not safe for concurrent use.
type Tracker struct {
	start  time.Time // spans count from here: the time of day may jump
	max    int
	series map[Key]*series
}

// OtherTeams collects the requests of teams beyond the largest number of series.
const OtherTeams = "(other teams)"

// NewTracker returns an empty Tracker of at most max series: at 31,000 teams one
// series for each would outgrow the memory of a small VM.
func NewTracker(now time.Time, max int) *Tracker {
	return &Tracker{start: now, max: max, series: make(map[Key]*series)}
}

// RecordRequest counts one request. firstToken is 0 if it had none.
func (t *Tracker) RecordRequest(now time.Time, key Key, good bool, firstToken time.Duration) {
	s := t.get(key)
	for i := range s.windows {
		s.windows[i].add(now.Sub(t.start), good)
	}
	if firstToken > 0 {
		ms := min(max(firstToken.Milliseconds(), lowest), highest)
		_ = s.histogram.RecordValue(ms) // in range by the line above
	}
}

func (t *Tracker) get(key Key) *series {
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
		s.windows = append(s.windows, window{slot: w / slots})
	}
	t.series[key] = s
	return s
}

// Count is the requests of one window.
type Count struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}

// Sample is the state of one series at one time.
type Sample struct {
	Key       Key
	Counts    []Count // by window
	Histogram *hdrhistogram.Histogram
}

// Samples returns every series.
func (t *Tracker) Samples(now time.Time) []Sample {
	out := make([]Sample, 0, len(t.series))
	for key, s := range t.series {
		sample := Sample{Key: key, Histogram: s.histogram}
		for i := range s.windows {
			good, bad := s.windows[i].sum(now.Sub(t.start))
			sample.Counts = append(sample.Counts, Count{Good: good, Bad: bad})
		}
		out = append(out, sample)
	}
	return out
}

// MetServiceLevel reports whether a request met its service level: it was answered, and its
// first part came within the objective; 0 means that none is set.
func MetServiceLevel(answered bool, first, objective time.Duration) bool {
	return answered && (objective <= 0 || first <= objective)
}

// Rate returns how many times faster than allowed the error budget of an
// objective, in percent, is used up. 1 uses it up exactly over its period.
func Rate(c Count, objectivePercent float64) float64 {
	total := c.Good + c.Bad
	if total == 0 || objectivePercent <= 0 || objectivePercent >= 100 {
		return 0
	}
	return float64(c.Bad) / float64(total) / (1 - objectivePercent/100)
}
