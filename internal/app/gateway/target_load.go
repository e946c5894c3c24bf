package gateway

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/targetload"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// applyTargetLoad applies the load that a target reported of itself in an answer. Reports that are invalid
// or not from the lifetime that was asked are ignored, counted and logged.
func (p *Proxy) applyTargetLoad(target placement.Target, info AnswerInfo) {
	fault := info.LoadFault
	switch {
	case fault == "" && info.Load == nil:
		return
	case info.WrongTarget:
		fault = targetload.FaultLifetime
	case fault == "":
		fault = p.traffic.recordTargetLoad(p.now(), target.UID, *info.Load)
	}
	if fault == "" {
		return
	}
	p.observer.CountIgnoredLoad(fault)
	p.log.Line(eventlog.TargetLoadIgnored).Str("target", target.ID).Str("why", string(fault)).
		Str("bad", info.InvalidLoad[:min(len(info.InvalidLoad), maxLoggedInvalid)]).Msg("")
}

// recordTargetLoad records the load that a target reported. The report is ignored if the returned Fault is
// not empty.
func (t *trafficState) recordTargetLoad(now time.Time, uid uint64, r targetload.Report) targetload.Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.balancer.RecordTargetLoad(now, uid, r)
}
