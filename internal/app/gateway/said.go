package gateway

import (
	"net/http"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// applySignals applies the signals in an answer's header. The answer belongs to this attempt, or is
// a late one to an earlier request on the same connection. Signals take effect as soon as the
// header is read: the store may learn of them much later, and the next request is placed at once.
func (t *targetAttempt) applySignals(status int, h http.Header) {
	r := t.request.proxy
	reply := r.codec.DecodeReply(status, h)
	if reply.WrongTarget {
		return // the address belongs to another lifetime
	}
	if reply.ColdDuration > 0 && r.traffic.markCold(r.now(), t.choice.Target.UID, reply.ColdDuration) {
		r.log.Line(eventlog.TargetCold).Str("target", t.choice.Target.ID).Dur("cold", reply.ColdDuration).Msg("")
	}
	if !reply.Leaving && reply.PauseDuration == 0 && reply.InvalidPause == "" {
		return
	}
	r.log.Line(eventlog.TargetSaid).Str("target", t.choice.Target.ID).Bool("leaving", reply.Leaving).
		Dur("pause", reply.PauseDuration).Str("bad", reply.InvalidPause[:min(len(reply.InvalidPause), maxLoggedInvalid)]).Msg("")
	for signal, present := range map[string]bool{SignalLeaving: reply.Leaving, SignalPause: reply.PauseDuration > 0, SignalInvalid: reply.InvalidPause != ""} {
		if present {
			r.observer.CountSignal(signal)
		}
	}
	r.traffic.setPause(r.now(), t.choice.Target.UID, reply.PauseDuration)
	if reply.Leaving && r.traffic.markLeaving(r.now(), t.choice.Target.UID) {
		r.reportDeparture(placement.Departure{Target: t.choice.Target.UID, Announced: true})
	}
}

// maxLoggedInvalid bounds how much of an invalid value is logged, in bytes.
const maxLoggedInvalid = 64
