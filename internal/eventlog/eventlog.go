package eventlog

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Log writes lines within their bounds. It is safe for concurrent use.
type Log struct {
	out zerolog.Logger
	now func() time.Time

	mu     sync.Mutex
	counts map[string]*count
}

// count is what was written of one kind in the present second.
type count struct {
	since   time.Time
	written int
	left    int
}

// New returns a Log that writes to out.
func New(out zerolog.Logger, now func() time.Time) *Log {
	return &Log{out: out, now: now, counts: make(map[string]*count)}
}

// Nop returns a Log that writes nothing.
func Nop() *Log { return New(zerolog.Nop(), time.Now) }

// Line begins a line. It is nil, which takes fields and writes nothing, if the kind's
// room for this second is used up.
func (l *Log) Line(k Kind) *zerolog.Event {
	left, write := l.count(k)
	if left > 0 {
		l.begin(LinesDropped).Str("kind", k.Name).Int("count", left).Msg("")
	}
	if !write {
		return nil
	}
	return l.begin(k)
}

func (l *Log) begin(k Kind) *zerolog.Event { return l.out.WithLevel(k.Level).Str("event", k.Name) }

// count takes one line of a kind and reports whether it is written, and how many of
// the second before were not.
func (l *Log) count(k Kind) (left int, write bool) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.counts[k.Name]
	if !ok {
		c = &count{since: now}
		l.counts[k.Name] = c
	}
	if now.Sub(c.since) >= time.Second {
		left = c.left
		*c = count{since: now}
	}
	if c.written >= k.MaxPerSecond {
		c.left++
		return left, false
	}
	c.written++
	return left, true
}
