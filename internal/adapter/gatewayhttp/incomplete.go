package gatewayhttp

import (
	"net/http"

	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// Reasons for which a request ends without a complete answer.
const (
	IncompleteCallerLeft  = "caller_left"  // the caller closed or reset its connection
	IncompleteReadFailed  = "read_failed"  // the request was cancelled, but the caller has not closed its connection
	IncompleteWriteFailed = "write_failed" // a part of the answer could not be written
	IncompleteAborted     = "aborted"      // the answer was begun and not completed
	IncompletePanic       = "panic"        // the handler panicked after the answer was begun
)

// logIncomplete logs and counts a request that ends without a complete answer.
func (s *Server) logIncomplete(r *http.Request, id string, out *responder) {
	readError := lastReadError(r)
	reason := out.incompleteReason(readError)
	if out.panicked {
		reason = IncompletePanic
	}
	s.observer.CountIncomplete(reason)
	s.log.Line(eventlog.Incomplete).Str("request", id).Str("why", reason).Str("read", string(readError)).
		Bool("cancelled", r.Context().Err() != nil).Int("status", out.status).Int64("sent", out.bodyBytes).AnErr("error", out.writeError).Msg("")
}

// incompleteReason returns why the answer is incomplete. A failed write is named first only if no read
// showed before it that the caller left: both follow from the same disconnection.
func (o *responder) incompleteReason(read ReadError) string {
	switch {
	case read.callerLeft():
		return IncompleteCallerLeft
	case o.writeError != nil:
		return IncompleteWriteFailed
	case o.status != 0:
		return IncompleteAborted
	}
	return IncompleteReadFailed
}
