// Package platform reaches the platform's table service, object store and VM
// list over HTTP.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/port"
)

// maxReply bounds what is read of one reply: a snapshot of 31,000 teams has about 6 MB.
const maxReply = 64 << 20

// Client implements port.Table, port.ObjectStore and port.VMList.
type Client struct {
	base   string
	client *http.Client
}

var (
	_ port.Table       = (*Client)(nil)
	_ port.ObjectStore = (*Client)(nil)
	_ port.VMList      = (*Client)(nil)
)

// New returns a Client for the service at base; timeout bounds each call.
func New(base string, timeout time.Duration) *Client {
	return &Client{base: base, client: &http.Client{Timeout: timeout}}
}

// Get returns one row.
func (c *Client) Get(ctx context.Context, key string) (port.Row, error) {
	var row port.Row
	err := c.read(ctx, "/table/get?key="+url.QueryEscape(key), &row)
	return row, err
}

// Scan returns the rows under a prefix as of one instant.
func (c *Client) Scan(ctx context.Context, prefix string) ([]port.Row, error) {
	var rows []port.Row
	err := c.read(ctx, "/table/scan?prefix="+url.QueryEscape(prefix), &rows)
	return rows, err
}

// Commit applies txn. A reply that is lost is reported as ErrOutcomeUnknown,
// never as a failure: the write may have taken effect, and a caller that
// repeated it blindly would apply it twice.
func (c *Client) Commit(ctx context.Context, txn port.Txn) error {
	body, err := json.Marshal(txn)
	if err != nil {
		return errors.Wrap(err, "encode transaction")
	}
	return c.write(ctx, http.MethodPost, "/table/commit", body)
}

// PutObject stores one object.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	return c.write(ctx, http.MethodPut, "/objects/"+name, data)
}

// GetObject returns one object.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	return c.fetch(ctx, "/objects/"+name)
}

// VMs returns the platform's lagging VM list.
func (c *Client) VMs(ctx context.Context) ([]port.VM, error) {
	var vms []port.VM
	err := c.read(ctx, "/vms", &vms)
	return vms, err
}

func (c *Client) write(ctx context.Context, method, path string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	// Without GetBody the transport can't send the write again on its own when
	// a connection breaks; only the caller may decide that.
	req.GetBody = nil
	resp, err := c.client.Do(req)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "write"), port.ErrOutcomeUnknown)
	}
	defer drain(resp)
	switch resp.StatusCode {
	case http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return port.ErrConflict
	case http.StatusServiceUnavailable:
		return port.ErrUnavailable
	default:
		return errors.Newf("platform answered %d", resp.StatusCode)
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
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "read"), port.ErrUnavailable)
	}
	defer drain(resp)
	switch resp.StatusCode {
	case http.StatusOK:
		data, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
		if err != nil {
			return nil, errors.Mark(errors.Wrap(err, "read"), port.ErrUnavailable)
		}
		return data, nil
	case http.StatusNotFound:
		return nil, port.ErrNotFound
	default:
		return nil, errors.Mark(errors.Newf("platform answered %d", resp.StatusCode), port.ErrUnavailable)
	}
}

func drain(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxReply))
	_ = resp.Body.Close()
}
