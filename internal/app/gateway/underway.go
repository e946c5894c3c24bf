package gateway

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/core/poison"
)

// errRestarted cancels an attempt whose target has restarted. The new process does not know the
// request.
var errRestarted = errors.New("target has restarted")

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

func (u *attemptRegistry) add(t *targetAttempt) {
	u.mu.Lock()
	defer u.mu.Unlock()
	uid := t.choice.Target.UID
	if u.byTarget[uid] == nil {
		u.byTarget[uid] = make(map[*targetAttempt]context.CancelCauseFunc)
	}
	u.byTarget[uid][t] = t.cancel
}

func (u *attemptRegistry) remove(t *targetAttempt) {
	u.mu.Lock()
	defer u.mu.Unlock()
	uid := t.choice.Target.UID
	delete(u.byTarget[uid], t)
	if len(u.byTarget[uid]) == 0 {
		delete(u.byTarget, uid)
	}
}

// cancelSuspected cancels a request's attempts that have not yet received any part of an answer,
// and returns how many there were. An attempt with an answer continues, as it may clear the
// request.
func (u *attemptRegistry) cancelSuspected(f poison.Fingerprint) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, attempts := range u.byTarget {
		for t, cancel := range attempts {
			if t.request.fingerprint == f && !t.answering.Load() {
				cancel(errSuspected)
				n++
			}
		}
	}
	return n
}

// cancelRestarted cancels the attempts at a lifetime that has ended and returns how many there
// were.
func (u *attemptRegistry) cancelRestarted(uid uint64) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, cancel := range u.byTarget[uid] {
		cancel(errRestarted)
	}
	return len(u.byTarget[uid])
}
