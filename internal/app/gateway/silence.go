package gateway

import (
	"sync"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/attempt"
)

// silenceTimer calls a function when a target has been silent for too long. All its state, the
// timer itself included, is guarded by one mutex: an expiry sees the timer that belongs to it
// however long the process stalls, and does nothing once stop has returned. It is safe for
// concurrent use.
type silenceTimer struct {
	now       func() time.Time
	afterFunc func(time.Duration, func()) *time.Timer
	onSilent  func() // called with mu held

	mu      sync.Mutex
	timer   *time.Timer // nil before the first start
	watch   attempt.SilenceWatch
	running bool // from start to stop or onSilent
	expired bool // onSilent was called
	silent  bool // nothing arrived since onSilent was called
}

func newSilenceTimer(now func() time.Time, onSilent func()) *silenceTimer {
	return &silenceTimer{now: now, afterFunc: time.AfterFunc, onSilent: onSilent}
}

// start starts the timer, or starts it again: the target is silent if nothing arrives within wait
// after the time from.
func (s *silenceTimer) start(from time.Time, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watch.SetDeadline(from.Add(wait))
	s.running, s.silent = true, false
	if s.timer == nil {
		s.timer = s.afterFunc(wait, s.expire)
	} else {
		s.timer.Reset(wait)
	}
}

// stop stops a timer that was started. onSilent is not called after it, and not running any more.
func (s *silenceTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running, s.silent = false, false
	s.timer.Stop()
}

// hasExpired reports whether the target was silent at any time.
func (s *silenceTimer) hasExpired() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.expired
}

// isSilent reports whether the target has been silent for too long and is silent still.
func (s *silenceTimer) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

func (s *silenceTimer) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running {
		return
	}
	now := s.now()
	remaining := s.watch.Remaining(now)
	switch {
	case remaining > 0: // started again meanwhile
		s.timer.Reset(remaining)
	case !s.watch.IsSilent(now): // this process stalled
		s.watch.SetDeadline(now.Add(minSilenceTimeout))
		s.timer.Reset(minSilenceTimeout)
	default:
		s.running, s.expired, s.silent = false, true, true
		s.onSilent()
	}
}
