package placement

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/ablate"
)

// ReceiveReport takes in what another router has open and what came of its requests at failing targets, in place
// of what it said before, and returns the ids of targets that are ejected by it. outcomes are nil
// if it did not tell any this time.
func (b *Balancer) ReceiveReport(now time.Time, router uint32, loads []Load, outcomes []TargetOutcomes) (ejected []string) {
	p, ok := b.peers[router]
	if !ok {
		p = &peerView{}
		b.peers[router] = p
	}
	for _, l := range p.loads {
		b.addPeer(l, -1)
	}
	if ablate.Off(ablate.Loads) {
		loads = nil
	}
	p.heard, p.loads = now, loads
	for _, l := range p.loads {
		b.addPeer(l, 1)
		if t, ok := b.byUID[l.Target]; ok && l.Open > 0 {
			t.serves(now)
		}
	}
	if outcomes == nil {
		return nil
	}
	return b.told(now, p, outcomes)
}

func (b *Balancer) addPeer(l Load, sign int) {
	if t, ok := b.byUID[l.Target]; ok {
		t.peers += sign * l.Open
	}
}

// sumPeers counts all digests again: targets may have come and gone since.
func (b *Balancer) sumPeers() {
	for _, t := range b.byUID {
		t.peers = 0
	}
	for _, p := range b.peers {
		for _, l := range p.loads {
			b.addPeer(l, 1)
		}
	}
}

// Expire forgets the loads of routers that have been silent for too long, and words of targets that no longer count.
func (b *Balancer) Expire(now time.Time) {
	for id, p := range b.peers {
		if now.Sub(p.heard) > b.settings.LoadReportTTL {
			b.ForgetRouter(id)
		}
	}
	b.expireSaid(now)
}

// ForgetRouter drops what a router has open: it has ended or restarted. The outcomes that it told
// stay, they decay by themselves.
func (b *Balancer) ForgetRouter(router uint32) {
	if p, ok := b.peers[router]; ok {
		for _, l := range p.loads {
			b.addPeer(l, -1)
		}
		delete(b.peers, router)
	}
}

// ForgetAllRouters drops what all others have open.
func (b *Balancer) ForgetAllRouters() {
	for id := range b.peers {
		b.ForgetRouter(id)
	}
}

// OwnLoads returns what this router has open, for its digest.
func (b *Balancer) OwnLoads() []Load {
	var out []Load
	for uid, t := range b.byUID {
		if t.own > 0 {
			out = append(out, Load{Target: uid, Open: t.own})
		}
	}
	return out
}

// OpenByTarget returns what the fleet has open at each listed target, by its id.
func (b *Balancer) OpenByTarget() map[string]int {
	out := make(map[string]int)
	for _, p := range b.pools {
		for _, t := range p.targets {
			out[t.ID] = t.open()
		}
	}
	return out
}
