package eventlog

import (
	"log"
	"strings"
)

// maxServerMessageBytes bounds a message of an HTTP server, which may hold the stack of a panic. With
// its other fields and the escapes of JSON, a line stays below maxBatchBytes.
const maxServerMessageBytes = 2 << 10

// NewServerLog returns a logger for the errors of the HTTP server of a port. Without it, http.Server
// writes them as plain text to standard error.
func NewServerLog(l *Log, port string) *log.Logger {
	return log.New(&serverLogWriter{log: l, port: port}, "", 0)
}

type serverLogWriter struct {
	log  *Log
	port string
}

// Write writes a message as one line.
func (w *serverLogWriter) Write(p []byte) (int, error) {
	message := strings.TrimSpace(string(p[:min(len(p), maxServerMessageBytes)]))
	w.log.Line(ServerError).Str("port", w.port).Str("message", message).Msg("")
	return len(p), nil
}
