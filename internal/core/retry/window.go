package retry

import "time"

// Window limits the repeats of one router to its part of a budget that the whole
// fleet shares: ratio x the requests of the last window + slack. Each router spends
// the ratio of its own requests and an equal part of the slack, so that the parts
// add up to the budget without any message. It is not safe for concurrent use.
type Window struct {
	start   time.Time // slots count from here: the time of day may jump
	span    time.Duration
	buckets [windowBuckets + 1]bucket
}

type bucket struct {
	slot              int64
	requests, repeats int
}

// windowBuckets is the resolution. Repeats are counted for one bucket longer than the
// window: the current one has only begun, and those of the oldest may still be in it.
const windowBuckets = 10

// Limits are a fleet's budget and this router's part of it.
type Limits struct {
	Ratio   float64
	Slack   float64
	Routers int // that share the slack, as far as this one knows
}

// leastRouters is how many routers share the slack at least. One that has just started
// hears nobody yet, and many may start at once; each taking all of it would pass the
// budget many times over.
const leastRouters = 8

// ratioHeadroom and slackHeadroom are the parts of the budget that are used. The
// budget is kept in any window, by the requests of that window or of the one that
// begins half a window before it. A router's last ten seconds lie within these two,
// so they hold at most twice the requests of either: half of the ratio is safe at any
// change of the load. The slack is kept but for one repeat that two routers count
// in different buckets.
const (
	ratioHeadroom = 0.5
	slackHeadroom = 0.95
)

// NewWindow returns an empty Window of a span.
func NewWindow(now time.Time, span time.Duration) *Window { return &Window{start: now, span: span} }

// Request counts the first send of a request.
func (w *Window) Request(now time.Time) { w.at(now).requests++ }

// Repeat counts a further send if the budget has room for it.
func (w *Window) Repeat(now time.Time, l Limits) bool {
	current := w.at(now)
	requests, repeats := w.sum(now)
	allowed := ratioHeadroom*l.Ratio*float64(requests) + slackHeadroom*l.Slack/float64(max(l.Routers, leastRouters))
	if float64(repeats+1) > allowed {
		return false
	}
	current.repeats++
	return true
}

func (w *Window) slot(now time.Time) int64 {
	return int64(now.Sub(w.start)/(w.span/windowBuckets)) + windowBuckets + 1
}

func (w *Window) at(now time.Time) *bucket {
	slot := w.slot(now)
	b := &w.buckets[slot%int64(len(w.buckets))]
	if b.slot != slot {
		*b = bucket{slot: slot}
	}
	return b
}

func (w *Window) sum(now time.Time) (requests, repeats int) {
	slot := w.slot(now)
	for i := range w.buckets {
		b := &w.buckets[i]
		if slot-b.slot < windowBuckets {
			requests += b.requests
		}
		if slot-b.slot <= windowBuckets {
			repeats += b.repeats
		}
	}
	return requests, repeats
}
