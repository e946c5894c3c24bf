package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Orders observes model engines and sends them orders.
type Orders struct{ client *http.Client }

// NewOrders returns an Orders; timeout bounds each call.
func NewOrders(timeout time.Duration) *Orders {
	return &Orders{client: &http.Client{Timeout: timeout}}
}

// ErrOldFencing says that a target refused an order for its fencing number.
var ErrOldFencing = errors.New("order refused: old fencing number or expired")

// Observe returns a target's open requests and what its last orders left it in.
func (o *Orders) Observe(ctx context.Context, address string) (int, map[string]string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return 0, nil, errors.Wrap(err, "make request")
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

// Order sends one order.
func (o *Orders) Order(ctx context.Context, address string, fencing uint64, action, argument string, expires time.Time) error {
	body, err := json.Marshal(struct {
		Fencing  uint64    `json:"fencing"`
		Action   string    `json:"action"`
		Argument string    `json:"argument"`
		Expires  time.Time `json:"expires"`
	}{fencing, action, argument, expires})
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/orders", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make request")
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
		return ErrOldFencing
	default:
		return errors.Newf("target answered %d", resp.StatusCode)
	}
}
