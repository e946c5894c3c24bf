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
	p := t.request.proxy
	info := p.codec.DecodeAnswer(status, h)
	if info.WrongTarget {
		return // the signals are those of another target
	}
	if info.ColdDuration > 0 && p.traffic.markCold(p.now(), t.choice.Target.UID, info.ColdDuration) {
		p.log.Line(eventlog.TargetCold).Str("target", t.choice.Target.ID).Dur("cold", info.ColdDuration).Msg("")
	}
	if !info.Leaving && info.PauseDuration == 0 && info.InvalidPause == "" {
		return
	}
	p.log.Line(eventlog.TargetNotice).Str("target", t.choice.Target.ID).Bool("leaving", info.Leaving).
		Dur("pause", info.PauseDuration).Str("bad", info.InvalidPause[:min(len(info.InvalidPause), maxLoggedInvalid)]).Msg("")
	for signal, present := range map[string]bool{SignalLeaving: info.Leaving, SignalPause: info.PauseDuration > 0, SignalInvalid: info.InvalidPause != ""} {
		if present {
			p.observer.CountSignal(signal)
		}
	}
	p.traffic.markPaused(p.now(), t.choice.Target.UID, info.PauseDuration)
	if info.Leaving && p.traffic.markLeaving(p.now(), t.choice.Target.UID) {
		p.reportDeparture(placement.Departure{Target: t.choice.Target.UID, Announced: true})
	}
}

// maxLoggedInvalid bounds how much of an invalid value is logged, in bytes.
const maxLoggedInvalid = 64
