package gateway

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/core/poison"
)

// errRestarted cancels an attempt whose target has restarted. The new process does not know the
// request.
var errRestarted = errors.New("target has restarted")

// errVersionChanged is errRestarted for a target that runs another software version now. The list may
// have shown that late, so nobody knows which version sent the events of the attempt.
var errVersionChanged = errors.Wrap(errRestarted, "with another software version")

// attemptRegistry holds the open attempts by target lifetime. If a target is partitioned, crashes
// and restarts, the router sees no connection reset. An attempt at the earlier lifetime would wait
// until its deadline, although the target list shows that no answer can come. It is safe for
// concurrent use.
type attemptRegistry struct {
	mu       sync.Mutex
	byTarget map[uint64]map[*targetAttempt]context.CancelCauseFunc
}

// errSuspected cancels an attempt whose request has become suspected. The target may not have
// started to execute it.
var errSuspected = errors.New("request is suspected of making targets exit")

func newAttemptRegistry() *attemptRegistry {
	return &attemptRegistry{byTarget: make(map[uint64]map[*targetAttempt]context.CancelCauseFunc)}
}

func (r *attemptRegistry) add(t *targetAttempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	uid := t.choice.Target.UID
	if r.byTarget[uid] == nil {
		r.byTarget[uid] = make(map[*targetAttempt]context.CancelCauseFunc)
	}
	r.byTarget[uid][t] = t.cancel
}

func (r *attemptRegistry) remove(t *targetAttempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	uid := t.choice.Target.UID
	delete(r.byTarget[uid], t)
	if len(r.byTarget[uid]) == 0 {
		delete(r.byTarget, uid)
	}
}

// cancelSuspected cancels the attempts of requests that carry a suspect, except those that are answering,
// and returns how many it cancelled. An attempt that is answering continues, as its end may clear the
// suspect.
func (r *attemptRegistry) cancelSuspected(f poison.Fingerprint) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, attempts := range r.byTarget {
		for t, cancel := range attempts {
			if slices.Contains(t.request.contents, f) && !t.answering.Load() {
				cancel(errSuspected)
				n++
			}
		}
	}
	return n
}

// cancelRestarted cancels the attempts at a lifetime that has ended, for a cause, and returns how many
// there were.
func (r *attemptRegistry) cancelRestarted(uid uint64, cause error) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, cancel := range r.byTarget[uid] {
		cancel(cause)
	}
	return len(r.byTarget[uid])
}
