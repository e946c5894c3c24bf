package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	peerv1 "github.com/hemlockdyke/hemlockdyke/gen/hemlockdyke/peer/v1"
	"github.com/hemlockdyke/hemlockdyke/internal/adapter/upstream"
	"github.com/hemlockdyke/hemlockdyke/internal/core/fleet"
	"github.com/hemlockdyke/hemlockdyke/internal/core/placement"
	"github.com/hemlockdyke/hemlockdyke/internal/core/poison"
	"github.com/hemlockdyke/hemlockdyke/internal/core/reach"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// maxForwarding is how many attempts this router sends for others at once. Each holds its body and a
// buffer of streamReadSize.
const maxForwarding = 256

// Forward sends an attempt of another router to its target, and passes the parts of the answer to
// send. It never asks a third router.
func (p *Proxy) Forward(ctx context.Context, req *peerv1.ForwardRequest, send func(*peerv1.ForwardResponse) error) error {
	if refusal := p.refuseForwarding(req); refusal != nil {
		return send(forwardFailure(refusal))
	}
	target, ok := p.traffic.mayForward(p.now(), req.GetTarget())
	if !ok {
		return send(forwardFailure(&peerv1.ForwardFailure{Kind: peerv1.ForwardFailureKind_FORWARD_FAILURE_KIND_CLOSED, Error: "target gets no requests"}))
	}
	if !p.traffic.acquireSend(target.UID) {
		return send(forwardFailure(&peerv1.ForwardFailure{Kind: peerv1.ForwardFailureKind_FORWARD_FAILURE_KIND_FULL, Error: "quota is used up"}))
	}
	defer p.traffic.releaseSend(target.UID)
	p.traffic.path.forwarding.Add(1)
	defer p.traffic.path.forwarding.Add(-1)
	p.traffic.earlyRequests.Add(1) // a graceful shutdown waits for it
	defer p.traffic.earlyRequests.Add(-1)
	p.log.Line(eventlog.Forwarding).Str("request", req.GetRequestId()).Str("target", target.ID).Msg("")
	f := &forwarding{proxy: p, request: req, target: target, send: send}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopWatch := context.AfterFunc(p.traffic.serving, cancel)
	defer stopWatch()
	return f.run(ctx)
}

// refuseForwarding returns why this router forwards no request now, or nil if it does.
func (p *Proxy) refuseForwarding(req *peerv1.ForwardRequest) *peerv1.ForwardFailure {
	switch {
	case p.traffic.path.isCut(req.GetPool()):
		return &peerv1.ForwardFailure{
			Kind: peerv1.ForwardFailureKind_FORWARD_FAILURE_KIND_NO_PATH, Error: "path is cut",
			Forwarders: encodeAddresses(p.traffic.path.provenForwarders(p.now(), req.GetPool())),
		}
	case req.GetProtocol() != fleet.Protocol, p.traffic.shuttingDown.Load(), !p.traffic.ready.Load(), p.traffic.path.forwarding.Load() >= maxForwarding:
		return &peerv1.ForwardFailure{Kind: peerv1.ForwardFailureKind_FORWARD_FAILURE_KIND_REFUSED, Error: "stopping, not ready or busy"}
	}
	return nil
}

func forwardFailure(f *peerv1.ForwardFailure) *peerv1.ForwardResponse {
	return &peerv1.ForwardResponse{Part: &peerv1.ForwardResponse_Failure{Failure: f}}
}

// forwarding is an attempt that this router sends for another one.
type forwarding struct {
	proxy       *Proxy
	request     *peerv1.ForwardRequest
	target      placement.Target
	send        func(*peerv1.ForwardResponse) error
	firstByteAt time.Time // when the first part of the body arrived; zero before
}

func (f *forwarding) run(ctx context.Context) error {
	p, startedAt := f.proxy, f.proxy.now()
	answer, err := p.upstream.Do(ctx, f.upstreamRequest())
	if err != nil {
		return f.send(forwardFailure(f.failure(ctx, err, startedAt)))
	}
	defer answer.Close()
	head := &peerv1.ForwardHead{Status: uint32(answer.Status), Header: encodeHeader(answer.Header), Framed: answer.Framed}
	if err := f.send(&peerv1.ForwardResponse{Part: &peerv1.ForwardResponse_Head{Head: head}}); err != nil {
		return err
	}
	return f.sendBody(ctx, answer)
}

// sendBody passes on the body as it arrives.
func (f *forwarding) sendBody(ctx context.Context, answer *upstream.Answer) error {
	chunk := make([]byte, streamReadSize)
	for {
		n, err := answer.Read(chunk)
		if n > 0 {
			if f.firstByteAt.IsZero() {
				f.firstByteAt = f.proxy.now()
			}
			f.recordBytes()
			if err := f.send(&peerv1.ForwardResponse{Part: &peerv1.ForwardResponse_Data{Data: slices.Clone(chunk[:n])}}); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			if ctx.Err() == nil {
				f.checkTargetExit(err)
			}
			return f.send(forwardFailure(&peerv1.ForwardFailure{Error: err.Error()}))
		}
	}
}

// checkTargetExit checks whether the target has exited after its connection failed. The other router
// can't tell.
func (f *forwarding) checkTargetExit(err error) {
	if f.firstByteAt.IsZero() || f.proxy.now().Sub(f.firstByteAt) <= exitBlameWindow {
		contents := poison.Contents{poison.Fingerprint(f.request.GetFingerprint())}
		for _, part := range f.request.GetPartFingerprint() {
			contents = append(contents, poison.Fingerprint(part))
		}
		f.proxy.checkTargetExit(f.request.GetPool(), f.target, endedAttempt{contents: contents}, err)
	}
}

func (f *forwarding) recordBytes() {
	f.proxy.traffic.path.recordBytes(f.proxy.now(), f.request.GetPool())
}

func (f *forwarding) upstreamRequest() upstream.Request {
	p, q := f.proxy, f.request
	call := &Call{ID: q.GetRequestId()}
	return upstream.Request{
		TargetUID: f.target.UID, Address: f.target.Address,
		Method: q.GetMethod(), URI: q.GetUri(), Host: q.GetHost(), Header: decodeHeader(q.GetHeader()), Body: [][]byte{q.GetBody()},
		IsAnswer:  func(h http.Header) bool { return p.codec.MatchesCall(call, h) },
		OnConnect: func() { p.traffic.path.recordConnection(p.now(), q.GetPool()) },
		OnHeader: func(status int, h http.Header) {
			f.recordBytes()
			p.applySignals(f.target, status, h)
		},
		ConfirmSend: func() bool {
			_, ok := p.traffic.mayForward(p.now(), f.target.UID)
			return ok
		},
	}
}

// failure returns what the other router is told about an attempt without an answer, and checks whether
// this router's own path is at fault.
func (f *forwarding) failure(ctx context.Context, err error, startedAt time.Time) *peerv1.ForwardFailure {
	out := &peerv1.ForwardFailure{Error: err.Error()}
	if ctx.Err() != nil {
		return out
	}
	kind := reach.NoAnswer
	switch {
	case errors.Is(err, upstream.ErrWithdrawn):
		out.Kind = peerv1.ForwardFailureKind_FORWARD_FAILURE_KIND_CLOSED
		return out
	case errors.Is(err, upstream.ErrTooManyConnections):
		out.Kind = peerv1.ForwardFailureKind_FORWARD_FAILURE_KIND_REFUSED
		return out
	case errors.Is(err, upstream.ErrNotSent):
		kind, out.Kind = reach.NoConnection, peerv1.ForwardFailureKind_FORWARD_FAILURE_KIND_UNREACHABLE
		f.proxy.checkRefusedConnection(f.request.GetPool(), f.target, err)
	case errors.Is(err, upstream.ErrHeadTooLarge):
		f.proxy.observer.CountCutAnswer(PartHead)
	default:
		f.checkTargetExit(err)
	}
	if f.proxy.traffic.path.recordFailure(f.proxy.now(), f.request.GetPool(), kind, startedAt) {
		f.proxy.log.Go(wherePathCheck, func() { f.proxy.paths.check(f.request.GetPool()) })
	}
	return out
}
