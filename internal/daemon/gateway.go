package daemon

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/connlimit"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/gatewayhttp"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/metrics"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/peer"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/recovery"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/upstream"
	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
	"github.com/hemlockdyke/hemlockdyke/internal/memory"
)

// GatewaySettings are the settings of a gateway process.
type GatewaySettings struct {
	CallerAddress    string // for requests of callers
	ReadinessAddress string // for readiness checks of the balancer
	ReadinessPath    string
	MetricsAddress   string
	MemoryBytes      int64 // memory limit of the process; 0 if unknown
	FileDescriptors  int   // limit of the process; 0 if unknown
	// GracePeriod is the time between SIGTERM and the kill of the process, shutdown.MinGracePeriod or longer.
	GracePeriod time.Duration
	Gateway     gateway.Settings
	// DialAddress, if set, returns the address to dial for a target's address. Tests use it to put
	// faulty links between this router and the targets.
	DialAddress func(address string) string
}

const (
	// copyTimeout is the timeout of a request for a table copy. Most requests have a shorter one of
	// their own.
	copyTimeout = 2 * time.Second
)

// Gateway is a running gateway.
type Gateway struct {
	settings          GatewaySettings // of the start
	gracePeriod       atomic.Int64    // nanoseconds, of the newest settings
	log               *eventlog.Log
	control           *gateway.Control
	proxy             *gateway.Proxy
	digestSocket      *peer.DigestSocket
	servers           []*http.Server // the first one serves the callers
	callerConnections *gatewayhttp.ConnTracker
	loadGate          *gatewayhttp.LoadGate
	limits            limits
	memoryReporter    *memoryReporter
	failures          chan error
	stop              context.CancelFunc
}

// Platform has the parts of a gateway that depend on the platform: the table store, the decoder of
// its rows, and the headers of callers and targets.
type Platform struct {
	Store       gateway.Store
	Decoder     gateway.Decoder
	HeaderCodec interface {
		gateway.HeaderCodec
		gatewayhttp.Decoder
	}
}

// StartGateway starts a gateway and returns once its ports are open.
func StartGateway(s GatewaySettings, p Platform, m *metrics.Gateway, log *eventlog.Log) (*Gateway, error) {
	debug.SetGCPercent(gcPercent)
	log.OnPanic(m.CountPanic)
	ctx, stop := context.WithCancel(context.Background())
	g := &Gateway{settings: s, log: log, failures: make(chan error, 5), stop: stop}
	g.gracePeriod.Store(int64(s.GracePeriod))
	digestSocket, err := peer.ListenDigests(s.Gateway.Address)
	if err != nil {
		stop()
		return nil, err
	}
	g.digestSocket = digestSocket
	upstreamSettings := upstream.DefaultSettings()
	upstreamSettings.DialAddress = s.DialAddress
	targets := upstream.New(upstreamSettings, time.Now, m.CountDial)
	reporter := &linkReporter{digests: digestSocket, capacity: s.Gateway.LinkBytesPerSecond, log: log, metrics: m}
	peers := &peerClient{DigestSocket: digestSocket, CopyClient: peer.NewCopyClient(copyTimeout, reporter.fetchedCopies.WrapConn), ForwardClient: peer.NewForwardClient()}
	s.Gateway.Memory = memory.NewAccount(callerMemory(s.MemoryBytes), maxMemoryWait, time.Now)
	g.control = gateway.NewControl(s.Gateway, p.Store, p.Decoder, peers, targets, log, time.Now)
	proxy := gateway.NewProxy(g.control, p.HeaderCodec, targets, m, log, time.Now)
	g.proxy = proxy
	g.loadGate = gatewayhttp.NewLoadGate(g.control.AliveRouters, m.CountClosedUnread, func() { m.CountRefusal(code.Overloaded) }, func(limited bool) { log.Line(eventlog.Overload).Bool("limited", limited).Msg("") })
	g.callerConnections = gatewayhttp.NewConnTracker(s.Gateway.Memory, g.loadGate.RecordBegun, g.loadGate.TurnAway)
	g.callerConnections.LimitConnections(g.control.ConnectionLimits)
	g.limits = limits{
		memory: s.Gateway.Memory, connections: g.callerConnections, targets: targets,
		peers: connlimit.NewLimiter(time.Now), readiness: connlimit.NewLimiter(time.Now), metrics: connlimit.NewLimiter(time.Now),
	}
	g.limits.apply(s.MemoryBytes, s.FileDescriptors)
	callerServer := gatewayhttp.New(proxy, g.control, p.HeaderCodec, m, gatewayhttp.Resources{
		Memory: s.Gateway.Memory, Cores: float64(s.Gateway.Strength) / 1000, LinkBytesPerSecond: s.Gateway.LinkBytesPerSecond,
	}, log, time.Now)
	load := newCallerLoad()
	g.memoryReporter = newMemoryReporter(s.MemoryBytes, load.holder, s.Gateway.Memory.Reclaim, log)
	m.SetMemory(g.memoryReporter.limit.Load, load.holder)
	if err := g.startServers(callerServer, load, m, reporter); err != nil {
		stop()
		return nil, err
	}
	reporter.status = g.control.Status
	log.GoOrEnd("link", func() { reporter.run(ctx) })
	log.GoOrEnd("memory", func() { g.memoryReporter.run(ctx) })
	log.GoOrEnd("load_gate", func() { g.loadGate.Run(ctx) })
	log.GoOrEnd("caller_timeouts", func() { g.callerConnections.EnforceTimeouts(ctx) })
	log.GoOrEnd("digests", func() { g.receiveDigests(ctx) })
	log.GoOrEnd("control", func() { g.control.Run(ctx) })
	log.Line(eventlog.Started).Str("callers", s.CallerAddress).Str("peers", s.Gateway.Address).Msg("")
	return g, nil
}

// peerClient sends digests as datagrams, and requests table copies and forwards attempts over HTTP.
type peerClient struct {
	*peer.DigestSocket
	*peer.CopyClient
	*peer.ForwardClient
}

// receiveDigests passes the digests of other routers to the control until the socket is closed.
func (g *Gateway) receiveDigests(ctx context.Context) {
	err := g.digestSocket.Receive(func(from string, m *peerv1.Digest) { g.control.ReceiveDigest(ctx, from, m) })
	if err != nil {
		g.failures <- err
	}
}

// Handle replies to a request of another router.
func (g *Gateway) Handle(ctx context.Context, m proto.Message) (proto.Message, error) {
	switch m := m.(type) {
	case *peerv1.CopyRequest:
		return g.control.ServeCopy(ctx, m)
	case *peerv1.FindStreamsRequest:
		return g.control.ServeStreams(m)
	case *peerv1.ClaimReadRequest:
		return g.control.ServeClaim(m)
	}
	return nil, code.New(code.BadProtocol, "unexpected message")
}

// Forward sends an attempt of another router to a target.
func (g *Gateway) Forward(ctx context.Context, req *peerv1.ForwardRequest, send func(*peerv1.ForwardResponse) error) error {
	return g.proxy.Forward(ctx, req, send)
}

// startServers opens the listeners and starts the servers.
func (g *Gateway) startServers(callerServer *gatewayhttp.Server, load *callerLoad, m *metrics.Gateway, reporter *linkReporter) error {
	peerMux := http.NewServeMux()
	peerMux.Handle(peer.NewHandler(g, peer.WithoutCompression(), recordPeerPanics(g.log)))
	for _, entry := range []struct {
		port    string // for log lines
		address string
		listen  func(address string) (net.Listener, error)
		server  *http.Server
		wrap    func(net.Listener) net.Listener
	}{
		{"callers", g.settings.CallerAddress, listenForCallers, g.newCallersServer(load.count(callerServer)),
			func(l net.Listener) net.Listener { return g.callerConnections.Wrap(g.loadGate.Wrap(l)) }},
		{"readiness", g.settings.ReadinessAddress, listen, newStatusServer(recovery.Handler(g.log, "readiness", callerServer.ReadinessHandler(g.settings.ReadinessPath))), g.limits.readiness.Wrap},
		{"peers", g.settings.Gateway.Address, listen, peer.NewServer(peerMux, g.limits.memory),
			func(l net.Listener) net.Listener {
				return peer.CoalesceWrites(reporter.servedCopies.WrapListener(g.limits.peers.Wrap(l)))
			}},
		{"metrics", g.settings.MetricsAddress, listen, newStatusServer(recovery.Handler(g.log, "metrics", m.Handler(g.control.Status))), g.limits.metrics.Wrap},
	} {
		listener, err := entry.listen(entry.address)
		if err != nil {
			return err
		}
		listener = entry.wrap(listener)
		entry.server.ErrorLog = eventlog.NewServerLog(g.log, entry.port)
		g.servers = append(g.servers, entry.server)
		g.log.GoOrEnd("server", func() { serve(entry.server, listener, g.failures) })
	}
	return nil
}

// newCallersServer returns the server for callers. The contexts of its requests end when they must be answered.
func (g *Gateway) newCallersServer(handler http.Handler) *http.Server {
	s := &http.Server{
		Handler:   g.callerConnections.Handler(handler),
		ConnState: g.callerConnections.OnStateChange, ConnContext: g.callerConnections.ConnContext,
		BaseContext: func(net.Listener) context.Context { return g.control.Serving() },
	}
	gatewayhttp.LimitHeaders(s)
	return s
}

// Reload applies the bounds of changed settings, and the grace period to a stop that begins later. A changed address takes
// effect at the next start.
// If err is not nil, Reload only logs it.
func (g *Gateway) Reload(s GatewaySettings, err error) {
	if err != nil {
		g.log.Line(eventlog.ReloadRejected).Err(err).Msg("")
		return
	}
	g.control.ApplySettings(s.Gateway)
	g.gracePeriod.Store(int64(s.GracePeriod))
	g.limits.apply(s.MemoryBytes, s.FileDescriptors)
	g.memoryReporter.limit.Store(s.MemoryBytes)
	g.log.Line(eventlog.Reloaded).Float64("retry_ratio", s.Gateway.RetryRatio).Float64("retry_slack", s.Gateway.RetrySlack).
		Float64("load_multiple", s.Gateway.LoadMultiple).Msg("")
}

// Failures returns the channel on which the error of a failed listener or socket arrives.
func (g *Gateway) Failures() <-chan error { return g.failures }

// Kill stops the gateway immediately, without a graceful shutdown. Tests use it to simulate the
// loss of a VM.
func (g *Gateway) Kill() {
	g.stop()
	_ = g.digestSocket.Close()
	for _, s := range g.servers {
		_ = s.Close()
	}
}
