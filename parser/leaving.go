package parser

import (
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// unreadableLeaving counts the headers by which workers announce that they are about to
// stop that cannot be read.
var unreadableLeaving = metrics.NewCounter("burdocklane_leaving_unreadable_total")

// ParseLeaving reports whether the value of a header says that the worker is about to
// stop: "1" does, and "0" or no value do not. Any other value counts as not sent.
func ParseLeaving(text string) bool {
	switch strings.TrimSpace(text) {
	case "1":
		return true
	case "", "0":
	default:
		unreadableLeaving.Inc()
	}
	return false
}
