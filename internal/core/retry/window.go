package retry

import "time"

// Window limits the retries of one router to its part of a budget that the whole fleet shares. The
// budget must hold in any span of time: retries <= ratio x requests + slack. The requests are those
// of that span, of the span before it, or of the span that begins half a span earlier, whichever
// has most. Each router may use ratio x its own requests and an equal part of the slack. The parts
// add up to the budget without any messages between routers. It is not safe for concurrent use.
//
// Callers move from routers that stop to other routers, so the sum of each router's largest span
// can exceed the fleet's largest span. So each router uses the mean of the current span and the one
// before it; the sum of the means is at most the larger of the fleet's two sums. With a constant
// load, a router has the whole ratio; in its first span after a start it has half of it.
//
// The parts of the ratio also add up over successive processes on one VM, as each counts its own
// requests. The parts of the slack do not: see SlackDelay.
type Window struct {
	start   time.Time     // slots count from here by the monotonic clock, as the wall clock may jump
	width   time.Duration // of a slot
	buckets [historyBuckets]bucket
}

type bucket struct {
	slot              int64
	requests, retries int
}

const (
	// spanBuckets is the number of buckets of a span. Of buckets that lie only partly in a span,
	// the requests don't count but the retries do. This leaves one in twenty of the ratio unused.
	spanBuckets = 20
	// historyBuckets is the number of buckets of the span that ends now and the one before it.
	historyBuckets = 2*spanBuckets + 1
)

// Limits are the fleet's budget and the number of routers that share it.
type Limits struct {
	Ratio   float64
	Slack   float64
	Routers int // routers known to share the slack; 0 while this one must not use any of it
}

// minRouters is the smallest number of routers among which the slack is divided. A router that has
// just started knows no other router yet, and many may start at once. If each used the whole slack,
// the fleet would exceed the budget many times over.
const minRouters = 8

// discoveryDelay is the time until routers know of a router that has started, and it of them.
const discoveryDelay = 2 * time.Second

// SlackDelay returns how long a process uses no slack after its start. An earlier process on its
// VM, or on the VM that this one replaces, may have used its part a moment ago, and this process
// can't know. With a part for each start, targets would get many times the budget while routers
// restart again and again.
func SlackDelay(span time.Duration) time.Duration { return span + discoveryDelay }

// usableSlack is the share of the slack that is used. A retry may reach its target a moment after
// it was counted, in a span that the router does not check any more.
const usableSlack = 0.95

// slackShare returns this router's part of the slack.
func (l Limits) slackShare() float64 {
	if l.Routers == 0 {
		return 0
	}
	return usableSlack * l.Slack / float64(max(l.Routers, minRouters))
}

// NewWindow returns an empty Window for spans of the given length.
func NewWindow(now time.Time, span time.Duration) *Window {
	return &Window{start: now, width: span / spanBuckets}
}

// RecordRequest counts the first attempt of a request.
func (w *Window) RecordRequest(now time.Time) { w.bucketAt(now).requests++ }

// Headroom is what this router has used of its budget in one span, and what the budget allows.
type Headroom struct {
	Retries  int     // retries in the span
	Requests float64 // requests that count for the span
	Slack    float64 // this router's part of the slack
	Allowed  float64 // retries that the budget allows in the span
}

// AllowsRetry reports whether the budget allows one more retry.
func (h Headroom) AllowsRetry() bool { return float64(h.Retries+1) <= h.Allowed }

// TryRetry counts a retry and returns true if the budget allows it in every span that will contain
// the retry, whatever requests follow.
func (w *Window) TryRetry(now time.Time, l Limits) bool {
	if !w.TightestHeadroom(now, l).AllowsRetry() {
		return false
	}
	w.bucketAt(now).retries++
	return true
}

// TightestHeadroom returns the headroom of the span that has the least, of all spans that would
// contain a retry at this time.
func (w *Window) TightestHeadroom(now time.Time, l Limits) Headroom {
	tightest := Headroom{Slack: l.slackShare()}
	for slotsAhead := range int64(spanBuckets + 1) {
		requests, retries := w.spanEnding(now, slotsAhead)
		h := Headroom{Retries: retries, Requests: requests, Slack: tightest.Slack, Allowed: l.Ratio*requests + tightest.Slack}
		if slotsAhead == 0 || h.Allowed-float64(h.Retries) < tightest.Allowed-float64(tightest.Retries) {
			tightest = h
		}
	}
	return tightest
}

// spanEnding returns the requests and retries that are known of the span that ends slotsAhead slots
// from now. The requests are the mean of that span and the one before it.
func (w *Window) spanEnding(now time.Time, slotsAhead int64) (requests float64, retries int) {
	current := w.slotAt(now)
	end := current + slotsAhead
	for _, b := range w.buckets {
		// The oldest and the newest bucket lie only partly in the span. The newest one counts fully
		// if it is the current one, as all that is known of it lies in the span.
		age := end - b.slot
		switch {
		case b.slot > current || b.slot <= current-historyBuckets:
		case age < spanBuckets:
			requests += float64(b.requests)
			retries += b.retries
		case age == spanBuckets:
			retries += b.retries
		case age < 2*spanBuckets:
			requests += float64(b.requests)
		}
	}
	return requests / 2, retries
}

// slotAt returns the number of the slot at a time. The first slot has the number historyBuckets, so
// that the zero bucket never counts as a recent one.
func (w *Window) slotAt(now time.Time) int64 { return int64(now.Sub(w.start)/w.width) + historyBuckets }

func (w *Window) bucketAt(now time.Time) *bucket {
	slot := w.slotAt(now)
	b := &w.buckets[slot%int64(len(w.buckets))]
	if b.slot != slot {
		*b = bucket{slot: slot}
	}
	return b
}
