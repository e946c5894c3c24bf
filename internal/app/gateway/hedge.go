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
	defer func() {
		if value := recover(); value != nil {
			r.proxy.log.RecordPanic(whereHedge, value, r.match.call.ID)
			r.endHedge(hedgeEnd{panicked: value})
		}
	}()
	denied := false
	for silent.silence.isSilent() && silent.ctx.Err() == nil {
		t, askAgain := r.placeHedge(silent, &denied)
		if t != nil {
			if action := r.makeAttempt(t); action.Kind != attempt.None {
				r.endHedge(hedgeEnd{action: action})
				return
			}
			continue
		}
		if !askAgain {
			return
		}
		select {
		case <-time.After(hedgeInterval):
		case <-silent.ctx.Done():
		}
	}
}

// placeHedge places an attempt beside a silent one. It returns nil if the request may not be sent again now,
// and whether to ask again during this silence. A refusal by admission is not asked again: it counts as
// offered work each time. denied tells whether the budget has denied it before, which is logged once.
func (r *openRequest) placeHedge(silent *targetAttempt, denied *bool) (t *targetAttempt, askAgain bool) {
	p := r.proxy
	now := p.now()
	if !now.Before(r.deadline) || r.step(attempt.Silent{Attempt: silent.number}).Kind != attempt.RequestTicket {
		return nil, true
	}
	askAgain = true
	if headroom := p.traffic.retryHeadroom(now, r.match.pool); !headroom.AllowsRetry() {
		if !*denied {
			r.logRetryDenied(headroom)
		}
		*denied = true
		r.setRetryDenied()
	} else {
		placed, refused := r.place(now, 0, silent)
		if placed != nil {
			return placed, true
		}
		askAgain = !refused.notAdmitted
	}
	r.step(attempt.HedgeRefused{Attempt: silent.number})
	return nil, askAgain
}

// awaitHedge waits for the hedge that is the last open attempt, and returns what to do after it.
func (r *openRequest) awaitHedge() attempt.Action {
	select {
	case end := <-r.hedgeResult():
		return end.take()
	case <-r.ctx.Done():
	}
	if action := r.endEarly(); action.Kind != attempt.None {
		return action
	}
	end := <-r.hedgeResult() // the hedge has finished the request
	return end.take()
}

// hedgeEnd is how a hedge ended that was the last open attempt, or that panicked.
type hedgeEnd struct {
	action   attempt.Action
	panicked any // the recovered value; nil if the hedge did not panic
}

// take returns the action. It panics on the goroutine of the handler if the hedge panicked, so that the caller
// gets the handler's answer to that.
func (e hedgeEnd) take() attempt.Action {
	if e.panicked != nil {
		panic(e.panicked)
	}
	return e.action
}

// endHedge passes on how a hedge ended. After the first end, others tell nothing more.
func (r *openRequest) endHedge(end hedgeEnd) {
	select {
	case r.hedgeResult() <- end:
	default:
	}
}

// whereHedge names the goroutines of hedges in the lines and counts of panics.
const whereHedge = "hedge"

func (r *openRequest) setRetryDenied() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryDenied = true
}

// hedgeResult returns the channel for the end of the last open hedge.
func (r *openRequest) hedgeResult() chan hedgeEnd {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hedgeEnds == nil {
		r.hedgeEnds = make(chan hedgeEnd, 1)
	}
	return r.hedgeEnds
}

// startOverlap bounds the time for which a hedge and the silent attempt work on the same stream. It is
// called when the hedge is sent.
func (t *targetAttempt) startOverlap() {
	switch {
	case !t.hedges || t.request.match.route.Kind != route.Stream:
	case t.overlapTimer != nil: // another forwarder is asked
		t.overlapTimer.Reset(maxStreamOverlap)
	default:
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
