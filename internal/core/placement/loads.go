package placement

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/ablate"
)

// ReceiveReport replaces what another router reported before: its open requests, and the outcomes
// of its requests at failing or slow targets. outcomes is nil if this report contains none; the
// earlier ones then stay. It returns the IDs of the targets that are ejected as a result.
func (b *Balancer) ReceiveReport(now time.Time, router uint32, loads []Load, outcomes []TargetOutcomes) (ejected []string) {
	p, ok := b.peers[router]
	if !ok {
		p = &peerReport{}
		b.peers[router] = p
	}
	for _, l := range p.loads {
		b.addPeerLoad(l, -1)
	}
	if ablate.IsOff(ablate.FleetLoads) {
		loads = nil
	}
	p.receivedAt, p.loads = now, loads
	for _, l := range p.loads {
		b.addPeerLoad(l, 1)
		if t, ok := b.byUID[l.Target]; ok && l.Open > 0 {
			t.recordServing(now)
		}
	}
	if outcomes == nil {
		return nil
	}
	return b.receiveOutcomes(now, p, outcomes)
}

func (b *Balancer) addPeerLoad(l Load, sign int) {
	if t, ok := b.byUID[l.Target]; ok {
		t.peerOpen += sign * l.Open
	}
}

// recomputePeerLoads sums the reported loads anew, since the targets may have changed.
func (b *Balancer) recomputePeerLoads() {
	for _, t := range b.byUID {
		t.peerOpen = 0
	}
	for _, p := range b.peers {
		for _, l := range p.loads {
			b.addPeerLoad(l, 1)
		}
	}
}

// ExpireReports drops the loads of routers that have been silent for too long, and the leaving
// notices that no longer count.
func (b *Balancer) ExpireReports(now time.Time) {
	for id, p := range b.peers {
		if now.Sub(p.receivedAt) > b.settings.LoadReportTTL {
			b.ForgetRouter(id)
		}
	}
	b.expireLeavingNotices(now)
}

// ForgetRouter drops the loads reported by a router that has exited or restarted. The outcomes that
// it reported stay and decay.
func (b *Balancer) ForgetRouter(router uint32) {
	if p, ok := b.peers[router]; ok {
		for _, l := range p.loads {
			b.addPeerLoad(l, -1)
		}
		delete(b.peers, router)
	}
}

// ForgetAllRouters drops the loads that all other routers reported.
func (b *Balancer) ForgetAllRouters() {
	for id := range b.peers {
		b.ForgetRouter(id)
	}
}

// OwnLoads returns this router's open requests by target, for its digest.
func (b *Balancer) OwnLoads() []Load {
	var out []Load
	for uid, t := range b.byUID {
		if t.ownOpen > 0 {
			out = append(out, Load{Target: uid, Open: t.ownOpen})
		}
	}
	return out
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
