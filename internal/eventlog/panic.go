package eventlog

import (
	"fmt"
	"runtime/debug"
	"strings"

	"github.com/cockroachdb/errors"
)

// The bounds of a panic's line keep it below maxBatchBytes.
const (
	maxPanicValueBytes = 512
	maxPanicStackBytes = 2 << 10
)

// OnPanic sets a function that is called for each panic, by where it occurred. It must be called before
// the Log is shared.
func (l *Log) OnPanic(count func(where string)) { l.countPanic = count }

// FlushWith sets a function that waits until the lines so far are written. It must be called before the
// Log is shared.
func (l *Log) FlushWith(flush func()) { l.flush = flush }

// RecordPanic logs and counts a panic with the recovered value. It must be called while the deferred
// function that recovered runs, so that the stack still has the frames of the panic. request is the id
// of the request that it ended, or empty.
func (l *Log) RecordPanic(where string, value any, request string) {
	l.Line(Panic).Str("where", where).Str("request", request).Str("value", describe(value)).
		Str("stack", truncate(panicStack(), maxPanicStackBytes)).Msg("")
	if l.countPanic != nil {
		l.countPanic(where)
	}
}

// ErrPanic marks the error that Try returns for a panic.
var ErrPanic = errors.New("panic")

// Try calls f and returns its error. A panic of f is logged, counted and returned as an ErrPanic. Use it
// only if a panic of f can leave no shared state behind that is locked or half changed.
func (l *Log) Try(where string, f func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			l.RecordPanic(where, value, "")
			err = errors.Mark(errors.Newf("panic: %s", describe(value)), ErrPanic)
		}
	}()
	return f()
}

// Guard calls f like Try.
func (l *Log) Guard(where string, f func()) {
	_ = l.Try(where, func() error { f(); return nil })
}

// Go calls f on a new goroutine like Try.
func (l *Log) Go(where string, f func()) { go l.Guard(where, f) }

// GoOrEnd calls f on a new goroutine that owns state which a panic leaves broken. A panic is logged and
// counted, and ends the process with a status other than 0 once its line is written.
func (l *Log) GoOrEnd(where string, f func()) {
	go func() {
		defer l.endOnPanic(where)
		f()
	}()
}

// endOnPanic is deferred. It panics again with the recovered value.
func (l *Log) endOnPanic(where string) {
	value := recover()
	if value == nil {
		return
	}
	l.RecordPanic(where, value, "")
	if l.flush != nil {
		l.flush()
	}
	panic(value)
}

// panicStack returns the stack of the goroutine that panics, from the function that panicked on.
func panicStack() string {
	stack := string(debug.Stack())
	_, frames, ok := strings.Cut(stack, "\npanic(")
	if !ok {
		return stack
	}
	for range 2 { // the rest of the line and the position of panic itself
		_, frames, _ = strings.Cut(frames, "\n")
	}
	return frames
}

// describe returns a panic's value, bounded.
func describe(value any) string { return truncate(fmt.Sprint(value), maxPanicValueBytes) }

func truncate(s string, n int) string { return s[:min(len(s), n)] }
