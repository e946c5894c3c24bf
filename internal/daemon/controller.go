package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/operatorhttp"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/peer"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/recovery"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/tableservice"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/target"
	"github.com/hemlockdyke/hemlockdyke/internal/app/configstore"
	"github.com/hemlockdyke/hemlockdyke/internal/app/controller"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
	"github.com/hemlockdyke/hemlockdyke/internal/settings"
)

const (
	// reconcileInterval is the interval between two passes over the planned changes.
	reconcileInterval = time.Second
	// targetTimeout is the timeout of one call to a target.
	targetTimeout = time.Second
	// maxOperatorHeaderBytes is the largest size of the header of an operator's request.
	maxOperatorHeaderBytes = 16 << 10
	// shutdownTimeout is the time after which a shutdown no longer waits for open requests of
	// operators.
	shutdownTimeout = 15 * time.Second
	// operatorReadTimeout is the timeout for reading a request of an operator.
	operatorReadTimeout = 15 * time.Second
)

// Controller is a running controller.
type Controller struct {
	log      *eventlog.Log
	server   *http.Server
	failures chan error
	stop     context.CancelFunc
}

// StartController starts a controller and returns once its port is open.
func StartController(s settings.Controller, log *eventlog.Log) (*Controller, error) {
	store := tableservice.New(s.Platform.URL, s.Platform.Timeout.Std())
	routers := make([]uint32, len(s.Peers))
	for i, p := range s.Peers {
		routers[i] = p.ID
	}
	peers := peer.NewClient(peerAddresses(s.Peers), peerTimeout, func(c net.Conn) net.Conn { return c })
	ctl := controller.New(configstore.New(store, time.Now), peers, routers, log)
	reconciler := controller.NewReconciler(
		ctl, store, target.NewOrderClient(targetTimeout), s.ID, uuid.NewString(), s.LeaseDuration.Std(), log, time.Now)
	listener, err := listen(s.Listen)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	c := &Controller{
		log: log, failures: make(chan error, 1), stop: stop,
		server: &http.Server{
			Handler:        recovery.Handler(log, "operators", operatorhttp.New(ctl, reconciler, routers).Handler()),
			MaxHeaderBytes: maxOperatorHeaderBytes, ReadTimeout: operatorReadTimeout, ErrorLog: eventlog.NewServerLog(log, "operators"),
		},
	}
	log.GoOrEnd("server", func() { serve(c.server, listener, c.failures) })
	log.GoOrEnd("reconciler", func() { runReconciler(ctx, reconciler, log) })
	log.Line(eventlog.Started).Str("operators", s.Listen).Msg("")
	return c, nil
}

// runReconciler runs a pass of the Reconciler every reconcileInterval until ctx is cancelled.
func runReconciler(ctx context.Context, r *controller.Reconciler, log *eventlog.Log) {
	for ctx.Err() == nil {
		if err := r.Reconcile(ctx); err != nil && ctx.Err() == nil {
			log.Line(eventlog.PlannedChangeFailed).Err(err).Msg("")
		}
		sleep(ctx, reconcileInterval)
	}
}

// Failures returns the channel on which the error of a failed listener arrives.
func (c *Controller) Failures() <-chan error { return c.failures }

// Shutdown waits for open requests, at most for shutdownTimeout, and stops the controller. Its
// leases are not released; they expire.
func (c *Controller) Shutdown(ctx context.Context) {
	startedAt := time.Now()
	c.log.Line(eventlog.Stopping).Msg("")
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	_ = c.server.Shutdown(ctx)
	c.stop()
	c.log.Line(eventlog.Stopped).Dur("after", time.Since(startedAt)).Msg("")
}
