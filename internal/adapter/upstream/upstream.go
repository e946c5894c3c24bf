// Package upstream sends requests to targets over HTTP/1.1 and pools their connections, for the
// router on the users' platform (package app/gateway). It does not use http.Client, which retries
// some requests on its own and silently drops an answer to another request. The router must know of
// both to decide whether a request may be retried.
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

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/answerconn"
)

// Errors of Client.Do. They say how much of the request the target may have received.
var (
	// ErrNotSent means that no byte was sent to the target.
	ErrNotSent = errors.New("request not sent")
	// ErrWithdrawn means that Request.ConfirmSend returned false. The error is an ErrNotSent as
	// well.
	ErrWithdrawn = errors.New("request withdrawn")
	// ErrConnectionBroken means that the connection failed after a byte may have reached the
	// target.
	ErrConnectionBroken = errors.New("connection broken")
	// ErrAnswerMismatch means that the connection carried the answer to another request, and that
	// no answer to this request could be read after it.
	ErrAnswerMismatch = errors.New("answer belongs to another request")
	// ErrTooManyConnections means that the client has as many connections as it may have, all in use. The error is
	// an ErrNotSent as well.
	ErrTooManyConnections = errors.New("too many connections to targets")
	// ErrHeadTooLarge means that the target sent more bytes before the end of the answer's header than an
	// answer may have. The error is an ErrConnectionBroken as well.
	ErrHeadTooLarge = errors.New("header of the answer is too large")
)

// Settings limits the connections to targets.
type Settings struct {
	// DialTimeout bounds the TCP handshake. A handshake takes about a millisecond. The kernel
	// resends a lost SYN only after a second, which is too late for most requests.
	DialTimeout time.Duration
	// MaxIdlePerTarget is the number of idle connections that are kept to one target.
	MaxIdlePerTarget int
	// DefaultIdleTimeout applies to connections whose target announces no idle timeout.
	// MaxIdleTimeout caps the timeout that a target announces.
	DefaultIdleTimeout, MaxIdleTimeout time.Duration
	// DialAddress, if set, returns the address to dial for a target's address, so that tests can put a
	// faulty link between one router and a target.
	DialAddress func(address string) string
}

// DefaultSettings returns the settings that the router uses.
func DefaultSettings() Settings {
	return Settings{
		DialTimeout: 300 * time.Millisecond, MaxIdlePerTarget: 16,
		DefaultIdleTimeout: 400 * time.Millisecond, MaxIdleTimeout: 10 * time.Second,
	}
}

// Request is one attempt of a caller's request.
type Request struct {
	TargetUID uint64 // UID of the target's lifetime; only its connections are reused
	Address   string
	Method    string
	URI       string // as the caller sent it
	Host      string
	Header    http.Header
	Body      [][]byte // in pieces
	// IsAnswer reports whether an answer with this header belongs to this request. Nil accepts
	// any.
	IsAnswer func(http.Header) bool
	// ConfirmSend, if set, is called right before the first byte is written. If it returns false,
	// nothing is written and Do fails with ErrWithdrawn.
	ConfirmSend func() bool
	// OnConnect, if set, is called when a new connection for the request has been accepted.
	OnConnect func()
	// OnHeader, if set, is called for each final answer on the connection, including answers to
	// other requests.
	OnHeader func(status int, h http.Header)
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	settings Settings
	dialer   *net.Dialer
	now      func() time.Time
	onDial   func() // called before each new connection

	mu   sync.Mutex
	idle map[uint64][]*conn // by UID of the target's lifetime, the last used last
	// open is the number of connections, idle ones and those that are being opened included. maxOpen bounds it; 0
	// means no limit.
	open, maxOpen int
}

// New returns a Client. It calls beforeDial before each new connection.
func New(s Settings, now func() time.Time, beforeDial func()) *Client {
	return &Client{settings: s, dialer: newDialer(s.DialTimeout), now: now, onDial: beforeDial, idle: make(map[uint64][]*conn)}
}

// Answer is a target's answer. Its header has been read, its body has not. The reader of the body
// must call Close.
type Answer struct {
	Status int
	Header http.Header
	// Framed reports whether a Content-Length or chunked encoding marks the end of the body.
	// Otherwise the end of the connection ends the body: a reset shows that it is truncated, but a target that
	// ends early in order does not.
	Framed bool
	// Length is the length of the body in bytes; -1 if the header does not tell.
	Length int64

	body          io.ReadCloser
	response      *http.Response // nil if the answer was forwarded
	client        *Client
	target        uint64
	conn          *conn
	writeDone     chan error  // receives the result of the background write; nil if there is none
	stopAbort     func() bool // keeps the end of the request's context from closing the connection
	bodyRead      bool        // the body was read to its end
	mustCloseConn bool        // the connection can't carry another request
}

// NewForwardedAnswer returns an answer that another router has received. The body must end with io.EOF
// only if it is complete, and fail with an error otherwise.
func NewForwardedAnswer(status int, header http.Header, framed bool, body io.ReadCloser) *Answer {
	return &Answer{Status: status, Header: header, Framed: framed, Length: -1, body: body}
}

// Do sends a request and returns the answer as soon as its header has arrived. Until the answer
// is closed, the end of ctx closes the connection. Errors are marked as ErrNotSent,
// ErrConnectionBroken or ErrAnswerMismatch.
func (c *Client) Do(ctx context.Context, r Request) (*Answer, error) {
	cn, err := c.connect(ctx, r)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	a := &Answer{client: c, target: r.TargetUID, conn: cn}
	a.stopAbort = context.AfterFunc(ctx, func() { _ = cn.Close() })
	if r.ConfirmSend != nil && !r.ConfirmSend() {
		a.abort()
		return nil, errors.Mark(ErrWithdrawn, ErrNotSent)
	}
	if err := a.exchange(r); err != nil {
		a.abort()
		return nil, err
	}
	return a, nil
}

// exchange writes the request and reads the header of its answer.
func (a *Answer) exchange(r Request) error {
	w := startWatch(a.conn)
	defer w.end()
	if err := a.write(r); err != nil {
		return errors.Mark(err, ErrConnectionBroken)
	}
	return a.readHeader(r)
}

// connect returns a reusable idle connection to the target, or dials a new one.
func (c *Client) connect(ctx context.Context, r Request) (*conn, error) {
	for {
		cn := c.popIdle(r.TargetUID)
		if cn == nil {
			break
		}
		if c.now().Before(cn.usableUntil) && cn.isReusable() {
			return cn, nil
		}
		_ = cn.Close()
	}
	if !c.acquireConnection() {
		return nil, ErrTooManyConnections
	}
	if c.onDial != nil {
		c.onDial()
	}
	cn, err := dial(ctx, c.dialer, c.dialAddress(r.Address), c.releaseConnection)
	if err != nil {
		c.releaseConnection()
		return nil, err
	}
	if r.OnConnect != nil {
		r.OnConnect()
	}
	return cn, nil
}

func (c *Client) dialAddress(address string) string {
	if c.settings.DialAddress == nil {
		return address
	}
	return c.settings.DialAddress(address)
}

// Probe opens a connection to an address and closes it without sending a request. It fails with
// syscall.ECONNREFUSED if no process listens there.
func (c *Client) Probe(ctx context.Context, address string) error {
	cn, err := c.dialer.DialContext(ctx, "tcp", c.dialAddress(address))
	if err != nil {
		return err
	}
	return cn.Close()
}

// backgroundWriteBytes is the body size from which a request is written in the background while
// its answer is read. A target may answer before it has read a long body. If the router read the
// answer only after the write, both sides could block on each other.
const backgroundWriteBytes = 2 << 10

func (a *Answer) write(r Request) error {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return err
	}
	length := 0
	for _, piece := range r.Body {
		length += len(piece)
	}
	if length > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	b.WriteString("\r\n")
	if length < backgroundWriteBytes {
		for _, piece := range r.Body {
			b.Write(piece)
		}
		_, err := a.conn.Write(b.Bytes())
		return err
	}
	a.writeDone = make(chan error, 1)
	go func() {
		// The pieces are not copied: other attempts may write them as well.
		a.writeDone <- a.conn.WriteBuffers(append(net.Buffers{b.Bytes()}, r.Body...))
	}()
	return nil
}

const (
	// maxHeadBytes limits what is read before the end of the answer's header: interim answers, the
	// headers of answers to other requests and bytes that are no answer included. It is twice the header
	// size that the platform allows to callers.
	maxHeadBytes = 32 << 10
	// maxMismatches is how many answers to other requests are skipped before the connection is
	// closed. A target sends at most one surplus answer.
	maxMismatches = 2
	// maxSkippedBytes limits the bodies of the skipped answers.
	maxSkippedBytes = 4 << 20
	// maxErrorBytes limits the text of an error that quotes what the target sent.
	maxErrorBytes = 200
)

// readHeader reads the header of the answer, and skips what precedes it.
func (a *Answer) readHeader(r Request) error {
	source := a.conn.source
	source.remaining = maxHeadBytes
	defer func() { source.remaining = unlimited }()
	if err := a.conn.beginAnswer(); err != nil {
		return err
	}
	skippable := int64(maxSkippedBytes)
	for mismatches := 0; ; {
		resp, err := http.ReadResponse(a.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return markHeadError(err, source.remaining <= 0)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.OnHeader != nil {
			r.OnHeader(resp.StatusCode, resp.Header)
		}
		if r.IsAnswer == nil || r.IsAnswer(resp.Header) {
			a.setResponse(resp)
			return nil
		}
		// A late second answer to an earlier request may precede the answer to this one.
		if mismatches++; mismatches > maxMismatches || resp.Close || !isFramed(resp) {
			return errors.Mark(errors.New("answer belongs to another request"), ErrAnswerMismatch)
		}
		limit := source.remaining
		source.remaining = unlimited
		skipped, err := skipBody(resp, skippable)
		if err != nil {
			return errors.Mark(err, ErrAnswerMismatch)
		}
		skippable -= skipped
		source.remaining = limit
		if err := a.conn.beginAnswer(); err != nil {
			return err
		}
	}
}

// markHeadError marks the error of a header that could not be read. At the limit, the last line is cut and may be
// taken for a malformed one.
func markHeadError(err error, atLimit bool) error {
	if atLimit || errors.Is(err, ErrHeadTooLarge) {
		return errors.Mark(ErrHeadTooLarge, ErrConnectionBroken)
	}
	if text := err.Error(); len(text) > maxErrorBytes {
		err = errors.New(text[:maxErrorBytes])
	}
	return errors.Mark(err, ErrConnectionBroken)
}

// skipBody reads a body of at most limit bytes and returns its length.
func skipBody(resp *http.Response, limit int64) (int64, error) {
	if resp.ContentLength > limit {
		return 0, errors.New("answer to another request is too large")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, limit+1))
	if err == nil && n > limit {
		err = errors.New("answer to another request is too large")
	}
	return n, err
}

func isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

func (a *Answer) setResponse(resp *http.Response) {
	a.response, a.Status, a.Header, a.body = resp, resp.StatusCode, resp.Header, resp.Body
	a.Framed, a.Length = isFramed(resp), resp.ContentLength
	if resp.Body == http.NoBody { // the answer to a HEAD request has the length of another one
		a.Length = 0
	}
	a.mustCloseConn = resp.Close || !a.Framed
}

// Read reads the body. io.EOF means that the body is complete, or, if Framed is not set, that the target has ended it in
// order.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if a.response != nil {
		if trailerErr := answerconn.CheckTrailer(a.response.Trailer); trailerErr != nil {
			return n, trailerErr
		}
	}
	a.bodyRead = true
	return n, err
}

// Close releases the answer. It keeps the connection for reuse only if the request was written
// and the answer read completely.
func (a *Answer) Close() {
	if a.conn == nil { // forwarded
		_ = a.body.Close()
		return
	}
	if !a.stopAbort() || !a.bodyRead || a.mustCloseConn || !a.isWritten() || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	a.conn.usableUntil = a.client.now().Add(a.client.idleTimeout(a.Header))
	if !a.client.pushIdle(a.target, a.conn) {
		_ = a.conn.Close()
	}
}

// abort closes the connection of a request without an answer.
func (a *Answer) abort() {
	a.stopAbort()
	_ = a.conn.Close()
}

// isWritten reports whether the whole request was written without an error.
func (a *Answer) isWritten() bool {
	if a.writeDone == nil {
		return true
	}
	select {
	case err := <-a.writeDone:
		return err == nil
	default:
		return false
	}
}

// idleTimeoutMargin is subtracted from the idle timeout that a target announces. Without it a
// request could be sent while the target closes the connection, and it would be unknown whether
// it was executed.
const idleTimeoutMargin = 500 * time.Millisecond

// idleTimeout returns how long a connection may idle, by the Keep-Alive header of its last
// answer.
func (c *Client) idleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return min(time.Duration(seconds)*time.Second-idleTimeoutMargin, c.settings.MaxIdleTimeout)
		}
	}
	return c.settings.DefaultIdleTimeout
}
