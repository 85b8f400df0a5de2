package limiter

import (
	"strconv"
	"time"

	"burdocklane/picker"
)

// Seen sums up the candidates of a decision, for the decision log.
type Seen struct {
	total    int32
	usable   int32
	free     int32
	queued   int32
	inFlight int32
	chosen   picker.Load // What was known of the chosen worker, if it reports.
	expected time.Duration
}

// Expected returns the time that the call was expected to take, or 0.
func (s Seen) Expected() time.Duration { return s.expected }

// String returns the counts in a fixed form for logs and explain.
func (s Seen) String() string {
	const usualBytes = 160
	b := make([]byte, 0, usualBytes)
	if s.total != 0 || s.expected == 0 { // Else another instance has weighed the candidates.
		b = s.appendCounts(b)
	}
	if s.expected == 0 {
		return string(b)
	}
	if len(b) > 0 {
		b = append(b, ' ')
	}
	b = s.chosen.AppendText(b)
	b = append(b, " expected="...)
	return string(append(b, s.expected.Round(time.Millisecond).String()...))
}

func (s Seen) appendCounts(b []byte) []byte {
	counts := [...]struct {
		name  string
		count int32
	}{{"total=", s.total}, {" usable=", s.usable}, {" free=", s.free}, {" in-flight=", s.inFlight}, {" queued=", s.queued}}
	for _, c := range counts {
		b = strconv.AppendInt(append(b, c.name...), int64(c.count), 10)
	}
	return b
}
