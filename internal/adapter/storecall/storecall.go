// Package storecall makes single calls to the platform's store, in whichever form it
// speaks. It says what a call that went without an answer may have done, and never
// sends one twice by itself.
package storecall

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/port"
)

// maxReply bounds what is read of one reply: a snapshot of 31,000 teams has about 6 MB.
const maxReply = 64 << 20

// Caller calls a store. It is safe for concurrent use.
type Caller struct {
	Base   string // URL without a path
	Client *http.Client
}

// Call sends one call; body is nil for reads. The error is marked as
// port.ErrOutcomeUnknown if a write may have taken effect, since a caller that
// repeated it blindly would apply it twice, and as port.ErrUnavailable for a read.
func (c Caller) Call(ctx context.Context, method, path string, body []byte) (status int, reply []byte, err error) {
	unanswered := port.ErrUnavailable
	if body != nil {
		unanswered = port.ErrOutcomeUnknown
	}
	req, err := http.NewRequestWithContext(ctx, method, c.Base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "make request")
	}
	// Without GetBody the transport can't send a write again when a connection
	// breaks; only the caller may decide that.
	if body != nil {
		req.GetBody = nil
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.Client.Do(req)
	if err != nil {
		return 0, nil, errors.Mark(errors.Wrap(err, "call"), unanswered)
	}
	defer resp.Body.Close()
	reply, err = io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return 0, nil, errors.Mark(errors.Wrap(err, "read reply"), unanswered)
	}
	return resp.StatusCode, reply, nil
}
