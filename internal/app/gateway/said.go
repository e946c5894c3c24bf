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
	reply := r.wire.Reply(status, h)
	if reply.WrongTarget {
		return // another target has the address
	}
	if reply.Cold > 0 && r.view.saysCold(r.now(), t.choice.Target.UID, reply.Cold) {
		r.log.Line(eventlog.TargetCold).Str("target", t.choice.Target.ID).Dur("cold", reply.Cold).Msg("")
	}
	if !reply.Leaving && reply.Pause == 0 && reply.BadPause == "" {
		return
	}
	r.log.Line(eventlog.TargetNotice).Str("target", t.choice.Target.ID).Bool("leaving", reply.Leaving).
		Dur("pause", reply.Pause).Str("bad", reply.BadPause[:min(len(reply.BadPause), maxBadShown)]).Msg("")
	for what, said := range map[string]bool{SaidLeaving: reply.Leaving, SaidPause: reply.Pause > 0, SaidBad: reply.BadPause != ""} {
		if said {
			r.observer.Said(what)
		}
	}
	r.view.saysPause(r.now(), t.choice.Target.UID, reply.Pause)
	if reply.Leaving && r.view.saysLeaving(r.now(), t.choice.Target.UID) {
		r.depart(placement.Departure{Target: t.choice.Target.UID, Announced: true})
	}
}

// maxBadShown bounds what a line shows of a value that makes no sense.
const maxBadShown = 64
