package loader

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Kind is what the caller saw of a call.
type Kind string

// Kinds of outcomes.
const (
	Good    Kind = "good"
	NotRun  Kind = "not-run"
	Unknown Kind = "unknown"
	Failed  Kind = "failed"
	Broken  Kind = "broken"
	Wrong   Kind = "wrong"
)

// Outcome is what became of one call.
type Outcome struct {
	id      string
	shot    Shot
	kind    Kind
	latency time.Duration
	start   time.Duration
	worker  string
	entry   string
	status  int
	err     error
}

// ID returns the request ID.
func (o Outcome) ID() string { return o.id }

// Method returns the HTTP method of the call.
func (o Outcome) Method() string { return o.shot.method }

// Kind says what the caller saw.
func (o Outcome) Kind() Kind { return o.kind }

// Latency counts from the intended start.
func (o Outcome) Latency() time.Duration { return o.latency }

// Start returns the intended start, from the start of the load.
func (o Outcome) Start() time.Duration { return o.start }

// Worker returns the worker that answered, or "".
func (o Outcome) Worker() string { return o.worker }

// Entry returns the host:port that the call was sent to.
func (o Outcome) Entry() string { return o.entry }

// Status returns the HTTP status, or 0.
func (o Outcome) Status() int { return o.status }

// Err returns why there was no answer.
func (o Outcome) Err() error { return o.err }

const (
	shortestNs   = int64(time.Microsecond)
	longestNs    = int64(5 * time.Minute)
	significance = 3
)

// Summary adds up the outcomes of a load.
type Summary struct {
	latency *hdrhistogram.Histogram
	kinds   map[Kind]int64
	met     int64
	total   int64
	elapsed time.Duration
	workers map[string]int64
}

// NewSummary returns an empty summary.
func NewSummary() *Summary {
	return &Summary{
		latency: hdrhistogram.New(shortestNs, longestNs, significance),
		kinds:   map[Kind]int64{},
		workers: map[string]int64{},
	}
}

// Add counts an outcome. The latency of calls that got no good answer is not
// in the histogram: they are counted by their kind, and miss the target.
func (s *Summary) Add(o Outcome) {
	s.total++
	s.kinds[o.kind]++
	s.workers[o.worker]++
	if o.kind != Good {
		return
	}
	s.latency.RecordValue(min(max(int64(o.latency), shortestNs), longestNs)) //nolint:errcheck // Within the bounds.
	if o.latency <= o.shot.target {
		s.met++
	}
}

// Quantile returns a latency quantile, in percent, of the good answers.
func (s *Summary) Quantile(percent float64) time.Duration {
	return time.Duration(s.latency.ValueAtQuantile(percent))
}

// Count returns how many calls had the outcome.
func (s *Summary) Count(k Kind) int64 { return s.kinds[k] }

// Total returns how many calls were sent.
func (s *Summary) Total() int64 { return s.total }

// Met returns the share of all calls that met their target.
func (s *Summary) Met() float64 { return share(s.met, s.total) }

// Share returns the share of calls with the outcome.
func (s *Summary) Share(k Kind) float64 { return share(s.kinds[k], s.total) }

// Rate returns the good answers a second.
func (s *Summary) Rate() float64 { return float64(s.kinds[Good]) / s.elapsed.Seconds() }

// Elapsed returns the length of the load.
func (s *Summary) Elapsed() time.Duration { return s.elapsed }

// Workers returns the calls that each worker answered.
func (s *Summary) Workers() map[string]int64 { return s.workers }

func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Merge adds the other summary's outcomes.
func (s *Summary) Merge(other *Summary) {
	s.latency.Merge(other.latency)
	s.met += other.met
	s.total += other.total
	s.elapsed += other.elapsed
	for kind, count := range other.kinds {
		s.kinds[kind] += count
	}
	for worker, count := range other.workers {
		s.workers[worker] += count
	}
}

// Shot returns the kind of call.
func (o Outcome) Shot() Shot { return o.shot }
