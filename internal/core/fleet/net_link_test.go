package fleet_test

import "time"

// link is the network link of a VM. A datagram that does not fit in its queue is lost.
type link struct {
	bytesPerSecond      int
	outFreeAt, inFreeAt time.Time // when each direction is free
	// queueLimit is the number of datagrams that each direction's queue holds; 0 means that only
	// maxQueueDelay limits it. queuedOut and queuedIn are the times at which the queued datagrams
	// leave.
	queueLimit          int
	queuedOut, queuedIn []time.Time
	bytesSent           int // bytes of digests sent, including lost ones
	bytesReceived       int // bytes of digests received
}

// fits reports whether a datagram fits in the queue of one direction, and records when it will
// leave the queue.
func (l *link) fits(now time.Time, queue *[]time.Time, free time.Time, size int) bool {
	if l.queueLimit == 0 {
		return true
	}
	for len(*queue) > 0 && !(*queue)[0].After(now) {
		*queue = (*queue)[1:]
	}
	if len(*queue) >= l.queueLimit {
		return false
	}
	*queue = append(*queue, latest(free, now).Add(time.Duration(size)*time.Second/time.Duration(l.bytesPerSecond)))
	return true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// maxQueueDelay is how long a datagram may wait for a link before it is lost.
const maxQueueDelay = 50 * time.Millisecond

// transmit sends a message over one direction of the link. It returns the transmission time and
// whether the message is lost in a full queue.
func (l *link) transmit(now time.Time, free *time.Time, size int, datagram bool) (took time.Duration, lost bool) {
	if l == nil {
		return 0, false
	}
	if free.Before(now) {
		*free = now
	}
	if datagram && free.Sub(now) > maxQueueDelay {
		return 0, true
	}
	*free = free.Add(time.Duration(size) * time.Second / time.Duration(l.bytesPerSecond))
	return free.Sub(now), false
}

func (l *link) send(now time.Time, size int, datagram bool) (time.Duration, bool) {
	if l == nil {
		return 0, false
	}
	if datagram && !l.fits(now, &l.queuedOut, l.outFreeAt, size) {
		return 0, true
	}
	return l.transmit(now, &l.outFreeAt, size, datagram)
}

func (l *link) receive(now time.Time, size int, datagram bool) (time.Duration, bool) {
	if l == nil {
		return 0, false
	}
	if datagram && !l.fits(now, &l.queuedIn, l.inFreeAt, size) {
		return 0, true
	}
	return l.transmit(now, &l.inFreeAt, size, datagram)
}
