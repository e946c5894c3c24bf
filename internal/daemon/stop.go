package daemon

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

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

// Signals receives the signals of a gateway process.
type Signals struct {
	stop   chan os.Signal
	reload chan os.Signal
}

// NotifySignals must be called as early as possible: until then a SIGHUP ends the process.
func NotifySignals() *Signals {
	s := &Signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	return s
}

// SettingsSource is where a gateway's settings come from.
type SettingsSource interface {
	// Load returns the settings.
	Load() (GatewaySettings, error)
	// Changed reports whether the settings may have changed since the last call of Load.
	Changed() bool
}

// settingsInterval is the time between two looks for settings that changed without a signal.
const settingsInterval = time.Second

// RunGateway is RunUntilStopped for a gateway. On SIGHUP, and when the settings have changed without it, it also reloads
// the settings. Invalid settings change nothing.
func RunGateway(g *Gateway, signals *Signals, settings SettingsSource, log *eventlog.Log) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	stopped := make(chan struct{})
	shutDown := sync.OnceFunc(func() {
		go func() {
			defer close(stopped)
			g.Shutdown(context.Background())
		}()
	})
	for {
		select {
		case <-signals.reload:
			g.Reload(settings.Load())
		case <-ticker.C:
			if settings.Changed() {
				g.Reload(settings.Load())
			}
		case <-signals.stop:
			shutDown()
		case err := <-g.Failures():
			log.Line(eventlog.ListenerFailed).Err(err).Msg("")
			shutDown()
		case <-stopped:
			return
		}
	}
}
