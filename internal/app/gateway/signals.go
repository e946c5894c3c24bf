package gateway

import (
	"net/http"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// applySignals applies the signals in the header of a target's answer, be it a late one to an earlier
// request on the same connection. Signals take effect as soon as the
// header is read: the store may learn of them much later, and the next request is placed at once.
func (p *Proxy) applySignals(target placement.Target, status int, h http.Header) {
	info := p.codec.DecodeAnswer(status, h)
	p.applyTargetLoad(target, info)
	if info.WrongTarget {
		return // the signals are those of another target
	}
	if p.traffic.markBrittle(target.UID, info.BrittleLimit) {
		p.log.Line(eventlog.TargetBrittle).Str("target", target.ID).Int("refusals", info.BrittleLimit).Msg("")
	}
	if info.ColdDuration > 0 && p.traffic.markCold(p.now(), target.UID, info.ColdDuration) {
		p.log.Line(eventlog.TargetCold).Str("target", target.ID).Dur("cold", info.ColdDuration).Msg("")
	}
	if !info.Leaving && info.PauseDuration == 0 && info.InvalidPause == "" {
		return
	}
	p.log.Line(eventlog.TargetNotice).Str("target", target.ID).Bool("leaving", info.Leaving).
		Dur("pause", info.PauseDuration).Str("bad", info.InvalidPause[:min(len(info.InvalidPause), maxLoggedInvalid)]).Msg("")
	for signal, present := range map[string]bool{SignalLeaving: info.Leaving, SignalPause: info.PauseDuration > 0, SignalInvalid: info.InvalidPause != ""} {
		if present {
			p.observer.CountSignal(signal)
		}
	}
	p.traffic.markPaused(p.now(), target.UID, info.PauseDuration)
	if info.Leaving && p.traffic.markLeaving(p.now(), target.UID) {
		p.reportDeparture(placement.Departure{Target: target.UID, Announced: true})
	}
}

// maxLoggedInvalid bounds how much of an invalid value is logged, in bytes.
const maxLoggedInvalid = 64
