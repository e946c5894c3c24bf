package callerhttp

import (
	"context"
	"net/http"

	"github.com/hemlockdyke/hemlockdyke/internal/app/router"
	"github.com/hemlockdyke/hemlockdyke/internal/core/claim"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/wire"
)

// serveKeyed serves a request that is not idempotent and has an Idempotency-Key. The claim on the
// key ensures that the request is executed at most once. A retry gets the recorded answer.
func (s *Server) serveKeyed(w http.ResponseWriter, r *http.Request, req router.Request, key string) {
	if len(key) > maxIDBytes {
		s.fail(w, req.ID, code.New(code.BadHeader, "%s is longer than %d bytes", wire.HeaderIdempotencyKey, maxIDBytes), 0)
		return
	}
	heldClaim, decision := s.claims.Acquire(r.Context(), req, key)
	switch decision.Kind {
	case claim.ReplayAnswer:
		writeAnswer(w, req.ID, decision.Record.Status, decision.Record.ContentType, decision.Record.Body)
		return
	case claim.RefuseRequest:
		s.fail(w, req.ID, code.New(decision.Code, "%s %q", wire.HeaderIdempotencyKey, key), router.ClaimRetryAfter)
		return
	}
	// The request goes on if the caller disconnects, so that the answer is recorded for the
	// caller's retry.
	r = r.WithContext(context.WithoutCancel(r.Context()))
	answer, result := s.runService(r, req)
	s.claims.RecordOutcome(heldClaim, answer, result)
	s.writeResult(w, req, answer, result)
}
