package callerhttp

import (
	"context"
	"net/http"

	"github.com/hemlockdyke/hemlockdyke/internal/app/router"
	"github.com/hemlockdyke/hemlockdyke/internal/core/claim"
	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/wire"
)

// claimed runs a request that is not idempotent under its Idempotency-Key.
func (s *Server) claimed(w http.ResponseWriter, r *http.Request, req router.Request, key string) {
	if len(key) > maxID {
		s.fail(w, req.ID, code.New(code.BadHeader, "%s is longer than %d", wire.HeaderIdempotencyKey, maxID), 0)
		return
	}
	held, decision := s.claims.Acquire(r.Context(), req, key)
	switch decision.Kind {
	case claim.ReplayAnswer:
		writeAnswer(w, req.ID, decision.Record.Status, decision.Record.ContentType, decision.Record.Body)
		return
	case claim.RefuseRequest:
		s.fail(w, req.ID, code.New(decision.Code, "%s %q", wire.HeaderIdempotencyKey, key), router.ClaimRetryAfter)
		return
	}
	// The target's work goes on if the caller leaves: the answer is recorded for
	// the caller's next try.
	r = r.WithContext(context.WithoutCancel(r.Context()))
	answer, result := s.runService(r, req)
	s.claims.RecordOutcome(held, answer, result)
	s.respond(w, req, answer, result)
}
