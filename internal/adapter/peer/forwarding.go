package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1/peerv1connect"
	"github.com/hemlockdyke/hemlockdyke/internal/app/gateway"
	"github.com/hemlockdyke/hemlockdyke/internal/readlimit"
)

const (
	// forwardDialTimeout bounds the TCP handshake with a router, which takes some milliseconds.
	forwardDialTimeout = 300 * time.Millisecond
	// forwardIdleTimeout is how long a connection is kept on which nothing is forwarded.
	forwardIdleTimeout = 3 * time.Second
	// forwardWindowBytes limits what a connection holds of an answer whose caller does not take it. The
	// default of net/http is 4 MiB an answer, which many answers at once must not take.
	forwardWindowBytes = 64 << 10
	// forwardConnectionBytes has room for all answers that a router forwards at once: one whose caller takes
	// nothing must not stop the others.
	forwardConnectionBytes = 256 * forwardWindowBytes
)

// ForwardClient asks other routers to send attempts to targets, which streams they know, and which target
// reads a prompt prefix. It is safe for concurrent use.
type ForwardClient struct {
	streams *http.Client // for forwarded attempts, whose answers are passed on part by part
	calls   *http.Client // for all else
}

// NewForwardClient returns a ForwardClient.
func NewForwardClient() *ForwardClient {
	transport := newTransport(forwardDialTimeout, forwardIdleTimeout, func(c net.Conn) net.Conn { return c })
	transport.HTTP2.MaxReceiveBufferPerStream = forwardWindowBytes
	transport.HTTP2.MaxReceiveBufferPerConnection = forwardConnectionBytes
	client := &http.Client{Transport: transport}
	return &ForwardClient{
		streams: bounded(client, maxForwardedBytes, nil),
		calls:   bounded(client, maxForwardedPartBytes, readlimit.NewBudget(maxHeldBytes)),
	}
}

// Forward asks the router at an address to send an attempt. The end of ctx ends the attempt; its
// deadline is passed on.
func (c *ForwardClient) Forward(ctx context.Context, address string, req *peerv1.ForwardRequest) (gateway.ForwardStream, error) {
	client := peerv1connect.NewPeerServiceClient(c.streams, "http://"+address, readLimits(maxForwardedPartBytes)...)
	stream, err := client.Forward(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, markNotForwarded(err)
	}
	return forwardStream{stream}, nil
}

// FindStreams asks the router at an address at which software versions streams began.
func (c *ForwardClient) FindStreams(ctx context.Context, address string, req *peerv1.FindStreamsRequest) (*peerv1.FindStreamsResponse, error) {
	client := peerv1connect.NewPeerServiceClient(c.calls, "http://"+address, readLimits(maxForwardedPartBytes)...)
	resp, err := client.FindStreams(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// ClaimRead asks the router at an address to have a target read a prompt prefix.
func (c *ForwardClient) ClaimRead(ctx context.Context, address string, req *peerv1.ClaimReadRequest) (*peerv1.ClaimReadResponse, error) {
	client := peerv1connect.NewPeerServiceClient(c.calls, "http://"+address, readLimits(maxForwardedPartBytes)...)
	resp, err := client.ClaimRead(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

type forwardStream struct {
	*connect.ServerStreamForClient[peerv1.ForwardResponse]
}

// Receive returns the next part, or io.EOF after the last one.
func (s forwardStream) Receive() (*peerv1.ForwardResponse, error) {
	if s.ServerStreamForClient.Receive() {
		return s.Msg(), nil
	}
	if err := s.Err(); err != nil {
		return nil, markNotForwarded(err)
	}
	return nil, io.EOF
}

// markNotForwarded marks an error as gateway.ErrNotForwarded if the router can't have received the
// request, does not know the call, or has no room for the request's body.
func markNotForwarded(err error) error {
	var op *net.OpError
	noRoom := connect.CodeOf(err) == connect.CodeResourceExhausted && connect.IsWireError(err)
	if noRoom || connect.CodeOf(err) == connect.CodeUnimplemented || (errors.As(err, &op) && op.Op == "dial") {
		return errors.Mark(err, gateway.ErrNotForwarded)
	}
	return err
}
