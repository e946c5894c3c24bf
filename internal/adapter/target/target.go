// Package target sends attempts to targets, for the router outside the users' platform (package
// app/router), and reports their progress as events of the attempt state machine. The router on
// the platform uses package upstream instead.
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

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/answerconn"
	"github.com/hemlockdyke/hemlockdyke/internal/core/attempt"
	"github.com/hemlockdyke/hemlockdyke/internal/wire"
)

// AttemptRequest is one attempt of a request.
type AttemptRequest struct {
	Address string
	Method  string
	Path    string // including the query
	Header  http.Header
	Body    []byte
	// RequestID and Number together identify the attempt.
	RequestID string
	Number    int
	// ReceivedParts is the number of parts of a stream, each of one token, that the caller already
	// has. A target resumes the stream after them.
	ReceivedParts int
	// Stream reports whether the answer is a stream of chunks.
	Stream bool
	// FreshConnection forbids the reuse of a connection. It is set for requests that are not
	// idempotent, since the transport retries some requests on its own when a reused connection
	// breaks. It is also set for retries, since pooled connections may have gone silent.
	FreshConnection bool
}

// Answer is an event of an attempt. If the event is an attempt.Part, the other fields hold the part
// of the target's answer: Text for a model engine, Status, Header and Body for a service.
type Answer struct {
	Event attempt.Event
	// Text is one token of a stream.
	Text string
	// Status, Header and Body are the whole answer of a service.
	Status int
	Header http.Header
	Body   []byte
}

// Settings limits connections and answers.
type Settings struct {
	DialTimeout time.Duration
	// MaxAnswerBytes is the largest body that a service target may answer with.
	MaxAnswerBytes int64
}

// DefaultSettings returns the settings that the router uses.
func DefaultSettings() Settings {
	return Settings{DialTimeout: time.Second, MaxAnswerBytes: 16 << 20}
}

// Client sends attempts. It is safe for concurrent use.
type Client struct {
	settings Settings
	pooled   answerconn.Transport // reuses connections
	fresh    answerconn.Transport // opens a connection for each request
}

// idleTimeout is short because middleboxes drop the state of idle connections. The longer a
// connection idles, the likelier it is dead.
const idleTimeout = 10 * time.Second

// maxIdlePerTarget covers the concurrent streams of one router at one target.
const maxIdlePerTarget = 32

// maxHeadBytes bounds the status line and the header of an answer, interim answers included.
const maxHeadBytes = 64 << 10

// New returns a Client.
func New(s Settings) *Client {
	dialer := &net.Dialer{Timeout: s.DialTimeout}
	pooled := &http.Transport{
		MaxIdleConnsPerHost: maxIdlePerTarget, IdleConnTimeout: idleTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
	}
	fresh := &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes}
	return &Client{
		settings: s, pooled: answerconn.NewTransport(pooled, dialer.DialContext), fresh: answerconn.NewTransport(fresh, dialer.DialContext),
	}
}

// DropIdleConnections closes all idle connections. The router calls it after a target has been
// silent, since other pooled connections may be broken too.
func (c *Client) DropIdleConnections() { c.pooled.CloseIdleConnections() }

// AttemptID returns the id of an attempt, which a target's answer must echo.
func AttemptID(requestID string, number int) string { return fmt.Sprintf("%s.%d", requestID, number) }

// SendAttempt sends an attempt and calls emit for each of its events. The last event ends the
// attempt. SendAttempt returns after it, or when ctx ends.
func (c *Client) SendAttempt(ctx context.Context, r AttemptRequest, emit func(Answer)) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		// The transport may write bytes from here on. The event precedes the first byte, so an
		// attempt that fails in between counts as possibly executed.
		connected = true
		emit(Answer{Event: attempt.WriteStarted{Attempt: r.Number}})
	}}
	req, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), r)
	if err != nil {
		emit(Answer{Event: attempt.NotSent{Attempt: r.Number}})
		return
	}
	transport := c.pooled
	if r.FreshConnection {
		transport = c.fresh
	}
	// http.Client.Do would follow redirects and send the request a second time.
	resp, err := transport.RoundTrip(req)
	if err != nil {
		if connected {
			emit(Answer{Event: attempt.ConnectionFailed{Attempt: r.Number}})
		} else {
			emit(Answer{Event: attempt.NotSent{Attempt: r.Number}})
		}
		return
	}
	defer resp.Body.Close()
	c.readAnswer(r, resp, emit)
}

func (c *Client) newRequest(ctx context.Context, r AttemptRequest) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	// Without GetBody the transport can't retry a request whose body it has sent.
	req.GetBody = nil
	req.Header = r.Header.Clone()
	req.Header.Set(wire.HeaderRequestID, r.RequestID)
	req.Header.Set(wire.HeaderAttemptID, AttemptID(r.RequestID, r.Number))
	if r.ReceivedParts > 0 {
		req.Header.Set(wire.HeaderResumeFrom, strconv.Itoa(r.ReceivedParts))
	}
	return req, nil
}

// readAnswer emits the events of a target's answer.
func (c *Client) readAnswer(r AttemptRequest, resp *http.Response, emit func(Answer)) {
	if resp.Header.Get(wire.HeaderNotExecuted) != "" {
		emit(Answer{Event: attempt.TargetRefused{Attempt: r.Number}})
		return
	}
	if !r.Stream {
		c.readService(r, resp, emit)
		return
	}
	if resp.StatusCode != http.StatusOK {
		emit(Answer{Event: attempt.ConnectionFailed{Attempt: r.Number}})
		return
	}
	c.readStream(r, resp.Body, emit)
}

// errNoLastChunk means that a stream had its end marker, but no chunk with the number of its
// tokens.
var errNoLastChunk = errors.New("stream has an end marker, but no last chunk")

// readStream emits an event for each chunk of a stream and one for its end.
func (c *Client) readStream(r AttemptRequest, body io.Reader, emit func(Answer)) {
	var last *wire.Chunk
	err := wire.ReadEvents(body, func(data []byte) error {
		var chunk wire.Chunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			return errors.Wrap(err, "decode chunk")
		}
		if chunk.IsLast() {
			last = &chunk
			return nil
		}
		emit(Answer{
			Event: attempt.Part{Attempt: r.Number, Echo: r.echoedNumber(chunk.ID), Offset: chunk.Offset},
			Text:  chunk.Content(),
		})
		return nil
	})
	if err == nil && last == nil {
		err = errNoLastChunk
	}
	if err != nil {
		emit(Answer{Event: attempt.ConnectionFailed{Attempt: r.Number}})
		return
	}
	emit(Answer{Event: attempt.End{Attempt: r.Number, Echo: r.echoedNumber(last.ID), Total: last.Offset}})
}

// echoedNumber returns the attempt's number if an answer echoes the attempt's id, otherwise -1.
func (r AttemptRequest) echoedNumber(id string) int {
	if id == AttemptID(r.RequestID, r.Number) {
		return r.Number
	}
	return -1
}

// readService reads the whole answer of a service target before it emits any of it. A truncated
// body must not reach the caller as a complete one.
func (c *Client) readService(r AttemptRequest, resp *http.Response, emit func(Answer)) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.settings.MaxAnswerBytes+1))
	if err == nil {
		err = answerconn.CheckTrailer(resp.Trailer)
	}
	if err != nil || int64(len(body)) > c.settings.MaxAnswerBytes {
		emit(Answer{Event: attempt.ConnectionFailed{Attempt: r.Number}})
		return
	}
	echo := r.Number
	if id := resp.Header.Get(wire.HeaderAttemptID); id != "" {
		echo = r.echoedNumber(id)
	}
	emit(Answer{
		Event:  attempt.Part{Attempt: r.Number, Echo: echo, Offset: 0},
		Status: resp.StatusCode, Header: resp.Header, Body: body,
	})
	emit(Answer{Event: attempt.End{Attempt: r.Number, Echo: echo, Total: 1}})
}
