// Package storecall makes single HTTP calls to the platform's store. It never retries a call, and
// its errors say whether a call without a reply may have taken effect. Paths and encodings are
// left to the packages that use it.
package storecall

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/port"
)

// maxReplyBytes bounds a reply. A snapshot of 31,000 teams has about 6 MB.
const maxReplyBytes = 64 << 20

// StoreClient calls a store. It is safe for concurrent use.
type StoreClient struct {
	BaseURL    string // without a trailing slash
	HTTPClient *http.Client
}

// Call sends one request and returns its status and reply. A nil body marks a read. If no
// complete reply arrives, the error is marked as port.ErrUnavailable for a read and as
// port.ErrOutcomeUnknown for a write: the write may have taken effect, and a blind retry could
// apply it twice.
func (c StoreClient) Call(ctx context.Context, method, path string, body []byte) (status int, reply []byte, err error) {
	noReply := port.ErrUnavailable
	if body != nil {
		noReply = port.ErrOutcomeUnknown
	}
	req, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "create request")
	}
	// Without GetBody the transport can't retry a write after a broken connection. Only the code
	// that makes the call can decide on a retry.
	if body != nil {
		req.GetBody = nil
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.HTTPClient.Do(req)
	if err != nil {
		return 0, nil, errors.Mark(errors.Wrap(err, "call store"), noReply)
	}
	defer resp.Body.Close()
	reply, err = io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return 0, nil, errors.Mark(errors.Wrap(err, "read reply"), noReply)
	}
	return resp.StatusCode, reply, nil
}
