package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// Process is a running daemon.
type Process interface {
	// Failures receives an error when a listener breaks.
	Failures() <-chan error
	// Shutdown stops gracefully.
	Shutdown(ctx context.Context)
}

// RunUntilStopped waits for SIGTERM, SIGINT or a failure, then shuts down.
func RunUntilStopped(p Process, log *eventlog.Log) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	select {
	case <-ctx.Done():
	case err := <-p.Failures():
		log.Line(eventlog.ListenerFailed).Err(err).Msg("")
	}
	p.Shutdown(context.Background())
}

// RunGateway is RunUntilStopped for a gateway, which also reads its settings again on
// SIGHUP. Bad ones change nothing.
func RunGateway(g *Gateway, load func() (GatewaySettings, error), log *eventlog.Log) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	for {
		select {
		case <-hangup:
			g.Reload(load())
			continue
		case <-ctx.Done():
		case err := <-g.Failed():
			log.Line(eventlog.ListenerFailed).Err(err).Msg("")
		}
		g.Shutdown(context.Background())
		return
	}
}
