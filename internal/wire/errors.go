package wire

import (
	"encoding/json"
	"net/http"

	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
)

// NewErrorBody returns the body that describes e.
func NewErrorBody(e *code.Error) ErrorBody {
	info := e.Code.Lookup()
	return ErrorBody{Error: ErrorDetail{
		Code: int(e.Code), Name: info.Name, Message: e.Message, Ran: info.Execution.String(), Field: e.Field,
	}}
}

// WriteError answers with the status and the body of e. Other headers must be set before the
// call.
func WriteError(w http.ResponseWriter, e *code.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.Code.Lookup().Status)
	_ = json.NewEncoder(w).Encode(NewErrorBody(e)) // fails only if the caller has disconnected
}
