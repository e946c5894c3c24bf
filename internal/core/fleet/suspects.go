package fleet

import (
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/poison"
)

const (
	// suspectSyncInterval is the shortest time between two transmissions of all suspects to one
	// router. maxSuspectsPerSyncDigest is the largest number of suspects in each of its digests.
	suspectSyncInterval      = 400 * time.Millisecond
	maxSuspectsPerSyncDigest = 32
	// suspectSyncSenders is how many of a relay's followers, on average, send it the suspects that
	// it lacks. All of them see the same difference.
	suspectSyncSenders = 3
)

// suspects are the suspected requests that a router holds. Poison reports are sent a few times
// only. A router that missed them because it was starting, cut off or stalled sends a different
// checksum, and then receives all suspects.
type suspects struct {
	held   []poison.Suspect
	sum    uint64
	synced bool // this router holds the suspects of the other routers or of the store
}

func (c *Core) setSuspects(reports UrgentReports) {
	c.suspects = suspects{held: reports.HeldSuspects, sum: poison.Checksum(reports.HeldSuspects), synced: reports.SuspectsSynced}
}

// compareSuspects checks whether the sender of a digest holds the same suspects as this router, and
// if not may send it this router's suspects.
func (c *Core) compareSuspects(now time.Time, p *peer, d *peerv1.Digest) {
	own := &c.suspects
	switch {
	case d.GetSuspectsSum() == own.sum:
		if !own.synced && !d.GetSuspectsUnknown() {
			own.synced = true
			c.emit(SuspectsSynced{})
		}
		return
	case len(own.held) == 0, now.Sub(p.suspectsSentAt) < suspectSyncInterval:
		return
	case d.GetScope() == peerv1.Scope_SCOPE_FLEET && c.rand.IntN(c.AliveCount(now)+1) >= suspectSyncSenders:
		return
	}
	p.suspectsSentAt = now
	c.suspectSyncPeers = append(c.suspectSyncPeers, p.address)
}

// sendSuspects sends all suspects of this router to the routers in suspectSyncPeers.
func (c *Core) sendSuspects(now time.Time) {
	to := c.suspectSyncPeers
	if len(to) == 0 {
		return
	}
	c.suspectSyncPeers = nil
	held := c.suspects.held
	for len(held) > 0 {
		n := min(len(held), maxSuspectsPerSyncDigest)
		d := c.newDigest(now)
		d.Suspects = encodeSuspects(held[:n])
		held = held[n:]
		c.emit(SendDigest{To: to, Digest: d})
	}
}

// hasUrgentReports reports whether there are urgent reports to send.
func (c *Core) hasUrgentReports() bool { return len(c.departures) > 0 || !c.poison.Empty() }

// addUrgentReports adds the urgent reports to a digest.
func (c *Core) addUrgentReports(d *peerv1.Digest) {
	for _, departure := range c.departures {
		d.LeftTarget = append(d.LeftTarget, departure.Target)
		d.LeftList = append(d.LeftList, departure.ListVersion)
		d.LeftGone = append(d.LeftGone, departure.Removed)
		d.LeftSaid = append(d.LeftSaid, departure.Announced)
		d.LeftEnded = append(d.LeftEnded, departure.Exited)
	}
	for _, e := range c.poison.Exits {
		d.EndedRequest = append(d.EndedRequest, uint64(e.Fingerprint))
		d.EndedTarget = append(d.EndedTarget, e.Target)
	}
	for _, f := range c.poison.Answers {
		d.RanRequest = append(d.RanRequest, uint64(f))
	}
	d.Suspects = encodeSuspects(c.poison.Suspects)
}

func encodeSuspects(in []poison.Suspect) []*peerv1.Suspect {
	var out []*peerv1.Suspect
	for _, s := range in {
		out = append(out, &peerv1.Suspect{
			Request: uint64(s.Fingerprint), Generation: s.Generation, Level: uint32(s.Level), Group: uint64(s.Group), Proved: s.Proved,
			WaitMillis: uint32(s.RefusedFor.Milliseconds()), LastsMillis: uint32(s.ExpiresIn.Milliseconds()),
		})
	}
	return out
}

// decodePoison decodes the poison reports of a digest.
func decodePoison(d *peerv1.Digest) poison.Report {
	var report poison.Report
	for i := range min(len(d.GetEndedRequest()), len(d.GetEndedTarget())) {
		report.Exits = append(report.Exits, poison.Exit{Fingerprint: poison.Fingerprint(d.GetEndedRequest()[i]), Target: d.GetEndedTarget()[i]})
	}
	for _, f := range d.GetRanRequest() {
		report.Answers = append(report.Answers, poison.Fingerprint(f))
	}
	for _, s := range d.GetSuspects() {
		report.Suspects = append(report.Suspects, poison.Suspect{
			Fingerprint: poison.Fingerprint(s.GetRequest()), Generation: s.GetGeneration(), Level: int(s.GetLevel()), Group: poison.Fingerprint(s.GetGroup()), Proved: s.GetProved(),
			RefusedFor: time.Duration(s.GetWaitMillis()) * time.Millisecond, ExpiresIn: time.Duration(s.GetLastsMillis()) * time.Millisecond,
		})
	}
	return report
}
