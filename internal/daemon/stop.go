package daemon

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
)

// Process is a running daemon.
type Process interface {
	// Failed receives an error when a listener breaks.
	Failed() <-chan error
	// Shutdown stops gracefully.
	Shutdown(ctx context.Context)
}

// RunUntilStopped waits for SIGTERM, SIGINT or a failure, then shuts down.
func RunUntilStopped(p Process, log zerolog.Logger) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	select {
	case <-ctx.Done():
	case err := <-p.Failed():
		log.Error().Err(err).Msg("listener failed")
	}
	p.Shutdown(context.Background())
}
