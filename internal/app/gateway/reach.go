package gateway

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hemlockdyke/hemlockdyke/internal/core/reach"
)

// pathState is what request goroutines know of this router's path to the targets. It is safe for
// concurrent use.
type pathState struct {
	mu      sync.Mutex
	monitor *reach.Monitor
}

func newPathState() *pathState { return &pathState{monitor: reach.NewMonitor()} }

func (s *pathState) recordBytes(now time.Time, pool string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.monitor.RecordBytes(now, pool)
}

func (s *pathState) recordConnection(now time.Time, pool string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.monitor.RecordConnection(now, pool)
}

// logLastSeen adds to a line how long ago this router last saw any target of a pool.
func (s *pathState) logLastSeen(line *zerolog.Event, now time.Time, pool string) *zerolog.Event {
	s.mu.Lock()
	heardAt, connectedAt := s.monitor.LastSeen(pool)
	s.mu.Unlock()
	if !heardAt.IsZero() {
		line = line.Dur("heard", now.Sub(heardAt))
	}
	if !connectedAt.IsZero() {
		line = line.Dur("connected", now.Sub(connectedAt))
	}
	return line
}
