// Package shutdown computes the schedule of a graceful shutdown: what a stopping router still accepts, and when it
// answers what is open, so that nothing is cut without an answer when the process is killed.
package shutdown

import (
	"errors"
	"time"
)

// ErrStopping is the cause of the end of a request's context when a stopping router has no more time for the request and
// must answer it.
var ErrStopping = errors.New("router is stopping")

// The parts of the time between the latest deadline of a request that is still accepted and the kill of the process.
const (
	// AnswerGrace is how long after a request's deadline a target's answer is still accepted before the router sends
	// its own.
	AnswerGrace = 60 * time.Millisecond
	// TickInterval is the time between two looks at the schedule.
	TickInterval = 20 * time.Millisecond
	// WriteTime is the time for writing the last answers, on a VM that is short of processor time. The router's
	// entry in the router list is deleted meanwhile.
	WriteTime = 270 * time.Millisecond
	// exitTime is the time between the end of the last connection and the end of the process. A process whose share of
	// a core is used up may get none for most of a tenth of a second.
	exitTime = 150 * time.Millisecond
	// closingTime is the sum of the parts.
	closingTime = AnswerGrace + TickInterval + WriteTime + exitTime
)

const (
	// balancerLag is the time for which the balancer still opens connections to a router after its first failed check.
	// The balancer checks every second and removes a router after two failed checks.
	balancerLag = 2100 * time.Millisecond
	// minServingTime is the time for requests accepted with any deadline, after the last of them came.
	minServingTime = 400 * time.Millisecond
)

// MinGracePeriod is the shortest grace period for which a schedule leaves each part its time.
const MinGracePeriod = time.Second

// Schedule is the schedule of a graceful shutdown. All times are since its begin, in this order.
type Schedule struct {
	// AcceptAll is until when all requests are accepted: the balancer has not noticed the shutdown yet, and most
	// requests end long before their deadlines.
	AcceptAll time.Duration
	// LastDeadline is the latest deadline of requests that are accepted afterwards.
	LastDeadline time.Duration
	// AnswerOpen is when all open requests are ended with an answer of the router's own. Those accepted after AcceptAll
	// have ended by themselves.
	AnswerOpen time.Duration
	// Close is when the connections are closed. The process then ends before the grace period does.
	Close time.Duration
}

// NewSchedule returns the schedule for a grace period, the time between the signal to stop and the kill of the process. It
// must be MinGracePeriod or longer.
func NewSchedule(grace time.Duration) Schedule {
	last := grace - closingTime
	return Schedule{
		AcceptAll:    min(balancerLag, max(last-minServingTime, 0)),
		LastDeadline: last,
		AnswerOpen:   last + AnswerGrace + TickInterval,
		Close:        grace - exitTime,
	}
}
