package daemon

import (
	"context"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/metrics"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/peer"
	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// linkReportInterval is the interval between log lines about the use of a router's link. It is
// short enough to show a burst of table copies, and costs 0.2 log lines a second.
const linkReportInterval = 5 * time.Second

// linkReporter reports the bytes that this router exchanges with other routers and the number of
// routers from which it receives digests directly. It makes two faults visible that nothing else
// shows. A router that receives digests from few routers places requests only by the load that
// these few report, and looks healthy otherwise. A link that is filled by messages between routers
// delays departure reports and requests, and all requests at that router time out.
type linkReporter struct {
	digests *peer.DigestSocket
	// servedCopies counts the table copies that other routers requested, fetchedCopies those that
	// this router requested.
	servedCopies, fetchedCopies metrics.ConnectionTraffic
	capacity                    int64 // bytes per second in each direction; 0 if unknown
	log                         *eventlog.Log
	metrics                     *metrics.Gateway
	lastTotals                  byteCounts
	status                      func() gateway.Status
}

// byteCounts are numbers of bytes by kind and direction.
type byteCounts struct{ digestsIn, digestsOut, copiesIn, copiesOut int64 }

// run reports every linkReportInterval until ctx is cancelled.
func (r *linkReporter) run(ctx context.Context) {
	ticker := time.NewTicker(linkReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.log.Guard("link", r.report)
		}
	}
}

// report logs the bytes since the previous report and adds them to the metrics.
func (r *linkReporter) report() {
	totals := r.totals()
	delta := byteCounts{
		digestsIn: totals.digestsIn - r.lastTotals.digestsIn, digestsOut: totals.digestsOut - r.lastTotals.digestsOut,
		copiesIn: totals.copiesIn - r.lastTotals.copiesIn, copiesOut: totals.copiesOut - r.lastTotals.copiesOut,
	}
	r.lastTotals = totals
	for _, counter := range []struct {
		kind  string
		bytes int64
	}{
		{"digests_in", delta.digestsIn}, {"digests_out", delta.digestsOut}, {"copies_in", delta.copiesIn}, {"copies_out", delta.copiesOut},
	} {
		r.metrics.AddPeerBytes(counter.kind, counter.bytes)
	}
	status := r.status()
	line := r.log.Line(eventlog.LinkUse).Int("peers", status.AlivePeers).Int("heard", status.DirectPeers).Str("feeder", status.Feeder).Dur("fed_ago", status.FeedAge).
		Int64("unsent", r.digests.UnsentDigests()).Int64("digests_in", delta.digestsIn).Int64("digests_out", delta.digestsOut).
		Int64("copies_in", delta.copiesIn).Int64("copies_out", delta.copiesOut)
	if r.capacity > 0 {
		busierDirection := max(delta.digestsIn+delta.copiesIn, delta.digestsOut+delta.copiesOut)
		line = line.Float64("share", float64(busierDirection)/(float64(r.capacity)*linkReportInterval.Seconds()))
	}
	line.Msg("")
}

// totals returns the bytes since the start.
func (r *linkReporter) totals() byteCounts {
	var counts byteCounts
	counts.digestsIn, counts.digestsOut = r.digests.TrafficBytes()
	counts.copiesIn = r.servedCopies.BytesIn.Load() + r.fetchedCopies.BytesIn.Load()
	counts.copiesOut = r.servedCopies.BytesOut.Load() + r.fetchedCopies.BytesOut.Load()
	return counts
}
