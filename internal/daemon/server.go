// Package daemon assembles the processes of the binaries from listeners, adapters and the
// application, and implements their start and graceful shutdown.
package daemon

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/peer"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// serve runs an HTTP server on a listener until the server is shut down. Any other error is sent to
// failures.
func serve(server *http.Server, listener net.Listener, failures chan<- error) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		failures <- err
	}
}

// recordPeerPanics returns the option that logs and counts panics in the handlers of other routers' calls.
func recordPeerPanics(log *eventlog.Log) connect.HandlerOption {
	return peer.WithPanicHandler(func(procedure string, value any) {
		log.RecordPanic("peers"+procedure[strings.LastIndex(procedure, "/"):], value, "")
	})
}

// listen opens a TCP listener.
func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	return listener, errors.Wrapf(err, "listen on %s", address)
}

// sleep waits until d has passed or ctx is cancelled.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

const (
	// maxStatusHeadBytes bounds the header of a request to a status server. Package net/http adds 4 KiB.
	maxStatusHeadBytes = 8 << 10
	// statusTimeout bounds the arrival of a request to a status server, its body included, and the wait
	// for the next one.
	statusTimeout = 5 * time.Second
	// statusIdleTimeout is above the interval of checks and of reads of metrics.
	statusIdleTimeout = 60 * time.Second
)

// newStatusServer returns a server for requests of the platform and operators that have no body:
// readiness checks and metrics.
func newStatusServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, MaxHeaderBytes: maxStatusHeadBytes,
		ReadHeaderTimeout: statusTimeout, ReadTimeout: statusTimeout, IdleTimeout: statusIdleTimeout,
	}
}
