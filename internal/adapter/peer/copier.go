package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1/peerv1connect"
)

// copyIdle is how long a connection for copies is kept. Copies are rare, and pings
// on idle connections between all routers would cost more than new connections.
const copyIdle = 3 * time.Second

// CopyClient asks routers for copies of tables. It is safe for concurrent use.
type CopyClient struct {
	client  *http.Client
	timeout time.Duration
}

// NewCopyClient returns a Copier whose calls end after timeout.
func NewCopyClient(timeout time.Duration, wrap func(net.Conn) net.Conn) *CopyClient {
	return &CopyClient{client: newHTTPClient(timeout, copyIdle, wrap), timeout: timeout}
}

// Copy asks the router at an address.
func (c *CopyClient) Copy(ctx context.Context, address string, req *peerv1.CopyRequest) (*peerv1.CopyResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	client := peerv1connect.NewPeerServiceClient(c.client, "http://"+address, connect.WithReadMaxBytes(maxMessage))
	resp, err := client.Copy(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}
