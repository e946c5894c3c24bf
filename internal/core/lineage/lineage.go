// Package lineage remembers at which software version of a pool's targets each stream began. Targets
// of several versions may serve side by side, and what two of them write does not fit together, so a
// stream may go on only at the version that began it. A stream's version never changes: a record is
// written once, when the first event arrives, and its copies at other routers can't be outdated.
package lineage

import (
	"time"

	"github.com/hemlockdyke/hemlockdyke/internal/core/rendezvous"
)

// Software identifies a software version of a pool's targets; 0 means none. All routers compute the
// same value.
type Software uint64

// SoftwareOf returns the Software of a pool's targets that run a version.
func SoftwareOf(pool, version string) Software {
	return Software(rendezvous.Mix(rendezvous.Hash(pool), rendezvous.Hash(version)))
}

// Conflicting is the Software of a stream that was reported to have begun at several versions. It can
// go on at none of them.
const Conflicting = ^Software(0)

// Stream identifies a stream by the request that brought its first event.
type Stream uint64

// StreamOf returns the Stream that a team's request with an ID began. Teams choose the IDs of their
// requests; a team can't name the streams of another.
func StreamOf(team, requestID string) Stream {
	return Stream(rendezvous.Mix(rendezvous.Hash(team), rendezvous.Hash(requestID)))
}

// Record says at which software version a stream began.
type Record struct {
	Stream   Stream
	Software Software
}

const (
	// maxRecords bounds each of the two generations of a Registry, which take about 5 MB each when full.
	// When one is full, the older one is dropped, and its streams become unknown.
	maxRecords = 1 << 17
	// maxUnreported bounds the own records that wait to be reported; the oldest are dropped.
	maxUnreported = 8192
)

// Registry holds the records of this router's streams, and of those that other routers reported. It
// is not safe for concurrent use.
type Registry struct {
	retention time.Duration
	rotatedAt time.Time
	// current holds the records since rotatedAt, previous those of the generation before.
	current, previous generation
	unreported        []Record
}

type generation struct {
	software map[Stream]Software
	// byTarget are the streams that this router saw begin, by the lifetime of the target.
	byTarget map[uint64][]Stream
}

func newGeneration() generation {
	return generation{software: make(map[Stream]Software), byTarget: make(map[uint64][]Stream)}
}

// NewRegistry returns an empty Registry that keeps each record for at least retention, and at most
// twice as long.
func NewRegistry(now time.Time, retention time.Duration) *Registry {
	return &Registry{retention: retention, rotatedAt: now, current: newGeneration(), previous: newGeneration()}
}

// SetRetention changes how long records are kept.
func (r *Registry) SetRetention(retention time.Duration) { r.retention = retention }

// Begin records that a lifetime of a target began a stream at this router, or went on with it.
func (r *Registry) Begin(now time.Time, rec Record, target uint64) {
	r.add(now, rec)
	r.current.byTarget[target] = append(r.current.byTarget[target], rec.Stream)
	r.report(Record{rec.Stream, r.Find(now, rec.Stream)})
}

// ReportAgain makes all records of this router's streams unreported: a router that has started lacks
// them.
func (r *Registry) ReportAgain(now time.Time) {
	r.expire(now)
	r.unreported = r.unreported[:0]
	for _, g := range []generation{r.previous, r.current} {
		for _, streams := range g.byTarget {
			for _, s := range streams {
				r.report(Record{s, r.Find(now, s)})
			}
		}
	}
}

// Receive adds records that another router reported.
func (r *Registry) Receive(now time.Time, records []Record) {
	for _, rec := range records {
		if rec.Software != 0 {
			r.add(now, rec)
		}
	}
}

// Find returns the Software at which a stream began: 0 if it is unknown.
func (r *Registry) Find(now time.Time, s Stream) Software {
	r.expire(now)
	return merge(r.previous.software[s], r.current.software[s])
}

// Revoke makes the streams that a lifetime of a target seemed to have begun Conflicting, and returns
// how many there are. It must be called when the lifetime turns out to have ended before: another
// version may have sent their events.
func (r *Registry) Revoke(now time.Time, target uint64) int {
	r.expire(now)
	streams := append(append([]Stream(nil), r.previous.byTarget[target]...), r.current.byTarget[target]...)
	for _, s := range streams {
		r.add(now, Record{s, Conflicting})
		r.report(Record{s, Conflicting})
	}
	return len(streams)
}

// TakeUnreported returns up to limit records that other routers have to learn, the oldest first.
func (r *Registry) TakeUnreported(limit int) []Record {
	n := min(len(r.unreported), limit)
	out := r.unreported[:n:n]
	r.unreported = r.unreported[n:]
	return out
}

// Len returns how many records there are.
func (r *Registry) Len() int { return len(r.current.software) + len(r.previous.software) }

func (r *Registry) report(rec Record) {
	r.unreported = append(r.unreported, rec)
	if over := len(r.unreported) - maxUnreported; over > 0 {
		r.unreported = append(r.unreported[:0], r.unreported[over:]...)
	}
}

func (r *Registry) add(now time.Time, rec Record) {
	r.expire(now)
	if len(r.current.software) >= maxRecords {
		r.rotate(now)
	}
	r.current.software[rec.Stream] = merge(r.Find(now, rec.Stream), rec.Software)
}

// expire drops the records that were kept long enough.
func (r *Registry) expire(now time.Time) {
	for range 2 {
		if now.Sub(r.rotatedAt) < r.retention {
			return
		}
		r.rotate(r.rotatedAt.Add(r.retention))
	}
	r.rotatedAt = now
}

func (r *Registry) rotate(at time.Time) {
	r.previous, r.current, r.rotatedAt = r.current, newGeneration(), at
}

// merge combines what two sources say of a stream. The order does not matter.
func merge(a, b Software) Software {
	switch {
	case a == 0 || a == b:
		return b
	case b == 0:
		return a
	}
	return Conflicting
}
