// Package recovery answers requests whose handlers panic.
package recovery

import (
	"net/http"

	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
	"github.com/hemlockdyke/hemlockdyke/internal/wire"
)

// Handler returns a handler that logs and counts each panic of next, by where. It answers with
// code.InternalError if next has sent nothing, and cuts the answer otherwise.
func Handler(log *eventlog.Log, where string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tracked := &trackingWriter{ResponseWriter: w}
		defer func() {
			value := recover()
			switch {
			case value == nil:
				return
			case value == http.ErrAbortHandler:
				panic(http.ErrAbortHandler)
			}
			log.RecordPanic(where, value, "")
			if tracked.begun {
				panic(http.ErrAbortHandler)
			}
			wire.WriteError(w, code.New(code.InternalError, "internal error"))
		}()
		next.ServeHTTP(tracked, r)
	})
}

// trackingWriter tells whether an answer has begun.
type trackingWriter struct {
	http.ResponseWriter
	begun bool
}

// Unwrap returns the inner writer for http.ResponseController.
func (t *trackingWriter) Unwrap() http.ResponseWriter { return t.ResponseWriter }

func (t *trackingWriter) WriteHeader(status int) {
	t.begun = true
	t.ResponseWriter.WriteHeader(status)
}

func (t *trackingWriter) Write(p []byte) (int, error) {
	t.begun = true
	return t.ResponseWriter.Write(p)
}
