// Package cli implements hemlockctl, the operators' command line.
package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/operatorhttp"
	"github.com/hemlockdyke/hemlockdyke/internal/app/controller"
	"github.com/hemlockdyke/hemlockdyke/internal/core/burn"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/core/resource"
	"github.com/hemlockdyke/hemlockdyke/internal/wire"
)

// Client speaks the resource API of one or more controllers. Any of them will
// do; one that can't be reached is passed over.
type Client struct {
	servers []string
	http    *http.Client
}

// clientTimeout bounds one call; a watch waits up to ten seconds.
const clientTimeout = 20 * time.Second

// NewClient returns a Client for base URLs.
func NewClient(servers []string) *Client {
	return &Client{servers: servers, http: &http.Client{Timeout: clientTimeout}}
}

// Apply sends a change. The operation name makes a repeated send harmless, so
// the next controller is tried when one does not answer.
func (c *Client) Apply(operation string, resources []resource.Resource) (controller.Accepted, error) {
	var out controller.Accepted
	body, err := json.Marshal(operatorhttp.ApplyRequest{Operation: operation, Resources: resources})
	if err != nil {
		return out, errors.Wrap(err, "encode change")
	}
	err = c.call(http.MethodPost, "/v1/apply", body, &out)
	return out, err
}

// Get returns one resource with its status.
func (c *Client) Get(kind resource.Kind, name string) (operatorhttp.DescribedResource, error) {
	var out operatorhttp.DescribedResource
	err := c.call(http.MethodGet, "/v1/resources/"+url.PathEscape(string(kind))+"/"+url.PathEscape(name), nil, &out)
	return out, err
}

// List returns the resources of a kind.
func (c *Client) List(kind resource.Kind) ([]resource.Resource, error) {
	var out []resource.Resource
	err := c.call(http.MethodGet, "/v1/resources/"+url.PathEscape(string(kind)), nil, &out)
	return out, err
}

// Operation returns the outcome of an earlier change.
func (c *Client) Operation(name string) (controller.Accepted, error) {
	var out controller.Accepted
	err := c.call(http.MethodGet, "/v1/operations/"+url.PathEscape(name), nil, &out)
	return out, err
}

// Watch waits for changes after a revision.
func (c *Client) Watch(after uint64) ([]resource.Change, error) {
	var out []resource.Change
	err := c.call(http.MethodGet, fmt.Sprintf("/v1/watch?after=%d", after), nil, &out)
	return out, err
}

// Burn returns the service-level burn of the fleet.
func (c *Client) Burn() (burn.Report, error) {
	var out burn.Report
	err := c.call(http.MethodGet, "/v1/burn", nil, &out)
	return out, err
}

// Explain says why a chat goes where it goes.
func (c *Client) Explain(pool, team, chat string) (operatorhttp.PlacementExplanation, error) {
	var out operatorhttp.PlacementExplanation
	q := url.Values{"pool": {pool}, "team": {team}, "chat": {chat}}
	err := c.call(http.MethodGet, "/v1/explain?"+q.Encode(), nil, &out)
	return out, err
}

func (c *Client) call(method, path string, body []byte, into any) error {
	var last error
	for _, server := range c.servers {
		req, err := http.NewRequest(method, server+path, bytes.NewReader(body))
		if err != nil {
			return code.New(code.BadUsage, "%s", err)
		}
		resp, err := c.http.Do(req)
		if err != nil {
			last = err
			continue
		}
		return decode(resp, into)
	}
	return code.New(code.StoreDown, "no controller reached: %s", last)
}

func decode(resp *http.Response, into any) error {
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "read reply")
	}
	if resp.StatusCode == http.StatusOK {
		return errors.Wrap(json.Unmarshal(data, into), "decode reply")
	}
	var body wire.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == 0 {
		return errors.Newf("controller answered %d", resp.StatusCode)
	}
	return &code.Error{Code: code.Code(body.Error.Code), Field: body.Error.Field, Message: body.Error.Message}
}
