// Package logging creates the loggers of the binaries, which write JSON lines.
package logging

import (
	"fmt"
	"io"

	"github.com/rs/zerolog"
)

// New returns a logger that writes to w. Each line has the name of the process and its ID in the
// field router. An unknown level counts as info; validated settings have no unknown level.
func New(w io.Writer, level, process string, id uint32) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(parsed).With().Timestamp().Str("router", fmt.Sprintf("%s-%d", process, id)).Logger()
}

// timeFormat has milliseconds, as the lines of one request are often less than a second apart.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = timeFormat }

// NewGateway returns the logger of a gateway, which writes to w. Each line has name in the field
// router.
func NewGateway(w io.Writer, name string) zerolog.Logger {
	return zerolog.New(w).With().Timestamp().Str("router", name).Logger()
}
