// Package daemon wires the binaries: listeners, adapters, the application, and
// the order of a graceful shutdown.
package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// serve runs an HTTP server on a listener until it is shut down.
func serve(server *http.Server, l net.Listener, failed chan<- error) {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		failed <- err
	}
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, errors.Wrapf(err, "listen on %s", address)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
