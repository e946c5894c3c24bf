package gateway

import (
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/lineage"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// bindStream records that a target is about to send events to the caller: the stream goes on at no
// other software version.
func (r *openRequest) bindStream(t placement.Target) {
	if r.stream.software == 0 {
		r.stream.software = lineage.SoftwareOf(r.match.pool, t.SoftwareVersion)
	}
}

// unbindStream gives up a stream whose version is no longer known: no target serves it.
func (r *openRequest) unbindStream() { r.stream.software = lineage.Conflicting }

// logStreamRefused logs why a stream can't go on.
func (r *openRequest) logStreamRefused(c code.Code) {
	r.logLine(eventlog.StreamRefused).Str("why", c.Lookup().Name).Str("pool", r.match.pool).Str("resume_from", r.stream.lastEventID).
		Str("resumes", r.match.call.ResumedID).Int("events", r.stream.events).Msg("")
}
