package gateway

import (
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// entryLog tells of each version of an entry that can't be trusted once: the whole list is
// decoded again with every change of any entry, and a line each time would leave no room for
// the first one of another entry. It is not safe for concurrent use.
type entryLog struct {
	log  *eventlog.Log
	told map[string]uint64 // the row's version by its key, of those rejected now
}

func newEntryLog(log *eventlog.Log) *entryLog {
	return &entryLog{log: log, told: make(map[string]uint64)}
}

// rejected takes in all entries that are rejected now.
func (l *entryLog) rejected(entries []RejectedEntry, source string) {
	now := make(map[string]uint64, len(entries))
	for _, e := range entries {
		now[e.Key] = e.RowVersion
		if told, ok := l.told[e.Key]; ok && told == e.RowVersion {
			continue
		}
		l.log.Line(eventlog.TargetRejected).Str("target", e.Key).Uint64("row", e.RowVersion).Str("source", source).
			Int("code", int(e.Err.Code)).Err(e.Err).Msg("")
	}
	l.told = now
}

// keys returns the ids of the entries that are rejected now.
func (l *entryLog) keys() []string {
	out := make([]string, 0, len(l.told))
	for key := range l.told {
		out = append(out, key)
	}
	return out
}
