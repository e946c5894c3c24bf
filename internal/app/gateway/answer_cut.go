package gateway

import (
	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/upstream"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/memory"
)

// Parts of an answer at which a router stops to read it, as the metrics name them.
const (
	PartHead   = "head"
	PartEvent  = "event"
	PartBody   = "body"
	PartMemory = "memory" // the body or an event, as this router has no memory for it
)

// recordCut records that the router does not read an answer to its end. A target that sends too much has
// failed; that this router has no memory says nothing about the target.
func (t *targetAttempt) recordCut(err error) {
	part := PartMemory
	switch {
	case errors.Is(err, upstream.ErrHeadTooLarge):
		part = PartHead
		t.recordFailure("head_too_large", err)
	case errors.Is(err, errEventTooLarge):
		part = PartEvent
		t.recordFailure("event_too_large", err)
	case errors.Is(err, memory.ErrTooLarge):
		part = PartBody
		t.recordFailure("too_large", err)
	case errors.Is(err, memory.ErrExhausted):
		t.recordFailure("no_memory", err)
		t.outcome = placement.Neutral
	default: // this router cancelled the attempt while it waited for memory
		t.recordFailure(t.failureCause("no_memory"), err)
		return
	}
	t.request.proxy.observer.CountCutAnswer(part)
}

// reserveMemory reserves memory for the answer. While it waits for it, the connection is not read and the
// target does not count as silent.
func (t *targetAttempt) reserveMemory(n int64) error {
	if t.memory.TryGrow(n) {
		return nil
	}
	t.silence.stop()
	err := t.memory.Grow(t.ctx, n)
	if err == nil {
		t.silence.start(t.request.proxy.now(), silenceTimeout(t.request.match.route.Objective, answerTimeoutFactor))
	}
	return err
}

// holdMemory changes the memory that is reserved for the answer to n bytes.
func (t *targetAttempt) holdMemory(n int64) error {
	held := t.memory.Bytes()
	if n <= held {
		t.memory.Shrink(held - n)
		return nil
	}
	return t.reserveMemory(n - held)
}

// readBody reads an answer into pieces.
func (t *targetAttempt) readBody(answer *upstream.Answer) ([][]byte, error) {
	b := memory.PieceReader{Reserve: t.reserveMemory, Limit: min(maxBufferedBody, t.request.proxy.traffic.memory.Limit()/3)}
	return b.Read(answer, answer.Length)
}
