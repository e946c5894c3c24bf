package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/operatorhttp"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/peer"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/tableservice"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/target"
	"github.com/hemlockdyke/hemlockdyke/internal/app/configstore"
	"github.com/hemlockdyke/hemlockdyke/internal/app/controller"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
	"github.com/hemlockdyke/hemlockdyke/internal/settings"
)

const (
	// reconcileEvery is the pause between two looks at the planned changes.
	reconcileEvery = time.Second
	// orderTimeout bounds one call to a target.
	orderTimeout = time.Second
	// maxOperatorHeader bounds the header of an operator's request.
	maxOperatorHeader = 16 << 10
	// shutdownGrace bounds the wait for open operator requests.
	shutdownGrace = 15 * time.Second
	// readTimeout bounds reading an operator's request.
	readTimeout = 15 * time.Second
)

// Controller is a running controller.
type Controller struct {
	log    *eventlog.Log
	server *http.Server
	failed chan error
	stop   context.CancelFunc
}

// StartController starts a controller.
func StartController(s settings.Controller, log *eventlog.Log) (*Controller, error) {
	store := tableservice.New(s.Platform.URL, s.Platform.Timeout.Std())
	ids := make([]uint32, len(s.Peers))
	for i, p := range s.Peers {
		ids[i] = p.ID
	}
	peers := peer.NewClient(addresses(s.Peers), peerTimeout, func(c net.Conn) net.Conn { return c })
	ctl := controller.New(configstore.New(store, time.Now), peers, ids, log)
	reconciler := controller.NewReconciler(
		ctl, store, target.NewOrderClient(orderTimeout), s.ID, uuid.NewString(), s.LeaseDuration.Std(), log, time.Now)
	l, err := listen(s.Listen)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	c := &Controller{
		log: log, failed: make(chan error, 1), stop: stop,
		server: &http.Server{
			Handler:        operatorhttp.New(ctl, reconciler, ids).Handler(),
			MaxHeaderBytes: maxOperatorHeader, ReadTimeout: readTimeout,
		},
	}
	go serve(c.server, l, c.failed)
	go reconcile(ctx, reconciler, log)
	log.Line(eventlog.Started).Str("operators", s.Listen).Msg("")
	return c, nil
}

func reconcile(ctx context.Context, r *controller.Reconciler, log *eventlog.Log) {
	for ctx.Err() == nil {
		if err := r.Pass(ctx); err != nil && ctx.Err() == nil {
			log.Line(eventlog.PlannedChangeFailed).Err(err).Msg("")
		}
		sleep(ctx, reconcileEvery)
	}
}

// Failed receives an error when the listener breaks.
func (c *Controller) Failed() <-chan error { return c.failed }

// Shutdown finishes open requests, then stops. Leases run out by themselves.
func (c *Controller) Shutdown(ctx context.Context) {
	began := time.Now()
	c.log.Line(eventlog.Stopping).Msg("")
	ctx, cancel := context.WithTimeout(ctx, shutdownGrace)
	defer cancel()
	_ = c.server.Shutdown(ctx)
	c.stop()
	c.log.Line(eventlog.Stopped).Dur("after", time.Since(began)).Msg("")
}
