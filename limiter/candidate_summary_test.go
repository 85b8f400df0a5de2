package limiter

import (
	"testing"
	"time"

	"burdocklane/picker"

	qt "github.com/frankban/quicktest"
)

func TestCandidateSummaryString(t *testing.T) {
	load := picker.NewLoad(2, 1, 6, 1, 16400*time.Microsecond).WithSentSinceReport(3).WithKnownInFlight(4)
	tests := []struct {
		name    string
		summary CandidateSummary
		want    string
	}{
		{"nothing chosen", CandidateSummary{total: 5, usable: 4, free: 3, inFlight: 2, queued: 1}, "total=5 usable=4 free=3 in-flight=2 queued=1"},
		{"cold workers passed over", CandidateSummary{total: 5, usable: 3, free: 3, excluded: 1, cold: 2}, "total=5 usable=3 free=3 in-flight=0 queued=0 excluded=1 cold=2"},
		{"a cold worker", CandidateSummary{chosen: load.WithCold(true), expectedLatency: time.Second}, "running=2 waiting=1 slots=6 pace=1.00 age=16ms since=3 seen=4 cold=true expected=1s"},
		{"nothing known", CandidateSummary{}, "total=0 usable=0 free=0 in-flight=0 queued=0"},
		{
			"chosen here",
			CandidateSummary{total: 1, usable: 1, free: 1, chosen: load, expectedLatency: 97200 * time.Microsecond},
			"total=1 usable=1 free=1 in-flight=0 queued=0 running=2 waiting=1 slots=6 pace=1.00 age=16ms since=3 seen=4 expected=97ms",
		},
		{"chosen by another instance", CandidateSummary{chosen: load, expectedLatency: time.Second}, "running=2 waiting=1 slots=6 pace=1.00 age=16ms since=3 seen=4 expected=1s"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { qt.Assert(t, test.summary.String(), qt.Equals, test.want) })
	}
}

func BenchmarkCandidateSummaryString(b *testing.B) {
	s := CandidateSummary{chosen: picker.NewLoad(2, 1, 6, 1, 16*time.Millisecond), expectedLatency: 97 * time.Millisecond}
	for b.Loop() {
		_ = s.String()
	}
}
