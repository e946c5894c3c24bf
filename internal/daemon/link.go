package daemon

import (
	"context"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/metrics"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/peer"
	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// linkEvery is how often a router tells what its own messages took of its link: often enough to tell a
// calm spell from a wave of copies, at a fifth of a line a second.
const linkEvery = 5 * time.Second

// linkUse counts the bytes between routers, and tells whom this one hears. One that hears few places requests by their
// load alone, and looks well otherwise. A link that they fill holds up the news of leaving targets and the
// requests themselves, and everything at that router times out; nothing else would show why.
type linkUse struct {
	digests *peer.DigestSocket
	// served are the copies that others asked for, fetched those that this router asked for.
	served, fetched metrics.ConnectionTraffic
	link            int64 // bytes a second each way; 0 if unknown
	log             *eventlog.Log
	metrics         *metrics.Gateway
	last            linkBytes
	status          func() gateway.Status
}

// linkBytes are bytes by kind and direction.
type linkBytes struct{ digestsIn, digestsOut, copiesIn, copiesOut int64 }

func (u *linkUse) run(ctx context.Context) {
	ticker := time.NewTicker(linkEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			u.tell()
		}
	}
}

// tell logs and counts what was carried since it did so last.
func (u *linkUse) tell() {
	now := u.total()
	d := linkBytes{
		digestsIn: now.digestsIn - u.last.digestsIn, digestsOut: now.digestsOut - u.last.digestsOut,
		copiesIn: now.copiesIn - u.last.copiesIn, copiesOut: now.copiesOut - u.last.copiesOut,
	}
	u.last = now
	for _, one := range []struct {
		kind string
		n    int64
	}{
		{"digests_in", d.digestsIn}, {"digests_out", d.digestsOut}, {"copies_in", d.copiesIn}, {"copies_out", d.copiesOut},
	} {
		u.metrics.AddPeerBytes(one.kind, one.n)
	}
	s := u.status()
	line := u.log.Line(eventlog.LinkUse).Int("peers", s.Peers).Int("heard", s.Heard).Str("feeder", s.Feeder).Dur("fed_ago", s.FedAge).
		Int64("unsent", u.digests.LostDigests()).Int64("digests_in", d.digestsIn).Int64("digests_out", d.digestsOut).
		Int64("copies_in", d.copiesIn).Int64("copies_out", d.copiesOut)
	if u.link > 0 {
		most := max(d.digestsIn+d.copiesIn, d.digestsOut+d.copiesOut)
		line = line.Float64("share", float64(most)/(float64(u.link)*linkEvery.Seconds()))
	}
	line.Msg("")
}

func (u *linkUse) total() linkBytes {
	var b linkBytes
	b.digestsIn, b.digestsOut = u.digests.TrafficBytes()
	b.copiesIn = u.served.BytesIn.Load() + u.fetched.BytesIn.Load()
	b.copiesOut = u.served.BytesOut.Load() + u.fetched.BytesOut.Load()
	return b
}
