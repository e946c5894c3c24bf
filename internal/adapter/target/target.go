// Package target sends attempts to targets and turns what happens into the
// events of the attempt state machine.
package target

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/core/attempt"
	"github.com/hemlockdyke/hemlockdyke/internal/wire"
)

// Dispatch is one attempt to be sent.
type Dispatch struct {
	Address string
	Method  string
	Path    string // with query
	Header  http.Header
	Body    []byte
	// RequestID and Attempt together name the attempt.
	RequestID string
	Attempt   int
	// Offset is the number of parts that the caller already has.
	Offset int
	// Stream says that the answer is a stream of chunks.
	Stream bool
	// FreshConnection forbids reuse of a connection. It is set for requests that
	// are not idempotent, since the transport sends some requests again on its
	// own when a reused connection breaks, and for repeated attempts, since the
	// pooled connections may have gone silent.
	FreshConnection bool
}

// Answer is the content of a Part event.
type Answer struct {
	Event attempt.Event
	// Text is the token of a stream's part.
	Text string
	// Status, Header and Body are the answer of a plain service.
	Status int
	Header http.Header
	Body   []byte
}

// Settings bound the connections.
type Settings struct {
	DialTimeout time.Duration
	// MaxAnswer is the largest answer of a plain service.
	MaxAnswer int64
}

// DefaultSettings returns the settings used by the router.
func DefaultSettings() Settings {
	return Settings{DialTimeout: time.Second, MaxAnswer: 16 << 20}
}

// Client sends attempts. It is safe for concurrent use.
type Client struct {
	settings Settings
	pooled   *http.Transport
	fresh    *http.Transport
}

// idleTimeout closes pooled connections early: the longer one idles, the likelier
// something between the ends has forgotten it.
const idleTimeout = 10 * time.Second

// maxIdlePerTarget keeps enough connections for the streams that one router has
// at one target.
const maxIdlePerTarget = 32

// New returns a Client.
func New(s Settings) *Client {
	dialer := &net.Dialer{Timeout: s.DialTimeout}
	pooled := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdlePerTarget,
		IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
	fresh := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	return &Client{settings: s, pooled: pooled, fresh: fresh}
}

// Suspect drops the pooled connections after one has gone silent.
func (c *Client) Suspect() { c.pooled.CloseIdleConnections() }

// AttemptID is the id that an answer must echo.
func AttemptID(requestID string, n int) string { return fmt.Sprintf("%s.%d", requestID, n) }

// Run sends one attempt and calls emit for each event, the last one ending the
// attempt. It returns after that or when ctx ends.
func (c *Client) Run(ctx context.Context, d Dispatch, emit func(Answer)) {
	wrote := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		// From here on bytes may be written. The event comes before the first of
		// them: a crash in between then errs on the side of "may have run".
		wrote = true
		emit(Answer{Event: attempt.WriteStarted{Attempt: d.Attempt}})
	}}
	req, err := c.request(httptrace.WithClientTrace(ctx, trace), d)
	if err != nil {
		emit(Answer{Event: attempt.NotSent{Attempt: d.Attempt}})
		return
	}
	transport := c.pooled
	if d.FreshConnection {
		transport = c.fresh
	}
	// RoundTrip, not Client.Do: a followed redirect would run the request again.
	resp, err := transport.RoundTrip(req)
	if err != nil {
		if wrote {
			emit(Answer{Event: attempt.ConnectionFailed{Attempt: d.Attempt}})
		} else {
			emit(Answer{Event: attempt.NotSent{Attempt: d.Attempt}})
		}
		return
	}
	defer resp.Body.Close()
	c.answer(d, resp, emit)
}

func (c *Client) request(ctx context.Context, d Dispatch) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, d.Method, "http://"+d.Address+d.Path, bytes.NewReader(d.Body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	// Without GetBody the transport can't repeat a request whose body it has sent.
	req.GetBody = nil
	req.Header = d.Header.Clone()
	req.Header.Set(wire.HeaderRequest, d.RequestID)
	req.Header.Set(wire.HeaderAttempt, AttemptID(d.RequestID, d.Attempt))
	if d.Offset > 0 {
		req.Header.Set(wire.HeaderResumeFrom, strconv.Itoa(d.Offset))
	}
	return req, nil
}

func (c *Client) answer(d Dispatch, resp *http.Response, emit func(Answer)) {
	if resp.Header.Get(wire.HeaderNotRun) != "" {
		emit(Answer{Event: attempt.TargetRefused{Attempt: d.Attempt}})
		return
	}
	if !d.Stream {
		c.plain(d, resp, emit)
		return
	}
	if resp.StatusCode != http.StatusOK {
		emit(Answer{Event: attempt.ConnectionFailed{Attempt: d.Attempt}})
		return
	}
	c.stream(d, resp.Body, emit)
}

var errNoEnd = errors.New("end marker without a last chunk")

func (c *Client) stream(d Dispatch, body io.Reader, emit func(Answer)) {
	var last *wire.Chunk
	err := wire.ReadEvents(body, func(data []byte) error {
		var chunk wire.Chunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			return errors.Wrap(err, "decode chunk")
		}
		if chunk.Last() {
			last = &chunk
			return nil
		}
		emit(Answer{
			Event: attempt.Part{Attempt: d.Attempt, Echo: d.echo(chunk.ID), Offset: chunk.Offset},
			Text:  chunk.Content(),
		})
		return nil
	})
	if err == nil && last == nil {
		err = errNoEnd
	}
	if err != nil {
		emit(Answer{Event: attempt.ConnectionFailed{Attempt: d.Attempt}})
		return
	}
	emit(Answer{Event: attempt.End{Attempt: d.Attempt, Echo: d.echo(last.ID), Total: last.Offset}})
}

// echo returns the number of the attempt that an answer names, -1 if it names
// another request.
func (d Dispatch) echo(id string) int {
	if id == AttemptID(d.RequestID, d.Attempt) {
		return d.Attempt
	}
	return -1
}

// plain reads the whole answer of a service before any of it goes on: a body
// shorter than announced must not reach the caller as a whole one.
func (c *Client) plain(d Dispatch, resp *http.Response, emit func(Answer)) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.settings.MaxAnswer+1))
	if err != nil || int64(len(body)) > c.settings.MaxAnswer {
		emit(Answer{Event: attempt.ConnectionFailed{Attempt: d.Attempt}})
		return
	}
	echo := d.Attempt
	if id := resp.Header.Get(wire.HeaderAttempt); id != "" {
		echo = d.echo(id)
	}
	emit(Answer{
		Event:  attempt.Part{Attempt: d.Attempt, Echo: echo, Offset: 0},
		Status: resp.StatusCode, Header: resp.Header, Body: body,
	})
	emit(Answer{Event: attempt.End{Attempt: d.Attempt, Echo: echo, Total: 1}})
}
