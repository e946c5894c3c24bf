package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/upstream"
	"github.com/hemlockdyke/hemlockdyke/internal/core/attempt"
	"github.com/hemlockdyke/hemlockdyke/internal/core/lineage"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/poison"
	"github.com/hemlockdyke/hemlockdyke/internal/core/reach"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
	"github.com/hemlockdyke/hemlockdyke/internal/memory"
)

// forwardBuffered sends an answer to the caller after reading all of it. A truncated body must not
// reach the caller as a complete one.
func (t *targetAttempt) forwardBuffered(answer *upstream.Answer, info AnswerInfo) attempt.Action {
	r := t.request
	body, err := t.readBody(answer)
	t.silence.stop() // a caller that reads slowly does not make the target silent
	switch {
	case r.ctx.Err() != nil && err != nil:
		return t.endByContext()
	case errors.IsAny(err, memory.ErrTooLarge, memory.ErrExhausted):
		t.recordCut(err)
	case err != nil:
		t.recordBrokenConnection("truncated", err)
	case !info.Sealed && answer.Status < http.StatusMultipleChoices:
		t.recordFailure("not_sealed", nil)
	case impliesNotExecuted(answer.Status):
		t.recordFailure("false_promise", nil)
	case answer.Status >= http.StatusInternalServerError:
		return t.handleTargetError(answer, body)
	case r.progress().events > 0:
		t.recordFailure("not_resumed", nil) // the caller has the first events of a stream, which this would follow
	default:
		t.outcome = placement.Answered
		t.recordFirstEvent(true)
		t.recordAnswer(answer, info.Sealed)
		return t.forwardAnswer(answer, body)
	}
	return r.step(attempt.ConnectionFailed{Attempt: t.number})
}

// recordAnswer clears what the request carries of suspicion, as the target executed it and is still
// running. An answer without a length does not show that: it ends with the connection, as it also does
// when the process exits. The target is probed instead. A refusal shows nothing of the prompt's parts.
func (t *targetAttempt) recordAnswer(answer *upstream.Answer, sealed bool) {
	switch {
	case !answer.Framed:
		t.checkEnded(io.EOF, sealed && answer.Status < http.StatusMultipleChoices)
	case sealed && answer.Status < http.StatusMultipleChoices:
		t.clear(t.request.contents)
	case sealed:
		t.clear(t.request.contents[:1])
	}
}

func (t *targetAttempt) clear(c poison.Contents) {
	t.cleared = true
	t.request.proxy.traffic.poisonGuard.recordAnswer(t.request.proxy.now(), c)
}

// impliesNotExecuted reports whether callers understand a status as a guarantee that the request
// was not executed. A target that executed the request must not use such a status.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// handleTargetError handles a 5xx answer from a target. An idempotent request is retried at another
// target; the answer is kept in case no target succeeds.
func (t *targetAttempt) handleTargetError(answer *upstream.Answer, body [][]byte) attempt.Action {
	t.outcome, t.failure = placement.Errored, "target_error"
	r := t.request
	if !r.match.route.AllowsRetry() {
		return t.forwardAnswer(answer, body)
	}
	r.setTargetError(&bufferedAnswer{status: answer.Status, header: answer.Header, body: body, memory: t.memory.Move()})
	if t.hedges {
		time.AfterFunc(maxSilenceTimeout, r.endSilentAttempts)
	}
	return r.step(attempt.ConnectionFailed{Attempt: t.number})
}

// endSilentAttempts cancels the attempts whose targets have not answered, as another target's error is there to
// be sent to the caller.
func (r *openRequest) endSilentAttempts() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.targetError == nil || r.machine.State() == attempt.Answering || r.stream.events > 0 {
		return
	}
	for _, t := range r.attempts {
		if t.silence.isSilent() {
			t.cancel(errOvertaken)
		}
	}
}

// forwardAnswer sends a complete answer to the caller, unless another attempt has answered.
func (t *targetAttempt) forwardAnswer(answer *upstream.Answer, body [][]byte) attempt.Action {
	r := t.request
	if r.step(attempt.Part{Attempt: t.number, Echo: t.number}).Kind != attempt.Forward {
		return t.endOvertaken()
	}
	r.sendAnswer(answer.Status, answer.Header, body...)
	return r.step(attempt.End{Attempt: t.number, Echo: t.number, Total: 1})
}

// streamProgress records how much of a stream the caller has received.
type streamProgress struct {
	lastEventID string // ID of the last event sent
	events      int    // events sent, over all attempts
	// software is the version that sent the first event, the only one that may send more; 0 if the
	// stream has not begun.
	software lineage.Software
}

// streamReadSize is the size of the buffer for reading a stream, in bytes.
const streamReadSize = 8 << 10

// forwardStream sends complete events to the caller as they arrive. An incomplete event is held
// back: if the target stops in the middle of it, another target sends the whole event again.
func (t *targetAttempt) forwardStream(answer *upstream.Answer) attempt.Action {
	var buffer eventBuffer
	chunk := make([]byte, streamReadSize)
	for {
		n, err := answer.Read(chunk)
		if n > 0 {
			t.silence.stop()
			t.recordBytes()
			events, count, eventErr := buffer.add(chunk[:n])
			if action, ended := t.forwardEvents(answer, events, count); ended {
				return action
			}
			if eventErr == nil {
				eventErr = t.holdMemory(buffer.size())
			}
			if eventErr != nil {
				if t.request.ctx.Err() != nil {
					return t.endByContext()
				}
				t.recordCut(eventErr)
				return t.request.step(attempt.ConnectionFailed{Attempt: t.number})
			}
			t.resetSilenceTimer()
		}
		if err != nil {
			return t.endStream(answer, buffer.rest(), err)
		}
	}
}

// forwardEvents sends complete events to the caller, if there are any. If ended is true, the attempt has
// ended with action.
func (t *targetAttempt) forwardEvents(answer *upstream.Answer, events []byte, count int) (action attempt.Action, ended bool) {
	if count == 0 {
		return attempt.Action{}, false
	}
	r := t.request
	isFirst, ok := t.claimEvents(answer.Status, count, events)
	if !ok {
		return t.endOvertaken(), true
	}
	t.recordFirstEvent(true)
	if t.events > count && !t.cleared && t.hasOutlivedBlame() {
		t.clear(r.contents)
	}
	if isFirst {
		r.responder.SendHeader(answer.Status, answer.Header, -1)
	}
	if err := r.responder.Write(events); err != nil {
		return r.step(attempt.CallerDisconnected{}), true
	}
	return attempt.Action{}, false
}

// claimEvents records complete events that are about to be sent to the caller. It returns false if
// another attempt answers the request; isFirst is true if they are the first of the answer.
func (t *targetAttempt) claimEvents(status, count int, events []byte) (isFirst, ok bool) {
	r := t.request
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.events == 0 && r.stream.events > 0 && r.stream.software == lineage.Conflicting {
		return false, false // the version that sent the first events became unknown after this attempt was placed
	}
	for range count {
		if r.stepLocked(attempt.Part{Attempt: t.number, Echo: t.number, Offset: r.stream.events}).Kind != attempt.Forward {
			return false, false
		}
		r.stream.events++
		t.events++
	}
	if t.firstEventAt.IsZero() {
		t.firstEventAt = r.proxy.now()
		t.answering.Store(true)
		r.bindStream(t.choice.Target)
	}
	if id, found := findLastEventID(events); found {
		r.stream.lastEventID = id
	}
	if isFirst = r.firstByteAt.IsZero(); isFirst {
		r.firstByteAt, r.status = r.proxy.now(), status
	}
	return isFirst, true
}

// findLastEventID returns the ID of the last event that has one.
func findLastEventID(events []byte) (string, bool) {
	start := bytes.LastIndex(events, []byte("id:"))
	for start > 0 && !strings.ContainsRune(lineEnds, rune(events[start-1])) {
		start = bytes.LastIndex(events[:start], []byte("id:"))
	}
	if start < 0 {
		return "", false
	}
	line := events[start+len("id:"):]
	if end := bytes.IndexAny(line, lineEnds); end >= 0 {
		line = line[:end]
	}
	return string(bytes.TrimSpace(line)), true
}

// endStream ends the attempt after a read error, which is io.EOF at the end of the body. pending is
// the incomplete event that was read last.
func (t *targetAttempt) endStream(answer *upstream.Answer, pending []byte, err error) attempt.Action {
	t.silence.stop()
	r := t.request
	switch {
	case errors.Is(err, io.EOF) && (answer.Framed || len(pending) == 0):
		// An answer without a length ends with the connection. A broken one ends with a reset or in
		// the middle of an event.
		action, ok := t.claimEnd()
		if !ok {
			return t.endOvertaken()
		}
		t.outcome = placement.Answered
		t.recordAnswer(answer, true)
		t.recordWork()
		if r.firstByteAt.IsZero() {
			r.sendAnswer(answer.Status, answer.Header, pending)
		} else if len(pending) > 0 {
			_ = r.responder.Write(pending) // a write error also cancels the caller's context
		}
		return action
	case r.ctx.Err() != nil:
		return t.endByContext()
	}
	t.recordBrokenConnection("stream_cut", err)
	return r.step(attempt.ConnectionFailed{Attempt: t.number})
}

// claimEnd records the end of the answer. It returns false if another attempt answers the request.
func (t *targetAttempt) claimEnd() (action attempt.Action, ok bool) {
	r := t.request
	r.mu.Lock()
	defer r.mu.Unlock()
	action = r.stepLocked(attempt.End{Attempt: t.number, Echo: t.number, Total: r.stream.events})
	return action, action.Kind != attempt.None
}

// A target counts as silent after a multiple of the route's objective. The silence is recorded for
// placement, as a failure of the target. An idempotent request is then hedged, see openRequest.hedge.
// Any other request keeps waiting.
const (
	answerTimeoutFactor   = 2.0
	eventGapTimeoutFactor = 3.0
	// minSilenceTimeout covers the normal variation in a healthy target's response time.
	minSilenceTimeout = 250 * time.Millisecond
	// maxSilenceTimeout leaves a second attempt at a stream the time to answer before the caller gives up.
	// Callers give up after at least 2 s without an event.
	maxSilenceTimeout = 1200 * time.Millisecond
)

func silenceTimeout(objective time.Duration, factor float64) time.Duration {
	return min(max(time.Duration(float64(objective)*factor), minSilenceTimeout), maxSilenceTimeout)
}

// startSilenceTimer starts the timer for the whole answer, or for the first part of a stream.
func (t *targetAttempt) startSilenceTimer() {
	t.silence.start(t.startedAt, silenceTimeout(t.request.match.route.Objective, answerTimeoutFactor))
}

// resetSilenceTimer restarts the timer for the next part of a stream. The timer is stopped while a
// part is written to the caller, so that a slow caller is not taken for a silent target.
func (t *targetAttempt) resetSilenceTimer() {
	t.silence.start(t.request.proxy.now(), silenceTimeout(t.request.match.route.GapObjective, eventGapTimeoutFactor))
}

// recordBytes records that bytes arrived over this router's own path.
func (t *targetAttempt) recordBytes() {
	if !t.isForwarded() {
		t.request.proxy.traffic.path.recordBytes(t.request.proxy.now(), t.request.match.pool)
	}
}

// onSilent records that the target was silent for too long, and hedges the request if it may be sent
// again. It runs before the attempt ends.
func (t *targetAttempt) onSilent() {
	r := t.request
	if t.isForwarded() {
		r.proxy.traffic.path.recordForwarder(r.proxy.now(), r.match.pool, *t.forwarder.Load(), reach.Silent, nil)
	} else {
		t.recordSilence()
	}
	if r.match.route.AllowsRetry() {
		r.hedges.Add(1)
		go r.hedge(t)
	}
}

// recordSilence records the silence of a target that this router sent the request to itself.
func (t *targetAttempt) recordSilence() {
	r := t.request
	t.checkPathAfter(reach.NoAnswer)
	if !r.proxy.traffic.path.isCut(r.match.pool) && r.proxy.traffic.recordSilence(r.proxy.now(), t.choice.Target.UID) {
		r.logLine(eventlog.TargetSuspended).Str("target", t.choice.Target.ID).Str("why", "silent").Msg("")
	}
}
