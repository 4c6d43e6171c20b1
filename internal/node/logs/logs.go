// Package logs creates the structured logger of a router process.
package logs

import (
	"io"
	"time"

	"github.com/rs/zerolog"

	"hickoryrock/internal/node/settings"
)

// New returns a logger that writes to w with the level and format of the settings and adds
// the router's name to each line. An invalid level means info.
func New(w io.Writer, s settings.Log, router string) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	level, err := zerolog.ParseLevel(s.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	if s.Format == "console" {
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: time.TimeOnly}
	}
	return zerolog.New(w).Level(level).With().Timestamp().Str("router", router).Logger()
}
