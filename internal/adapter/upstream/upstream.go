// Package upstream sends requests to targets over HTTP/1.1 and keeps connections.
// The standard client is not used because it repeats some requests by itself and
// drops an answer that belongs to another request without telling: both decide
// whether a request may be sent again, which is the caller's to know.
package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of a send, which say what the target may have seen.
var (
	// ErrNotSent: no byte reached the target.
	ErrNotSent = errors.New("request not sent")
	// ErrWithdrawn: the sender took the request back as it was about to be sent. It is an ErrNotSent.
	ErrWithdrawn = errors.New("request withdrawn")
	// ErrBroken: the connection failed after a byte may have reached the target.
	ErrBroken = errors.New("connection broken")
	// ErrForeign: an answer belonged to another request.
	ErrForeign = errors.New("answer to another request")
)

// Settings bound connections.
type Settings struct {
	// DialTimeout is how long a target may take to accept a connection. Handshakes
	// take a millisecond; an opening packet that is lost is sent again after a
	// second, which is too late for most requests.
	DialTimeout time.Duration
	// MaxIdle is how many idle connections to one target are kept.
	MaxIdle int
	// IdleUnknown is how long a connection is kept whose target does not say how
	// long it keeps it, and IdleMost the longest that any is kept.
	IdleUnknown, IdleMost time.Duration
}

// DefaultSettings returns the settings used by the router.
func DefaultSettings() Settings {
	return Settings{
		DialTimeout: 300 * time.Millisecond, MaxIdle: 16,
		IdleUnknown: 400 * time.Millisecond, IdleMost: 10 * time.Second,
	}
}

// Request is one attempt.
type Request struct {
	Target  uint64 // whose connections may be used
	Address string
	Method  string
	URI     string // as the caller sent it
	Host    string
	Header  http.Header
	Body    []byte
	// Echoes reports whether an answer belongs to this request.
	Echoes func(http.Header) bool
	// Sent is called before the first byte is written. If it returns false nothing is written.
	Sent func() bool
	// Heard is called with the header of each answer that the target sends, of one to another request too.
	Heard func(status int, h http.Header)
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	settings Settings
	dialer   *net.Dialer
	now      func() time.Time
	dials    func() // counts new connections

	mu   sync.Mutex
	idle map[uint64][]*conn
}

// New returns a Client; dialed is called for each new connection.
func New(s Settings, now func() time.Time, dialed func()) *Client {
	return &Client{settings: s, dialer: dialer(s.DialTimeout), now: now, dials: dialed, idle: make(map[uint64][]*conn)}
}

// Answer is a target's answer whose body is still to be read.
type Answer struct {
	Status int
	Header http.Header
	// Framed says that the body's end is marked, by a length or by chunks. Without,
	// the end of the connection is all there is.
	Framed bool

	body    io.ReadCloser
	client  *Client
	target  uint64
	conn    *conn
	written chan error // nil once the request was written whole
	stop    func() bool
	ended   bool
	closing bool
}

// Do sends a request and returns its answer, whose header has arrived. Closing ctx
// ends the connection, at any time until Close.
func (c *Client) Do(ctx context.Context, r Request) (*Answer, error) {
	cn, err := c.connect(ctx, r)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	a := &Answer{client: c, target: r.Target, conn: cn}
	a.stop = context.AfterFunc(ctx, func() { _ = cn.Close() })
	if r.Sent != nil && !r.Sent() {
		a.abort()
		return nil, errors.Mark(ErrWithdrawn, ErrNotSent)
	}
	if err := a.write(r); err != nil {
		a.abort()
		return nil, errors.Mark(err, ErrBroken)
	}
	if err := a.readHeader(r); err != nil {
		a.abort()
		return nil, err
	}
	return a, nil
}

func (c *Client) connect(ctx context.Context, r Request) (*conn, error) {
	for {
		cn := c.take(r.Target)
		if cn == nil {
			break
		}
		if c.now().Before(cn.usable) && cn.quiet() {
			return cn, nil
		}
		_ = cn.Close()
	}
	if c.dials != nil {
		c.dials()
	}
	return dial(ctx, c.dialer, r.Address)
}

func (c *Client) take(target uint64) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[target]
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1]
	c.idle[target] = kept[:len(kept)-1]
	return last
}

func (c *Client) keep(target uint64, cn *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[target]) >= c.settings.MaxIdle {
		return false
	}
	c.idle[target] = append(c.idle[target], cn)
	return true
}

// Prune closes idle connections that are too old, and those to targets that are
// no longer listed.
func (c *Client) Prune(listed func(target uint64) bool) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for target, kept := range c.idle {
		out := kept[:0]
		for _, cn := range kept {
			if listed(target) && now.Before(cn.usable) {
				out = append(out, cn)
			} else {
				_ = cn.Close()
			}
		}
		c.idle[target] = out
		if len(out) == 0 {
			delete(c.idle, target)
		}
	}
}

// writeAside is the size from which a body is written while the answer is awaited:
// a target may answer before it has read a long body, and neither side would go on.
const writeAside = 2 << 10

func (a *Answer) write(r Request) error {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return err
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	if len(r.Body) < writeAside {
		_, err := a.conn.Write(b.Bytes())
		return err
	}
	a.written = make(chan error, 1)
	go func() {
		_, err := a.conn.Write(b.Bytes())
		a.written <- err
	}()
	return nil
}

// maxForeign is how many answers to other requests are read over before the
// connection is given up. A target sends at most one answer too many.
const maxForeign = 2

func (a *Answer) readHeader(r Request) error {
	for foreign := 0; ; {
		resp, err := http.ReadResponse(a.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return errors.Mark(err, ErrBroken)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.Heard != nil {
			r.Heard(resp.StatusCode, resp.Header)
		}
		if r.Echoes == nil || r.Echoes(resp.Header) {
			a.take(resp)
			return nil
		}
		// A late second answer to an earlier request stands before ours.
		if foreign++; foreign > maxForeign || resp.Close || !framed(resp) {
			return errors.Mark(errors.New("foreign answer"), ErrForeign)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return errors.Mark(err, ErrForeign)
		}
	}
}

func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

func (a *Answer) take(resp *http.Response) {
	a.Status, a.Header, a.body = resp.StatusCode, resp.Header, resp.Body
	a.Framed = framed(resp)
	a.closing = resp.Close || !a.Framed
}

// Read reads the body. io.EOF means that it is whole, as far as Framed can tell.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if errors.Is(err, io.EOF) {
		a.ended = true
	}
	return n, err
}

// Close ends the answer. The connection is kept only if nothing is left of this
// request on it, in either direction.
func (a *Answer) Close() {
	if !a.stop() || !a.ended || a.closing || !a.wasWritten() || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	a.conn.usable = a.client.now().Add(a.client.keepFor(a.Header))
	if !a.client.keep(a.target, a.conn) {
		_ = a.conn.Close()
	}
}

func (a *Answer) abort() {
	a.stop()
	_ = a.conn.Close()
}

func (a *Answer) wasWritten() bool {
	if a.written == nil {
		return true
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// keepMargin is taken off a target's idle time: a request that crosses the target's
// close on the way would be lost, and nobody could tell whether it ran.
const keepMargin = 500 * time.Millisecond

func (c *Client) keepFor(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return min(time.Duration(seconds)*time.Second-keepMargin, c.settings.IdleMost)
		}
	}
	return c.settings.IdleUnknown
}
