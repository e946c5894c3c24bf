package gateway

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/upstream"
	"github.com/hemlockdyke/hemlockdyke/internal/core/attempt"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// maxWhole is the largest answer that is read whole before any of it goes on.
const maxWhole = 16 << 20

// relayWhole passes an answer on once all of it has arrived: a body shorter than
// announced must not reach the caller as a whole one.
func (t *try) relayWhole(answer *upstream.Answer, reply Reply) attempt.Action {
	x := t.run
	body, err := io.ReadAll(io.LimitReader(answer, maxWhole+1))
	switch {
	case x.ctx.Err() != nil && err != nil:
		return t.ended()
	case err != nil:
		t.broken("truncated", err)
	case len(body) > maxWhole:
		t.fail("too_large", nil)
	case !reply.Sealed && answer.Status < http.StatusMultipleChoices:
		t.fail("not_sealed", nil)
	case promises(answer.Status):
		t.fail("false_promise", nil)
	case answer.Status >= http.StatusInternalServerError:
		return t.errored(answer, body)
	default:
		t.outcome = placement.Answered
		t.firstEvent(true)
		t.ran(answer, reply.Sealed)
		return t.pass(answer, body)
	}
	return x.machine.Step(attempt.Broken{Attempt: t.number})
}

// ran tells that the target has run the request and goes on. An answer without a length ends with its connection, as one does whose
// target has ended: it clears nobody, and the target is asked.
func (t *try) ran(answer *upstream.Answer, sealed bool) {
	switch {
	case !answer.Framed:
		t.blame(io.EOF)
	case sealed:
		t.run.relay.view.guard.ran(t.run.relay.now(), t.run.fingerprint)
	}
}

// promises reports whether callers take a status as the promise that the request
// has not run. A target's own answer with such a status makes none.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// errored is a target's own failure. A request that may run again goes to another
// target; the answer is kept for the case that none takes it.
func (t *try) errored(answer *upstream.Answer, body []byte) attempt.Action {
	t.outcome, t.failure = placement.Errored, "target_error"
	x := t.run
	if !x.match.route.Repeatable() {
		return t.pass(answer, body)
	}
	x.kept = &kept{status: answer.Status, header: answer.Header, body: body}
	return x.machine.Step(attempt.Broken{Attempt: t.number})
}

func (t *try) pass(answer *upstream.Answer, body []byte) attempt.Action {
	x := t.run
	x.machine.Step(attempt.Part{Attempt: t.number, Echo: t.number})
	x.whole(answer.Status, answer.Header, body)
	return x.machine.Step(attempt.End{Attempt: t.number, Echo: t.number, Total: 1})
}

// streamState is how far the caller has a stream.
type streamState struct {
	last   string // id of the last event passed on
	events int    // passed on, over all attempts
}

// streamBuffer is how much of a stream is read at once.
const streamBuffer = 8 << 10

// relayStream passes whole events on as they arrive. A target may stop in the
// middle of one; the part would spoil the event that another target sends again.
func (t *try) relayStream(answer *upstream.Answer) attempt.Action {
	var pending []byte
	chunk := make([]byte, streamBuffer)
	for {
		n, err := answer.Read(chunk)
		if n > 0 {
			t.timer.Stop()
			pending = append(pending, chunk[:n]...)
			rest, action := t.passEvents(answer, pending)
			if action.Kind == attempt.Finish {
				return action
			}
			t.listen()
			pending = append(pending[:0], rest...)
		}
		if err != nil {
			return t.streamEnded(answer, pending, err)
		}
	}
}

// eventEnd ends an event of a text/event-stream.
var eventEnd = []byte("\n\n")

// passEvents passes the whole events in data on and returns what is left over.
func (t *try) passEvents(answer *upstream.Answer, data []byte) ([]byte, attempt.Action) {
	x := t.run
	whole := 0
	for {
		n := bytes.Index(data[whole:], eventEnd)
		if n < 0 {
			break
		}
		whole += n + len(eventEnd)
		x.machine.Step(attempt.Part{Attempt: t.number, Echo: t.number, Offset: x.stream.events})
		x.stream.events++
		t.events++
	}
	if whole == 0 {
		return data, attempt.Action{}
	}
	t.firstEvent(true)
	if t.firstAt.IsZero() {
		t.firstAt = x.relay.now()
		t.answering.Store(true)
	}
	if id, ok := lastID(data[:whole]); ok {
		x.stream.last = id
	}
	if x.first.IsZero() {
		x.first, x.status = x.relay.now(), answer.Status
		x.out.SendHeader(answer.Status, answer.Header, -1)
	}
	if err := x.out.Write(data[:whole]); err != nil {
		return nil, x.machine.Step(attempt.CallerLeft{})
	}
	return data[whole:], attempt.Action{}
}

// lastID returns the id of the last event that has one.
func lastID(events []byte) (string, bool) {
	at := bytes.LastIndex(events, []byte("id:"))
	for at > 0 && events[at-1] != '\n' {
		at = bytes.LastIndex(events[:at], []byte("id:"))
	}
	if at < 0 {
		return "", false
	}
	line, _, _ := bytes.Cut(events[at+len("id:"):], []byte("\n"))
	return string(bytes.TrimSpace(line)), true
}

func (t *try) streamEnded(answer *upstream.Answer, pending []byte, err error) attempt.Action {
	x := t.run
	switch {
	case errors.Is(err, io.EOF) && (answer.Framed || len(pending) == 0):
		// Without a length the end of the connection is the end of the answer; one
		// that is cut off ends with a reset, or in the middle of an event.
		t.outcome = placement.Answered
		t.ran(answer, true)
		if x.first.IsZero() {
			x.whole(answer.Status, answer.Header, pending)
		} else if len(pending) > 0 {
			_ = x.out.Write(pending) // a caller that left shows in its context
		}
		return x.machine.Step(attempt.End{Attempt: t.number, Echo: t.number, Total: x.stream.events})
	case x.ctx.Err() != nil:
		return t.ended()
	}
	t.broken("stream_cut", err)
	return x.machine.Step(attempt.Broken{Attempt: t.number})
}

// The patience with a silent target, as multiples of what the route aims at. A
// request that may run again goes elsewhere while there is time left for it to be
// answered; any other goes on waiting, but no more are sent there.
const (
	patienceFirst = 2.0
	patienceGap   = 3.0
	// patienceLeast covers the spread of a healthy target's work.
	patienceLeast = 250 * time.Millisecond
	// patienceMost ends a stream's attempt before its caller leaves, which is after
	// two seconds without an event at the earliest.
	patienceMost = 1200 * time.Millisecond
)

func patience(aim time.Duration, multiple float64) time.Duration {
	return min(max(time.Duration(float64(aim)*multiple), patienceLeast), patienceMost)
}

// watchFirst starts to watch for the first byte of the answer.
func (t *try) watchFirst() {
	wait := patience(t.run.match.route.Objective, patienceFirst)
	t.silence.Until(t.began.Add(wait))
	t.timer = time.AfterFunc(wait, t.fired)
}

// listen starts to watch for the next part of a stream. While a part is passed on to
// the caller nobody listens, and the target's silence does not count.
func (t *try) listen() {
	wait := patience(t.run.match.route.GapObjective, patienceGap)
	t.mu.Lock()
	t.silence.Until(t.run.relay.now().Add(wait))
	t.mu.Unlock()
	t.timer.Reset(wait)
}

// fired runs when the timer ends.
func (t *try) fired() {
	x := t.run
	t.mu.Lock()
	silent := t.silence.Silent(x.relay.now())
	if !silent {
		t.silence.Until(x.relay.now().Add(patienceLeast))
	}
	t.mu.Unlock()
	if !silent {
		t.timer.Reset(patienceLeast) // this process was paused: look again
		return
	}
	t.mu.Lock()
	t.silenceCounted = true
	t.mu.Unlock()
	if x.relay.view.silent(x.relay.now(), t.choice.Target.UID) {
		x.note(eventlog.TargetSuspended).Str("target", t.choice.Target.ID).Str("why", "silent").Msg("")
	}
	if x.match.route.Repeatable() && x.match.route.MaxAttempts > t.number {
		t.cancel(errSilent)
	}
}
