package retry

import "time"

// Window limits the repeats of one router to its part of a budget that the whole
// fleet shares. The budget holds in any span of time: ratio x requests + slack, where the
// requests are those of that span, of the one before it, or of the one that begins half
// a span before it, whichever has most. Each router spends the ratio of its own requests
// and an equal part of the slack, so that the parts add up to the budget without any
// message. It is not safe for concurrent use.
//
// The largest of a fleet's three sums is less than the sum of each router's largest: callers
// move from routers that stop to others. So each router goes by the mean of the span
// and the one before it, which adds up to no more than the larger of the two sums. A load
// that stays the same has the whole ratio, a router that has just started half of it.
//
// The parts by requests add up over the processes that run on a VM one after the other, as each counts its own.
// Parts of the slack don't: see SlackAfter.
type Window struct {
	start   time.Time // slots count from here: the time of day may jump
	slot    time.Duration
	buckets [historyBuckets]bucket
}

type bucket struct {
	slot              int64
	requests, repeats int
}

const (
	// spanBuckets is the resolution. Requests of buckets that lie in a span in part
	// don't count, repeats of such buckets do: one in twenty of the ratio is left unused.
	spanBuckets = 20
	// historyBuckets cover the span that ends now and the one before it.
	historyBuckets = 2*spanBuckets + 1
)

// Limits are a fleet's budget and this router's part of it.
type Limits struct {
	Ratio   float64
	Slack   float64
	Routers int // that share the slack, as far as this one knows; 0 while none of it may be used
}

// leastRouters is how many routers share the slack at least. One that has just started
// hears nobody yet, and many may start at once; each taking all of it would pass the
// budget many times over.
const leastRouters = 8

// settle is how long routers take to learn of one that has started, and it of them.
const settle = 2 * time.Second

// SlackDelay returns for how long a process that has started uses none of the slack. The one before it on its VM, or the VM in whose place it
// came, may have used its part a moment ago, and no memory of that is left: with a part for each start, targets would get many times
// the budget while routers start again and again.
func SlackDelay(span time.Duration) time.Duration { return span + settle }

// slackHeadroom is the part of the slack that is used: a repeat may reach its target a
// moment after it was counted, in a span that the router has no longer in view.
const slackHeadroom = 0.95

// slackPart returns this router's part of the slack.
func (l Limits) slackPart() float64 {
	if l.Routers == 0 {
		return 0
	}
	return slackHeadroom * l.Slack / float64(max(l.Routers, leastRouters))
}

// NewWindow returns an empty Window of a span.
func NewWindow(now time.Time, span time.Duration) *Window {
	return &Window{start: now, slot: span / spanBuckets}
}

// RecordRequest counts the first send of a request.
func (w *Window) RecordRequest(now time.Time) { w.at(now).requests++ }

// Headroom is what is left of this router's part of the budget.
type Headroom struct {
	Retries  int     // that lie in the span with the least room
	Requests float64 // that count for it
	Slack    float64 // this router's part
	Allowed  float64
}

// ok reports whether one more repeat has room.
func (r Headroom) ok() bool { return float64(r.Retries+1) <= r.Allowed }

// TryRetry counts a further send if the budget has room for it in every span that it will
// lie in, whatever comes.
func (w *Window) TryRetry(now time.Time, l Limits) bool {
	if !w.TightestHeadroom(now, l).ok() {
		return false
	}
	w.at(now).repeats++
	return true
}

// TightestHeadroom returns what is left in the span with the least room of those that a repeat would lie in.
func (w *Window) TightestHeadroom(now time.Time, l Limits) Headroom {
	least := Headroom{Slack: l.slackPart()}
	for ends := range int64(spanBuckets + 1) {
		requests, repeats := w.spanEnding(now, ends)
		r := Headroom{Retries: repeats, Requests: requests, Slack: least.Slack, Allowed: l.Ratio*requests + least.Slack}
		if ends == 0 || r.Allowed-float64(r.Retries) < least.Allowed-float64(least.Retries) {
			least = r
		}
	}
	return least
}

// spanEnding returns what is known of the span that ends a number of slots from now: the
// mean of its requests and those of the span before it, and its repeats.
func (w *Window) spanEnding(now time.Time, slots int64) (requests float64, repeats int) {
	current := w.number(now)
	end := current + slots
	for _, b := range w.buckets {
		// The oldest and the newest bucket lie in the span in part; of the newest one all that
		// is known does if it is the present one.
		age := end - b.slot
		switch {
		case b.slot > current || b.slot <= current-historyBuckets:
		case age < spanBuckets:
			requests += float64(b.requests)
			repeats += b.repeats
		case age == spanBuckets:
			repeats += b.repeats
		case age < 2*spanBuckets:
			requests += float64(b.requests)
		}
	}
	return requests / 2, repeats
}

// number counts slots from one history before the start, so that an empty bucket never
// looks like a present one.
func (w *Window) number(now time.Time) int64 { return int64(now.Sub(w.start)/w.slot) + historyBuckets }

func (w *Window) at(now time.Time) *bucket {
	slot := w.number(now)
	b := &w.buckets[slot%int64(len(w.buckets))]
	if b.slot != slot {
		*b = bucket{slot: slot}
	}
	return b
}
