package daemon

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/gatewayhttp"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/metrics"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/peer"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/upstream"
	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// GatewaySettings are the settings of a gateway process.
type GatewaySettings struct {
	Callers       string // address for callers
	Readiness     string // address for the balancer's checks
	ReadinessPath string
	Metrics       string // address of the metrics
	MemoryBytes   int64  // what the process may use; 0 if unknown
	// Grace is how long after SIGTERM the process is killed.
	Grace   time.Duration
	Gateway gateway.Settings
}

const (
	// gatewayPeerTimeout bounds one copy between routers; most have a shorter bound of their own.
	gatewayPeerTimeout = 2 * time.Second
	// balancerLag is how long the balancer goes on sending new connections after the
	// first failed check: it asks every second and takes a router out after two misses.
	balancerLag = 2100 * time.Millisecond
	// drainPoll is the pause between looks whether the long requests have ended.
	drainPoll = 20 * time.Millisecond
	// graceMargin is kept between the end of a graceful shutdown and the kill.
	graceMargin = 500 * time.Millisecond
	// headerTimeout and idleTimeout bound slow and idle callers. Callers reuse
	// connections that have been idle for many seconds, so these are generous.
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeader is twice what the platform lets callers send.
	maxHeader = 32 << 10
	// memoryShare is the part of the process's memory at which the garbage collector
	// works harder instead of letting the heap grow.
	memoryShare = 0.5
	// gcPercent keeps the heap small. Memory is paid for, and collections of the few
	// megabytes that live take little processor time.
	gcPercent = 50
)

// Gateway is a running gateway.
type Gateway struct {
	settings GatewaySettings
	log      *eventlog.Log
	control  *gateway.Control
	links    *peer.DigestSocket
	servers  []*http.Server // callers first
	callers  *gatewayhttp.ConnTracker
	failed   chan error
	stop     context.CancelFunc
}

// Platform is what a gateway needs of the platform.
type Platform struct {
	Store   gateway.Store
	Decoder gateway.Decoder
	Wire    interface {
		gateway.Wire
		gatewayhttp.Decoder
	}
}

// StartGateway starts a gateway.
func StartGateway(s GatewaySettings, p Platform, m *metrics.Gateway, log *eventlog.Log) (*Gateway, error) {
	debug.SetGCPercent(gcPercent)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
	ctx, stop := context.WithCancel(context.Background())
	g := &Gateway{settings: s, log: log, callers: gatewayhttp.NewConnTracker(), failed: make(chan error, 5), stop: stop}
	links, err := peer.ListenDigests(s.Gateway.Address)
	if err != nil {
		stop()
		return nil, err
	}
	g.links = links
	up := upstream.New(upstream.DefaultSettings(), time.Now, m.CountDial)
	use := &linkUse{digests: links, link: s.Gateway.LinkBytes, log: log, metrics: m}
	peers := &gatewayPeers{DigestSocket: links, CopyClient: peer.NewCopyClient(gatewayPeerTimeout, use.fetched.WrapConn)}
	g.control = gateway.NewControl(s.Gateway, p.Store, p.Decoder, peers, up, log, time.Now)
	relay := gateway.NewRelay(g.control, p.Wire, up, m, log, time.Now)
	front := gatewayhttp.New(relay, g.control, p.Wire, time.Now, m.CountRefusal)
	if err := g.listen(front, m, use); err != nil {
		stop()
		return nil, err
	}
	use.status = g.control.Status
	go use.run(ctx)
	go g.receive(ctx)
	go g.control.Run(ctx)
	log.Line(eventlog.Started).Str("callers", s.Callers).Str("peers", s.Gateway.Address).Msg("")
	return g, nil
}

// gatewayPeers joins the two ways to other routers.
type gatewayPeers struct {
	*peer.DigestSocket
	*peer.CopyClient
}

func (g *Gateway) receive(ctx context.Context) {
	err := g.links.Receive(func(from string, m *peerv1.Digest) { g.control.Digest(ctx, from, m) })
	if err != nil {
		g.failed <- err
	}
}

// Handle answers other routers' messages.
func (g *Gateway) Handle(ctx context.Context, m proto.Message) (proto.Message, error) {
	req, ok := m.(*peerv1.CopyRequest)
	if !ok {
		return nil, code.New(code.BadProtocol, "unexpected message")
	}
	return g.control.Copy(ctx, req)
}

func (g *Gateway) listen(front *gatewayhttp.Server, m *metrics.Gateway, use *linkUse) error {
	peerMux := http.NewServeMux()
	peerMux.Handle(peer.NewHandler(g, peer.WithoutCompression()))
	for _, one := range []struct {
		address string
		server  *http.Server
		wrap    func(net.Listener) net.Listener
	}{
		{g.settings.Callers, &http.Server{Handler: front, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader, ConnState: g.callers.OnStateChange},
			g.callers.Wrap},
		{g.settings.Readiness, &http.Server{Handler: front.ReadinessHandler(g.settings.ReadinessPath)}, nil},
		{g.settings.Gateway.Address, &http.Server{Handler: peerMux, Protocols: peer.Protocols()},
			func(l net.Listener) net.Listener { return peer.WrapListener(use.served.WrapListener(l)) }},
		{g.settings.Metrics, &http.Server{Handler: m.Handler(g.control.Status)}, nil},
	} {
		l, err := listen(one.address)
		if err != nil {
			return err
		}
		if one.wrap != nil {
			l = one.wrap(l)
		}
		g.servers = append(g.servers, one.server)
		go serve(one.server, l, g.failed)
	}
	return nil
}

// Reload puts changed bounds in force. Addresses can't change while the process runs;
// a change of them takes effect at the next start.
func (g *Gateway) Reload(s GatewaySettings, err error) {
	if err != nil {
		g.log.Line(eventlog.ReloadRejected).Err(err).Msg("")
		return
	}
	g.control.Reload(s.Gateway)
	g.log.Line(eventlog.Reloaded).Float64("retry_ratio", s.Gateway.RetryRatio).Float64("retry_slack", s.Gateway.RetrySlack).
		Float64("load_multiple", s.Gateway.LoadMultiple).Msg("")
}

// Failed receives an error when a listener breaks.
func (g *Gateway) Failed() <-chan error { return g.failed }

// Shutdown stops gracefully: unready at once, serving until the balancer has noticed,
// then only what ends in time, and ending with the last request that came before. The
// callers' port stays open until then: while few routers are ready the balancer sends
// to stopping ones as well, and a closed port would cost those callers a try.
func (g *Gateway) Shutdown(ctx context.Context) {
	began := time.Now()
	g.log.Line(eventlog.Stopping).Msg("")
	g.control.Leave(ctx)
	sleep(ctx, balancerLag)
	by := began.Add(g.settings.Grace - graceMargin)
	graceful, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	g.control.FinishBy(by)
	for g.control.Early() > 0 && graceful.Err() == nil {
		sleep(graceful, drainPoll)
	}
	if err := g.callers.Shutdown(graceful, g.servers[0]); err != nil {
		g.log.Line(eventlog.RequestsCut).Err(err).Msg("")
	}
	if err := g.control.Unlist(graceful); err != nil {
		g.log.Line(eventlog.RouterListFailed).Err(err).Msg("")
	}
	g.stop()
	_ = g.links.Close()
	g.log.Line(eventlog.Stopped).Dur("after", time.Since(began)).Msg("")
}

// Kill ends the process's work at once, as a lost VM does.
func (g *Gateway) Kill() {
	g.stop()
	_ = g.links.Close()
	for _, s := range g.servers {
		_ = s.Close()
	}
}
