package recorder

import (
	"io"

	"burdocklane/registrar"

	"github.com/rs/zerolog"
)

// TimeFormat is the format of timestamps in log lines. It has milliseconds so that the
// lines of several instances can be merged into one timeline.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = TimeFormat } // zerolog has a single, global time format.

// NewLogger returns the logger of an instance, which adds a timestamp and the instance
// name to each line.
func NewLogger(output io.Writer, level zerolog.Level, instance registrar.InstanceID) zerolog.Logger {
	return zerolog.New(output).Level(level).With().Timestamp().Str("instance", string(instance)).Logger()
}
