package gatewayhttp

import "time"

// SetWriteTimeout replaces callerWriteTimeout, so that tests need not wait for it.
func (s *Server) SetWriteTimeout(d time.Duration) { s.writeTimeout = d }

// FramingMeter is framingMeter.
type FramingMeter = framingMeter

// NewFramingMeter is newFramingMeter.
func NewFramingMeter(cores float64) *FramingMeter {
	m := newFramingMeter(cores)
	return &m
}

// Add is add.
func (m *framingMeter) Add(bodies int) { m.add(bodies) }

// Count is count.
func (m *framingMeter) Count(now time.Time, n int64) time.Time { return m.count(now, n) }
