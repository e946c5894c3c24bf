package daemon

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/callerhttp"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/metrics"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/peer"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/recovery"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/tableservice"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/target"
	"github.com/hemlockdyke/hemlockdyke/internal/app/configstore"
	"github.com/hemlockdyke/hemlockdyke/internal/app/router"
	core "github.com/hemlockdyke/hemlockdyke/internal/core/router"
	"github.com/hemlockdyke/hemlockdyke/internal/core/shutdown"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
	"github.com/hemlockdyke/hemlockdyke/internal/settings"
)

const (
	// peerTimeout is the timeout of one call to another router.
	peerTimeout = time.Second
	// probeTimeout is the timeout for reading the status of a target.
	probeTimeout = 500 * time.Millisecond
)

// Router is a running router.
type Router struct {
	settings       settings.Router
	log            *eventlog.Log
	control        *router.Control
	forwarder      *router.Forwarder
	requestMetrics *metrics.RequestCounts
	peerTraffic    *metrics.ConnectionTraffic
	callersServer  *http.Server
	peersServer    *http.Server
	adminServer    *http.Server
	failures       chan error
	stop           context.CancelFunc
	// serving ends when open requests must be answered; the contexts of requests are derived from it.
	serving    context.Context
	endServing context.CancelCauseFunc
}

// StartRouter starts a router and returns once its ports are open. incarnation must increase with
// each start of the same router. The wall clock in nanoseconds meets this.
func StartRouter(s settings.Router, incarnation uint64, log *eventlog.Log) (*Router, error) {
	ctx, stop := context.WithCancel(context.Background())
	r := &Router{
		settings: s, log: log, requestMetrics: metrics.NewRequestCounts(), peerTraffic: &metrics.ConnectionTraffic{},
		failures: make(chan error, 3), stop: stop,
	}
	r.serving, r.endServing = context.WithCancelCause(context.Background())
	store := tableservice.New(s.Platform.URL, s.Platform.Timeout.Std())
	r.control = router.NewControl(
		core.New(time.Now(), coreSettings(s, incarnation)),
		peer.NewClient(peerAddresses(s.Peers), peerTimeout, r.peerTraffic.WrapConn),
		configstore.New(store, time.Now), target.NewOrderClient(probeTimeout), log, time.Now,
	)
	targets := target.New(target.DefaultSettings())
	r.forwarder = router.NewForwarder(r.control, targets, log, time.Now, s.Limits.StreamSilenceTimeout.Std())
	burn := router.NewBurnRecorder(r.control, s.ID, log, time.Now)
	claims := router.NewClaims(store, r.control, s.ID, incarnation, log, time.Now)
	callerServer := callerhttp.New(callerhttp.Settings{
		MaxBodyBytes: s.Limits.MaxBodyBytes, DefaultDeadline: s.Limits.DefaultDeadline.Std(),
	}, r.control, r.forwarder, claims, observers{r.requestMetrics, burn}, log, time.Now)
	r.callersServer = &http.Server{
		Handler: recovery.Handler(log, "callers", callerServer.Handler()), MaxHeaderBytes: s.Limits.MaxHeaderBytes,
		ReadTimeout: s.Limits.ReadTimeout.Std(), ReadHeaderTimeout: s.Limits.ReadTimeout.Std(),
		BaseContext: func(net.Listener) context.Context { return r.serving },
	}
	peerMux := http.NewServeMux()
	peerMux.Handle(peer.NewHandler(burn, recordPeerPanics(log)))
	r.peersServer = peer.NewServer(peerMux, nil)
	r.adminServer = newStatusServer(recovery.Handler(log, "admin", r.adminHandler()))
	if err := r.startServers(); err != nil {
		stop()
		return nil, err
	}
	log.GoOrEnd("control", func() { r.control.Run(ctx) })
	log.Line(eventlog.Started).Str("callers", s.Listen.Callers).Str("peers", s.Listen.Peers).Msg("")
	return r, nil
}

// observers is an Observer that passes each result to several observers.
type observers []callerhttp.Observer

// RecordResult passes the result of a request to each observer.
func (o observers) RecordResult(req router.Request, result router.Result) {
	for _, observer := range o {
		observer.RecordResult(req, result)
	}
}

// coreSettings returns the settings of the router core.
func coreSettings(s settings.Router, incarnation uint64) core.Settings {
	routers := make([]uint32, len(s.Peers))
	for i, p := range s.Peers {
		routers[i] = p.ID
	}
	c := core.DefaultSettings(s.ID, routers)
	c.Incarnation = incarnation
	c.Seed = incarnation
	c.GossipInterval = s.Control.GossipInterval.Std()
	c.PollInterval = s.Control.PollInterval.Std()
	c.SuspectTimeout = s.Control.SuspectTimeout.Std()
	c.FreshnessTimeout = s.Control.FreshnessTimeout.Std()
	c.Ledger.MaxQueued = s.Limits.MaxQueuedRequests
	return c
}

// peerAddresses returns the addresses of routers by ID.
func peerAddresses(peers []settings.Peer) map[uint32]string {
	out := make(map[uint32]string, len(peers))
	for _, p := range peers {
		out[p.ID] = p.Address
	}
	return out
}

// startServers opens the listeners and starts the servers.
func (r *Router) startServers() error {
	for _, entry := range []struct {
		port    string // for log lines
		server  *http.Server
		address string
		wrap    func(net.Listener) net.Listener
	}{
		{"callers", r.callersServer, r.settings.Listen.Callers, nil},
		{"peers", r.peersServer, r.settings.Listen.Peers, func(l net.Listener) net.Listener { return peer.CoalesceWrites(r.peerTraffic.WrapListener(l)) }},
		{"admin", r.adminServer, r.settings.Listen.Admin, nil},
	} {
		listener, err := listen(entry.address)
		if err != nil {
			return err
		}
		if entry.wrap != nil {
			listener = entry.wrap(listener)
		}
		entry.server.ErrorLog = eventlog.NewServerLog(r.log, entry.port)
		r.log.GoOrEnd("server", func() { serve(entry.server, listener, r.failures) })
	}
	return nil
}

// adminHandler serves the metrics and the status of the router as JSON.
func (r *Router) adminHandler() http.Handler {
	routes := mux.NewRouter()
	routes.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = r.requestMetrics.WriteJSON(w)
	})
	routes.HandleFunc("/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(struct {
			router.Status
			Control metrics.TrafficCounts `json:"control"`
		}{r.control.Status(r.settings.ID), r.peerTraffic.Snapshot()})
	})
	return routes
}

// Failures returns the channel on which the error of a failed listener arrives.
func (r *Router) Failures() <-chan error { return r.failures }

// Shutdown stops the router gracefully. First the router becomes unready. It still accepts requests
// until the balancer has stopped sending them. Then it waits for open requests; those that the grace
// period leaves open are answered by the router itself. The peer service ends last, as open requests release their tickets and this router may own pools.
func (r *Router) Shutdown(ctx context.Context) {
	startedAt := time.Now()
	r.log.Line(eventlog.Stopping).Msg("")
	r.control.BeginShutdown()
	sleep(ctx, r.settings.Shutdown.BalancerLag.Std())
	graceCtx, cancel := context.WithTimeout(ctx, r.settings.Shutdown.GracePeriod.Std())
	defer cancel()
	endOpenRequests := context.AfterFunc(graceCtx, func() { r.endServing(shutdown.ErrStopping) })
	defer endOpenRequests()
	answerCtx, cancelAnswers := context.WithTimeout(ctx, r.settings.Shutdown.GracePeriod.Std()+shutdown.WriteTime)
	defer cancelAnswers()
	if err := r.callersServer.Shutdown(answerCtx); err != nil {
		r.log.Line(eventlog.RequestsCut).Int64("open", r.forwarder.OpenRequests()).Err(err).Msg("")
	}
	_ = r.peersServer.Shutdown(graceCtx)
	_ = r.adminServer.Shutdown(graceCtx)
	r.stop()
	r.log.Line(eventlog.Stopped).Dur("after", time.Since(startedAt)).Msg("")
}
