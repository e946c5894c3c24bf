// Package tableservice is an HTTP client of the platform's table service, object store and VM
// list, in the protocol of the stand-in servers.
package tableservice

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/storecall"
	"github.com/hemlockdyke/hemlockdyke/internal/port"
)

// Client implements port.Table, port.ObjectStore and port.VMList.
type Client struct {
	store   *storecall.StoreClient
	timeout time.Duration // of each call
}

var (
	_ port.Table       = (*Client)(nil)
	_ port.ObjectStore = (*Client)(nil)
	_ port.VMList      = (*Client)(nil)
)

// New returns a Client for the service at baseURL. Each call is bounded by timeout.
func New(baseURL string, timeout time.Duration) *Client {
	return &Client{store: storecall.New(baseURL, (&net.Dialer{}).DialContext), timeout: timeout}
}

// Get returns one row.
func (c *Client) Get(ctx context.Context, key string) (port.Row, error) {
	var row port.Row
	err := c.read(ctx, "/table/get?key="+url.QueryEscape(key), &row)
	return row, err
}

// Scan returns a consistent snapshot of the rows whose keys have the prefix.
func (c *Client) Scan(ctx context.Context, prefix string) ([]port.Row, error) {
	var rows []port.Row
	err := c.read(ctx, "/table/scan?prefix="+url.QueryEscape(prefix), &rows)
	return rows, err
}

// Commit applies txn. If the reply is lost, the error is port.ErrOutcomeUnknown and the write may
// have taken effect. If a precondition fails, the error is port.ErrConflict.
func (c *Client) Commit(ctx context.Context, txn port.Txn) error {
	body, err := json.Marshal(txn)
	if err != nil {
		return errors.Wrap(err, "encode transaction")
	}
	return c.write(ctx, http.MethodPost, "/table/commit", body)
}

// PutObject stores one object.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	if data == nil {
		data = []byte{} // a nil body would mark the call as a read
	}
	return c.write(ctx, http.MethodPut, "/objects/"+name, data)
}

// GetObject returns one object.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	return c.fetch(ctx, "/objects/"+name)
}

// VMs returns the platform's VM list, which lags behind the VMs' real state.
func (c *Client) VMs(ctx context.Context) ([]port.VM, error) {
	var vms []port.VM
	err := c.read(ctx, "/vms", &vms)
	return vms, err
}

func (c *Client) write(ctx context.Context, method, path string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	status, _, err := c.store.Call(ctx, method, path, body)
	if err != nil {
		return err
	}
	switch status {
	case http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return port.ErrConflict
	case http.StatusServiceUnavailable:
		return port.ErrUnavailable
	default:
		return errors.Newf("table service answered %d", status)
	}
}

func (c *Client) read(ctx context.Context, path string, into any) error {
	data, err := c.fetch(ctx, path)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(data, into), "decode reply")
}

func (c *Client) fetch(ctx context.Context, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	status, reply, err := c.store.Call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	switch status {
	case http.StatusOK:
		return reply, nil
	case http.StatusNotFound:
		return nil, port.ErrNotFound
	default:
		return nil, errors.Mark(errors.Newf("table service answered %d", status), port.ErrUnavailable)
	}
}
