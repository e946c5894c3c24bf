package fleet

import (
	"math"
	"slices"
	"time"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/targetload"
)

// Units of the figures in digests for pools that are scheduled by work, see placement.Load. They keep most
// values below 128, which takes one byte.
const (
	unreadUnit    = 512  // tokens
	memoryUnit    = 4096 // tokens
	pacesPerUsual = 10   // a pace of 1
	maxUnits      = 1 << 20
)

// scheduleColumns are the columns of a report with these figures.
type scheduleColumns struct{ unread, memory, pace []uint32 }

func (c *scheduleColumns) add(l placement.Load) {
	c.unread = append(c.unread, toUnits(l.Unread, unreadUnit))
	c.memory = append(c.memory, toUnits(l.Memory, memoryUnit))
	c.pace = append(c.pace, toPaceUnits(l.Pace))
}

// writeTo adds the columns with a value other than 0 to a report.
func (c *scheduleColumns) writeTo(r *peerv1.Report) {
	r.LoadUnread, r.LoadMemory, r.LoadPace = nilIfZero(c.unread), nilIfZero(c.memory), nilIfZero(c.pace)
}

func nilIfZero(column []uint32) []uint32 {
	if !slices.ContainsFunc(column, func(v uint32) bool { return v != 0 }) {
		return nil
	}
	return column
}

// toUnits converts tokens to units, rounded up.
func toUnits(tokens, unit int) uint32 {
	return uint32(min((max(tokens, 0)+unit-1)/unit, maxUnits))
}

func toPaceUnits(pace float64) uint32 {
	if pace == 0 {
		return 0
	}
	return uint32(max(math.Round(pace*pacesPerUsual), 1))
}

// decodeSchedule decodes the figures of the i-th load. Invalid values count as 0; the others of the load
// stay.
func decodeSchedule(r *peerv1.Report, i int, l *placement.Load) {
	l.Unread = int(unitsAt(r.GetLoadUnread(), i)) * unreadUnit
	l.Memory = int(unitsAt(r.GetLoadMemory(), i)) * memoryUnit
	if pace := float64(unitsAt(r.GetLoadPace(), i)) / pacesPerUsual; targetload.IsValidPace(pace) {
		l.Pace = pace
	}
}

// unitsAt returns a value of a column; 0 if it is absent, as in digests of earlier releases, or invalid.
func unitsAt(column []uint32, i int) uint32 {
	if i >= len(column) || column[i] > maxUnits {
		return 0
	}
	return column[i]
}

// equalSchedules reports whether two loads are the same in a digest, apart from the pace: it varies at
// random, and the next digest tells it soon enough.
func equalSchedules(a, b placement.Load) bool {
	return toUnits(a.Unread, unreadUnit) == toUnits(b.Unread, unreadUnit) && toUnits(a.Memory, memoryUnit) == toUnits(b.Memory, memoryUnit)
}

// countedLoads returns the loads of a report as they count at a time. A pace counts only while the report is
// fresh: digests carry no ages, so the receivers would take an old one for new.
func (r *sourceReport) countedLoads(now time.Time) []placement.Load {
	if now.Sub(r.at) <= targetload.FreshPeriod || !slices.ContainsFunc(r.loads, func(l placement.Load) bool { return l.Pace > 0 }) {
		return r.loads
	}
	out := slices.Clone(r.loads)
	for i := range out {
		out[i].Pace = 0
	}
	return out
}
