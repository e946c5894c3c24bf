package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1/peerv1connect"
	"github.com/hemlockdyke/hemlockdyke/internal/readlimit"
)

// copyIdleTimeout is how long an idle connection for table copies is kept. Copies are rare, and
// pings on idle connections between all routers would cost more than new connections.
const copyIdleTimeout = 3 * time.Second

// CopyClient requests table copies from other routers. It is safe for concurrent use.
type CopyClient struct {
	client  *http.Client
	timeout time.Duration
}

// NewCopyClient returns a CopyClient whose calls are bounded by timeout. wrap is called for each
// new connection, to count its traffic.
func NewCopyClient(timeout time.Duration, wrap func(net.Conn) net.Conn) *CopyClient {
	return &CopyClient{client: bounded(newHTTPClient(timeout, copyIdleTimeout, wrap), maxBodyBytes, readlimit.NewBudget(maxHeldBytes)), timeout: timeout}
}

// RequestCopy requests a table copy from the router at an address.
func (c *CopyClient) RequestCopy(ctx context.Context, address string, req *peerv1.CopyRequest) (*peerv1.CopyResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	client := peerv1connect.NewPeerServiceClient(c.client, "http://"+address, readLimits(maxMessageBytes)...)
	resp, err := client.Copy(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}
