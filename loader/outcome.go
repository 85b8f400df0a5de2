package loader

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Kind classifies the outcome of a call as its caller sees it.
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

// Outcome is the result of one call.
type Outcome struct {
	id            string
	callType      CallType
	kind          Kind
	latency       time.Duration
	intendedStart time.Duration
	worker        string
	address       string
	status        int
	reused        bool
	err           error
}

// ID returns the request ID.
func (o Outcome) ID() string { return o.id }

// Method returns the HTTP method of the call.
func (o Outcome) Method() string { return o.callType.method }

// Kind returns how the caller sees the outcome.
func (o Outcome) Kind() Kind { return o.kind }

// Latency returns the time from the intended start to the end of the call.
func (o Outcome) Latency() time.Duration { return o.latency }

// IntendedStart returns the intended start, relative to the start of the load.
func (o Outcome) IntendedStart() time.Duration { return o.intendedStart }

// Worker returns the worker that sent the response, or "".
func (o Outcome) Worker() string { return o.worker }

// Address returns the host:port to which the call was sent.
func (o Outcome) Address() string { return o.address }

// Status returns the HTTP status code, or 0 if there was no response.
func (o Outcome) Status() int { return o.status }

// Reused reports whether the connection had carried other calls before: its other end may
// have been closing it as idle while the call was sent.
func (o Outcome) Reused() bool { return o.reused }

// Err returns why there was no complete response, or nil.
func (o Outcome) Err() error { return o.err }

const (
	minLatencyNs      = int64(time.Microsecond)
	maxLatencyNs      = int64(5 * time.Minute)
	significantDigits = 3
)

// Summary aggregates the outcomes of a load.
type Summary struct {
	latency   *hdrhistogram.Histogram
	kinds     map[Kind]int64
	metTarget int64
	total     int64
	elapsed   time.Duration
	workers   map[string]int64
}

// NewSummary returns an empty summary.
func NewSummary() *Summary {
	return &Summary{
		latency: hdrhistogram.New(minLatencyNs, maxLatencyNs, significantDigits),
		kinds:   map[Kind]int64{},
		workers: map[string]int64{},
	}
}

// Add counts an outcome. Calls without a good response are counted by their kind
// and miss the target; their latency is not in the histogram.
func (s *Summary) Add(o Outcome) {
	s.total++
	s.kinds[o.kind]++
	s.workers[o.worker]++
	if o.kind != Good {
		return
	}
	s.latency.RecordValue(min(max(int64(o.latency), minLatencyNs), maxLatencyNs)) //nolint:errcheck // Within the bounds.
	if o.latency <= o.callType.targetLatency {
		s.metTarget++
	}
}

// Quantile returns a percentile of the latency of good responses.
func (s *Summary) Quantile(percent float64) time.Duration {
	return time.Duration(s.latency.ValueAtQuantile(percent))
}

// Count returns the number of calls of the kind.
func (s *Summary) Count(k Kind) int64 { return s.kinds[k] }

// Total returns the number of calls sent.
func (s *Summary) Total() int64 { return s.total }

// TargetAttainment returns the fraction of all calls that met their target latency.
func (s *Summary) TargetAttainment() float64 { return share(s.metTarget, s.total) }

// Share returns the fraction of calls of the kind.
func (s *Summary) Share(k Kind) float64 { return share(s.kinds[k], s.total) }

// Goodput returns the number of good responses per second.
func (s *Summary) Goodput() float64 { return float64(s.kinds[Good]) / s.elapsed.Seconds() }

// Elapsed returns the duration of the load.
func (s *Summary) Elapsed() time.Duration { return s.elapsed }

// Workers returns the number of calls answered by each worker; the key "" counts
// those without a worker.
func (s *Summary) Workers() map[string]int64 { return s.workers }

func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Merge adds the outcomes and the duration of the other summary.
func (s *Summary) Merge(other *Summary) {
	s.latency.Merge(other.latency)
	s.metTarget += other.metTarget
	s.total += other.total
	s.elapsed += other.elapsed
	for kind, count := range other.kinds {
		s.kinds[kind] += count
	}
	for worker, count := range other.workers {
		s.workers[worker] += count
	}
}

// CallType returns the type of the call.
func (o Outcome) CallType() CallType { return o.callType }
