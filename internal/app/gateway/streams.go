package gateway

import (
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/lineage"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/route"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// Resumptions of streams, as metrics count them.
const (
	ResumptionKnown   = "known"   // this router knew the stream
	ResumptionAsked   = "asked"   // another router knew it
	ResumptionUnknown = "unknown" // no router knew it, or the caller named none
)

// resumes reports whether the caller takes up a stream that an earlier request began.
func (r *openRequest) resumes() bool {
	return r.match.route.Kind == route.Stream && (r.match.call.LastEventID != "" || r.match.call.ResumedID != "")
}

// resume finds the software version at which the stream goes on, and the pool that serves it. It
// returns code.OK or why the stream can't go on.
func (r *openRequest) resume() code.Code {
	p, call := r.proxy, r.match.call
	software, asked := lineage.Software(0), false
	if call.ResumedID != "" && r.match.route.Resumable {
		software, asked = p.traffic.streams.find(r.ctx, r.streamID())
	}
	switch {
	case software == 0 || software == lineage.Conflicting:
		p.observer.CountResumption(ResumptionUnknown)
		r.logStreamRefused(code.UnknownStream)
		return code.UnknownStream
	case asked:
		p.observer.CountResumption(ResumptionAsked)
	default:
		p.observer.CountResumption(ResumptionKnown)
	}
	r.stream.software = software
	if pool, ok := p.traffic.poolServing(r.match.route, software); ok {
		r.match.pool = pool
	}
	return code.OK
}

// streamID returns the stream that the request begins or resumes.
func (r *openRequest) streamID() lineage.Stream {
	id := r.match.call.ResumedID
	if id == "" {
		id = r.match.call.ID
	}
	return lineage.StreamOf(r.match.Team(), id)
}

// bindStream records that a target is about to send events to the caller: the stream goes on at no
// other software version, in this answer or another.
func (r *openRequest) bindStream(t placement.Target) {
	if r.stream.software == 0 {
		r.stream.software = lineage.SoftwareOf(r.match.pool, t.SoftwareVersion)
	}
	if r.match.route.Resumable {
		r.proxy.traffic.streams.begin(lineage.Record{Stream: r.streamID(), Software: r.stream.software}, t.UID)
	}
}

// unbindStream gives up a stream whose version is no longer known: no target serves it.
func (r *openRequest) unbindStream() { r.stream.software = lineage.Conflicting }

// logStreamRefused logs why a stream can't go on.
func (r *openRequest) logStreamRefused(c code.Code) {
	r.logLine(eventlog.StreamRefused).Str("why", c.Lookup().Name).Str("pool", r.match.pool).Str("resume_from", r.stream.lastEventID).
		Str("resumes", r.match.call.ResumedID).Int("events", r.stream.events).Msg("")
}
