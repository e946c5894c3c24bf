// Package storecall makes single HTTP calls to the platform's store. It never retries a call, and
// its errors say whether a call without a reply may have taken effect. Paths and encodings are
// left to the packages that use it.
package storecall

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/port"
	"github.com/hemlockdyke/hemlockdyke/internal/readlimit"
)

const (
	// maxReplyBytes bounds a reply. A desired state of 31,000 teams has 8 MB in base64, and one reply
	// may hold two versions of it; objects have at most 8 MiB, pages of rows 1 MB.
	maxReplyBytes = 16 << 20
	// maxHeldBytes bounds all replies that are read at once. Reading copies a growing reply, and the
	// smallest VM has 184 MB.
	maxHeldBytes = 24 << 20
	// maxHeadBytes bounds the status line and the header of a reply, interim replies included.
	maxHeadBytes = 64 << 10
	// maxRefusalBytes bounds what is read of the body of a refusal, of which only the status counts.
	maxRefusalBytes = 64 << 10
)

// ErrReplyTooLarge means that a reply is larger than its bound. Most such replies have no end.
var ErrReplyTooLarge = readlimit.ErrTooLarge

// StoreClient calls a store. It is safe for concurrent use.
type StoreClient struct {
	baseURL string // without a trailing slash
	http    *http.Client
	replies *readlimit.Budget
}

// New returns a client of the store at baseURL. dial opens its connections.
func New(baseURL string, dial func(ctx context.Context, network, address string) (net.Conn, error)) *StoreClient {
	return &StoreClient{baseURL: baseURL, replies: readlimit.NewBudget(maxHeldBytes), http: &http.Client{
		// A compressed reply would expand, and the store sends none.
		Transport: &http.Transport{DialContext: limitReads(dial), DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes},
	}}
}

// PeakReplyBytes returns the most bytes of replies that were held at once.
func (c *StoreClient) PeakReplyBytes() int64 { return c.replies.Peak() }

// Call sends one request and returns its status and reply. A nil body marks a read. If no
// complete reply arrives, the error is marked as port.ErrUnavailable for a read and as
// port.ErrOutcomeUnknown for a write: the write may have taken effect, and a blind retry could
// apply it twice. A reply beyond a bound is not complete; it is marked as ErrReplyTooLarge as well if it is
// too large by itself. The body of a refusal may be cut short.
func (c *StoreClient) Call(ctx context.Context, method, path string, body []byte) (status int, reply []byte, err error) {
	noReply := port.ErrUnavailable
	if body != nil {
		noReply = port.ErrOutcomeUnknown
	}
	req, err := http.NewRequestWithContext(withReplyChecks(ctx), method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "create request")
	}
	// Without GetBody the transport can't retry a write after a broken connection. Only the code
	// that makes the call can decide on a retry.
	if body != nil {
		req.GetBody = nil
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, errors.Mark(errors.Wrap(err, "call store"), noReply)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		reply, err = io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	} else {
		reply, err = c.readReply(resp)
	}
	if err != nil {
		return 0, nil, errors.Mark(errors.Wrap(err, "read reply"), noReply)
	}
	return resp.StatusCode, reply, nil
}

// readReply reads a whole reply.
func (c *StoreClient) readReply(resp *http.Response) ([]byte, error) {
	if resp.ContentLength > maxReplyBytes {
		return nil, ErrReplyTooLarge
	}
	limited := readlimit.NewBody(resp.Body, maxReplyBytes, c.replies)
	defer limited.Release()
	return io.ReadAll(limited)
}
