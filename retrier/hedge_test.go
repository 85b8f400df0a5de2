package retrier_test

import (
	"testing"
	"time"

	"burdocklane/retrier"

	qt "github.com/frankban/quicktest"
)

func TestHedgeAfter(t *testing.T) {
	const usualLatency = 60 * time.Millisecond
	const remaining = 200 * time.Millisecond
	tests := []struct {
		name     string
		estimate retrier.Estimate
		elapsed  time.Duration
		hedge    bool
		delay    time.Duration
	}{
		{"no load reported, early", retrier.NewEstimate(usualLatency, 1, false, remaining), 50 * time.Millisecond, false, 100 * time.Millisecond},
		{"no load reported, late", retrier.NewEstimate(usualLatency, 1, false, remaining), 150 * time.Millisecond, true, 0},
		{"no load reported, very short calls", retrier.NewEstimate(time.Microsecond, 1, false, remaining), 0, false, 2 * time.Millisecond},
		{"worker reports a slowdown", retrier.NewEstimate(usualLatency, 7, true, remaining), 5 * time.Millisecond, true, 0},
		{"no slowdown, early", retrier.NewEstimate(usualLatency, 1, true, remaining), 0, false, 15 * time.Millisecond},
		{"no slowdown, nearly due", retrier.NewEstimate(usualLatency, 1, true, remaining), 100 * time.Millisecond, false, 2 * time.Millisecond},
		{"no slowdown, late", retrier.NewEstimate(usualLatency, 1, true, remaining), 102 * time.Millisecond, true, 0},
		{"last moment for a hedge to meet the target", retrier.NewEstimate(usualLatency, 1, true, 66*time.Millisecond), 80 * time.Millisecond, true, 0},
		{"just before the last moment for a hedge", retrier.NewEstimate(usualLatency, 1, true, 70*time.Millisecond), 80 * time.Millisecond, false, 4 * time.Millisecond},
		{"tight target, call not late yet", retrier.NewEstimate(usualLatency, 1, true, 66*time.Millisecond), 50 * time.Millisecond, false, 15 * time.Millisecond},
		{"target already missed", retrier.NewEstimate(usualLatency, 1, true, -time.Second), 102 * time.Millisecond, true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			switch s := retrier.DecideHedge(test.estimate, test.elapsed).(type) {
			case retrier.HedgeNow:
				c.Assert(test.hedge, qt.IsTrue)
			case retrier.CheckLater:
				c.Assert(test.hedge, qt.IsFalse)
				c.Assert(s.Delay(), qt.Equals, test.delay)
			}
		})
	}
}
