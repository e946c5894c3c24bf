package gatewayhttp

import (
	"net/http"

	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
)

// whereCallers names the handlers of callers' requests in the lines and counts of panics.
const whereCallers = "callers"

// handlePanic answers a request whose handler panicked with value. Without it, http.Server would close
// the connection, and the caller would get neither an answer nor a refusal. The answer makes no
// promise: a target may have executed the request. An answer that has begun is aborted.
func (s *Server) handlePanic(r *http.Request, id string, out *responder, value any) {
	if value == http.ErrAbortHandler {
		panic(http.ErrAbortHandler)
	}
	s.log.RecordPanic(whereCallers, value, id)
	if out.status == 0 {
		out.w.Header().Set("Connection", "close")
		out.SendError(code.InternalError, 0)
		return
	}
	out.panicked = true
	s.logIncomplete(r, id, out)
	panic(http.ErrAbortHandler)
}
