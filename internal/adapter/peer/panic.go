package peer

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
)

// WithPanicHandler returns an option for a handler that calls record with the name and the recovered
// value of each call that panics, and answers the call with an error. Without it, the other router's
// stream would be reset, and nothing but the server's own logger would tell why.
func WithPanicHandler(record func(procedure string, value any)) connect.HandlerOption {
	return connect.WithRecover(func(_ context.Context, spec connect.Spec, _ http.Header, value any) error {
		record(spec.Procedure, value)
		return connect.NewError(connect.CodeInternal, errors.New("internal error"))
	})
}
