package eventlog

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Log writes event lines and limits their rate for each kind. It is safe for concurrent use.
type Log struct {
	out zerolog.Logger
	now func() time.Time

	countPanic func(where string) // nil counts nothing
	flush      func()             // nil waits for nothing

	mu     sync.Mutex
	counts map[string]*lineCount // by name of the kind
}

// lineCount counts the lines of one kind since the start of the current second.
type lineCount struct {
	secondStartedAt time.Time
	written         int
	dropped         int
}

// New returns a Log that writes to out.
func New(out zerolog.Logger, now func() time.Time) *Log {
	return &Log{out: out, now: now, counts: make(map[string]*lineCount)}
}

// Nop returns a Log that discards all lines.
func Nop() *Log { return New(zerolog.Nop(), time.Now) }

// Line begins a line of a kind. It returns nil, which accepts fields and writes nothing, if the
// kind has reached its limit in the current second. The first line of a kind after that second
// also reports how many lines were dropped.
func (l *Log) Line(k Kind) *zerolog.Event {
	dropped, write := l.countLine(k)
	if dropped > 0 {
		l.newEvent(LinesDropped).Str("kind", k.Name).Int("count", dropped).Msg("")
	}
	if !write {
		return nil
	}
	return l.newEvent(k)
}

func (l *Log) newEvent(k Kind) *zerolog.Event { return l.out.WithLevel(k.Level).Str("event", k.Name) }

// countLine counts a line of a kind and returns whether it may be written. If the line begins a new
// second, countLine also returns how many lines of the kind were dropped in the last one.
func (l *Log) countLine(k Kind) (dropped int, write bool) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.counts[k.Name]
	if !ok {
		c = &lineCount{secondStartedAt: now}
		l.counts[k.Name] = c
	}
	if now.Sub(c.secondStartedAt) >= time.Second {
		dropped = c.dropped
		*c = lineCount{secondStartedAt: now}
	}
	if c.written >= k.MaxPerSecond {
		c.dropped++
		return dropped, false
	}
	c.written++
	return dropped, true
}
