package tracker_test

import (
	"testing"
	"time"

	"burdocklane/tracker"

	qt "github.com/frankban/quicktest"
)

func TestLatestReportWins(t *testing.T) {
	tests := []struct {
		name  string
		at    []time.Duration
		taken []bool
		last  time.Duration
	}{
		{"in order", []time.Duration{1, 2, 3}, []bool{true, true, true}, 3},
		{"an older one arrives late", []time.Duration{3, 1, 2}, []bool{true, false, false}, 3},
		{"the same twice", []time.Duration{3, 3}, []bool{true, false}, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := tracker.NewWorker(member(false), 0, false)
			for n, at := range test.at {
				c.Assert(w.UpdateReport(tracker.NewReport(0, 0, 4, 1, at)), qt.Equals, test.taken[n])
			}
			r, ok := w.Report()
			c.Assert(ok, qt.IsTrue)
			c.Assert(r.At(), qt.Equals, test.last)
		})
	}
}

func TestLoadCountsCallsBeyondTheReport(t *testing.T) {
	tests := []struct {
		name string
		do   func(w *tracker.Worker)
		full bool // With a report of three calls and four slots.
	}{
		{"only the report", func(*tracker.Worker) {}, false},
		{"a call sent since the report", func(w *tracker.Worker) { w.Acquire(10) }, true},
		{"a peer's calls, fewer than reported", func(w *tracker.Worker) { w.SetPeerCalls(1, 2, 10) }, false},
		{"peers' calls, more than reported", func(w *tracker.Worker) { w.SetPeerCalls(1, 2, 10); w.SetPeerCalls(2, 2, 10) }, true},
		{"a peer's latest number counts", func(w *tracker.Worker) { w.SetPeerCalls(1, 4, 10); w.SetPeerCalls(1, 0, 11) }, false},
		{"a peer's expired number does not count", func(w *tracker.Worker) { w.SetPeerCalls(1, 4, 10-time.Second) }, false},
		{"calls lent to peers are not counted twice", func(w *tracker.Worker) {
			w.SetPeerCalls(1, 3, 10)
			w.AddLent(3)
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := tracker.NewWorker(member(false), 0, false)
			w.UpdateReport(tracker.NewReport(3, 0, 4, 1, 5))
			test.do(w)
			c.Assert(w.Load(20).Saturated(), qt.Equals, test.full)
		})
	}
}

// Guards against a worker that stays in use because a success interrupts its
// failures: one that fails two in three calls, never three in a row, is ejected, and
// one that fails one in ten is not.
func TestErrorRateEjects(t *testing.T) {
	tests := []struct {
		name   string
		period int // One call in period succeeds, or one fails.
		fails  bool
		want   string
	}{
		{"two in three fail", 3, true, "ejected"},
		{"one in ten fails", 10, false, "usable"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := tracker.NewWorker(member(false), 0, false)
			state := ""
			for n := range 60 {
				if (n%test.period == 0) != test.fails {
					w.RecordFailure(1)
				} else {
					w.RecordSuccess(time.Millisecond, 1)
				}
				if state = w.State(0, 2).String(); state == "ejected" {
					break
				}
			}
			c.Assert(state, qt.Equals, test.want)
		})
	}
}
