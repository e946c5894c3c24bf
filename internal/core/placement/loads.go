package placement

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/ablate"
)

// ReceiveReport replaces what a source reported before: its open requests, and the outcomes of its
// requests at failing or slow targets. A source is another router, a data centre or the rest of the
// fleet. outcomes is nil if this report contains none; the earlier ones then stay. It returns the
// IDs of the targets that are ejected as a result.
func (b *Balancer) ReceiveReport(now time.Time, source uint32, loads []Load, outcomes []TargetOutcomes) (ejected []string) {
	p, ok := b.reports[source]
	if !ok {
		p = &sourceReport{}
		b.reports[source] = p
	}
	for i := range p.loads {
		b.addPeerLoad(source, p.receivedAt, &p.loads[i], -1)
	}
	if ablate.IsOff(ablate.FleetLoads) {
		loads = nil
	}
	p.receivedAt, p.loads = now, loads
	for i := range p.loads {
		l := &p.loads[i]
		if t := b.addPeerLoad(source, p.receivedAt, l, 1); t != nil && l.Open > 0 {
			t.recordServing(now)
		}
	}
	if outcomes == nil {
		return nil
	}
	return b.receiveOutcomes(now, p, outcomes)
}

// addPeerLoad adds or removes a load, see target.addPeerLoad, and returns its target; nil if that is unknown.
func (b *Balancer) addPeerLoad(source uint32, receivedAt time.Time, l *Load, sign int) *target {
	t := b.byUID[l.Target]
	if t != nil {
		t.addPeerLoad(source, receivedAt, l, sign)
	}
	return t
}

// ExpireReports drops the loads of sources that have been silent for too long, and the leaving
// notices that no longer count.
func (b *Balancer) ExpireReports(now time.Time) {
	for id, p := range b.reports {
		if now.Sub(p.receivedAt) > b.settings.LoadReportTTL {
			b.ForgetSource(id)
		}
	}
	b.expireLeavingNotices(now)
}

// ForgetSource drops the loads that a source reported, if it has exited or another source covers it
// now. The outcomes that it reported stay and decay.
func (b *Balancer) ForgetSource(source uint32) {
	if p, ok := b.reports[source]; ok {
		for i := range p.loads {
			b.addPeerLoad(source, p.receivedAt, &p.loads[i], -1)
		}
		delete(b.reports, source)
	}
}

// ForgetAllSources drops the loads that all sources reported.
func (b *Balancer) ForgetAllSources() {
	for id := range b.reports {
		b.ForgetSource(id)
	}
}

// OwnLoads returns this router's open requests by target, for its digest. It counts the silent ones
// anew.
func (b *Balancer) OwnLoads(now time.Time) []Load {
	if len(b.open) == 0 {
		return nil
	}
	out := make([]Load, 0, len(b.open))
	for uid, t := range b.open {
		b.countSilent(now, t)
		l := Load{Target: uid, Open: t.ownOpen, Silent: t.ownSilent}
		if b.isScheduledByWork(t.pool) {
			l.Unread, l.Memory, l.Pace = t.ownUnread, t.ownMemory, t.paceToReport(now)
		}
		out = append(out, l)
	}
	return out
}

const (
	// silentFactor is how many times the expected time to its first event a request waits before it
	// counts as silent. One healthy request in 200 takes as long.
	silentFactor = 3
	// minSilentWait is the least such wait: other routers learn of a silent request only with the
	// next digest anyway.
	minSilentWait = 100 * time.Millisecond
)

// countSilent marks and counts this router's silent requests at a target. The expected time follows
// the target's slowdown, so that slow answers are not taken for lost ones.
func (b *Balancer) countSilent(now time.Time, t *target) {
	t.ownSilent = 0
	slowdown := 1.0
	if t.pool.model.isFitted() {
		slowdown = b.answeredSlowdown(now, t)
	}
	for i := range t.pending {
		r := &t.pending[i]
		expected := t.pool.model.roughFirstEventSeconds(r.unreadTokens) * slowdown
		wait := max(time.Duration(silentFactor*expected*float64(time.Second)), minSilentWait)
		if r.silent = now.Sub(r.placedAt) > wait; r.silent {
			t.ownSilent++
		}
	}
}

// OpenByTarget returns the open requests of the whole fleet at each listed target, by target ID.
func (b *Balancer) OpenByTarget() map[string]int {
	out := make(map[string]int)
	for _, p := range b.pools {
		for _, t := range p.targets {
			out[t.ID] = t.totalOpen()
		}
	}
	return out
}
