package placement

import (
	"math"
	"slices"
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/targetload"
)

// addPending adds a request without a first event.
func (t *target) addPending(r pendingRequest) {
	t.pending = append(t.pending, r)
	t.ownUnread += r.wholeUnreadTokens()
}

// removePending removes a request without a first event and returns it; false if it is not there.
func (t *target) removePending(sequence uint64) (pendingRequest, bool) {
	r, ok := t.pending.remove(sequence)
	if ok {
		t.ownUnread -= r.wholeUnreadTokens()
	}
	return r, ok
}

// wholeUnreadTokens returns the unread tokens rounded up, so that sums of them stay exact.
func (r *pendingRequest) wholeUnreadTokens() int { return int(math.Ceil(r.unreadTokens)) }

// RecordTargetLoad records the load that a target reported in an answer. The report is ignored if the
// returned Fault is not empty.
func (b *Balancer) RecordTargetLoad(now time.Time, uid uint64, r targetload.Report) targetload.Fault {
	t, ok := b.byUID[uid]
	if !ok || !t.isListed() {
		return targetload.FaultLifetime
	}
	if fault := t.reported.Record(now, r); fault != "" {
		return fault
	}
	if r.Pace > 0 && !t.pool.reportsPace {
		t.pool.reportsPace = true
		b.pacePools[t.pool.name] = true
	}
	return ""
}

// isScheduledByWork is Balancer.IsScheduledByWork for a pool.
func (b *Balancer) isScheduledByWork(p *pool) bool { return b.settings.ScheduleByWork || p.reportsPace }

// sourcePace is the pace of a target that a source reported.
type sourcePace struct {
	source uint32
	targetload.Pace
}

// peerPaces are the paces of a target that other routers report.
type peerPaces struct {
	bySource []sourcePace // in no particular order
	// last is the newest pace that a source has withdrawn or replaced. It counts while no source reports
	// a pace: sources report only fresh ones.
	last targetload.Pace
}

func (p *peerPaces) add(source uint32, value float64, receivedAt time.Time) {
	p.bySource = append(p.bySource, sourcePace{source: source, Pace: targetload.Pace{Value: value, At: receivedAt}})
}

func (p *peerPaces) remove(source uint32) {
	i := slices.IndexFunc(p.bySource, func(s sourcePace) bool { return s.source == source })
	if i < 0 {
		return
	}
	if removed := p.bySource[i].Pace; p.last.At.Before(removed.At) || (p.last.At.Equal(removed.At) && p.last.Value < removed.Value) {
		p.last = removed
	}
	n := len(p.bySource) - 1
	p.bySource[i] = p.bySource[n]
	p.bySource = p.bySource[:n]
}

// newest returns the largest of the paces that count the most now. Only those are compared, as an old
// pace that has decayed to 1 is larger than a fresh one below 1.
func (p *peerPaces) newest(now time.Time) targetload.Pace {
	var best targetload.Pace
	bestWeight := 0.0
	for _, s := range p.bySource {
		w := s.Weight(now)
		if w > bestWeight || (w == bestWeight && w > 0 && s.Value > best.Value) {
			best, bestWeight = s.Pace, w
		}
	}
	if bestWeight == 0 {
		return p.last
	}
	return best
}

// pace returns how long work takes at the target now, as a multiple of the usual: the newest pace that
// this router or another one got from the target, decaying towards 1. This router's own one comes first
// while it is fresh, since the age of the others is not known.
func (t *target) pace(now time.Time) float64 {
	own, other := t.reported.Pace(), t.peerPaces.newest(now)
	if own.Weight(now) >= other.Weight(now) {
		return own.Decayed(now)
	}
	return other.Decayed(now)
}

// paceUnit is the precision of the paces in load reports.
const paceUnit = 0.1

// paceToReport returns this router's pace of the target for its load report; 0 if it has no fresh one.
// Reports carry no ages, and the receivers use the largest pace: older ones would hide that a target has
// become faster.
func (t *target) paceToReport(now time.Time) float64 {
	p := t.reported.Pace()
	if p.Weight(now) < 1 {
		return 0
	}
	return max(math.Round(p.Value/paceUnit), 1) * paceUnit
}

// unreadBacklog returns the prompt tokens that the target has yet to read for the fleet's requests without
// a first event.
func (t *target) unreadBacklog() int { return t.ownUnread + t.peerUnread }

// memoryOpen returns the tokens that the fleet's open requests are estimated to hold in the target's
// memory.
func (t *target) memoryOpen() int { return t.ownMemory + t.peerMemory }

// scheduledOpen returns the fleet's open requests at the target, raised by the target's own report: it also
// counts the requests of routers that were killed, and those whose answers were lost.
func (t *target) scheduledOpen(now time.Time) int { return t.reported.RaiseOpen(now, t.totalOpen()) }

// TargetLoad is the load of a target that reports it.
type TargetLoad struct {
	Running, Waiting int     // of the newest report
	Pace             float64 // see target.pace
}

// TargetLoads returns the loads of the listed targets that reported theirs to this router, by target ID.
func (b *Balancer) TargetLoads(now time.Time) map[string]TargetLoad {
	out := make(map[string]TargetLoad)
	for _, p := range b.pools {
		for _, t := range p.targets {
			if r, ok := t.reported.Newest(); ok {
				out[t.ID] = TargetLoad{Running: r.Running, Waiting: r.Waiting, Pace: t.pace(now)}
			}
		}
	}
	return out
}
