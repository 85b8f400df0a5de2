package limiter

import (
	"strconv"
	"time"

	"burdocklane/picker"
)

// CandidateSummary summarizes the candidates of a decision for the decision log.
type CandidateSummary struct {
	total           int32
	usable          int32
	free            int32
	queued          int32
	inFlight        int32
	excluded        int32
	cold            int32       // Cold workers whose allowance is spent, or held by another instance.
	chosen          picker.Load // Known load of the chosen worker, if it reports any.
	expectedLatency time.Duration
	ranking         rankingSummary
}

// ExpectedLatency returns the latency expected of the call, or 0 if unknown.
func (s CandidateSummary) ExpectedLatency() time.Duration { return s.expectedLatency }

// String returns the summary in the fixed format of logs and the explain
// command.
func (s CandidateSummary) String() string {
	const typicalBytes = 160
	b := make([]byte, 0, typicalBytes)
	if s.total != 0 || s.expectedLatency == 0 { // Otherwise another instance chose the worker.
		b = s.appendCounts(b)
	}
	if s.expectedLatency != 0 {
		if len(b) > 0 {
			b = append(b, ' ')
		}
		b = s.chosen.AppendText(b)
		b = append(b, " expected="...)
		b = append(b, s.expectedLatency.Round(time.Millisecond).String()...)
	}
	return string(s.ranking.append(b))
}

func (s CandidateSummary) appendCounts(b []byte) []byte {
	counts := [...]struct {
		name  string
		count int32
	}{{"total=", s.total}, {" usable=", s.usable}, {" free=", s.free}, {" in-flight=", s.inFlight}, {" queued=", s.queued}}
	for _, c := range counts {
		b = strconv.AppendInt(append(b, c.name...), int64(c.count), 10)
	}
	if s.excluded > 0 {
		b = strconv.AppendInt(append(b, " excluded="...), int64(s.excluded), 10)
	}
	if s.cold > 0 {
		b = strconv.AppendInt(append(b, " cold="...), int64(s.cold), 10)
	}
	return b
}
