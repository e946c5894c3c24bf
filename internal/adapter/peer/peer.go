// Package peer implements the protocol between routers, and between controllers and routers:
// calls over connect-go, and digests as UDP datagrams.
package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1/peerv1connect"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/readlimit"
)

// A connection that has received nothing for sendPingTimeout is pinged, and closed if the ping is
// not answered within pingTimeout. Without these HTTP/2 pings, each call to a peer would run into
// its timeout after a middlebox has dropped the connection, although a new connection would work.
const (
	sendPingTimeout = time.Second
	pingTimeout     = 500 * time.Millisecond
)

// Handler handles incoming messages. Handle returns the reply to m.
type Handler interface {
	Handle(ctx context.Context, m proto.Message) (proto.Message, error)
}

// Forwarder sends attempts of other routers to targets.
type Forwarder interface {
	// Forward sends an attempt and passes the parts of the answer to send.
	Forward(ctx context.Context, req *peerv1.ForwardRequest, send func(*peerv1.ForwardResponse) error) error
}

// NewHandler returns the path and the HTTP handler of the peer service.
func NewHandler(h Handler, options ...connect.HandlerOption) (string, http.Handler) {
	return peerv1connect.NewPeerServiceHandler(&server{h}, append(options, connect.WithReadMaxBytes(maxMessageBytes), connect.WithCodec(codec{}))...)
}

// WithoutCompression returns an option for a handler whose large replies are compressed already. It
// avoids a second compression, and refuses compressed requests, which could expand to any size.
func WithoutCompression() connect.HandlerOption { return connect.WithCompression("gzip", nil, nil) }

// Protocols returns the HTTP versions that a server of the peer service accepts: HTTP/1 and
// HTTP/2 without TLS.
func Protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

type server struct{ handler Handler }

var _ peerv1connect.PeerServiceHandler = (*server)(nil)

// handle passes a request to the Handler and returns its reply.
func handle[Req, Resp any](ctx context.Context, s *server, req *connect.Request[Req]) (*connect.Response[Resp], error) {
	out, err := s.handler.Handle(ctx, any(req.Msg).(proto.Message))
	if err != nil {
		return nil, toConnectError(err)
	}
	resp, ok := any(out).(*Resp)
	if !ok {
		return nil, connect.NewError(connect.CodeInternal, errors.Newf("unexpected reply type %T", out))
	}
	return connect.NewResponse(resp), nil
}

// toConnectError converts an error of the Handler to an error of the protocol.
func toConnectError(err error) error {
	var coded *code.Error
	if errors.As(err, &coded) {
		return connect.NewError(connect.CodeFailedPrecondition, coded)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}

func (s *server) Exchange(ctx context.Context, req *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	return handle[peerv1.ExchangeRequest, peerv1.ExchangeResponse](ctx, s, req)
}

func (s *server) Deliver(ctx context.Context, req *connect.Request[peerv1.DeliverRequest]) (*connect.Response[peerv1.DeliverResponse], error) {
	return handle[peerv1.DeliverRequest, peerv1.DeliverResponse](ctx, s, req)
}

func (s *server) Gossip(ctx context.Context, req *connect.Request[peerv1.GossipRequest]) (*connect.Response[peerv1.GossipResponse], error) {
	return handle[peerv1.GossipRequest, peerv1.GossipResponse](ctx, s, req)
}

func (s *server) Burn(ctx context.Context, req *connect.Request[peerv1.BurnRequest]) (*connect.Response[peerv1.BurnResponse], error) {
	return handle[peerv1.BurnRequest, peerv1.BurnResponse](ctx, s, req)
}

func (s *server) Push(ctx context.Context, req *connect.Request[peerv1.PushRequest]) (*connect.Response[peerv1.PushResponse], error) {
	return handle[peerv1.PushRequest, peerv1.PushResponse](ctx, s, req)
}

func (s *server) Pull(ctx context.Context, req *connect.Request[peerv1.PullRequest]) (*connect.Response[peerv1.PullResponse], error) {
	return handle[peerv1.PullRequest, peerv1.PullResponse](ctx, s, req)
}

func (s *server) Copy(ctx context.Context, req *connect.Request[peerv1.CopyRequest]) (*connect.Response[peerv1.CopyResponse], error) {
	return handle[peerv1.CopyRequest, peerv1.CopyResponse](ctx, s, req)
}

func (s *server) FindStreams(ctx context.Context, req *connect.Request[peerv1.FindStreamsRequest]) (*connect.Response[peerv1.FindStreamsResponse], error) {
	return handle[peerv1.FindStreamsRequest, peerv1.FindStreamsResponse](ctx, s, req)
}

func (s *server) ClaimRead(ctx context.Context, req *connect.Request[peerv1.ClaimReadRequest]) (*connect.Response[peerv1.ClaimReadResponse], error) {
	return handle[peerv1.ClaimReadRequest, peerv1.ClaimReadResponse](ctx, s, req)
}

// Forward passes an attempt of another router to the Handler if that is a Forwarder.
func (s *server) Forward(ctx context.Context, req *connect.Request[peerv1.ForwardRequest], stream *connect.ServerStream[peerv1.ForwardResponse]) error {
	f, ok := s.handler.(Forwarder)
	if !ok {
		return connect.NewError(connect.CodeUnimplemented, errors.New("this process forwards no requests"))
	}
	if err := f.Forward(ctx, req.Msg, stream.Send); err != nil {
		return toConnectError(err)
	}
	return nil
}

// Client calls routers by their ids. It is safe for concurrent use.
type Client struct {
	clients map[uint32]peerv1connect.PeerServiceClient
	timeout time.Duration
}

// NewClient returns a Client for the routers at the given addresses, by id. Each call is bounded
// by timeout. wrap is called for each new connection, to count its traffic.
func NewClient(addresses map[uint32]string, timeout time.Duration, wrap func(net.Conn) net.Conn) *Client {
	client := bounded(newHTTPClient(timeout, 0, wrap), maxBodyBytes, readlimit.NewBudget(maxHeldBytes))
	c := &Client{clients: make(map[uint32]peerv1connect.PeerServiceClient), timeout: timeout}
	for id, address := range addresses {
		c.clients[id] = peerv1connect.NewPeerServiceClient(client, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
	}
	return c
}

// newHTTPClient returns an HTTP client for the peer service. An idle connection is closed after
// idleTimeout, or never if that is 0.
func newHTTPClient(timeout, idleTimeout time.Duration, wrap func(net.Conn) net.Conn) *http.Client {
	return &http.Client{Transport: newTransport(timeout, idleTimeout, wrap)}
}

func newTransport(timeout, idleTimeout time.Duration, wrap func(net.Conn) net.Conn) *http.Transport {
	dialer := &net.Dialer{Timeout: timeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return newCoalescingConn(wrap(conn)), nil
		},
		IdleConnTimeout: idleTimeout,
		Protocols:       unencryptedHTTP2(),
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: sendPingTimeout, PingTimeout: pingTimeout,
			MaxReceiveBufferPerStream: maxReceiveWindow, MaxReceiveBufferPerConnection: maxConnectionWindow,
		},
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

func unencryptedHTTP2() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return p
}

// Call sends a request to a router and returns its reply.
func (c *Client) Call(ctx context.Context, to uint32, m proto.Message) (proto.Message, error) {
	client, ok := c.clients[to]
	if !ok {
		return nil, code.New(code.UnknownRouter, "router %d is not listed", to)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	switch m := m.(type) {
	case *peerv1.ExchangeRequest:
		return call(ctx, client.Exchange, m)
	case *peerv1.DeliverRequest:
		return call(ctx, client.Deliver, m)
	case *peerv1.GossipRequest:
		return call(ctx, client.Gossip, m)
	case *peerv1.PushRequest:
		return call(ctx, client.Push, m)
	case *peerv1.BurnRequest:
		return call(ctx, client.Burn, m)
	case *peerv1.PullRequest:
		return call(ctx, client.Pull, m)
	}
	return nil, errors.Newf("peer service has no call for %T", m)
}

func call[Req, Resp any](ctx context.Context, do func(context.Context, *connect.Request[Req]) (*connect.Response[Resp], error), m *Req) (proto.Message, error) {
	resp, err := do(ctx, connect.NewRequest(m))
	if err != nil {
		return nil, err
	}
	return any(resp.Msg).(proto.Message), nil
}
