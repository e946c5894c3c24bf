package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/upstream"
	"github.com/hemlockdyke/hemlockdyke/internal/core/attempt"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/reach"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// While this router's path to a pool is cut, other routers send its attempts, and while a brittle
// target's quota is used up here, those that have some left. All decisions stay here: this router places
// and admits the request, counts it among its open ones, and decides on retries. The forwarder only
// exchanges bytes with the target, and checks whether the target has exited.

// maxForwarders is how many routers are asked to send one attempt.
const maxForwarders = 4

// Errors of forwarded attempts, besides those of package upstream.
var (
	// errForwarderLost means that the forwarder or the connection to it failed after it may have sent
	// the request.
	errForwarderLost = errors.New("forwarder lost")
	// errTargetUnreachable means that the target accepted no connection of several forwarders. The
	// error is an ErrNotForwarded as well.
	errTargetUnreachable = errors.New("target unreachable for forwarders")
)

// forwardCopies is how many copies of its body a request needs while another router gets it: one in the message, one
// of the encoded message.
const forwardCopies = 2

// minUnreachable is how many forwarders must fail to connect to a target for it to count as
// unreachable: a single one may have lost its own path.
const minUnreachable = 2

// forward sends the request through another router.
func (t *targetAttempt) forward() (*upstream.Answer, error) {
	p, pool := t.request.proxy, t.request.match.pool
	query := reach.Query{
		Pool: pool, Near: []string{p.paths.dataCentre, t.choice.Target.DataCentre}, Only: p.traffic.quotaHolders(t.choice.Target.UID),
	}
	unreachable := 0
	none := ""
	t.forwarder.Store(&none)
	copies := int64(forwardCopies * t.request.bodyLength())
	if err := t.reserveMemory(copies); err != nil {
		return nil, errors.Mark(err, ErrNotForwarded)
	}
	defer t.memory.Shrink(copies)
	for len(query.Excluded) < maxForwarders && t.ctx.Err() == nil {
		address, ok := p.traffic.path.chooseForwarder(p.now(), query)
		if !ok {
			break
		}
		query.Excluded = append(query.Excluded, address)
		if !t.confirmSend() {
			return nil, errors.Mark(upstream.ErrWithdrawn, ErrNotForwarded)
		}
		t.forwarder.Store(&address)
		answer, failure, err := t.askForwarder(address)
		if err == nil && failure == nil {
			p.traffic.path.recordForwarder(p.now(), pool, address, reach.Forwarded, nil)
			return answer, nil
		}
		if err = t.handleForwarderFailure(address, failure, err); !errors.Is(err, ErrNotForwarded) {
			return nil, err
		}
		if errors.Is(err, errTargetUnreachable) {
			if unreachable++; unreachable >= minUnreachable {
				return nil, err
			}
		}
		if errors.Is(err, upstream.ErrWithdrawn) {
			return nil, err
		}
	}
	return nil, ErrNotForwarded
}

// isForwarded reports whether another router sends the request.
func (t *targetAttempt) isForwarded() bool { return t.forwarder.Load() != nil }

// askForwarder asks a router to send the request. It returns when the head of the answer has arrived,
// or the router has reported a failure.
func (t *targetAttempt) askForwarder(address string) (*upstream.Answer, *peerv1.ForwardFailure, error) {
	r := t.request
	r.logLine(eventlog.Forwarded).Int("attempt", t.number).Str("target", t.choice.Target.ID).Str("peer", address).Msg("")
	ctx, cancel := context.WithCancel(t.ctx)
	stream, err := r.proxy.peers.Forward(ctx, address, t.forwardRequest())
	if err != nil {
		cancel()
		return nil, nil, err
	}
	body := &forwardedBody{stream: stream, cancel: cancel}
	part, err := stream.Receive()
	if err != nil || part.GetHead() == nil {
		body.Close()
		if err == nil && part.GetFailure() == nil {
			err = errors.New("answer without a head")
		}
		return nil, part.GetFailure(), err
	}
	header := decodeHeader(part.GetHead().GetHeader())
	status := int(part.GetHead().GetStatus())
	r.proxy.applySignals(t.choice.Target, status, header)
	answer := upstream.NewForwardedAnswer(status, header, part.GetHead().GetFramed(), body)
	answer.Length = declaredLength(r.match.call.Method, status, header)
	return answer, nil, nil
}

// declaredLength returns the length of the body that the header of an answer declares; -1 if it declares
// none.
func declaredLength(method string, status int, h http.Header) int64 {
	n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64)
	if err != nil || n < 0 || method == http.MethodHead || status == http.StatusNotModified {
		return -1
	}
	return n
}

func (t *targetAttempt) forwardRequest() *peerv1.ForwardRequest {
	call := t.request.match.call
	out := &peerv1.ForwardRequest{
		Protocol: fleet.Protocol, Pool: t.request.match.pool, Target: t.choice.Target.UID, Method: call.Method, Uri: call.URI, Host: call.Host,
		Header: encodeHeader(t.header()), Body: bytes.Join(t.request.body, nil), RequestId: call.ID, Fingerprint: uint64(t.request.contents[0]),
	}
	for _, part := range t.request.contents[1:] {
		out.PartFingerprint = append(out.PartFingerprint, uint64(part))
	}
	return out
}

// handleForwarderFailure records why a router did not deliver an answer, and returns the error of the
// attempt. It is marked as ErrNotForwarded if nothing was sent.
func (t *targetAttempt) handleForwarderFailure(address string, failure *peerv1.ForwardFailure, err error) error {
	p, pool := t.request.proxy, t.request.match.pool
	if t.ctx.Err() != nil {
		return errors.Mark(t.ctx.Err(), errForwarderLost)
	}
	result := reach.Lost
	switch {
	case err != nil && errors.Is(err, ErrNotForwarded):
	case err != nil:
		err = errors.Mark(err, errForwarderLost)
	default:
		result, err = decodeForwardFailure(failure)
	}
	named := decodeAddresses(failure.GetForwarders())
	p.traffic.path.recordForwarder(p.now(), pool, address, result, named)
	t.request.logLine(eventlog.NotForwarded).Int("attempt", t.number).Str("target", t.choice.Target.ID).Str("peer", address).
		Str("why", forwarderReason(failure)).AnErr("error", err).Msg("")
	return err
}

// forwarderReason names a failure in the log; nil means that the forwarder reported none.
func forwarderReason(f *peerv1.ForwardFailure) string {
	if f == nil {
		return "lost"
	}
	return strings.ToLower(strings.TrimPrefix(f.GetKind().String(), "FORWARD_FAILURE_KIND_"))
}

// decodeForwardFailure returns what a failure says about the forwarder, and the error of the attempt.
func decodeForwardFailure(f *peerv1.ForwardFailure) (reach.Result, error) {
	err := errors.New(f.GetError())
	switch f.GetKind() {
	case peerv1.ForwardFailureKind_FORWARD_FAILURE_KIND_REFUSED:
		return reach.Busy, errors.Mark(err, ErrNotForwarded)
	case peerv1.ForwardFailureKind_FORWARD_FAILURE_KIND_FULL:
		return reach.Full, errors.Mark(err, ErrNotForwarded)
	case peerv1.ForwardFailureKind_FORWARD_FAILURE_KIND_NO_PATH:
		return reach.NoPath, errors.Mark(err, ErrNotForwarded)
	case peerv1.ForwardFailureKind_FORWARD_FAILURE_KIND_CLOSED:
		return reach.Forwarded, errors.Mark(errors.Mark(err, upstream.ErrWithdrawn), ErrNotForwarded)
	case peerv1.ForwardFailureKind_FORWARD_FAILURE_KIND_UNREACHABLE:
		return reach.Forwarded, errors.Mark(errors.Mark(err, errTargetUnreachable), ErrNotForwarded)
	}
	return reach.Forwarded, errors.Mark(err, upstream.ErrConnectionBroken)
}

// handleForwardError ends a forwarded attempt that got no answer. Only what a forwarder reports about
// the target counts as the target's failure.
func (t *targetAttempt) handleForwardError(err error) attempt.Action {
	r := t.request
	t.err = err
	switch {
	case errors.Is(err, ErrNotForwarded):
		t.failure = "not_forwarded"
		switch {
		case errors.Is(err, upstream.ErrWithdrawn):
			t.failure = failureWithdrawn
		case errors.Is(err, errTargetUnreachable):
			t.outcome = placement.Unreachable
		}
		return r.step(attempt.NotForwarded{Attempt: t.number})
	case errors.Is(err, errForwarderLost):
		t.failure = t.failureCause("forwarder_lost")
	default:
		t.recordFailure(t.failureCause("broken"), err)
	}
	return r.step(attempt.ConnectionFailed{Attempt: t.number})
}

// forwardedBody reads the body of a forwarded answer.
type forwardedBody struct {
	stream ForwardStream
	cancel context.CancelFunc
	unread []byte
	err    error
}

// Read returns io.EOF after a complete body.
func (b *forwardedBody) Read(p []byte) (int, error) {
	for len(b.unread) == 0 && b.err == nil {
		part, err := b.stream.Receive()
		switch {
		case errors.Is(err, io.EOF):
			b.err = io.EOF
		case err != nil:
			b.err = errors.Mark(err, errForwarderLost)
		case part.GetFailure() != nil:
			b.err = errors.Mark(errors.New(part.GetFailure().GetError()), upstream.ErrConnectionBroken)
		}
		b.unread = part.GetData()
	}
	if len(b.unread) == 0 {
		return 0, b.err
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

func (b *forwardedBody) Close() error {
	b.cancel()
	return b.stream.Close()
}

func encodeHeader(h http.Header) []*peerv1.HeaderField {
	var out []*peerv1.HeaderField
	for name, values := range h {
		for _, v := range values {
			out = append(out, &peerv1.HeaderField{Name: name, Value: v})
		}
	}
	return out
}

func decodeHeader(fields []*peerv1.HeaderField) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h[f.GetName()] = append(h[f.GetName()], f.GetValue())
	}
	return h
}

func decodeAddresses(in [][]byte) []string { return addressStrings(fleet.DecodeAddresses(in)) }

func encodeAddresses(in []string) [][]byte { return fleet.EncodeAddresses(toFleetAddresses(in)) }
