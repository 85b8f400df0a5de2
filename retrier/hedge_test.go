package retrier_test

import (
	"testing"
	"time"

	"burdocklane/retrier"

	qt "github.com/frankban/quicktest"
)

func TestHedgeAfter(t *testing.T) {
	const usual = 60 * time.Millisecond
	const left = 200 * time.Millisecond
	tests := []struct {
		name    string
		outlook retrier.Outlook
		elapsed time.Duration
		hedge   bool
		delay   time.Duration
	}{
		{"nothing known, early", retrier.NewOutlook(usual, 1, false, left), 50 * time.Millisecond, false, 100 * time.Millisecond},
		{"nothing known, late", retrier.NewOutlook(usual, 1, false, left), 150 * time.Millisecond, true, 0},
		{"nothing known, very short calls", retrier.NewOutlook(time.Microsecond, 1, false, left), 0, false, 2 * time.Millisecond},
		{"a worker that has become slow", retrier.NewOutlook(usual, 7, true, left), 5 * time.Millisecond, true, 0},
		{"a calm worker, early", retrier.NewOutlook(usual, 1, true, left), 0, false, 15 * time.Millisecond},
		{"a calm worker, nearly due", retrier.NewOutlook(usual, 1, true, left), 100 * time.Millisecond, false, 2 * time.Millisecond},
		{"a calm worker, late", retrier.NewOutlook(usual, 1, true, left), 102 * time.Millisecond, true, 0},
		{"the last chance to be on time", retrier.NewOutlook(usual, 1, true, 66*time.Millisecond), 80 * time.Millisecond, true, 0},
		{"nearly the last chance", retrier.NewOutlook(usual, 1, true, 70*time.Millisecond), 80 * time.Millisecond, false, 4 * time.Millisecond},
		{"a tight target, but an ordinary call", retrier.NewOutlook(usual, 1, true, 66*time.Millisecond), 50 * time.Millisecond, false, 15 * time.Millisecond},
		{"too late to be on time", retrier.NewOutlook(usual, 1, true, -time.Second), 102 * time.Millisecond, true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			switch s := retrier.HedgeAfter(test.outlook, test.elapsed).(type) {
			case retrier.Hedge:
				c.Assert(test.hedge, qt.IsTrue)
			case retrier.Later:
				c.Assert(test.hedge, qt.IsFalse)
				c.Assert(s.Delay(), qt.Equals, test.delay)
			}
		})
	}
}
