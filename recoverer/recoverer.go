// Package recoverer keeps a panic in one piece of work from ending the process, whose
// other calls and duties go on.
package recoverer

import (
	"fmt"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

var panicsTotal = metrics.NewCounter("burdocklane_panics_total")

// PanicError reports a panic in a piece of work.
type PanicError struct {
	work  string
	value any
}

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("panic in %s: %v", e.work, e.value) }

// Do runs a piece of work, which the name describes. If it panics, Do logs and counts
// that, and returns a *PanicError. What the work held, other than locks and channels that
// it releases by defer, stays held.
func Do(log zerolog.Logger, work string, f func()) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = Record(log, work, value)
		}
	}()
	f()
	return nil
}

// Record logs and counts a panic with the given value, which the caller has recovered
// from.
func Record(log zerolog.Logger, work string, value any) *PanicError {
	panicsTotal.Inc()
	err := &PanicError{work: work, value: value}
	log.Error().Err(err).Bytes("stack", debug.Stack()).Msg("unexpected error; the work is abandoned")
	return err
}

// Total returns how many panics were recovered from.
func Total() uint64 { return panicsTotal.Get() }
