package gateway

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/attempt"
	"github.com/hemlockdyke/hemlockdyke/internal/core/route"
)

const (
	// hedgeInterval is the time between two tries to place a hedge while the target is silent.
	hedgeInterval = 250 * time.Millisecond
	// maxStreamOverlap is how long two targets may work on the same stream. The platform forbids more than
	// 400 ms; the rest is for the time until the silent target sees the end of its connection.
	maxStreamOverlap = 250 * time.Millisecond
)

// hedge sends the request to a second target while the target of silent is silent. The silent attempt
// stays open until the second target has sent a part of the answer: the silent target may be sound and go
// on, and the second attempt may be denied, find no target or fail.
func (r *openRequest) hedge(silent *targetAttempt) {
	defer r.hedges.Done()
	for silent.silence.isSilent() && silent.ctx.Err() == nil {
		if t := r.placeHedge(silent); t != nil {
			if action := r.makeAttempt(t); action.Kind != attempt.None {
				r.hedgeResult() <- action
				return
			}
			continue
		}
		select {
		case <-time.After(hedgeInterval):
		case <-silent.ctx.Done():
		}
	}
}

// placeHedge places an attempt beside a silent one. It returns nil if the request may not be sent again now.
func (r *openRequest) placeHedge(silent *targetAttempt) *targetAttempt {
	p := r.proxy
	now := p.now()
	if !now.Before(r.deadline) || r.step(attempt.Silent{Attempt: silent.number}).Kind != attempt.RequestTicket {
		return nil
	}
	if headroom := p.traffic.retryHeadroom(now, r.match.pool); !headroom.AllowsRetry() {
		r.logRetryDenied(headroom)
	} else if t, _ := r.place(now, 0, silent); t != nil {
		return t
	}
	r.step(attempt.HedgeRefused{Attempt: silent.number})
	return nil
}

// awaitHedge waits for the hedge that is the last open attempt, and returns what to do after it.
func (r *openRequest) awaitHedge() attempt.Action {
	select {
	case action := <-r.hedgeResult():
		return action
	case <-r.ctx.Done():
	}
	if action := r.endEarly(); action.Kind != attempt.None {
		return action
	}
	return <-r.hedgeResult() // the hedge has finished the request
}

// hedgeResult returns the channel for the action after the last open hedge.
func (r *openRequest) hedgeResult() chan attempt.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hedgeActions == nil {
		r.hedgeActions = make(chan attempt.Action, 1)
	}
	return r.hedgeActions
}

// startOverlap bounds the time for which a hedge and the silent attempt work on the same stream. It is
// called when the hedge is sent.
func (t *targetAttempt) startOverlap() {
	if t.hedges && t.request.match.route.Kind == route.Stream && t.overlapTimer == nil {
		t.overlapTimer = time.AfterFunc(maxStreamOverlap, func() { t.request.step(attempt.OverlapEnded{Attempt: t.number}) })
	}
}

// endOvertaken ends an attempt in whose place another one goes on.
func (t *targetAttempt) endOvertaken() attempt.Action {
	t.failure = t.overtakenReason()
	return t.request.step(attempt.ConnectionFailed{Attempt: t.number})
}

// overtakenReason returns why another attempt goes on in place of this one.
func (t *targetAttempt) overtakenReason() string {
	if t.silence.hasExpired() {
		return failureSilent
	}
	return failureOvertaken
}
