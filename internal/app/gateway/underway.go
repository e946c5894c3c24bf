package gateway

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/core/poison"
)

// errRestarted ends an attempt whose target has started again since: nobody works on it any more.
var errRestarted = errors.New("target has started again")

// underWay holds the attempts under way by the lifetime of their target. A target that is cut
// off, crashes and starts again resets nothing: an attempt at its earlier lifetime would wait
// for its deadline, although the list of targets tells that no answer will come. It is safe for
// concurrent use.
type underWay struct {
	mu       sync.Mutex
	byTarget map[uint64]map[*try]context.CancelCauseFunc
}

// errSuspected ends an attempt whose request is suspected to end its target. It may still wait there.
var errSuspected = errors.New("targets have ended under this request")

func newUnderWay() *underWay {
	return &underWay{byTarget: make(map[uint64]map[*try]context.CancelCauseFunc)}
}

func (u *underWay) add(t *try) {
	u.mu.Lock()
	defer u.mu.Unlock()
	uid := t.choice.Target.UID
	if u.byTarget[uid] == nil {
		u.byTarget[uid] = make(map[*try]context.CancelCauseFunc)
	}
	u.byTarget[uid][t] = t.cancel
}

func (u *underWay) remove(t *try) {
	u.mu.Lock()
	defer u.mu.Unlock()
	uid := t.choice.Target.UID
	delete(u.byTarget[uid], t)
	if len(u.byTarget[uid]) == 0 {
		delete(u.byTarget, uid)
	}
}

// suspected ends the attempts of a request that have no part of an answer yet, and returns how many there were. One that has
// an answer may show that the request is proper.
func (u *underWay) suspected(f poison.Fingerprint) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, tries := range u.byTarget {
		for t, cancel := range tries {
			if t.run.fingerprint == f && !t.answering.Load() {
				cancel(errSuspected)
				n++
			}
		}
	}
	return n
}

// restarted ends the attempts at a lifetime that is over and returns how many there were.
func (u *underWay) restarted(uid uint64) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, cancel := range u.byTarget[uid] {
		cancel(errRestarted)
	}
	return len(u.byTarget[uid])
}
