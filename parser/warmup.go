package parser

import (
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// maxWarmup bounds the warm-up time that a header may say: a worker that is never warm would
// hardly get calls.
const maxWarmup = 24 * time.Hour

// unreadableWarmups counts the headers with a warm-up time that cannot be read.
var unreadableWarmups = metrics.NewCounter("burdocklane_warmup_unreadable_total")

// Warmup says for how much longer a worker is cold, if that is known.
type Warmup struct {
	left  time.Duration
	known bool
}

// Left returns for how much longer the worker is cold, and false if that is not known.
func (w Warmup) Left() (time.Duration, bool) { return w.left, w.known }

// ParseWarmup parses the value of a header in milliseconds. An empty or unreadable value says
// nothing.
func ParseWarmup(text string) Warmup {
	text = strings.TrimSpace(text)
	if text == "" {
		return Warmup{}
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms >= 0 && ms <= float64(maxWarmup.Milliseconds())) {
		unreadableWarmups.Inc()
		return Warmup{}
	}
	return Warmup{left: time.Duration(ms * float64(time.Millisecond)), known: true}
}
