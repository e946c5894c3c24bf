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
	// Failures returns the channel on which the error of a failed listener arrives.
	Failures() <-chan error
	// Shutdown stops the process gracefully.
	Shutdown(ctx context.Context)
}

// RunUntilStopped waits for SIGTERM, SIGINT or the failure of a listener, then shuts the process
// down.
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

// RunGateway is RunUntilStopped for a gateway. On SIGHUP it also reloads the settings with
// loadSettings. Invalid settings change nothing.
func RunGateway(g *Gateway, loadSettings func() (GatewaySettings, error), log *eventlog.Log) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for {
		select {
		case <-hangups:
			g.Reload(loadSettings())
			continue
		case <-ctx.Done():
		case err := <-g.Failures():
			log.Line(eventlog.ListenerFailed).Err(err).Msg("")
		}
		g.Shutdown(context.Background())
		return
	}
}
