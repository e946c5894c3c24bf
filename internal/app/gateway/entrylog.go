package gateway

import (
	"github.com/hemlockdyke/hemlockdyke/internal/core/replica"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// rejectionLog logs each invalid version of a target entry once. Every whole target list contains
// all invalid entries; logging all of them each time would use up the event's rate limit and
// suppress the first message about another entry. It is not safe for concurrent use.
type rejectionLog struct {
	log            *eventlog.Log
	loggedVersions map[string]uint64 // row version by key, for the entries rejected now
}

func newRejectionLog(log *eventlog.Log) *rejectionLog {
	return &rejectionLog{log: log, loggedVersions: make(map[string]uint64)}
}

// replace logs new rejections and replaces the set of rejected entries.
func (l *rejectionLog) replace(entries []RejectedEntry, source string) {
	current := make(map[string]uint64, len(entries))
	for _, e := range entries {
		current[e.Key] = e.RowVersion
		l.logNew(e, source)
	}
	l.loggedVersions = current
}

// update logs new rejections among the changed rows. entries are those of them that are rejected.
func (l *rejectionLog) update(changes []replica.Row, entries []RejectedEntry, source string) {
	for _, e := range entries {
		l.logNew(e, source)
	}
	for _, r := range changes {
		delete(l.loggedVersions, r.Key)
	}
	for _, e := range entries {
		l.loggedVersions[e.Key] = e.RowVersion
	}
}

func (l *rejectionLog) logNew(e RejectedEntry, source string) {
	if logged, ok := l.loggedVersions[e.Key]; ok && logged == e.RowVersion {
		return
	}
	l.log.Line(eventlog.TargetRejected).Str("target", e.Key).Uint64("row", e.RowVersion).Str("source", source).
		Int("code", int(e.Err.Code)).Err(e.Err).Msg("")
}
