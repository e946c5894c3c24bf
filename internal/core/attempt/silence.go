package attempt

import "time"

// pausedFor is by how much a timer may fire late before the process counts as paused.
// Timers of a busy small VM are late by tens of milliseconds.
const pausedFor = 200 * time.Millisecond

// SilenceWatch watches for the silence of a target. The zero SilenceWatch has no due time.
type SilenceWatch struct{ due time.Time }

// SetDeadline sets when the target counts as silent.
func (w *SilenceWatch) SetDeadline(due time.Time) { w.due = due }

// IsSilent reports whether the target was silent, when the timer fires. A timer that is
// late shows that this process was paused: the answers have arrived meanwhile and are
// not read yet. Believed, it would end every attempt under way and suspend all targets.
func (w *SilenceWatch) IsSilent(now time.Time) bool {
	return !w.due.IsZero() && !now.Before(w.due) && now.Sub(w.due) < pausedFor
}
