package attempt

import "time"

// stallThreshold is how late a timer may fire before the process counts as stalled. Timers of a
// busy small VM are late by tens of milliseconds.
const stallThreshold = 200 * time.Millisecond

// SilenceWatch detects that a target is silent. The zero SilenceWatch has no deadline.
type SilenceWatch struct{ deadline time.Time }

// SetDeadline sets the time from which the target counts as silent.
func (w *SilenceWatch) SetDeadline(deadline time.Time) { w.deadline = deadline }

// Remaining returns the time until the deadline. It is not positive once the deadline has passed.
func (w *SilenceWatch) Remaining(now time.Time) time.Duration { return w.deadline.Sub(now) }

// IsSilent reports, when the timer fires, whether the target is silent. A timer that fires late
// shows that this process was stalled: answers have arrived meanwhile and are not read yet. If the
// timer counted, every open attempt would fail and all targets would be suspended.
func (w *SilenceWatch) IsSilent(now time.Time) bool {
	return !w.deadline.IsZero() && !now.Before(w.deadline) && now.Sub(w.deadline) < stallThreshold
}
