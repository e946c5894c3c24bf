package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/answerconn"
	"github.com/hemlockdyke/hemlockdyke/internal/readlimit"
)

// OrderClient reads the state of model engines and sends them the orders of planned changes, such
// as a drain.
type OrderClient struct{ client *http.Client }

// maxStatusBytes bounds the status of a target, which has an entry for each action of an order.
const maxStatusBytes = 1 << 20

// NewOrderClient returns an OrderClient whose calls are bounded by timeout.
func NewOrderClient(timeout time.Duration) *OrderClient {
	return &OrderClient{client: &http.Client{Timeout: timeout, Transport: &readlimit.Transport{
		Base: answerconn.NewTransport(
			&http.Transport{DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes, IdleConnTimeout: idleTimeout}, (&net.Dialer{}).DialContext),
		Limit: maxStatusBytes,
	}}}
}

// ErrStaleOrder means that a target refused an order because it has accepted one with a higher
// fencing token, or because the order had expired.
var ErrStaleOrder = errors.New("target refused the order: stale fencing token or expired")

// ReadStatus returns the number of a target's open requests and the state that its last orders set.
// The keys of the state are actions, its values their arguments.
func (o *OrderClient) ReadStatus(ctx context.Context, address string) (int, map[string]string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return 0, nil, errors.Wrap(err, "create request")
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, nil, errors.Newf("target answered %d", resp.StatusCode)
	}
	var status struct {
		Open  int               `json:"open"`
		State map[string]string `json:"state"`
	}
	err = json.NewDecoder(resp.Body).Decode(&status)
	return status.Open, status.State, errors.Wrap(err, "decode status")
}

// SendOrder sends an order to a target. The target refuses the order after expires, or, if it
// checks fencing tokens, when it has accepted a higher one. SendOrder then returns ErrStaleOrder.
func (o *OrderClient) SendOrder(ctx context.Context, address string, fencingToken uint64, action, argument string, expires time.Time) error {
	body, err := json.Marshal(struct {
		Fencing  uint64    `json:"fencing"`
		Action   string    `json:"action"`
		Argument string    `json:"argument"`
		Expires  time.Time `json:"expires"`
	}{fencingToken, action, argument, expires})
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/orders", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	switch resp.StatusCode {
	case http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return ErrStaleOrder
	default:
		return errors.Newf("target answered %d", resp.StatusCode)
	}
}
