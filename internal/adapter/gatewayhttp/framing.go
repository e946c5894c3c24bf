package gatewayhttp

import (
	"os"
	"sync"
	"time"
)

const (
	// framingBytesPerCore is how many bytes a second of the framing of chunks are decoded for each core.
	framingBytesPerCore = 10 << 20
	// freeFramingBytes is the framing of a body that is not counted, nor is as much as the body itself has.
	freeFramingBytes = 64 << 10
	// maxFramingWait is the longest wait without a look at the deadline.
	maxFramingWait = 100 * time.Millisecond
)

// framingMeter spreads the processor time that the framing of chunked bodies costs over time: decoding chunks of one
// byte costs far more than a body of the same length. A single such body is not held up. It is safe
// for concurrent use.
type framingMeter struct {
	bytesPerSecond float64

	mu     sync.Mutex
	bodies int       // that pay
	freeAt time.Time // when what was counted so far has been worked off
}

// newFramingMeter returns a framingMeter for a number of cores; 0 if it is not known.
func newFramingMeter(cores float64) framingMeter {
	if cores <= 0 {
		cores = 1
	}
	return framingMeter{bytesPerSecond: cores * framingBytesPerCore}
}

func (m *framingMeter) add(bodies int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bodies += bodies
}

// count counts n bytes and returns when the body that had them may go on.
func (m *framingMeter) count(now time.Time, n int64) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.bodies <= 1 {
		return now
	}
	if m.freeAt.Before(now) {
		m.freeAt = now
	}
	m.freeAt = m.freeAt.Add(time.Duration(float64(n) / m.bytesPerSecond * float64(time.Second)))
	return m.freeAt
}

// payForFraming waits until the processor time of the framing that was read since the last call has been worked off.
// It fails if the body has to give way meanwhile, or can't be complete any more.
func (b *bodySource) payForFraming() error {
	due := b.conn.bodyBytes() - 2*b.received - freeFramingBytes - b.paid
	if due <= 0 {
		return nil
	}
	if !b.isMetered {
		b.isMetered = true
		b.meter.add(1)
	}
	b.paid += due
	for until := b.meter.count(b.now(), due); ; {
		now := b.now()
		switch {
		case !now.Before(until):
			return nil
		case !now.Before(b.deadline), b.transfer.HasEnded():
			return os.ErrDeadlineExceeded
		}
		time.Sleep(min(until.Sub(now), maxFramingWait))
	}
}

// close must follow the last Read.
func (b *bodySource) close() {
	if b.isMetered {
		b.meter.add(-1)
	}
}
