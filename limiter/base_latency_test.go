package limiter_test

import (
	"context"
	"testing"
	"time"

	"burdocklane/limiter"

	qt "github.com/frankban/quicktest"
)

// Pattern: the first answer of a class comes after a pause of this process, longer than the
// deadline of its calls. Guards against a service that refuses all calls from then on, as no
// answer would correct the estimate.
func TestLongFirstAnswerDoesNotStopCalls(t *testing.T) {
	tests := []struct {
		name  string
		ranks bool
	}{
		{"in order of arrival", false},
		{"by rank", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newReportingPool(2)
			p.SetRanksCalls(test.ranks)
			reportAll(p, 0, 1)
			first, ok := p.Acquire(context.Background(), newRequest()).(limiter.Granted)
			c.Assert(ok, qt.IsTrue)
			p.RecordAnswer(first, 10*target, false)
			first.Release()
			for range 100 {
				reportAll(p, 0, 1)
				granted, ok := p.Acquire(context.Background(), newRequest()).(limiter.Granted)
				c.Assert(ok, qt.IsTrue)
				p.RecordAnswer(granted, 10*time.Millisecond, false)
				granted.Release()
			}
			c.Assert(p.BaseLatency(target) < target/2, qt.IsTrue)
		})
	}
}
