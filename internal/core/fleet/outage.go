package fleet

import (
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
)

const (
	// noReaderTimeout is the time without any store reader after which a failed store call means a
	// store outage. Readers that the store refuses are replaced within a few digests.
	noReaderTimeout = 600 * time.Millisecond
	// outageClearDelay is how long an outage still counts after a router reads the store again. The
	// readers see within 1.5 s which entries expired during the outage.
	outageClearDelay = 3 * time.Second
	// stallThreshold is the time since the last tick above which this router counts as stalled.
	// Ticks of a busy process are late by less.
	stallThreshold = 3 * TickInterval
	// stallBacklogPeriod is how long after a stall received digests may still date from the time of
	// the stall.
	stallBacklogPeriod = 2 * TickInterval
)

// outageDetector detects store outages. A router that knows of no store reader can't conclude that
// there is an outage: it may have stalled or be cut off, or the readers may have exited. Targets'
// entries expire during an outage, so a removal from the target list is weaker evidence then. If a
// removal were wrongly attributed to an outage, an exited target would stay in use.
type outageDetector struct {
	lastTickAt   time.Time
	stallEndedAt time.Time // zero if this router never stalled
	// readerLastKnownAt is when some router was last known to read the store; zero if never. A
	// stall moves it to the end of the stall.
	readerLastKnownAt time.Time
	// readerKnownSince is since when store readers have been known without a gap, to this router or
	// to a router that reported it; zero if no reader is known.
	readerKnownSince time.Time
	// lastFailureAt is when a store call of any router last failed, as far as this router knows;
	// zero if never.
	lastFailureAt time.Time
	// startedAt is readerLastKnownAt before the last outage, endedAt the last tick in that outage;
	// both are zero if there was none.
	startedAt, endedAt time.Time
}

// tick records whether some router is known to read the store and detects outages.
func (o *outageDetector) tick(now time.Time, readerKnown bool) {
	if o.stalled(now) {
		o.stallEndedAt, o.readerKnownSince = now, time.Time{}
		if !o.readerLastKnownAt.IsZero() {
			o.readerLastKnownAt = now
		}
	}
	o.lastTickAt = now
	switch {
	case readerKnown:
		o.readerLastKnownAt = now
		if o.readerKnownSince.IsZero() {
			o.readerKnownSince = now
		}
	case o.readerLastKnownAt.IsZero() || now.Sub(o.readerLastKnownAt) < noReaderTimeout:
	default:
		o.readerKnownSince = time.Time{}
		if o.lastFailureAt.After(o.readerLastKnownAt) {
			o.startedAt, o.endedAt = o.readerLastKnownAt, now
		}
	}
}

// stalled reports whether the process did not run since the last tick. The monotonic clock may have
// stopped as well, so the wall clock is compared too. Setting the wall clock forward therefore
// looks like a stall.
func (o *outageDetector) stalled(now time.Time) bool {
	if o.lastTickAt.IsZero() {
		return false
	}
	monotonic, wall := now.Sub(o.lastTickAt), now.Round(0).Sub(o.lastTickAt.Round(0))
	return max(monotonic, wall) > stallThreshold
}

// observe evaluates the store state in another router's digest. If that router knew of readers
// without a gap, there was no outage.
func (o *outageDetector) observe(now time.Time, d *peerv1.Digest) {
	if !o.stallEndedAt.IsZero() && now.Sub(o.stallEndedAt) < stallBacklogPeriod {
		return
	}
	if age := d.GetStoreFailedMillis(); age > 0 {
		o.lastFailureAt = latest(o.lastFailureAt, now.Add(-time.Duration(age)*time.Millisecond))
	}
	age := d.GetStoreReadMillis()
	if age == 0 {
		return
	}
	since := now.Add(-time.Duration(age) * time.Millisecond)
	if o.readerKnownSince.IsZero() || since.Before(o.readerKnownSince) {
		o.readerKnownSince = since
	}
	if !o.endedAt.IsZero() && since.Before(o.startedAt) {
		o.startedAt, o.endedAt = time.Time{}, time.Time{}
	}
}

// writeTo adds the store state that this router knows to a digest.
func (o *outageDetector) writeTo(now time.Time, d *peerv1.Digest) {
	if !o.readerKnownSince.IsZero() {
		d.StoreReadMillis = uint32(now.Sub(o.readerKnownSince).Milliseconds())
	}
	if !o.lastFailureAt.IsZero() && now.Sub(o.lastFailureAt) < outageClearDelay {
		d.StoreFailedMillis = uint32(now.Sub(o.lastFailureAt).Milliseconds()) + 1
	}
}

// InStoreOutage reports whether there is a store outage or one has just ended. A store that refuses
// some routers and serves others has no outage.
func (c *Core) InStoreOutage(now time.Time) bool {
	o := &c.outages
	return !o.endedAt.IsZero() && now.Sub(o.endedAt) < outageClearDelay
}

// LastOutage returns when some router was last known to read the store before the last store
// outage, and the last tick in that outage; both are zero if there was none.
func (c *Core) LastOutage() (start, end time.Time) { return c.outages.startedAt, c.outages.endedAt }

// hasReader reports whether some router is known to read the store.
func (c *Core) hasReader(now time.Time) bool {
	if c.reading && c.storeReachable() {
		return true
	}
	for _, p := range c.sortedPeers() {
		if p.isHeard(now) && (p.reading || (p.address == c.feeder && p.readers > 0)) {
			return true
		}
	}
	return false
}
