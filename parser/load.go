package parser

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"burdocklane/tracker"
)

// Load is a worker's report of its load, as it stands in a header: the calls
// running, the calls waiting and the slots, separated by commas. A fourth
// figure, if there is one, is the time that a call takes in percent of the
// usual.
type Load struct {
	running int32
	waiting int32
	slots   int32
	pace    float64
}

// Report returns the report of a worker that was asked at a time.
func (l Load) Report(at time.Duration) tracker.Report {
	return tracker.NewReport(l.running, l.waiting, l.slots, l.pace, at)
}

// LoadError reports a text that is not a report of load.
type LoadError struct{ text string }

// Error implements error.
func (e *LoadError) Error() string { return fmt.Sprintf("report of load %q is not readable", e.text) }

const (
	loadFigures = 3
	percent     = 100
	// mostFigure bounds each figure of a report.
	mostFigure = 1 << 20
)

// ParseLoad reads a report. The error is a *LoadError.
func ParseLoad(text string) (Load, error) {
	var figures [loadFigures + 1]int64
	figures[loadFigures] = percent
	count := 0
	for part := range strings.SplitSeq(text, ",") {
		value, err := strconv.ParseInt(strings.TrimSpace(part), 10, 32)
		if err != nil || value < 0 || value > mostFigure || count == len(figures) {
			return Load{}, &LoadError{text: text}
		}
		figures[count] = value
		count++
	}
	if count < loadFigures {
		return Load{}, &LoadError{text: text}
	}
	pace := float64(max(figures[loadFigures], 1)) / percent
	return Load{running: int32(figures[0]), waiting: int32(figures[1]), slots: int32(figures[2]), pace: pace}, nil
}
