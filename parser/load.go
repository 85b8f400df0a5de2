package parser

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"burdocklane/tracker"
)

// Load is a worker's load report, as sent in a response header: the number of
// running calls, of queued calls and of slots, separated by commas. An optional
// fourth field is the slowdown: the current call time as a percentage of the
// usual one.
type Load struct {
	running  int32
	waiting  int32
	slots    int32
	slowdown float64
}

// Report returns the load as a tracker report for a request sent at the time.
func (l Load) Report(at time.Duration) tracker.Report {
	return tracker.NewReport(l.running, l.waiting, l.slots, l.slowdown, at)
}

// WithoutAnswered returns l without the call whose response carried the report: it counts as
// running until the worker has sent the response.
func (l Load) WithoutAnswered() Load {
	l.running = max(l.running-1, 0)
	return l
}

// LoadError reports a malformed load report.
type LoadError struct{ text string }

// Error implements error.
func (e *LoadError) Error() string { return fmt.Sprintf("load report %q is malformed", e.text) }

const (
	requiredFields = 3
	percent        = 100
	// maxFieldValue is the largest value accepted in any field of a report.
	maxFieldValue = 1 << 20
)

// ParseLoad parses a load report. The error is a *LoadError.
func ParseLoad(text string) (Load, error) {
	var fields [requiredFields + 1]int64
	fields[requiredFields] = percent
	n := 0
	for part := range strings.SplitSeq(text, ",") {
		value, err := strconv.ParseInt(strings.TrimSpace(part), 10, 32)
		if err != nil || value < 0 || value > maxFieldValue || n == len(fields) {
			return Load{}, &LoadError{text: text}
		}
		fields[n] = value
		n++
	}
	if n < requiredFields {
		return Load{}, &LoadError{text: text}
	}
	slowdown := float64(max(fields[requiredFields], 1)) / percent
	return Load{running: int32(fields[0]), waiting: int32(fields[1]), slots: int32(fields[2]), slowdown: slowdown}, nil
}
