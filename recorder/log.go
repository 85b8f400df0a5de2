package recorder

import (
	"io"

	"burdocklane/registrar"

	"github.com/rs/zerolog"
)

// TimeFormat is that of the times in log lines, in milliseconds: the lines of
// several instances are read as one story.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = TimeFormat } // The library has one format for all logs.

// NewLog returns the log of an instance.
func NewLog(output io.Writer, level zerolog.Level, instance registrar.InstanceID) zerolog.Logger {
	return zerolog.New(output).Level(level).With().Timestamp().Str("instance", string(instance)).Logger()
}
