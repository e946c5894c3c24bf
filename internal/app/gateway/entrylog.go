package gateway

import (
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// rejectionLog logs each invalid version of a target entry once. Every change of any entry produces
// the complete list of invalid entries; logging all of them each time would use up the event's rate
// limit and suppress the first message about another entry. It is not safe for concurrent use.
type rejectionLog struct {
	log            *eventlog.Log
	loggedVersions map[string]uint64 // row version by key, for the entries rejected now
}

func newRejectionLog(log *eventlog.Log) *rejectionLog {
	return &rejectionLog{log: log, loggedVersions: make(map[string]uint64)}
}

// record logs new rejections and replaces the set of rejected entries.
func (l *rejectionLog) record(entries []RejectedEntry, source string) {
	current := make(map[string]uint64, len(entries))
	for _, e := range entries {
		current[e.Key] = e.RowVersion
		if logged, ok := l.loggedVersions[e.Key]; ok && logged == e.RowVersion {
			continue
		}
		l.log.Line(eventlog.TargetRejected).Str("target", e.Key).Uint64("row", e.RowVersion).Str("source", source).
			Int("code", int(e.Err.Code)).Err(e.Err).Msg("")
	}
	l.loggedVersions = current
}

// keys returns the IDs of the rejected entries.
func (l *rejectionLog) keys() []string {
	out := make([]string, 0, len(l.loggedVersions))
	for key := range l.loggedVersions {
		out = append(out, key)
	}
	return out
}
