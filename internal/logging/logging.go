// Package logging sets up the JSON lines log of the binaries.
package logging

import (
	"fmt"
	"io"

	"github.com/rs/zerolog"
)

// New returns a logger that writes JSON lines to w. An unknown level means info;
// checked settings don't hold one.
func New(w io.Writer, level, process string, id uint32) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(parsed).With().Timestamp().Str("router", fmt.Sprintf("%s-%d", process, id)).Logger()
}

// timeFormat has milliseconds: lines of one request are often closer than a second.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = timeFormat }

// NewGateway returns the logger of a gateway, which writes JSON lines to w.
func NewGateway(w io.Writer, name string) zerolog.Logger {
	return zerolog.New(w).With().Timestamp().Str("router", name).Logger()
}
