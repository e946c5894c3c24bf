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

// Client calls the resource API of controllers. All controllers are equivalent, so each call goes
// to the first one that can be reached.
type Client struct {
	servers []string
	http    *http.Client
}

// clientTimeout bounds one call. It must exceed the 10 s for which a controller lets a watch wait
// for changes (watchTimeout of package operatorhttp).
const clientTimeout = 20 * time.Second

// NewClient returns a Client for the controllers at the given base URLs.
func NewClient(servers []string) *Client {
	return &Client{servers: servers, http: &http.Client{Timeout: clientTimeout}}
}

// Apply sends a change. A controller applies an operation name only once, so it is safe to send
// the change to the next controller if one does not answer.
func (c *Client) Apply(operation string, resources []resource.Resource) (controller.ApplyResult, error) {
	var out controller.ApplyResult
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
func (c *Client) Operation(name string) (controller.ApplyResult, error) {
	var out controller.ApplyResult
	err := c.call(http.MethodGet, "/v1/operations/"+url.PathEscape(name), nil, &out)
	return out, err
}

// Watch waits for changes after a revision. It returns an empty list if there are none within
// 10 s.
func (c *Client) Watch(after uint64) ([]resource.Change, error) {
	var out []resource.Change
	err := c.call(http.MethodGet, fmt.Sprintf("/v1/watch?after=%d", after), nil, &out)
	return out, err
}

// Burn returns the burn report of the fleet: how fast teams use up their error budgets.
func (c *Client) Burn() (burn.Report, error) {
	var out burn.Report
	err := c.call(http.MethodGet, "/v1/burn", nil, &out)
	return out, err
}

// Explain returns the ranking of a pool's targets for a chat.
func (c *Client) Explain(pool, team, chat string) (operatorhttp.PlacementExplanation, error) {
	var out operatorhttp.PlacementExplanation
	q := url.Values{"pool": {pool}, "team": {team}, "chat": {chat}}
	err := c.call(http.MethodGet, "/v1/explain?"+q.Encode(), nil, &out)
	return out, err
}

// call sends a request to the first controller that can be reached, and decodes its reply into v.
func (c *Client) call(method, path string, body []byte, v any) error {
	var lastErr error
	for _, server := range c.servers {
		req, err := http.NewRequest(method, server+path, bytes.NewReader(body))
		if err != nil {
			return code.New(code.BadUsage, "%s", err)
		}
		resp, err := c.http.Do(req)
		if err != nil {
			lastErr = err
			continue
		}
		return decode(resp, v)
	}
	return code.New(code.StoreDown, "no controller can be reached: %s", lastErr)
}

// decode decodes a reply into v. A reply with a result code is returned as a *code.Error.
func decode(resp *http.Response, v any) error {
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "read reply")
	}
	if resp.StatusCode == http.StatusOK {
		return errors.Wrap(json.Unmarshal(data, v), "decode reply")
	}
	var body wire.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == 0 {
		return errors.Newf("controller answered with status %d", resp.StatusCode)
	}
	return &code.Error{Code: code.Code(body.Error.Code), Field: body.Error.Field, Message: body.Error.Message}
}
