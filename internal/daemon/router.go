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
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/tableservice"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/target"
	"github.com/hemlockdyke/hemlockdyke/internal/app/configstore"
	"github.com/hemlockdyke/hemlockdyke/internal/app/router"
	core "github.com/hemlockdyke/hemlockdyke/internal/core/router"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
	"github.com/hemlockdyke/hemlockdyke/internal/settings"
)

const (
	// peerTimeout bounds one call to another router.
	peerTimeout = time.Second
	// probeTimeout bounds one look at a target's own count.
	probeTimeout = 500 * time.Millisecond
)

// Router is a running router.
type Router struct {
	settings settings.Router
	log      *eventlog.Log
	control  *router.Control
	traffic  *router.Traffic
	requests *metrics.RequestCounts
	bytes    *metrics.ConnectionTraffic
	callers  *http.Server
	peers    *http.Server
	admin    *http.Server
	failed   chan error
	stop     context.CancelFunc
}

// StartRouter starts a router. The incarnation must rise with every start of the
// same router; the wall clock in nanoseconds does.
func StartRouter(s settings.Router, incarnation uint64, log *eventlog.Log) (*Router, error) {
	ctx, stop := context.WithCancel(context.Background())
	r := &Router{
		settings: s, log: log, requests: metrics.NewRequestCounts(), bytes: &metrics.ConnectionTraffic{},
		failed: make(chan error, 3), stop: stop,
	}
	store := tableservice.New(s.Platform.URL, s.Platform.Timeout.Std())
	r.control = router.NewControl(
		core.New(time.Now(), coreSettings(s, incarnation)),
		peer.NewClient(addresses(s.Peers), peerTimeout, r.bytes.WrapConn),
		configstore.New(store, time.Now), target.NewOrderClient(probeTimeout), log, time.Now,
	)
	targets := target.New(target.DefaultSettings())
	r.traffic = router.NewTraffic(r.control, targets, log, time.Now, s.Limits.StreamSilenceTimeout.Std())
	burn := router.NewBurn(r.control, s.ID, log, time.Now)
	claims := router.NewClaims(store, r.control, s.ID, incarnation, log, time.Now)
	caller := callerhttp.New(callerhttp.Settings{
		MaxBodyBytes: s.Limits.MaxBodyBytes, DefaultDeadline: s.Limits.DefaultDeadline.Std(),
	}, r.control, r.traffic, claims, observers{r.requests, burn}, log, time.Now)
	r.callers = &http.Server{
		Handler: caller.Handler(), MaxHeaderBytes: s.Limits.MaxHeaderBytes,
		ReadTimeout: s.Limits.ReadTimeout.Std(), ReadHeaderTimeout: s.Limits.ReadTimeout.Std(),
	}
	peerMux := http.NewServeMux()
	peerMux.Handle(peer.NewHandler(burn))
	r.peers = &http.Server{Handler: peerMux, Protocols: peer.Protocols()}
	r.admin = &http.Server{Handler: r.adminHandler()}
	if err := r.listen(); err != nil {
		stop()
		return nil, err
	}
	go r.control.Run(ctx)
	log.Line(eventlog.Started).Str("callers", s.Listen.Callers).Str("peers", s.Listen.Peers).Msg("")
	return r, nil
}

// observers tells several observers of each request.
type observers []callerhttp.Observer

// Observe tells every observer how a request ended.
func (o observers) Observe(req router.Request, result router.Result) {
	for _, one := range o {
		one.Observe(req, result)
	}
}

func coreSettings(s settings.Router, incarnation uint64) core.Settings {
	ids := make([]uint32, len(s.Peers))
	for i, p := range s.Peers {
		ids[i] = p.ID
	}
	c := core.DefaultSettings(s.ID, ids)
	c.Incarnation = incarnation
	c.Seed = incarnation
	c.GossipInterval = s.Control.GossipInterval.Std()
	c.PollInterval = s.Control.PollInterval.Std()
	c.SuspectAfter = s.Control.SuspectTimeout.Std()
	c.FreshFor = s.Control.FreshnessTimeout.Std()
	c.Ledger.MaxQueued = s.Limits.MaxQueuedRequests
	return c
}

func addresses(peers []settings.Peer) map[uint32]string {
	out := make(map[uint32]string, len(peers))
	for _, p := range peers {
		out[p.ID] = p.Address
	}
	return out
}

func (r *Router) listen() error {
	for _, one := range []struct {
		server  *http.Server
		address string
		wrap    func(net.Listener) net.Listener
	}{
		{r.callers, r.settings.Listen.Callers, nil},
		{r.peers, r.settings.Listen.Peers, func(l net.Listener) net.Listener { return peer.WrapListener(r.bytes.WrapListener(l)) }},
		{r.admin, r.settings.Listen.Admin, nil},
	} {
		l, err := listen(one.address)
		if err != nil {
			return err
		}
		if one.wrap != nil {
			l = one.wrap(l)
		}
		go serve(one.server, l, r.failed)
	}
	return nil
}

func (r *Router) adminHandler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = r.requests.WriteJSON(w)
	})
	m.HandleFunc("/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(struct {
			router.Status
			Control metrics.TrafficCounts `json:"control"`
		}{r.control.Status(r.settings.ID), r.bytes.Snapshot()})
	})
	return m
}

// Failed receives an error when a listener breaks.
func (r *Router) Failed() <-chan error { return r.failed }

// Shutdown stops gracefully. The router is unready first and goes on serving for
// the balancer's lag, since the balancer keeps sending for a while; then open
// requests finish, and only then the peer service ends, because open requests
// still give tickets back and this router may own pools.
func (r *Router) Shutdown(ctx context.Context) {
	began := time.Now()
	r.log.Line(eventlog.Stopping).Msg("")
	r.control.Leave()
	sleep(ctx, r.settings.Shutdown.BalancerLag.Std())
	graceful, cancel := context.WithTimeout(ctx, r.settings.Shutdown.GracePeriod.Std())
	defer cancel()
	if err := r.callers.Shutdown(graceful); err != nil {
		r.log.Line(eventlog.RequestsCut).Int64("open", r.traffic.Open()).Err(err).Msg("")
	}
	_ = r.peers.Shutdown(graceful)
	_ = r.admin.Shutdown(graceful)
	r.stop()
	r.log.Line(eventlog.Stopped).Dur("after", time.Since(began)).Msg("")
}
