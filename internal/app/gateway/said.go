package gateway

import (
	"net/http"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// hear takes in what a target says of itself in an answer: of this attempt, or a late one to an earlier request. It counts from the
// moment at which the header was read: the store may learn it much later, and the next request is placed at once.
func (t *try) hear(status int, h http.Header) {
	r := t.run.relay
	reply := r.wire.DecodeReply(status, h)
	if reply.WrongTarget {
		return // another target has the address
	}
	if reply.ColdDuration > 0 && r.view.saysCold(r.now(), t.choice.Target.UID, reply.ColdDuration) {
		r.log.Line(eventlog.TargetCold).Str("target", t.choice.Target.ID).Dur("cold", reply.ColdDuration).Msg("")
	}
	if !reply.Leaving && reply.PauseDuration == 0 && reply.InvalidPause == "" {
		return
	}
	r.log.Line(eventlog.TargetSaid).Str("target", t.choice.Target.ID).Bool("leaving", reply.Leaving).
		Dur("pause", reply.PauseDuration).Str("bad", reply.InvalidPause[:min(len(reply.InvalidPause), maxBadShown)]).Msg("")
	for what, said := range map[string]bool{SignalLeaving: reply.Leaving, SignalPause: reply.PauseDuration > 0, SignalInvalid: reply.InvalidPause != ""} {
		if said {
			r.observer.CountSignal(what)
		}
	}
	r.view.saysPause(r.now(), t.choice.Target.UID, reply.PauseDuration)
	if reply.Leaving && r.view.saysLeaving(r.now(), t.choice.Target.UID) {
		r.depart(placement.Departure{Target: t.choice.Target.UID, Said: true})
	}
}

// maxBadShown bounds what a line shows of a value that makes no sense.
const maxBadShown = 64
